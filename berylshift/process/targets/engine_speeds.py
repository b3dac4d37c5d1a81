"""Speed estimates for the engines of each service, learned from their responses.

Engines of different deployments differ in speed by a factor of four and more, and no
setting states their speed. With the estimates of another engine a host would see a
queue four times as long as it is and reject prompts that would be in time, or accept
more than the engine can handle.
"""

import logging
from collections import deque
from collections.abc import Callable

from berylshift.ids import ServiceName
from berylshift.version.routes import EngineFacts

logger = logging.getLogger(__name__)

# About three seconds of one host's prompts: enough to follow engines that have changed
# speed, and not to be misled by one bad second.
MAX_SAMPLES = 48
# With fewer samples the prior is used.
MIN_SAMPLES = 8
# Most disturbances of a sample (an unknown wait, blocks that were not cached) make it
# slower, so the speed is estimated above the median.
SPEED_QUANTILE = 0.6
TIME_QUANTILE = 0.5
# A few late streams matter more than the median one.
EVENT_GAP_QUANTILE = 0.9
# Shorter prefills measure the network latency rather than the engine's speed.
MIN_PREFILL_TOKENS = 2_000
# A prefill is a sample only if the tokens queued ahead are at most this share of it.
MAX_AHEAD_SHARE = 0.5
# Priors of an average engine: prefilled tokens per second, seconds per running request,
# and seconds per response.
PRIOR_PREFILL_RATE = 61_400.0
PRIOR_RUNNING_SECONDS = 0.002
PRIOR_RESPONSE_SECONDS = 1.9
# Prior of the service time of a request at a plain replica, in seconds.
PRIOR_PLAIN_SECONDS = 0.03
# Prior of the longest gap between two events of a stream, in seconds. No decision
# depends on it while it is far below the limits of routes.
PRIOR_EVENT_GAP_SECONDS = 0.05
# Prior of the running requests per slot.
PRIOR_LOAD = 0.0
# An engine's KV cache capacity where the configuration does not state it.
PRIOR_KV_CAPACITY_TOKENS = 400_000
# Fixed time of a KV cache transfer, in addition to the time for its bytes: two messages
# and a set-up.
TRANSFER_SETUP_SECONDS = 0.003
BITS_PER_BYTE = 8
MEGA = 1_000_000
# Decisions change with an estimate, so a change by this factor is logged.
LOGGED_FACTOR = 1.25


class Estimate:
    """A quantile of the newest samples; a prior while there are too few."""

    def __init__(self, name: str, prior: float, quantile: float):
        """Begin with ``prior``; changes are logged under ``name``, if there is one."""
        self.value = prior
        self._name = name
        self._logged = prior
        self._quantile = quantile
        self._samples: deque[float] = deque(maxlen=MAX_SAMPLES)

    def add(self, sample: float) -> None:
        """Add a sample and update the estimate."""
        self._samples.append(sample)
        if len(self._samples) >= MIN_SAMPLES:
            ordered = sorted(self._samples)
            self.value = ordered[int(self._quantile * (len(ordered) - 1))]
            self._log()

    @property
    def is_learned(self) -> bool:
        """Return whether the estimate is from samples."""
        return len(self._samples) >= MIN_SAMPLES

    def _log(self) -> None:
        low, high = sorted((self.value, self._logged))
        if not self._name or high <= LOGGED_FACTOR * low:
            return
        logger.info(
            "speed estimate changed",
            extra={
                "what": self._name,
                "former": self._logged,
                "value": self.value,
                "samples": len(self._samples),
            },
        )
        self._logged = self.value


class ServiceSpeeds:
    """Estimates for the engines of one service."""

    def __init__(self, service: ServiceName) -> None:
        """Begin with the priors."""
        self.prefill_rate = Estimate(
            f"{service}: tokens read a second", PRIOR_PREFILL_RATE, SPEED_QUANTILE
        )
        self.seconds_per_running_request = Estimate(
            f"{service}: seconds a running request",
            PRIOR_RUNNING_SECONDS,
            TIME_QUANTILE,
        )
        self.response_seconds = Estimate(
            f"{service}: seconds an answer", PRIOR_RESPONSE_SECONDS, TIME_QUANTILE
        )
        self.plain_seconds = Estimate("", PRIOR_PLAIN_SECONDS, TIME_QUANTILE)
        # These vary with the load and are not logged: attempts state the predicted gap.
        self.event_gap = Estimate("", PRIOR_EVENT_GAP_SECONDS, EVENT_GAP_QUANTILE)
        self.usual_load = Estimate("", PRIOR_LOAD, TIME_QUANTILE)


class EngineSpeeds:
    """Speeds by service; times in seconds.

    They are those of a replica with the time factor 1.0: at a replica with another
    ``factor`` times are multiplied by it, and samples are divided by it.
    """

    def __init__(
        self, facts: Callable[[ServiceName], EngineFacts | None] = lambda name: None
    ):
        """Look up a service's engine configuration by ``facts``."""
        self._facts = facts
        self._services: dict[ServiceName, ServiceSpeeds] = {}

    def _of(self, service: ServiceName) -> ServiceSpeeds:
        found = self._services.get(service)
        if found is None:
            found = self._services[service] = ServiceSpeeds(service)
        return found

    def prefill_rate(self, service: ServiceName) -> float:
        """Return an engine's prefill speed in tokens a second."""
        return self._of(service).prefill_rate.value

    def learned_prefill_rate(self, service: ServiceName) -> float | None:
        """Return an engine's prefill speed; ``None`` while it is only the prior."""
        estimate = self._of(service).prefill_rate
        return estimate.value if estimate.is_learned else None

    def seconds_per_running_request(self, service: ServiceName) -> float:
        """Return the delay of the first token for each running request."""
        return self._of(service).seconds_per_running_request.value

    def slot_seconds(self, service: ServiceName, slots: int) -> float:
        """Return the mean seconds until one of ``slots`` occupied slots is free."""
        return self._of(service).response_seconds.value / max(1, slots)

    def plain_seconds(self, service: ServiceName) -> float:
        """Return the service time of a request at an idle plain replica."""
        return self._of(service).plain_seconds.value

    def event_gap(self, service: ServiceName) -> float:
        """Return the longest gap between events that nearly all streams see."""
        return self._of(service).event_gap.value

    def usual_load(self, service: ServiceName) -> float:
        """Return the running requests per slot of a usual decode engine."""
        return self._of(service).usual_load.value

    def kv_transfer_seconds(self, service: ServiceName, tokens: int) -> float:
        """Return the seconds to move the KV cache of ``tokens`` within a domain."""
        facts = self._facts(service)
        if facts is None or facts.link_mbps <= 0:
            return TRANSFER_SETUP_SECONDS
        bits = tokens * facts.kv_bytes_per_token * BITS_PER_BYTE
        return TRANSFER_SETUP_SECONDS + bits / (facts.link_mbps * MEGA)

    def kv_capacity_tokens(self, service: ServiceName) -> int:
        """Return how many tokens fit in an engine's KV cache."""
        facts = self._facts(service)
        return PRIOR_KV_CAPACITY_TOKENS if facts is None else facts.kv_capacity_tokens

    # Samples

    def record_prefill(
        self,
        service: ServiceName,
        tokens: int,
        ahead: float,
        seconds: float,
        factor: float = 1.0,
    ) -> None:
        """Record a prefill of ``tokens`` with ``ahead`` tokens queued before it."""
        if tokens < MIN_PREFILL_TOKENS or ahead > MAX_AHEAD_SHARE * tokens:
            return
        if seconds > 0:
            self._of(service).prefill_rate.add(factor * (tokens + ahead) / seconds)

    def record_first_token(
        self,
        service: ServiceName,
        moved: int,
        running: float,
        seconds: float,
        factor: float = 1.0,
    ) -> None:
        """Record the time from sending the KV cache of ``moved`` to the first token.

        ``running``: the number of requests that run on the engine.
        """
        waited = max(0.0, seconds - self.kv_transfer_seconds(service, moved))
        self._of(service).seconds_per_running_request.add(
            waited / (running + 1) / factor
        )

    def record_response(
        self, service: ServiceName, seconds: float, factor: float = 1.0
    ) -> None:
        """Record the duration of a whole response."""
        self._of(service).response_seconds.add(seconds / factor)

    def record_plain(
        self, service: ServiceName, seconds: float, load: float, factor: float
    ) -> None:
        """Record the duration of a complete response of a plain replica.

        ``load``: the requests per slot that were there when it was sent; the time is
        assumed to grow in proportion to them.
        """
        self._of(service).plain_seconds.add(seconds / factor / (1 + load))

    def record_event_gap(
        self, service: ServiceName, seconds: float, load: float, factor: float
    ) -> None:
        """Record a stream's longest gap between two events.

        ``load``: the requests per slot that ran on the engine when it was sent.
        """
        speeds = self._of(service)
        speeds.event_gap.add(seconds / factor)
        speeds.usual_load.add(load)
