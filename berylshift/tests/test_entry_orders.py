"""Orders to engines, and the lease for them, while hosts shut down."""

import unittest

import trio

from berylshift.tests.entry_world import run_entry


class StoppingHolderTest(unittest.TestCase):
    """Planned shutdown of a host that could order engines."""

    def test_a_stopping_host_acquires_no_lease(self):
        """A host shuts down while the lease of another host expires.

        If the stopping host acquired the lease and ended, the other would have to wait
        for its expiry, and the engines would stay in the wrong phases for that time.
        """

        async def task(world):
            await trio.sleep(3.6)
            stopping, remaining = world.hosts
            await stopping.on_shutdown()
            stopping._nursery.cancel_scope.cancel()
            await trio.sleep(1.0)
            record, _ = world.leases._rows["phases/writer"]
            return record.holder, remaining.cfg.host.name

        holder, remaining = run_entry(
            task, hosts=2, engines="dddddd", reading_share=0.65
        )
        self.assertEqual(holder, remaining)


if __name__ == "__main__":
    unittest.main()
