"""Decides by the speeds of a service's engines which of them decode.

Streams on an engine that is too slow get their events late whatever the load, so such
engines prefill, and faster ones decode: as many as have the capacity that the
configured share of engines of the mean speed would have.

The fastest engines decode, as few as needed, so that the rest of the fast ones is left
for prefill; docs/design/phase-split.md compares this with other choices.

The plan must not follow passing states: factors count once they have lasted for
seconds, only clearly different engines are swapped, and an engine in its right phase
stays there. The phases of the engines are the only state that a new leader needs.
"""

import math
import statistics
from collections import Counter, deque
from collections.abc import Callable, Iterable, Sequence

from berylshift.ids import DomainName, InstanceId, ServiceName
from berylshift.messages.replicas import EnginePhase, Replica
from berylshift.process.gossip.peer_loads import PeerLoads
from berylshift.process.leader_tasks.phase_planner import (
    ChangeReason,
    PhaseChange,
    PhaseTargets,
    PoolView,
)
from berylshift.process.targets.target_load import TargetLoads
from berylshift.scheduling.capacity import ReplicaCapacity
from berylshift.version.routes import RouteTable

# Engines are swapped, and capacities counted instead of engines, from this ratio of
# factors on: an order takes an engine away for seconds, which a smaller gain is not
# worth. Below the second ratio all engines count as equally fast again.
CLEAR_RATIO = 1.5
EVEN_RATIO = 1.3
# Factors, gaps and load are observed at this interval, in seconds: more often would
# cost CPU time in large pools, and nothing is decided within a second.
SAMPLE_SECONDS = 1.0
# A factor is the median of the samples within this time, in seconds: disturbances last
# some hundred ms, and an engine that is slow for less than half of it is left alone.
FACTOR_WINDOW_SECONDS = 8.0
# A factor is known after this time, and a gap that is too long counts after it, in
# seconds: longer than demand takes to swing between routes.
LASTING_SECONDS = 4.0
# Engines within this ratio are chosen by failure domain instead of speed.
CLASS_RATIO = 1.25
# The learned gap is that of the engine's slowest streams and so includes disturbances.
# The margin covers the larger batches of fewer, faster engines.
GAP_MARGIN = 1.25
# Speeds are compared once this share of engines has known factors, and until fewer than
# the second share has: the loss of a failure domain must not end the comparison.
KNOWN_SHARE = 0.75
FORGOTTEN_SHARE = 0.5
# A factor of exactly 1.0 may mean that nothing is known. After this time, in seconds,
# it is taken for the mean speed: learned factors close to 1.0 are given as 1.0.
MEAN_SECONDS = 6.0
# A host that has just started receives the known speeds with the first digests. Until
# they have lasted it waits, at most for this time, in seconds.
LEARNING_SECONDS = 12.0
# As without known speeds: an imbalance of one engine is left alone, and a larger one
# for longer than a crashed engine's entry takes to expire and come back, in seconds.
MAX_TOLERATED_IMBALANCE = 1
IMBALANCE_SECONDS = 3.0
# The mean of this time does not follow the swings of demand between routes, in seconds.
LOAD_WINDOW_SECONDS = 28.0
# Other hosts send digests at least every three seconds, also while they have no work.
# Where most have been silent for longer, their load is not known.
SILENCE_SECONDS = 4.0
# Share of the decode slots in use from which on more engines decode: it leaves slots
# for the peak of a swing, since streams would wait for slots if all were in use.
MAX_SLOT_SHARE = 0.5
# Engines that the load needed are released once they would not be needed at this
# multiple of it either, so that a load near a limit does not move engines to and fro.
RELEASE_RATIO = 1.25
# Prefill keeps at least this share of the engines, however many streams run.
MIN_PREFILL_SHARE = 0.5

MEAN_FACTOR = 1.0
# Names of conditions whose duration is recorded.
MISSING, SURPLUS = "missing", "surplus"


class ObservedStreams:
    """The requests of all hosts that run at engines."""

    def __init__(self, loads: TargetLoads, peers: PeerLoads):
        """Add this host's requests and those in the other hosts' digests."""
        self._loads = loads
        self._peers = peers

    def running(self, engines: Iterable[Replica], now: float) -> float:
        """Return how many requests run at ``engines``."""
        return sum(
            self._loads.of(rep.instance).in_flight
            + self._peers.in_flight(rep.instance, now)
            for rep in engines
        )


def smallest_event_gap(table: RouteTable | None, service: ServiceName) -> float:
    """Return the smallest gap that a service's routes allow; 0: none states one."""
    if table is None:
        return 0.0
    gaps = [
        route.event_gap_seconds
        for route in table.routes
        if route.event_gap_seconds > 0
        and any(share.service == service for share in route.shares)
    ]
    return min(gaps, default=0.0)


class PhaseSplit:
    """Decides which engines of a service decode; plain, the time is passed in."""

    def __init__(
        self,
        capacity: ReplicaCapacity,
        is_used: Callable[[], bool],
        gap_limit: Callable[[], float],
        running: Callable[[Iterable[Replica], float], float],
        hears_others: Callable[[float], bool],
    ):
        """Decide while ``is_used``.

        ``gap_limit`` returns the longest acceptable gap between events, 0: none;
        ``running`` how many requests run at some engines, as far as this host knows;
        ``hears_others`` whether most other hosts were heard of within some seconds.
        """
        self._hears_others = hears_others
        self._capacity = capacity
        self._is_used = is_used
        self._gap_limit = gap_limit
        self._running = running
        self._factors = _LastingFactors()
        self._durations = _Durations()
        self._streams = _Mean()
        self._sampled_at = -math.inf
        self._last: PhaseTargets | None = None
        self._late: frozenset[InstanceId] = frozenset()
        self._counts_capacity = False
        # Since when too few factors are known; ``None`` while enough are.
        self._unknown_since: float | None = None

    def is_learning(self, now: float) -> bool:
        """Return whether the engines' speeds may become known within seconds."""
        if not self._is_used() or self._unknown_since is None:
            return False
        return now - self._unknown_since < LEARNING_SECONDS

    def targets(self, pool: PoolView, now: float) -> PhaseTargets | None:
        """Return which engines should change phase; ``None``: the share decides."""
        if not self._is_used() or not pool.engines:
            return None
        if now - self._sampled_at >= SAMPLE_SECONDS:
            self._sampled_at = now
            self._sample(pool.engines, now)
        elif self._last is not None and not self._last.changes:
            # Nothing was to be done, and little can have happened within a second.
            return self._last
        self._last = self._decide(pool, now)
        return self._last

    def _decide(self, pool: PoolView, now: float) -> PhaseTargets | None:
        factors = self._factors.known(pool.engines)
        if not self._counts_capacity or not factors:
            self._durations.keep(())
            return None
        decision = _Decision(
            pool, factors, self._late, self._streams.value, self._lasts
        )
        return decision.targets(now)

    def _sample(self, engines: list[Replica], now: float) -> None:
        """Observe the engines' factors, gaps and load."""
        self._factors.sample(engines, self._capacity, now)
        self._update_mode(engines, now)
        decode = _in_phase(engines, EnginePhase.DECODE)
        if self._hears_others(SILENCE_SECONDS):
            self._streams.add(self._running(decode, now), now)
        else:
            # This host's requests alone; so may be those since the others fell silent.
            self._streams.drop_since(now - SILENCE_SECONDS, now)
        if self._counts_capacity:
            factors = self._factors.known(engines)
            self._late = self._find_late(decode, factors, now)

    def _lasts(self, what: str, holds: bool, now: float) -> bool:
        return self._durations.lasts(what, holds, IMBALANCE_SECONDS, now)

    def _update_mode(self, engines: list[Replica], now: float) -> None:
        """Decide whether engines count by capacity: their speeds clearly differ."""
        known = self._factors.known(engines)
        share = len(known) / len(engines)
        if share >= KNOWN_SHARE:
            self._unknown_since = None
            ratio = max(known.values()) / min(known.values())
            limit = EVEN_RATIO if self._counts_capacity else CLEAR_RATIO
            self._counts_capacity = ratio >= limit
            return
        if self._counts_capacity and share >= FORGOTTEN_SHARE:
            return
        if self._unknown_since is None:
            self._unknown_since = now
        if now - self._unknown_since >= LEARNING_SECONDS:
            self._counts_capacity = False

    def _find_late(
        self, decode: list[Replica], factors: dict[InstanceId, float], now: float
    ) -> frozenset[InstanceId]:
        """Return the engines on which gaps have been too long for some time.

        A gap is predicted from those learned of all decode engines, by the factor. The
        engine's own counts for half: few streams may not have met a disturbance. With
        none learned at all, clearly slow engines are taken to be late.
        """
        limit = self._gap_limit()
        gaps = {
            rep.instance: gap
            for rep in decode
            if rep.instance in factors
            and (gap := self._capacity.event_gap(rep, now)) is not None
        }
        at_mean = [gap / factors[instance] for instance, gap in gaps.items()]
        mean_gap = statistics.median(at_mean) if at_mean else limit / CLEAR_RATIO
        margin = GAP_MARGIN if at_mean else 1.0
        found = []
        for instance, factor in factors.items():
            predicted = mean_gap * factor
            gap = (gaps.get(instance, predicted) + predicted) / 2
            is_late = limit > 0 and gap * margin >= limit
            if self._durations.lasts(instance, is_late, LASTING_SECONDS, now):
                found.append(instance)
        self._durations.keep((*factors, MISSING, SURPLUS))
        return frozenset(found)


class _Decision:
    """One decision about a pool whose engines clearly differ in speed."""

    def __init__(
        self,
        pool: PoolView,
        factors: dict[InstanceId, float],
        late: frozenset[InstanceId],
        mean_running: float | None,
        lasts: Callable[[str, bool, float], bool],
    ):
        self._pool = pool
        self._factors = factors
        self._late = late
        self._lasts = lasts
        self._weights = _capacities(pool.engines, self._factors)
        self._decode = _in_phase(pool.engines, EnginePhase.DECODE)
        self._prefill = _in_phase(pool.engines, EnginePhase.PREFILL)
        self._needed_engines = self._engines_for(mean_running)
        # Until the load is known, engines that it may need are not taken away.
        self._released_beyond = (
            len(self._decode)
            if mean_running is None
            else self._engines_for(RELEASE_RATIO * mean_running)
        )
        share = pool.decode_engines / len(pool.engines)
        self._needed_capacity = share * sum(self._weights.values())

    def targets(self, now: float) -> PhaseTargets:
        """Return which engines should change phase."""
        misplaced = self._misplaced()
        kept = _without(self._decode, misplaced)
        missing = self._missing(kept, self._replacements(misplaced, kept))
        by_speed = sorted(
            misplaced, key=lambda rep: (self._factors[rep.instance], rep.instance)
        )
        leaving = _without(by_speed, self._missing(kept + missing, by_speed))
        reason = ChangeReason.GAP
        if leaving:
            leaving = self._by_suitability(leaving, kept)[::-1]
            self._lasts(MISSING, False, now)
            self._lasts(SURPLUS, False, now)
        else:
            reason = ChangeReason.CAPACITY
            missing, leaving = self._imbalance(now)
        return PhaseTargets(
            self._changes(missing, EnginePhase.DECODE, reason),
            self._changes(leaving, EnginePhase.PREFILL, reason),
            self._weights,
            self._needed_capacity,
            self._needed_engines,
        )

    def _engines_for(self, mean_running: float | None) -> int:
        """Return how many engines decode at least."""
        if mean_running is None:
            return self._pool.min_decode_engines
        slots = statistics.fmean(rep.slots for rep in self._pool.engines)
        by_load = math.ceil(mean_running / (MAX_SLOT_SHARE * max(1.0, slots)))
        most = math.floor((1 - MIN_PREFILL_SHARE) * len(self._pool.engines))
        return max(self._pool.min_decode_engines, min(by_load, most))

    def _misplaced(self) -> list[Replica]:
        """Return the decode engines that are late and clearly slower than others."""
        fastest = min(self._factors.values())
        return [
            rep
            for rep in self._decode
            if rep.instance in self._late
            and self._factors[rep.instance] >= CLEAR_RATIO * fastest
        ]

    def _replacements(
        self, misplaced: list[Replica], kept: list[Replica]
    ) -> list[Replica]:
        """Return the prefill engines clearly faster than all that are misplaced.

        They are balanced over failure domains together with those ``kept``.
        """
        if not misplaced:
            return []
        slowest = min(self._factors[rep.instance] for rep in misplaced) / CLEAR_RATIO
        found = [
            rep
            for rep in self._prefill
            if rep.instance not in self._pool.unavailable
            and self._factors.get(rep.instance, math.inf) <= slowest
        ]
        return self._by_suitability(found, kept)[: len(self._prefill) - 1]

    def _imbalance(self, now: float) -> tuple[list[Replica], list[Replica]]:
        """Return the engines that are missing or too many once that has lasted."""
        capacity = sum(self._weights[rep.instance] for rep in self._decode)
        is_short = (
            capacity < self._needed_capacity or len(self._decode) < self._needed_engines
        )
        missing = self._missing(self._decode, self._candidates()) if is_short else []
        surplus = self._surplus(capacity)
        is_urgent = len(self._decode) < self._pool.min_decode_engines
        is_missing = len(missing) > MAX_TOLERATED_IMBALANCE
        is_surplus = len(surplus) > MAX_TOLERATED_IMBALANCE
        missing_lasts = self._lasts(MISSING, is_missing, now)
        surplus_lasts = self._lasts(SURPLUS, is_surplus, now)
        return (
            missing if missing_lasts or is_urgent else [],
            surplus if surplus_lasts else [],
        )

    def _candidates(self) -> list[Replica]:
        """Return the prefill engines that can be ordered; one at least is left out."""
        found = [
            rep for rep in self._prefill if rep.instance not in self._pool.unavailable
        ]
        return self._by_suitability(found, self._decode)[: len(self._prefill) - 1]

    def _missing(
        self, present: list[Replica], candidates: Sequence[Replica]
    ) -> list[Replica]:
        """Return the first of ``candidates`` that decode needs besides ``present``."""
        capacity = sum(self._weights[rep.instance] for rep in present)
        count = len(present)
        found: list[Replica] = []
        for rep in candidates:
            is_enough = capacity >= self._needed_capacity
            if is_enough and count >= self._needed_engines:
                break
            capacity += self._weights[rep.instance]
            count += 1
            found.append(rep)
        return found

    def _surplus(self, capacity: float) -> list[Replica]:
        """Return the decode engines without which the others are enough.

        ``capacity``: of all decode engines.
        """
        count = len(self._decode)
        least = min(self._weights[rep.instance] for rep in self._decode)
        if capacity - least < self._needed_capacity or count <= self._released_beyond:
            return []
        found = []
        for rep in reversed(self._by_suitability(self._decode, [])):
            remaining = capacity - self._weights[rep.instance]
            if remaining < self._needed_capacity or count <= self._released_beyond:
                break
            capacity, count = remaining, count - 1
            found.append(rep)
        return found

    def _by_suitability(
        self, engines: list[Replica], others: list[Replica]
    ) -> list[Replica]:
        """Return engines by suitability for decode, spread over failure domains.

        ``others``: engines that decode in any case.

        Those that keep the gap go first, known ones first among them, then faster ones.
        """
        if not engines:
            return []
        fastest = min(self._factors.values())
        classes: dict[tuple[bool, bool, int], list[Replica]] = {}
        for rep in sorted(engines, key=lambda rep: rep.instance):
            factor = self._factors.get(rep.instance)
            speed = 0 if factor is None else _speed_class(factor, fastest)
            key = (rep.instance in self._late, factor is None, speed)
            classes.setdefault(key, []).append(rep)
        found: list[Replica] = []
        for key in sorted(classes):
            found += _spread(classes[key], others + found)
        return found

    def _changes(
        self, engines: list[Replica], phase: EnginePhase, reason: ChangeReason
    ) -> tuple[PhaseChange, ...]:
        return tuple(
            PhaseChange(rep, phase, reason, self._factors.get(rep.instance))
            for rep in engines
        )


class _LastingFactors:
    """Medians of the factors observed lately, by instance."""

    def __init__(self) -> None:
        self._samples: dict[InstanceId, deque[tuple[float, float]]] = {}
        self._factors: dict[InstanceId, float] = {}
        # Since when the factor has been 1.0.
        self._mean_since: dict[InstanceId, float] = {}

    def sample(
        self, engines: list[Replica], capacity: ReplicaCapacity, now: float
    ) -> None:
        """Observe the current factors; forget engines that are gone.

        What is known remains while the factor may not be.
        """
        instances = {rep.instance for rep in engines}
        for known in (self._samples, self._factors, self._mean_since):
            for gone in known.keys() - instances:
                del known[gone]
        for rep in engines:
            factor = capacity.lasting_factor(rep)
            if factor != MEAN_FACTOR:
                self._mean_since.pop(rep.instance, None)
            elif now - self._mean_since.setdefault(rep.instance, now) < MEAN_SECONDS:
                continue
            if factor > 0:
                self._add(rep.instance, factor, now)

    def _add(self, instance: InstanceId, factor: float, now: float) -> None:
        samples = self._samples.setdefault(instance, deque())
        samples.append((now, factor))
        while now - samples[0][0] > FACTOR_WINDOW_SECONDS:
            samples.popleft()
        known = self._factors.get(instance)
        if known == factor == samples[0][1]:
            # The usual case, in which a large pool needs no new medians.
            return
        if known is not None or now - samples[0][0] >= LASTING_SECONDS:
            self._factors[instance] = statistics.median(value for _, value in samples)

    def known(self, engines: list[Replica]) -> dict[InstanceId, float]:
        """Return the factors that have lasted, of ``engines``."""
        return {
            rep.instance: self._factors[rep.instance]
            for rep in engines
            if rep.instance in self._factors
        }


class _Durations:
    """How long conditions have held, by name."""

    def __init__(self) -> None:
        self._since: dict[str, float] = {}

    def lasts(self, what: str, holds: bool, seconds: float, now: float) -> bool:
        """Record whether a condition holds; return whether it has for ``seconds``."""
        if not holds:
            self._since.pop(what, None)
            return False
        return now - self._since.setdefault(what, now) >= seconds

    def keep(self, names: Iterable[str]) -> None:
        """Forget all other conditions."""
        for gone in self._since.keys() - set(names):
            del self._since[gone]


class _Mean:
    """The mean of the values of the last seconds."""

    def __init__(self) -> None:
        self._values: deque[tuple[float, float]] = deque()

    def add(self, value: float, now: float) -> None:
        """Add a value."""
        self._values.append((now, value))
        self._drop_old(now)

    def drop_since(self, at: float, now: float) -> None:
        """Drop the values of the time since ``at``, and old ones."""
        while self._values and self._values[-1][0] >= at:
            self._values.pop()
        self._drop_old(now)

    def _drop_old(self, now: float) -> None:
        while self._values and now - self._values[0][0] >= LOAD_WINDOW_SECONDS:
            self._values.popleft()

    @property
    def value(self) -> float | None:
        """Return the mean; ``None`` until there are values of the whole time."""
        if not self._values:
            return None
        seconds = self._values[-1][0] - self._values[0][0]
        if seconds < LOAD_WINDOW_SECONDS - 2 * SAMPLE_SECONDS:
            return None
        return statistics.fmean(value for _, value in self._values)


def _in_phase(engines: list[Replica], phase: EnginePhase) -> list[Replica]:
    return [rep for rep in engines if rep.phase is phase]


def _speed_class(factor: float, fastest: float) -> int:
    return int(math.log(factor / fastest, CLASS_RATIO))


def _capacities(
    engines: list[Replica], factors: dict[InstanceId, float]
) -> dict[InstanceId, float]:
    """Return each engine's capacity; engines of the mean speed have 1.0.

    An engine that is not known counts like the others in its phase: one that has
    restarted has the speed that it had, and must not unbalance the split.
    """
    found = {instance: 1 / factor for instance, factor in factors.items()}
    mean = statistics.fmean(found.values())
    for phase in EnginePhase:
        members = _in_phase(engines, phase)
        known = [found[rep.instance] for rep in members if rep.instance in factors]
        usual = statistics.fmean(known) if known else mean
        for rep in members:
            found.setdefault(rep.instance, usual)
    return found


def _without(engines: list[Replica], others: list[Replica]) -> list[Replica]:
    left_out = {rep.instance for rep in others}
    return [rep for rep in engines if rep.instance not in left_out]


def _spread(engines: list[Replica], others: list[Replica]) -> list[Replica]:
    """Return engines such that the domains of ``others`` and the first are balanced."""
    counts = Counter(rep.domain for rep in others)
    by_domain: dict[DomainName, deque[Replica]] = {}
    for rep in engines:
        by_domain.setdefault(rep.domain, deque()).append(rep)
    found = []
    while by_domain:
        domain = min(
            by_domain, key=lambda name: (counts[name], -len(by_domain[name]), name)
        )
        found.append(by_domain[domain].popleft())
        counts[domain] += 1
        if not by_domain[domain]:
            del by_domain[domain]
    return found
