"""The cost model: how long prefill and decode take at an engine under load."""

from collections import defaultdict
from dataclasses import dataclass

from berylshift.process.engine_state.load_view import Estimate
from berylshift.settings import PolicySettings
from berylshift.targets import Role

LEARNING_RATE = 0.05
MIN_FACTOR = 0.7
MAX_FACTOR = 1.6
MAX_PREFILL_SHARE = 0.8


@dataclass(frozen=True)
class Prediction:
    """Seconds from now to the first token and to the end."""

    first_token: float
    end: float


class LearnedFactor:
    """The ratio of observed to predicted times: an exponential moving average."""

    def __init__(self) -> None:
        """Start with a factor of 1."""
        self.value = 1.0

    def learn(self, predicted: float, observed: float) -> None:
        """Update the factor by one pair of times in seconds."""
        if predicted <= 0 or observed <= 0:
            return
        # The prediction already includes the factor, so its error multiplies it.
        target = self.value * observed / predicted
        target = min(MAX_FACTOR, max(MIN_FACTOR, target))
        self.value += LEARNING_RATE * (target - self.value)


class CostModel:
    """Predicts times from the settings, corrected by observed times for each role."""

    def __init__(self, cfg: PolicySettings):
        """Use the rates in ``cfg``."""
        self._cfg = cfg
        self._first_token_factors: dict[Role, LearnedFactor] = defaultdict(
            LearnedFactor
        )
        self._decode_factors: dict[Role, LearnedFactor] = defaultdict(LearnedFactor)

    def step_seconds(self, streams: float) -> float:
        """Return the time of one decode step with so many streams."""
        return self._cfg.step_base + self._cfg.step_per_stream * streams

    def prefill_seconds(self, load: Estimate, tokens: float) -> float:
        """Return the time to prefill ``tokens`` after the prefill that is queued."""
        seconds = (load.prefill_tokens + tokens) / self._cfg.prefill_rate
        if load.role is Role.MIXED and load.streams > 0:
            chunks = (load.prefill_tokens + tokens) / self._cfg.prefill_chunk
            seconds += chunks * self.step_seconds(load.streams)
        return seconds * self._first_token_factors[load.role].value

    def decode_seconds(
        self, load: Estimate, tokens: float, prefill_inflow: float
    ) -> float:
        """Return the time to decode ``tokens``, including interleaved prefill chunks.

        ``prefill_inflow`` is what each engine receives to prefill, in tokens a second:
        on a mixed engine, decode steps wait while prefill chunks run.
        """
        seconds = tokens * self.step_seconds(load.streams + 1)
        if load.role is Role.MIXED:
            share = min(MAX_PREFILL_SHARE, prefill_inflow / self._cfg.prefill_rate)
            seconds /= 1 - share
        return seconds * self._decode_factors[load.role].value

    def transfer_seconds(self, tokens: float) -> float:
        """Return the time to transfer the KV cache of ``tokens``."""
        return tokens / self._cfg.kv_import_rate

    def predict(
        self, load: Estimate, prefill: float, output: float, prefill_inflow: float
    ) -> Prediction:
        """Return the times of a request that runs on a single engine."""
        first_token = self.prefill_seconds(load, prefill)
        return Prediction(
            first_token,
            first_token + self.decode_seconds(load, output, prefill_inflow),
        )

    def learn_first_token(self, role: Role, predicted: float, observed: float) -> None:
        """Learn from the time to a first token."""
        self._first_token_factors[role].learn(predicted, observed)

    def learn_decode(self, role: Role, predicted: float, observed: float) -> None:
        """Learn from the time between the first and the last token."""
        self._decode_factors[role].learn(predicted, observed)
