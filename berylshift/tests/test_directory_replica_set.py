"""The replica set: draining replicas, and entries that expire in store outages."""

import unittest

from berylshift.messages.replicas import Replica, ReplicaChanges, instance_of
from berylshift.process.directory.replica_set import EXPIRY_GRACE_SECONDS, ReplicaSet


def entry(number: int, draining: bool = False) -> Replica:
    """Return a replica's entry."""
    return Replica(f"i-{number}", "s", f"10.0.0.{number}:80", "d1", 8, draining)


def started(number: int, at_ms: int | None, draining: bool = False) -> Replica:
    """Return the entry of a replica that reports its start time."""
    name = f"i-{number}"
    return Replica(
        instance_of(name, at_ms),
        "s",
        f"10.0.0.{number}:80",
        "d1",
        8,
        draining,
        name=name,
        started_ms=at_ms,
    )


def put(*entries: Replica, whole: bool = False) -> ReplicaChanges:
    """Return changes that put entries."""
    return ReplicaChanges(entries, (), 1, whole)


def removed(*names: str) -> ReplicaChanges:
    """Return changes that remove entries."""
    return ReplicaChanges((), names, 1)


class ReplicaSetTest(unittest.TestCase):
    """Updates of the set; each test passes the time explicitly."""

    def setUp(self):
        self.found = ReplicaSet()
        self.found.apply(put(entry(1), entry(2), whole=True), 0.0)

    def names(self) -> list[str]:
        return [rep.instance for rep in self.found.pool("s").replicas]

    def test_draining_takes_no_new_work_at_once(self):
        change = self.found.apply(put(entry(1, draining=True)), 1.0)
        self.assertEqual(self.names(), ["i-2"])
        self.assertEqual(change.drained, ("i-1",))

    def test_a_draining_replica_stays_unused_when_a_copy_lists_it_as_ready(self):
        """Guards against a restored copy undoing an acknowledged drain."""
        self.found.apply(put(entry(1, draining=True)), 1.0)
        self.found.apply(put(entry(1), entry(2), whole=True), 2.0)
        self.assertEqual(self.names(), ["i-2"])

    def test_a_replica_that_states_it_drains_is_unused_whatever_its_entry_says(self):
        self.assertTrue(self.found.mark_draining("i-1", 1.0))
        self.assertFalse(self.found.mark_draining("i-1", 1.1))
        self.assertEqual(self.names(), ["i-2"])
        self.found.apply(put(entry(1)), 2.0)
        self.assertEqual(self.names(), ["i-2"])

    def test_a_removed_replica_is_unused_at_once_while_the_store_is_up(self):
        change = self.found.apply(removed("i-1"), 1.0)
        self.assertEqual((self.names(), change.removed), (["i-2"], ("i-1",)))

    def test_a_full_list_removes_replicas_it_lacks(self):
        self.found.apply(put(entry(2), whole=True), 1.0)
        self.assertEqual(self.names(), ["i-2"])

    def test_entries_that_expired_during_an_outage_are_used_until_renewed(self):
        """The store is down for long enough that every entry expires.

        It comes back with an empty list. The healthy replicas renew their entries
        within two seconds; without the grace period a host refuses everything until
        then.
        """
        self.found.mark_store_lost(5.0)
        change = self.found.apply(put(whole=True), 12.0)
        self.assertEqual(change.expired and self.names(), ["i-1", "i-2"])
        self.found.apply(put(entry(1)), 13.0)
        self.found.expire(12.0 + EXPIRY_GRACE_SECONDS - 0.1)
        self.assertEqual(self.names(), ["i-1", "i-2"])
        gone = self.found.expire(12.0 + EXPIRY_GRACE_SECONDS)
        self.assertEqual((gone, self.names()), (("i-2",), ["i-1"]))

    def test_a_draining_replica_has_no_grace_period(self):
        self.found.apply(put(entry(1, draining=True)), 1.0)
        self.found.mark_store_lost(5.0)
        change = self.found.apply(put(entry(2), whole=True), 12.0)
        self.assertEqual(change.removed, ("i-1",))

    def test_the_grace_period_ends(self):
        self.found.mark_store_lost(5.0)
        self.found.apply(put(entry(1), entry(2), whole=True), 12.0)
        self.found.apply(removed("i-1"), 12.0 + EXPIRY_GRACE_SECONDS + 0.1)
        self.assertEqual(self.names(), ["i-2"])

    def test_age(self):
        self.assertIsNone(ReplicaSet().age(3.0))
        self.assertEqual(self.found.age(3.0), 3.0)


class RestartTest(unittest.TestCase):
    """A replica crashes and restarts under its name, overwriting its entry.

    Each start is a new instance and replaces the previous one. Otherwise prompts would
    be routed to an engine for a cache that it lost, and failures of the previous
    instance would keep requests from a healthy one.
    """

    def setUp(self):
        self.found = ReplicaSet()
        self.found.apply(put(started(1, 100), entry(2), whole=True), 0.0)

    def names(self) -> list[str]:
        return sorted(rep.instance for rep in self.found.pool("s").replicas)

    def test_the_new_instance_replaces_the_previous_one_at_once(self):
        change = self.found.apply(put(started(1, 200)), 1.0)
        self.assertEqual((change.added, change.removed), (("i-1@200",), ("i-1@100",)))
        self.assertEqual(self.names(), ["i-1@200", "i-2"])

    def test_a_heartbeat_of_the_same_instance_changes_nothing(self):
        self.assertTrue(self.found.apply(put(started(1, 100)), 1.0).empty)

    def test_a_new_instance_of_a_draining_replica_takes_work(self):
        self.found.apply(put(started(1, 100, draining=True)), 1.0)
        self.assertEqual(self.names(), ["i-2"])
        self.found.apply(put(started(1, 200)), 2.0)
        self.assertEqual(self.names(), ["i-1@200", "i-2"])

    def test_a_clock_that_went_back_does_not_hide_a_new_instance(self):
        """A replica's clock jumps back before it restarts.

        If instances were ordered by that clock, the new one would seem older and the
        replica would stay unused for as long as its clock is behind.
        """
        self.found.apply(put(started(1, 50)), 1.0)
        self.assertEqual(self.names(), ["i-1@50", "i-2"])

    def test_an_entry_that_lost_its_start_time_is_not_used(self):
        change = self.found.apply(put(started(1, None)), 1.0)
        self.assertEqual((self.names(), change.removed), (["i-2"], ("i-1@100",)))
        self.found.apply(put(started(1, 100)), 2.0)
        self.assertEqual(self.names(), ["i-1@100", "i-2"])

    def test_a_store_outage_does_not_keep_a_previous_instance(self):
        """A replica restarts while the store is down.

        The grace period applies only to names without an entry: the previous instance
        of a replica that is listed again has certainly ended.
        """
        self.found.mark_store_lost(1.0)
        self.found.apply(put(started(1, 200), whole=True), 5.0)
        self.assertEqual(self.names(), ["i-1@200", "i-2"])
