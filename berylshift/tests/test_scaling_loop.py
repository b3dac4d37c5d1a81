"""Replicas ordered by one of several hosts, on a virtual clock."""

import random
import unittest

import trio

from berylshift.clock import LoopClock
from berylshift.ids import DomainName, InstanceId, ServiceName
from berylshift.messages.leader_calls import CallResult
from berylshift.messages.replicas import Replica, ReplicaChanges
from berylshift.messages.scaling import ReplicaKind
from berylshift.process.directory.replica_set import ReplicaSet
from berylshift.process.leader_tasks.leader_lease import LeaderLease
from berylshift.process.scaling.scale_loop import RANK_DELAY_SECONDS, ScaleLoop
from berylshift.stand_ins.fake_directory import FakeLeaseRows
from berylshift.stand_ins.fake_leader_calls import FakeLeaderCalls, FakeScaleRows
from berylshift.tests.support import run_virtual
from berylshift.version.routes import DomainPrice, Scaling, Service

SERVICE = ServiceName("writer")
DOMAINS = ("a", "b", "c")
PRICES = tuple(DomainPrice(DomainName(name), 1.0) for name in DOMAINS)
SCALED = Service(SERVICE, 100, scaling=Scaling(1, 9, 4.0, 0.18, PRICES))
FIXED = Service(SERVICE, 100)


class World:
    """Hosts that all see three on-demand replicas in each of three domains."""

    def __init__(self, nursery: trio.Nursery, service: Service, hosts: int = 2):
        self.leases = FakeLeaseRows(trio.current_time)
        self.duties = FakeLeaderCalls()
        self.rows = FakeScaleRows()
        self.holders: list[str] = []
        self.scopes: list[trio.CancelScope] = []
        self.gone: set[str] = set()
        self.replicas = ReplicaSet()
        found = [self.replica(domain, n) for domain in DOMAINS for n in range(3)]
        self.replicas.apply(ReplicaChanges(tuple(found), (), 1, whole=True), 0.0)
        for number in range(hosts):
            scope = trio.CancelScope()
            self.scopes.append(scope)
            nursery.start_soon(
                self.run, scope, self.loop(f"h{number}", number, service)
            )

    def replica(self, domain: str, number: int) -> Replica:
        name = InstanceId(f"{domain}{number}")
        return Replica(name, SERVICE, "10.0.0.1:80", DomainName(domain), 64)

    def loop(self, name: str, number: int, service: Service) -> ScaleLoop:
        lease = LeaderLease(
            self.leases,
            "scaling",
            name,
            3.0,
            random.Random(number),
            trio.current_time,
            is_first_start=lambda era: True,
            can_reacquire=True,
        )
        return ScaleLoop(
            host=name,
            services=lambda: [service],
            replicas=self.replicas,
            lease=lease,
            ordering=self.duties,
            rows=self.rows,
            clock=LoopClock(),
            rank=lambda task: self.rank(name),
            is_idle=lambda: False,
        )

    def rank(self, name: str) -> int:
        return sum(f"h{n}" < name for n in range(2) if f"h{n}" not in self.gone)

    async def run(self, scope: trio.CancelScope, loop: ScaleLoop) -> None:
        with scope:
            await loop.run()


def play(task, service: Service = SCALED) -> World:
    """Run ``task(world)``."""

    async def main():
        async with trio.open_nursery() as nursery:
            world = World(nursery, service)
            await task(world)
            nursery.cancel_scope.cancel()
        return world

    return run_virtual(main)


class ScaleLoopTest(unittest.TestCase):
    """Which host orders, and when."""

    def test_the_host_of_rank_0_orders_once(self):
        async def task(world):
            await trio.sleep(4)

        world = play(task)
        self.assertEqual([order.desired for order in world.duties.orders], [5, 5, 5])
        self.assertEqual(world.leases._rows["scaling"][0].holder, "h0")

    def test_another_host_orders_when_the_first_is_gone(self):
        """Guards against replicas that nobody orders once the leader has ended."""

        async def task(world):
            await trio.sleep(0.5)
            world.scopes[0].cancel()
            world.gone.add("h0")
            await trio.sleep(RANK_DELAY_SECONDS + 8)

        world = play(task)
        self.assertEqual(world.leases._rows["scaling"][0].holder, "h1")
        self.assertTrue(world.duties.orders)

    def test_a_service_without_bounds_is_never_scaled(self):
        """Guards against orders on platforms that do not support scaling."""

        async def task(world):
            await trio.sleep(20)

        world = play(task, FIXED)
        self.assertEqual(world.duties.orders, [])
        self.assertEqual(world.leases._rows, {})

    def test_a_successor_uses_the_stored_number_of_replicas(self):
        """Guards against a service that grows with each change of leader."""

        async def task(world):
            world.rows.needed[SERVICE] = 6
            await trio.sleep(4)

        orders = play(task).duties.orders
        cheap = [o.desired for o in orders if o.kind is ReplicaKind.INTERRUPTIBLE]
        self.assertEqual(cheap, [3, 3, 3])

    def test_nothing_is_ordered_while_the_needed_number_is_unknown(self):
        async def task(world):
            world.rows.down = True
            await trio.sleep(6)
            self.assertEqual(world.duties.orders, [])
            world.rows.down = False
            await trio.sleep(6)

        self.assertEqual(len(play(task).duties.orders), 3)

    def test_an_order_to_a_busy_platform_is_repeated(self):
        async def task(world):
            world.duties.answers = [CallResult.BUSY] * 3
            await trio.sleep(6)

        self.assertEqual(len(play(task).duties.orders), 3)

    def test_an_order_without_an_answer_counts_as_carried_out(self):
        """Guards against replicas ordered twice, here or by a successor."""

        async def task(world):
            world.duties.answers = [CallResult.UNKNOWN] * 3
            await trio.sleep(4)
            world.scopes[0].cancel()
            world.gone.add("h0")
            await trio.sleep(RANK_DELAY_SECONDS + 8)

        orders = play(task).duties.orders
        self.assertEqual({order.desired for order in orders}, {5})


if __name__ == "__main__":
    unittest.main()
