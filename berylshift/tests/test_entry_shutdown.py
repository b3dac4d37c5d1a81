"""End-to-end tests of the graceful shutdown of entry hosts."""

import unittest

import trio

from berylshift.stand_ins.entry_replica import Fault
from berylshift.tests.entry_world import (
    ENGINES,
    prompt_headers,
    route,
    routes,
    run_entry,
    stream_body,
)
from berylshift.version.routes import RouteKind, ServiceShare

PROMPTED = {"shares": (ServiceShare(ENGINES, 1),), "has_prompt_info": True}
HANDLER_LOG = "berylshift.request.routed_handler"


def request_endings(logs):
    """Return outcome, timeout source and shutdown seconds logged for each request."""
    return [
        (rec.outcome, rec.bound, rec.stopping_for)
        for rec in logs.records
        if rec.getMessage() == "request ended"
    ]


class GracefulShutdownTest(unittest.TestCase):
    """After SIGTERM: unready at once, no request cut, exit within the grace period."""

    def shut_down(self, before, after, *more):
        """Run ``before``, begin a shutdown, run ``after``, and wait for its end.

        ``more`` are additional routes. Return whether the host was ready after the
        shutdown began, the result of ``after``, the duration of the shutdown in
        seconds, and whether it had ended before ``after`` returned.
        """

        async def task(world):
            app = world.hosts[0]
            if more:
                world.directory.put_routes(routes(2, *more))
                await trio.sleep(0.1)
            state = await before(world)
            start = trio.current_time()
            ended = trio.Event()

            async def shutdown():
                await app.on_shutdown()
                ended.set()

            world.nursery.start_soon(shutdown)
            await trio.sleep(0.01)
            ready = app.is_ready()
            result = await after(world, state)
            # Callers can't reach a host after its shutdown, so the test would be void.
            ended_early = ended.is_set()
            await ended.wait()
            return ready, result, trio.current_time() - start, ended_early

        return run_entry(task, engines="d")

    def test_open_stream_completes(self):
        async def before(world):
            link = world.connect()
            headers = prompt_headers(70, prefix_tokens=0)
            await link.send("/note/x", headers=headers, left_ms=6000)
            await trio.sleep(0.2)
            return link

        async def after(world, link):
            return await link.read()

        ready, reply, seconds, ended_early = self.shut_down(before, after)
        self.assertFalse(ready)
        self.assertFalse(ended_early)
        self.assertEqual((reply.body, reply.whole), (stream_body(1, 70), True))
        self.assertLess(seconds, 8)

    def test_late_request_is_refused_and_open_one_is_answered(self):
        """Guards against requests that are cut at the shutdown deadline.

        Most hosts shut down at once, and the load balancer still sends requests to
        each. One that arrives 3 s or more before the deadline is forwarded, and gets a
        response at the deadline if its replica stays unresponsive. A later one is
        refused at once, correctly as not run. Neither is cut.
        """

        async def before(world):
            slow = route("slow", RouteKind.AT_MOST_ONCE, timeout_seconds=20.0)
            world.directory.put_routes(routes(2, slow))
            for replica in world.replicas.values():
                replica.work_seconds = 30
            await trio.sleep(0.1)
            waiting = world.connect()
            await waiting.send("/slow/x", "r1", left_ms=20_000)
            await trio.sleep(0.1)
            return waiting

        async def after(world, waiting):
            await trio.sleep(5)
            late = await world.ask("/book/x", "r2")
            arrived = {name for rep in world.replicas.values() for name in rep.arrivals}
            early = await waiting.read()
            return late, early, arrived

        _, (late, early, arrived), seconds, _ = self.shut_down(before, after)
        self.assertEqual((late.status, late.whole), (503, True))
        self.assertGreater(late.retry_after_seconds, 0)
        self.assertEqual(arrived, {"r1"})
        self.assertEqual((early.status, early.whole), (504, True))
        self.assertLess(seconds, 8)

    def test_stream_that_may_exceed_deadline_is_refused(self):
        """Guards against accepting a stream that the shutdown deadline cuts.

        Most hosts shut down at once; a stream arrives 3.7 s after the stop signal. It
        would last 3.5 s and be cut after 3.3 s. Refused at once, its caller has time to
        try another host. A lookup that takes at most a second is still served.
        """

        async def before(world):
            look = route("quick", RouteKind.IDEMPOTENT, timeout_seconds=1.0)
            busy = route("busy", RouteKind.STREAM, timeout_seconds=30.0, **PROMPTED)
            world.directory.put_routes(routes(2, look, busy))
            await trio.sleep(0.1)
            # An open request keeps the host from exiting before the deadline.
            link = world.connect()
            headers = prompt_headers(400, prefix_tokens=0)
            await link.send("/busy/x", "r0", headers=headers, left_ms=30_000)
            await trio.sleep(0.1)
            return link

        async def after(world, _):
            await trio.sleep(3.7)
            headers = prompt_headers(70, prefix_tokens=0)
            note = await world.ask("/note/x", "r1", headers=headers, left_ms=6000)
            look = await world.ask("/quick/x", "r2")
            return (note.status, note.whole), look.status

        _, found, _, ended_early = self.shut_down(before, after)
        self.assertFalse(ended_early)
        self.assertEqual(found, ((503, True), 200))

    def test_accepted_request_is_never_cut(self):
        """Guards against accepting a stream that the shutdown deadline may cut.

        Most hosts of a failure domain shut down at once, so the load balancer still
        uses each of them. A long prompt arrives seconds after SIGTERM and is accepted;
        its stream is well within the timeouts of route and caller when the host exits.

        Whenever the request arrives, it is cut at the shutdown deadline (`bound` stop
        in its log line), never at its own; another host completes the same request.
        Accepting requests by their usual duration alone is not tied to the deadline:
        the host must refuse at once whatever may not end in time.
        """
        broken = []
        for timeout in (1.0, 2.0, 4.0, 6.0, 8.0):
            for delay in (0.0, 0.5, 1.5, 2.4, 2.6, 3.7, 5.0, 6.5):
                reply, seconds = self.ask_while_stopping(timeout, delay)
                refused = (
                    reply.status == 503
                    and seconds < 0.1
                    and reply.retry_after_seconds > 0
                )
                if not (refused or (reply.status == 200 and reply.whole)):
                    broken.append((timeout, delay, reply.status, round(seconds, 1)))
        self.assertEqual(broken, [])

    def ask_while_stopping(self, timeout, delay):
        """Request a stream that nearly reaches its timeout from a stopping host.

        ``delay`` is the time in seconds since the stop signal. Return the reply and
        its duration in seconds.
        """

        async def before(world):
            for replica in world.replicas.values():
                replica.event_seconds = 0.9 * timeout / 10
            # An open request keeps the host from exiting before the deadline.
            link = world.connect()
            headers = prompt_headers(400, prefix_tokens=0)
            await link.send("/long/x", headers=headers, left_ms=30_000)
            await trio.sleep(0.1)
            return link

        async def after(world, _):
            await trio.sleep(delay)
            start = trio.current_time()
            headers = prompt_headers(10, prefix_tokens=0)
            reply = await world.ask("/asked/x", "r2", headers=headers, left_ms=20_000)
            return reply, trio.current_time() - start

        long = route("long", RouteKind.STREAM, timeout_seconds=30.0, **PROMPTED)
        asked = route("asked", RouteKind.STREAM, timeout_seconds=timeout, **PROMPTED)
        _, found, _, ended_early = self.shut_down(before, after, long, asked)
        self.assertFalse(ended_early)
        return found

    def test_short_requests_are_accepted_until_load_balancer_reacts(self):
        """Guards against needless refusals while the load balancer still sends callers.

        Most hosts shut down at once; a refused caller reaches the next one of them.
        Streams last half a second and have a timeout of 8 s. For 2.5 s after SIGTERM
        they are accepted, since the durations of recent streams show that they end in
        time. After that the load balancer has had time to choose another host, and
        only requests that can't exceed the deadline are accepted.
        """
        statuses = self.ask_after_streams(stream_seconds=0.5)
        self.assertEqual(statuses, [200, 200, 200, 503, 503])

    def test_long_requests_are_refused_at_once(self):
        """The same with recent streams of 5 s: another one may exceed the deadline."""
        self.assertEqual(self.ask_after_streams(stream_seconds=5.0), [503] * 5)

    def ask_after_streams(self, stream_seconds):
        """Serve streams of ``stream_seconds`` seconds, then shut down and send more.

        These arrive 0, 1, 2, 3 and 4 s after SIGTERM with a timeout of 8 s. Return
        their statuses.
        """

        async def before(world):
            for replica in world.replicas.values():
                replica.event_seconds = stream_seconds / 10
            links = [world.connect() for _ in range(10)]
            for number, link in enumerate(links):
                headers = prompt_headers(10, prefix_tokens=0)
                await link.send(
                    "/asked/x", f"b{number}", headers=headers, left_ms=20_000
                )
            for link in links:
                await link.read()
            for replica in world.replicas.values():
                replica.event_seconds = 0.05
                replica.work_seconds = 30.0
            # An open request keeps the host from exiting before the deadline.
            busy = world.connect()
            await busy.send("/busy/x", "b", left_ms=20_000)
            await trio.sleep(0.1)
            return busy

        async def after(world, _):
            statuses = []
            for number in range(5):
                headers = prompt_headers(10, prefix_tokens=0)
                start = trio.current_time()
                reply = await world.ask(
                    "/asked/x", f"r{number}", headers=headers, left_ms=20_000
                )
                statuses.append(reply.status if reply.whole else 0)
                await trio.sleep(start + 1.0 - trio.current_time())
            return statuses

        asked = route("asked", RouteKind.STREAM, timeout_seconds=8.0, **PROMPTED)
        busy = route("busy", RouteKind.AT_MOST_ONCE, timeout_seconds=20.0)

        _, found, _, ended_early = self.shut_down(before, after, asked, busy)
        self.assertFalse(ended_early)
        return found

    def test_late_callers_are_served(self):
        """The load balancer needs two seconds to see that the host is not ready."""

        async def before(world):
            return None

        async def after(world, _):
            statuses = []
            for number in range(20):
                await trio.sleep(0.1)
                reply = await world.ask("/look/x", f"r{number}")
                statuses.append((reply.status, reply.headers.get(b"connection")))
            return statuses

        _, statuses, seconds, ended_early = self.shut_down(before, after)
        self.assertFalse(ended_early)
        self.assertEqual(statuses, [(200, b"close")] * 20)
        self.assertLess(seconds, 8)

    def test_hanging_replica_does_not_delay_exit_beyond_grace(self):
        async def before(world):
            for replica in world.replicas.values():
                replica.faults = [Fault.MUTE]
            link = world.connect()
            await link.send("/book/x", left_ms=60000)
            await trio.sleep(0.1)
            return link

        async def after(world, link):
            return None

        _, _, seconds, _ = self.shut_down(before, after)
        self.assertLess(seconds, 7.5)

    def test_log_names_shutdown_as_cause(self):
        """A stream that was open at SIGTERM is cut at the shutdown deadline.

        The log line must name the shutdown as the cause, and not the caller's timeout.
        """

        async def before(world):
            link = world.connect()
            await self.send_long_stream(link)
            await trio.sleep(0.2)
            return link

        async def after(world, link):
            return await link.read()

        long = route("long", RouteKind.STREAM, timeout_seconds=20.0, **PROMPTED)
        with self.assertLogs(HANDLER_LOG, "INFO") as logs:
            self.shut_down(before, after, long)
        self.assertEqual(request_endings(logs), [("cut", "stop", 7.0)])

    def test_log_names_route_timeout_as_cause(self):
        """A stream is cut by its route's timeout, without a shutdown."""

        async def task(world):
            long = route("long", RouteKind.STREAM, timeout_seconds=2.0, **PROMPTED)
            world.directory.put_routes(routes(2, long))
            await trio.sleep(0.1)
            link = world.connect()
            await self.send_long_stream(link)
            await link.read()

        with self.assertLogs(HANDLER_LOG, "INFO") as logs:
            run_entry(task, engines="d")
        self.assertEqual(request_endings(logs), [("cut", "route", None)])

    def test_log_distinguishes_caller_disconnect_from_process_exit(self):
        """Both cancel the request, but only the second is caused by the host."""

        async def leave(world, link):
            await link.close()
            await trio.sleep(0.1)

        async def end(world, link):
            world.nursery.cancel_scope.cancel()

        for how, outcome in ((leave, "caller-left"), (end, "given-up")):

            async def task(world, how=how):
                link = world.connect()
                headers = prompt_headers(70, prefix_tokens=0)
                await link.send("/note/x", headers=headers)
                await trio.sleep(0.2)
                await how(world, link)

            with self.subTest(outcome), self.assertLogs(HANDLER_LOG, "INFO") as logs:
                run_entry(task, engines="d")
            self.assertEqual(request_endings(logs), [(outcome, None, None)])

    async def send_long_stream(self, link):
        """Request a stream of 10 s with 20 s left."""
        headers = prompt_headers(200, prefix_tokens=0)
        await link.send("/long/x", headers=headers, left_ms=20_000)


if __name__ == "__main__":
    unittest.main()
