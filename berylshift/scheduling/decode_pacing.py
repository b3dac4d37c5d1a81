"""Predicted gaps between the events of a stream, and what exceeding a limit costs.

A stream's answer is late if two of its events are further apart than its route allows.
The gap depends on the speed of the engine, on the streams that run there, and on the
prompts that the engine prefills between their tokens.
"""

import random

from berylshift.ids import InstanceId
from berylshift.messages.load_digest import target_hash
from berylshift.messages.replicas import Replica
from berylshift.process.targets.engine_speeds import EngineSpeeds
from berylshift.scheduling.used_capacity import UsedCapacity

# Share of a gap limit up to which a predicted gap costs nothing. The rest is a margin
# for streams that other hosts send at the same time and this host does not know of
# yet, and for the slowest streams, which the learned quantile leaves out.
GAP_MARGIN = 0.8
# Cost, in seconds of latency, that a predicted gap far beyond the limit approaches: an
# answer that is late by its gap is worth as little as one whose first event is late.
# It is no more than the cost of a severe failure that has just occurred.
GAP_COST_SECONDS = 0.4
# Excess over the margin, as a share of the limit, at which half of that cost is
# reached: where the quantile that is learned is this far beyond, most streams are late.
HALF_COST_EXCESS = 0.3
# Relative increase of the time per token from an idle engine to a full one: each stream
# adds a few percent of the fixed time of a step.
LOAD_GROWTH = 2.0
# Time within which all hosts in turn send streams again to an engine whose learned gap
# has aged, and how long a host's turn lasts. With random turns that many seconds apart,
# 1 of 60 streams may go to such an engine, whatever the number of hosts.
TURN_CYCLE_SECONDS = 30.0
TURN_SECONDS = 0.5
# Turns are staggered by engine in steps of this share of the cycle.
TURN_STEPS = 1024


class DecodePacing:
    """Predicts the gaps of streams at decode engines; times in seconds."""

    def __init__(
        self, capacity: UsedCapacity, speeds: EngineSpeeds, rng: random.Random
    ):
        """Predict from learned gaps in ``capacity`` and the means in ``speeds``."""
        self._capacity = capacity
        self._speeds = speeds
        self._rng = rng
        self._offset: float | None = None
        self._known: dict[InstanceId, tuple[float, float]] = {}
        self._dropped_at = float("-inf")

    @property
    def has_learned(self) -> bool:
        """Return whether the gap of any engine was learned lately."""
        return bool(self._known)

    def predicted_gap(
        self, replica: Replica, running: float, factor: float, now: float
    ) -> float | None:
        """Return the longest gap that a new stream will see; ``None`` if unknown.

        ``running``: the requests that run on the engine. Its time factor is ``factor``.
        """
        gap = self._gap_at_usual_load(replica, factor, now)
        if gap is None:
            return None
        usual = self._speeds.usual_load(replica.service)
        load = running / max(1, replica.slots)
        return gap * (1 + LOAD_GROWTH * load) / (1 + LOAD_GROWTH * usual)

    def _gap_at_usual_load(
        self, replica: Replica, factor: float, now: float
    ) -> float | None:
        known = self._capacity.event_gap(replica, now)
        if known is not None:
            self._drop_old(now)
            self._known[replica.instance] = (known, now)
            return known
        last = self._known.get(replica.instance)
        if last is None and factor == 1.0:
            return None
        turn = self._turn_position(replica.instance, now)
        if last is not None:
            if now - last[1] < turn:
                return last[0]
            del self._known[replica.instance]
        if turn < TURN_SECONDS:
            return None
        return self._speeds.event_gap(replica.service) * factor

    def _turn_position(self, instance: InstanceId, now: float) -> float:
        """Return the seconds since this host's last turn to try an engine again.

        Each host starts at a random offset: if all hosts tried an engine again at the
        moment at which its gap ages, it would be crowded at once.
        """
        if self._offset is None:
            self._offset = TURN_CYCLE_SECONDS * self._rng.random()
        step = target_hash(instance) % TURN_STEPS
        start = self._offset + TURN_CYCLE_SECONDS * step / TURN_STEPS
        return (now + start) % TURN_CYCLE_SECONDS

    def _drop_old(self, now: float) -> None:
        """Remove gaps of engines that are gone: each start has a new instance."""
        if now - self._dropped_at < TURN_CYCLE_SECONDS:
            return
        self._dropped_at = now
        self._known = {
            instance: known
            for instance, known in self._known.items()
            if now - known[1] < TURN_CYCLE_SECONDS
        }


def gap_cost(gap: float | None, limit: float) -> float:
    """Return the cost of a predicted gap, in seconds; a limit of 0 means none."""
    if gap is None or limit <= 0:
        return 0.0
    excess = max(0.0, gap / limit - GAP_MARGIN)
    return GAP_COST_SECONDS * excess / (excess + HALF_COST_EXCESS)
