"""Responses of the store that arrive slowly or never end."""

import unittest

import trio

from berylshift.platform import names
from berylshift.platform.own_tables import PlatformCheckpoints
from berylshift.store.interfaces import ResponseLostError
from berylshift.tests.entry_world import EntryWorld
from berylshift.tests.support import VirtualTestCase
from berylshift.tests.test_platform_store import StoreWorld

# The rate at which a loaded small host receives a response. A configuration with this
# many routes takes it longer than the wait and the timeout of a feed together.
CHUNK_BYTES = 16384
CHUNK_SECONDS = 0.1
ROUTE_COUNT = 1449
# A change must be in force within this time, so no single read may take longer.
IN_FORCE_SECONDS = 11.0
# Timeout of the calls of ``StoreWorld``.
TIMEOUT_SECONDS = 0.5


class SlowResponder:
    """A responder that sends the body in delayed chunks.

    After ``max_chunks`` it sends nothing more and does not end the response.
    """

    def __init__(
        self,
        responder,
        chunk_bytes: int = CHUNK_BYTES,
        delay_seconds: float = CHUNK_SECONDS,
        max_chunks: float = float("inf"),
    ):
        self._responder = responder
        self._chunk_bytes = chunk_bytes
        self._delay_seconds = delay_seconds
        self._max_chunks = max_chunks

    async def full(self, status: int, headers, body: bytes) -> None:
        await self._responder.start(status, headers)
        for number, start in enumerate(range(0, len(body), self._chunk_bytes)):
            if number >= self._max_chunks:
                await trio.sleep_forever()
            await trio.sleep(self._delay_seconds)
            await self._responder.send(body[start : start + self._chunk_bytes])
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

    The response arrives steadily but takes longer than the timeout. Guards against a
    timeout on the whole response, which would end every retry too: a running host would
    route by the old configuration forever, and a restarted host would have no routes
    and refuse all requests.
    """

    def put(self, world: StoreWorld, version: int, count: int) -> None:
        value = configuration(version, count)
        world.put(names.OPERATOR_TABLE, names.CONFIGURATION_KEY, value)

    def test_running_host_applies_it(self):
        async def task(world):
            world.wrap_responder = SlowResponder
            self.put(world, 1, 1)
            entry = EntryWorld(world.nursery, directory=world.directory)
            entry.checkpoint_rows = PlatformCheckpoints(world.calls)
            host = await entry.add_host()
            first = host.routes.table.version
            self.put(world, 2, ROUTE_COUNT)
            await trio.sleep(IN_FORCE_SECONDS)
            return first, host.routes.table.version, len(host.routes.table.routes)

        self.assertEqual(self.run_store(task), (1, 2, ROUTE_COUNT))

    def test_starting_host_applies_it(self):
        async def task(world):
            self.put(world, 2, ROUTE_COUNT)
            world.wrap_responder = SlowResponder
            entry = EntryWorld(world.nursery, directory=world.directory)
            entry.checkpoint_rows = PlatformCheckpoints(world.calls)
            host = await entry.add_host()
            await trio.sleep(IN_FORCE_SECONDS)
            return host.is_ready()

        self.assertTrue(self.run_store(task))


class UnfinishedResponseTest(SlowStoreCase):
    """A response that starts and never ends.

    After the first chunks the connection delivers nothing more, or a byte now and then.
    Guards against a host that waits for it and misses all changes while the store
    serves the other hosts: the read must end, and the next one use a new connection.
    """

    def seconds_until_lost(self, wrap_responder) -> float:
        async def task(world):
            world.put(names.REPLICA_TABLE, "other", b"x" * CHUNK_BYTES * 8)
            await world.directory.read_replicas()
            world.wrap_responder = wrap_responder
            start = trio.current_time()
            with self.assertRaises(ResponseLostError):
                await world.directory.read_replicas()
            seconds = trio.current_time() - start
            world.wrap_responder = lambda responder: responder
            before = world.dials
            await world.directory.read_replicas()
            self.assertEqual(world.dials, before + 1)
            return seconds

        return self.run_store(task)

    def test_stalled_body_times_out_as_fast_as_a_missing_response(self):
        max_chunks = 3

        def wrap_responder(responder):
            return SlowResponder(responder, max_chunks=max_chunks)

        seconds = self.seconds_until_lost(wrap_responder)
        self.assertAlmostEqual(
            seconds, max_chunks * CHUNK_SECONDS + TIMEOUT_SECONDS, delta=0.01
        )

    def test_trickling_response_ends_in_time(self):
        def wrap_responder(responder):
            return SlowResponder(
                responder, chunk_bytes=1, delay_seconds=0.8 * TIMEOUT_SECONDS
            )

        self.assertLess(self.seconds_until_lost(wrap_responder), IN_FORCE_SECONDS)


if __name__ == "__main__":
    unittest.main()
