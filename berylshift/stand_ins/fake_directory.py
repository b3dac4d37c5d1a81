"""The platform's directory, lease, crash and host rows in memory, with faults."""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field

import msgspec
import trio

from berylshift.ids import ReplicaName, Revision, StoreEra
from berylshift.messages.replicas import Replica, ReplicaChanges, RouteSnapshot
from berylshift.store.checkpoint_rows import Checkpoint, CheckpointsSnapshot
from berylshift.store.crash_rows import CrashRow, CrashRowsSnapshot
from berylshift.store.directory import HistoryLostError
from berylshift.store.eras import FIRST_ERA
from berylshift.store.host_rows import HostRecord
from berylshift.store.interfaces import ResponseLostError, StoreUnavailableError
from berylshift.store.lease_rows import ABSENT, Granted, LeaseRecord, LeaseRow
from berylshift.version.routes import RouteTable

# The store's clock counts from its own start, so it differs from the hosts' clocks.
STORE_CLOCK_OFFSET_SECONDS = 7_000.0
FIRST_LEASE_REVISION = 10


@dataclass
class DirectorySnapshot:
    """The directory's contents at one time."""

    revision: int = 1
    routes: tuple[int, RouteTable] | None = None
    replicas: dict[ReplicaName, Replica] = field(default_factory=dict)
    changes: list[tuple[int, ReplicaName, Replica | None]] = field(default_factory=list)


class FakeDirectory:
    """Routes and replicas.

    Faults: ``down`` fails each call, ``silent`` leaves feeds unanswered, and
    ``forget_history`` drops the feeds' past changes.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._revision = 1
        self._routes: tuple[int, RouteTable] | None = None
        # All versions, with the revisions at which they came into force.
        self._former_routes: list[tuple[int, RouteTable]] = []
        self._replicas: dict[ReplicaName, Replica] = {}
        self._changes: list[tuple[int, ReplicaName, Replica | None]] = []
        self._changed = trio.Event()
        self._oldest_feed_revision = 0
        self._snapshots: list[tuple[float, DirectorySnapshot]] = []
        self.era = FIRST_ERA
        self.down = False
        self.silent = False
        self.reads = 0

    def put_routes(self, table: RouteTable) -> None:
        """Publish a version of the routes."""
        self._revision += 1
        self._routes = (self._revision, table)
        self._former_routes.append(self._routes)
        self._record_change()

    def put_replica(self, replica: Replica) -> None:
        """Write a replica's entry."""
        self._revision += 1
        replica = msgspec.structs.replace(replica, revision=Revision(self._revision))
        self._replicas[replica.name] = replica
        self._changes.append((self._revision, replica.name, replica))
        self._record_change()

    def remove_replica(self, name: str) -> None:
        """Remove a replica's entry."""
        self._revision += 1
        self._replicas.pop(ReplicaName(name), None)
        self._changes.append((self._revision, ReplicaName(name), None))
        self._record_change()

    def restore(self, seconds: float) -> None:
        """Restore the store from a snapshot ``seconds`` old, in a new era."""
        restore_time = trio.current_time() - seconds
        candidates = [
            snapshot for at, snapshot in self._snapshots if at <= restore_time
        ]
        snapshot = candidates[-1] if candidates else DirectorySnapshot()
        self._revision = snapshot.revision
        self._routes = snapshot.routes
        self._former_routes = [snapshot.routes] if snapshot.routes else []
        self._replicas = dict(snapshot.replicas)
        self._changes = list(snapshot.changes)
        self.era = StoreEra(self.era + 1)
        self._record_change()

    def forget_history(self) -> None:
        """Drop the change history that feeds read."""
        self._changes.clear()
        self._oldest_feed_revision = self._revision
        self._record_change()

    def now_ms(self) -> int:
        """Return the store's monotonic clock, which is not that of the hosts."""
        return int((trio.current_time() + STORE_CLOCK_OFFSET_SECONDS) * 1000)

    def _record_change(self) -> None:
        snapshot = DirectorySnapshot(
            self._revision, self._routes, dict(self._replicas), list(self._changes)
        )
        self._snapshots.append((trio.current_time(), snapshot))
        self._changed.set()
        self._changed = trio.Event()

    async def _call(self) -> None:
        self.reads += 1
        await trio.sleep(0.004)
        if self.down:
            raise StoreUnavailableError("down")

    async def read_routes(self) -> RouteSnapshot:
        """Return the routes in force."""
        await self._call()
        table = self._routes[1] if self._routes else None
        revision = Revision(self._revision)
        return RouteSnapshot(table, revision, self.now_ms(), self.era)

    async def await_routes(self, after: Revision, seconds: float) -> RouteSnapshot:
        """Return routes newer than ``after``, or none after ``seconds``."""
        if after > self._revision:
            raise HistoryLostError("no such revision")
        await self._wait(
            lambda: self._routes is not None and self._routes[0] > after, seconds
        )
        newer = [table for at, table in self._former_routes if at > after]
        table = newer.pop() if newer else None
        revision, now_ms = Revision(self._revision), self.now_ms()
        return RouteSnapshot(table, revision, now_ms, self.era, tuple(newer))

    async def read_replicas(self) -> ReplicaChanges:
        """Return all replicas."""
        await self._call()
        replicas = tuple(self._replicas.values())
        revision = Revision(self._revision)
        return ReplicaChanges(replicas, (), revision, True, self.now_ms(), self.era)

    async def await_replicas(self, after: Revision, seconds: float) -> ReplicaChanges:
        """Return the changes after a revision."""
        if after < self._oldest_feed_revision or after > self._revision:
            raise HistoryLostError("history dropped")
        await self._wait(
            lambda: (
                after < self._oldest_feed_revision
                or any(at > after for at, _, _ in self._changes)
            ),
            seconds,
        )
        if after < self._oldest_feed_revision:
            raise HistoryLostError("history dropped")
        newest: dict[ReplicaName, Replica | None] = {}
        written: dict[ReplicaName, Replica] = {}
        for at, name, replica in self._changes:
            if at > after:
                newest[name] = replica
                if replica is not None:
                    written[name] = replica
        put = tuple(rep for rep in newest.values() if rep is not None)
        removed = tuple(name for name, rep in newest.items() if rep is None)
        passed = tuple(rep for name, rep in written.items() if newest[name] is None)
        revision, now_ms = Revision(self._revision), self.now_ms()
        return ReplicaChanges(put, removed, revision, False, now_ms, self.era, passed)

    async def _wait(self, has_changes, seconds: float) -> None:
        await self._call()
        if self.silent:
            # A feed that never answers: only the caller's timeout ends the call.
            await trio.sleep(seconds + 0.6)
            raise ResponseLostError("no answer")
        with trio.move_on_after(seconds):
            while not has_changes():
                await self._changed.wait()
        if self.down:
            raise StoreUnavailableError("down")


class FakeCheckpointRows:
    """Checkpoints of a directory in memory."""

    def __init__(self, directory: FakeDirectory) -> None:
        """Start empty, with the clock, era and revisions of ``directory``."""
        self._directory = directory
        self.slots: dict[int, Checkpoint] = {}
        self.writes = 0

    async def read(self) -> CheckpointsSnapshot:
        """Return the checkpoints of all slots."""
        found = await self._directory.read_routes()
        slots = tuple(self.slots.values())
        return CheckpointsSnapshot(slots, found.revision, found.store_ms, found.era)

    async def write(self, slot: int, checkpoint: Checkpoint) -> None:
        """Replace the checkpoint of a slot."""
        if self._directory.down:
            raise StoreUnavailableError("down")
        self.slots[slot] = checkpoint
        self.writes += 1


@dataclass
class LeaseSnapshot:
    """The lease rows at one time."""

    at: float
    rows: dict[str, tuple[LeaseRecord, int]]
    revision: int


class FakeLeaseRows:
    """Lease rows with a monotonic clock.

    With ``delayed_write_seconds``, a write whose answer is lost is applied that much
    later, if its condition holds then.
    """

    def __init__(self, now=trio.current_time) -> None:
        """Use ``now``, in seconds, as the store's clock."""
        self._now = now
        self._rows: dict[str, tuple[LeaseRecord | None, int]] = {}
        self._revision = FIRST_LEASE_REVISION
        self._snapshots: list[LeaseSnapshot] = []
        self._delayed_writes: list[tuple[float, str, LeaseRecord, Revision]] = []
        self.down = False
        self.lose_answers = 0
        self.delayed_write_seconds: float | None = None
        self.era = FIRST_ERA
        self.after_read: Callable[[], Awaitable[object]] | None = None

    def overwrite(self, name: str, record: LeaseRecord | None = None) -> None:
        """Write a row as another writer; ``None``: bytes that can't be read."""
        self._revision += 1
        self._rows[name] = record, self._revision

    async def read(self, name: str) -> LeaseRow:
        """Return a row; ``after_read`` is awaited once, after the row was read."""
        self._check()
        record, revision = self._rows.get(name, (None, ABSENT))
        now_ms = int(self._now() * 1000)
        row = LeaseRow(record, Revision(revision), now_ms, self.era)
        hook, self.after_read = self.after_read, None
        if hook is not None:
            await hook()
        return row

    async def compare_and_swap(
        self, name: str, record: LeaseRecord, expected: Revision
    ) -> Granted | None:
        """Write a row if its revision is ``expected``."""
        self._check()
        if self.lose_answers:
            self.lose_answers -= 1
            if self.delayed_write_seconds is None:
                self._apply(name, record, expected)
            else:
                at = self._now() + self.delayed_write_seconds
                self._delayed_writes.append((at, name, record, expected))
            raise ResponseLostError("answer lost")
        return self._apply(name, record, expected)

    def restore(self, seconds: float) -> None:
        """Restore the store from a snapshot ``seconds`` old, in a new era."""
        restore_time = self._now() - seconds
        candidates = [
            snapshot for snapshot in self._snapshots if snapshot.at <= restore_time
        ]
        snapshot = (
            candidates[-1]
            if candidates
            else LeaseSnapshot(restore_time, {}, FIRST_LEASE_REVISION)
        )
        self._rows, self._revision = dict(snapshot.rows), snapshot.revision
        self.era = StoreEra(self.era + 1)

    def _check(self) -> None:
        if self.down:
            raise StoreUnavailableError("down")
        due = [write for write in self._delayed_writes if write[0] <= self._now()]
        self._delayed_writes = [
            write for write in self._delayed_writes if write not in due
        ]
        for _, name, record, expected in due:
            self._apply(name, record, expected)

    def _apply(
        self, name: str, record: LeaseRecord, expected: Revision
    ) -> Granted | None:
        _, revision = self._rows.get(name, (None, ABSENT))
        if revision != expected:
            return None
        self._revision += 1
        self._rows[name] = (record, self._revision)
        snapshot = LeaseSnapshot(self._now(), dict(self._rows), self._revision)
        self._snapshots.append(snapshot)
        return Granted(Revision(self._revision), self.era)


class FakeCrashRows:
    """Rows of replica crashes and the requests that caused them, in memory."""

    def __init__(self) -> None:
        """Start empty."""
        self._rows: dict[tuple[int, int], CrashRow] = {}
        self.down = False
        self.writes = 0

    def __len__(self) -> int:
        """Return how many rows there are."""
        return len(self._rows)

    async def read(self) -> CrashRowsSnapshot:
        """Return all rows."""
        self._check()
        now = trio.current_time() + STORE_CLOCK_OFFSET_SECONDS
        return CrashRowsSnapshot(tuple(self._rows.values()), int(now * 1000))

    def lose_all(self) -> None:
        """Remove all rows, as a restore from an empty snapshot does."""
        self._rows.clear()

    async def change(self, put: Iterable[CrashRow], drop: Iterable[CrashRow]) -> None:
        """Write some rows and remove others."""
        self._check()
        self.writes += 1
        for row in drop:
            self._rows.pop((row.request, row.target), None)
        for row in put:
            self._rows[row.request, row.target] = row

    def _check(self) -> None:
        if self.down:
            raise StoreUnavailableError("down")


class FakeHostRows:
    """Hosts' rows in memory."""

    def __init__(self) -> None:
        """Start empty."""
        self._hosts: dict[str, HostRecord] = {}
        self._key = ""
        self._now_ms = 0
        self._first_era: StoreEra | None = None
        self.era = FIRST_ERA

    def lose(self, hosts: Iterable[str], key: bool = False) -> None:
        """Remove some rows, and optionally the shared rows, as a restore does."""
        for host in hosts:
            self._hosts.pop(host, None)
        if key:
            self._key = ""
            self._first_era = None

    async def announce(self, record: HostRecord) -> HostRecord:
        """Write a host's row."""
        self._now_ms += 1
        joined = msgspec.structs.replace(record, joined_ms=self._now_ms)
        self._hosts[record.host] = joined
        return joined

    def put(self, record: HostRecord) -> None:
        """Write a row as another process did."""
        self._hosts[record.host] = record

    async def hosts(self) -> list[HostRecord]:
        """Return all hosts' rows."""
        return list(self._hosts.values())

    async def get_or_set_shared_key(self, proposal: str) -> str:
        """Return the key all hosts share."""
        self._key = self._key or proposal
        return self._key

    async def get_or_set_first_era(self, known: StoreEra | None) -> StoreEra:
        """Return the era in which the first host joined."""
        if self._first_era is None:
            self._first_era = self.era if known is None else known
        return self._first_era
