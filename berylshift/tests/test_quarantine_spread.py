"""Tests how fast many hosts learn of a request that crashes replicas."""

import random
import unittest

import trio

from berylshift.ids import InstanceId
from berylshift.messages.fingerprint import combine_hashes
from berylshift.tests.multi_host_world import MultiHostWorld, Path, WorldHost
from berylshift.tests.test_gossip_collectors import SETTLED_SECONDS, run_world

BAD = combine_hashes(7, 1)
# The platform counts a host as connected after this time without faults, and allows it
# the same time to learn of the third crash.
STABLE_SECONDS = 3.0
MAX_CRASHES = 3
MAX_SENDS_AFTER = 3
ENGINES = 100
RUN_SECONDS = 30.0
MEAN_RETRY_SECONDS = 0.3
# The default byte budget; with few hosts, each of them sends to all others.
BYTE_BUDGET = 16_384
# These take some seconds; fifty were run by hand.
SEEDS = range(8)


def has_quarantined(host: WorldHost) -> bool:
    """Return whether a host has quarantined the request."""
    return host.quarantine.remaining_seconds(BAD, trio.current_time()) > 0


def crash(host: WorldHost, number: int) -> None:
    """Have a host observe a replica crash during the request."""
    now = trio.current_time()
    host.quarantine.record_crash(BAD, InstanceId(f"engine-{number}"), now)


def crash_two_replicas(world: MultiHostWorld) -> None:
    """Have two hosts of different domains, neither a collector, observe one crash."""
    others = [host for host in world.hosts if not host.peers.is_collector]
    first = others[0]
    second = next(host for host in others if host.domain != first.domain)
    crash(first, 1)
    crash(second, 2)


class PropagationTest(unittest.TestCase):
    """Thirty hosts in five domains, each of which has one collector."""

    def test_all_hosts_learn_in_half_of_the_allowed_time(self):
        """Two hosts of different domains each observe one crash."""

        async def task(world):
            crash_two_replicas(world)
            await trio.sleep(STABLE_SECONDS / 2)
            return [has_quarantined(host) for host in world.hosts]

        self.assertEqual(set(run_world(task)), {True})

    def test_a_restarted_host_learns_of_it(self):
        async def task(world):
            crash_two_replicas(world)
            await trio.sleep(10)
            restarted = world.restart(world.hosts[9])
            await trio.sleep(SETTLED_SECONDS)
            return has_quarantined(restarted)

        self.assertTrue(run_world(task))

    def test_a_partitioned_host_learns_of_it_afterwards(self):
        async def task(world):
            partitioned = world.hosts[9]
            world.net.paths[partitioned.address] = Path.CUT
            await trio.sleep(2)
            crash_two_replicas(world)
            await trio.sleep(5)
            before = has_quarantined(partitioned)
            world.net.paths[partitioned.address] = Path.OPEN
            await trio.sleep(STABLE_SECONDS)
            return before, has_quarantined(partitioned)

        self.assertEqual(run_world(task), (False, True))

    def test_completed_request_is_cleared_at_all_hosts(self):
        async def task(world):
            crash_two_replicas(world)
            await trio.sleep(2)
            world.hosts[12].quarantine.record_completion(BAD, trio.current_time())
            await trio.sleep(STABLE_SECONDS / 2)
            return [has_quarantined(host) for host in world.hosts]

        self.assertEqual(set(run_world(task)), {False})


class FaultSchedule:
    """A caller that retries a crashing request while hosts suffer random faults."""

    def __init__(self, world: MultiHostWorld, seed: int):
        """Use ``world``, with random choices from ``seed``."""
        self.world = world
        self.rng = random.Random(seed)
        self.crashes: list[float] = []
        self.sends: list[float] = []
        self.faulty_until: dict[str, float] = {}

    async def run(self) -> None:
        """Run for ``RUN_SECONDS``."""
        with trio.move_on_after(RUN_SECONDS):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._inject_faults)
                while True:
                    await trio.sleep(MEAN_RETRY_SECONDS * self.rng.random() * 2)
                    self._send_request(self.rng.choice(self.world.hosts))

    def _send_request(self, host: WorldHost) -> None:
        if has_quarantined(host):
            return
        now = trio.current_time()
        self.crashes.append(now)
        if now >= self.faulty_until.get(host.name, 0.0):
            self.sends.append(now)
        crash(host, self.rng.randrange(ENGINES))

    async def _inject_faults(self) -> None:
        """Inject faults into one host after another, some of them overlapping."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self.rng.uniform(0.2, 1.5))
                nursery.start_soon(
                    self._inject_fault, self.rng.choice(self.world.hosts)
                )

    async def _inject_fault(self, host: WorldHost) -> None:
        fault_seconds = self.rng.uniform(0.3, 4.0)
        until = trio.current_time() + fault_seconds + STABLE_SECONDS
        self.faulty_until[host.name] = max(until, self.faulty_until.get(host.name, 0.0))
        match self.rng.randrange(3):
            case 0:
                if host in self.world.hosts:
                    self.world.restart(host)
            case 1:
                await self._set_path(host, Path.CUT, fault_seconds)
            case 2:
                await self._set_path(host, Path.HELD, fault_seconds)

    async def _set_path(
        self, host: WorldHost, path: Path, fault_seconds: float
    ) -> None:
        self.world.net.paths[host.address] = path
        await trio.sleep(fault_seconds)
        self.world.net.paths[host.address] = Path.OPEN

    @property
    def sends_after(self) -> int:
        """Return the sends by connected hosts that should have quarantined it."""
        if len(self.crashes) < MAX_CRASHES:
            return 0
        quarantined_at = self.crashes[MAX_CRASHES - 1] + STABLE_SECONDS
        return sum(at > quarantined_at for at in self.sends)


def run_schedule(
    seed: int, hosts: int, domains: int, byte_budget: int
) -> FaultSchedule:
    """Run the fault schedule of one seed."""

    async def task(world):
        schedule = FaultSchedule(world, seed)
        await schedule.run()
        return schedule

    return run_world(task, hosts, domains, byte_budget)


class FaultyHostsTest(unittest.TestCase):
    """A caller retries at random hosts while the hosts suffer faults of all kinds.

    A host that was partitioned, paused or has just started doesn't know the request yet
    and may send it; one that has been connected for a while must quarantine it.
    """

    def check(self, hosts: int, domains: int, byte_budget: int) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                schedule = run_schedule(seed, hosts, domains, byte_budget)
                self.assertGreater(len(schedule.crashes), 0)
                self.assertLessEqual(schedule.sends_after, MAX_SENDS_AFTER)

    def test_few_hosts(self):
        self.check(9, 4, BYTE_BUDGET)

    def test_many_hosts(self):
        self.check(30, 5, 4096)
