"""Tests of hosts whose settings say that the whole system starts for the first time."""

import unittest

import trio

from berylshift.ids import StoreEra
from berylshift.process.leader_tasks.leader_lease import Grant, Refused
from berylshift.process.streams.origin_records import KEEP_SECONDS
from berylshift.tests.entry_world import routes
from berylshift.tests.stale_list_world import StaleListWorld, StorePath
from berylshift.tests.stream_version_world import DOMAINS, HOSTS, RETRY_BURST, Stream
from berylshift.tests.support import run_virtual

OLD, NEW = "v1", "v1.1"


class FirstStartWorld(StaleListWorld):
    """Hosts whose settings all say so."""

    # Whether hosts that start now are cut off from the store.
    cuts_off = False

    def directory_for(self, address: str) -> StorePath:
        """Return the path of the host with a peer address."""
        path = super().directory_for(address)
        path.is_cut = self.cuts_off
        return path

    async def add_hosts(self, count: int) -> None:
        """Start hosts."""
        for _ in range(count):
            await self.add_host(
                domain=f"domain-{len(self.hosts) % DOMAINS}",
                retry_burst=RETRY_BURST,
                first_start="true",
            )


def run_first(task):
    """Run ``task(world)`` before three engines, without hosts at first."""

    async def main():
        async with trio.open_nursery() as nursery:
            world = FirstStartWorld(nursery)
            world.directory.put_routes(routes())
            world.add_engines(OLD, 3, prefill=1)
            found = await task(world)
            nursery.cancel_scope.cancel()
            return found

    return run_virtual(main)


class FirstStartTest(unittest.TestCase):
    """Streams that began before a host that claims to know the past."""

    def check_not_joined(self, stream: Stream):
        """Check that a stream went on at its version or was refused."""
        self.assertEqual(stream.statuses[0], 200)
        self.assertEqual(len(stream.statuses), 2)
        self.assertFalse(stream.is_mixed, stream.versions)

    def test_all_hosts_are_killed_in_a_release_and_restart_with_their_settings(self):
        """Guards against a later start that takes itself for the first one."""

        async def task(world):
            await world.add_hosts(HOSTS)
            await trio.sleep(KEEP_SECONDS)
            stream = await world.begin("r1", 0)
            for host in range(HOSTS):
                world.kill_host(host)
            world.add_engines(NEW, 3, prefill=1)
            world.remove(OLD)
            await world.add_hosts(HOSTS)
            await trio.sleep(2.0)
            await world.stream(stream, "r1-again", HOSTS, resumes="r1")
            return stream

        self.check_not_joined(run_first(task))

    def test_host_that_reads_its_first_list_late(self):
        """Guards against versions that came and left before a host's first read."""

        async def task(world):
            await world.add_hosts(HOSTS - 1)
            await trio.sleep(2.0)
            world.cuts_off = True
            await world.add_hosts(1)
            await trio.sleep(10.0)
            stream = await world.begin("r1", 0)
            for host in range(HOSTS - 1):
                world.kill_host(host)
            world.add_engines(NEW, 3, prefill=1)
            world.remove(OLD)
            world.paths_to_store[-1].is_cut = False
            await trio.sleep(2.0)
            await world.stream(stream, "r1-again", HOSTS - 1, resumes="r1")
            return stream

        self.check_not_joined(run_first(task))

    def test_host_that_restarts_among_busy_hosts_is_not_idle(self):
        """Guards against orders to all engines at once while other hosts have work."""

        async def task(world):
            await world.add_hosts(HOSTS)
            await world.begin("r1", 0)
            world.kill_host(1)
            await world.add_hosts(1)
            await trio.sleep(2.0)
            await world.begin("r2", 0)
            return world.hosts[HOSTS].is_idle()

        self.assertFalse(run_first(task))

    def check_lease(self, is_later_start: bool) -> Grant | Refused:
        """Return what a host gets that starts as the store has lost all leases."""

        async def task(world):
            world.directory.era = world.leases.era = StoreEra(1)
            world.host_rows.era = StoreEra(0 if is_later_start else 1)
            await world.host_rows.get_or_set_first_era(None)
            await world.add_hosts(1)
            await trio.sleep(0.5)
            return await world.hosts[0]._make_lease("phases/writer").acquire()

        return run_first(task)

    def test_later_start_does_not_take_a_lease_that_the_store_has_lost(self):
        """Guards against orders beside those of a holder whose row was lost."""
        self.assertIsInstance(self.check_lease(is_later_start=True), Refused)

    def test_first_start_takes_the_lease_at_once(self):
        """Guards against engines that wait for orders as a system starts."""
        self.assertIsInstance(self.check_lease(is_later_start=False), Grant)

    def test_host_that_restarts_cut_off_from_busy_hosts_is_not_idle(self):
        """Guards against orders to all engines at once by a host that hears of none."""

        async def task(world):
            await world.add_hosts(HOSTS)
            await trio.sleep(2.0)
            world.kill_host(1)
            world.island = {f"10.1.0.{HOSTS + 1}"}
            await world.add_hosts(1)
            await trio.sleep(2.0)
            await world.begin("r1", 0)
            return world.hosts[HOSTS].is_idle()

        self.assertFalse(run_first(task))


if __name__ == "__main__":
    unittest.main()
