"""Which engines should read prompts and which should answer.

Reading a prompt at an engine that answers stops its streams for the time of each
piece it reads, so prompts are read apart. Reading is most of the work and its kept
prompts fill the memory; answering takes little of either.
"""

import math

import msgspec

from berylshift.ids import InstanceId
from berylshift.messages.replicas import EnginePhase, Replica

# A split that is off by less than this many engines is left alone: a change takes an
# engine away for seconds, and engines that crash come back as they were.
TOLERANCE = 1
# Engines that answer at least, and the share of a large pool that does: one alone is a
# single point of failure, and its batch grows until events come too late for everybody.
MIN_DECODE_ENGINES = 2
MIN_DECODE_SHARE = 0.2
MIN_PREFILL_ENGINES = 1
# How long a split must be off before it is mended, in seconds: longer than a crashed
# engine's entry takes to lapse and come back.
STEADY_SECONDS = 3.0
# While a system starts, engines enter the list one by one: the split is planned once
# their number has not changed for this long, in seconds.
SETTLED_SECONDS = 1.2
# The part of a pool that may be away for changes while there is traffic.
AWAY_SHARE = 0.2


class PhaseChange(msgspec.Struct, frozen=True):
    """An engine that is to change its phase."""

    replica: Replica
    phase: EnginePhase


class PhasePlanner:
    """Keeps a share of a pool's engines reading; a decision apart from any order."""

    def __init__(self, reading_share: float):
        """Aim at ``reading_share`` of the engines reading prompts."""
        self._share = reading_share
        self._off_since: float | None = None
        self._engines = 0
        self._engines_since = 0.0

    def desired_prefill_engines(self, engines: int) -> int:
        """Return how many of ``engines`` should read prompts."""
        readers = round(self._share * engines)
        readers = min(readers, engines - min_decode_engines(engines))
        return max(MIN_PREFILL_ENGINES, readers)

    def plan(
        self, engines: list[Replica], now: float, calm: bool
    ) -> tuple[PhaseChange, ...]:
        """Return the changes due now; ``calm``: no traffic needs the engines."""
        if len(engines) != self._engines:
            self._engines, self._engines_since = len(engines), now
        if calm and now - self._engines_since < SETTLED_SECONDS:
            return ()
        readers = [rep for rep in engines if rep.phase is EnginePhase.PREFILL]
        missing = self.desired_prefill_engines(len(engines)) - len(readers)
        urgent = self._is_urgent(len(readers), len(engines))
        if not missing or not (calm or urgent or abs(missing) > TOLERANCE):
            self._off_since = None
            return ()
        if self._off_since is None:
            self._off_since = now
        if not (calm or urgent) and now - self._off_since < STEADY_SECONDS:
            return ()
        most = len(engines) if calm else max(1, math.floor(AWAY_SHARE * len(engines)))
        if missing > 0:
            decoders = [rep for rep in engines if rep.phase is EnginePhase.DECODE]
            return _changes(decoders, min(missing, most), EnginePhase.PREFILL)
        return _changes(readers, min(-missing, most), EnginePhase.DECODE)

    def _is_urgent(self, readers: int, engines: int) -> bool:
        """Return whether one phase has too few engines to wait for steadiness."""
        if engines <= MIN_DECODE_ENGINES:
            return False
        too_few_decode = engines - readers < min_decode_engines(engines)
        return too_few_decode or readers < MIN_PREFILL_ENGINES


def min_decode_engines(engines: int) -> int:
    """Return how many of ``engines`` must answer."""
    return max(MIN_DECODE_ENGINES, math.ceil(MIN_DECODE_SHARE * engines))


def _changes(
    candidates: list[Replica], count: int, phase: EnginePhase
) -> tuple[PhaseChange, ...]:
    """Return changes spread over the domains, the fullest domain first."""
    left = sorted(candidates, key=lambda rep: rep.instance)
    found = []
    while left and len(found) < count:
        sizes: dict[str, int] = {}
        for rep in left:
            sizes[rep.domain] = sizes.get(rep.domain, 0) + 1
        chosen = max(left, key=lambda rep: (sizes[rep.domain], rep.instance))
        left.remove(chosen)
        found.append(PhaseChange(chosen, phase))
    return tuple(found)


def instances(changes: tuple[PhaseChange, ...]) -> list[InstanceId]:
    """Return the engines of changes, for the log."""
    return [change.replica.instance for change in changes]
