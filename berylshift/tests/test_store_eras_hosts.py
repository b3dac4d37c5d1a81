"""Hosts among each other once the store has come back from an older copy."""

import unittest

import trio

from berylshift.process.gossip.protocol import PROBE_SECONDS
from berylshift.tests.multi_host_world import MultiHostWorld, Path
from berylshift.tests.test_gossip_collectors import BOUND_SECONDS, run_world

BYTE_BUDGET = 16_384
HOSTS = 9
DOMAINS = 4


def run_few(task):
    """Run ``task(world)`` with hosts that tell each other directly."""
    return run_world(task, HOSTS, DOMAINS, BYTE_BUDGET)


def heard_by(world: MultiHostWorld, seconds: float) -> list[int]:
    """Return how many others each host has heard within ``seconds``."""
    now = trio.current_time()
    return [
        sum(now - at < seconds for at in host.peers._heard_at.values())
        for host in world.hosts
    ]


class JoinAgainTest(unittest.TestCase):
    """What hosts wrote since the copy is lost."""

    def test_hosts_do_not_split_into_two_groups(self):
        """The key's row is lost, and a host that starts writes another key.

        Hosts that keep the former one would hear neither it nor each host that starts
        later; both groups would take the other's work for none.
        """

        async def task(world):
            world.store.restore(60)
            world.store.put_routes(world.store._copies[0][1].routes[1])
            world.rows.lose([host.name for host in world.hosts], key=True)
            world.start(HOSTS, DOMAINS)
            await trio.sleep(BOUND_SECONDS + 4)
            return heard_by(world, PROBE_SECONDS + 1.0)

        self.assertEqual(run_few(task), [HOSTS] * (HOSTS + 1))

    def test_hosts_whose_rows_are_lost_are_found_by_those_that_start(self):
        async def task(world):
            world.store.restore(60)
            world.rows.lose([host.name for host in world.hosts[:4]])
            await trio.sleep(BOUND_SECONDS)
            return len(await world.rows.hosts())

        self.assertEqual(run_few(task), HOSTS)


class WordTest(unittest.TestCase):
    """Thirty hosts, two of which follow the store for all."""

    def test_an_old_word_hides_nothing(self):
        """A host stands still through the restore; its words of before come late.

        Their revisions are higher than those of the new era. A host that goes by the
        number alone takes what is new for known.
        """

        async def task(world):
            for _ in range(20):
                world.put_routes()
                await trio.sleep(0.1)
            held = [host for host in world.hosts if host.watch.follows][0]
            world.net.paths[held.address] = Path.HELD
            world.store.restore(1.5)
            version = world.put_routes()
            await trio.sleep(1.0)
            world.net.paths[held.address] = Path.OPEN
            await trio.sleep(BOUND_SECONDS)
            return version, {host.version for host in world.hosts}

        version, found = run_world(task)
        self.assertEqual(found, {version})

    def test_all_hosts_know_the_era_soon(self):
        async def task(world):
            world.store.restore(1.0)
            await trio.sleep(BOUND_SECONDS)
            return {host.watch.eras.current for host in world.hosts}

        self.assertEqual(run_world(task), {1})

    def test_a_host_that_the_store_turns_away_hears_of_the_era(self):
        """It serves on by what it has, and reads as soon as it gets through."""

        async def task(world):
            host = next(each for each in world.hosts if not each.watch.follows)
            host.view.refused = True
            await trio.sleep(1)
            world.store.restore(1.0)
            version = world.put_routes()
            await trio.sleep(BOUND_SECONDS)
            era, before = host.watch.eras.current, host.version
            host.view.refused = False
            await trio.sleep(BOUND_SECONDS)
            return era, before > 0, host.version == version

        self.assertEqual(run_world(task), (1, True, True))
