"""Client of the platform's store: rows read whole, and followed by their feed."""

import logging
from collections.abc import Iterable
from urllib.parse import urlencode

import msgspec

from berylshift.ids import ReplicaName, Revision, StoreEra
from berylshift.messages.replicas import Replica, ReplicaChanges, RouteSnapshot
from berylshift.platform import names
from berylshift.platform.configuration import read_routes
from berylshift.platform.entries import read_replica
from berylshift.store.calls import StoreAnswer, StoreCalls
from berylshift.store.crash_rows import CrashRow, CrashRowsRead
from berylshift.store.directory import HistoryLostError, MalformedEntryError
from berylshift.store.eras import FIRST_ERA
from berylshift.store.host_rows import HostRecord
from berylshift.store.interfaces import AnswerLostError, StoreUnavailableError
from berylshift.store.lease_rows import ABSENT, Granted, LeaseRecord, LeaseRow

logger = logging.getLogger(__name__)

STATUS_OK = 200
STATUS_GONE = 410
STATUS_CONFLICT = 412
REFUSALS = frozenset({429, 503})
# Rows an answer holds at most; the platform cuts longer answers at this number.
PAGE_ROWS = 500


class _Row(msgspec.Struct):
    key: str
    # Base64 on the wire; left undecoded, since other writers' values may be anything.
    value: msgspec.Raw = msgspec.Raw(b'""')
    row_version: int = 0
    deleted: bool = False
    part: str = ""

    def data(self) -> bytes:
        """Return the value; raise ``MalformedEntryError``."""
        try:
            return msgspec.json.decode(self.value, type=bytes)
        except msgspec.DecodeError as exc:
            raise MalformedEntryError(f"row {self.key}: {exc}") from exc


class _Answer(msgspec.Struct):
    # The newest revision of the whole store, not of the rows returned.
    row_version: int
    # Read one by one: one that can't be read must not hide the others.
    rows: list[msgspec.Raw] = []
    has_more: bool = False
    # The store's steady clock.
    now_ms: int = 0


class _Rows(msgspec.Struct):
    """The rows of an answer that can be read, those of the empty part alone."""

    row_version: int
    rows: list[_Row]
    has_more: bool
    now_ms: int
    era: StoreEra


class _Condition(msgspec.Struct):
    table: str
    key: str
    row_version: int
    part: str = ""


class _Write(msgspec.Struct):
    table: str
    key: str
    value: bytes
    part: str = ""


class _Removal(msgspec.Struct):
    table: str
    key: str
    part: str = ""


class _Transaction(msgspec.Struct):
    precondition: list[_Condition]
    write: list[_Write]
    remove: list[_Removal] = []


class PlatformDirectory:
    """Routes and replicas as the platform's store tells them."""

    def __init__(self, calls: StoreCalls):
        """Ask through ``calls``, which bounds each call's time."""
        self._calls = calls

    async def read_routes(self) -> RouteSnapshot:
        """Return the routes in force."""
        found = await self._get(names.OPERATOR_TABLE, "")
        return _routes(found, names.CONFIGURATION_KEY)

    async def await_routes(self, after: Revision, seconds: float) -> RouteSnapshot:
        """Return newer routes, or the revision alone."""
        found = await self._feed(names.OPERATOR_TABLE, after, seconds)
        return _routes(found, names.CONFIGURATION_KEY)

    async def read_replicas(self) -> ReplicaChanges:
        """Return all replicas; pages are joined, the first one's revision holds."""
        pages = [await self._get(names.REPLICA_TABLE, "")]
        while pages[-1].has_more:
            after = _next_start(pages[-1])
            pages.append(await self._get(names.REPLICA_TABLE, after))
        rows = [row for page in pages for row in page.rows]
        revision = Revision(pages[0].row_version)
        put, _ = _replicas(rows)
        # The first page's clock: what the later ones hold may be newer, not older.
        return ReplicaChanges(put, (), revision, True, pages[0].now_ms, _one_era(pages))

    async def await_replicas(self, after: Revision, seconds: float) -> ReplicaChanges:
        """Return what changed after a revision.

        An answer tells each change in order, an entry that went and came back twice:
        only its newest row says what holds.
        """
        found = await self._feed(names.REPLICA_TABLE, after, seconds)
        newest = {row.key: row for row in found.rows}.values()
        gone = tuple(ReplicaName(row.key) for row in newest if row.deleted)
        put, unusable = _replicas([row for row in newest if not row.deleted])
        revision = Revision(found.row_version)
        return ReplicaChanges(
            put, gone + unusable, revision, False, found.now_ms, found.era
        )

    async def _get(self, table: str, start: str) -> _Rows:
        query = {"table": table, "part": "", "limit": PAGE_ROWS}
        if start:
            query["from"] = start
        return await self._call(f"{names.ROWS_GET}?{urlencode(query)}", 0.0)

    async def _feed(self, table: str, after: Revision, seconds: float) -> _Rows:
        query = {"table": table, "after": after, "wait_ms": int(seconds * 1000)}
        return await self._call(f"{names.ROWS_FEED}?{urlencode(query)}", seconds)

    async def _call(self, path: str, wait: float) -> _Rows:
        answer = await self._calls.get(path, wait)
        if answer.status == STATUS_GONE:
            raise HistoryLostError(path)
        return _rows(answer)


class PlatformLeases:
    """Lease rows in a table of our own."""

    def __init__(self, calls: StoreCalls):
        """Ask through ``calls``, which bounds each call's time."""
        self._calls = calls

    async def read(self, name: str) -> LeaseRow:
        """Return a row; revision ``ABSENT`` if there is none."""
        query = {"table": names.LEASE_TABLE, "part": "", "from": name, "limit": 1}
        found = _rows(await self._calls.get(f"{names.ROWS_GET}?{urlencode(query)}"))
        for row in found.rows:
            if row.key == name:
                record = _lease(row.data())
                revision = Revision(row.row_version)
                return LeaseRow(record, revision, found.now_ms, found.era)
        return LeaseRow(None, ABSENT, found.now_ms, found.era)

    async def swap(
        self, name: str, record: LeaseRecord, expected: Revision
    ) -> Granted | None:
        """Write a row if it is at ``expected``; return its revision, else ``None``."""
        table = names.LEASE_TABLE
        body = _Transaction(
            [_Condition(table, name, expected)],
            [_Write(table, name, msgspec.json.encode(record))],
        )
        answer = await self._calls.post(names.ROWS_TX, msgspec.json.encode(body))
        if answer.status == STATUS_CONFLICT:
            return None
        found = _rows(answer)
        return Granted(Revision(found.row_version), found.era)


class PlatformHosts:
    """The entry hosts' rows, and the key they share, in tables of our own."""

    def __init__(self, calls: StoreCalls):
        """Ask through ``calls``, which bounds each call's time."""
        self._calls = calls

    async def announce(self, record: HostRecord) -> None:
        """Write this host's row."""
        value = msgspec.json.encode(record)
        body = _Transaction([], [_Write(names.HOST_TABLE, record.host, value)])
        _rows(await self._calls.post(names.ROWS_TX, msgspec.json.encode(body)))

    async def hosts(self) -> list[HostRecord]:
        """Return all hosts' rows, those of hosts long gone too."""
        pages = await _pages(self._calls, names.HOST_TABLE)
        return [record for page in pages for record in _hosts(page.rows)]

    async def shared_key(self, proposal: str) -> str:
        """Return the key all hosts share; the first proposal is kept for good."""
        table, name = names.KEY_TABLE, names.DATAGRAM_KEY
        query = {"table": table, "part": "", "from": name, "limit": 1}
        path = f"{names.ROWS_GET}?{urlencode(query)}"
        found = _rows(await self._calls.get(path))
        if not found.rows:
            write = _Write(table, name, proposal.encode())
            body = _Transaction([_Condition(table, name, ABSENT)], [write])
            await self._calls.post(names.ROWS_TX, msgspec.json.encode(body))
            found = _rows(await self._calls.get(path))
        if not found.rows:
            raise AnswerLostError("the key's row is not there yet")
        return found.rows[0].data().decode()


class PlatformCrashes:
    """Replicas that ended under requests, in a table of our own."""

    def __init__(self, calls: StoreCalls):
        """Ask through ``calls``, which bounds each call's time."""
        self._calls = calls

    async def read(self) -> CrashRowsRead:
        """Return all rows that can be read."""
        pages = await _pages(self._calls, names.CRASH_TABLE)
        rows = tuple(row for page in pages for row in _crashes(page.rows))
        return CrashRowsRead(rows, pages[-1].now_ms, _one_era(pages))

    async def change(self, put: Iterable[CrashRow], drop: Iterable[CrashRow]) -> None:
        """Write some rows and remove others, in one transaction."""
        table = names.CRASH_TABLE
        body = _Transaction(
            [],
            [_Write(table, _crash_key(row), msgspec.json.encode(row)) for row in put],
            [_Removal(table, _crash_key(row)) for row in drop],
        )
        _rows(await self._calls.post(names.ROWS_TX, msgspec.json.encode(body)))


async def _pages(calls: StoreCalls, table: str) -> list[_Rows]:
    """Return all pages of a table."""
    query = {"table": table, "part": "", "limit": PAGE_ROWS}
    pages: list[_Rows] = []
    while True:
        path = f"{names.ROWS_GET}?{urlencode(query)}"
        pages.append(_rows(await calls.get(path)))
        if not pages[-1].has_more:
            return pages
        query["from"] = _next_start(pages[-1])


def _one_era(pages: list[_Rows]) -> StoreEra:
    """Return the era of all pages; pages of two eras are no list of anything."""
    eras = {page.era for page in pages}
    if len(eras) > 1:
        raise AnswerLostError("the store came back older between two pages")
    return eras.pop()


def _crash_key(row: CrashRow) -> str:
    return f"{row.request:016x}.{row.target:08x}"


def _crashes(rows: Iterable[_Row]) -> list[CrashRow]:
    """Return the rows' crashes; one bad row must not hide the others."""
    found = []
    for row in rows:
        try:
            found.append(msgspec.json.decode(row.data(), type=CrashRow))
        except (msgspec.DecodeError, MalformedEntryError) as exc:
            logger.warning("entry passed over", extra={"reason": str(exc)})
    return found


def _hosts(rows: Iterable[_Row]) -> list[HostRecord]:
    """Return the hosts of the rows; one bad row must not hide the others."""
    found = []
    for row in rows:
        try:
            found.append(msgspec.json.decode(row.data(), type=HostRecord))
        except (msgspec.DecodeError, MalformedEntryError) as exc:
            logger.warning("entry passed over", extra={"reason": str(exc)})
    return found


def _lease(data: bytes) -> LeaseRecord:
    try:
        return msgspec.json.decode(data, type=LeaseRecord)
    except msgspec.DecodeError as exc:
        raise MalformedEntryError(f"lease: {exc}") from exc


def _rows(answer: StoreAnswer) -> _Rows:
    if answer.status in REFUSALS:
        raise StoreUnavailableError(f"status {answer.status}")
    if answer.status != STATUS_OK:
        raise AnswerLostError(f"status {answer.status}")
    try:
        found = msgspec.json.decode(answer.body, type=_Answer)
    except msgspec.DecodeError as exc:
        raise AnswerLostError(f"answer can't be read: {exc}") from exc
    rows = _readable(found.rows)
    era = _era(answer.headers.get(names.STORE_ERA, ""))
    return _Rows(found.row_version, rows, found.has_more, found.now_ms, era)


def _era(text: str) -> StoreEra:
    """Return the era that an answer tells; a store that tells none is in the first."""
    if not text:
        return FIRST_ERA
    if not text.isascii() or not text.isdigit():
        raise AnswerLostError(f"era {text!r} can't be read")
    return StoreEra(int(text))


def _readable(rows: Iterable[msgspec.Raw]) -> list[_Row]:
    """Return the rows that can be read; one that can't must not hide the others."""
    found = []
    for raw in rows:
        try:
            row = msgspec.json.decode(raw, type=_Row)
        except msgspec.DecodeError as exc:
            logger.warning("row passed over", extra={"reason": str(exc)})
            continue
        if not row.part:
            found.append(row)
    return found


def _next_start(page: _Rows) -> str:
    """Return the key from which the page after this one begins."""
    if not page.rows:
        raise AnswerLostError("no key of the page can be read")
    return page.rows[-1].key + "\0"


def _routes(found: _Rows, key: str) -> RouteSnapshot:
    revision = Revision(found.row_version)
    newest = None
    for row in found.rows:
        if row.key == key and not row.deleted:
            newest = row
    table = None if newest is None else read_routes(newest.data())
    return RouteSnapshot(table, revision, found.now_ms, found.era)


def _replicas(
    rows: Iterable[_Row],
) -> tuple[tuple[Replica, ...], tuple[ReplicaName, ...]]:
    """Return the rows' replicas, and the keys of entries that name none to use.

    Any writer may write entries: one bad entry must not hide the others, and a
    replica whose entry another writer took over is used again when it renews it.
    """
    found, unusable = [], []
    for row in rows:
        try:
            found.append(read_replica(row.key, row.data(), row.row_version))
        except MalformedEntryError as exc:
            logger.warning("entry passed over", extra={"reason": str(exc)})
            unusable.append(ReplicaName(row.key))
    return tuple(found), tuple(unusable)
