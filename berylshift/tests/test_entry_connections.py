"""Connections that a host closes while their callers use them."""

import contextlib
import unittest
from dataclasses import replace

import trio

from berylshift.connection.server_connection import MAX_EARLY_BYTES
from berylshift.tests.entry_world import (
    route,
    routes,
)
from berylshift.tests.ledger import (
    HostProcess,
    LateLook,
    request_bytes,
    run_ledger,
    start_process,
)
from berylshift.version.routes import CallerLimits, RouteKind

# Requests that a play's hosts read at least; with fewer it would show little.
LEAST_READ = 200


class ClosedUnreadTest(unittest.TestCase):
    """A connection that the host closes although its caller has something on it."""

    async def rest(self, process: HostProcess):
        """Return a connection at rest after one answer."""
        link = process.connect()
        await link.ask("/book/x", "r1")
        await trio.sleep(0.1)
        return link

    def test_a_request_that_has_come_is_read_before_a_stop_closes(self):
        """A host that leaves closes its connections at rest 2.5 s after the word.

        A caller's next request lies in the kernel by then; the loop has not looked
        yet. The connection is reset under it, though the host has 4.5 s left.
        """

        async def task(world):
            short = route("short", RouteKind.AT_MOST_ONCE, timeout=2.0)
            world.directory.put_routes(routes(2, short))
            await trio.sleep(0.1)
            process = await start_process(world)
            link = await self.rest(process)
            close_idle = process.app.server.close_idle

            def close_late():
                link.stream.put_now(request_bytes("/short/x", "r2"))
                close_idle()

            process.app.server.close_idle = close_late
            process.stop.set()
            reply = await link.read()
            return reply.status, reply.whole

        self.assertEqual(run_ledger(task), (200, True))

    def ask_after_newer(self, idle: float, rest: float) -> tuple[int, bool]:
        """Have the bound change at rest, and ask once more after ``rest`` seconds."""

        async def task(world):
            process = await start_process(world)
            link = await self.rest(process)
            newer = routes(2)
            newer.limits = CallerLimits(idle_seconds=idle)
            world.directory.put_routes(newer)
            await trio.sleep(rest)
            reply = await link.ask("/book/x", "r2")
            return reply.status, reply.whole

        return run_ledger(task)

    def test_a_longer_rest_holds_for_connections_at_rest(self):
        """The operator raises the bound on connections at rest from 15 to 60 s.

        Callers use connections again within four fifths of the last bound, 48 s. One
        that was at rest when the bound changed is closed by the old one.
        """
        self.assertEqual(self.ask_after_newer(60.0, rest=40.0), (200, True))

    def test_a_refusal_for_lack_of_room_reaches_its_caller(self):
        """A caller connects to a host that holds as many connections as it may.

        It is refused before its request is read, and the connection is closed with
        the request unread: that resets it, and the reset takes the refusal along.
        """

        async def task(world):
            process = await start_process(world)
            app = process.app
            app.server.limits = replace(app.server.limits, connections=1)
            await self.rest(process)
            reply = await process.connect(near=LateLook).ask("/book/x", "r2")
            return reply.status, reply.whole

        self.assertEqual(run_ledger(task), (503, True))

    def test_a_refusal_of_a_long_body_reaches_its_caller(self):
        """A caller announces a body over the bound and sends it.

        It is refused by its head, and the connection is closed with the body unread.
        The reset takes the refusal along, and the caller comes back with the same.
        """

        async def task(world):
            process = await start_process(world)
            body = b"x" * (process.app.server.limits.body_bytes + 1)
            link = process.connect()
            reply = await link.ask("/book/x", body=body)
            return reply.status, reply.whole

        self.assertEqual(run_ledger(task), (413, True))

    def test_the_last_answer_reaches_a_caller_that_has_sent_more(self):
        """A caller sends a second request before its first answer has come.

        A leaving host says with that answer that it is the last one, and closes with
        the second request unread: the reset takes the answer along.
        """

        async def task(world):
            process = await start_process(world)
            for replica in world.replicas.values():
                replica.work_seconds = 0.5
            process.stop.set()
            link = process.connect(near=LateLook)
            await link.send("/book/x", "r1")
            await trio.sleep(0.3)
            await link.send("/book/x", "r2", body=b"x" * 2 * MAX_EARLY_BYTES)
            reply = await link.read()
            return reply.status, reply.whole

        self.assertEqual(run_ledger(task), (200, True))

    def test_a_lower_bound_ends_no_rest_early(self):
        """The operator lowers the bound on connections at rest from 15 to 1 s.

        A caller that still goes by the older bound sends its next request after 10 s
        on a connection that was at rest when the bound changed.
        """
        self.assertEqual(self.ask_after_newer(1.0, rest=10.0), (200, True))

    def test_a_refused_caller_that_stays_does_not_hold_a_stop_up(self):
        """A caller was refused and neither reads on nor closes its connection.

        Its host reads on for a second, but that is no request: told to stop, it falls
        quiet as if that caller were not there, and ends 3 s after the word.
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

        self.assertEqual(run_ledger(task), (400, True, True))

    def test_the_last_answer_survives_the_end_of_the_process(self):
        """A stopping host ends at 7.2 s; its last answers went out at 7.0 s.

        Their callers have sent next requests, which the host does not read. The end of
        the process would reset the connections, and erase what is not read yet.
        """

        async def task(world):
            long = route("long", RouteKind.AT_MOST_ONCE, timeout=30.0)
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

        self.assertEqual(run_ledger(task), (504, True))

    def test_a_request_that_is_still_being_sent_at_the_hard_end_is_refused(self):
        """A caller has sent half of a booking when all requests of its host end.

        Another caller's long request has kept the host until then. The half was sent
        nowhere; closed without a word, the caller could not tell, and may not repeat.
        """

        async def task(world):
            long = route("long", RouteKind.AT_MOST_ONCE, timeout=30.0)
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

        self.assertEqual(run_ledger(task), (503, True, b"not-run"))

    def test_a_request_that_is_being_sent_is_waited_for(self):
        """A caller has sent the head of a booking, its body follows within a second.

        The host that it reached is leaving and ends meanwhile, 4 s before it must.
        The caller may not repeat the booking: the host has read some of it.
        """

        async def task(world):
            short = route("short", RouteKind.AT_MOST_ONCE, timeout=2.0)
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

        whole, status = run_ledger(task)
        self.assertTrue(whole)
        self.assertIn(status, (200, 503))


if __name__ == "__main__":
    unittest.main()
