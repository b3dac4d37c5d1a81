"""What has come for a caller reaches it, whatever ends meanwhile."""

import unittest

import trio

from berylshift.tests.entry_world import (
    prompt_headers,
    route,
    routes,
    stream_body,
)
from berylshift.tests.ledger import (
    pass_time,
    run_ledger,
    start_process,
)
from berylshift.tests.test_entry_shutdown import FRONT_LOG, PROMPTED, endings
from berylshift.version.routes import RouteKind

# Requests that a play's hosts read at least; with fewer it would show little.
LEAST_READ = 200


class ReadyAnswerTest(unittest.TestCase):
    """An answer that is there is delivered, whatever time ends between two writes."""

    def pass_time_after(self, link, mark: bytes, seconds: float) -> None:
        """Have the host without processor time once it has written ``mark``."""

        def on_put(data: bytes) -> None:
            if mark in data:
                link.stream.peer.on_put = None
                pass_time(seconds)

        link.stream.peer.on_put = on_put

    def answer(self, work: float, left_ms: int, stop_at: float | None = None):
        """Ask a service that works ``work`` seconds; 30 ms pass behind the head.

        Return status and wholeness of the reply, and the caller's seconds until then.
        """

        async def task(world):
            for replica in world.replicas.values():
                replica.work_seconds = work
            long = route("long", RouteKind.AT_MOST_ONCE, timeout=20.0)
            world.directory.put_routes(routes(2, long))
            await trio.sleep(0.1)
            process = await start_process(world)
            link = process.connect()
            start = trio.current_time()
            await link.send("/long/x", left_ms=left_ms)
            self.pass_time_after(link, b"HTTP/1.1 200", 0.03)
            if stop_at is not None:
                await trio.sleep(stop_at)
                process.stop.set()
            reply = await link.read()
            return reply.status, reply.whole, trio.current_time() - start

        return run_ledger(task)

    def test_the_body_follows_its_head_when_the_time_is_nearly_over(self):
        """A booking is made, its answer is ready 30 ms before the caller's time ends.

        The head is on its way when the host has no processor time for 30 ms. Then the
        time that the host gives the request is over, and the body is not written: the
        caller gets a head with the length of a body that never comes.
        """
        status, whole, seconds = self.answer(work=0.965, left_ms=1000)
        self.assertLess(seconds, 1.0)
        self.assertEqual((status, whole), (200, True))

    def test_the_body_follows_its_head_when_the_host_ends(self):
        """The same as the last answers of a planned stop are written, 7 s after it.

        The caller has 12 s left, and the host 0.2 s that it keeps for last answers.
        """
        status, whole, seconds = self.answer(work=8.98, left_ms=21000, stop_at=2.0)
        self.assertLess(seconds, 9.2)
        self.assertEqual((status, whole), (200, True))

    def test_the_end_mark_follows_the_last_event(self):
        """All events of a caller's stream are there, and the end mark with the last.

        The time that the host gives the stream ends as the last event is written, and
        the end mark stays behind: the caller must take its whole answer for cut.
        """

        async def task(world):
            process = await start_process(world)
            link = process.connect()
            headers = prompt_headers(4, shared=0)
            for replica in world.replicas.values():
                replica.piece_seconds = 0.24
            start = trio.current_time()
            await link.send("/note/x", headers=headers, left_ms=1000)
            self.pass_time_after(link, b"piece-4", 0.03)
            reply = await link.read()
            return reply.body, reply.whole, trio.current_time() - start

        body, whole, seconds = run_ledger(task, engines="d")
        self.assertLess(seconds, 1.0)
        self.assertEqual((body, whole), (stream_body(1, 4), True))


class HeadlessTest(unittest.TestCase):
    """Requests for the head of an answer alone."""

    def ask(self, path: bytes, stopping: bool = False) -> bytes:
        async def task(world):
            long = route("long", RouteKind.AT_MOST_ONCE, timeout=20.0)
            world.directory.put_routes(routes(2, long))
            await trio.sleep(0.1)
            process = await start_process(world)
            if stopping:
                process.stop.set()
                await trio.sleep(0.5)
            link = process.connect()
            lines = b"HEAD %s HTTP/1.1\r\nhost: shop.example\r\nx-request-id: a\r\n\r\n"
            await link.stream.send_all(lines % path)
            return bytes(await link.stream.receive_some())

        return run_ledger(task)

    def test_a_refusal_reaches_its_caller(self):
        """Head and body of a refusal are one write, and HTTP has no body after HEAD.

        Refused as a whole, not even the head would leave, and the caller's connection
        would close without a word.
        """
        self.assertTrue(self.ask(b"/nowhere").startswith(b"HTTP/1.1 4"))
        found = self.ask(b"/long/x", stopping=True)
        self.assertTrue(found.startswith(b"HTTP/1.1"), found)


class SlowCallerTest(unittest.TestCase):
    """Callers that do not read their answers."""

    def stream(self, timeout: float, stopping: bool):
        """Have a caller of a long stream read nothing; return its host's lines."""

        async def task(world):
            long = route("long", RouteKind.STREAM, timeout=timeout, **PROMPTED)
            world.directory.put_routes(routes(2, long))
            await trio.sleep(0.1)
            process = await start_process(world)
            link = process.connect(window=400)
            headers = prompt_headers(200, shared=0)
            await link.send("/long/x", headers=headers, left_ms=20_000)
            await trio.sleep(0.2)
            if stopping:
                process.stop.set()
            await trio.sleep(9.0)

        with self.assertLogs(FRONT_LOG, "INFO") as logs:
            run_ledger(task, engines="d")
        return endings(logs)

    def test_the_stop_is_named_as_what_ended_the_stream(self):
        """The write to a slow caller ends with the stop: the caller has not left."""
        self.assertEqual(self.stream(20.0, stopping=True)[0][:2], ("cut", "stop"))

    def test_the_routes_time_is_named_as_what_ended_the_stream(self):
        """The same, and no host stops: the route's time and a little is over."""
        self.assertEqual(self.stream(2.0, stopping=False), [("cut", "route", None)])

    def test_a_caller_that_ends_its_side_frees_its_engine(self):
        """A caller closes its sending side while the write to it waits for room.

        It is taken for one that left. The write must not hold its engine's slot until
        the time for writes is over.
        """

        async def task(world):
            long = route("long", RouteKind.STREAM, timeout=20.0, **PROMPTED)
            world.directory.put_routes(routes(2, long))
            await trio.sleep(0.1)
            process = await start_process(world)
            link = process.connect(window=400)
            headers = prompt_headers(200, shared=0)
            await link.send("/long/x", headers=headers, left_ms=20_000)
            await trio.sleep(1.0)
            await link.stream.send_eof()
            await trio.sleep(0.4)
            return process.app.handler.in_flight

        self.assertEqual(run_ledger(task, engines="d"), 0)


if __name__ == "__main__":
    unittest.main()
