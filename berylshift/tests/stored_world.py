"""Entry hosts that read all their tables from the store's stand-in, over HTTP."""

from collections.abc import Iterable

import msgspec
import trio

from berylshift.connection.http_client import HttpClient
from berylshift.connection.http_server import HttpServer
from berylshift.connection.load_codec import LoadCodec
from berylshift.ids import ServiceName
from berylshift.platform import names
from berylshift.platform.own_tables import (
    PlatformBlockCrashes,
    PlatformCheckpoints,
    PlatformCrashes,
    PlatformHosts,
    PlatformLeases,
    PlatformScaling,
    PlatformUsage,
)
from berylshift.platform.store import PlatformDirectory
from berylshift.stand_ins.entry_replica import EntryReplica
from berylshift.stand_ins.pipes import Pipe, pipe_pair
from berylshift.stand_ins.store_server import StoreRow, StoreServer
from berylshift.store.client import StoreClient
from berylshift.tests.entry_world import HOST, PLAIN, EntryWorld
from berylshift.tests.support import run_virtual

STORE_ADDRESS = "10.9.0.1:80"


class StoredWorld(EntryWorld):
    """Hosts, replicas, and a store whose rows tests write as bytes."""

    def __init__(self, nursery: trio.Nursery):
        """Start with an empty store."""
        super().__init__(nursery)
        self.store = StoreServer()
        self.digest_codec = LoadCodec("key")
        self._store_server = HttpServer(self.store.handle)
        self.calls = StoreClient(HttpClient(self._dial_store), STORE_ADDRESS, 0.5)
        self.leases = PlatformLeases(self.calls)
        self.host_rows = PlatformHosts(self.calls)
        self.checkpoint_rows = PlatformCheckpoints(self.calls)
        self.crash_rows = PlatformCrashes(self.calls)
        self.block_crash_rows = PlatformBlockCrashes(self.calls)
        self.usage_rows = PlatformUsage(self.calls)
        self.scale_rows = PlatformScaling(self.calls)

    async def _dial_store(self, address: str) -> Pipe:
        near, far = pipe_pair()
        self.nursery.start_soon(self._store_server.serve_stream, far)
        return near

    def directory_for(self, address: str) -> PlatformDirectory:
        """Return a directory that reads the store."""
        return PlatformDirectory(self.calls)

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row; bytes as they are, other values as JSON."""
        data = value if isinstance(value, bytes) else msgspec.json.encode(value)
        self.store.version += 1
        row = StoreRow(table, key, data, self.store.version)
        self.store.rows[table, key] = row
        self.store.log.append(row)
        self.store.changed.set()
        self.store.changed = trio.Event()

    def entry(
        self, replica: EntryReplica, service: ServiceName = PLAIN, **more: object
    ) -> dict[str, object]:
        """Return a replica's sound entry."""
        return {
            "service": service,
            "address": replica.address,
            "zone": "domain-1",
            "version": "v1",
            "batch_slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "phase": replica.phase,
            "born": replica.started_ms or 1,
            **more,
        }

    def list_replica(
        self, replica: EntryReplica, service: ServiceName, draining: bool = False
    ) -> None:
        """Write a replica's entry."""
        state = "draining" if draining else "ready"
        entry = self.entry(replica, service, state=state)
        self.put(names.REPLICA_TABLE, replica.instance, entry)

    def put_configuration(self, version: int, paths: Iterable[str]) -> None:
        """Write a configuration with one idempotent route for each path."""
        routes = [
            {
                "name": path,
                "host": HOST,
                "prefix": f"/{path}/",
                "route_kind": "idempotent",
                "timeout_ms": 4000,
                "target_latency_ms": 500,
                "service": PLAIN,
                "max_attempts": 2,
            }
            for path in paths
        ]
        value = {"version": version, "routes": routes, "services": [{"name": PLAIN}]}
        self.put(names.OPERATOR_TABLE, names.CONFIGURATION_KEY, value)


def run_stored(task):
    """Run ``task(world)`` beside two listed replicas and routes; no host runs yet."""

    async def main():
        async with trio.open_nursery() as nursery:
            world = StoredWorld(nursery)
            world.put_configuration(1, ["look"])
            world.add_replica("sound-1")
            world.add_replica("sound-2")
            result = await task(world)
            nursery.cancel_scope.cancel()
        return result

    return run_virtual(main)
