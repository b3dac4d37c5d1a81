"""The loop that sends until a request is done or may not be sent again."""

import unittest

import trio

from berylshift.clock import ManualClock
from berylshift.request.messages import Outcome
from berylshift.request.retry_loop import StopReason, run_attempts
from berylshift.request.retry_policy import (
    AttemptHistory,
    AttemptOutcome,
    AttemptRecord,
    RetryBounds,
)

TWICE = RetryBounds(repeatable=True, max_runs=2)
ONCE = RetryBounds(repeatable=False, max_runs=3)


class ScriptedSender:
    """Sends that end as told; ``None`` stands for no place."""

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


class CountedBudget:
    """Allows so many further sends."""

    def __init__(self, room: int):
        self.room = room
        self.requests = 0

    def first(self, now: float) -> None:
        self.requests += 1

    def take(self, now: float) -> bool:
        self.room -= 1
        return self.room >= 0


class SendLoopTest(unittest.TestCase):
    """The loop over scripted sends."""

    def setUp(self):
        self.history = AttemptHistory()
        self.budget = CountedBudget(2)

    def run_loop(self, sender: ScriptedSender, bounds: RetryBounds) -> StopReason:
        clock = ManualClock()
        return trio.run(run_attempts, sender, bounds, self.history, self.budget, clock)

    def test_a_request_is_counted_once(self):
        sender = ScriptedSender(AttemptOutcome.NOT_RUN, AttemptOutcome.DONE)
        self.assertIs(self.run_loop(sender, TWICE), StopReason.DONE)
        self.assertEqual(self.budget.requests, 1)
        self.assertEqual(self.budget.room, 1)

    def test_a_connection_never_made_costs_nothing(self):
        sender = ScriptedSender(AttemptOutcome.NOT_REACHED, AttemptOutcome.DONE)
        self.assertIs(self.run_loop(sender, ONCE), StopReason.DONE)
        self.assertEqual(self.budget.room, 2)

    def test_what_may_have_run_once_ends_as_unknown(self):
        # The caller's booking went out and its connection was reset. It may have
        # run: it is not sent again, and it is not called "not run".
        sender = ScriptedSender(
            AttemptOutcome.NOT_RUN, AttemptOutcome.BROKEN, AttemptOutcome.DONE
        )
        self.assertIs(self.run_loop(sender, ONCE), StopReason.NOT_RETRYABLE)
        self.assertIs(self.history.outcome, Outcome.UNKNOWN)

    def test_no_place_after_refusals_is_not_run(self):
        sender = ScriptedSender(AttemptOutcome.NOT_RUN, None)
        self.assertIs(self.run_loop(sender, ONCE), StopReason.NO_PLACEMENT)
        self.assertIs(self.history.outcome, Outcome.NOT_RUN)

    def test_the_budget_ends_it_unless_the_answer_has_begun(self):
        # All targets fail at once. A caller without a piece of its answer is told
        # to come back; one that holds a piece would be cut, so its answer goes on.
        self.budget.room = 0
        ends = (AttemptOutcome.BROKEN, AttemptOutcome.DONE)
        self.assertIs(
            self.run_loop(ScriptedSender(*ends), TWICE), StopReason.RETRY_BUDGET_SPENT
        )
        begun = ScriptedSender(*ends)
        begun.has_begun = True
        self.history = AttemptHistory()
        self.assertIs(self.run_loop(begun, TWICE), StopReason.DONE)

    def test_a_late_request_is_not_sent_again(self):
        sender = ScriptedSender(AttemptOutcome.NOT_RUN, AttemptOutcome.DONE)
        sender.past_deadline = True
        self.assertIs(self.run_loop(sender, TWICE), StopReason.DEADLINE_PASSED)
        self.assertEqual(self.budget.room, 2)

    def test_starting_over_keeps_that_it_may_have_run(self):
        self.history.add(AttemptRecord("replica", AttemptOutcome.BROKEN))
        self.history.clear_attempts()
        self.assertEqual(self.history.possible_runs, 0)
        self.assertIs(self.history.outcome, Outcome.UNKNOWN)
