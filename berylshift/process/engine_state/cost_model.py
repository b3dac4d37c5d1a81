"""The cost model: how long prefill and decode take at an engine under load."""

from collections import defaultdict
from dataclasses import dataclass

from berylshift.process.engine_state.load_view import Estimate
from berylshift.settings import PolicySettings
from berylshift.targets import Role

LEARNING_RATE = 0.05
LOWEST_FACTOR = 0.7
HIGHEST_FACTOR = 1.6
MOST_PREFILL_SHARE = 0.8


@dataclass(frozen=True)
class Prediction:
    """Seconds from now to the first token and to the end."""

    first_token: float
    end: float


class LearnedFactor:
    """How observed times relate to predicted ones: a running average."""

    def __init__(self) -> None:
        """Start by trusting the prediction."""
        self.value = 1.0

    def learn(self, predicted: float, observed: float) -> None:
        """Take one pair of times in seconds."""
        if predicted <= 0 or observed <= 0:
            return
        # The prediction already carries the factor, so its error is on top of it.
        wanted = self.value * observed / predicted
        wanted = min(HIGHEST_FACTOR, max(LOWEST_FACTOR, wanted))
        self.value += LEARNING_RATE * (wanted - self.value)


class CostModel:
    """Predicts by settings, corrected by what was observed for each role."""

    def __init__(self, cfg: PolicySettings):
        """Take the rates that the settings state."""
        self._cfg = cfg
        self._first: dict[Role, LearnedFactor] = defaultdict(LearnedFactor)
        self._step: dict[Role, LearnedFactor] = defaultdict(LearnedFactor)

    def step_seconds(self, streams: float) -> float:
        """Return the time of one decode step with so many streams."""
        return self._cfg.step_base + self._cfg.step_per_stream * streams

    def prefill_seconds(self, load: Estimate, tokens: float) -> float:
        """Return the time to prefill ``tokens`` behind what waits there."""
        seconds = (load.prefill_tokens + tokens) / self._cfg.prefill_rate
        if load.role is Role.MIXED and load.streams > 0:
            chunks = (load.prefill_tokens + tokens) / self._cfg.prefill_chunk
            seconds += chunks * self.step_seconds(load.streams)
        return seconds * self._first[load.role].value

    def decode_seconds(
        self, load: Estimate, tokens: float, prefill_inflow: float
    ) -> float:
        """Return the time to decode ``tokens``, with prefill chunks in between.

        ``prefill_inflow`` is what each engine gets to prefill, in tokens a second:
        on a mixed engine decode steps wait for it as long as they last.
        """
        seconds = tokens * self.step_seconds(load.streams + 1)
        if load.role is Role.MIXED:
            share = min(MOST_PREFILL_SHARE, prefill_inflow / self._cfg.prefill_rate)
            seconds /= 1 - share
        return seconds * self._step[load.role].value

    def transfer_seconds(self, tokens: float) -> float:
        """Return the time to bring a KV cache over."""
        return tokens / self._cfg.kv_import_rate

    def predict(
        self, load: Estimate, prefill: float, output: float, prefill_inflow: float
    ) -> Prediction:
        """Return the times of a request done whole at one engine."""
        first = self.prefill_seconds(load, prefill)
        return Prediction(
            first, first + self.decode_seconds(load, output, prefill_inflow)
        )

    def learn_first(self, role: Role, predicted: float, observed: float) -> None:
        """Learn from a first token."""
        self._first[role].learn(predicted, observed)

    def learn_decode(self, role: Role, predicted: float, observed: float) -> None:
        """Learn from the time between the first token and the last."""
        self._step[role].learn(predicted, observed)
