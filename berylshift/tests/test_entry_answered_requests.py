"""Tests that each complete request a host has read gets one complete response."""

import contextlib
import unittest

import trio

from berylshift.connection.http_server import HttpServer
from berylshift.tests.entry_world import Reply, route, routes
from berylshift.tests.shutdown_scenario import scenario_task
from berylshift.tests.socket_world import (
    HostProcess,
    SimulatedSocket,
    request_bytes,
    run_socket_world,
    socket_pair,
    stall_loop,
    start_process,
)
from berylshift.tests.support import run_virtual
from berylshift.version.routes import RouteKind

# Requests that the hosts of a scenario read at least; fewer would show little.
MIN_REQUESTS = 200
NO_REPLY = Reply(0, {}, b"", False)


async def ask(process: HostProcess, path: str, **more) -> tuple[Reply, bool]:
    """Send a request; return the reply and whether the host has read it all."""
    try:
        link = process.connect()
    except OSError:
        return NO_REPLY, False
    reply = await link.ask(path, **more)
    return reply, link.stream.peer.bytes_read == link.stream.bytes_sent


class QuietExitTest(unittest.TestCase):
    """A graceful shutdown ends when nothing is in flight for half a second."""

    def ask_after_stop_signal(
        self, seconds: float, busy: bool = False
    ) -> tuple[int, bool, bool]:
        """Send a request ``seconds`` after the stop signal.

        Return its status, and whether the response is whole and the request was all
        read. A ``busy`` host has a request in flight that outlasts the shutdown.
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

        return run_socket_world(task)

    def test_request_arriving_during_quiet_exit_is_answered(self):
        """Guards against a host that exits with a request in flight.

        Most hosts shut down, so callers still reach one that got the stop signal. It
        has been quiet for half a second and checks every 50 ms. A booking arrives after
        the last check and is sent to its service, and the host exits without another
        check. The caller's connection closes although the booking may have run.
        """
        lost = []
        for number in range(25):
            seconds = 2.9 + number * 0.01
            status, whole, read = self.ask_after_stop_signal(seconds)
            if read and not (status == 200 and whole):
                lost.append((round(seconds, 2), status, whole))
        self.assertEqual(lost, [])

    def ask_during_stall(self, connect_at: float, seconds: float):
        """Send a request that the loop sees after a stall of 30 ms.

        Return whether it was all read, its status, and whether the response is whole.
        """

        async def task(world):
            short = route("short", RouteKind.AT_MOST_ONCE, timeout_seconds=2.0)
            world.directory.put_routes(routes(2, short))
            await trio.sleep(0.1)
            process = await start_process(world)
            process.stop.set()
            await trio.sleep(connect_at)
            link = process.connect()
            await trio.sleep(seconds - connect_at)
            link.stream.on_send = lambda data: stall_loop(0.03)
            with contextlib.suppress(trio.BrokenResourceError):
                await link.send("/short/x")
            reply = await link.read()
            read = link.stream.peer.bytes_read == link.stream.bytes_sent
            return read, reply.status, reply.whole

        return run_socket_world(task)

    def test_request_read_in_last_loop_turn_is_answered(self):
        """Guards against an exit in the loop turn that reads a request.

        A host short of CPU time becomes quiet as a booking arrives. The wait for quiet
        ends in the loop turn in which the booking's bytes are read. They count as a
        request one turn later, so the last check sees nothing, and the host exits with
        a booking that it has read completely.
        """
        lost = []
        for connect_at in (2.8, 2.99):
            for number in range(10):
                seconds = 2.99 + number * 0.001
                read, status, whole = self.ask_during_stall(connect_at, seconds)
                if read and not whole:
                    lost.append((connect_at, round(seconds, 3), status))
        self.assertEqual(lost, [])

    def test_request_at_shutdown_deadline_is_refused_or_unread(self):
        """Guards against a request that is read but not answered at the deadline.

        A host that never becomes quiet exits 7.2 s after the stop signal. Requests that
        arrive around that time are refused, or the connection closes before the host
        has read them: then the caller may safely repeat even a booking.
        """
        lost = []
        for number in range(36):
            seconds = 6.9 + number * 0.01
            status, whole, read = self.ask_after_stop_signal(seconds, busy=True)
            if read and not (status == 503 and whole):
                lost.append((round(seconds, 2), status, whole))
        self.assertEqual(lost, [])

    def test_requests_arriving_in_exit_turn_are_answered_or_unread(self):
        """Guards against connections that read a request in the turn of the exit.

        Eight callers send bookings on new connections 5 ms before a quiet host exits,
        and the host gets no CPU time for 10 ms. Its loop then sees the bookings and the
        end of the wait at once: connections already woken read, and are cut unanswered.
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
                link.stream.send_nowait(request_bytes("/short/x", f"r{number}"))
            stall_loop(0.01)
            found = []
            for link in links:
                reply = await link.read()
                read = link.stream.peer.bytes_read == link.stream.bytes_sent
                found.append((read, reply.status, reply.whole))
            return found

        for read, status, whole in run_socket_world(task):
            self.assertEqual((status, whole), (200, True) if read else (0, False))


class FinishTest(unittest.TestCase):
    """A server that finishes as requests arrive on idle connections."""

    def finish_after(self, turns: int) -> list[tuple[bool, bool]]:
        """Finish the server ``turns`` loop turns after requests were sent.

        Return for each whether it was read, and whether it got a whole response.
        """

        async def handle(http, responder) -> None:
            await trio.sleep(0.01)
            await responder.full(200, {}, b"done")

        async def main():
            callers = []
            async with trio.open_nursery() as nursery:
                server = HttpServer(handle)
                for _ in range(3):
                    near, far = socket_pair()
                    nursery.start_soon(server.serve_stream, far)
                    callers.append(near)
                await trio.sleep(0.1)
                for near in callers:
                    near.send_nowait(request_bytes("/x", "r1"))
                for _ in range(turns):
                    await trio.lowlevel.checkpoint()
                await server.finish()
                nursery.cancel_scope.cancel()
            return [
                (
                    near.peer.bytes_read == near.bytes_sent,
                    near.received.endswith(b"done"),
                )
                for near in callers
            ]

        return run_virtual(main)

    def test_requests_read_during_finish_are_answered(self):
        """Guards against finishing in the loop turn that reads a request's bytes."""
        for turns in range(6):
            with self.subTest(turns=turns):
                found = self.finish_after(turns)
                self.assertEqual([read for read, _ in found], [ok for _, ok in found])

    def test_some_requests_are_read_and_some_are_not(self):
        found = {read for turns in range(6) for read, _ in self.finish_after(turns)}
        self.assertEqual(found, {False, True})


class FinalResponsesTest(unittest.TestCase):
    """All requests open at the shutdown deadline are answered within 0.2 s."""

    def slow_down(self, end: SimulatedSocket) -> None:
        """Stall the host for 2.5 ms after each response head that it writes."""

        def on_send(data: bytes) -> None:
            if data.startswith(b"HTTP/1.1"):
                stall_loop(0.0025)

        end.on_send = on_send

    def test_many_open_requests_all_get_final_responses(self):
        """Guards against final responses that are cut between head and body.

        A hundred callers wait for unresponsive replicas when their host shuts down. All
        get their final response at once, 7 s after the stop signal, at 2.5 ms of CPU
        time each; the time limit for all of them does not depend on their number.
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

        self.assertEqual(run_socket_world(task), 100)


class ShutdownScenarioTest(unittest.TestCase):
    """Hosts shut down one after the other under load and changes.

    Route and idle timeouts are lowered and raised, services move, settings are
    reloaded, and hosts sometimes get no CPU time. Callers send slowly, read through
    small windows, have short deadlines, or send the last byte at a shutdown step.
    """

    def check(self, seeds: tuple[int, ...], pipelined: bool):
        for seed in seeds:
            with self.subTest(seed=seed):
                scenario = run_socket_world(
                    scenario_task(seed, pipelined), "dd", hosts=2
                )
                read_count = sum(record.was_read for record in scenario.records)
                self.assertGreater(read_count, MIN_REQUESTS)
                self.assertEqual(scenario.violations(), [])

    def test_each_read_request_gets_one_response(self):
        """Each caller waits for its response before it sends its next request."""
        self.check((0, 1, 2, 15, 30), pipelined=False)

    def test_pipelined_requests_get_all_responses(self):
        """Guards against a response lost to a reset by the next, unread request.

        Callers send up to three requests before the first response. A host shutting
        down announces the close with a response, and closes with the next request
        unread. That resets the connection, which discards the response.
        """
        self.check((0, 4), pipelined=True)


if __name__ == "__main__":
    unittest.main()
