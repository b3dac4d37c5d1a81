"""Each whole request that a host has read gets one complete answer or refusal."""

import contextlib
import unittest

import trio

from berylshift.connection.http_server import HttpServer
from berylshift.tests.entry_world import Reply, route, routes
from berylshift.tests.shutdown_scenario import play_ledger
from berylshift.tests.socket_world import (
    HostProcess,
    KernelEnd,
    kernel_pair,
    pass_time,
    request_bytes,
    run_ledger,
    start_process,
)
from berylshift.tests.support import run_virtual
from berylshift.version.routes import RouteKind

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
            short = route("short", RouteKind.AT_MOST_ONCE, timeout_seconds=2.0)
            long = route("long", RouteKind.AT_MOST_ONCE, timeout_seconds=30.0)
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
            short = route("short", RouteKind.AT_MOST_ONCE, timeout_seconds=2.0)
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
            short = route("short", RouteKind.AT_MOST_ONCE, timeout_seconds=2.0)
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


class FinishTest(unittest.TestCase):
    """A server that finishes as requests arrive on connections at rest."""

    def finish_after(self, turns: int) -> list[tuple[bool, bool]]:
        """Finish so many turns of the loop after requests were sent.

        Return of each whether it was read, and whether it has its whole answer.
        """

        async def handle(http, responder) -> None:
            await trio.sleep(0.01)
            await responder.full(200, {}, b"done")

        async def main():
            callers = []
            async with trio.open_nursery() as nursery:
                server = HttpServer(handle)
                for _ in range(3):
                    near, far = kernel_pair()
                    nursery.start_soon(server.serve_stream, far)
                    callers.append(near)
                await trio.sleep(0.1)
                for near in callers:
                    near.put_now(request_bytes("/x", "r1"))
                for _ in range(turns):
                    await trio.lowlevel.checkpoint()
                await server.finish()
                nursery.cancel_scope.cancel()
            return [
                (near.peer.taken == near.put, near.received.endswith(b"done"))
                for near in callers
            ]

        return run_virtual(main)

    def test_what_was_read_as_a_server_finishes_is_answered(self):
        """Guards against an end in the turn in which a request's bytes were taken."""
        for turns in range(6):
            with self.subTest(turns=turns):
                found = self.finish_after(turns)
                self.assertEqual([read for read, _ in found], [ok for _, ok in found])

    def test_some_are_read_and_some_are_not(self):
        found = {read for turns in range(6) for read, _ in self.finish_after(turns)}
        self.assertEqual(found, {False, True})


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
            long = route("long", RouteKind.AT_MOST_ONCE, timeout_seconds=20.0)
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
