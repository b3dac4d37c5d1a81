"""Prefill scheduling: the engine, its queue order and the predicted latency."""

from collections.abc import Callable, Collection, Iterable

import msgspec

from berylshift.ids import InstanceId, ServiceName
from berylshift.messages.routed import Prompt
from berylshift.process.directory.pools import Pool
from berylshift.process.targets.engine_speeds import EngineSpeeds
from berylshift.process.targets.prefill_send_rate import PrefillSendRate
from berylshift.scheduling.placement import Placement, PlacementPolicy
from berylshift.scheduling.slo_status import (
    RouteObjective,
    SloStatus,
    late_prefill_seconds,
    slo_status_of,
    urgency_for,
)
from berylshift.scheduling.used_capacity import EVEN_USE, UsedCapacity

# Engines whose queues are asked for: the home engine and a few others. The shortest of
# four queues is rarely long.
MAX_ASKED = 4


class PrefillJob(msgspec.Struct, frozen=True):
    """A prompt to prefill; ``waited_seconds`` is the time since its request arrived.

    ``avoid`` lists engines that failed to prefill it, ``avoid_decode`` those that
    failed to decode it. ``event_gap_seconds`` is the longest acceptable gap between
    two events; 0 means no limit. ``among`` lists the engines to compare, whose queues
    are known; empty: all engines. ``is_short``: the service is short of prefill
    capacity; a prompt that ``waits_for_share`` is queued behind all that don't.
    """

    route: RouteObjective
    service: ServiceName
    pool: Pool
    prompt: Prompt
    waited_seconds: float
    avoid: Iterable[InstanceId] = ()
    avoid_decode: Iterable[InstanceId] = ()
    event_gap_seconds: float = 0.0
    among: Collection[InstanceId] = ()
    is_short: bool = False
    waits_for_share: bool = False


class PrefillDecision(msgspec.Struct, frozen=True):
    """The engine to prefill a prompt, its SLO status and the seconds to first token."""

    placement: Placement
    slo_status: SloStatus
    seconds: float


class PrefillScheduler:
    """Schedules the prefill of all prompts of a process."""

    def __init__(
        self,
        placer: PlacementPolicy,
        speeds: EngineSpeeds,
        host_count: Callable[[], int],
        capacity: UsedCapacity = EVEN_USE,
    ):
        """Place prompts with ``placer``.

        ``host_count`` returns how many hosts send to the engines.
        """
        self._placer = placer
        self._speeds = speeds
        self._host_count = host_count
        self._capacity = capacity
        self._flow = PrefillSendRate()

    def choose(self, job: PrefillJob, now: float) -> PrefillDecision | None:
        """Return where to prefill a prompt; ``None``: the decode engine does.

        A prompt that would be late even ahead of all less urgent prompts is queued
        behind those that can be on time.
        """
        placement = self._place(job, SloStatus.ON_TIME, now)
        if placement is None:
            return None
        seconds = placement.seconds + self._decode_seconds(job, placement, now)
        if slo_status_of(job.route, job.waited_seconds + seconds) is SloStatus.ON_TIME:
            return PrefillDecision(placement, SloStatus.ON_TIME, seconds)
        placement = self._place(job, SloStatus.LATE, now) or placement
        wait = late_prefill_seconds(placement.seconds, self._on_time_share(job, now))
        seconds = wait + self._decode_seconds(job, placement, now)
        return PrefillDecision(placement, SloStatus.LATE, seconds)

    def engines_to_ask(self, job: PrefillJob, now: float) -> list[InstanceId]:
        """Return the engines whose queues to ask for before a prompt is placed."""
        urgency = urgency_for(job.route, SloStatus.ON_TIME)
        return self._placer.best_prefill_engines(
            job.pool, job.prompt, urgency, job.avoid, now, MAX_ASKED
        )

    def record_sent(
        self, job: PrefillJob, decision: PrefillDecision, now: float
    ) -> None:
        """Record that a prompt is sent as decided."""
        self._placer.record_sent(decision.placement, job.prompt, now)
        if decision.slo_status is SloStatus.ON_TIME and not job.waits_for_share:
            self._flow.record_sent(job.service, decision.placement.tokens, now)

    def _place(
        self, job: PrefillJob, slo_status: SloStatus, now: float
    ) -> Placement | None:
        urgency = urgency_for(job.route, slo_status, job.is_short, job.waits_for_share)
        return self._placer.choose_prefill(
            job.pool,
            job.prompt,
            urgency,
            job.avoid,
            now,
            job.event_gap_seconds,
            job.among,
        )

    def _decode_seconds(self, job: PrefillJob, prefill: Placement, now: float) -> float:
        """Return the predicted seconds from the end of prefill to the first token."""
        decode = self._placer.choose_decode(
            job.pool,
            job.prompt,
            prefill.target,
            job.avoid_decode,
            now,
            job.event_gap_seconds,
        )
        return decode.seconds if decode is not None else 0.0

    def _on_time_share(self, job: PrefillJob, now: float) -> float:
        """Return the share of engine time that prompts on time take."""
        flow = self._flow.rate(job.service, now) * self._host_count()
        rate = self._speeds.prefill_rate(job.service)
        engines = job.pool.prefill_engines
        capacity = float(len(engines))
        if self._capacity.applies(job.service):
            capacity = sum(1 / self._capacity.lasting_factor(rep) for rep in engines)
        return flow / max(1.0, capacity * rate)
