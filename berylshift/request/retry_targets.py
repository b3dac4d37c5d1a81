"""Which targets the next attempt of a native API call may use."""

from collections import Counter

from berylshift.ids import TargetName
from berylshift.request.retry_policy import AttemptHistory, AttemptOutcome, RetryBounds

MAX_ATTEMPTS = 5
MAX_ATTEMPTS_PER_TARGET = 2
# Completions are resumed and lookups are idempotent, so both are repeatable.
RETRY_BOUNDS = RetryBounds(
    repeatable=True, max_runs=MAX_ATTEMPTS, max_attempts=MAX_ATTEMPTS
)


def excluded_targets(history: AttemptHistory) -> frozenset[TargetName]:
    """Return the targets that must not be tried again.

    A broken stream is resumed on the same engine first, which has the prompt in its
    cache. Any other failure, or a second one, excludes the target.
    """
    counts = Counter(attempt.target for attempt in history.attempts)
    return frozenset(
        TargetName(attempt.target)
        for attempt in history.attempts
        if attempt.outcome is not AttemptOutcome.BROKEN
        or counts[attempt.target] >= MAX_ATTEMPTS_PER_TARGET
    )


def preferred_target(history: AttemptHistory) -> TargetName | None:
    """Return the target on which a broken stream is resumed first, if any."""
    last = history.last
    if last is None or last.outcome is not AttemptOutcome.BROKEN:
        return None
    target = TargetName(last.target)
    return None if target in excluded_targets(history) else target
