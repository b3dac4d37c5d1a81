"""Plans which engines of a pool prefill prompts and which decode.

Prefill on a decode engine stalls its streams for the time of each chunk, so prompts are
prefilled on separate engines. Prefill is most of the work, and its cached prompts fill
the engines' memory; decode needs little of either.
"""

import math

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


class PhaseChange(msgspec.Struct, frozen=True):
    """A change of one engine to another phase."""

    replica: Replica
    phase: EnginePhase


class PhasePlanner:
    """Keeps a share of a pool's engines in the prefill phase; sends no orders."""

    def __init__(self, prefill_share: float):
        """Aim at a share of ``prefill_share`` of the engines in the prefill phase."""
        self._prefill_share = prefill_share
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
        self, engines: list[Replica], now: float, is_idle: bool
    ) -> tuple[PhaseChange, ...]:
        """Return the changes due now; ``is_idle``: no traffic needs the engines."""
        if len(engines) != self._engine_count:
            self._engine_count, self._engine_count_since = len(engines), now
        if is_idle and now - self._engine_count_since < STABLE_COUNT_SECONDS:
            return ()
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
        max_changes = (
            len(engines)
            if is_idle
            else max(1, math.floor(MAX_CHANGING_SHARE * len(engines)))
        )
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


def instances(changes: tuple[PhaseChange, ...]) -> list[InstanceId]:
    """Return the engines of ``changes``, for the log."""
    return [change.replica.instance for change in changes]
