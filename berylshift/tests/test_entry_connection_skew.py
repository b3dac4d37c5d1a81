"""Tests most new connections at one host: of four, then at another one."""

import random
import unittest

import trio

from berylshift.stand_ins.entry_replica import Fault
from berylshift.tests.entry_world import EntryWorld, prompt_headers, run_entry

HOSTS = 4
PER_SECOND = 30
SKEWED_SHARE = 0.95
# Even at first, then skewed to one host and to another one.
PHASE_SECONDS = 8.0
# The platform's bound, from the time on that hosts have to adapt.
STABLE_SECONDS = 3.0
MIN_SERVED = 0.75
RATE_LIMIT = 20.0


class SkewScenario:
    """Requests, each tried once; new connections go mostly to one host."""

    def __init__(self, world: EntryWorld, path: str, headers=()):
        """Send requests to ``path``."""
        self.world = world
        self.path = path
        self.headers = headers
        self.rng = random.Random(1)
        self.served: list[tuple[float, bool]] = []

    async def run(self) -> None:
        """Run the three phases."""
        async with trio.open_nursery() as nursery:
            for number in range(int(3 * PHASE_SECONDS * PER_SECOND)):
                at = number / PER_SECOND
                nursery.start_soon(self._ask, number, at, self._host(at))
                await trio.sleep(1 / PER_SECOND)

    def _host(self, at: float) -> int:
        phase = int(at / PHASE_SECONDS)
        if phase == 0 or self.rng.random() >= SKEWED_SHARE:
            return self.rng.randrange(HOSTS)
        return phase

    async def _ask(self, number: int, at: float, host: int) -> None:
        reply = await self.world.ask(
            self.path, f"r{number}", host=host, headers=self.headers
        )
        self.served.append((at, reply.status == 200 and reply.whole))

    def share(self, phase: int) -> float:
        """Return the share served in a phase, from the time on that counts."""
        begin = phase * PHASE_SECONDS + STABLE_SECONDS
        found = [ok for at, ok in self.served if begin <= at < begin + 5.0]
        return sum(found) / len(found)


class ConnectionSkewTest(unittest.TestCase):
    """Guards against hosts that count on an equal share of the requests."""

    def check(self, path: str, headers=(), prepare=lambda world: None) -> None:
        async def task(world):
            prepare(world)
            scenario = SkewScenario(world, path, headers)
            await scenario.run()
            return [scenario.share(phase) for phase in range(3)]

        even, *skewed = run_entry(task, hosts=HOSTS, plain=4, engines="ppdddd")
        self.assertGreaterEqual(min(skewed), MIN_SERVED * even)

    def test_plain_requests_are_served(self):
        """Guards against bounds for one host that its usual share just fits."""
        self.check("/look/x")

    def test_streams_are_served(self):
        """Guards against room at engines that is divided by hosts."""
        self.check("/note/x", prompt_headers())

    def test_failed_attempts_are_retried(self):
        """Guards against a retry budget that only the usual share gets."""

        def fail_some(world: EntryWorld) -> None:
            for replica in world.replicas.values():
                replica.faults = ([Fault.ERROR] + [None] * 9) * 200

        self.check("/look/x", prepare=fail_some)

    def test_rate_limits_leave_room_where_the_requests_are(self):
        """Guards against shares of replicas' limits that go unused at other hosts."""

        def limit(world: EntryWorld) -> None:
            for replica in world.replicas.values():
                replica.rate_limit = RATE_LIMIT

        self.check("/look/x", prepare=limit)
