"""The platform's directory, leases and hosts in memory, with scripted faults."""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field

import msgspec
import trio

from berylshift.ids import ReplicaName, Revision, StoreEra
from berylshift.messages.replicas import Replica, ReplicaChanges, RouteSnapshot
from berylshift.store.crash_rows import CrashRow, CrashRowsSnapshot
from berylshift.store.directory import HistoryLostError
from berylshift.store.eras import FIRST_ERA
from berylshift.store.host_rows import HostRecord
from berylshift.store.interfaces import ResponseLostError, StoreUnavailableError
from berylshift.store.lease_rows import ABSENT, Granted, LeaseRecord, LeaseRow
from berylshift.version.routes import RouteTable

# The store's clock runs on since its own start, not since the hosts'.
STORE_CLOCK_AHEAD_SECONDS = 7_000.0
FIRST_LEASE_REVISION = 10


@dataclass
class DirectoryCopy:
    """What the store held at a moment."""

    revision: int = 1
    routes: tuple[int, RouteTable] | None = None
    replicas: dict[ReplicaName, Replica] = field(default_factory=dict)
    changes: list[tuple[int, ReplicaName, Replica | None]] = field(default_factory=list)


class FakeDirectory:
    """Routes and replicas; ``down``, ``silent`` and ``forget`` are its faults."""

    def __init__(self) -> None:
        """Start empty."""
        self._revision = 1
        self._routes: tuple[int, RouteTable] | None = None
        self._replicas: dict[ReplicaName, Replica] = {}
        self._changes: list[tuple[int, ReplicaName, Replica | None]] = []
        self._news = trio.Event()
        self._history_from = 0
        self._copies: list[tuple[float, DirectoryCopy]] = []
        self.era = FIRST_ERA
        self.down = False
        self.silent = False
        self.reads = 0

    def put_routes(self, table: RouteTable) -> None:
        """Accept a version of the routes."""
        self._revision += 1
        self._routes = (self._revision, table)
        self._tell()

    def put_replica(self, replica: Replica) -> None:
        """Write a replica's entry."""
        self._revision += 1
        replica = msgspec.structs.replace(replica, revision=Revision(self._revision))
        self._replicas[replica.name] = replica
        self._changes.append((self._revision, replica.name, replica))
        self._tell()

    def remove_replica(self, name: str) -> None:
        """Remove a replica's entry."""
        self._revision += 1
        self._replicas.pop(ReplicaName(name), None)
        self._changes.append((self._revision, ReplicaName(name), None))
        self._tell()

    def restore(self, seconds: float) -> None:
        """Come back from a copy that is ``seconds`` old, in a new era."""
        wanted = trio.current_time() - seconds
        found = [copy for at, copy in self._copies if at <= wanted]
        copy = found[-1] if found else DirectoryCopy()
        self._revision = copy.revision
        self._routes = copy.routes
        self._replicas = dict(copy.replicas)
        self._changes = list(copy.changes)
        self.era = StoreEra(self.era + 1)
        self._tell()

    def forget_history(self) -> None:
        """Drop what feeds would tell of the past."""
        self._changes.clear()
        self._history_from = self._revision
        self._tell()

    def now_ms(self) -> int:
        """Return the store's steady clock, which is not the hosts'."""
        return int((trio.current_time() + STORE_CLOCK_AHEAD_SECONDS) * 1000)

    def _tell(self) -> None:
        copy = DirectoryCopy(
            self._revision, self._routes, dict(self._replicas), list(self._changes)
        )
        self._copies.append((trio.current_time(), copy))
        self._news.set()
        self._news = trio.Event()

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
        """Return newer routes, or nothing after a while."""
        if after > self._revision:
            raise HistoryLostError("no such revision")
        await self._wait(
            lambda: self._routes is not None and self._routes[0] > after, seconds
        )
        newer = self._routes is not None and self._routes[0] > after
        table = self._routes[1] if newer and self._routes else None
        revision = Revision(self._revision)
        return RouteSnapshot(table, revision, self.now_ms(), self.era)

    async def read_replicas(self) -> ReplicaChanges:
        """Return all replicas."""
        await self._call()
        found = tuple(self._replicas.values())
        revision = Revision(self._revision)
        return ReplicaChanges(found, (), revision, True, self.now_ms(), self.era)

    async def await_replicas(self, after: Revision, seconds: float) -> ReplicaChanges:
        """Return what changed after a revision."""
        if after < self._history_from or after > self._revision:
            raise HistoryLostError("history dropped")
        await self._wait(
            lambda: (
                after < self._history_from
                or any(at > after for at, _, _ in self._changes)
            ),
            seconds,
        )
        if after < self._history_from:
            raise HistoryLostError("history dropped")
        newest: dict[ReplicaName, Replica | None] = {}
        for at, name, replica in self._changes:
            if at > after:
                newest[name] = replica
        put = tuple(rep for rep in newest.values() if rep is not None)
        removed = tuple(name for name, rep in newest.items() if rep is None)
        revision = Revision(self._revision)
        return ReplicaChanges(put, removed, revision, False, self.now_ms(), self.era)

    async def _wait(self, has_news, seconds: float) -> None:
        await self._call()
        if self.silent:
            # A feed that is silent for good; only the caller's time-out ends it.
            await trio.sleep(seconds + 0.6)
            raise ResponseLostError("no answer")
        with trio.move_on_after(seconds):
            while not has_news():
                await self._news.wait()
        if self.down:
            raise StoreUnavailableError("down")


@dataclass
class LeaseCopy:
    """What the lease rows were at a moment."""

    at: float
    rows: dict[str, tuple[LeaseRecord, int]]
    revision: int


class FakeLeaseRows:
    """Lease rows with a steady clock; a late write applies if its condition holds."""

    def __init__(self, now=trio.current_time) -> None:
        """Take the store's clock from ``now``, in seconds."""
        self._now = now
        self._rows: dict[str, tuple[LeaseRecord, int]] = {}
        self._revision = FIRST_LEASE_REVISION
        self._copies: list[LeaseCopy] = []
        self._late: list[tuple[float, str, LeaseRecord, Revision]] = []
        self.down = False
        self.lose_answers = 0
        self.late_seconds: float | None = None
        self.era = FIRST_ERA
        self.after_read: Callable[[], Awaitable[object]] | None = None

    async def read(self, name: str) -> LeaseRow:
        """Return a row; ``after_read`` runs once between this and what follows."""
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
        """Write a row if it is at ``expected``."""
        self._check()
        if self.lose_answers:
            self.lose_answers -= 1
            if self.late_seconds is None:
                self._apply(name, record, expected)
            else:
                at = self._now() + self.late_seconds
                self._late.append((at, name, record, expected))
            raise ResponseLostError("answer lost")
        return self._apply(name, record, expected)

    def restore(self, seconds: float) -> None:
        """Come back from a copy that is ``seconds`` old, in a new era."""
        wanted = self._now() - seconds
        found = [copy for copy in self._copies if copy.at <= wanted]
        copy = found[-1] if found else LeaseCopy(wanted, {}, FIRST_LEASE_REVISION)
        self._rows, self._revision = dict(copy.rows), copy.revision
        self.era = StoreEra(self.era + 1)

    def _check(self) -> None:
        if self.down:
            raise StoreUnavailableError("down")
        due = [late for late in self._late if late[0] <= self._now()]
        self._late = [late for late in self._late if late not in due]
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
        copy = LeaseCopy(self._now(), dict(self._rows), self._revision)
        self._copies.append(copy)
        return Granted(Revision(self._revision), self.era)


class FakeCrashRows:
    """Rows of replicas that ended under requests, in memory."""

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
        now = trio.current_time() + STORE_CLOCK_AHEAD_SECONDS
        return CrashRowsSnapshot(tuple(self._rows.values()), int(now * 1000))

    def lose_all(self) -> None:
        """Come back from a copy that has no rows."""
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

    def lose(self, hosts: Iterable[str], key: bool = False) -> None:
        """Come back from a copy that lacks some rows, and perhaps the key."""
        for host in hosts:
            self._hosts.pop(host, None)
        if key:
            self._key = ""

    async def announce(self, record: HostRecord) -> None:
        """Write a host's row."""
        self._hosts[record.host] = record

    async def hosts(self) -> list[HostRecord]:
        """Return all hosts' rows."""
        return list(self._hosts.values())

    async def get_or_set_shared_key(self, proposal: str) -> str:
        """Return the key all hosts share."""
        self._key = self._key or proposal
        return self._key
