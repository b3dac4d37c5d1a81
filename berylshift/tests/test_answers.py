"""End-to-end tests: every caller gets the complete response to its own request."""

import unittest

import msgspec
import trio

from berylshift.ids import AttemptId
from berylshift.process.control.orders import role_order
from berylshift.request.assembly import ChunkStatus, ResponseAssembler
from berylshift.request.messages import Outcome, Reason
from berylshift.targets import EngineChunk, Role
from berylshift.tests.world import (
    complete,
    expected_text,
    model_call,
    run_world,
    small_rows,
)


def chunk(attempt: str, offset: int, *texts: str, end=None) -> EngineChunk:
    """Return a chunk."""
    return EngineChunk(AttemptId(attempt), offset, list(texts), end)


class AssemblyTest(unittest.TestCase):
    """Chunks that arrive late, out of order, twice or with gaps."""

    def setUp(self):
        self.answer = ResponseAssembler()
        self.answer.begin_attempt(AttemptId("a1"))

    def test_late_chunk_of_another_attempt_is_rejected(self):
        # The first attempt was abandoned, its connection is reused, and its late chunk
        # arrives first. The caller would see text of another response.
        self.answer.begin_attempt(AttemptId("a2"))
        self.assertIs(self.answer.add(chunk("a1", 0, "x")), ChunkStatus.OTHER_ATTEMPT)
        self.assertEqual(self.answer.full_text(), "")

    def test_repeated_offset_adds_nothing(self):
        self.answer.add(chunk("a1", 0, "a", "b"))
        self.answer.add(chunk("a1", 0, "a", "b"))
        self.answer.add(chunk("a1", 1, "b", "c"))
        self.assertEqual(self.answer.full_text(), "abc")

    def test_gap_is_found(self):
        self.answer.add(chunk("a1", 0, "a"))
        self.assertIs(self.answer.add(chunk("a1", 2, "c")), ChunkStatus.GAP)

    def test_end_counts_the_tokens(self):
        self.answer.add(chunk("a1", 0, "a"))
        self.assertIs(self.answer.add(chunk("a1", 0, end=2)), ChunkStatus.TRUNCATED)
        self.assertIs(self.answer.add(chunk("a1", 0, end=1)), ChunkStatus.COMPLETE)

    def test_text_is_forwarded_once(self):
        self.answer.add(chunk("a1", 0, "a"))
        self.assertEqual(self.answer.take_new_text(), "a")
        self.assertEqual(self.answer.take_new_text(), "")


class StreamFailureTest(unittest.TestCase):
    """Engines and hosts that fail in the middle of a response."""

    def one_call(self, fail, rows=None, **call):
        """Start a call, run ``fail(world, engine)``, return how the call ended."""
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
            return results[0], expected_text(request)

        return run_world(task, rows)

    def assert_whole(self, found):
        (ending, text), answer = found
        self.assertIs(ending.outcome, Outcome.COMPLETE)
        self.assertEqual(text, answer)

    def test_engine_killed_in_mid_stream(self):
        # The caller has received about 40 tokens when the engine crashes. Another
        # engine resumes at the next token.
        async def fail(world, engine):
            engine.crash(trio.current_time())

        self.assert_whole(self.one_call(fail))

    def test_started_response_is_finished_when_the_retry_budget_is_spent(self):
        # Other requests have spent the retry budget when the engine crashes. The
        # response has started and is still resumed, since it would be truncated.
        async def fail(world, engine):
            retries = world.hosts["host-1"].app.handler._deps.completions.retries
            while retries.try_acquire(trio.current_time()):
                pass
            engine.crash(trio.current_time())

        self.assert_whole(self.one_call(fail))

    def test_both_engines_killed_and_restarted(self):
        # Both engines crash in mid-response. The host waits for one to restart and
        # resumes: the caller must not lose the part it has received.
        async def fail(world, engine):
            for each in world.engines.values():
                each.crash(trio.current_time())
            await trio.sleep(3)
            for each in world.engines.values():
                each.restart(trio.current_time())

        self.assert_whole(self.one_call(fail))

    def test_link_to_the_engine_cut_in_mid_stream(self):
        # The stream stops without an error. After the token timeout the response is
        # resumed elsewhere.
        async def fail(world, engine):
            world.network.cut("host-1", engine.name)

        self.assert_whole(self.one_call(fail))

    def test_foreign_role_order_interrupts_the_engine(self):
        # Another controller orders the engine to change its role in mid-stream. The
        # broken stream is resumed; the caller sees a pause.
        async def fail(world, engine):
            engine._start_change(role_order(Role.MIXED), trio.current_time())

        self.assert_whole(self.one_call(fail))

    def test_late_tokens_of_an_abandoned_attempt_are_ignored(self):
        # The link is cut and heals after the response was resumed elsewhere; the first
        # engine's tokens arrive late.
        async def fail(world, engine):
            world.network.cut("host-1", engine.name)
            await trio.sleep(7)
            world.network.heal("host-1", engine.name)

        self.assert_whole(self.one_call(fail, output=600, seconds=60.0))

    def test_dead_single_engine_ends_as_unknown(self):
        # Nothing can finish the response. The caller is told that it is incomplete.
        async def fail(world, engine):
            engine.crash(trio.current_time())

        (ending, text), answer = self.one_call(fail, small_rows(engines=1))
        self.assertIs(ending.outcome, Outcome.UNKNOWN)
        self.assertNotEqual(text, answer)
        self.assertTrue(answer.startswith(text))

    def test_concurrent_responses_reach_their_own_callers(self):
        async def task(world):
            found = []

            async def ask(number):
                call = model_call(number, prompt=200 + number, output=50 + number)
                host = world.hosts[f"host-{number % 2 + 1}"]
                ending, text = await complete(host, call)
                found.append(
                    ending.outcome is Outcome.COMPLETE and text == expected_text(call)
                )

            async with trio.open_nursery() as nursery:
                for number in range(40):
                    nursery.start_soon(ask, number)
            return found

        found = run_world(task)
        self.assertEqual(found, [True] * 40)

    def test_caller_that_retries_through_another_host(self):
        # Its host is killed in mid-stream. The other host runs the call from the start.
        async def task(world):
            call = model_call(1)
            with trio.move_on_after(1.0):
                await complete(world.hosts["host-1"], call)
            world.hosts["host-1"].kill()
            return (await complete(world.hosts["host-2"], call)), expected_text(call)

        self.assert_whole(run_world(task))

    def test_graceful_shutdown_truncates_no_response(self):
        # SIGTERM arrives while ten responses are in progress. The process exits when
        # they have finished, and accepts new ones until the balancer has noticed.
        async def task(world):
            host = world.hosts["host-1"]
            found = []

            async def ask(number):
                call = model_call(number, output=300)
                ending, text = await complete(host, call)
                found.append(text == expected_text(call))

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
    """Refusals are immediate and have a Retry-After."""

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

    def test_engine_with_invalid_chunks_is_avoided(self):
        # The engine sends chunks of another attempt. None of them may reach the
        # caller.
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
                found.append(text == expected_text(call))
            return found

        self.assertEqual(run_world(task), [True] * 4)
