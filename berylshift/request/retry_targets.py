"""Where the next attempt of the own interface may go: the same target or another."""

from collections import Counter

from berylshift.ids import TargetName
from berylshift.request.retry_policy import RetryBounds, SendEnd, SendHistory

ATTEMPTS_ALLOWED = 5
SAME_TARGET_ATTEMPTS = 2
# Completions are resumed and lookups are idempotent: both may be repeated.
ATTEMPT_BOUNDS = RetryBounds(
    repeatable=True, most_runs=ATTEMPTS_ALLOWED, most_sends=ATTEMPTS_ALLOWED
)


def targets_excluded(history: SendHistory) -> frozenset[TargetName]:
    """Return the targets that are not to be tried again.

    A broken stream is resumed on its own engine first: the prompt is in its
    cache. Any other fault, or a second one, rules the target out.
    """
    counts = Counter(sent.target for sent in history.sends)
    return frozenset(
        TargetName(sent.target)
        for sent in history.sends
        if sent.end is not SendEnd.BROKEN or counts[sent.target] >= SAME_TARGET_ATTEMPTS
    )


def target_preferred(history: SendHistory) -> TargetName | None:
    """Return the target to be tried again first."""
    last = history.last
    if last is None or last.end is not SendEnd.BROKEN:
        return None
    target = TargetName(last.target)
    return None if target in targets_excluded(history) else target
