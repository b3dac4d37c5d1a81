"""Tests of what bytes that other processes wrote may do to a host."""

import ast
import time
import unittest
from pathlib import Path

import msgspec
import trio

import berylshift
from berylshift.ids import ReplicaName, ServiceName
from berylshift.messages.json_decoding import (
    MAX_DEPTH,
    MAX_SIMPLIFIED_BYTES,
    MalformedJsonError,
    decode_json,
)
from berylshift.messages.usage import UsageReport
from berylshift.platform import names
from berylshift.platform.codec import PlatformCodec
from berylshift.platform.engines import PlatformEngines
from berylshift.platform.entries import parse_replica_entry
from berylshift.platform.own_tables import (
    PlatformCheckpoints,
    PlatformCrashes,
    PlatformHosts,
    PlatformLeases,
    PlatformScaling,
    PlatformUsage,
)
from berylshift.store.checkpoint_rows import Checkpoint
from berylshift.store.interfaces import (
    MalformedEntryError,
    StoredRow,
    decode_row,
)
from berylshift.store.lease_rows import ABSENT
from berylshift.tests.test_platform_store import ENTRY, StoreClientCase

PACKAGE = Path(berylshift.__file__).parent
DECODER = PACKAGE / "messages" / "json_decoding.py"
# Packages that run in no host.
TOOLS = {"tests", "stand_ins", "model", "replay", "tools"}
CONFIGURATION = {"version": 1, "routes": [], "services": []}
# What a row may cost the event loop, far below a caller's patience.
MAX_BUSY_SECONDS = 0.5
ENDLESS = b'{"a":' * 6000
CLOSED = b"[" * 5000 + b"]" * 5000


def with_deep_field(value: dict) -> bytes:
    """Return JSON with one more field that is nested deeply."""
    return msgspec.json.encode(value)[:-1] + b',"more":' + CLOSED + b"}"


class DecodeJsonTest(unittest.TestCase):
    """Decoding has one error, whatever the bytes are."""

    def test_unreadable_bytes_have_one_error(self):
        """Guards against bytes that raise what the caller does not expect."""
        for data in (ENDLESS, b"[" * 9000, b"", b"\x80", b"{}}", CLOSED + b"]"):
            with self.subTest(data=data[:10]), self.assertRaises(MalformedJsonError):
                decode_json(data, dict[str, msgspec.Raw])

    def test_deep_value_of_an_unknown_field_does_not_matter(self):
        """Guards against a sound value that is refused for a field nobody knows."""
        data = with_deep_field(CONFIGURATION) + b"\n"
        found = decode_json(data, dict[str, msgspec.Raw])
        self.assertEqual(bytes(found["version"]), b"1")

    def test_brackets_in_texts_are_no_nesting(self):
        """Guards against texts that are cut where a deep value is removed."""
        text = '"]}[{\\' * 50
        data = msgspec.json.encode({"text": text})[:-1] + b',"x":' + CLOSED + b"}"
        self.assertEqual(decode_json(data, dict)["text"], text)

    def test_long_input_is_not_simplified(self):
        """Guards against a host that is busy with the bytes of one caller."""
        data = b" " * MAX_SIMPLIFIED_BYTES + CLOSED
        with self.assertRaises(MalformedJsonError):
            decode_json(data, list)

    def test_texts_without_an_end_are_read_once(self):
        """Guards against bytes that keep a host busy for seconds."""
        data = (b"[" * 5000 + b'"' + b'\\"' * 30_000)[:MAX_SIMPLIFIED_BYTES]
        start = time.process_time()
        with self.assertRaises(MalformedJsonError):
            decode_json(data, list)
        self.assertLess(time.process_time() - start, MAX_BUSY_SECONDS)

    def test_values_as_deep_as_fields_go_are_kept(self):
        """Guards against a value that is removed although somebody reads it."""
        deep = b"[" * MAX_DEPTH + b"]" * MAX_DEPTH
        data = b'{"more":' + CLOSED + b',"kept":' + deep[1:-1] + b"}"
        kept = decode_json(data, dict[str, msgspec.Raw])["kept"]
        self.assertEqual(bytes(kept), deep[1:-1])

    def test_no_other_module_decodes(self):
        """Guards against a place that knows only some of the decoder's errors."""
        found = []
        for path in PACKAGE.rglob("*.py"):
            if path == DECODER or TOOLS & set(path.relative_to(PACKAGE).parts):
                continue
            for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
                name = ast.unparse(node) if isinstance(node, ast.Attribute) else ""
                if name in ("msgspec.json.decode", "msgspec.json.Decoder"):
                    found.append(str(path.relative_to(PACKAGE)))
        self.assertEqual(found, [])


class ForeignRowTest(StoreClientCase):
    """Rows of other writers in each table that a host reads."""

    def test_entry_nested_without_end_does_not_hide_the_others(self):
        """Guards against a host that ends as it reads one entry."""

        async def task(world):
            world.put(names.REPLICA_TABLE, "foreign", ENDLESS)
            world.put(names.REPLICA_TABLE, "i-1", ENTRY)
            read = await world.directory.read_replicas()
            world.put(names.REPLICA_TABLE, "i-1", ENDLESS)
            return read, await world.directory.await_replicas(read.revision, 1.0)

        read, changes = self.run_store(task)
        self.assertEqual([rep.name for rep in read.put], ["i-1"])
        self.assertEqual((changes.put, changes.removed), ((), ("i-1",)))

    def test_requests_go_on_between_long_entries(self):
        """Guards against many nested entries that stop all requests of a host."""

        async def task(world):
            for number in range(40):
                world.put(names.REPLICA_TABLE, f"foreign-{number}", ENDLESS)
            others: list[int] = []

            async def take_turns():
                while True:
                    await trio.lowlevel.checkpoint()
                    others.append(len(logs.records))

            with self.assertLogs("berylshift.platform.store", "WARNING") as logs:
                world.nursery.start_soon(take_turns)
                await world.directory.read_replicas()
            return others

        turns = [count for count in self.run_store(task) if 0 < count < 40]
        self.assertGreaterEqual(len(turns), 38)

    def test_sound_entry_with_a_deep_field_is_listed(self):
        """Guards against a replica that vanishes for a field nobody knows."""
        entry = parse_replica_entry("i-1", with_deep_field(ENTRY))
        self.assertEqual(entry.name, ReplicaName("i-1"))

    def test_configurations(self):
        """Guards against a configuration that ends each host, or hides a sound one."""

        async def task(world):
            deep = with_deep_field(CONFIGURATION)
            world.put(names.OPERATOR_TABLE, names.CONFIGURATION_KEY, deep)
            found = await world.directory.read_routes()
            world.put(names.OPERATOR_TABLE, names.CONFIGURATION_KEY, ENDLESS)
            with self.assertRaises(MalformedEntryError):
                await world.directory.await_routes(found.revision, 1.0)
            return found.table.version

        self.assertEqual(self.run_store(task), 1)

    def test_own_tables(self):
        """Guards against rows in this system's tables that anybody may write."""

        async def task(world):
            for table in (names.HOST_TABLE, names.CRASH_TABLE, names.LEASE_TABLE):
                world.put(table, "1", ENDLESS)
            world.put(names.USAGE_TABLE, "1", ENDLESS)
            lease = await PlatformLeases(world.calls).read("1")
            with self.assertRaises(MalformedEntryError):
                await PlatformUsage(world.calls).read(1)
            hosts = await PlatformHosts(world.calls).hosts()
            crashes = await PlatformCrashes(world.calls).read()
            return lease, hosts, crashes.rows

        lease, hosts, crashes = self.run_store(task)
        self.assertIsNone(lease.record)
        self.assertGreater(lease.revision, ABSENT)
        self.assertEqual((hosts, crashes), ([], ()))

    def test_unreadable_checkpoints_are_skipped(self):
        """Guards against a past that no host can read any more."""

        async def task(world):
            rows, sound = (
                PlatformCheckpoints(world.calls),
                Checkpoint(3, 3, 1, 4000, 0, {}, []),
            )
            for key, value in (
                ("0", ENDLESS),
                ("1", {"revision": -1, "store_ms": 1}),
                ("2", {"revision": 10**30, "store_ms": 1}),
                ("x", b"\xff"),
            ):
                world.put(names.CHECKPOINT_TABLE, key, value)
            await rows.write(7, sound)
            return (await rows.read()).checkpoints, (sound,)

        self.assertEqual(*self.run_store(task))

    def test_unreadable_shared_key_is_replaced(self):
        """Guards against hosts that never join since nobody can read their key."""

        async def task(world):
            world.put(names.KEY_TABLE, names.DATAGRAM_KEY, b"\xff\xfe")
            world.put(names.KEY_TABLE, names.DATAGRAM_KEY + "x", b"another row")
            hosts = PlatformHosts(world.calls)
            first = await hosts.get_or_set_shared_key("one")
            return first, await hosts.get_or_set_shared_key("two")

        self.assertEqual(self.run_store(task), ("one", "one"))

    def test_report_of_another_window_is_unreadable(self):
        """Guards against a second report of a window that was reported already."""

        async def task(world):
            usage = PlatformUsage(world.calls)
            world.put(names.USAGE_TABLE, "6", {"window": 5, "counts": []})
            with self.assertRaises(MalformedEntryError):
                await usage.read(6)
            with self.assertRaises(MalformedEntryError):
                await usage.settle(UsageReport(6, ()))

        self.run_store(task)

    def test_unreadable_number_of_replicas_is_replaced(self):
        """Guards against services whose replicas nobody orders any more."""

        async def task(world):
            rows, found = PlatformScaling(world.calls), []
            for value in (ENDLESS, b"-1", b"0", b"1e400", b"9" * 400, b'"NaN"', b"7"):
                world.put(names.SCALING_TABLE, "writer", value)
                found.append(await rows.get_or_set_needed(ServiceName("writer"), 5))
                found.append(await rows.get_or_set_needed(ServiceName("writer"), 6))
            return found

        self.assertEqual(self.run_store(task), [5] * 12 + [7, 7])

    def test_native_row(self):
        """Guards against rows of the native API that end the loop that reads them."""
        row = StoredRow("k", 1, msgspec.Raw(ENDLESS))
        with self.assertRaises(MalformedEntryError):
            decode_row(row, dict)


class ReplicaBytesTest(unittest.TestCase):
    """Bytes of replicas."""

    def test_handle_nested_without_end(self):
        """Guards against a prefill whose handle ends its request with an error."""
        self.assertIsNone(PlatformCodec().parse_kv_handle(ENDLESS))

    def test_report_nested_without_end(self):
        """Guards against an engine's report that ends the host that orders."""

        class Engine(PlatformEngines):
            async def _call(self, *args):
                return 200, ENDLESS

        found = []

        async def main():
            found.append(await Engine(None, 1.0).report(None))

        from berylshift.tests.support import run_virtual

        run_virtual(main)
        self.assertEqual(found, [None])


if __name__ == "__main__":
    unittest.main()
