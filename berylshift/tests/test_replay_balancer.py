"""Tests of the load balancer of replays over HTTP."""

import trio
import trio.testing

from berylshift.connection.http_client import HttpClient
from berylshift.connection.http_server import HttpServer
from berylshift.replay.http_fleet import HttpBalancer
from berylshift.tests.support import VirtualTestCase

ENTRIES = ["host-1", "host-2", "host-3"]


class BalancerTest(VirtualTestCase):
    """Which hosts are picked while health checks fail."""

    def picked(self, not_ready: set[str], silent: set[str], seconds: float) -> set[str]:
        """Return the hosts that are picked after ``seconds`` in which some are silent.

        Before that, all hosts answer for five seconds.
        """
        stalled: set[str] = set()

        async def dial(address):
            near, far = trio.testing.memory_stream_pair()

            async def answer(req, responder):
                if address in stalled:
                    await trio.sleep_forever()
                await responder.full(503 if address in not_ready else 200, {}, b"")

            nursery.start_soon(HttpServer(answer).serve_stream, far)
            return near

        async def task():
            nonlocal nursery
            async with trio.open_nursery() as nursery:
                balancer = HttpBalancer(HttpClient(dial), ENTRIES)
                nursery.start_soon(balancer.run)
                await trio.sleep(5)
                stalled.update(silent)
                await trio.sleep(seconds)
                found = {balancer.pick() for _ in range(9)}
                nursery.cancel_scope.cancel()
            return found

        nursery: trio.Nursery | None = None
        return self.run_virtual(task)

    def test_leaving_host_is_not_picked_while_no_host_answers(self):
        """Guards against requests sent to a host that has said that it is leaving."""
        for seconds in (0.0, 1.0, 10.0):
            found = self.picked({"host-2"}, set(ENTRIES), seconds)
            self.assertEqual(found, {"host-1", "host-3"})

    def test_host_is_left_out_after_two_missed_checks(self):
        self.assertEqual(self.picked(set(), {"host-1"}, 0.9), set(ENTRIES))
        self.assertEqual(self.picked(set(), {"host-1"}, 3.0), {"host-2", "host-3"})
