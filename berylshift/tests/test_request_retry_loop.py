"""Tests of the retry loop."""

import unittest

import trio

from berylshift.clock import ManualClock
from berylshift.request.hedged_attempts import HedgedAttempts
from berylshift.request.messages import Outcome
from berylshift.request.retry_loop import StopReason
from berylshift.request.retry_policy import (
    AttemptHistory,
    AttemptOutcome,
    AttemptRecord,
    RetryBounds,
)

TWICE = RetryBounds(repeatable=True, max_runs=2)
ONCE = RetryBounds(repeatable=False, max_runs=3)


class ScriptedSender:
    """Attempts with scripted outcomes; ``None``: no target is available."""

    def __init__(self, *ends: AttemptOutcome | None):
        self.ends = list(ends)
        self.past_deadline = False
        self.has_begun = False

    async def send(self) -> AttemptRecord | None:
        end = self.ends.pop(0)
        return None if end is None else AttemptRecord("replica", end)

    def is_past_deadline(self) -> bool:
        return self.past_deadline

    def ignores_retry_budget(self) -> bool:
        return self.has_begun

    def overdue_at(self) -> float:
        return float("inf")


class CountedBudget:
    """Allows a number of retries."""

    def __init__(self, room: int):
        self.room = room
        self.requests = 0

    def record_first_attempt(self, now: float) -> None:
        self.requests += 1

    def try_acquire(self, now: float) -> bool:
        self.room -= 1
        return self.room >= 0


class RetryLoopTest(unittest.TestCase):
    """The loop over scripted attempts."""

    def setUp(self):
        self.history = AttemptHistory()
        self.budget = CountedBudget(2)

    def run_loop(self, sender: ScriptedSender, bounds: RetryBounds) -> StopReason:
        clock = ManualClock()
        loop = HedgedAttempts(sender, bounds, self.history, self.budget, clock)
        return trio.run(loop.run)

    def test_a_request_is_counted_once(self):
        sender = ScriptedSender(AttemptOutcome.NOT_RUN, AttemptOutcome.DONE)
        self.assertIs(self.run_loop(sender, TWICE), StopReason.DONE)
        self.assertEqual(self.budget.requests, 1)
        self.assertEqual(self.budget.room, 1)

    def test_unreached_target_costs_no_budget(self):
        sender = ScriptedSender(AttemptOutcome.NOT_REACHED, AttemptOutcome.DONE)
        self.assertIs(self.run_loop(sender, ONCE), StopReason.DONE)
        self.assertEqual(self.budget.room, 2)

    def test_request_that_may_have_run_ends_as_unknown(self):
        # The connection was reset after a booking was sent. It may have run, so it
        # must not be retried or reported as "not run".
        sender = ScriptedSender(
            AttemptOutcome.NOT_RUN, AttemptOutcome.BROKEN, AttemptOutcome.DONE
        )
        self.assertIs(self.run_loop(sender, ONCE), StopReason.NOT_RETRYABLE)
        self.assertIs(self.history.outcome, Outcome.UNKNOWN)

    def test_no_target_after_refusals_is_not_run(self):
        sender = ScriptedSender(AttemptOutcome.NOT_RUN, None)
        self.assertIs(self.run_loop(sender, ONCE), StopReason.NO_PLACEMENT)
        self.assertIs(self.history.outcome, Outcome.NOT_RUN)

    def test_spent_budget_ends_it_unless_the_response_has_started(self):
        # All targets fail at once. A caller without any output is told to retry later;
        # a response that has started would be truncated, so it is resumed.
        self.budget.room = 0
        ends = (AttemptOutcome.BROKEN, AttemptOutcome.DONE)
        self.assertIs(
            self.run_loop(ScriptedSender(*ends), TWICE), StopReason.RETRY_BUDGET_SPENT
        )
        begun = ScriptedSender(*ends)
        begun.has_begun = True
        self.history = AttemptHistory()
        self.assertIs(self.run_loop(begun, TWICE), StopReason.DONE)

    def test_request_past_its_deadline_is_not_retried(self):
        sender = ScriptedSender(AttemptOutcome.NOT_RUN, AttemptOutcome.DONE)
        sender.past_deadline = True
        self.assertIs(self.run_loop(sender, TWICE), StopReason.DEADLINE_PASSED)
        self.assertEqual(self.budget.room, 2)

    def test_clearing_attempts_keeps_that_one_may_have_run(self):
        self.history.add(AttemptRecord("replica", AttemptOutcome.BROKEN))
        self.history.clear_attempts()
        self.assertEqual(self.history.possible_runs, 0)
        self.assertIs(self.history.outcome, Outcome.UNKNOWN)
