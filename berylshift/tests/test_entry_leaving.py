"""Replicas that say in their answers that they leave, whatever the store lists."""

import unittest

from berylshift.stand_ins.entry_replica import EntryReplica
from berylshift.tests.entry_world import ENGINES, run_entry
from berylshift.tests.limit_load import LimitLoad

EVEN = (1, 1, 1)
# The platform's bound on requests to a replica that has said that it leaves.
DRAIN_SECONDS = 2.0


def calls_after(replica: EntryReplica) -> int:
    """Return the calls of hosts that had been told for longer than allowed."""
    told = replica.told_leaving
    return sum(
        call.at > told.get(call.host, float("inf")) + DRAIN_SECONDS
        for call in replica.calls
    )


class SaidInAnswersTest(unittest.TestCase):
    """The store is away, so no entry tells of the leaving."""

    def play(self, path: str, number: int, **world) -> tuple[EntryReplica, LimitLoad]:
        """Have one replica leave among callers; its entry goes on saying ready."""

        async def play(world):
            replica = list(world.replicas.values())[number]
            callers = LimitLoad(world, EVEN)
            await callers.run(path, 20, 2)
            replica.says_leaving = True
            await callers.run(path, 20, 6)
            return replica, callers

        return run_entry(play, hosts=3, **world)

    def test_a_replica_that_says_it_leaves_gets_nothing_more(self):
        """Guards against leaving that is known from the store alone."""
        replica, callers = self.play("/look/", 0, plain=3)
        self.assertEqual(len(replica.told_leaving), 3)
        self.assertEqual(calls_after(replica), 0)
        self.assertEqual(callers.served, len(callers.replies))

    def test_an_engine_that_says_it_leaves_gets_no_stream(self):
        replica, callers = self.play("/brief/", -1, engines="ppddd")
        self.assertEqual(calls_after(replica), 0)
        self.assertEqual(callers.served, len(callers.replies))

    def test_a_reading_engine_that_says_it_leaves_reads_no_prompt(self):
        """Guards against readings and freed caches that go round what was said."""
        replica, callers = self.play("/note/", -5, engines="ppddd")
        self.assertEqual(replica.phase, "prefill")
        self.assertEqual(calls_after(replica), 0)
        self.assertEqual(callers.served, len(callers.replies))


class StaysSaidTest(unittest.TestCase):
    """What a replica has said holds until its next start."""

    def test_an_entry_that_is_written_again_changes_nothing(self):
        """Guards against a store that lists as ready what has said that it leaves."""

        async def play(world):
            replica = world.replicas["10.0.0.1:80"]
            replica.says_leaving = True
            callers = LimitLoad(world, (1,))
            await callers.run("/look/", 20, 1)
            replica.says_leaving = False
            world.list_replica(replica, "booking")
            await callers.run("/look/", 20, 5)
            return replica

        self.assertEqual(calls_after(run_entry(play, plain=2)), 0)

    def test_its_next_start_is_used(self):
        async def play(world):
            replica = world.add_replica("engine-9", ENGINES, "decode")
            replica.says_leaving = True
            callers = LimitLoad(world, (1,))
            await callers.run("/note/", 20, 1)
            replica.says_leaving = False
            replica.start_again(5)
            world.list_replica(replica, ENGINES)
            before = len(replica.calls)
            await callers.run("/note/", 20, 2)
            return len(replica.calls) - before

        self.assertGreater(run_entry(play, plain=0, engines="pd"), 5)
