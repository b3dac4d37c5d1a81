"""Each whole request that a host has read gets one complete answer or refusal."""

import errno
import unittest

import trio

from berylshift.tests.entry_world import Reply, route, routes, run_entry
from berylshift.tests.ledger import HostProcess, start_process
from berylshift.version.routes import RouteKind

NOTHING = Reply(0, {}, b"", False)


async def ask(process: HostProcess, path: str, **more) -> tuple[Reply, bool]:
    """Ask on a new connection; return the reply and whether the host has read all."""
    try:
        link = process.connect()
    except OSError:
        return NOTHING, False
    try:
        await link.send(path, **more)
    except trio.BrokenResourceError:
        return NOTHING, False
    reply = await link.read()
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

        return run_entry(task)

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

        self.assertEqual(run_entry(task), (None, 200, True))

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


if __name__ == "__main__":
    unittest.main()
