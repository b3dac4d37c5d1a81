"""Tests of the retry policy."""

import unittest

from berylshift.request.retry_policy import (
    MAX_ATTEMPTS,
    AttemptHistory,
    AttemptOutcome,
    AttemptRecord,
    may_retry,
    retry_bounds,
)
from berylshift.tests.entry_world import route
from berylshift.version.routes import RouteKind

ONCE = retry_bounds(route("book", RouteKind.AT_MOST_ONCE, max_attempts=3))
AGAIN = retry_bounds(route("look", RouteKind.IDEMPOTENT, max_attempts=2))


def after(*ends: AttemptOutcome) -> AttemptHistory:
    """Return a history of finished attempts."""
    history = AttemptHistory()
    for end in ends:
        history.add(AttemptRecord("replica", end))
    return history


class RetryPolicyTest(unittest.TestCase):
    """Which requests may be retried."""

    def test_request_that_may_have_run_is_not_retried(self):
        not_run = (
            AttemptOutcome.NOT_REACHED,
            AttemptOutcome.NOT_RUN,
            AttemptOutcome.THROTTLED,
        )
        for end in AttemptOutcome:
            with self.subTest(end=end):
                allowed = end in not_run
                self.assertEqual(may_retry(ONCE, after(end)), allowed)

    def test_runs_of_repeatable_requests_are_limited(self):
        self.assertTrue(may_retry(AGAIN, after(AttemptOutcome.BROKEN)))
        self.assertFalse(
            may_retry(AGAIN, after(AttemptOutcome.BROKEN, AttemptOutcome.SILENT))
        )

    def test_refusals_are_not_runs(self):
        history = after(
            AttemptOutcome.NOT_RUN, AttemptOutcome.NOT_RUN, AttemptOutcome.BROKEN
        )
        self.assertTrue(may_retry(AGAIN, history))

    def test_attempts_are_limited(self):
        history = after(*[AttemptOutcome.NOT_RUN] * MAX_ATTEMPTS)
        self.assertFalse(may_retry(ONCE, history))

    def test_open_attempt_may_have_run(self):
        history = after(AttemptOutcome.NOT_RUN)
        self.assertFalse(history.may_have_run)
        history.begin_attempt()
        self.assertTrue(history.may_have_run)
