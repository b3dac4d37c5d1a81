"""Tables of this system in the platform's store: leases, hosts, crashes and more."""

import logging
from collections.abc import Iterable
from typing import Annotated, TypeVar
from urllib.parse import urlencode

import msgspec

from berylshift.ids import Revision, ServiceName, StoreEra
from berylshift.messages.addresses import is_endpoint
from berylshift.messages.json_decoding import MalformedJsonError, decode_json
from berylshift.messages.usage import SettledUsage, UsageReport
from berylshift.messages.wire_numbers import MAX_REQUESTS, MAX_TEXT, MAX_U64, Count
from berylshift.platform import names
from berylshift.platform.rows import (
    Row,
    RowCondition,
    RowRemoval,
    Rows,
    RowsTransaction,
    RowWrite,
    common_era,
    decode_records,
    parse_rows,
    read_pages,
)
from berylshift.store.checkpoint_rows import Checkpoint, CheckpointsSnapshot
from berylshift.store.client import StoreClient
from berylshift.store.crash_rows import CrashRow, CrashRowsSnapshot
from berylshift.store.eras import FIRST_ERA
from berylshift.store.host_rows import PORTS_PER_HOST, HostRecord
from berylshift.store.interfaces import MalformedEntryError, ResponseLostError
from berylshift.store.lease_rows import ABSENT, Granted, LeaseRecord, LeaseRow

logger = logging.getLogger(__name__)

Kind = TypeVar("Kind")
# 0 would mean that the number is not known.
NeededReplicas = Annotated[int, msgspec.Meta(ge=1, le=MAX_REQUESTS)]
STATUS_PRECONDITION_FAILED = 412
# Number of usage windows whose settled reports are kept.
WINDOWS_KEPT = 100


class PlatformLeases:
    """Lease rows in the table of leases."""

    def __init__(self, client: StoreClient):
        """Call the store through ``client``, which applies timeouts."""
        self._client = client

    async def read(self, name: str) -> LeaseRow:
        """Return a row; its revision is ``ABSENT`` if it does not exist."""
        found = await _read_one(self._client, names.LEASE_TABLE, name)
        for row in found.rows:
            if row.key == name:
                record = _lease(row)
                revision = Revision(row.row_version)
                return LeaseRow(record, revision, found.now_ms, found.era)
        return LeaseRow(None, ABSENT, found.now_ms, found.era)

    async def compare_and_swap(
        self, name: str, record: LeaseRecord, expected: Revision
    ) -> Granted | None:
        """Write a row if its revision is ``expected``; otherwise return ``None``."""
        table = names.LEASE_TABLE
        body = RowsTransaction(
            [RowCondition(table, name, expected)],
            [RowWrite(table, name, msgspec.json.encode(record))],
        )
        response = await self._client.post(names.ROWS_TX, msgspec.json.encode(body))
        if response.status == STATUS_PRECONDITION_FAILED:
            return None
        found = parse_rows(response)
        return Granted(Revision(found.row_version), found.era)


class PlatformHosts:
    """Rows of the entry hosts, and the key they share."""

    def __init__(self, client: StoreClient):
        """Call the store through ``client``, which applies timeouts."""
        self._client = client

    async def announce(self, record: HostRecord) -> HostRecord:
        """Write this host's row; return it with the time at which it joined.

        A write of an earlier process that the store performs late finds another
        revision than it expects.
        """
        table, name = names.HOST_TABLE, record.host
        found = await _read_one(self._client, table, name)
        revision = next(
            (Revision(row.row_version) for row in found.rows if row.key == name), ABSENT
        )
        joined = msgspec.structs.replace(
            record, era=found.era, joined_ms=max(1, found.now_ms)
        )
        body = RowsTransaction(
            [RowCondition(table, name, revision)],
            [RowWrite(table, name, msgspec.json.encode(joined))],
        )
        response = await self._client.post(names.ROWS_TX, msgspec.json.encode(body))
        if response.status == STATUS_PRECONDITION_FAILED:
            raise ResponseLostError("the host's row was written meanwhile")
        parse_rows(response)
        return joined

    async def hosts(self) -> list[HostRecord]:
        """Return the rows of all hosts, including those that no longer run."""
        pages = await read_pages(self._client, names.HOST_TABLE)
        return [
            rec
            for page in pages
            for row in page.rows
            for rec in decode_records([row], HostRecord)
            if _is_usable(row, rec, page)
        ]

    async def get_or_set_shared_key(self, proposal: str) -> str:
        """Return the key shared by all hosts; the first proposal is stored.

        It replaces a row that can't be read, which no host can use.
        """
        table, name = names.KEY_TABLE, names.DATAGRAM_KEY
        query = {"table": table, "part": "", "from": name, "limit": 1}
        path = f"{names.ROWS_GET}?{urlencode(query)}"
        found = parse_rows(await self._client.get(path))
        key, revision = _shared_key(found, name)
        if key is None:
            write = RowWrite(table, name, proposal.encode())
            body = RowsTransaction([RowCondition(table, name, revision)], [write])
            await self._client.post(names.ROWS_TX, msgspec.json.encode(body))
            key, _ = _shared_key(parse_rows(await self._client.get(path)), name)
        if key is None:
            raise ResponseLostError("the shared key is not readable yet")
        return key

    async def get_or_set_first_era(self, known: StoreEra | None) -> StoreEra:
        """Return the store's era in which the first host of the system joined.

        If the store does not tell, ``known`` is stored, or the current era if it is
        ``None``. A row that can't be read tells of an earlier start, of any era.
        """
        table, name = names.KEY_TABLE, names.FIRST_ERA_KEY
        for _ in range(2):
            found = await _read_one(self._client, table, name)
            try:
                era = _record(found, name, Count)
            except MalformedEntryError as exc:
                logger.warning("malformed entry skipped", extra={"reason": str(exc)})
                return FIRST_ERA
            if era is not None:
                return StoreEra(era)
            first = found.era if known is None else known
            write = RowWrite(table, name, msgspec.json.encode(first))
            if await _write_at(self._client, write, ABSENT) is not None:
                return first
        raise ResponseLostError("the first era is not readable yet")


class PlatformCrashes:
    """Replica crashes during requests, or under prompt blocks, in a table."""

    def __init__(self, client: StoreClient, table: str = names.CRASH_TABLE):
        """Call the store through ``client``, which applies timeouts."""
        self._client = client
        self._table = table

    async def read(self) -> CrashRowsSnapshot:
        """Return all rows that can be decoded."""
        pages = await read_pages(self._client, self._table)
        rows = tuple(
            row
            for page in pages
            for row in decode_records(page.rows, CrashRow)
            if 0 <= row.request <= MAX_U64
        )
        return CrashRowsSnapshot(rows, pages[-1].now_ms, common_era(pages))

    async def change(self, put: Iterable[CrashRow], drop: Iterable[CrashRow]) -> None:
        """Write the rows ``put`` and remove the rows ``drop`` in one transaction."""
        table = self._table
        body = RowsTransaction(
            [],
            [RowWrite(table, _crash_key(row), msgspec.json.encode(row)) for row in put],
            [RowRemoval(table, _crash_key(row)) for row in drop],
        )
        parse_rows(await self._client.post(names.ROWS_TX, msgspec.json.encode(body)))


class PlatformBlockCrashes(PlatformCrashes):
    """Replica crashes under prompt blocks, in the table of these."""

    def __init__(self, client: StoreClient):
        """Call the store through ``client``, which applies timeouts."""
        super().__init__(client, names.BLOCK_CRASH_TABLE)


class PlatformCheckpoints:
    """Revisions of the store and their times, in the table of checkpoints."""

    def __init__(self, client: StoreClient):
        """Call the store through ``client``, which applies timeouts."""
        self._client = client

    async def read(self) -> CheckpointsSnapshot:
        """Return the checkpoints of all slots."""
        pages = await read_pages(self._client, names.CHECKPOINT_TABLE)
        found = tuple(
            checkpoint
            for page in pages
            for checkpoint in decode_records(page.rows, Checkpoint)
        )
        first = pages[0]
        revision = Revision(first.row_version)
        return CheckpointsSnapshot(found, revision, first.now_ms, common_era(pages))

    async def write(self, slot: int, checkpoint: Checkpoint) -> None:
        """Replace the checkpoint of a slot."""
        data = msgspec.json.encode(checkpoint)
        write = RowWrite(names.CHECKPOINT_TABLE, str(slot), data)
        body = msgspec.json.encode(RowsTransaction([], [write]))
        parse_rows(await self._client.post(names.ROWS_TX, body))


class PlatformUsage:
    """Settled usage reports, in the table of usage."""

    def __init__(self, client: StoreClient):
        """Call the store through ``client``, which applies timeouts."""
        self._client = client

    async def read(self, window: int) -> SettledUsage | None:
        """Return the settled report of a window, ``None`` if there is none."""
        key = str(window)
        found = await _read_one(self._client, names.USAGE_TABLE, key)
        report = _record(found, key, UsageReport)
        if report is not None and report.window != window:
            raise MalformedEntryError(f"row {key}: window {report.window}")
        return None if report is None else SettledUsage(report, found.era)

    async def settle(self, report: UsageReport) -> SettledUsage:
        """Store a report unless one is settled already; return the settled one.

        The same transaction removes the row of the window that is no longer kept.
        """
        table = names.USAGE_TABLE
        write = RowWrite(table, str(report.window), msgspec.json.encode(report))
        expired = RowRemoval(table, str(report.window - WINDOWS_KEPT))
        written = await _write_at(self._client, write, ABSENT, expired)
        if written is not None:
            return SettledUsage(report, written.era)
        found = await self.read(report.window)
        if found is None:
            raise ResponseLostError("the settled report is not readable yet")
        return found


class PlatformScaling:
    """Number of replicas that services need, in the table of scaling."""

    def __init__(self, client: StoreClient):
        """Call the store through ``client``, which applies timeouts."""
        self._client = client

    async def get_or_set_needed(self, service: ServiceName, needed: int) -> int:
        """Store a number unless one is stored already; return the stored one.

        It replaces a row that can't be read, which would stop all orders.
        """
        table, revision = names.SCALING_TABLE, ABSENT
        write = RowWrite(table, service, msgspec.json.encode(needed))
        for _ in range(2):
            if await _write_at(self._client, write, revision) is not None:
                return needed
            found = await _read_one(self._client, table, service)
            revision = _revision(found, service)
            try:
                known = _record(found, service, NeededReplicas)
            except MalformedEntryError as exc:
                logger.warning("malformed entry replaced", extra={"reason": str(exc)})
                continue
            if known is not None:
                return known
        raise ResponseLostError("the needed number is not readable yet")


async def _write_at(
    client: StoreClient, write: RowWrite, revision: Revision, *removals: RowRemoval
) -> Rows | None:
    """Write a row and apply ``removals``; ``None`` if it is at another revision."""
    condition = RowCondition(write.table, write.key, revision)
    body = RowsTransaction([condition], [write], list(removals))
    response = await client.post(names.ROWS_TX, msgspec.json.encode(body))
    return (
        None if response.status == STATUS_PRECONDITION_FAILED else parse_rows(response)
    )


async def _read_one(client: StoreClient, table: str, key: str) -> Rows:
    """Return a page that starts with the row of ``key`` if it exists."""
    query = {"table": table, "part": "", "from": key, "limit": 1}
    return parse_rows(await client.get(f"{names.ROWS_GET}?{urlencode(query)}"))


def _record(found: Rows, key: str, kind: type[Kind]) -> Kind | None:
    """Return the record of a key; raise ``MalformedEntryError``."""
    for row in found.rows:
        if row.key == key:
            try:
                return decode_json(row.data(), kind)
            except MalformedJsonError as exc:
                raise MalformedEntryError(f"row {key}: {exc}") from exc
    return None


def _revision(found: Rows, key: str) -> Revision:
    """Return the revision of a row, ``ABSENT`` if there is none."""
    found_revisions = (row.row_version for row in found.rows if row.key == key)
    return Revision(next(found_revisions, ABSENT))


def _shared_key(found: Rows, name: str) -> tuple[str | None, Revision]:
    """Return the key, ``None`` if it can't be read, and the revision of its row."""
    for row in found.rows:
        if row.key != name:
            continue
        revision = Revision(row.row_version)
        try:
            return row.data().decode(), revision
        except (MalformedEntryError, UnicodeDecodeError) as exc:
            logger.warning("malformed entry skipped", extra={"reason": str(exc)})
            return None, revision
    return None, ABSENT


def _is_usable(row: Row, record: HostRecord, page: Rows) -> bool:
    """Return whether a host wrote its row, and other hosts can send to it.

    No process has joined later than the store's answer; such a row would win for ever.
    """
    has_joined = (record.era, record.joined_ms) <= (page.era, max(1, page.now_ms))
    is_own = record.host == row.key and has_joined
    if is_own and is_endpoint(record.address, PORTS_PER_HOST):
        return True
    logger.warning("host skipped", extra={"entry": row.key[:MAX_TEXT]})
    return False


def _crash_key(row: CrashRow) -> str:
    return f"{row.request:016x}.{row.target:08x}"


def _lease(row: Row) -> LeaseRecord | None:
    """Return the record of a lease; ``None`` if it can't be read.

    Nobody can hold or release such a lease, so the next host that needs it replaces it.
    """
    records = decode_records([row], LeaseRecord)
    return records[0] if records else None
