"""Tests of the log lines by which a host that accepts nothing can be told apart."""

import logging

import trio
import trio.testing

from berylshift.clock import ManualClock
from berylshift.connection.http_server import HttpServer, ServerLimits
from berylshift.process.loop_monitor import CHECK_INTERVAL_SECONDS, LoopMonitor
from berylshift.tests.support import VirtualTestCase


class LoopMonitorTest(VirtualTestCase):
    """Delays of the event loop."""

    def logged_after(self, seconds: float) -> list[float]:
        """Return the delays logged if a sleep takes ``seconds``."""
        clock = ManualClock()

        async def task():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(LoopMonitor(clock).run)
                await trio.sleep(CHECK_INTERVAL_SECONDS / 2)
                clock.advance(seconds)
                await trio.sleep(CHECK_INTERVAL_SECONDS)
                nursery.cancel_scope.cancel()

        with self.assertLogs("berylshift", logging.INFO) as logs:
            logging.getLogger("berylshift").info("no delay")
            self.run_virtual(task)
        return [record.seconds for record in logs.records[1:]]

    def test_only_long_delays_are_logged(self):
        self.assertEqual(self.logged_after(CHECK_INTERVAL_SECONDS + 0.1), [])
        self.assertEqual(self.logged_after(CHECK_INTERVAL_SECONDS + 1.5), [1.5])


class ConnectionLimitTest(VirtualTestCase):
    """Connections beyond the limit."""

    def test_refused_connection_is_logged(self):
        """Guards against callers that find no connection without a trace of it."""

        async def task():
            near, far = trio.testing.memory_stream_pair()
            server = HttpServer(None, ServerLimits(connections=0))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(server.serve_stream, far)
                await near.receive_some()
                nursery.cancel_scope.cancel()

        with self.assertLogs("berylshift", logging.INFO) as logs:
            self.run_virtual(task)
        self.assertEqual(logs.records[0].getMessage(), "connection refused")
        self.assertEqual(logs.records[0].open, 1)
