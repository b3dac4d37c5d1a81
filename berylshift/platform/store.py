"""Reads and watches routes and replicas in the platform's store."""

import logging
from collections.abc import Iterable, Iterator
from urllib.parse import urlencode

import trio

from berylshift.ids import ReplicaName, Revision
from berylshift.messages.replicas import Replica, ReplicaChanges, RouteSnapshot
from berylshift.platform import names
from berylshift.platform.configuration import parse_configuration
from berylshift.platform.entries import parse_replica_entry
from berylshift.platform.rows import (
    PAGE_ROWS,
    Row,
    Rows,
    common_era,
    next_page_start,
    parse_rows,
)
from berylshift.store.client import StoreClient
from berylshift.store.directory import HistoryLostError
from berylshift.store.interfaces import MalformedEntryError
from berylshift.version.routes import RouteTable

logger = logging.getLogger(__name__)

STATUS_GONE = 410
# Entries of replicas take some hundred bytes. Longer ones may be nested, and each takes
# some ten milliseconds to decode at most.
LONG_ENTRY_BYTES = 4096


class PlatformDirectory:
    """Routes and replicas in the platform's store."""

    def __init__(self, client: StoreClient):
        """Call the store through ``client``, which applies timeouts."""
        self._client = client

    async def read_routes(self) -> RouteSnapshot:
        """Return the routes in force."""
        found = await self._get(names.OPERATOR_TABLE, "")
        return _route_snapshot(found, names.CONFIGURATION_KEY)

    async def await_routes(self, after: Revision, seconds: float) -> RouteSnapshot:
        """Return newer routes; after ``seconds`` the revision without a table."""
        found = await self._feed(names.OPERATOR_TABLE, after, seconds)
        return _route_snapshot(found, names.CONFIGURATION_KEY)

    async def read_replicas(self) -> ReplicaChanges:
        """Return all replicas; all pages, with the revision of the first one."""
        pages = [await self._get(names.REPLICA_TABLE, "")]
        while pages[-1].has_more:
            after = next_page_start(pages[-1])
            pages.append(await self._get(names.REPLICA_TABLE, after))
        rows = [row for page in pages for row in page.rows]
        revision = Revision(pages[0].row_version)
        put, _ = await _replicas(rows)
        # The clock of the first page: later pages may be newer, but not older.
        return ReplicaChanges(
            put, (), revision, True, pages[0].now_ms, common_era(pages)
        )

    async def await_replicas(self, after: Revision, seconds: float) -> ReplicaChanges:
        """Return the changes after a revision; none after ``seconds``.

        A response contains every change in order, so an entry that was removed and
        written again occurs twice: only its latest row is used.
        """
        found = await self._feed(names.REPLICA_TABLE, after, seconds)
        newest = {row.key: row for row in found.rows}.values()
        gone = tuple(ReplicaName(row.key) for row in newest if row.deleted)
        put, unusable = await _replicas([row for row in newest if not row.deleted])
        written = {row.key: row for row in found.rows if not row.deleted}
        passed, _ = await _replicas(
            row for key, row in written.items() if ReplicaName(key) in gone
        )
        revision = Revision(found.row_version)
        return ReplicaChanges(
            put, gone + unusable, revision, False, found.now_ms, found.era, passed
        )

    async def _get(self, table: str, start: str) -> Rows:
        query = {"table": table, "part": "", "limit": PAGE_ROWS}
        if start:
            query["from"] = start
        return await self._call(f"{names.ROWS_GET}?{urlencode(query)}", 0.0)

    async def _feed(self, table: str, after: Revision, wait_seconds: float) -> Rows:
        query = {"table": table, "after": after, "wait_ms": int(wait_seconds * 1000)}
        return await self._call(f"{names.ROWS_FEED}?{urlencode(query)}", wait_seconds)

    async def _call(self, path: str, wait_seconds: float) -> Rows:
        response = await self._client.get(path, wait_seconds)
        if response.status == STATUS_GONE:
            raise HistoryLostError(path)
        return parse_rows(response)


def _route_snapshot(found: Rows, key: str) -> RouteSnapshot:
    revision = Revision(found.row_version)
    rows = [row for row in found.rows if row.key == key and not row.deleted]
    table = parse_configuration(rows[-1].data()) if rows else None
    passed = tuple(_well_formed_tables(rows[:-1]))
    return RouteSnapshot(table, revision, found.now_ms, found.era, passed)


def _well_formed_tables(rows: Iterable[Row]) -> Iterator[RouteTable]:
    """Return the versions in rows; a malformed one was never in force."""
    for row in rows:
        try:
            yield parse_configuration(row.data())
        except MalformedEntryError as exc:
            logger.warning("malformed entry skipped", extra={"reason": str(exc)})


async def _replicas(
    rows: Iterable[Row],
) -> tuple[tuple[Replica, ...], tuple[ReplicaName, ...]]:
    """Return the replicas in rows, and the keys of malformed entries.

    Any writer can write entries: a malformed one must not hide the others. A replica
    whose entry was overwritten is used again once it renews its entry. Requests go on
    between long entries.
    """
    found, unusable = [], []
    for row in rows:
        if len(bytes(row.value)) > LONG_ENTRY_BYTES:
            await trio.lowlevel.checkpoint()
        try:
            found.append(parse_replica_entry(row.key, row.data(), row.row_version))
        except MalformedEntryError as exc:
            logger.warning("malformed entry skipped", extra={"reason": str(exc)})
            unusable.append(ReplicaName(row.key))
        except Exception:
            # All hosts read the same row at each start.
            logger.exception("entry skipped", extra={"entry": row.key})
            unusable.append(ReplicaName(row.key))
    return tuple(found), tuple(unusable)
