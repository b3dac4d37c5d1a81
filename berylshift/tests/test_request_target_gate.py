"""Flow control of all calls to replicas."""

import random
import unittest

import trio

from berylshift.clock import LoopClock
from berylshift.connection.errors import ThrottledError
from berylshift.connection.target_client import TargetClient, TargetRequest
from berylshift.ids import DomainName, InstanceId, ServiceName
from berylshift.messages.replicas import EnginePhase, Replica, ReplicaChanges
from berylshift.messages.routed import FlowControl
from berylshift.platform import names
from berylshift.platform.codec import PlatformCodec
from berylshift.platform.engines import PlatformEngines
from berylshift.process.directory.replica_set import ReplicaSet
from berylshift.process.targets.limit_shares import LimitShare
from berylshift.process.targets.rate_limits import RateLimits
from berylshift.process.targets.throttle import Throttle
from berylshift.request.target_gate import ReplicaGate
from berylshift.stand_ins.entry_replica import EntryReplica, Fault
from berylshift.stand_ins.pipes import pipe_pair
from berylshift.tests.support import VirtualTestCase

NAME = InstanceId("plain-1")
ADDRESS = "10.0.0.1:80"


class GateTest(VirtualTestCase):
    """A client, its gate and one replica."""

    def setUp(self):
        self.replica = EntryReplica(NAME, ADDRESS)
        self.replicas = ReplicaSet()
        entry = Replica(NAME, ServiceName("s"), ADDRESS, DomainName("d"), 8)
        self.replicas.apply(ReplicaChanges((entry,), (), 1, whole=True), 0.0)
        limits = RateLimits(lambda name, rate: LimitShare(1.0, True), random.Random(1))
        self.throttle = Throttle(limits, self.replicas.instance_of)
        self.dials = 0

    async def call(self, client: TargetClient, path: bytes = b"/x") -> int:
        """Make one call and return its status."""
        headers = [(b"host", b"h"), (names.ATTEMPT_ID, b"r1")]
        out = TargetRequest(NAME, ADDRESS, b"GET", path, headers)
        async with client.exchange(out) as answer:
            await answer.read(1000)
            return answer.status

    def run_with_client(self, task):
        """Run ``task(client)`` against the replica."""

        async def main():
            async with trio.open_nursery() as nursery:

                async def dial(address):
                    self.dials += 1
                    client_end, replica_end = pipe_pair()
                    nursery.start_soon(self.replica.serve, replica_end)
                    return client_end

                client = TargetClient(0.3, dial)
                codec, clock = PlatformCodec(), LoopClock()
                gate = ReplicaGate(codec, self.throttle, self.replicas, clock)
                client.set_gate(gate)
                result = await task(client)
                nursery.cancel_scope.cancel()
                return result

        return self.run_virtual(main)

    def test_a_throttled_call_opens_no_connection(self):
        """Guards against sending a call that has been rejected as throttled."""

        async def task(client):
            control = FlowControl(retry_after=3.0)
            now = trio.current_time()
            self.throttle.apply_flow_control(NAME, control, now, now)
            with self.assertRaises(ThrottledError):
                await self.call(client)

        self.run_with_client(task)
        self.assertEqual(self.dials, 0)

    def test_flow_control_of_every_kind_of_call_is_applied(self):
        """Guards against ignoring flow control in responses to control calls.

        These release a KV cache, fetch a report or send an order.
        """
        for path in (b"/x", b"/v1/kv-handle/a", names.REPORT_PATH):
            with self.subTest(path=path):
                self.setUp()
                self.replica.rate_limit = 2.0
                self.run_with_client(lambda client, path=path: self.call(client, path))
                self.assertEqual(len(self.throttle), 1)

    def test_a_call_to_a_draining_replica_is_rejected(self):
        async def task(client):
            self.replica.announces_draining = True
            await self.call(client)
            with self.assertRaises(ThrottledError):
                await self.call(client)

        self.run_with_client(task)

    def test_a_report_needs_no_send_slot(self):
        """Guards against throttled reports, without which a pool gets no orders."""

        async def task(client):
            self.replica.rate_limit = 0.1
            await self.call(client)
            with self.assertRaises(ThrottledError):
                await self.call(client)
            entry = self.replicas.listed(ServiceName("s"))[0]
            return await PlatformEngines(client, 0.5).report(entry)

        self.replica.phase = EnginePhase.DECODE
        self.assertIsNotNone(self.run_with_client(task))

    def test_flow_control_in_a_discarded_late_response_is_applied(self):
        async def task(client):
            self.replica.faults = [Fault.EXTRA]
            self.replica.rate_limit = 2.0
            await self.call(client)
            return len(self.throttle)

        self.assertEqual(self.run_with_client(task), 1)


if __name__ == "__main__":
    unittest.main()
