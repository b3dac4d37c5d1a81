"""Sends a request until it is done or may not be sent again; one loop for all."""

from enum import StrEnum
from typing import Protocol

from berylshift.clock import Clock
from berylshift.request.retry_rule import (
    NEVER_SENT,
    RetryBounds,
    SendEnd,
    SendHistory,
    Sent,
    may_send_again,
)


class LoopEnd(StrEnum):
    """Why no further send follows."""

    DONE = "done"
    NO_PLACE = "no place"
    NO_MORE = "no more sends allowed"
    LATE = "out of time"
    NO_BUDGET = "no budget"


class Sender(Protocol):
    """Places and sends one request."""

    async def send(self) -> Sent | None:
        """Send once; return how it ended, ``None`` if there was no place."""

    def is_late(self) -> bool:
        """Return whether a further send would come too late."""

    def must_finish(self) -> bool:
        """Return whether the answer is finished whatever the budget says."""


class Budget(Protocol):
    """Bounds the further sends of all requests together."""

    def note_first_attempt(self, now: float) -> None:
        """Note a request's first send."""

    def try_acquire(self, now: float) -> bool:
        """Take leave for one further send."""


async def send_until_done(
    sender: Sender,
    bounds: RetryBounds,
    history: SendHistory,
    budget: Budget,
    clock: Clock,
) -> LoopEnd:
    """Send until an end; ``history`` gets each send.

    A request that never went out costs nothing: no target had work with it.
    """
    budget.note_first_attempt(clock.monotonic())
    while True:
        sent = await sender.send()
        if sent is None:
            return LoopEnd.NO_PLACE
        history.add(sent)
        if sent.end is SendEnd.DONE:
            return LoopEnd.DONE
        if not may_send_again(bounds, history):
            return LoopEnd.NO_MORE
        if sender.is_late():
            return LoopEnd.LATE
        if sent.end in NEVER_SENT:
            continue
        if not budget.try_acquire(clock.monotonic()) and not sender.must_finish():
            return LoopEnd.NO_BUDGET
