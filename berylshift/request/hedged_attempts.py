"""Retry loop that keeps overdue attempts open beside further ones."""

from collections.abc import Awaitable, Callable
from typing import Protocol

import trio

from berylshift.clock import Clock
from berylshift.request.retry_loop import (
    RetryBudgetInterface,
    Sender,
    StopReason,
    stop_reason_after,
)
from berylshift.request.retry_policy import (
    AttemptHistory,
    AttemptOutcome,
    AttemptRecord,
    RetryBounds,
    may_hedge,
)

# Pause until it is checked again whether an overdue attempt may be hedged.
HEDGE_CHECK_SECONDS = 0.25
# A timer that fires later than this shows that this process was stopped, or short of
# processor time: responses may have arrived meanwhile that were not read yet.
MAX_LAG_SECONDS = 0.05

SendAttempt = Callable[[], Awaitable[AttemptRecord | None]]


class HedgingSender(Sender, Protocol):
    """Makes attempts that may be open at the same time.

    The first of them to answer ends the others itself. ``HedgedAttempts.on_due`` is to
    be called when ``overdue_at`` becomes earlier.
    """

    def overdue_at(self) -> float:
        """Return when all open attempts are overdue, in monotonic seconds."""

    def choose_hedge(self) -> SendAttempt | None:
        """Return an attempt to make beside the open ones; ``None``: none would help."""


class HedgedAttempts:
    """Makes attempts until one succeeds or no retry is allowed.

    An overdue attempt may still answer, so it is not given up: a further attempt is
    made beside it, if the bounds and the retry budget allow.
    """

    def __init__(
        self,
        sender: HedgingSender,
        bounds: RetryBounds,
        history: AttemptHistory,
        budget: RetryBudgetInterface,
        clock: Clock,
    ):
        """Make attempts by ``sender`` and add each to ``history``."""
        self._sender = sender
        self._bounds = bounds
        self._history = history
        self._budget = budget
        self._clock = clock
        self._open = 0
        self._next_hedge_at = 0.0
        # The time for which a hedge was deferred since this process was late.
        self._deferred_from = 0.0
        self._is_done = False
        self._ends, self._received = trio.open_memory_channel[AttemptRecord | None](
            float("inf")
        )
        # The error of an attempt, which ends the request.
        self._error: Exception | None = None
        self._nursery: trio.Nursery | None = None
        self._waits_until = float("inf")
        self._waiting = trio.CancelScope()

    async def run(self) -> StopReason:
        """Return why no further attempt is made."""
        self._budget.record_first_attempt(self._clock.monotonic())
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                self._start(self._sender.send)
                return await self._run_until_stopped()
        except (trio.Cancelled, BaseExceptionGroup):
            # A write to the caller is not cancelled: it may end after the loop.
            if self._error is None and not self._is_done:
                raise
        if self._error is not None:
            # A nursery would wrap it in a group.
            raise self._error
        return StopReason.DONE

    def _start(self, send: SendAttempt) -> None:
        self._open += 1
        self._nursery.start_soon(self._make_attempt, send)

    async def _make_attempt(self, send: SendAttempt) -> None:
        try:
            found = await send()
        except Exception as exc:
            self._error = exc
            self._nursery.cancel_scope.cancel()
            return
        # Recorded here, since the loop may be cancelled before it sees the end.
        if found is not None:
            self._history.add(found)
            self._is_done = self._is_done or found.outcome is AttemptOutcome.DONE
        self._ends.send_nowait(found)

    async def _make_hedge(self) -> None:
        """Make a further attempt, if the open ones are still overdue.

        It is chosen in the turn of the event loop in which it begins, so that no
        attempt can answer in between.
        """
        now = self._clock.monotonic()
        if self._sender.overdue_at() > now:
            return
        hedge = self._sender.choose_hedge()
        if hedge is not None and self._budget.try_acquire(now):
            self._open += 1
            await self._make_attempt(hedge)

    async def _run_until_stopped(self) -> StopReason:
        while True:
            try:
                found = await self._next_end()
            except trio.TooSlowError:
                self._hedge()
                continue
            self._open -= 1
            if self._is_done:
                return StopReason.DONE
            if self._open:
                continue
            reason = self._stop_reason(found)
            if reason is not None:
                return reason
            self._start(self._sender.send)

    def _stop_reason(self, ended: AttemptRecord | None) -> StopReason | None:
        if ended is None:
            return StopReason.NO_PLACEMENT
        return stop_reason_after(
            ended, self._sender, self._bounds, self._history, self._budget, self._clock
        )

    async def _next_end(self) -> AttemptRecord | None:
        """Return how an attempt ends; raise ``TooSlowError`` once all are overdue."""
        while True:
            now = self._clock.monotonic()
            self._waits_until = max(now, self._hedge_at())
            seconds = self._waits_until - now
            with trio.move_on_after(seconds) as self._waiting:
                return await self._received.receive()
            now = self._clock.monotonic()
            self._defer_if_late(now)
            if self._hedge_at() <= now:
                raise trio.TooSlowError

    def _defer_if_late(self, now: float) -> None:
        """Give what has arrived time to be read, once for each time of being due."""
        due = self._sender.overdue_at()
        if now > self._waits_until + MAX_LAG_SECONDS and due != self._deferred_from:
            self._deferred_from = due
            self._next_hedge_at = now + HEDGE_CHECK_SECONDS

    def on_due(self, at: float) -> None:
        """Notice that an open attempt will be overdue ``at`` a time."""
        if at < self._waits_until:
            self._waits_until = at
            seconds = max(0.0, at - self._clock.monotonic())
            self._waiting.deadline = trio.current_time() + seconds

    def _hedge_at(self) -> float:
        """Return when a further attempt is to be made beside the open ones."""
        if not may_hedge(self._bounds, self._history, self._open):
            return float("inf")
        return max(self._next_hedge_at, self._sender.overdue_at())

    def _hedge(self) -> None:
        self._next_hedge_at = self._clock.monotonic() + HEDGE_CHECK_SECONDS
        self._nursery.start_soon(self._make_hedge)
