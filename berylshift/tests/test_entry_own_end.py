"""Whatever one caller's connection does, the host's process goes on."""

import errno
import unittest

import trio

from berylshift.messages.replicas import EnginePhase
from berylshift.stand_ins.entry_replica import Fault
from berylshift.tests.entry_world import (
    prompt_headers,
    run_entry,
)
from berylshift.tests.ledger import (
    run_ledger,
    start_process,
)

# Requests that a play's hosts read at least; with fewer it would show little.
LEAST_READ = 200


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


if __name__ == "__main__":
    unittest.main()
