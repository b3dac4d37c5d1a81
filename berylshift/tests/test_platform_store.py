"""The adapter's store clients against the stand-in, over HTTP."""

import base64
import unittest

import msgspec
import trio

from berylshift.connection.http_client import HttpClient, Outgoing
from berylshift.connection.http_server import HttpServer
from berylshift.ids import StoreEra
from berylshift.messages.fingerprint import combine_hashes
from berylshift.platform import names
from berylshift.platform.own_tables import (
    PlatformCrashes,
    PlatformHosts,
    PlatformLeases,
)
from berylshift.platform.store import PlatformDirectory
from berylshift.stand_ins.pipes import pipe_pair
from berylshift.stand_ins.store_server import StoreRow, StoreServer
from berylshift.store.client import StoreClient
from berylshift.store.crash_rows import CrashRow
from berylshift.store.directory import HistoryLostError
from berylshift.store.host_rows import HostRecord
from berylshift.store.interfaces import (
    MalformedEntryError,
    ResponseLostError,
    StoreThrottledError,
    StoreUnavailableError,
)
from berylshift.store.lease_rows import LeaseRecord
from berylshift.tests.support import VirtualTestCase

ADDRESS = "10.0.0.1:80"
FINGERPRINT = combine_hashes(7, 1)
LATE_SECONDS = 1.0
ENTRY = {
    "service": "s",
    "address": "10.0.0.9:80",
    "zone": "z",
    "version": "v1",
    "batch_slots": 8,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 1,
}


class StoreWorld:
    """A store stand-in and its client; ``status`` and ``silent`` inject faults."""

    def __init__(self, nursery: trio.Nursery):
        self.nursery = nursery
        self.store = StoreServer()
        self.server = HttpServer(self.handle)
        self.status = 0
        self.silent = False
        # Returns the responder to use in place of the given one.
        self.wrap_responder = lambda responder: responder
        self.client = HttpClient(self.dial)
        self.calls = StoreClient(self.client, ADDRESS, 0.5)
        self.directory = PlatformDirectory(self.calls)
        self.dials = 0

    async def dial(self, address: str):
        self.dials += 1
        near, far = pipe_pair()
        self.nursery.start_soon(self.server.serve_stream, far)
        return near

    async def handle(self, req, responder) -> None:
        if self.silent:
            await trio.sleep_forever()
        if self.status:
            await responder.full(self.status, {}, b"{}")
            return
        await self.store.handle(req, self.wrap_responder(responder))

    def put(self, table: str, key: str, value: object) -> None:
        self.store.version += 1
        data = value if isinstance(value, bytes) else msgspec.json.encode(value)
        row = StoreRow(table, key, data, self.store.version)
        self.store.rows[table, key] = row
        self.store.log.append(row)

    def remove(self, table: str, key: str) -> None:
        self.store.version += 1
        self.store.rows.pop((table, key), None)
        row = StoreRow(table, key, b"", self.store.version, deleted=True)
        self.store.log.append(row)


class LateWrites(StoreClient):
    """Calls whose writes are performed late."""

    async def post(self, path: str, body: bytes):
        """Make a call late."""
        await trio.sleep(LATE_SECONDS)
        return await super().post(path, body)


class StoreClientCase(VirtualTestCase):
    """Runs a task against a store."""

    def run_store(self, task):
        async def main():
            async with trio.open_nursery() as nursery:
                result = await task(StoreWorld(nursery))
                nursery.cancel_scope.cancel()
            return result

        return self.run_virtual(main)


class ReplicaFeedTest(StoreClientCase):
    """The list of replicas and its changes."""

    def test_entry_that_expired_and_was_written_again_is_listed(self):
        """Entries expire while the store is down and are written again afterwards.

        One response of the feed contains both changes in order. If removals and writes
        were collected separately, the removals would win: a host would drop every
        replica two seconds later and refuse all requests although each one is listed.
        """

        async def task(world):
            world.put(names.REPLICA_TABLE, "i-1", ENTRY)
            first = await world.directory.read_replicas()
            world.remove(names.REPLICA_TABLE, "i-1")
            world.put(names.REPLICA_TABLE, "i-1", ENTRY)
            return await world.directory.await_replicas(first.revision, 1.0)

        changes = self.run_store(task)
        self.assertEqual([rep.instance for rep in changes.put], ["i-1"])
        self.assertEqual(changes.removed, ())

    def test_entry_that_was_written_and_removed_is_not_listed(self):
        async def task(world):
            first = await world.directory.read_replicas()
            world.put(names.REPLICA_TABLE, "i-1", ENTRY)
            world.remove(names.REPLICA_TABLE, "i-1")
            return await world.directory.await_replicas(first.revision, 1.0)

        changes = self.run_store(task)
        self.assertEqual((changes.put, changes.removed), ((), ("i-1",)))

    def test_pages_are_joined(self):
        async def task(world):
            for number in range(1203):
                world.put(names.REPLICA_TABLE, f"i-{number:04}", ENTRY)
            return await world.directory.read_replicas()

        self.assertEqual(len(self.run_store(task).put), 1203)

    def test_malformed_entry_does_not_hide_the_others(self):
        async def task(world):
            world.put(names.REPLICA_TABLE, "i-1", b"rubbish")
            world.put(names.REPLICA_TABLE, "i-2", ENTRY)
            with self.assertLogs("berylshift.platform.store", "WARNING") as logs:
                changes = await world.directory.read_replicas()
            return changes, logs.records[0].reason

        changes, reason = self.run_store(task)
        self.assertEqual([rep.instance for rep in changes.put], ["i-2"])
        self.assertIn("i-1", reason)

    def test_malformed_rows_do_not_hide_replicas(self):
        """Another writer adds rows whose value or key can't be decoded.

        Guards against decoding all rows at once: one such row would make the whole list
        undecodable, and every host would keep its last state forever.
        """

        async def task(world):
            world.put(names.REPLICA_TABLE, "i-1", ENTRY)
            world.store.bad_rows = [
                b'{"table":"servers","key":"i-2","value":"no base64!","row_version":1}',
                b'{"table":"servers","key":"i-3","value":17,"row_version":1}',
                b'{"table":"servers","key":7,"value":"","row_version":1}',
                b'["not a row"]',
            ]
            full = await world.directory.read_replicas()
            world.put(names.REPLICA_TABLE, "i-4", ENTRY)
            changes = await world.directory.await_replicas(full.revision, 1.0)
            return full, changes

        full, changes = self.run_store(task)
        self.assertEqual([rep.instance for rep in full.put], ["i-1"])
        self.assertEqual([rep.instance for rep in changes.put], ["i-4"])
        self.assertEqual(changes.removed, ("i-2", "i-3"))

    def test_entry_overwritten_by_another_writer_is_not_a_replica(self):
        async def task(world):
            world.put(names.REPLICA_TABLE, "i-1", ENTRY)
            first = await world.directory.read_replicas()
            world.put(names.REPLICA_TABLE, "i-1", {**ENTRY, "state": "dancing"})
            return await world.directory.await_replicas(first.revision, 1.0)

        changes = self.run_store(task)
        self.assertEqual((changes.put, changes.removed), ((), ("i-1",)))

    def test_rows_of_another_part_are_ignored(self):
        async def task(world):
            world.put(names.REPLICA_TABLE, "i-1", ENTRY)
            value = base64.b64encode(msgspec.json.encode(ENTRY)).decode()
            row = {"table": "servers", "key": "i-2", "part": "x", "value": value}
            world.store.bad_rows = [msgspec.json.encode(row)]
            return await world.directory.read_replicas()

        self.assertEqual([rep.instance for rep in self.run_store(task).put], ["i-1"])

    def test_feed_without_changes_ends_after_its_wait(self):
        async def task(world):
            first = await world.directory.read_replicas()
            start = trio.current_time()
            changes = await world.directory.await_replicas(first.revision, 1.5)
            return changes, trio.current_time() - start

        changes, seconds = self.run_store(task)
        self.assertEqual((changes.put, changes.removed), ((), ()))
        self.assertAlmostEqual(seconds, 1.5, delta=0.1)


class RouteFeedTest(StoreClientCase):
    """The operators' configuration."""

    CONFIG = {"version": 3, "routes": [], "services": []}

    def test_only_the_configuration_row_is_used(self):
        async def task(world):
            world.put(names.OPERATOR_TABLE, "other", {"version": 99})
            before = await world.directory.read_routes()
            world.put(names.OPERATOR_TABLE, names.CONFIGURATION_KEY, self.CONFIG)
            after = await world.directory.await_routes(before.revision, 1.0)
            return before, after

        before, after = self.run_store(task)
        self.assertIsNone(before.table)
        self.assertEqual(after.table.version, 3)

    def test_malformed_configuration_error_names_it(self):
        async def task(world):
            world.put(names.OPERATOR_TABLE, names.CONFIGURATION_KEY, b"{")
            with self.assertRaisesRegex(MalformedEntryError, "configuration"):
                await world.directory.read_routes()

        self.run_store(task)


class FailureTest(StoreClientCase):
    """Error statuses of the store and dead connections."""

    def error_with_status(self, status: int):
        async def task(world):
            world.status = status
            try:
                await world.directory.await_replicas(1, 1.0)
            except Exception as exc:
                return type(exc)

        return self.run_store(task)

    def test_errors_of_statuses(self):
        self.assertIs(self.error_with_status(410), HistoryLostError)
        self.assertTrue(issubclass(self.error_with_status(503), StoreUnavailableError))
        self.assertTrue(issubclass(self.error_with_status(429), StoreUnavailableError))
        self.assertIs(self.error_with_status(500), ResponseLostError)
        self.assertFalse(issubclass(HistoryLostError, StoreThrottledError))

    def test_dead_connection_is_replaced_by_a_new_one(self):
        """A pooled connection delivers nothing more, without an error.

        The call must time out, and the next one must not use a pooled connection.
        """

        async def task(world):
            await world.directory.read_replicas()
            world.silent = True
            with self.assertRaises(ResponseLostError):
                await world.directory.read_replicas()
            world.silent = False
            before = world.dials
            await world.directory.read_replicas()
            return world.dials - before

        self.assertEqual(self.run_store(task), 1)


class RowsTest(StoreClientCase):
    """Leases, hosts and crashes."""

    def test_lease_is_written_only_at_the_expected_revision(self):
        async def task(world):
            leases = PlatformLeases(world.calls)
            empty = await leases.read("a")
            record = LeaseRecord("h1", "g1", 5)
            first = await leases.compare_and_swap("a", record, empty.revision)
            second = await leases.compare_and_swap("a", record, empty.revision)
            return first, second, await leases.read("a"), record

        first, second, row, record = self.run_store(task)
        self.assertIsNone(second)
        self.assertEqual((row.record, row.revision), (record, first.revision))

    def test_revision_newer_than_a_restored_store_is_lost_history(self):
        async def task(world):
            crashes = PlatformCrashes(world.calls)
            for number in range(4):
                await crashes.change((CrashRow(FINGERPRINT, number, 900),), ())
                await trio.sleep(1)
            known = (await world.directory.read_replicas()).revision
            world.store.restore(2.5)
            with self.assertRaises(HistoryLostError):
                await world.directory.await_replicas(known, 1.0)
            remaining = await crashes.read()
            return len(remaining.rows), remaining.era

        self.assertEqual(self.run_store(task), (2, 1))

    def test_changes_before_the_kept_history_are_lost(self):
        """Guards against a stand-in that keeps its history longer than the platform."""

        async def task(world):
            crashes = PlatformCrashes(world.calls)
            revisions = []
            for number in range(4):
                await crashes.change((CrashRow(FINGERPRINT, number, 900),), ())
                revisions.append((await world.directory.read_replicas()).revision)
                await trio.sleep(8)
            for lost in revisions[:1]:
                with self.assertRaises(HistoryLostError):
                    await world.directory.await_replicas(lost, 0.0)
            for kept in revisions[1:]:
                await world.directory.await_replicas(kept, 0.0)

        self.run_store(task)

    def test_the_store_holds_no_more_after_a_long_time(self):
        """Guards against a stand-in whose memory grows with the writes so far."""

        async def task(world):
            crashes = PlatformCrashes(world.calls)
            sizes = []
            for number in range(400):
                await crashes.change((CrashRow(FINGERPRINT, number % 3, 900),), ())
                await trio.sleep(0.5)
                store = world.store
                held = sum(len(each.log) for each in store.snapshots)
                sizes.append((len(store.log), len(store.snapshots), held))
            world.store.restore(50.0)
            self.assertEqual(len((await crashes.read()).rows), 3)
            return sizes

        sizes = self.run_store(task)
        self.assertEqual(sizes[200], sizes[399])

    def test_responses_contain_the_era(self):
        async def task(world):
            world.put(names.REPLICA_TABLE, "i-1", msgspec.json.encode(ENTRY))
            first = (await world.directory.read_replicas()).era
            world.store.era = 3
            leases = PlatformLeases(world.calls)
            row = await leases.read("a")
            record = LeaseRecord("h1", "g1", 5000, row.era)
            granted = await leases.compare_and_swap("a", record, row.revision)
            later = await world.directory.read_replicas()
            routes = await world.directory.read_routes()
            return first, row.era, granted.era, later.era, routes.era

        self.assertEqual(self.run_store(task), (0, 3, 3, 3, 3))

    def test_era_that_is_not_a_number_is_an_error(self):
        async def task(world):
            world.store.era = "x"
            with self.assertRaises(ResponseLostError):
                await world.directory.read_replicas()

        self.run_store(task)

    def test_all_hosts_share_the_first_key(self):
        async def task(world):
            hosts = PlatformHosts(world.calls)
            keys = [await hosts.get_or_set_shared_key(f"k{n}") for n in range(3)]
            for name in ("h1", "h2"):
                await hosts.announce(HostRecord(name, "10.0.0.1:9"))
            return keys, await hosts.hosts()

        keys, found = self.run_store(task)
        self.assertEqual(set(keys), {"k0"})
        self.assertEqual([record.host for record in found], ["h1", "h2"])

    def test_era_of_the_first_join_outlasts_a_restore(self):
        """Guards against a later start that is taken for the system's first one."""

        async def task(world):
            hosts = PlatformHosts(world.calls)
            world.store.era = 3
            eras = [await hosts.get_or_set_first_era(None) for _ in range(2)]
            world.store.era = 4
            return [*eras, await hosts.get_or_set_first_era(None)]

        self.assertEqual(self.run_store(task), [3, 3, 3])

    def test_era_of_the_first_join_is_written_again_once_it_is_lost(self):
        """Guards against a restore that makes each later start the first one."""

        async def task(world):
            hosts = PlatformHosts(world.calls)
            world.store.era = 4
            eras = [await hosts.get_or_set_first_era(StoreEra(3))]
            return [*eras, await hosts.get_or_set_first_era(None)]

        self.assertEqual(self.run_store(task), [3, 3])

    def test_era_of_the_first_join_that_can_not_be_read(self):
        """Guards against odd bytes that make a later start the first one."""

        async def task(world):
            world.store.era = 4
            world.put(names.KEY_TABLE, names.FIRST_ERA_KEY, b"\xff")
            return await PlatformHosts(world.calls).get_or_set_first_era(None)

        self.assertEqual(self.run_store(task), 0)

    def test_hosts_join_in_the_order_of_the_stores_clock(self):
        """Guards against an earlier process of a host that is taken for a later one."""

        async def task(world):
            hosts = PlatformHosts(world.calls)
            world.store.era = 3
            first = await hosts.announce(HostRecord("h1", "10.0.0.1:9"))
            await trio.sleep(0.002)
            second = await hosts.announce(HostRecord("h1", "10.0.0.2:9"))
            return first, second, await hosts.hosts()

        first, second, found = self.run_store(task)
        self.assertEqual((first.era, second.era), (3, 3))
        self.assertTrue(first.is_older_than(second))
        self.assertFalse(second.is_older_than(first))
        self.assertEqual(found, [second])

    def test_late_write_of_an_earlier_process_is_refused(self):
        """Guards against a call without a response that is performed seconds later."""

        async def task(world):
            hosts = PlatformHosts(world.calls)
            late = PlatformHosts(LateWrites(world.client, ADDRESS, 0.5))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(announce_in_vain, late)
                await trio.sleep(LATE_SECONDS / 2)
                await hosts.announce(HostRecord("h1", "10.0.0.2:9"))
            return await hosts.hosts()

        async def announce_in_vain(hosts):
            with self.assertRaises(ResponseLostError):
                await hosts.announce(HostRecord("h1", "10.0.0.1:9"))

        found = self.run_store(task)
        self.assertEqual([record.address for record in found], ["10.0.0.2:9"])

    def test_crash_rows_are_written_and_removed(self):
        """Rows of other writers are skipped."""
        first, second = (
            CrashRow(combine_hashes(2**31, 1), 5, 900),
            CrashRow(FINGERPRINT, 6, 950),
        )

        async def task(world):
            crashes = PlatformCrashes(world.calls)
            await crashes.change((first, second), ())
            world.put(names.CRASH_TABLE, "0", b"no row of ours")
            both = await crashes.read()
            await crashes.change((), (first,))
            return both, (await crashes.read()).rows

        both, remaining = self.run_store(task)
        self.assertEqual(set(both.rows), {first, second})
        self.assertEqual(remaining, (second,))


class CallsTest(StoreClientCase):
    """The wire format of the stand-in."""

    def test_stand_in_returns_json_with_base64_values(self):
        async def task(world):
            world.put("t", "k", b"hello")
            path = f"{names.ROWS_GET}?table=t&part="
            out = Outgoing(ADDRESS, "GET", path, {})
            async with world.client.request(out) as resp:
                return await resp.read()

        self.assertIn(b'"value":"aGVsbG8="', self.run_store(task))


if __name__ == "__main__":
    unittest.main()
