"""Decides whether a request may be retried after an attempt.

All APIs share one rule: a request that may have run is retried only if it is
repeatable, and "not run" is reported only if no target can have run the request.
"""

from enum import StrEnum

import msgspec

from berylshift.request.messages import Outcome
from berylshift.targets import TargetError, TargetNotReachedError, TargetRefusedError
from berylshift.version.routes import Route

# Includes rejected attempts: a service at capacity rejects each at once, and telling
# the caller to retry later is better than trying every replica in turn.
MAX_ATTEMPTS = 4


class AttemptOutcome(StrEnum):
    """Outcome of one attempt."""

    DONE = "done"
    NOT_REACHED = "not-reached"
    NOT_RUN = "not-run"
    THROTTLED = "throttled"
    BROKEN = "broken"
    SILENT = "silent"
    INVALID = "spoiled"
    FAILED = "failed"
    # Another attempt answered first.
    SUPERSEDED = "superseded"

    @property
    def may_have_run(self) -> bool:
        """Return whether the target may have run the request.

        This is assumed unless the request was never sent, or the target states that it
        did not run it; so also after a connection reset, silence or a timeout.
        """
        return self not in (*NEVER_SENT, AttemptOutcome.NOT_RUN)


# Outcomes in which no byte of the request reached a target.
NEVER_SENT = (AttemptOutcome.NOT_REACHED, AttemptOutcome.THROTTLED)


def outcome_of(exc: TargetError) -> AttemptOutcome:
    """Return the outcome of an attempt that raised ``exc``."""
    match exc:
        case TargetNotReachedError():
            return AttemptOutcome.NOT_REACHED
        case TargetRefusedError():
            return AttemptOutcome.NOT_RUN
        case _:
            return AttemptOutcome.BROKEN


def retry_after_of(exc: TargetError) -> float:
    """Return how many seconds a target asked to back off; 0: it did not."""
    return exc.retry_after if isinstance(exc, TargetRefusedError) else 0.0


class AttemptRecord(msgspec.Struct, frozen=True):
    """A finished attempt and its target."""

    target: str
    outcome: AttemptOutcome


class AttemptHistory:
    """Attempts of one request so far."""

    def __init__(self) -> None:
        """Start without attempts."""
        self.attempts: list[AttemptRecord] = []
        self._open = 0
        self._may_have_run_before = False

    def begin_attempt(self) -> None:
        """Count an attempt that may run as open."""
        self._open += 1

    def end_attempt(self) -> None:
        """Count an open attempt as ended."""
        self._open -= 1

    @property
    def has_open_attempt(self) -> bool:
        """Return whether an attempt is open, or was cancelled."""
        return self._open > 0

    def add(self, attempt: AttemptRecord) -> None:
        """Add a finished attempt."""
        self.attempts.append(attempt)

    def clear_attempts(self) -> None:
        """Clear the attempts, but remember whether one may have run.

        Targets that refused or failed may have recovered by the next attempt.
        """
        self._may_have_run_before = self.may_have_run
        self.attempts.clear()

    @property
    def possible_runs(self) -> int:
        """Return how many attempts may have run."""
        return sum(attempt.outcome.may_have_run for attempt in self.attempts)

    @property
    def may_have_run(self) -> bool:
        """Return whether any attempt may have run, including an unfinished one."""
        return (
            self.has_open_attempt or self._may_have_run_before or self.possible_runs > 0
        )

    @property
    def last(self) -> AttemptRecord | None:
        """Return the last finished attempt."""
        return self.attempts[-1] if self.attempts else None

    @property
    def outcome(self) -> Outcome:
        """Return the outcome of a request that no attempt has completed."""
        return Outcome.UNKNOWN if self.may_have_run else Outcome.NOT_RUN


class RetryBounds(msgspec.Struct, frozen=True):
    """Limits on the attempts of one request; ``max_runs``: those that may have run."""

    repeatable: bool
    max_runs: int
    max_attempts: int = MAX_ATTEMPTS


def retry_bounds(route: Route) -> RetryBounds:
    """Return the retry limits of a routed request."""
    return RetryBounds(route.repeatable, route.max_attempts)


def may_retry(bounds: RetryBounds, history: AttemptHistory) -> bool:
    """Return whether the request may be retried after its last attempt."""
    if len(history.attempts) >= bounds.max_attempts:
        return False
    if not history.may_have_run:
        return True
    return bounds.repeatable and history.possible_runs < bounds.max_runs


def may_hedge(bounds: RetryBounds, history: AttemptHistory, open_count: int) -> bool:
    """Return whether a further attempt may be made beside ``open_count`` open ones."""
    if not bounds.repeatable or not open_count:
        return False
    if len(history.attempts) + open_count >= bounds.max_attempts:
        return False
    return history.possible_runs + open_count < bounds.max_runs
