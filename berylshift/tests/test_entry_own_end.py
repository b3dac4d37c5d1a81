"""Tests that no single connection, request or task can stop the process."""

import errno
import unittest

import trio

from berylshift.messages.replicas import EnginePhase
from berylshift.stand_ins.entry_replica import Fault
from berylshift.tests.entry_world import (
    prompt_headers,
    run_entry,
)
from berylshift.tests.socket_world import (
    run_socket_world,
    start_process,
)

# Requests that the hosts of a scenario read at least; fewer would show little.
MIN_REQUESTS = 200


class ProcessSurvivalTest(unittest.TestCase):
    """The process survives whatever one caller's connection does."""

    def check_survives(self, disturb):
        """Check that a booking completes while ``disturb(process)`` runs."""

        async def task(world):
            for replica in world.replicas.values():
                replica.work_seconds = 0.5
            process = await start_process(world)
            link = process.connect()
            await link.send("/book/x")
            await trio.sleep(0.1)
            await disturb(process)
            reply = await link.read()
            return process.error, reply.status, reply.whole

        self.assertEqual(run_socket_world(task), (None, 200, True))

    def test_invalid_request_target_affects_only_its_caller(self):
        """Guards against a malformed request target that stops the process.

        A caller requests ``//[``, which URL parsers reject. The exception would pass
        through its connection to the listener, and close all callers' connections.
        """

        async def disturb(process):
            link = process.connect()
            await link.stream.send_all(
                b"GET //[ HTTP/1.1\r\nhost: shop.example\r\n\r\n"
            )
            await trio.sleep(0.1)

        self.check_survives(disturb)

    def test_unwritable_refusal_affects_only_its_caller(self):
        """Guards against an exception group that stops the listener and the process.

        A handler fails for a caller that has stopped reading. The write of the error
        response times out too, and the two exceptions leave the connection as a group,
        which it does not treat as a broken connection.
        """

        async def disturb(process):
            async def fail(http, responder):
                raise ValueError("a fault of the host's own")

            process.app.server.handler = fail
            link = process.connect(window=16)
            await link.send("/book/x")
            await trio.sleep(process.app.server.limits.write_seconds + 1)

        self.check_survives(disturb)

    def test_host_without_free_descriptors_keeps_running(self):
        """Guards against a failing ``accept`` that stops the listener and the process.

        All file descriptors are in use when another caller connects, while bookings are
        in progress.
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

        self.check_survives(disturb)

    def test_invalid_kv_handle_affects_only_its_request(self):
        """Guards against an invalid KV cache handle that stops the process.

        A prefill engine returns a handle with a space in it. The decode engine does not
        take the cache, so a background task frees it, but the handle does not form a
        valid request target.
        """

        async def task(world):
            for replica in world.replicas.values():
                if replica.phase is EnginePhase.DECODE:
                    replica.faults = [Fault.REFUSE] * 4
            # The test double names its KV caches after the request.
            reply = await world.ask("/note/x", "r 1", headers=prompt_headers())
            await trio.sleep(1)
            return reply.whole, len(world.replicas)

        self.assertEqual(run_entry(task, plain=0, engines="pd"), (True, 2))

    def test_failed_background_task_affects_nothing_else(self):
        """Guards against background tasks whose errors affect the process or requests.

        A task that fails would stop the process. A task that is started while the host
        stops would raise in the request that starts it, whose response is ready.
        """

        async def task(world):
            app = world.hosts[0]

            async def fail():
                raise ValueError("a fault of the host's own")

            app._start_background_task(fail)
            await trio.sleep(0.1)
            on = await world.ask("/book/x")
            async with trio.open_nursery() as app._nursery:
                pass
            app._start_background_task(trio.sleep, 1)
            return on.status

        with self.assertLogs("berylshift.entry_application", "INFO") as logs:
            self.assertEqual(run_entry(task), 200)
        messages = [record.getMessage() for record in logs.records]
        self.assertEqual(
            messages[-2:], ["background task failed", "background task dropped"]
        )


if __name__ == "__main__":
    unittest.main()
