"""Fair queueing on one host: measures services, and decides for each prompt."""

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from berylshift.ids import CustomerName, Fingerprint, ServiceName
from berylshift.messages.replicas import Replica
from berylshift.process.directory.pools import Pool
from berylshift.process.gossip.peer_loads import PeerLoads
from berylshift.process.targets.customer_demand import (
    HALF_LIFE_SECONDS,
    WINDOW_SECONDS,
    CustomerDemand,
)
from berylshift.process.targets.engine_speeds import EngineSpeeds
from berylshift.process.targets.target_load import TargetLoads
from berylshift.scheduling.fair_share import (
    ShortageDetector,
    retry_delay,
    wait_share,
)
from berylshift.scheduling.features import Feature, Features
from berylshift.scheduling.used_capacity import EVEN_USE, UsedCapacity
from berylshift.version.routes import Route

logger = logging.getLogger(__name__)

# Seconds between measurements of a service's load, and the replicas sampled at most, so
# that the cost doesn't grow with the fleet.
MEASURE_SECONDS = 0.25
MEASURED_REPLICAS = 32
# Nothing is refused while fewer slots than this share are taken and nothing waits.
BUSY_SHARE = 0.5
# Prefill work that counts as a queue, in seconds: less is probably being prefilled.
MIN_QUEUE_SECONDS = 0.1
# Refused requests that are remembered, and for how long: callers return within a third
# of the time they have left.
MAX_REFUSED = 4096
REFUSED_SECONDS = 15.0


class ServiceLoad(msgspec.Struct, frozen=True):
    """A service's load as this host knows it, at a sample of its replicas.

    ``queue_seconds`` is the prefill work that is queued, divided by the prefill rate.
    ``tokens_per_second`` is the rate of all prefill engines.
    """

    queue_seconds: float = 0.0
    tokens_per_second: float = 0.0
    busy_share: float = 0.0
    waiting: float = 0.0

    @property
    def is_idle(self) -> bool:
        """Return whether half of the slots are free and nothing waits."""
        return (
            self.busy_share < BUSY_SHARE
            and self.waiting == 0
            and self.queue_seconds < MIN_QUEUE_SECONDS
        )


@dataclass
class _RefusedTokens:
    """Tokens of refused prompts, decaying."""

    tokens: float = 0.0
    at: float = 0.0

    def add(self, tokens: int, now: float) -> float:
        """Add a refused prompt; return the tokens refused lately."""
        factor = 0.5 ** (max(0.0, now - self.at) / HALF_LIFE_SECONDS)
        self.tokens, self.at = self.tokens * factor + tokens, now
        return self.tokens


class FairQueueing:
    """Decides which prompts wait for their customer's share; times in seconds."""

    def __init__(
        self,
        features: Features,
        demand: CustomerDemand,
        loads: TargetLoads,
        peers: PeerLoads,
        speeds: EngineSpeeds,
        rng: random.Random,
        host_count: Callable[[], int] = lambda: 1,
        capacity: UsedCapacity = EVEN_USE,
    ):
        """Decide on the load that this host knows of.

        ``host_count`` returns how many hosts send to the engines.
        """
        self._features = features
        self._demand = demand
        self._loads = loads
        self._peers = peers
        self._speeds = speeds
        self._rng = rng
        self._host_count = host_count
        self._capacity = capacity
        self._detectors: dict[ServiceName, ShortageDetector] = {}
        self._measured: dict[ServiceName, tuple[float, ServiceLoad]] = {}
        self._refused_tokens: dict[ServiceName, _RefusedTokens] = {}
        self._refused: dict[Fingerprint, float] = {}
        self.waiting_prompts = 0

    def uses(self, service: ServiceName) -> bool:
        """Return whether shares are kept for a service."""
        return self._features.uses(Feature.FAIR_SHARES, service)

    @property
    def short_services(self) -> int:
        """Return how many services are short of prefill capacity."""
        return sum(detector.is_short for detector in self._detectors.values())

    def is_short(
        self, service: ServiceName, pool: Pool, route: Route, now: float
    ) -> bool:
        """Return whether a service is short; log when that changes."""
        detector = self._detectors.setdefault(service, ShortageDetector())
        was_short = detector.is_short
        load = self.load(service, pool, now)
        found = detector.update(load.queue_seconds, route.objective_seconds, now)
        if found != was_short:
            logger.info(
                "prefill capacity is short" if found else "prefill capacity suffices",
                extra={
                    "service": service,
                    "queue_ms": round(load.queue_seconds * 1000),
                    "tokens_per_s": round(load.tokens_per_second),
                    "customers": len(self._demand.of(service, now).customers),
                },
            )
        return found

    def waits(self, service: ServiceName, customer: CustomerName, now: float) -> bool:
        """Return whether a prompt of a customer waits while its service is short."""
        demand = self._demand.of(service, now)
        _, load = self._measured.get(service, (now, ServiceLoad()))
        share = wait_share(
            demand.of(customer),
            demand.others(customer),
            demand.total,
            load.tokens_per_second * WINDOW_SECONDS,
        )
        found = share > 0 and self._rng.random() < share
        self.waiting_prompts += found
        return found

    def record(
        self,
        service: ServiceName,
        customer: CustomerName | None,
        tokens: int,
        now: float,
    ) -> None:
        """Count the prefill work of a prompt that arrived."""
        self._demand.record(service, customer, tokens, now)

    def load(self, service: ServiceName, pool: Pool, now: float) -> ServiceLoad:
        """Return a service's load, as of a short time ago."""
        known = self._measured.get(service)
        if known is not None and now - known[0] < MEASURE_SECONDS:
            return known[1]
        found = self._measure(service, pool, now)
        self._measured[service] = (now, found)
        return found

    def is_idle(self, service: ServiceName, pool: Pool, now: float) -> bool:
        """Return whether nothing may be refused, since there is room.

        A service that was idle is measured again: its queues may have grown since.
        """
        if not self.load(service, pool, now).is_idle:
            return False
        del self._measured[service]
        return self.load(service, pool, now).is_idle

    def _measure(self, service: ServiceName, pool: Pool, now: float) -> ServiceLoad:
        queued = rate = running = waiting = slots = 0.0
        for rep in self._sample(pool.prefill_engines):
            own = self._loads.of(rep.instance).prefill_tokens
            queued += sum(own) + sum(self._peers.prefill_tokens(rep.instance, now))
            rate += 1 / self._capacity.lasting_factor(rep)
        for rep in self._sample(pool.replicas):
            load = self._loads.of(rep.instance)
            known = load.in_flight + self._peers.in_flight(rep.instance, now)
            running += max(known, load.running(now))
            waiting += load.waiting(now)
            slots += rep.slots
        rate *= self._speeds.prefill_rate(service)
        engines = len(pool.prefill_engines)
        return ServiceLoad(
            queued / rate if rate else 0.0,
            rate * engines / max(1, min(engines, MEASURED_REPLICAS)),
            running / slots if slots else 0.0,
            waiting,
        )

    def _sample(self, replicas: list[Replica]) -> list[Replica]:
        if len(replicas) <= MEASURED_REPLICAS:
            return replicas
        return self._rng.sample(replicas, MEASURED_REPLICAS)

    # Refusals

    def retry_seconds(
        self,
        service: ServiceName,
        tokens: int,
        wait_seconds: float,
        seconds_left: float,
        now: float,
    ) -> float:
        """Return after how long the caller of a refused prompt may retry.

        The spread is the time that the service needs for all that was refused lately,
        assuming that the other hosts refuse as much as this one.
        """
        refused = self._refused_tokens.setdefault(service, _RefusedTokens())
        all_refused = refused.add(tokens, now) * self._host_count()
        _, load = self._measured.get(service, (now, ServiceLoad()))
        spread = all_refused / max(1.0, load.tokens_per_second)
        return retry_delay(wait_seconds, spread, seconds_left, self._rng.random())

    def remember_refused(self, request: Fingerprint | None, now: float) -> None:
        """Remember a refused request until its caller may return."""
        if request is None:
            return
        self._refused.pop(request, None)
        self._refused[request] = now
        while len(self._refused) > MAX_REFUSED:
            del self._refused[next(iter(self._refused))]

    def take_refused(self, request: Fingerprint | None, now: float) -> bool:
        """Return whether a request was refused here lately, once for each refusal."""
        if request is None:
            return False
        at = self._refused.pop(request, None)
        return at is not None and now - at < REFUSED_SECONDS
