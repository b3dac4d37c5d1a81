"""Replicas that state in their responses that they are draining."""

import unittest

from berylshift.stand_ins.entry_replica import EntryReplica
from berylshift.tests.entry_world import ENGINES, run_entry
from berylshift.tests.limit_load import LimitLoad

EVEN = (1, 1, 1)
# The platform's limit for requests to a replica that has stated that it drains.
DRAIN_SECONDS = 2.0


def calls_after(replica: EntryReplica) -> int:
    """Return the calls of hosts that were informed of the drain too long before."""
    informed_at = replica.draining_sent_at
    return sum(
        call.at > informed_at.get(call.host, float("inf")) + DRAIN_SECONDS
        for call in replica.calls
    )


class StatedInResponsesTest(unittest.TestCase):
    """The store is down, so no entry shows the draining."""

    def play(self, path: str, number: int, **world) -> tuple[EntryReplica, LimitLoad]:
        """Have one replica drain under load while its entry still says ready."""

        async def play(world):
            replica = list(world.replicas.values())[number]
            callers = LimitLoad(world, EVEN)
            await callers.run(path, 20, 2)
            replica.announces_draining = True
            await callers.run(path, 20, 6)
            return replica, callers

        return run_entry(play, hosts=3, **world)

    def test_a_draining_replica_gets_no_more_requests(self):
        """Guards against draining that is known from the store only."""
        replica, callers = self.play("/look/", 0, plain=3)
        self.assertEqual(len(replica.draining_sent_at), 3)
        self.assertEqual(calls_after(replica), 0)
        self.assertEqual(callers.served, len(callers.replies))

    def test_a_draining_engine_gets_no_stream(self):
        replica, callers = self.play("/brief/", -1, engines="ppddd")
        self.assertEqual(calls_after(replica), 0)
        self.assertEqual(callers.served, len(callers.replies))

    def test_a_draining_prefill_engine_gets_no_prompt(self):
        """Guards against prefills and cache releases that ignore the drain."""
        replica, callers = self.play("/note/", -5, engines="ppddd")
        self.assertEqual(replica.phase, "prefill")
        self.assertEqual(calls_after(replica), 0)
        self.assertEqual(callers.served, len(callers.replies))


class DrainPersistsTest(unittest.TestCase):
    """A stated drain holds until the replica's next instance."""

    def test_a_renewed_entry_does_not_end_the_drain(self):
        """Guards against a store that still lists a draining replica as ready."""

        async def play(world):
            replica = world.replicas["10.0.0.1:80"]
            replica.announces_draining = True
            callers = LimitLoad(world, (1,))
            await callers.run("/look/", 20, 1)
            replica.announces_draining = False
            world.list_replica(replica, "booking")
            await callers.run("/look/", 20, 5)
            return replica

        self.assertEqual(calls_after(run_entry(play, plain=2)), 0)

    def test_the_next_instance_is_used(self):
        async def play(world):
            replica = world.add_replica("engine-9", ENGINES, "decode")
            replica.announces_draining = True
            callers = LimitLoad(world, (1,))
            await callers.run("/note/", 20, 1)
            replica.announces_draining = False
            replica.restart(5)
            world.list_replica(replica, ENGINES)
            before = len(replica.calls)
            await callers.run("/note/", 20, 2)
            return len(replica.calls) - before

        self.assertGreater(run_entry(play, plain=0, engines="pd"), 5)
