"""When a request may go out once more."""

import unittest

from berylshift.request.retry_policy import (
    MOST_SENDS,
    SendEnd,
    SendHistory,
    Sent,
    bounds_of,
    may_send_again,
)
from berylshift.tests.entry_world import route
from berylshift.version.routes import RouteKind

ONCE = bounds_of(route("book", RouteKind.AT_MOST_ONCE, most_attempts=3))
AGAIN = bounds_of(route("look", RouteKind.IDEMPOTENT, most_attempts=2))


def after(*ends: SendEnd) -> SendHistory:
    """Return a history of ended sends."""
    history = SendHistory()
    for end in ends:
        history.add(Sent("replica", end))
    return history


class RetryRuleTest(unittest.TestCase):
    """The rule alone."""

    def test_what_may_have_run_is_not_sent_again(self):
        not_run = (SendEnd.NOT_REACHED, SendEnd.NOT_RUN, SendEnd.THROTTLED)
        for end in SendEnd:
            with self.subTest(end=end):
                allowed = end in not_run
                self.assertEqual(may_send_again(ONCE, after(end)), allowed)

    def test_repeatable_requests_run_on_so_many_replicas_at_most(self):
        self.assertTrue(may_send_again(AGAIN, after(SendEnd.BROKEN)))
        self.assertFalse(may_send_again(AGAIN, after(SendEnd.BROKEN, SendEnd.SILENT)))

    def test_refusals_are_not_runs(self):
        history = after(SendEnd.NOT_RUN, SendEnd.NOT_RUN, SendEnd.BROKEN)
        self.assertTrue(may_send_again(AGAIN, history))

    def test_sends_are_bounded(self):
        history = after(*[SendEnd.NOT_RUN] * MOST_SENDS)
        self.assertFalse(may_send_again(ONCE, history))

    def test_an_open_send_may_have_run(self):
        history = after(SendEnd.NOT_RUN)
        self.assertFalse(history.may_have_run)
        history.open = True
        self.assertTrue(history.may_have_run)
