"""Answers of the store that come in parts, slowly or not to their end."""

import unittest

import trio

from berylshift.platform import names
from berylshift.store.interfaces import ResponseLostError
from berylshift.tests.entry_world import EntryWorld
from berylshift.tests.support import VirtualTestCase
from berylshift.tests.test_platform_store import StoreWorld

# What a loaded small host takes in at a time, and the seconds for it; a configuration
# of so many routes takes it longer than a feed's wait and time-out together.
PART_BYTES = 16384
PART_SECONDS = 0.1
ROUTES = 1449
# A change must be in force by then; no single read may hold it up longer.
IN_FORCE_SECONDS = 11.0
# The time-out of the world's calls.
TIMEOUT = 0.5


class InParts:
    """A responder that sends an answer in parts, the last of them perhaps never."""

    def __init__(
        self,
        responder,
        size: int = PART_BYTES,
        pause: float = PART_SECONDS,
        most: float = float("inf"),
    ):
        self._responder = responder
        self._size = size
        self._pause = pause
        self._most = most

    async def full(self, status: int, headers, body: bytes) -> None:
        await self._responder.start(status, headers)
        for number, start in enumerate(range(0, len(body), self._size)):
            if number >= self._most:
                await trio.sleep_forever()
            await trio.sleep(self._pause)
            await self._responder.send(body[start : start + self._size])
        await self._responder.end()


def configuration(version: int, count: int) -> dict:
    """Return a configuration of ``count`` routes."""
    routes = [
        {
            "name": f"route-{number}",
            "host": f"shop-{number}.of-a-customer-with-many-shops.example",
            "prefix": f"/all-that-may-be-bought-in-shop-{number}/by-anybody/",
            "route_kind": "idempotent",
            "timeout_ms": 4000,
            "service": "booking",
        }
        for number in range(count)
    ]
    return {"version": version, "routes": routes, "services": [{"name": "booking"}]}


class SlowStoreCase(VirtualTestCase):
    def run_store(self, task):
        async def main():
            async with trio.open_nursery() as nursery:
                result = await task(StoreWorld(nursery))
                nursery.cancel_scope.cancel()
            return result

        return self.run_virtual(main)


class LargeConfigurationTest(SlowStoreCase):
    """A configuration that a small host needs seconds to read.

    The operators' change is acknowledged. The answer that tells it comes steadily but
    takes longer than the store is given to speak: a bound on the whole answer ends each
    read, the first as the last. Callers of a running host get what the old routes say
    for good; one that has started again has no routes and refuses them all.
    """

    def put(self, world: StoreWorld, version: int, count: int) -> None:
        value = configuration(version, count)
        world.put(names.OPERATOR_TABLE, names.CONFIGURATION_KEY, value)

    def test_a_running_host_takes_it_over(self):
        async def task(world):
            world.through = InParts
            self.put(world, 1, 1)
            entry = EntryWorld(world.nursery, directory=world.directory)
            host = await entry.add_host()
            first = host.routes.table.version
            self.put(world, 2, ROUTES)
            await trio.sleep(IN_FORCE_SECONDS)
            return first, host.routes.table.version, len(host.routes.table.routes)

        self.assertEqual(self.run_store(task), (1, 2, ROUTES))

    def test_a_host_that_starts_takes_it_over(self):
        async def task(world):
            self.put(world, 2, ROUTES)
            world.through = InParts
            entry = EntryWorld(world.nursery, directory=world.directory)
            host = await entry.add_host()
            await trio.sleep(IN_FORCE_SECONDS)
            return host.is_ready()

        self.assertTrue(self.run_store(task))


class BrokenOffTest(SlowStoreCase):
    """An answer that has begun and never ends.

    The first part is there, then the connection says nothing more, or a byte now and
    then. Were the host to wait on, it would see no change at all while the store
    answers everybody else; so the read ends and the next one takes a new connection.
    """

    def seconds_until_lost(self, through) -> float:
        async def task(world):
            world.put(names.REPLICA_TABLE, "other", b"x" * PART_BYTES * 8)
            await world.directory.read_replicas()
            world.through = through
            start = trio.current_time()
            with self.assertRaises(ResponseLostError):
                await world.directory.read_replicas()
            seconds = trio.current_time() - start
            world.through = lambda responder: responder
            before = world.dials
            await world.directory.read_replicas()
            self.assertEqual(world.dials, before + 1)
            return seconds

        return self.run_store(task)

    def test_silence_in_the_middle_shows_as_soon_as_at_the_start(self):
        most = 3

        def through(responder):
            return InParts(responder, most=most)

        seconds = self.seconds_until_lost(through)
        self.assertAlmostEqual(seconds, most * PART_SECONDS + TIMEOUT, delta=0.01)

    def test_a_byte_now_and_then_is_no_answer(self):
        def through(responder):
            return InParts(responder, size=1, pause=0.8 * TIMEOUT)

        self.assertLess(self.seconds_until_lost(through), IN_FORCE_SECONDS)


if __name__ == "__main__":
    unittest.main()
