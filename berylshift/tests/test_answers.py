"""Whole-path tests: every caller gets the whole answer to its own request."""

import unittest

import msgspec
import trio

from berylshift.ids import AttemptId
from berylshift.process.control.orders import role_order
from berylshift.request.assembly import AnswerAssembler, Verdict
from berylshift.request.messages import Outcome, Reason
from berylshift.targets import EngineChunk, Role
from berylshift.tests.world import (
    complete,
    model_call,
    run_world,
    small_rows,
    wanted,
)


def chunk(attempt: str, offset: int, *texts: str, end=None) -> EngineChunk:
    """Return a chunk."""
    return EngineChunk(AttemptId(attempt), offset, list(texts), end)


class AssemblyTest(unittest.TestCase):
    """Chunks that come late, crossed, twice or with gaps."""

    def setUp(self):
        self.answer = AnswerAssembler()
        self.answer.begin(AttemptId("a1"))

    def test_late_chunk_of_another_attempt_is_foreign(self):
        # The first attempt was given up, its connection is reused, and its late
        # chunk arrives first. The caller would see text of another answer.
        self.answer.begin(AttemptId("a2"))
        self.assertIs(self.answer.take(chunk("a1", 0, "x")), Verdict.FOREIGN)
        self.assertEqual(self.answer.whole_text(), "")

    def test_repeated_offset_adds_nothing(self):
        self.answer.take(chunk("a1", 0, "a", "b"))
        self.answer.take(chunk("a1", 0, "a", "b"))
        self.answer.take(chunk("a1", 1, "b", "c"))
        self.assertEqual(self.answer.whole_text(), "abc")

    def test_gap_is_found(self):
        self.answer.take(chunk("a1", 0, "a"))
        self.assertIs(self.answer.take(chunk("a1", 2, "c")), Verdict.GAP)

    def test_end_counts_the_tokens(self):
        self.answer.take(chunk("a1", 0, "a"))
        self.assertIs(self.answer.take(chunk("a1", 0, end=2)), Verdict.SHORT)
        self.assertIs(self.answer.take(chunk("a1", 0, end=1)), Verdict.WHOLE)

    def test_text_is_passed_on_once(self):
        self.answer.take(chunk("a1", 0, "a"))
        self.assertEqual(self.answer.new_text(), "a")
        self.assertEqual(self.answer.new_text(), "")


class StreamFailureTest(unittest.TestCase):
    """Engines and hosts that fail in the middle of an answer."""

    def one_call(self, fail, rows=None, **call):
        """Start a call, bring ``fail(world, engine)`` about, return its end."""
        results = []

        async def task(world):
            request = model_call(1, **call)

            async def ask():
                results.append(await complete(world.hosts["host-1"], request))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await trio.sleep(1.0)
                app = world.hosts["host-1"].app
                name = next(n for n in world.engines if app.load.open_here(n))
                await fail(world, world.engines[name])
            return results[0], wanted(request)

        return run_world(task, rows)

    def assert_whole(self, found):
        (ending, text), answer = found
        self.assertIs(ending.outcome, Outcome.COMPLETE)
        self.assertEqual(text, answer)

    def test_engine_killed_in_mid_stream(self):
        # The caller has read about forty tokens when the engine dies. The rest
        # comes from another engine, from the next token on; nothing twice.
        async def fail(world, engine):
            engine.crash(trio.current_time())

        self.assert_whole(self.one_call(fail))

    def test_begun_answer_is_finished_although_retries_are_spent(self):
        # Other requests have used up the budget for retries when the engine dies.
        # The caller holds a part of its answer: the rest still comes, since ending
        # it here would leave the caller with a cut answer.
        async def fail(world, engine):
            retries = world.hosts["host-1"].app.front._parts.completions.retries
            while retries.try_acquire(trio.current_time()):
                pass
            engine.crash(trio.current_time())

        self.assert_whole(self.one_call(fail))

    def test_both_engines_killed_one_after_the_other_and_back(self):
        # Both engines die while the answer is under way. The host waits and
        # finishes when one is back: the caller holds a half that must not be lost.
        async def fail(world, engine):
            for each in world.engines.values():
                each.crash(trio.current_time())
            await trio.sleep(3)
            for each in world.engines.values():
                each.restart(trio.current_time())

        self.assert_whole(self.one_call(fail))

    def test_link_to_the_engine_cut_in_mid_stream(self):
        # No error comes: the stream just stops. After the token time-out the
        # answer goes on elsewhere.
        async def fail(world, engine):
            world.network.cut("host-1", engine.name)

        self.assert_whole(self.one_call(fail))

    def test_role_order_of_a_stranger_cuts_the_engine(self):
        # Something else orders the engine to change in mid-stream. The cut stream
        # is resumed; the caller sees a pause.
        async def fail(world, engine):
            engine._begin_change(role_order(Role.MIXED), trio.current_time())

        self.assert_whole(self.one_call(fail))

    def test_late_tokens_of_a_given_up_attempt_change_nothing(self):
        # The link is cut and heals after the answer has gone on elsewhere: the
        # first engine's tokens arrive then, late.
        async def fail(world, engine):
            world.network.cut("host-1", engine.name)
            await trio.sleep(7)
            world.network.heal("host-1", engine.name)

        self.assert_whole(self.one_call(fail, output=600, seconds=60.0))

    def test_single_engine_that_stays_dead_ends_as_unknown(self):
        # Nothing can finish the answer. The caller is told that it isn't whole.
        async def fail(world, engine):
            engine.crash(trio.current_time())

        (ending, text), answer = self.one_call(fail, small_rows(engines=1))
        self.assertIs(ending.outcome, Outcome.UNKNOWN)
        self.assertNotEqual(text, answer)
        self.assertTrue(answer.startswith(text))

    def test_crossed_answers_each_reach_their_own_caller(self):
        async def task(world):
            found = []

            async def ask(number):
                call = model_call(number, prompt=200 + number, output=50 + number)
                host = world.hosts[f"host-{number % 2 + 1}"]
                ending, text = await complete(host, call)
                found.append(
                    ending.outcome is Outcome.COMPLETE and text == wanted(call)
                )

            async with trio.open_nursery() as nursery:
                for number in range(40):
                    nursery.start_soon(ask, number)
            return found

        found = run_world(task)
        self.assertEqual(found, [True] * 40)

    def test_caller_that_asks_again_through_another_host(self):
        # Its host is killed in mid-stream. The other host answers from the start.
        async def task(world):
            call = model_call(1)
            with trio.move_on_after(1.0):
                await complete(world.hosts["host-1"], call)
            world.hosts["host-1"].kill()
            return (await complete(world.hosts["host-2"], call)), wanted(call)

        self.assert_whole(run_world(task))

    def test_graceful_shutdown_cuts_no_answer(self):
        # SIGTERM arrives while ten answers are under way. The process ends when
        # they have ended, and takes new ones while the balancer learns of it.
        async def task(world):
            host = world.hosts["host-1"]
            found = []

            async def ask(number):
                call = model_call(number, output=300)
                ending, text = await complete(host, call)
                found.append(text == wanted(call))

            async with trio.open_nursery() as nursery:
                for number in range(10):
                    nursery.start_soon(ask, number)
                await trio.sleep(1.0)
                nursery.start_soon(host.stop)
                await trio.sleep(1.0)
                nursery.start_soon(ask, 10)
                ready = host.app.readiness.is_ready()
            return found, ready, host.app

        found, ready, app = run_world(task)
        self.assertEqual(found, [True] * 11)
        self.assertFalse(ready)
        self.assertIsNone(app)


class RefusalTest(unittest.TestCase):
    """Refusals come at once, with when to come back."""

    def test_deadline_that_cannot_be_met_is_refused_at_once(self):
        async def task(world):
            call = model_call(1, prompt=8000, output=400, seconds=2.0)
            start = trio.current_time()
            ending, text = await complete(world.hosts["host-1"], call)
            return ending, text, trio.current_time() - start

        ending, text, took = run_world(task)
        self.assertIs(ending.outcome, Outcome.NOT_RUN)
        self.assertIs(ending.reason, Reason.TOO_LATE)
        self.assertGreaterEqual(ending.retry_after, 1.0)
        self.assertLess(took, 0.1)
        self.assertEqual(text, "")

    def test_engine_in_nonsense_is_left_for_another(self):
        # The engine answers with chunks of another attempt. Nothing of them may
        # reach the caller.
        async def task(world):
            first = world.engines["engine-1"]
            original = first.submit

            def submit(call, now, wake):
                renamed = msgspec.structs.replace(call, attempt=AttemptId("other"))
                return original(renamed, now, wake)

            first.submit = submit
            found = []
            for number in range(4):
                call = model_call(number)
                ending, text = await complete(world.hosts["host-1"], call)
                found.append(text == wanted(call))
            return found

        self.assertEqual(run_world(task), [True] * 4)
