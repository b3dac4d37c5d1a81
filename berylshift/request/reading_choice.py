"""Which engine reads a prompt, in which order, and whether there is any hope."""

from collections.abc import Callable, Iterable

import msgspec

from berylshift.ids import InstanceId, ServiceName
from berylshift.messages.routed import Prompt
from berylshift.process.directory.pools import Pool
from berylshift.process.targets.engine_speeds import EngineSpeeds
from berylshift.process.targets.prefill_send_rate import PrefillSendRate
from berylshift.request.placement import Placement, Placing
from berylshift.request.standing import (
    Goal,
    Standing,
    late_wait,
    standing_of,
    urgency_in,
)


class ReadingAsk(msgspec.Struct, frozen=True):
    """A prompt to read; ``waited``: the seconds since its request arrived.

    ``avoid`` are engines that failed to read it, ``avoid_answering`` those that failed
    to answer it.
    """

    goal: Goal
    service: ServiceName
    pool: Pool
    prompt: Prompt
    waited: float
    avoid: Iterable[InstanceId] = ()
    avoid_answering: Iterable[InstanceId] = ()


class ReadingChoice(msgspec.Struct, frozen=True):
    """Where a prompt is read, its standing, and the seconds until a first piece."""

    place: Placement
    standing: Standing
    seconds: float


class ReadingChooser:
    """Chooses for all prompts of a process; ``hosts``: how many send to the engines."""

    def __init__(self, placer: Placing, speeds: EngineSpeeds, hosts: Callable[[], int]):
        """Place by ``placer``."""
        self._placer = placer
        self._speeds = speeds
        self._hosts = hosts
        self._flow = PrefillSendRate()

    def choose(self, ask: ReadingAsk, now: float) -> ReadingChoice | None:
        """Return where to read a prompt; ``None``: no engine reads it apart.

        A prompt that can't be on time, even before all that is less urgent, stands
        behind those that can.
        """
        place = self._place(ask, Standing.ON_TIME, now)
        if place is None:
            return None
        seconds = place.seconds + self._answer_seconds(ask, place, now)
        if standing_of(ask.goal, ask.waited + seconds) is Standing.ON_TIME:
            return ReadingChoice(place, Standing.ON_TIME, seconds)
        place = self._place(ask, Standing.LATE, now) or place
        wait = late_wait(place.seconds, self._on_time_share(ask, now))
        seconds = wait + self._answer_seconds(ask, place, now)
        return ReadingChoice(place, Standing.LATE, seconds)

    def sent(self, ask: ReadingAsk, choice: ReadingChoice, now: float) -> None:
        """Note that a prompt goes where it was chosen to go."""
        self._placer.note_sent(choice.place, ask.prompt, now)
        if choice.standing is Standing.ON_TIME:
            self._flow.note_sent(ask.service, choice.place.tokens, now)

    def _place(
        self, ask: ReadingAsk, standing: Standing, now: float
    ) -> Placement | None:
        urgency = urgency_in(ask.goal, standing)
        return self._placer.reader(ask.pool, ask.prompt, urgency, ask.avoid, now)

    def _answer_seconds(self, ask: ReadingAsk, reading: Placement, now: float) -> float:
        """Return the seconds predicted from a read prompt to a first piece."""
        answering = self._placer.answerer(
            ask.pool, ask.prompt, reading.target, ask.avoid_answering, now
        )
        return answering.seconds if answering is not None else 0.0

    def _on_time_share(self, ask: ReadingAsk, now: float) -> float:
        """Return the part of the engines' time that prompts on time take."""
        flow = self._flow.rate(ask.service, now) * self._hosts()
        rate = self._speeds.prefill_rate(ask.service)
        return flow / max(1.0, len(ask.pool.readers) * rate)
