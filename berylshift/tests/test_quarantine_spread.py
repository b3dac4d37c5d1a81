"""What many hosts know of a request under which replicas end, and how soon."""

import random
import unittest

import trio

from berylshift.ids import InstanceId
from berylshift.messages.fingerprint import joined
from berylshift.tests.multi_host_world import MultiHostWorld, Path, WorldHost
from berylshift.tests.test_gossip_collectors import SETTLED_SECONDS, run_world

BAD = joined(7, 1)
# The platform counts a host as in touch after this time without trouble; it also has so
# long to know of the third replica that ended.
STABLE_SECONDS = 3.0
MOST_CRASHES = 3
MOST_SENDS_AFTER = 3
ENGINES = 100
PLAY_SECONDS = 30.0
TRY_SECONDS = 0.3
# Few hosts by the usual budget of bytes, so that each tells all others.
BYTE_BUDGET = 16_384
# Fifty were played by hand; these take some seconds.
SEEDS = range(8)


def holds(host: WorldHost) -> bool:
    """Return whether a host holds the request back."""
    return host.quarantine.wait(BAD, trio.current_time()) > 0


def crash(host: WorldHost, number: int) -> None:
    """Have a host see a replica end under the request."""
    now = trio.current_time()
    host.quarantine.broke_off(BAD, InstanceId(f"engine-{number}"), now)


def two_ends(world: MultiHostWorld) -> None:
    """Have hosts of different domains, none of which collects, see one end each."""
    others = [host for host in world.hosts if not host.peers.is_collector]
    first = others[0]
    second = next(host for host in others if host.domain != first.domain)
    crash(first, 1)
    crash(second, 2)


class SpreadTest(unittest.TestCase):
    """Thirty hosts in five domains, of which one each collects."""

    def test_all_hosts_know_in_half_of_the_time(self):
        """Two hosts of different domains each see one replica end."""

        async def task(world):
            two_ends(world)
            await trio.sleep(STABLE_SECONDS / 2)
            return [holds(host) for host in world.hosts]

        self.assertEqual(set(run_world(task)), {True})

    def test_a_host_that_starts_again_hears_of_it(self):
        async def task(world):
            two_ends(world)
            await trio.sleep(10)
            again = world.restart(world.hosts[9])
            await trio.sleep(SETTLED_SECONDS)
            return holds(again)

        self.assertTrue(run_world(task))

    def test_a_host_that_was_cut_off_hears_of_it(self):
        async def task(world):
            cut = world.hosts[9]
            world.net.paths[cut.address] = Path.CUT
            await trio.sleep(2)
            two_ends(world)
            await trio.sleep(5)
            before = holds(cut)
            world.net.paths[cut.address] = Path.OPEN
            await trio.sleep(STABLE_SECONDS)
            return before, holds(cut)

        self.assertEqual(run_world(task), (False, True))

    def test_what_finishes_is_cleared_everywhere(self):
        async def task(world):
            two_ends(world)
            await trio.sleep(2)
            world.hosts[12].quarantine.finished(BAD, trio.current_time())
            await trio.sleep(STABLE_SECONDS / 2)
            return [holds(host) for host in world.hosts]

        self.assertEqual(set(run_world(task)), {False})


class TroubledPlay:
    """A bad caller among hosts that are cut off, stand still and start again."""

    def __init__(self, world: MultiHostWorld, seed: int):
        """Play in ``world``."""
        self.world = world
        self.rng = random.Random(seed)
        self.crashes: list[float] = []
        self.sends: list[float] = []
        self.troubled_until: dict[str, float] = {}

    async def run(self) -> None:
        """Play to the end."""
        with trio.move_on_after(PLAY_SECONDS):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._trouble)
                while True:
                    await trio.sleep(TRY_SECONDS * self.rng.random() * 2)
                    self._try(self.rng.choice(self.world.hosts))

    def _try(self, host: WorldHost) -> None:
        if holds(host):
            return
        now = trio.current_time()
        self.crashes.append(now)
        if now >= self.troubled_until.get(host.name, 0.0):
            self.sends.append(now)
        crash(host, self.rng.randrange(ENGINES))

    async def _trouble(self) -> None:
        """Trouble a host after the other, some of them at the same time."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self.rng.uniform(0.2, 1.5))
                nursery.start_soon(self._trouble_one, self.rng.choice(self.world.hosts))

    async def _trouble_one(self, host: WorldHost) -> None:
        lasts = self.rng.uniform(0.3, 4.0)
        until = trio.current_time() + lasts + STABLE_SECONDS
        self.troubled_until[host.name] = max(
            until, self.troubled_until.get(host.name, 0.0)
        )
        match self.rng.randrange(3):
            case 0:
                if host in self.world.hosts:
                    self.world.restart(host)
            case 1:
                await self._on_path(host, Path.CUT, lasts)
            case 2:
                await self._on_path(host, Path.HELD, lasts)

    async def _on_path(self, host: WorldHost, path: Path, lasts: float) -> None:
        self.world.net.paths[host.address] = path
        await trio.sleep(lasts)
        self.world.net.paths[host.address] = Path.OPEN

    @property
    def sends_after(self) -> int:
        """Return the sends of hosts in touch that should have known."""
        if len(self.crashes) < MOST_CRASHES:
            return 0
        known_at = self.crashes[MOST_CRASHES - 1] + STABLE_SECONDS
        return sum(at > known_at for at in self.sends)


def play(seed: int, hosts: int, domains: int, byte_budget: int) -> TroubledPlay:
    """Play one seed."""

    async def task(world):
        found = TroubledPlay(world, seed)
        await found.run()
        return found

    return run_world(task, hosts, domains, byte_budget)


class TroubledHostsTest(unittest.TestCase):
    """A caller comes again at any host, while hosts are in trouble of every kind.

    A host that was cut off, stood still or has just started does not know yet, and
    sends the request out; one that has been in touch for a while must hold it back.
    """

    def check(self, hosts: int, domains: int, byte_budget: int) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                found = play(seed, hosts, domains, byte_budget)
                self.assertGreater(len(found.crashes), 0)
                self.assertLessEqual(found.sends_after, MOST_SENDS_AFTER)

    def test_few_hosts(self):
        self.check(9, 4, BYTE_BUDGET)

    def test_many_hosts(self):
        self.check(30, 5, 4096)
