"""Tests of the loop that makes further attempts beside overdue ones."""

import unittest
import unittest.mock

import trio

from berylshift.clock import LoopClock
from berylshift.process.targets.replica_silence import ReplicaSilence
from berylshift.request.hedged_attempts import HedgedAttempts
from berylshift.request.retry_loop import StopReason
from berylshift.request.retry_policy import (
    AttemptHistory,
    AttemptOutcome,
    AttemptRecord,
    RetryBounds,
)
from berylshift.tests.support import run_virtual
from berylshift.tests.test_request_retry_loop import CountedBudget

BOUNDS = RetryBounds(repeatable=True, max_runs=3)


class ScriptedSender:
    """One attempt that ends as scripted after 1.0 s, and is overdue after 0.5 s."""

    def __init__(self, end: AttemptOutcome, shield: bool = False):
        self.end = end
        self.shield = shield
        self.due = float("inf")
        self.on_due = lambda at: None
        self.chosen_early = 0
        self.hedges = 0

    async def send(self) -> AttemptRecord:
        self.set_due(0.5)
        with trio.CancelScope(shield=self.shield):
            await trio.sleep(1.0)
        return AttemptRecord("replica", self.end)

    def set_due(self, seconds: float) -> None:
        self.due = trio.current_time() + seconds
        self.on_due(self.due)

    def is_past_deadline(self) -> bool:
        return False

    def ignores_retry_budget(self) -> bool:
        return False

    def overdue_at(self) -> float:
        return self.due

    def choose_hedge(self):
        self.chosen_early += self.due > trio.current_time()
        self.hedges += 1
        return None


class HedgedAttemptsTest(unittest.TestCase):
    """The loop over scripted attempts."""

    def run_loop(self, sender, seconds: float = 10.0, beside=None):
        """Return the loop's result, ``None`` if it was cancelled, and its history."""
        history = AttemptHistory()

        async def task():
            loop = HedgedAttempts(
                sender, BOUNDS, history, CountedBudget(9), LoopClock()
            )
            sender.on_due = loop.on_due
            result = None
            async with trio.open_nursery() as nursery:
                if beside is not None:
                    nursery.start_soon(beside)
                with trio.move_on_after(seconds):
                    result = await loop.run()
            return result

        return run_virtual(task), history

    def test_answer_in_the_moment_of_the_decision(self):
        """Guards against a further attempt beside one that has just answered."""
        for seed in range(30):
            sender = ScriptedSender(AttemptOutcome.DONE)

            async def answer(sender=sender):
                await trio.sleep(0.5)
                sender.set_due(9.0)

            with unittest.mock.patch("berylshift.tests.support.SEED", seed):
                self.run_loop(sender, beside=answer)
            self.assertEqual(sender.chosen_early, 0)

    def test_end_after_the_cancellation_counts(self):
        """Guards against "not run" for an attempt that ends as its time is up."""
        sender = ScriptedSender(AttemptOutcome.FAILED, shield=True)
        result, history = self.run_loop(sender, seconds=0.9)
        self.assertIsNone(result)
        self.assertTrue(history.may_have_run)

    def test_whole_answer_after_the_cancellation_is_done(self):
        """Guards against a whole answer that is recorded as cut."""
        sender = ScriptedSender(AttemptOutcome.DONE, shield=True)
        result, _ = self.run_loop(sender, seconds=0.9)
        self.assertIs(result, StopReason.DONE)

    def test_late_timers_defer_a_hedge_once(self):
        """Guards against a host with a slow event loop that never hedges."""
        sender = ScriptedSender(AttemptOutcome.DONE)

        async def be_late():
            for _ in range(8):
                await trio.sleep(0.01)
                trio.lowlevel.current_clock().jump(0.1)

        self.run_loop(sender, beside=be_late)
        self.assertGreater(sender.hedges, 0)


class ReplicaSilenceTest(unittest.TestCase):
    """Which replicas count as silent."""

    def setUp(self):
        self.silence = ReplicaSilence()

    def test_one_slow_response_is_no_silence(self):
        """Guards against a sound replica that is left out for one long request."""
        self.silence.begin("a", 1, 0.0, 0.5)
        self.assertEqual(self.silence.silent(2.0), [])
        self.silence.begin("a", 2, 0.1, 0.6)
        self.assertEqual(self.silence.silent(2.0), ["a"])

    def test_replica_that_sends_anything_is_not_silent(self):
        """Guards against a slow stream that makes its replica count as silent."""
        self.silence.begin("a", 1, 0.0, 0.5)
        self.silence.begin("a", 2, 0.0, 0.5)
        self.silence.record_event("a", 1, 1.0)
        self.assertEqual(self.silence.silent(1.4), [])
        self.assertEqual(self.silence.silent(1.6), ["a"])
        self.silence.end("a", 1)
        self.silence.end("a", 2)
        self.assertEqual(self.silence.silent(9.0), [])


if __name__ == "__main__":
    unittest.main()
