"""A fake of the platform's store: rows, conditions and feeds over HTTP."""

from collections import deque
from dataclasses import dataclass, field

import msgspec
import trio

from berylshift.connection.http_request import HttpRequest
from berylshift.connection.responder import Responder
from berylshift.platform import names

JSON_TYPE = {"content-type": "application/json"}
STATUS_OK = 200
STATUS_CONFLICT = 412
STATUS_NOT_FOUND = 404
STATUS_GONE = 410
# Not part of the platform's API: restores the store from a snapshot, for tests.
RESTORE_PATH = "/stand-in/restore"
# Feeds go back this far, and restores this far.
HISTORY_SECONDS = 20.0
SNAPSHOT_SECONDS = 60.0


class StoreRow(msgspec.Struct):
    """A row as encoded on the wire."""

    table: str
    key: str
    value: bytes = b""
    row_version: int = 0
    part: str = ""
    deleted: bool = False


class StoreCondition(msgspec.Struct):
    """A row version that a transaction requires; 0 means that there is no row."""

    table: str
    key: str
    row_version: int = 0
    part: str = ""


class StoreTransaction(msgspec.Struct):
    """Writes and removals that are applied atomically."""

    precondition: list[StoreCondition] = []
    write: list[StoreRow] = []
    remove: list[StoreCondition] = []


class StoreResponseBody(msgspec.Struct):
    """Rows, with the store's newest version and its clock."""

    rows: list[msgspec.Raw]
    row_version: int
    now_ms: int
    has_more: bool = False


@dataclass
class StoreSnapshot:
    """The store's contents at one time."""

    at: float = float("-inf")
    version: int = 1
    rows: dict[tuple[str, str], StoreRow] = field(default_factory=dict)
    log: list[StoreRow] = field(default_factory=list)
    dropped: int = 0


@dataclass
class StoreServer:
    """The store's rows, kept in memory only."""

    rows: dict[tuple[str, str], StoreRow] = field(default_factory=dict)
    log: list[StoreRow] = field(default_factory=list)
    version: int = 1
    era: int = 0
    changed: trio.Event = field(default_factory=trio.Event)
    # Encoded rows of other writers, which are added to each response.
    bad_rows: list[bytes] = field(default_factory=list)
    snapshots: deque[StoreSnapshot] = field(default_factory=deque)
    # The changes up to this version are not in the log any more.
    dropped: int = 0
    # When each version in the log was made.
    times: deque[tuple[float, int]] = field(default_factory=deque)

    async def handle(self, req: HttpRequest, responder: Responder) -> None:
        """Answer one call."""
        if req.path == names.ROWS_GET:
            await self._handle_get(req, responder)
        elif req.path == names.ROWS_FEED:
            await self._handle_feed(req, responder)
        elif req.path == names.ROWS_TX:
            await self._handle_transaction(req, responder)
        elif req.path == RESTORE_PATH:
            self.restore(float(req.query["seconds"]))
            await self._respond(responder, [])
        else:
            await responder.full(STATUS_NOT_FOUND, JSON_TYPE, b"{}")

    def restore(self, seconds: float) -> None:
        """Restore the store from a snapshot ``seconds`` old, in a new era."""
        restore_time = trio.current_time() - seconds
        candidates = [
            snapshot for snapshot in self.snapshots if snapshot.at <= restore_time
        ]
        snapshot = candidates[-1] if candidates else StoreSnapshot()
        self.version = snapshot.version
        self.rows, self.log = dict(snapshot.rows), list(snapshot.log)
        self.dropped = snapshot.dropped
        self.times = deque([(trio.current_time(), self.version)])
        self.era += 1

    async def _handle_get(self, req: HttpRequest, responder: Responder) -> None:
        table, start = req.query["table"], req.query.get("from", "")
        found = [row for key, row in sorted(self.rows.items()) if key[0] == table]
        found = [row for row in found if row.key >= start]
        limit = int(req.query.get("limit", "500"))
        await self._respond(responder, found[:limit], len(found) > limit)

    async def _handle_feed(self, req: HttpRequest, responder: Responder) -> None:
        table, after = req.query["table"], int(req.query["after"])
        self._drop_history()
        if not self.dropped <= after <= self.version:
            await self._respond(responder, [], status=STATUS_GONE)
            return
        with trio.move_on_after(int(req.query["wait_ms"]) / 1000):
            while not self._changes_after(table, after):
                await self.changed.wait()
        await self._respond(responder, self._changes_after(table, after))

    def _changes_after(self, table: str, after: int) -> list[StoreRow]:
        return [
            row for row in self.log if row.table == table and row.row_version > after
        ]

    async def _handle_transaction(self, req: HttpRequest, responder: Responder) -> None:
        transaction = msgspec.json.decode(req.body, type=StoreTransaction)
        if not all(self._is_met(condition) for condition in transaction.precondition):
            await self._respond(responder, [], status=STATUS_CONFLICT)
            return
        self.version += 1
        for row in transaction.write:
            row.row_version = self.version
            self.rows[row.table, row.key] = row
            self.log.append(row)
        for removed in transaction.remove:
            self.rows.pop((removed.table, removed.key), None)
            row = StoreRow(removed.table, removed.key, b"", self.version, deleted=True)
            self.log.append(row)
        self._keep_snapshot()
        self.changed.set()
        self.changed = trio.Event()
        await self._respond(responder, [])

    def _keep_snapshot(self) -> None:
        now = trio.current_time()
        self.times.append((now, self.version))
        self._drop_history()
        rows, log = dict(self.rows), list(self.log)
        snapshot = StoreSnapshot(now, self.version, rows, log, self.dropped)
        self.snapshots.append(snapshot)
        # One that is older is what a restore from before the next one needs.
        while len(self.snapshots) > 1 and self.snapshots[1].at < now - SNAPSHOT_SECONDS:
            self.snapshots.popleft()

    def _drop_history(self) -> None:
        limit, before = trio.current_time() - HISTORY_SECONDS, self.dropped
        while self.times and self.times[0][0] < limit:
            self.dropped = self.times.popleft()[1]
        if self.dropped > before:
            self.log = [row for row in self.log if row.row_version > self.dropped]

    def _is_met(self, condition: StoreCondition) -> bool:
        row = self.rows.get((condition.table, condition.key))
        return condition.row_version == (row.row_version if row else 0)

    async def _respond(
        self,
        responder: Responder,
        rows: list[StoreRow],
        has_more: bool = False,
        status: int = STATUS_OK,
    ) -> None:
        now_ms = int(trio.current_time() * 1000)
        encoded_rows = [msgspec.Raw(msgspec.json.encode(row)) for row in rows]
        encoded_rows += [msgspec.Raw(row) for row in self.bad_rows]
        body = StoreResponseBody(encoded_rows, self.version, now_ms, has_more)
        headers = (
            {**JSON_TYPE, names.STORE_ERA: str(self.era)} if self.era else JSON_TYPE
        )
        await responder.full(status, headers, msgspec.json.encode(body))
