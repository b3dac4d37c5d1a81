"""Each whole request that a host has read gets one complete answer or refusal."""

import contextlib
import errno
import unittest
from dataclasses import replace

import trio

from berylshift.connection.server_link import MOST_EARLY_BYTES
from berylshift.messages.replicas import EnginePhase
from berylshift.stand_ins.entry_replica import Fault
from berylshift.tests.entry_world import (
    Reply,
    prompt_headers,
    route,
    routes,
    run_entry,
    stream_body,
)
from berylshift.tests.ledger import (
    HostProcess,
    KernelEnd,
    LateLook,
    pass_time,
    request_bytes,
    run_ledger,
    start_process,
)
from berylshift.tests.ledger_play import play_ledger
from berylshift.tests.test_entry_shutdown import FRONT_LOG, PROMPTED, endings
from berylshift.version.routes import CallerLimits, RouteKind

# Requests that a play's hosts read at least; with fewer it would show little.
LEAST_READ = 200
NOTHING = Reply(0, {}, b"", False)


async def ask(process: HostProcess, path: str, **more) -> tuple[Reply, bool]:
    """Ask on a new connection; return the reply and whether the host has read all."""
    try:
        link = process.connect()
    except OSError:
        return NOTHING, False
    reply = await link.ask(path, **more)
    return reply, link.stream.peer.taken == link.stream.put


class QuietEndTest(unittest.TestCase):
    """A planned stop ends when nothing is in flight for half a second."""

    def ask_after_the_word(
        self, seconds: float, busy: bool = False
    ) -> tuple[int, bool, bool]:
        """Ask a host that was told to stop; return status, wholeness, all was read.

        A ``busy`` one has a request under way that lasts longer than the stop.
        """

        async def task(world):
            short = route("short", RouteKind.AT_MOST_ONCE, timeout=2.0)
            long = route("long", RouteKind.AT_MOST_ONCE, timeout=30.0)
            world.directory.put_routes(routes(2, short, long))
            await trio.sleep(0.1)
            process = await start_process(world)
            if busy:
                for replica in world.replicas.values():
                    replica.work_seconds = 30.0
                await process.connect().send("/long/x", "r0", left_ms=30_000)
                await trio.sleep(0.1)
            for replica in world.replicas.values():
                replica.work_seconds = 0.2
            process.stop.set()
            await trio.sleep(seconds)
            reply, read = await ask(process, "/short/x")
            return reply.status, reply.whole, read

        return run_ledger(task)

    def test_a_request_that_comes_as_the_host_falls_quiet_is_answered(self):
        """Most hosts leave, so callers still reach one that has been told to stop.

        It has had nothing to do for half a second and looks every 50 ms. A booking
        comes after the last look and goes to its desk; the host ends without having
        looked again. The caller's connection closes; the booking may have been made.
        """
        lost = []
        for number in range(25):
            seconds = 2.9 + number * 0.01
            status, whole, read = self.ask_after_the_word(seconds)
            if read and not (status == 200 and whole):
                lost.append((round(seconds, 2), status, whole))
        self.assertEqual(lost, [])

    def ask_in_a_held_turn(self, connect_at: float, seconds: float):
        """Send a request as the loop is held for 30 ms; return what came of it."""

        async def task(world):
            short = route("short", RouteKind.AT_MOST_ONCE, timeout=2.0)
            world.directory.put_routes(routes(2, short))
            await trio.sleep(0.1)
            process = await start_process(world)
            process.stop.set()
            await trio.sleep(connect_at)
            link = process.connect()
            await trio.sleep(seconds - connect_at)
            link.stream.on_put = lambda data: pass_time(0.03)
            with contextlib.suppress(trio.BrokenResourceError):
                await link.send("/short/x")
            reply = await link.read()
            read = link.stream.peer.taken == link.stream.put
            return read, reply.status, reply.whole

        return run_ledger(task)

    def test_a_request_that_is_read_in_the_last_turn_is_answered(self):
        """A host that is short of processor time falls quiet as a booking comes.

        The wait for quiet ends in the turn of the loop in which the booking's bytes are
        taken. They count as a request one turn later: the last look sees nothing, and
        the host ends with a booking that it has read whole.
        """
        lost = []
        for connect_at in (2.8, 2.99):
            for number in range(10):
                seconds = 2.99 + number * 0.001
                read, status, whole = self.ask_in_a_held_turn(connect_at, seconds)
                if read and not whole:
                    lost.append((connect_at, round(seconds, 3), status))
        self.assertEqual(lost, [])

    def test_a_request_that_comes_at_the_hard_end_is_refused_or_unread(self):
        """A host that never falls quiet ends all the same, 7.2 s after the word.

        Callers come around that moment. Each is refused, or finds its connection closed
        before the host has read of its request: then it may come back with a booking
        too. None is read and left without a word.
        """
        lost = []
        for number in range(36):
            seconds = 6.9 + number * 0.01
            status, whole, read = self.ask_after_the_word(seconds, busy=True)
            if read and not (status == 503 and whole):
                lost.append((round(seconds, 2), status, whole))
        self.assertEqual(lost, [])

    def test_requests_that_come_in_the_turn_in_which_the_host_ends(self):
        """Eight callers send bookings on new connections 5 ms before a quiet host ends.

        The host has no processor time for 10 ms. Then its loop sees the bookings and
        the end at once: connections that it has woken read, and are cut unanswered.
        """

        async def task(world):
            short = route("short", RouteKind.AT_MOST_ONCE, timeout=2.0)
            world.directory.put_routes(routes(2, short))
            await trio.sleep(0.1)
            process = await start_process(world)
            process.stop.set()
            await trio.sleep(2.9)
            links = [process.connect() for _ in range(8)]
            await trio.sleep(0.095)
            for number, link in enumerate(links):
                link.stream.put_now(request_bytes("/short/x", f"r{number}"))
            pass_time(0.01)
            found = []
            for link in links:
                reply = await link.read()
                read = link.stream.peer.taken == link.stream.put
                found.append((read, reply.status, reply.whole))
            return found

        for read, status, whole in run_ledger(task):
            self.assertEqual((status, whole), (200, True) if read else (0, False))


class OwnEndTest(unittest.TestCase):
    """Whatever one caller's connection does, the host's process goes on."""

    def check_goes_on(self, disturb):
        """Have a booking under way while ``disturb(process)`` runs."""

        async def task(world):
            for replica in world.replicas.values():
                replica.work_seconds = 0.5
            process = await start_process(world)
            link = process.connect()
            await link.send("/book/x")
            await trio.sleep(0.1)
            await disturb(process)
            reply = await link.read()
            return process.fault, reply.status, reply.whole

        self.assertEqual(run_ledger(task), (None, 200, True))

    def test_a_target_that_is_no_address_costs_its_caller_alone(self):
        """One caller asks for ``//[``, which no reader of addresses can take apart.

        The fault passes through its connection to the listener and ends the process:
        all callers' connections close, those with bookings under way too.
        """

        async def disturb(process):
            link = process.connect()
            await link.stream.send_all(
                b"GET //[ HTTP/1.1\r\nhost: shop.example\r\n\r\n"
            )
            await trio.sleep(0.1)

        self.check_goes_on(disturb)

    def test_a_refusal_that_can_not_be_written_costs_its_caller_alone(self):
        """A fault in the host's own code meets a caller that has stopped to read.

        The refusal finds no room in the caller's window until the time for writes is
        over. That leaves the connection's tasks as a group, which the connection does
        not take for a broken one: the listener ends, and with it the process.
        """

        async def disturb(process):
            async def fail(http, responder):
                raise ValueError("a fault of the host's own")

            process.app.server.handler = fail
            link = process.connect(window=16)
            await link.send("/book/x")
            await trio.sleep(process.app.server.limits.write_seconds + 1)

        self.check_goes_on(disturb)

    def test_a_host_without_a_free_descriptor_goes_on(self):
        """Callers and replicas have used all descriptors when one more caller comes.

        The system can't accept it now. The listener ends by the error and the process
        with it, while callers' bookings are under way.
        """

        async def disturb(process):
            accept = process.accept

            async def fail():
                process.accept = accept
                raise OSError(errno.EMFILE, "too many open files")

            process.accept = fail
            process.connect()
            process.connect()
            await trio.sleep(0.1)

        self.check_goes_on(disturb)

    def test_an_odd_handle_costs_its_request_alone(self):
        """An engine that reads prompts gives its cache a name with a space in it.

        The engine that answers does not take the cache, so the host frees it: the name
        fits into no target, and the fault ends the background work and the process.
        """

        async def task(world):
            for replica in world.replicas.values():
                if replica.phase is EnginePhase.DECODE:
                    replica.faults = [Fault.REFUSE] * 4
            # The double names its caches after the request.
            reply = await world.ask("/note/x", "r 1", headers=prompt_headers())
            await trio.sleep(1)
            return reply.whole, len(world.replicas)

        self.assertEqual(run_entry(task, plain=0, engines="pd"), (True, 2))

    def test_a_background_task_costs_nothing_but_itself(self):
        """A fault in work that no request waits for, and such work as the host ends.

        The first would end the process. The second would be raised in the request that
        gives it away, whose answer is ready.
        """

        async def task(world):
            app = world.hosts[0]

            async def fail():
                raise ValueError("a fault of the host's own")

            app._in_background(fail)
            await trio.sleep(0.1)
            on = await world.ask("/book/x")
            async with trio.open_nursery() as app._nursery:
                pass
            app._in_background(trio.sleep, 1)
            return on.status

        with self.assertLogs("berylshift.entry_application", "INFO") as logs:
            self.assertEqual(run_entry(task), 200)
        told = [record.getMessage() for record in logs.records]
        self.assertEqual(
            told[-2:], ["background task failed", "background task dropped"]
        )


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


class LastAnswersTest(unittest.TestCase):
    """All that is open at the end of a stop is answered within 0.2 s."""

    def slow_down(self, end: KernelEnd) -> None:
        """Have each head that the host writes take some time of its processor."""

        def on_put(data: bytes) -> None:
            if data.startswith(b"HTTP/1.1"):
                pass_time(0.0025)

        end.on_put = on_put

    def test_all_of_many_open_requests_are_told(self):
        """A hundred callers wait for desks that stay silent when their host leaves.

        All are to be told at once, 7 s after the word. Each takes the host 2.5 ms of
        its processor; the time for all of them does not depend on how many they are,
        and when it is over they are cut between head and body.
        """

        async def task(world):
            long = route("long", RouteKind.AT_MOST_ONCE, timeout=20.0)
            world.directory.put_routes(routes(2, long))
            for replica in world.replicas.values():
                replica.work_seconds = 30
            await trio.sleep(0.1)
            process = await start_process(world)
            replies = []

            async def wait(number: int):
                link = process.connect()
                await link.send("/long/x", f"r{number}", left_ms=20_000)
                self.slow_down(link.stream.peer)
                replies.append(await link.read())

            async with trio.open_nursery() as nursery:
                for number in range(100):
                    nursery.start_soon(wait, number)
                await trio.sleep(0.5)
                process.stop.set()
            return sum(reply.whole for reply in replies)

        self.assertEqual(run_ledger(task), 100)


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
            return process.app.front.in_flight

        self.assertEqual(run_ledger(task, engines="d"), 0)


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

    def test_a_longer_rest_holds_for_connections_at_rest(self):
        """The operator raises the bound on connections at rest from 15 to 60 s.

        Callers use connections again within four fifths of the last bound, 48 s. One
        that was at rest when the bound changed is closed by the old one.
        """

        async def task(world):
            process = await start_process(world)
            link = await self.rest(process)
            newer = routes(2)
            newer.limits = CallerLimits(idle_seconds=60.0)
            world.directory.put_routes(newer)
            await trio.sleep(40)
            reply = await link.ask("/book/x", "r2")
            return reply.status, reply.whole

        self.assertEqual(run_ledger(task), (200, True))

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
            await link.send("/book/x", "r2", body=b"x" * 2 * MOST_EARLY_BYTES)
            reply = await link.read()
            return reply.status, reply.whole

        self.assertEqual(run_ledger(task), (200, True))

    def test_a_lower_bound_ends_no_rest_early(self):
        """The operator lowers the bound on connections at rest from 15 to 1 s.

        A caller that still goes by the older bound sends its next request after 10 s
        on a connection that was at rest when the bound changed.
        """

        async def task(world):
            process = await start_process(world)
            link = await self.rest(process)
            newer = routes(2)
            newer.limits = CallerLimits(idle_seconds=1.0)
            world.directory.put_routes(newer)
            await trio.sleep(10)
            reply = await link.ask("/book/x", "r2")
            return reply.status, reply.whole

        self.assertEqual(run_ledger(task), (200, True))

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
            rest = request_bytes("/long/x", "r2", body=b"x" * 32 * MOST_EARLY_BYTES)
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


class LedgerTest(unittest.TestCase):
    """Hosts are told to stop one after the other while all else goes on.

    Routes and rests are lowered and raised, services move, settings are adopted, hosts
    now and then get no processor time. Callers send slowly, read through small windows,
    have little time, or send their last byte just as a host's time ends.
    """

    def check(self, seeds: tuple[int, ...], ahead: bool):
        for seed in seeds:
            with self.subTest(seed=seed):
                play = run_ledger(play_ledger(seed, ahead), "dd", hosts=2)
                read = sum(entry.read for entry in play.entries)
                self.assertGreater(read, LEAST_READ)
                self.assertEqual(play.lost(), [])

    def test_each_request_that_was_read_gets_one_answer(self):
        """Each caller waits for its answer before it sends its next request."""
        self.check((0, 1, 2, 15, 30), ahead=False)

    def test_callers_that_send_ahead_get_all_their_answers(self):
        """Callers send up to three requests before the first answer has come.

        A leaving host says with an answer that it is the last, and closes with the
        next request unread. That resets the connection and takes the answer along.
        """
        self.check((0, 4), ahead=True)


if __name__ == "__main__":
    unittest.main()
