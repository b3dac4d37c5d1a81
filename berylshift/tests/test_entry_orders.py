"""Orders to engines, and the lease for them, of platform hosts that stop."""

import unittest

import trio

from berylshift.tests.entry_world import run_entry


class LeavingHolderTest(unittest.TestCase):
    """A planned stop of a host that could order engines."""

    def test_a_host_that_leaves_takes_no_lease(self):
        """The lease of another host runs out while a host leaves.

        Were the leaving one to take it and end, the other would have to wait until
        that lease is over, and the engines would stay in the wrong phases meanwhile.
        """

        async def task(world):
            await trio.sleep(3.6)
            leaving, stays = world.hosts
            await leaving.on_shutdown()
            leaving._nursery.cancel_scope.cancel()
            await trio.sleep(1.0)
            record, _ = world.leases._rows["phases/writer"]
            return record.holder, stays.cfg.host.name

        holder, stays = run_entry(task, hosts=2, engines="dddddd", reading_share=0.65)
        self.assertEqual(holder, stays)


if __name__ == "__main__":
    unittest.main()
