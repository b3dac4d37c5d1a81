"""Tests of writes to callers when a deadline or stop falls between two writes."""

import unittest

import trio

from berylshift.tests.entry_world import prompt_headers, route, routes, stream_body
from berylshift.tests.socket_world import run_socket_world, stall_loop, start_process
from berylshift.tests.test_entry_shutdown import HANDLER_LOG, PROMPTED, request_endings
from berylshift.version.routes import RouteKind

# Requests that the hosts of a scenario read at least; fewer would show little.
MIN_REQUESTS = 200


class ReadyResponseTest(unittest.TestCase):
    """A response that has arrived is delivered even if its deadline passes."""

    def stall_after(self, link, mark: bytes, seconds: float) -> None:
        """Stall the host for ``seconds`` once it has written ``mark``."""

        def on_send(data: bytes) -> None:
            if mark in data:
                link.stream.peer.on_send = None
                stall_loop(seconds)

        link.stream.peer.on_send = on_send

    def answer(self, work: float, left_ms: int, stop_at: float | None = None):
        """Call a service that takes ``work`` seconds; stall for 30 ms after the head.

        Return the reply's status, whether it is complete, and the elapsed seconds.
        """

        async def task(world):
            for replica in world.replicas.values():
                replica.work_seconds = work
            long = route("long", RouteKind.AT_MOST_ONCE, timeout_seconds=20.0)
            world.directory.put_routes(routes(2, long))
            await trio.sleep(0.1)
            process = await start_process(world)
            link = process.connect()
            start = trio.current_time()
            await link.send("/long/x", left_ms=left_ms)
            self.stall_after(link, b"HTTP/1.1 200", 0.03)
            if stop_at is not None:
                await trio.sleep(stop_at)
                process.stop.set()
            reply = await link.read()
            return reply.status, reply.whole, trio.current_time() - start

        return run_socket_world(task)

    def test_body_is_written_when_the_deadline_passes_after_the_head(self):
        """Guards against a response head without its body.

        A booking's response is ready 30 ms before the caller's deadline. After the head
        is written, the host is stalled for 30 ms, and the request's time is over before
        the body is written.
        """
        status, whole, seconds = self.answer(work=0.965, left_ms=1000)
        self.assertLess(seconds, 1.0)
        self.assertEqual((status, whole), (200, True))

    def test_body_is_written_when_the_host_stops_after_the_head(self):
        """The same for the last responses of a planned stop, 7 s after it began.

        The caller has 12 s left, and the host the 0.2 s reserved for last responses.
        """
        status, whole, seconds = self.answer(work=8.98, left_ms=21000, stop_at=2.0)
        self.assertLess(seconds, 9.2)
        self.assertEqual((status, whole), (200, True))

    def test_end_marker_is_written_after_the_last_event(self):
        """Guards against a complete stream that looks truncated to the caller.

        The end marker arrives with the last event, but the request's time is over once
        that event is written, and the end marker is not sent.
        """

        async def task(world):
            process = await start_process(world)
            link = process.connect()
            headers = prompt_headers(4, prefix_tokens=0)
            for replica in world.replicas.values():
                replica.event_seconds = 0.24
            start = trio.current_time()
            await link.send("/note/x", headers=headers, left_ms=1000)
            self.stall_after(link, b"piece-4", 0.03)
            reply = await link.read()
            return reply.body, reply.whole, trio.current_time() - start

        body, whole, seconds = run_socket_world(task, engines="d")
        self.assertLess(seconds, 1.0)
        self.assertEqual((body, whole), (stream_body(1, 4), True))


class HeadRequestTest(unittest.TestCase):
    """HEAD requests."""

    def ask(self, path: bytes, stopping: bool = False) -> bytes:
        async def task(world):
            long = route("long", RouteKind.AT_MOST_ONCE, timeout_seconds=20.0)
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

        return run_socket_world(task)

    def test_a_refusal_reaches_its_caller(self):
        """Guards against a connection that is closed without a response.

        The head and body of a refusal are one write, but a response to HEAD must not
        have a body. If the write fails as a whole, the head is not sent either.
        """
        self.assertTrue(self.ask(b"/nowhere").startswith(b"HTTP/1.1 4"))
        found = self.ask(b"/long/x", stopping=True)
        self.assertTrue(found.startswith(b"HTTP/1.1"), found)


class SlowCallerTest(unittest.TestCase):
    """Callers that do not read their responses."""

    def stream(self, timeout: float, stopping: bool):
        """Have a caller of a long stream read nothing; return the host's log lines."""

        async def task(world):
            long = route("long", RouteKind.STREAM, timeout_seconds=timeout, **PROMPTED)
            world.directory.put_routes(routes(2, long))
            await trio.sleep(0.1)
            process = await start_process(world)
            link = process.connect(window=400)
            headers = prompt_headers(200, prefix_tokens=0)
            await link.send("/long/x", headers=headers, left_ms=20_000)
            await trio.sleep(0.2)
            if stopping:
                process.stop.set()
            await trio.sleep(9.0)

        with self.assertLogs(HANDLER_LOG, "INFO") as logs:
            run_socket_world(task, engines="d")
        return request_endings(logs)

    def test_stop_is_logged_as_the_timeout_source(self):
        """A write to a slow caller that the stop ends is not a caller's disconnect."""
        self.assertEqual(self.stream(20.0, stopping=True)[0][:2], ("cut", "stop"))

    def test_route_timeout_is_logged_as_the_timeout_source(self):
        """The same without a stop: the route's timeout plus the write grace is over."""
        self.assertEqual(self.stream(2.0, stopping=False), [("cut", "route", None)])

    def test_half_closed_caller_frees_its_engine(self):
        """Guards against an engine slot that is held until the write timeout.

        A caller closes its sending side while a write to it is blocked. It is treated
        as disconnected.
        """

        async def task(world):
            long = route("long", RouteKind.STREAM, timeout_seconds=20.0, **PROMPTED)
            world.directory.put_routes(routes(2, long))
            await trio.sleep(0.1)
            process = await start_process(world)
            link = process.connect(window=400)
            headers = prompt_headers(200, prefix_tokens=0)
            await link.send("/long/x", headers=headers, left_ms=20_000)
            await trio.sleep(1.0)
            await link.stream.send_eof()
            await trio.sleep(0.4)
            return process.app.handler.in_flight

        self.assertEqual(run_socket_world(task, engines="d"), 0)


if __name__ == "__main__":
    unittest.main()
