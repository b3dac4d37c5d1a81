"""Whether a retry may follow an attempt; for routed and native requests alike."""

from enum import StrEnum
from typing import Protocol

from berylshift.clock import Clock
from berylshift.request.retry_policy import (
    NEVER_SENT,
    AttemptHistory,
    AttemptRecord,
    RetryBounds,
    may_retry,
)


class StopReason(StrEnum):
    """Why the loop stopped."""

    DONE = "done"
    NO_PLACEMENT = "no place"
    NOT_RETRYABLE = "no more sends allowed"
    DEADLINE_PASSED = "out of time"
    RETRY_BUDGET_SPENT = "no budget"


class Sender(Protocol):
    """Chooses a target for one request and makes attempts at it."""

    async def send(self) -> AttemptRecord | None:
        """Make one attempt and return its record; ``None`` if no target was found."""

    def is_past_deadline(self) -> bool:
        """Return whether it is too late for another attempt."""

    def ignores_retry_budget(self) -> bool:
        """Return whether the request is retried even if the retry budget is spent."""


class RetryBudgetInterface(Protocol):
    """Retry budget shared by all requests."""

    def record_first_attempt(self, now: float) -> None:
        """Record a request's first attempt."""

    def try_acquire(self, now: float) -> bool:
        """Spend budget for one retry; return ``False`` if none is left."""


def stop_reason_after(
    attempt: AttemptRecord,
    sender: Sender,
    bounds: RetryBounds,
    history: AttemptHistory,
    budget: RetryBudgetInterface,
    clock: Clock,
) -> StopReason | None:
    """Return why no retry may follow ``attempt``; ``None``: its budget is acquired."""
    if not may_retry(bounds, history):
        return StopReason.NOT_RETRYABLE
    if sender.is_past_deadline():
        return StopReason.DEADLINE_PASSED
    if attempt.outcome in NEVER_SENT:
        return None
    if not budget.try_acquire(clock.monotonic()) and not sender.ignores_retry_budget():
        return StopReason.RETRY_BUDGET_SPENT
    return None
