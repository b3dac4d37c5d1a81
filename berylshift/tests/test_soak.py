"""Tests of the soak's checks and partitions, and short runs with fixed seeds."""

import contextlib
import random
import socket
import tempfile
import unittest
from collections import Counter
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from unittest import mock

import h11
import msgspec
import trio
from trio.testing import MockClock, memory_stream_pair

from berylshift.connection.errors import ConnectFailedError
from berylshift.connection.http_client import HttpClient, Outgoing
from berylshift.ids import SoftwareVersion
from berylshift.platform import names
from berylshift.stand_ins.entry_replica import EntryReplica
from berylshift.stand_ins.soak.callers import Kind, Request, expected_body
from berylshift.stand_ins.soak.checks import Disturbance, Silence, find_violations
from berylshift.stand_ins.soak.partitions import Partitions
from berylshift.stand_ins.soak.program.partitioned_host import drop_datagrams
from berylshift.stand_ins.soak.release_world import ReleaseWorld
from berylshift.stand_ins.soak.run import SoakSpec, draw_events, run_soak
from berylshift.stand_ins.soak.schedule import (
    draw_changes,
    draw_partitions,
    draw_rejoins,
    draw_schedule,
    draw_silences,
)
from berylshift.stand_ins.soak.stream_callers import (
    EVENT_COUNT,
    StreamRecord,
    Try,
    find_faults,
)

RUN_SECONDS = 15.0
REJOIN_SECONDS = 20.0
PARTITION_SECONDS = 15.0


def request(kind: Kind = Kind.BOOKING, status: int = 200, **more) -> Request:
    """Return a request that ended after a second."""
    values = {"ended_at": 2.0, "is_whole": status == 200, **more}
    return Request("r1", kind, 0, 1.0, status=status, **values)


class CheckTest(unittest.TestCase):
    """What counts as a broken promise."""

    def check(self, req: Request, runs: int, *disturbances: Disturbance) -> int:
        return len(find_violations([req], Counter({"r1": runs}), disturbances))

    def test_complete_answers_are_right(self):
        self.assertEqual(self.check(request(), 1), 0)
        self.assertEqual(self.check(request(Kind.LOOKUP), 2), 0)
        self.assertEqual(expected_body(request()), b"body of r1")

    def test_broken_promises_are_found(self):
        """Guards against a soak that sees nothing."""
        self.assertEqual(self.check(request(), 2), 1)
        self.assertEqual(self.check(request(Kind.NOTE), 2), 1)
        self.assertEqual(self.check(request(is_whole=False), 1), 1)
        self.assertEqual(self.check(request(status=503, retry_after=1.0), 1), 1)
        self.assertEqual(self.check(request(status=503, retry_after=1.0), 0), 0)
        self.assertEqual(self.check(request(status=503), 0), 1)
        self.assertEqual(self.check(request(status=0), 1), 1)

    def test_lost_answers_are_excused_where_the_host_was_killed(self):
        """Guards against faults of other hosts that excuse a lost answer."""
        lost = request(status=0)
        self.assertEqual(self.check(lost, 1, Disturbance(0, 1.5, 1.6)), 0)
        self.assertEqual(self.check(lost, 1, Disturbance(0, 2.5, 3.0)), 1)
        self.assertEqual(self.check(lost, 1, Disturbance(1, 1.5, 1.6)), 1)

    def test_streams_that_are_cut_are_found(self):
        """Guards against streams that a host ends before their time is over."""
        self.assertEqual(self.check(request(Kind.BRIEF), 2), 0)
        self.assertEqual(self.check(request(Kind.BRIEF, 0), 1), 1)
        self.assertEqual(self.check(request(Kind.BRIEF, 502), 0), 1)
        self.assertEqual(self.check(request(Kind.BRIEF, 0, has_left=True), 1), 0)
        self.assertEqual(self.check(request(Kind.BRIEF, 0, is_wrong=True), 0), 1)
        lost = request(Kind.BRIEF, 0)
        self.assertEqual(self.check(lost, 1, Disturbance(0, 1.5, 1.6)), 0)

    def test_streams_are_late_only_beside_silences(self):
        """Guards against a stream without pauses that takes its caller's whole time."""
        for kind in (Kind.NOTE, Kind.BRIEF):
            late = request(kind, 0, ended_at=6.0)
            self.assertEqual(self.check(late, 1), 1)
            for silence, count in ((Silence(5.0, 6.0), 0), (Silence(6.5, 7.0), 1)):
                found = find_violations([late], Counter(r1=1), [], [silence])
                self.assertEqual(len(found), count)
            held = request(kind, 0, ended_at=7.5)
            for is_stall, count in ((False, 1), (True, 0)):
                silence = Silence(5.0, 6.0, is_stall)
                found = find_violations([held], Counter(r1=1), [], [silence])
                self.assertEqual(len(found), count)
            cut = request(kind, 0, ended_at=5.5)
            found = find_violations([cut], Counter(r1=1), [], [Silence(5.0, 6.0)])
            self.assertEqual(len(found), 1)

    def test_a_seed_gives_one_schedule(self):
        """Guards against a failing seed that can't be played again."""
        self.assertEqual(draw_schedule(5, 20.0), draw_schedule(5, 20.0))
        self.assertNotEqual(draw_schedule(5, 20.0), draw_schedule(6, 20.0))
        self.assertEqual(draw_silences(5, 20.0), draw_silences(5, 20.0))
        self.assertNotEqual(draw_silences(5, 20.0), draw_silences(6, 20.0))
        self.assertEqual(draw_rejoins(5, 20.0), draw_rejoins(5, 20.0))
        self.assertNotEqual(draw_rejoins(5, 20.0), draw_rejoins(6, 20.0))
        self.assertEqual(draw_partitions(5, 20.0), draw_partitions(5, 20.0))
        self.assertNotEqual(draw_partitions(5, 20.0), draw_partitions(6, 20.0))
        self.assertEqual(draw_changes(5, 20.0), draw_changes(5, 20.0))
        self.assertNotEqual(draw_changes(5, 20.0), draw_changes(6, 20.0))

    def test_changes_leave_other_events_as_they_are(self):
        """Guards against seeds that play otherwise since a kind of fault was added."""
        spec = SoakSpec(5, 20.0, rejoins=True)
        events = set(draw_events(spec))
        more = {"partitions": True, "changes": True}
        self.assertLess(events, set(draw_events(msgspec.structs.replace(spec, **more))))
        self.assertEqual(events, set(draw_rejoins(5, 20.0)))


class PartitionTest(unittest.TestCase):
    """Which datagrams are lost between hosts."""

    def setUp(self) -> None:
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        self.partitions = Partitions(self.directory)

    def blocked(self, ip: str) -> set[str]:
        path = Path(self.partitions.environment(ip)["SOAK_BLOCKED"])
        return set(path.read_text().split())

    def test_overlapping_partitions_end_one_by_one(self):
        """Guards against a partition whose end ends another one, or none."""
        first, second = (["a"], ["b", "c"]), (["a", "b"], ["c"])
        self.partitions.begin(*first)
        self.assertEqual([self.blocked(ip) for ip in "abc"], [{"b", "c"}, {"a"}, {"a"}])
        self.partitions.begin(*second)
        found = [self.blocked(ip) for ip in "abc"]
        self.assertEqual(found, [{"b", "c"}, {"a", "c"}, {"a", "b"}])
        self.partitions.end(*first)
        self.assertEqual([self.blocked(ip) for ip in "abc"], [{"c"}, {"c"}, {"a", "b"}])
        self.partitions.end(*second)
        self.assertEqual([self.blocked(ip) for ip in "abc"], [set(), set(), set()])

    def test_datagrams_are_lost_while_a_partition_lasts(self):
        """Guards against hosts that are partitioned in name only."""
        with socket.socket() as sock:
            kind = type(trio.socket.from_stdlib_socket(sock))
        kept = mock.patch.multiple(kind, sendto=kind.sendto, recvfrom=kind.recvfrom)

        async def task() -> list[bytes]:
            with contextlib.ExitStack() as stack, trio.fail_after(5):
                socks = [trio.socket.socket(type=socket.SOCK_DGRAM) for _ in range(3)]
                for number, sock in enumerate(socks):
                    stack.enter_context(sock)
                    await sock.bind((f"127.0.0.{number + 1}", 0))
                near, far, other = socks
                variables = self.partitions.environment("127.0.0.1")
                drop_datagrams(Path(variables["SOAK_BLOCKED"]))
                sides = ["127.0.0.1"], ["127.0.0.2"]
                self.partitions.begin(*sides)
                await near.sendto(b"lost", far.getsockname())
                await far.sendto(b"lost", near.getsockname())
                await other.sendto(b"other", near.getsockname())
                got = [(await near.recvfrom(100))[0]]
                self.partitions.end(*sides)
                await near.sendto(b"after", far.getsockname())
                await far.sendto(b"after", near.getsockname())
                for sock in (near, far):
                    got.append((await sock.recvfrom(100))[0])
                return got

        with kept:
            got = trio.run(task)
        self.assertEqual(got, [b"other", b"after", b"after"])


class RecordedWorld(ReleaseWorld):
    """A world that records when entries were written or removed, without a store."""

    async def _transact(self, transaction: dict) -> None:
        (key,) = transaction
        self.sent.append((round(trio.current_time() - self.began, 1), key))


class EntryTest(unittest.TestCase):
    """When the entries of a soak's replicas are written."""

    def written(self, end: Callable) -> list[tuple[float, str]]:
        """Return the writes of a replica that ends after 3 s, as ``end`` does."""

        async def task() -> list[tuple[float, str]]:
            async with trio.open_nursery() as nursery:
                world = RecordedWorld(Path(), None, nursery, random.Random(1), 1, "")
                world.sent, world.began = [], trio.current_time()
                replica = EntryReplica("r-1", "127.0.0.1:1")
                await world._list_replica(replica)
                await trio.sleep(3)
                await end(world, replica)
                await trio.sleep(5)
                nursery.cancel_scope.cancel()
            return world.sent

        return trio.run(task, clock=MockClock(autojump_threshold=0))

    def test_entries_are_renewed_until_they_are_removed(self):
        """Guards against replicas that do not write their entries at heartbeats."""
        found = self.written(lambda world, replica: world._remove_entry(replica))
        renewed = [(0.0, "write"), (1.2, "write"), (2.4, "write")]
        self.assertEqual(found, [*renewed, (3.0, "remove")])

    def test_entries_are_renewed_until_their_replica_crashes(self):
        """Guards against crashed replicas that go on to write their entries."""
        found = self.written(lambda world, replica: replica.crash(""))
        self.assertEqual(found, [(0.0, "write"), (1.2, "write"), (2.4, "write")])


class FailingClient(HttpClient):
    """A client whose first request fails."""

    failures = 0

    @contextlib.asynccontextmanager
    async def request(self, out: Outgoing) -> AsyncIterator[mock.AsyncMock]:
        if not self.failures:
            self.failures += 1
            raise ConnectFailedError("connection attempt timed out")
        self.sent = msgspec.json.decode(out.body)
        yield mock.AsyncMock()


class WriteTest(unittest.TestCase):
    """How a soak's world writes to its store."""

    def test_a_failed_write_is_made_again(self):
        """Guards against a run that ends because the computer was busy for a moment."""

        async def task() -> ReleaseWorld:
            async with trio.open_nursery() as nursery:
                world = ReleaseWorld(Path(), None, nursery, random.Random(1), 1, "")
                world.client = FailingClient()
                await world._remove_entry(EntryReplica("r-1", "127.0.0.1:1"))
            return world

        world = trio.run(task, clock=MockClock(autojump_threshold=0))
        self.assertEqual(world.client.failures, 1)
        (removed,) = world.client.sent["remove"]
        self.assertEqual(removed["key"], "r-1")


class StreamCheckTest(unittest.TestCase):
    """What is wrong with a stream that its caller takes up."""

    def faults(self, *tries: tuple[str, bool], ran: int = 1, **more) -> list[str]:
        """Return the faults of tries, each as event numbers and versions."""
        record = StreamRecord("r1", more.pop("kind", Kind.BRIEF), [])
        for text, is_complete in tries:
            events = [item.split("@") for item in text.split()]
            data = "".join(f"id: {n}\ndata: piece-{n}@{v}\n\n" for n, v in events)
            data += more.pop("rest", "")
            values = {"status": 200, "data": data, **more}
            record.tries.append(Try("r1", 0, 0, is_complete=is_complete, **values))
        return find_faults(record, lambda request: ran)

    def test_whole_and_broken_streams_are_right(self):
        first = " ".join(f"{n}@v1" for n in range(1, 4))
        rest = " ".join(f"{n}@v1" for n in range(4, EVENT_COUNT + 1))
        self.assertEqual(self.faults((first, False), (rest, True)), [])
        self.assertEqual(self.faults((first, False), (rest, False)), [])
        self.assertEqual(self.faults((first, False), ("", False)), [])
        self.assertEqual(self.faults((first, False), rest="id: 4\nda"), [])

    def test_faults_are_found(self):
        """Guards against a soak that sees no joined, cut or doubled stream."""
        self.assertEqual(self.faults(("1@v1", False), ("2@v2", False)), ["joined"])
        self.assertEqual(self.faults(("1@v1 2@v2", False)), ["joined"])
        self.assertEqual(self.faults(("1@v1", False), ("1@v1", False)), ["twice"])
        self.assertEqual(self.faults(("1@v1 3@v1", False)), ["missing"])
        self.assertEqual(self.faults(("2@v1 1@v1", False)), ["disordered"])
        self.assertEqual(self.faults(("1@v1", True)), ["cut"])
        cut = self.faults(("1@v1", True), rest="id: 2\nda")
        self.assertEqual(cut, ["cut event", "cut"])
        self.assertEqual(self.faults(("1@v1", False), rest="x\n\n"), ["foreign"])
        self.assertEqual(self.faults(("", False), status=503), ["refused, but ran"])
        self.assertEqual(
            self.faults(("1@v1", False), ran=2, kind=Kind.NOTE), ["ran twice"]
        )

    def test_streams_of_two_services_are_found(self):
        """Guards against services that are told apart by their versions alone."""
        found = self.faults(("1@v1", False), ("2@v1/other", False))
        self.assertEqual(found, ["joined"])

    def test_weights_that_change_unnamed_are_found(self):
        """Guards against events that have other weights than their answer names."""
        named = f"{names.WEIGHT_VERSIONS.decode()}: 2\n"
        change = f"{named}id: 2\ndata: piece-2@v1~2\n\n"
        first = ("1@v1~1", False)
        self.assertEqual(self.faults(first, weights="1", rest=change), [])
        third = "id: 3\ndata: piece-3@v1~2\n\n"
        self.assertEqual(self.faults(first, weights="1", rest=change + third), [])
        wrong = ["other weights"]
        self.assertEqual(self.faults(("1@v1~1 2@v1~2", False), weights="1"), wrong)
        third = third.replace("~2", "~1")
        found = self.faults(first, weights="1", rest=change + third)
        self.assertEqual(found, wrong)
        self.assertEqual(self.faults(first), wrong)

    def test_engines_name_the_weights_that_change_amid_a_stream(self):
        """Guards against a soak whose engines keep their weights within an answer."""

        async def task(silent_seconds: float) -> bytes:
            replica = EntryReplica("r-1", "127.0.0.1:1")
            replica.silent_until = trio.current_time() + silent_seconds
            replica.version, replica.service = SoftwareVersion("v1"), "other"
            replica.weights, replica.event_seconds = b"1", 1.0
            host, engine = memory_stream_pair()
            request = h11.Connection(h11.CLIENT).send(
                h11.Request(
                    method="POST",
                    target="/brief/x",
                    headers=[
                        ("host", "x"),
                        (names.ATTEMPT_ID, "r1"),
                        ("x-pieces", "2"),
                    ],
                )
            )
            data = b""
            async with trio.open_nursery() as nursery:
                nursery.start_soon(replica.serve, engine)
                await host.send_all(request)
                await trio.sleep(1.5)
                replica.weights = b"2"
                await trio.sleep(3)
                data = bytes(await host.receive_some())
                nursery.cancel_scope.cancel()
            return data

        name = names.WEIGHT_VERSIONS.decode()
        for silent_seconds, first, second in (
            (0.0, "id: 1\ndata: piece-1@v1/other~1\n\n", f"{name}: 2\nid: 2\n"),
            (2.0, f"{name}: 2\nid: 1\ndata: piece-1@v1/other~2\n\n", "id: 2\n"),
        ):
            clock = MockClock(autojump_threshold=0)
            data = trio.run(task, silent_seconds, clock=clock).decode()
            self.assertIn(f"{name}: 1\r\n", data)
            self.assertIn(f"\n{first}", data)
            self.assertIn(f"\n{second}data: piece-2@v1/other~2\n\n", data)


class SoakTest(unittest.TestCase):
    """Guards against promises that are broken while faults come in series."""

    def test_fixed_seeds(self):
        for seed in (2, 3):
            with self.subTest(seed=seed):
                result = trio.run(run_soak, SoakSpec(seed, RUN_SECONDS))
                self.assertEqual(result.violations, [])
                self.assertGreater(result.statuses[200], 100)

    def test_silences(self):
        """Guards against streams that are cut because their engines pause."""
        result = trio.run(run_soak, SoakSpec(301, RUN_SECONDS, silences=True))
        self.assertEqual(result.violations, [])
        self.assertGreater(result.statuses[200], 100)

    def test_streams_taken_up_during_releases(self):
        """Guards against streams of two software versions, with gaps or cut short."""
        spec = SoakSpec(2, REJOIN_SECONDS, hosts=4, callers=24, rejoins=True)
        result = trio.run(run_soak, spec)
        self.assertEqual(result.violations, [])
        self.assertGreater(result.streams["taken up"], 20)
        self.assertGreater(result.streams["went on"], 5)

    def test_streams_taken_up_during_partitions(self):
        """Guards against joined streams where hosts can't ask each other.

        Meanwhile engines change their weights and routes move to another service.
        """
        spec = SoakSpec(2201, PARTITION_SECONDS, hosts=4, callers=24, rejoins=True)
        spec = msgspec.structs.replace(spec, partitions=True, changes=True)
        result = trio.run(run_soak, spec)
        self.assertEqual(result.violations, [])
        self.assertGreater(result.streams["taken up"], 15)
        self.assertGreater(result.streams["went on"], 5)


if __name__ == "__main__":
    unittest.main()
