"""Tests of connections that a host closes while callers use them."""

import contextlib
import unittest
from dataclasses import replace

import trio

from berylshift.connection.server_connection import MAX_EARLY_BYTES
from berylshift.tests.entry_world import route, routes
from berylshift.tests.socket_world import (
    DelayedReadSocket,
    HostProcess,
    request_bytes,
    run_socket_world,
    start_process,
)
from berylshift.version.routes import CallerLimits, RouteKind

# Requests that the hosts of a scenario read at least; fewer would show little.
MIN_REQUESTS = 200


class ClosedUnreadTest(unittest.TestCase):
    """A host closes a connection on which the caller has sent or awaits data."""

    async def idle_connection(self, process: HostProcess):
        """Return an idle connection after one response."""
        link = process.connect()
        await link.ask("/book/x", "r1")
        await trio.sleep(0.1)
        return link

    def test_arrived_request_is_read_before_shutdown_closes_connection(self):
        """Guards against a reset of an idle connection with an unread request.

        A host closes its idle connections 2.5 s after the stop signal. A caller's next
        request is in the kernel by then, but the event loop has not polled yet. The
        close would reset the connection, though the host has 4.5 s left.
        """

        async def task(world):
            short = route("short", RouteKind.AT_MOST_ONCE, timeout_seconds=2.0)
            world.directory.put_routes(routes(2, short))
            await trio.sleep(0.1)
            process = await start_process(world)
            link = await self.idle_connection(process)
            close_idle = process.app.server.close_idle

            def close_late():
                link.stream.send_nowait(request_bytes("/short/x", "r2"))
                close_idle()

            process.app.server.close_idle = close_late
            process.stop.set()
            reply = await link.read()
            return reply.status, reply.whole

        self.assertEqual(run_socket_world(task), (200, True))

    def ask_after_change(
        self, timeout_seconds: float, idle_seconds: float
    ) -> tuple[int, bool]:
        """Change the idle timeout of an idle connection, then send a request on it.

        The request is sent ``idle_seconds`` after the change.
        """

        async def task(world):
            process = await start_process(world)
            link = await self.idle_connection(process)
            changed = routes(2)
            changed.limits = CallerLimits(idle_seconds=timeout_seconds)
            world.directory.put_routes(changed)
            await trio.sleep(idle_seconds)
            reply = await link.ask("/book/x", "r2")
            return reply.status, reply.whole

        return run_socket_world(task)

    def test_raised_idle_timeout_applies_to_idle_connections(self):
        """Guards against an idle connection that is closed by an outdated timeout.

        The operator raises the idle timeout from 15 to 60 s. Callers reuse connections
        for up to four fifths of the latest timeout, 48 s. A connection that was idle
        during the change would still be closed after 15 s.
        """
        self.assertEqual(self.ask_after_change(60.0, idle_seconds=40.0), (200, True))

    def test_refusal_at_connection_limit_reaches_caller(self):
        """Guards against a refusal that is lost to a connection reset.

        A caller connects to a host at its connection limit. It is refused before its
        request is read; closing with the request unread resets the connection, and the
        reset discards the refusal.
        """

        async def task(world):
            process = await start_process(world)
            app = process.app
            app.server.limits = replace(app.server.limits, connections=1)
            await self.idle_connection(process)
            reply = await process.connect(near_type=DelayedReadSocket).ask(
                "/book/x", "r2"
            )
            return reply.status, reply.whole

        self.assertEqual(run_socket_world(task), (503, True))

    def test_refusal_of_oversized_body_reaches_caller(self):
        """Guards against a refusal that is lost to a connection reset.

        A caller announces and sends a body over the limit. It is refused by its
        headers, and the connection is closed with the body unread. The reset discards
        the refusal, and the caller repeats the same request.
        """

        async def task(world):
            process = await start_process(world)
            body = b"x" * (process.app.server.limits.body_bytes + 1)
            link = process.connect()
            reply = await link.ask("/book/x", body=body)
            return reply.status, reply.whole

        self.assertEqual(run_socket_world(task), (413, True))

    def test_final_response_reaches_caller_that_pipelines(self):
        """Guards against a response lost to a reset by the next, unread request.

        A caller sends a second request before the first response. A host shutting down
        announces the close with that response, and closes with the second request
        unread: the reset discards the response.
        """

        async def task(world):
            process = await start_process(world)
            for replica in world.replicas.values():
                replica.work_seconds = 0.5
            process.stop.set()
            link = process.connect(near_type=DelayedReadSocket)
            await link.send("/book/x", "r1")
            await trio.sleep(0.3)
            await link.send("/book/x", "r2", body=b"x" * 2 * MAX_EARLY_BYTES)
            reply = await link.read()
            return reply.status, reply.whole

        self.assertEqual(run_socket_world(task), (200, True))

    def test_lowered_idle_timeout_closes_no_idle_connection_early(self):
        """Guards against closing a connection that its caller still expects open.

        The operator lowers the idle timeout from 15 to 1 s. A caller that knows only
        the old timeout sends its next request after 10 s, on a connection that was
        idle during the change.
        """
        self.assertEqual(self.ask_after_change(1.0, idle_seconds=10.0), (200, True))

    def test_refused_caller_that_stays_does_not_delay_shutdown(self):
        """Guards against a refused caller's connection that keeps a host running.

        A refused caller neither reads nor closes its connection. The host reads on for
        a second, which is no request: it still becomes quiet, and exits 3 s after the
        stop signal.
        """

        async def task(world):
            process = await start_process(world)
            process.stop.set()
            start = trio.current_time()
            await trio.sleep(2.4)
            link = process.connect()
            await link.stream.send_all(b"no request at all\r\n\r\n")
            await process.ended.wait()
            reply = await link.read()
            return reply.status, reply.whole, trio.current_time() - start < 3.1

        self.assertEqual(run_socket_world(task), (400, True, True))

    def test_final_response_survives_process_exit(self):
        """Guards against final responses that the exit of the process discards.

        A host sends its final responses 7.0 s after the stop signal and exits at 7.2 s.
        Callers have sent further requests, which the host does not read. The exit would
        reset the connections, and discard what the callers have not read yet.
        """

        async def task(world):
            long = route("long", RouteKind.AT_MOST_ONCE, timeout_seconds=30.0)
            world.directory.put_routes(routes(2, long))
            for replica in world.replicas.values():
                replica.work_seconds = 30.0
            await trio.sleep(0.1)
            process = await start_process(world)
            link = process.connect()
            await link.send("/long/x", "r1", left_ms=30_000)
            await trio.sleep(0.1)
            process.stop.set()
            await trio.sleep(1)
            rest = request_bytes("/long/x", "r2", body=b"x" * 32 * MAX_EARLY_BYTES)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(link.stream.send_all, rest)
                await process.ended.wait()
            reply = await link.read()
            return reply.status, reply.whole

        self.assertEqual(run_socket_world(task), (504, True))

    def test_partial_request_at_shutdown_deadline_is_refused(self):
        """Guards against a partial request that is closed without a response.

        A caller has sent part of a booking at the host's shutdown deadline; another
        caller's long request kept the host running until then. The booking was not
        forwarded, but without a response the caller can't know, and may not repeat it.
        """

        async def task(world):
            long = route("long", RouteKind.AT_MOST_ONCE, timeout_seconds=30.0)
            world.directory.put_routes(routes(2, long))
            for replica in world.replicas.values():
                replica.work_seconds = 30.0
            await trio.sleep(0.1)
            process = await start_process(world)
            await process.connect().send("/long/x", "r0", left_ms=30_000)
            await trio.sleep(0.1)
            process.stop.set()
            await trio.sleep(6.5)
            link = process.connect()
            await link.stream.send_all(request_bytes("/book/x", "r1")[:-3])
            reply = await link.read()
            outcome = reply.headers.get(b"berylshift-outcome")
            return reply.status, reply.whole, outcome

        self.assertEqual(run_socket_world(task), (503, True, b"not-run"))

    def test_shutdown_waits_for_partial_request(self):
        """Guards against an early exit while a request is being received.

        A caller has sent the headers of a booking, and the body follows within a
        second. The host is shutting down and exits meanwhile, 4 s before its deadline.
        The caller may not repeat the booking, since the host has read a part of it.
        """

        async def task(world):
            short = route("short", RouteKind.AT_MOST_ONCE, timeout_seconds=2.0)
            world.directory.put_routes(routes(2, short))
            await trio.sleep(0.1)
            process = await start_process(world)
            process.stop.set()
            await trio.sleep(2.4)
            link = process.connect()
            data = request_bytes("/short/x", "r1")
            await link.stream.send_all(data[:-3])
            await trio.sleep(0.9)
            with contextlib.suppress(trio.BrokenResourceError):
                await link.stream.send_all(data[-3:])
            reply = await link.read()
            return reply.whole, reply.status

        whole, status = run_socket_world(task)
        self.assertTrue(whole)
        self.assertIn(status, (200, 503))


if __name__ == "__main__":
    unittest.main()
