"""The attempts of one request that may still answer it."""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import Protocol

import trio

from berylshift.clock import Clock
from berylshift.request.retry_policy import AttemptOutcome


def _ignore(at: float) -> None:
    """Tell nobody."""


class OpenAttempt(Protocol):
    """One attempt; ``overdue_at`` in monotonic seconds.

    It awaits ``begin_answer`` before any of its response is used, and calls ``on_due``
    whenever ``overdue_at`` is set.
    """

    overdue_at: float
    begin_answer: Callable[[], Awaitable[None]]
    on_due: Callable[[float], None]

    async def run(self, *args: object) -> AttemptOutcome:
        """Make the attempt and return its outcome."""

    def supersede(self, now: float) -> AttemptOutcome:
        """Return the outcome of the attempt, which another one has cancelled."""


class OpenAttempts:
    """Open attempts; the first to answer cancels the others.

    An attempt has to call ``begin_answer`` before it writes to the caller, so no two
    attempts ever do.
    """

    def __init__(self, clock: Clock):
        """Start without attempts."""
        self._clock = clock
        # Called with the time at which an attempt will be overdue, as it is set.
        self.on_due: Callable[[float], None] = _ignore
        self._scopes: dict[OpenAttempt, trio.CancelScope] = {}

    async def run(self, attempt: OpenAttempt, *args: object) -> AttemptOutcome:
        """Make an attempt and return its outcome, also if another one answers first."""
        scope = self._scopes[attempt] = trio.CancelScope()
        attempt.begin_answer = partial(self._begin_answer, attempt)
        attempt.on_due = self.on_due
        try:
            with scope:
                return await attempt.run(*args)
            return attempt.supersede(self._clock.monotonic())
        finally:
            del self._scopes[attempt]
            # The attempt is in no reference cycle any more.
            del attempt.begin_answer, attempt.on_due

    def release(self) -> None:
        """Drop the reference to who is told of overdue attempts."""
        self.on_due = _ignore

    def overdue_at(self) -> float:
        """Return when all of them are overdue, in monotonic seconds."""
        return max((each.overdue_at for each in self._scopes), default=float("inf"))

    async def _begin_answer(self, attempt: OpenAttempt) -> None:
        """Cancel the other attempts, unless one of them has cancelled this one."""
        if self._scopes[attempt].cancel_called:
            await trio.sleep_forever()
        for other, scope in self._scopes.items():
            if other is not attempt:
                scope.cancel()
