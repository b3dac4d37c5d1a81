"""Orders to engines that hosts report to each other."""

import unittest

from berylshift.ids import InstanceId
from berylshift.messages.replicas import EnginePhase, Replica, ReplicaChanges
from berylshift.process.directory.expected_phases import (
    MAX_ORDERS_PER_DIGEST,
    ORDER_PENDING_SECONDS,
    PHASE_CHANGE_SECONDS,
    ExpectedPhases,
)
from berylshift.process.directory.replica_set import ReplicaSet

SERVICE = "writer"


def engine(number: int) -> Replica:
    """Return an engine that is listed as a decode engine."""
    name = InstanceId(f"engine-{number}")
    return Replica(name, SERVICE, "10.0.0.1:80", "d", 64, False, EnginePhase.DECODE)


class UpdatesTest(unittest.TestCase):
    """Which orders a host sends in its digests."""

    def test_hundreds_of_orders_are_sent_in_rotation(self):
        # All engines of a large fleet are ordered at startup. If each host sent all
        # orders at once to each other host, they would saturate the links; if orders
        # were omitted, hosts would use engines in phases that they no longer have.
        mine, other = ExpectedPhases(), ExpectedPhases()
        for number in range(200):
            mine.record_order(InstanceId(f"engine-{number}"), EnginePhase.PREFILL, 0.0)
        for step in range(30):
            updates = mine.updates_to_send(0.1 * step)
            self.assertLessEqual(len(updates), MAX_ORDERS_PER_DIGEST)
            other.apply_updates(updates, 0.1 * step)
        expected = [other.has_pending_order(f"engine-{n}", 3.0) for n in range(200)]
        self.assertTrue(all(expected))

    def test_the_newest_order_is_sent_at_once(self):
        phases = ExpectedPhases()
        for number in range(200):
            phases.record_order(
                InstanceId(f"engine-{number}"), EnginePhase.PREFILL, 0.0
            )
        phases.record_order(InstanceId("late"), EnginePhase.PREFILL, 1.0)
        other = ExpectedPhases()
        other.apply_updates(phases.updates_to_send(1.0), 1.0)
        self.assertTrue(other.has_pending_order("late", 1.0))


class IndexTest(unittest.TestCase):
    """Usable replicas while orders are pending."""

    def setUp(self):
        self.phases = ExpectedPhases()
        self.replicas = ReplicaSet(self.phases)
        entries = tuple(engine(number) for number in range(3))
        self.replicas.apply(ReplicaChanges(entries, (), 1, whole=True), 0.0)

    def usable(self, now: float) -> dict[str, EnginePhase]:
        self.replicas.expire(now)
        pool = self.replicas.pool(SERVICE)
        return {rep.instance: rep.phase for rep in pool.replicas}

    def test_an_ordered_engine_is_unusable_then_in_its_new_phase_then_as_listed(self):
        self.phases.record_order("engine-1", EnginePhase.PREFILL, 1.0)
        self.assertNotIn("engine-1", self.usable(1.1))
        changed = self.usable(1.1 + PHASE_CHANGE_SECONDS)
        self.assertIs(changed["engine-1"], EnginePhase.PREFILL)
        settled = self.usable(1.1 + ORDER_PENDING_SECONDS)
        self.assertIs(settled["engine-1"], EnginePhase.DECODE)

    def test_pools_are_not_rebuilt_while_nothing_changes(self):
        # Each host checks for expired entries ten times a second; rebuilding the pools
        # of a thousand replicas each time would take most of its CPU time.
        self.phases.record_order("engine-1", EnginePhase.PREFILL, 1.0)
        self.usable(1.1)
        pool = self.replicas.pool(SERVICE)
        self.usable(1.2)
        self.assertIs(self.replicas.pool(SERVICE), pool)


if __name__ == "__main__":
    unittest.main()
