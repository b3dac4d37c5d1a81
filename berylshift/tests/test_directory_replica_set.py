"""The list of replicas: leaving ones, and entries that lapsed with the store."""

import unittest

from berylshift.messages.replicas import Replica, ReplicaChanges, instance_of
from berylshift.process.directory.replica_set import LAPSE_GRACE_SECONDS, ReplicaSet


def entry(number: int, draining: bool = False) -> Replica:
    """Return a replica's entry."""
    return Replica(f"i-{number}", "s", f"10.0.0.{number}:80", "d1", 8, draining)


def started(number: int, at_ms: int | None, draining: bool = False) -> Replica:
    """Return the entry of a replica that tells its start."""
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
    """Times are handed in."""

    def setUp(self):
        self.found = ReplicaSet()
        self.found.apply(put(entry(1), entry(2), whole=True), 0.0)

    def names(self) -> list[str]:
        return [rep.instance for rep in self.found.pool("s").replicas]

    def test_draining_takes_no_new_work_at_once(self):
        change = self.found.apply(put(entry(1, draining=True)), 1.0)
        self.assertEqual(self.names(), ["i-2"])
        self.assertEqual(change.drained, ("i-1",))

    def test_one_that_was_draining_is_not_taken_back_from_a_copy(self):
        """Guards against a list that forgets what has been acknowledged."""
        self.found.apply(put(entry(1, draining=True)), 1.0)
        self.found.apply(put(entry(1), entry(2), whole=True), 2.0)
        self.assertEqual(self.names(), ["i-2"])

    def test_its_own_word_takes_a_replica_out_whatever_its_entry_says(self):
        self.assertTrue(self.found.mark_draining("i-1", 1.0))
        self.assertFalse(self.found.mark_draining("i-1", 1.1))
        self.assertEqual(self.names(), ["i-2"])
        self.found.apply(put(entry(1)), 2.0)
        self.assertEqual(self.names(), ["i-2"])

    def test_removed_is_gone_at_once_while_the_store_is_well(self):
        change = self.found.apply(removed("i-1"), 1.0)
        self.assertEqual((self.names(), change.removed), (["i-2"], ("i-1",)))

    def test_whole_list_removes_what_it_lacks(self):
        self.found.apply(put(entry(2), whole=True), 1.0)
        self.assertEqual(self.names(), ["i-2"])

    def test_entries_that_lapsed_during_an_outage_are_used_until_they_are_back(self):
        """The store is down for long enough that every entry lapses.

        It returns with an empty list. The replicas are well and write themselves again
        within two seconds; until then a host without the grace refuses everything.
        """
        self.found.store_lost(5.0)
        change = self.found.apply(put(whole=True), 12.0)
        self.assertEqual(change.lapsed and self.names(), ["i-1", "i-2"])
        self.found.apply(put(entry(1)), 13.0)
        self.found.expire(12.0 + LAPSE_GRACE_SECONDS - 0.1)
        self.assertEqual(self.names(), ["i-1", "i-2"])
        gone = self.found.expire(12.0 + LAPSE_GRACE_SECONDS)
        self.assertEqual((gone, self.names()), (("i-2",), ["i-1"]))

    def test_a_draining_replica_has_no_grace(self):
        self.found.apply(put(entry(1, draining=True)), 1.0)
        self.found.store_lost(5.0)
        change = self.found.apply(put(entry(2), whole=True), 12.0)
        self.assertEqual(change.removed, ("i-1",))

    def test_the_grace_ends(self):
        self.found.store_lost(5.0)
        self.found.apply(put(entry(1), entry(2), whole=True), 12.0)
        self.found.apply(removed("i-1"), 12.0 + LAPSE_GRACE_SECONDS + 0.1)
        self.assertEqual(self.names(), ["i-2"])

    def test_age(self):
        self.assertIsNone(ReplicaSet().age(3.0))
        self.assertEqual(self.found.age(3.0), 3.0)


class StartAgainTest(unittest.TestCase):
    """A replica crashes and starts again under its name; its entry is written over.

    Callers' prompts would go where their parts were kept, to an engine that keeps
    nothing, and its old failures would hold callers off a sound one: each start is an
    instance of its own, and the former one is gone.
    """

    def setUp(self):
        self.found = ReplicaSet()
        self.found.apply(put(started(1, 100), entry(2), whole=True), 0.0)

    def names(self) -> list[str]:
        return sorted(rep.instance for rep in self.found.pool("s").replicas)

    def test_the_new_start_takes_the_place_of_the_former_at_once(self):
        change = self.found.apply(put(started(1, 200)), 1.0)
        self.assertEqual((change.added, change.removed), (("i-1@200",), ("i-1@100",)))
        self.assertEqual(self.names(), ["i-1@200", "i-2"])

    def test_a_heartbeat_of_the_same_start_changes_nothing(self):
        self.assertTrue(self.found.apply(put(started(1, 100)), 1.0).empty)

    def test_a_new_start_of_a_leaving_replica_takes_work(self):
        self.found.apply(put(started(1, 100, draining=True)), 1.0)
        self.assertEqual(self.names(), ["i-2"])
        self.found.apply(put(started(1, 200)), 2.0)
        self.assertEqual(self.names(), ["i-1@200", "i-2"])

    def test_a_clock_that_went_back_does_not_hide_a_start(self):
        """A replica's clock jumps back before it starts again.

        An order of starts by that clock would take the new start for the older one
        and leave the replica out for as long as its clock is behind.
        """
        self.found.apply(put(started(1, 50)), 1.0)
        self.assertEqual(self.names(), ["i-1@50", "i-2"])

    def test_an_entry_that_no_longer_tells_its_start_is_not_its_replicas(self):
        change = self.found.apply(put(started(1, None)), 1.0)
        self.assertEqual((self.names(), change.removed), (["i-2"], ("i-1@100",)))
        self.found.apply(put(started(1, 100)), 2.0)
        self.assertEqual(self.names(), ["i-1@100", "i-2"])

    def test_an_outage_of_the_store_does_not_keep_a_former_start(self):
        """The store is away, and a replica starts again meanwhile.

        The grace for entries that lapsed holds for names without an entry alone: the
        former start of a replica that is listed again is surely gone.
        """
        self.found.store_lost(1.0)
        self.found.apply(put(started(1, 200), whole=True), 5.0)
        self.assertEqual(self.names(), ["i-1@200", "i-2"])
