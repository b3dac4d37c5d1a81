"""Plans which engines of a pool prefill prompts and which decode.

Prefill on a decode engine stalls its streams for the time of each chunk, so prompts are
prefilled on separate engines. Prefill is most of the work, and its cached prompts fill
the engines' memory; decode needs little of either.

How many engines prefill follows from a configured share. Where engines differ in
speed, an ``EngineSplit`` decides which engines decode instead, and the planner divides
its decision into steps: an engine that takes over streams is up before another leaves.
"""

import math
from collections.abc import Iterable
from enum import StrEnum
from typing import Protocol

import msgspec

from berylshift.ids import InstanceId
from berylshift.messages.replicas import EnginePhase, Replica

# An imbalance of up to this many engines is left alone: a change makes an engine
# unavailable for seconds, and engines that crash come back in their former phase.
MAX_TOLERATED_IMBALANCE = 1
# Minimum number of decode engines, and their share in a large pool. A single one would
# be a single point of failure, and its batch would grow until tokens come late for all.
MIN_DECODE_ENGINES = 2
MIN_DECODE_SHARE = 0.2
MIN_PREFILL_ENGINES = 1
# How long the split must be unbalanced before it is corrected, in seconds: longer than
# a crashed engine's entry takes to expire and come back.
IMBALANCE_SECONDS = 3.0
# While a system starts, engines are listed one by one: the split is planned once their
# number has not changed for this long, in seconds.
STABLE_COUNT_SECONDS = 1.2
# The share of a pool that may be changing phase while there is traffic.
MAX_CHANGING_SHARE = 0.2


class ChangeReason(StrEnum):
    """Why an engine is to change phase."""

    SHARE = "share"
    CAPACITY = "capacity"
    GAP = "gap"


class PhaseChange(msgspec.Struct, frozen=True):
    """A change of one engine to another phase.

    ``factor``: how long work takes at the engine, ``None`` if that was not considered.
    """

    replica: Replica
    phase: EnginePhase
    reason: ChangeReason = ChangeReason.SHARE
    factor: float | None = None


class PoolView(msgspec.Struct, frozen=True):
    """A pool as the planner observes it; engines are in the phases last ordered.

    ``changing``: engines that have not yet confirmed their phase by their entries.
    ``unavailable``: engines that can't be ordered now. ``decode_engines`` is how many
    decode by the configured share, ``min_decode_engines`` how many decode at least.
    """

    engines: list[Replica]
    decode_engines: int
    min_decode_engines: int
    changing: frozenset[InstanceId] = frozenset()
    unavailable: frozenset[InstanceId] = frozenset()


class PhaseTargets(msgspec.Struct, frozen=True):
    """Engines that are in the wrong phase, in the order in which to change them.

    ``capacity``: of each engine, in engines of the mean speed. The engines that decode
    should have ``decode_capacity`` together, and be at least ``decode_engines``.
    """

    to_decode: tuple[PhaseChange, ...]
    to_prefill: tuple[PhaseChange, ...]
    capacity: dict[InstanceId, float]
    decode_capacity: float
    decode_engines: int

    @property
    def changes(self) -> tuple[PhaseChange, ...]:
        """Return all changes."""
        return self.to_decode + self.to_prefill


class EngineSplit(Protocol):
    """Decides by the speeds of engines which of them decode."""

    def targets(self, pool: PoolView, now: float) -> PhaseTargets | None:
        """Return which engines should change phase; ``None``: the share decides."""

    def is_learning(self, now: float) -> bool:
        """Return whether the engines' speeds may become known within seconds."""


class PhasePlanner:
    """Keeps a share of a pool's engines in the prefill phase; sends no orders."""

    def __init__(self, prefill_share: float, split: EngineSplit | None = None):
        """Aim at a share of ``prefill_share`` of the engines in the prefill phase.

        Where ``split`` has a decision, it replaces the share.
        """
        self._prefill_share = prefill_share
        self._split = split
        self._imbalanced_since: float | None = None
        self._engine_count = 0
        self._engine_count_since = 0.0

    def desired_prefill_engines(self, engine_count: int) -> int:
        """Return how many of ``engine_count`` engines should prefill."""
        prefill_count = round(self._prefill_share * engine_count)
        prefill_count = min(
            prefill_count, engine_count - min_decode_engines(engine_count)
        )
        return max(MIN_PREFILL_ENGINES, prefill_count)

    def plan(
        self,
        engines: list[Replica],
        now: float,
        is_idle: bool,
        changing: frozenset[InstanceId] = frozenset(),
        unavailable: frozenset[InstanceId] = frozenset(),
    ) -> tuple[PhaseChange, ...]:
        """Return the changes due now; ``is_idle``: no traffic needs the engines.

        ``changing`` and ``unavailable`` are as in ``PoolView``.
        """
        if len(engines) != self._engine_count:
            self._engine_count, self._engine_count_since = len(engines), now
        if is_idle and now - self._engine_count_since < STABLE_COUNT_SECONDS:
            return ()
        if self._split is None or is_idle:
            return self._plan_by_share(engines, now, is_idle)
        count = len(engines)
        decode_count = count - self.desired_prefill_engines(count)
        min_decode = min_decode_engines(count)
        pool = PoolView(engines, decode_count, min_decode, changing, unavailable)
        targets = self._split.targets(pool, now)
        if targets is not None:
            self._imbalanced_since = None
            return _next_step(pool, targets)
        changes = self._plan_by_share(engines, now, is_idle)
        return () if self._awaits_speeds(changes, engines, now) else changes

    def _awaits_speeds(
        self, changes: tuple[PhaseChange, ...], engines: list[Replica], now: float
    ) -> bool:
        """Return whether to put off changes until the engines' speeds are known.

        A host that has just started doesn't know yet that the few engines that decode
        are fast ones; it must not order more engines to decode than are needed.
        """
        if not changes or changes[0].phase is not EnginePhase.DECODE:
            return False
        prefill_count = sum(rep.phase is EnginePhase.PREFILL for rep in engines)
        if self._split is None or self._is_urgent(prefill_count, len(engines)):
            return False
        return self._split.is_learning(now)

    def _plan_by_share(
        self, engines: list[Replica], now: float, is_idle: bool
    ) -> tuple[PhaseChange, ...]:
        """Return the changes due if engines are equally fast."""
        prefill_engines = [rep for rep in engines if rep.phase is EnginePhase.PREFILL]
        missing = self.desired_prefill_engines(len(engines)) - len(prefill_engines)
        urgent = self._is_urgent(len(prefill_engines), len(engines))
        if not missing or not (
            is_idle or urgent or abs(missing) > MAX_TOLERATED_IMBALANCE
        ):
            self._imbalanced_since = None
            return ()
        if self._imbalanced_since is None:
            self._imbalanced_since = now
        if not (is_idle or urgent) and now - self._imbalanced_since < IMBALANCE_SECONDS:
            return ()
        max_changes = len(engines) if is_idle else max_changing_engines(len(engines))
        if missing > 0:
            decode_engines = [rep for rep in engines if rep.phase is EnginePhase.DECODE]
            return _changes(
                decode_engines, min(missing, max_changes), EnginePhase.PREFILL
            )
        return _changes(prefill_engines, min(-missing, max_changes), EnginePhase.DECODE)

    def _is_urgent(self, prefill_count: int, engine_count: int) -> bool:
        """Return whether one phase has too few engines to delay the change."""
        if engine_count <= MIN_DECODE_ENGINES:
            return False
        too_few_decode = engine_count - prefill_count < min_decode_engines(engine_count)
        return too_few_decode or prefill_count < MIN_PREFILL_ENGINES


def min_decode_engines(engine_count: int) -> int:
    """Return the minimum number of decode engines among ``engine_count``."""
    return max(MIN_DECODE_ENGINES, math.ceil(MIN_DECODE_SHARE * engine_count))


def max_changing_engines(engine_count: int) -> int:
    """Return how many of ``engine_count`` engines may change phase under traffic."""
    return max(1, math.floor(MAX_CHANGING_SHARE * engine_count))


def _next_step(pool: PoolView, targets: PhaseTargets) -> tuple[PhaseChange, ...]:
    """Return the changes towards ``targets`` that may be ordered now.

    At most half of the engines that may be changing start to decode at once, so that
    those they replace can leave in the next step.
    """
    if not targets.changes:
        return ()
    max_changes = max_changing_engines(len(pool.engines))
    max_arrivals = max(1, max_changes // 2)
    free = max_changes - sum(rep.instance in pool.changing for rep in pool.engines)
    leaving = _departures_due(pool, targets)[: max(0, free)]
    arriving = _arrivals_due(pool, targets, max_arrivals)[: max(0, free - len(leaving))]
    return arriving + leaving


def _arrivals_due(
    pool: PoolView, targets: PhaseTargets, max_arrivals: int
) -> tuple[PhaseChange, ...]:
    """Return the engines to order to decode, as far as prefill can spare them.

    The decode engines exceed the capacity needed by at most half a step until those
    they replace have left, since they are the fastest engines that prefill has.
    """
    decode = [rep for rep in pool.engines if rep.phase is EnginePhase.DECODE]
    capacity = sum(targets.capacity[rep.instance] for rep in decode)
    slots = max_arrivals - sum(rep.instance in pool.changing for rep in decode)
    found = []
    for change in targets.to_decode:
        if len(found) >= slots:
            break
        if change.replica.instance in pool.unavailable:
            continue
        own = targets.capacity[change.replica.instance]
        is_needed = len(decode) + len(found) < targets.decode_engines
        excess = capacity - targets.decode_capacity
        if not is_needed and excess >= max_arrivals / 2 * own:
            break
        capacity += own
        found.append(change)
    return tuple(found)


def _departures_due(pool: PoolView, targets: PhaseTargets) -> tuple[PhaseChange, ...]:
    """Return the engines to order to prefill, as far as decode can spare them.

    Engines that are still changing to decode don't count: their order may be lost.
    """
    usable = [
        rep
        for rep in pool.engines
        if rep.phase is EnginePhase.DECODE and rep.instance not in pool.changing
    ]
    count = len(usable)
    capacity = sum(targets.capacity[rep.instance] for rep in usable)
    found = []
    for change in targets.to_prefill:
        instance = change.replica.instance
        if instance in pool.unavailable or instance in pool.changing:
            continue
        remaining = capacity - targets.capacity[instance]
        if remaining < targets.decode_capacity or count <= targets.decode_engines:
            continue
        capacity, count = remaining, count - 1
        found.append(change)
    return tuple(found)


def _changes(
    candidates: list[Replica], count: int, phase: EnginePhase
) -> tuple[PhaseChange, ...]:
    """Return changes spread over the failure domains, the largest domain first."""
    remaining = sorted(candidates, key=lambda rep: rep.instance)
    found = []
    while remaining and len(found) < count:
        sizes: dict[str, int] = {}
        for rep in remaining:
            sizes[rep.domain] = sizes.get(rep.domain, 0) + 1
        chosen = max(remaining, key=lambda rep: (sizes[rep.domain], rep.instance))
        remaining.remove(chosen)
        found.append(PhaseChange(chosen, phase))
    return tuple(found)


def instances(changes: Iterable[PhaseChange]) -> list[InstanceId]:
    """Return the engines of ``changes``, for the log."""
    return [change.replica.instance for change in changes]


def factors(changes: Iterable[PhaseChange]) -> dict[InstanceId, float]:
    """Return the factors known of the engines of ``changes``, for the log."""
    return {
        change.replica.instance: round(change.factor, 2)
        for change in changes
        if change.factor is not None
    }
