"""The loop that sends until a request is done or may not be sent again."""

import unittest

import trio

from berylshift.clock import ManualClock
from berylshift.request.messages import Outcome
from berylshift.request.retry_rule import RetryBounds, SendEnd, SendHistory, Sent
from berylshift.request.send_loop import LoopEnd, send_until_done

TWICE = RetryBounds(repeatable=True, most_runs=2)
ONCE = RetryBounds(repeatable=False, most_runs=3)


class ScriptedSender:
    """Sends that end as told; ``None`` stands for no place."""

    def __init__(self, *ends: SendEnd | None):
        self.ends = list(ends)
        self.late = False
        self.begun = False

    async def send(self) -> Sent | None:
        end = self.ends.pop(0)
        return None if end is None else Sent("replica", end)

    def is_late(self) -> bool:
        return self.late

    def must_finish(self) -> bool:
        return self.begun


class CountedBudget:
    """Allows so many further sends."""

    def __init__(self, room: int):
        self.room = room
        self.requests = 0

    def note_first_attempt(self, now: float) -> None:
        self.requests += 1

    def try_acquire(self, now: float) -> bool:
        self.room -= 1
        return self.room >= 0


class SendLoopTest(unittest.TestCase):
    """The loop over scripted sends."""

    def setUp(self):
        self.history = SendHistory()
        self.budget = CountedBudget(2)

    def run_loop(self, sender: ScriptedSender, bounds: RetryBounds) -> LoopEnd:
        clock = ManualClock()
        return trio.run(
            send_until_done, sender, bounds, self.history, self.budget, clock
        )

    def test_a_request_is_counted_once(self):
        sender = ScriptedSender(SendEnd.NOT_RUN, SendEnd.DONE)
        self.assertIs(self.run_loop(sender, TWICE), LoopEnd.DONE)
        self.assertEqual(self.budget.requests, 1)
        self.assertEqual(self.budget.room, 1)

    def test_a_connection_never_made_costs_nothing(self):
        sender = ScriptedSender(SendEnd.NOT_REACHED, SendEnd.DONE)
        self.assertIs(self.run_loop(sender, ONCE), LoopEnd.DONE)
        self.assertEqual(self.budget.room, 2)

    def test_what_may_have_run_once_ends_as_unknown(self):
        # The caller's booking went out and its connection was reset. It may have
        # run: it is not sent again, and it is not called "not run".
        sender = ScriptedSender(SendEnd.NOT_RUN, SendEnd.BROKEN, SendEnd.DONE)
        self.assertIs(self.run_loop(sender, ONCE), LoopEnd.NO_MORE)
        self.assertIs(self.history.outcome, Outcome.UNKNOWN)

    def test_no_place_after_refusals_is_not_run(self):
        sender = ScriptedSender(SendEnd.NOT_RUN, None)
        self.assertIs(self.run_loop(sender, ONCE), LoopEnd.NO_PLACE)
        self.assertIs(self.history.outcome, Outcome.NOT_RUN)

    def test_the_budget_ends_it_unless_the_answer_has_begun(self):
        # All targets fail at once. A caller without a piece of its answer is told
        # to come back; one that holds a piece would be cut, so its answer goes on.
        self.budget.room = 0
        ends = (SendEnd.BROKEN, SendEnd.DONE)
        self.assertIs(self.run_loop(ScriptedSender(*ends), TWICE), LoopEnd.NO_BUDGET)
        begun = ScriptedSender(*ends)
        begun.begun = True
        self.history = SendHistory()
        self.assertIs(self.run_loop(begun, TWICE), LoopEnd.DONE)

    def test_a_late_request_is_not_sent_again(self):
        sender = ScriptedSender(SendEnd.NOT_RUN, SendEnd.DONE)
        sender.late = True
        self.assertIs(self.run_loop(sender, TWICE), LoopEnd.LATE)
        self.assertEqual(self.budget.room, 2)

    def test_starting_over_keeps_that_it_may_have_run(self):
        self.history.add(Sent("replica", SendEnd.BROKEN))
        self.history.start_over()
        self.assertEqual(self.history.runs, 0)
        self.assertIs(self.history.outcome, Outcome.UNKNOWN)
