"""The entry hosts' own tables in the platform's store: leases, hosts, crashes."""

from collections.abc import Iterable
from typing import TypeVar
from urllib.parse import urlencode

import msgspec

from berylshift.ids import Revision, ServiceName
from berylshift.messages.usage import SettledUsage, UsageReport
from berylshift.platform import names
from berylshift.platform.rows import (
    RowCondition,
    RowRemoval,
    Rows,
    RowsTransaction,
    RowWrite,
    common_era,
    parse_rows,
    read_pages,
    records,
)
from berylshift.store.client import StoreClient
from berylshift.store.crash_rows import CrashRow, CrashRowsSnapshot
from berylshift.store.directory import MalformedEntryError
from berylshift.store.host_rows import HostRecord
from berylshift.store.interfaces import ResponseLostError
from berylshift.store.lease_rows import ABSENT, Granted, LeaseRecord, LeaseRow

Kind = TypeVar("Kind")
STATUS_CONFLICT = 412
# Windows of usage whose settled reports are kept.
WINDOWS_KEPT = 100


class PlatformLeases:
    """Lease rows in a table of our own."""

    def __init__(self, calls: StoreClient):
        """Ask through ``calls``, which bounds each call's time."""
        self._calls = calls

    async def read(self, name: str) -> LeaseRow:
        """Return a row; revision ``ABSENT`` if there is none."""
        found = await _read_one(self._calls, names.LEASE_TABLE, name)
        for row in found.rows:
            if row.key == name:
                record = _lease(row.data())
                revision = Revision(row.row_version)
                return LeaseRow(record, revision, found.now_ms, found.era)
        return LeaseRow(None, ABSENT, found.now_ms, found.era)

    async def compare_and_swap(
        self, name: str, record: LeaseRecord, expected: Revision
    ) -> Granted | None:
        """Write a row if it is at ``expected``; return its revision, else ``None``."""
        table = names.LEASE_TABLE
        body = RowsTransaction(
            [RowCondition(table, name, expected)],
            [RowWrite(table, name, msgspec.json.encode(record))],
        )
        answer = await self._calls.post(names.ROWS_TX, msgspec.json.encode(body))
        if answer.status == STATUS_CONFLICT:
            return None
        found = parse_rows(answer)
        return Granted(Revision(found.row_version), found.era)


class PlatformHosts:
    """The entry hosts' rows, and the key they share, in tables of our own."""

    def __init__(self, calls: StoreClient):
        """Ask through ``calls``, which bounds each call's time."""
        self._calls = calls

    async def announce(self, record: HostRecord) -> None:
        """Write this host's row."""
        value = msgspec.json.encode(record)
        body = RowsTransaction([], [RowWrite(names.HOST_TABLE, record.host, value)])
        parse_rows(await self._calls.post(names.ROWS_TX, msgspec.json.encode(body)))

    async def hosts(self) -> list[HostRecord]:
        """Return all hosts' rows, those of hosts long gone too."""
        pages = await read_pages(self._calls, names.HOST_TABLE)
        return [rec for page in pages for rec in records(page.rows, HostRecord)]

    async def get_or_set_shared_key(self, proposal: str) -> str:
        """Return the key all hosts share; the first proposal is kept for good."""
        table, name = names.KEY_TABLE, names.DATAGRAM_KEY
        query = {"table": table, "part": "", "from": name, "limit": 1}
        path = f"{names.ROWS_GET}?{urlencode(query)}"
        found = parse_rows(await self._calls.get(path))
        if not found.rows:
            write = RowWrite(table, name, proposal.encode())
            body = RowsTransaction([RowCondition(table, name, ABSENT)], [write])
            await self._calls.post(names.ROWS_TX, msgspec.json.encode(body))
            found = parse_rows(await self._calls.get(path))
        if not found.rows:
            raise ResponseLostError("the key's row is not there yet")
        return found.rows[0].data().decode()


class PlatformCrashes:
    """Replicas that ended under requests, in a table of our own."""

    def __init__(self, calls: StoreClient):
        """Ask through ``calls``, which bounds each call's time."""
        self._calls = calls

    async def read(self) -> CrashRowsSnapshot:
        """Return all rows that can be read."""
        pages = await read_pages(self._calls, names.CRASH_TABLE)
        rows = tuple(row for page in pages for row in records(page.rows, CrashRow))
        return CrashRowsSnapshot(rows, pages[-1].now_ms, common_era(pages))

    async def change(self, put: Iterable[CrashRow], drop: Iterable[CrashRow]) -> None:
        """Write some rows and remove others, in one transaction."""
        table = names.CRASH_TABLE
        body = RowsTransaction(
            [],
            [RowWrite(table, _crash_key(row), msgspec.json.encode(row)) for row in put],
            [RowRemoval(table, _crash_key(row)) for row in drop],
        )
        parse_rows(await self._calls.post(names.ROWS_TX, msgspec.json.encode(body)))


class PlatformUsage:
    """Settled reports of usage, in a table of our own."""

    def __init__(self, calls: StoreClient):
        """Ask through ``calls``, which bounds each call's time."""
        self._calls = calls

    async def read(self, window: int) -> SettledUsage | None:
        """Return what was settled of a window."""
        key = str(window)
        found = await _read_one(self._calls, names.USAGE_TABLE, key)
        report = _record(found, key, UsageReport)
        return None if report is None else SettledUsage(report, found.era)

    async def settle(self, report: UsageReport) -> SettledUsage:
        """Settle a report, unless one was settled before; return the one that holds.

        The row of a window long over goes in the same call.
        """
        table = names.USAGE_TABLE
        write = RowWrite(table, str(report.window), msgspec.json.encode(report))
        over = RowRemoval(table, str(report.window - WINDOWS_KEPT))
        written = await _write_once(self._calls, write, over)
        if written is not None:
            return SettledUsage(report, written.era)
        found = await self.read(report.window)
        if found is None:
            raise ResponseLostError("the settled report is not there yet")
        return found


class PlatformScaling:
    """How many replicas services need, in a table of our own."""

    def __init__(self, calls: StoreClient):
        """Ask through ``calls``, which bounds each call's time."""
        self._calls = calls

    async def get_or_set_needed(self, service: ServiceName, needed: int) -> int:
        """Keep a number, unless there is one; return the one that holds."""
        table = names.SCALING_TABLE
        write = RowWrite(table, service, msgspec.json.encode(needed))
        if await _write_once(self._calls, write) is not None:
            return needed
        found = _record(await _read_one(self._calls, table, service), service, int)
        if found is None:
            raise ResponseLostError("the number needed is not there yet")
        return found


async def _write_once(
    calls: StoreClient, write: RowWrite, *over: RowRemoval
) -> Rows | None:
    """Write a row that is not there yet; ``None``: it is. ``over`` go with it."""
    condition = RowCondition(write.table, write.key, ABSENT)
    body = RowsTransaction([condition], [write], list(over))
    answer = await calls.post(names.ROWS_TX, msgspec.json.encode(body))
    return None if answer.status == STATUS_CONFLICT else parse_rows(answer)


async def _read_one(calls: StoreClient, table: str, key: str) -> Rows:
    """Return an answer that has the row of ``key``, if there is one."""
    query = {"table": table, "part": "", "from": key, "limit": 1}
    return parse_rows(await calls.get(f"{names.ROWS_GET}?{urlencode(query)}"))


def _record(found: Rows, key: str, kind: type[Kind]) -> Kind | None:
    """Return the record under a key; raise ``MalformedEntryError``."""
    for row in found.rows:
        if row.key == key:
            try:
                return msgspec.json.decode(row.data(), type=kind)
            except msgspec.DecodeError as exc:
                raise MalformedEntryError(f"row {key}: {exc}") from exc
    return None


def _crash_key(row: CrashRow) -> str:
    return f"{row.request:016x}.{row.target:08x}"


def _lease(data: bytes) -> LeaseRecord:
    try:
        return msgspec.json.decode(data, type=LeaseRecord)
    except msgspec.DecodeError as exc:
        raise MalformedEntryError(f"lease: {exc}") from exc
