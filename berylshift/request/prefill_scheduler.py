"""Which engine reads a prompt, in which order, and whether there is any hope."""

from collections.abc import Callable, Iterable

import msgspec

from berylshift.ids import InstanceId, ServiceName
from berylshift.messages.routed import Prompt
from berylshift.process.directory.pools import Pool
from berylshift.process.targets.engine_speeds import EngineSpeeds
from berylshift.process.targets.reading_flow import ReadingFlow
from berylshift.request.placement import Placement, PlacementPolicy
from berylshift.request.slo_status import (
    RouteObjective,
    SloStatus,
    late_prefill_seconds,
    slo_status_of,
    urgency_for,
)


class PrefillJob(msgspec.Struct, frozen=True):
    """A prompt to read; ``waited``: the seconds since its request arrived.

    ``avoid`` are engines that failed to read it, ``avoid_answering`` those that failed
    to answer it.
    """

    route: RouteObjective
    service: ServiceName
    pool: Pool
    prompt: Prompt
    waited_seconds: float
    avoid: Iterable[InstanceId] = ()
    avoid_decode: Iterable[InstanceId] = ()


class PrefillDecision(msgspec.Struct, frozen=True):
    """Where a prompt is read, its standing, and the seconds until a first piece."""

    place: Placement
    slo_status: SloStatus
    seconds: float


class PrefillScheduler:
    """Chooses for all prompts of a process; ``hosts``: how many send to the engines."""

    def __init__(
        self, placer: PlacementPolicy, speeds: EngineSpeeds, hosts: Callable[[], int]
    ):
        """Place by ``placer``."""
        self._placer = placer
        self._speeds = speeds
        self._hosts = hosts
        self._flow = ReadingFlow()

    def choose(self, job: PrefillJob, now: float) -> PrefillDecision | None:
        """Return where to read a prompt; ``None``: no engine reads it apart.

        A prompt that can't be on time, even before all that is less urgent, stands
        behind those that can.
        """
        place = self._place(job, SloStatus.ON_TIME, now)
        if place is None:
            return None
        seconds = place.seconds + self._answer_seconds(job, place, now)
        if slo_status_of(job.route, job.waited_seconds + seconds) is SloStatus.ON_TIME:
            return PrefillDecision(place, SloStatus.ON_TIME, seconds)
        place = self._place(job, SloStatus.LATE, now) or place
        wait = late_prefill_seconds(place.seconds, self._on_time_share(job, now))
        seconds = wait + self._answer_seconds(job, place, now)
        return PrefillDecision(place, SloStatus.LATE, seconds)

    def sent(self, job: PrefillJob, choice: PrefillDecision, now: float) -> None:
        """Note that a prompt goes where it was chosen to go."""
        self._placer.note_sent(choice.place, job.prompt, now)
        if choice.slo_status is SloStatus.ON_TIME:
            self._flow.sent(job.service, choice.place.tokens, now)

    def _place(
        self, job: PrefillJob, slo_status: SloStatus, now: float
    ) -> Placement | None:
        urgency = urgency_for(job.route, slo_status)
        return self._placer.choose_prefill(
            job.pool, job.prompt, urgency, job.avoid, now
        )

    def _answer_seconds(self, job: PrefillJob, reading: Placement, now: float) -> float:
        """Return the seconds predicted from a read prompt to a first piece."""
        answering = self._placer.choose_decode(
            job.pool, job.prompt, reading.target, job.avoid_decode, now
        )
        return answering.seconds if answering is not None else 0.0

    def _on_time_share(self, job: PrefillJob, now: float) -> float:
        """Return the part of the engines' time that prompts on time take."""
        flow = self._flow.rate(job.service, now) * self._hosts()
        rate = self._speeds.read_rate(job.service)
        return flow / max(1.0, len(job.pool.readers) * rate)
