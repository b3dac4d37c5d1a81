"""Planned stops of whole entry hosts."""

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

PROMPTED = {"shares": (ServiceShare(ENGINES, 1),), "prompted": True}
FRONT_LOG = "berylshift.request.routed_handler"


def endings(logs):
    """Return outcome, whose time was up, and the stop's seconds of each request."""
    return [
        (rec.outcome, rec.bound, rec.stopping_for)
        for rec in logs.records
        if rec.getMessage() == "request ended"
    ]


class PlannedStopTest(unittest.TestCase):
    """SIGTERM: not ready at once, no request cut, the end within the grace."""

    def stop(self, before, after, *more):
        """Run ``before``, begin a stop, run ``after``; then wait for the stop's end.

        ``more`` are routes beside the usual ones.
        Return whether the host was ready once the stop began, what ``after`` returned,
        the stop's seconds, and whether it had ended before ``after``.
        """

        async def task(world):
            app = world.hosts[0]
            if more:
                world.directory.put_routes(routes(2, *more))
                await trio.sleep(0.1)
            first = await before(world)
            start = trio.current_time()
            ended = trio.Event()

            async def shutdown():
                await app.on_shutdown()
                ended.set()

            world.nursery.start_soon(shutdown)
            await trio.sleep(0.01)
            ready = app.is_ready()
            second = await after(world, first)
            # A caller can't reach a host whose stop is over: such a test shows nothing.
            too_soon = ended.is_set()
            await ended.wait()
            return ready, second, trio.current_time() - start, too_soon

        return run_entry(task, engines="d")

    def test_a_stream_under_way_ends_whole(self):
        async def before(world):
            link = world.connect()
            headers = prompt_headers(70, shared=0)
            await link.send("/note/x", headers=headers, left_ms=6000)
            await trio.sleep(0.2)
            return link

        async def after(world, link):
            return await link.read()

        ready, reply, seconds, too_soon = self.stop(before, after)
        self.assertFalse(ready)
        self.assertFalse(too_soon)
        self.assertEqual((reply.body, reply.whole), (stream_body(1, 70), True))
        self.assertLess(seconds, 8)

    def test_what_comes_too_late_is_refused_and_the_rest_gets_an_answer(self):
        """Most hosts leave at once, and the balancer still sends callers to each.

        One that comes with 3 s left or more is served, and is told at once when its
        booking's desk stays silent to the end. One that comes later is refused at
        once, which is true: its booking was not run. Neither is cut.
        """

        async def before(world):
            slow = route("slow", RouteKind.AT_MOST_ONCE, timeout=20.0)
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

        _, (late, early, arrived), seconds, _ = self.stop(before, after)
        self.assertEqual((late.status, late.whole), (503, True))
        self.assertGreater(late.again, 0)
        self.assertEqual(arrived, {"r1"})
        self.assertEqual((early.status, early.whole), (504, True))
        self.assertLess(seconds, 8)

    def test_a_stream_that_may_last_too_long_is_refused(self):
        """Most hosts leave at once; a caller's stream comes 3.7 s after the word.

        It would last 3.5 s and be cut 3.3 s later: its caller would hold half of it.
        Refused at once, it has time for another host. A look-up that lasts a second at
        most is still served.
        """

        async def before(world):
            look = route("quick", RouteKind.IDEMPOTENT, timeout=1.0)
            busy = route("busy", RouteKind.STREAM, timeout=30.0, **PROMPTED)
            world.directory.put_routes(routes(2, look, busy))
            await trio.sleep(0.1)
            # A host that is kept busy does not fall quiet before the stop's end.
            link = world.connect()
            headers = prompt_headers(400, shared=0)
            await link.send("/busy/x", "r0", headers=headers, left_ms=30_000)
            await trio.sleep(0.1)
            return link

        async def after(world, _):
            await trio.sleep(3.7)
            headers = prompt_headers(70, shared=0)
            note = await world.ask("/note/x", "r1", headers=headers, left_ms=6000)
            look = await world.ask("/quick/x", "r2")
            return (note.status, note.whole), look.status

        _, found, _, too_soon = self.stop(before, after)
        self.assertFalse(too_soon)
        self.assertEqual(found, ((503, True), 200))

    def test_what_was_taken_is_never_given_up(self):
        """A caller's stream breaks off in the middle although its host had a choice.

        Most hosts of a domain stop at once, so the balancer still uses each of them. A
        long prompt comes seconds after SIGTERM and is taken; its stream is well within
        the time of route and caller when the host ends and cuts it.

        Evidence: wherever the request begins, it is cut at the end of the stop (`bound`
        stop in its line), never at its own; the same request to a host that does not
        stop is whole. The host took it by how long most requests last, which nothing
        ties to its own end. It must refuse at once what it may not have time for.
        """
        broken = []
        for timeout in (1.0, 2.0, 4.0, 6.0, 8.0):
            for come in (0.0, 0.5, 1.5, 2.4, 2.6, 3.7, 5.0, 6.5):
                reply, seconds = self.ask_while_stopping(timeout, come)
                refused = reply.status == 503 and seconds < 0.1 and reply.again > 0
                if not (refused or (reply.status == 200 and reply.whole)):
                    broken.append((timeout, come, reply.status, round(seconds, 1)))
        self.assertEqual(broken, [])

    def ask_while_stopping(self, timeout, come):
        """Ask a stopping host for a stream that lasts nearly its whole time.

        Return the reply and the seconds that it took.
        """

        async def before(world):
            for replica in world.replicas.values():
                replica.event_seconds = 0.9 * timeout / 10
            # A host that is kept busy does not fall quiet before the stop's end.
            link = world.connect()
            headers = prompt_headers(400, shared=0)
            await link.send("/long/x", headers=headers, left_ms=30_000)
            await trio.sleep(0.1)
            return link

        async def after(world, _):
            await trio.sleep(come)
            start = trio.current_time()
            headers = prompt_headers(10, shared=0)
            reply = await world.ask("/asked/x", "r2", headers=headers, left_ms=20_000)
            return reply, trio.current_time() - start

        long = route("long", RouteKind.STREAM, timeout=30.0, **PROMPTED)
        asked = route("asked", RouteKind.STREAM, timeout=timeout, **PROMPTED)
        _, found, _, too_soon = self.stop(before, after, long, asked)
        self.assertFalse(too_soon)
        return found

    def test_short_requests_are_taken_while_the_balancer_can_not_know(self):
        """Most hosts stop at once; a caller that is refused meets the next one of them.

        Streams have half a second each and may take 8 s. For 2.5 s after SIGTERM they
        are served, as those of just now tell that they end in time. Then only what may
        not outlast the stop is: the balancer has had the time to choose another host.
        """
        statuses = self.ask_after_others(lasting=0.5)
        self.assertEqual(statuses, [200, 200, 200, 503, 503])

    def test_requests_that_have_lasted_long_are_not_taken(self):
        """The same, but the streams before took 5 s: one more may outlast the stop."""
        self.assertEqual(self.ask_after_others(lasting=5.0), [503] * 5)

    def ask_after_others(self, lasting):
        """Have streams last so long, then stop the host; return what callers get.

        They come 0, 1, 2, 3 and 4 s after SIGTERM and may take 8 s.
        """

        async def before(world):
            for replica in world.replicas.values():
                replica.event_seconds = lasting / 10
            links = [world.connect() for _ in range(10)]
            for number, link in enumerate(links):
                headers = prompt_headers(10, shared=0)
                await link.send(
                    "/asked/x", f"b{number}", headers=headers, left_ms=20_000
                )
            for link in links:
                await link.read()
            for replica in world.replicas.values():
                replica.event_seconds = 0.05
                replica.work_seconds = 30.0
            # A host that is kept busy does not fall quiet before the stop's end.
            busy = world.connect()
            await busy.send("/busy/x", "b", left_ms=20_000)
            await trio.sleep(0.1)
            return busy

        async def after(world, _):
            statuses = []
            for number in range(5):
                headers = prompt_headers(10, shared=0)
                start = trio.current_time()
                reply = await world.ask(
                    "/asked/x", f"r{number}", headers=headers, left_ms=20_000
                )
                statuses.append(reply.status if reply.whole else 0)
                await trio.sleep(start + 1.0 - trio.current_time())
            return statuses

        asked = route("asked", RouteKind.STREAM, timeout=8.0, **PROMPTED)
        busy = route("busy", RouteKind.AT_MOST_ONCE, timeout=20.0)

        _, found, _, too_soon = self.stop(before, after, asked, busy)
        self.assertFalse(too_soon)
        return found

    def test_callers_that_still_come_are_served(self):
        """The balancer needs two seconds to see that the host is not ready."""

        async def before(world):
            return None

        async def after(world, _):
            statuses = []
            for number in range(20):
                await trio.sleep(0.1)
                reply = await world.ask("/look/x", f"r{number}")
                statuses.append((reply.status, reply.headers.get(b"connection")))
            return statuses

        _, statuses, seconds, too_soon = self.stop(before, after)
        self.assertFalse(too_soon)
        self.assertEqual(statuses, [(200, b"close")] * 20)
        self.assertLess(seconds, 8)

    def test_the_end_comes_within_the_grace_whatever_hangs(self):
        async def before(world):
            for replica in world.replicas.values():
                replica.faults = [Fault.MUTE]
            link = world.connect()
            await link.send("/book/x", left_ms=60000)
            await trio.sleep(0.1)
            return link

        async def after(world, link):
            return None

        _, _, seconds, _ = self.stop(before, after)
        self.assertLess(seconds, 7.5)

    def test_logs_tell_that_the_stop_ended_a_request(self):
        """A caller's stream ends early: it was open when its host got SIGTERM.

        The host's line must say that the stop ended it, and not the caller's time.
        """

        async def before(world):
            link = world.connect()
            await self.send_long_stream(link)
            await trio.sleep(0.2)
            return link

        async def after(world, link):
            return await link.read()

        long = route("long", RouteKind.STREAM, timeout=20.0, **PROMPTED)
        with self.assertLogs(FRONT_LOG, "INFO") as logs:
            self.stop(before, after, long)
        self.assertEqual(endings(logs), [("cut", "stop", 7.0)])

    def test_logs_tell_that_the_routes_time_ended_a_request(self):
        """The same cut, but the route's time was up: no stop is to blame."""

        async def task(world):
            long = route("long", RouteKind.STREAM, timeout=2.0, **PROMPTED)
            world.directory.put_routes(routes(2, long))
            await trio.sleep(0.1)
            link = world.connect()
            await self.send_long_stream(link)
            await link.read()

        with self.assertLogs(FRONT_LOG, "INFO") as logs:
            run_entry(task, engines="d")
        self.assertEqual(endings(logs), [("cut", "route", None)])

    def test_logs_tell_a_caller_that_left_from_a_process_that_ended(self):
        """Both cancel the request; only the second is the host's doing."""

        async def leave(world, link):
            await link.close()
            await trio.sleep(0.1)

        async def end(world, link):
            world.nursery.cancel_scope.cancel()

        for how, outcome in ((leave, "caller-left"), (end, "given-up")):

            async def task(world, how=how):
                link = world.connect()
                headers = prompt_headers(70, shared=0)
                await link.send("/note/x", headers=headers)
                await trio.sleep(0.2)
                await how(world, link)

            with self.subTest(outcome), self.assertLogs(FRONT_LOG, "INFO") as logs:
                run_entry(task, engines="d")
            self.assertEqual(endings(logs), [(outcome, None, None)])

    async def send_long_stream(self, link):
        """Ask for a stream of 10 s with 20 s left."""
        headers = prompt_headers(200, shared=0)
        await link.send("/long/x", headers=headers, left_ms=20_000)


if __name__ == "__main__":
    unittest.main()
