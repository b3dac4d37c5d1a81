"""Tests that callers of a host that lost its paths to all replicas are served."""

import unittest

import trio

from berylshift.tests.lost_paths_world import Cut, run_lost_paths, tally_all

HOSTS = 4
CUT_OFF = {
    "one host": ("host-1",),
    "half of the hosts": ("host-1", "host-2"),
    "a whole domain": ("host-1", "host-3"),
    "all hosts but one": ("host-1", "host-2", "host-3"),
}
# Attempts count from this long after the cut began.
SETTLED_SECONDS = 3.0
COUNTED_SECONDS = 9.0
# One attempt in this many may fail.
ATTEMPTS_PER_FAILURE = 50


class LostPathsTest(unittest.TestCase):
    """First attempts at hosts that are cut off are served as often as elsewhere."""

    def check_served(self, cut):
        """Cut hosts off while all are in use, and compare their callers' shares."""
        for title, names in CUT_OFF.items():
            with self.subTest(title):
                self.check_served_at(names, cut)

    def check_served_at(self, names, cut):
        """Check the shares while the hosts of ``names`` are cut off."""

        async def task(world):
            await tally_all(world, 2.0)
            for name in names:
                world.cut(name, cut)
            await tally_all(world, SETTLED_SECONDS)
            during = await tally_all(world, COUNTED_SECONDS)
            for name in names:
                world.heal(name)
            await trio.sleep(1.0)
            after = await tally_all(world, 2.0)
            found = {
                app.cfg.host.name: tally
                for app, tally in zip(world.hosts, during, strict=True)
            }
            return found, after

        tallies, after = run_lost_paths(task, HOSTS)
        self.assertTrue(all(tally.sent >= 80 for tally in tallies.values()))
        for name, tally in tallies.items():
            failed = tally.sent - tally.served
            allowed = tally.sent // ATTEMPTS_PER_FAILURE
            self.assertLessEqual(failed, allowed, (name, tally.failures[:5]))
        self.assertEqual([tally.failures for tally in after], [[]] * HOSTS)

    def test_hosts_whose_connections_to_replicas_hang(self):
        """Guards against callers that wait at a host with silent connections."""
        self.check_served(Cut.HANG)

    def test_hosts_whose_connections_to_replicas_are_reset(self):
        """Guards against refusals by a host whose connections are reset."""
        self.check_served(Cut.RESET)

    def test_hosts_that_get_no_new_connections_to_replicas(self):
        """Guards against refusals by a host that keeps only its open connections."""
        self.check_served(Cut.REFUSE_NEW)


if __name__ == "__main__":
    unittest.main()
