"""Client of the platform's store: routes and replicas, read whole and followed."""

import logging
from collections.abc import Iterable
from urllib.parse import urlencode

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
from berylshift.store.directory import HistoryLostError, MalformedEntryError

logger = logging.getLogger(__name__)

STATUS_GONE = 410


class PlatformDirectory:
    """Routes and replicas as the platform's store tells them."""

    def __init__(self, calls: StoreClient):
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
            after = next_page_start(pages[-1])
            pages.append(await self._get(names.REPLICA_TABLE, after))
        rows = [row for page in pages for row in page.rows]
        revision = Revision(pages[0].row_version)
        put, _ = _replicas(rows)
        # The first page's clock: what the later ones hold may be newer, not older.
        return ReplicaChanges(
            put, (), revision, True, pages[0].now_ms, common_era(pages)
        )

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

    async def _get(self, table: str, start: str) -> Rows:
        query = {"table": table, "part": "", "limit": PAGE_ROWS}
        if start:
            query["from"] = start
        return await self._call(f"{names.ROWS_GET}?{urlencode(query)}", 0.0)

    async def _feed(self, table: str, after: Revision, seconds: float) -> Rows:
        query = {"table": table, "after": after, "wait_ms": int(seconds * 1000)}
        return await self._call(f"{names.ROWS_FEED}?{urlencode(query)}", seconds)

    async def _call(self, path: str, wait: float) -> Rows:
        answer = await self._calls.get(path, wait)
        if answer.status == STATUS_GONE:
            raise HistoryLostError(path)
        return parse_rows(answer)


def _routes(found: Rows, key: str) -> RouteSnapshot:
    revision = Revision(found.row_version)
    newest = None
    for row in found.rows:
        if row.key == key and not row.deleted:
            newest = row
    table = None if newest is None else parse_configuration(newest.data())
    return RouteSnapshot(table, revision, found.now_ms, found.era)


def _replicas(
    rows: Iterable[Row],
) -> tuple[tuple[Replica, ...], tuple[ReplicaName, ...]]:
    """Return the rows' replicas, and the keys of entries that name none to use.

    Any writer may write entries: one bad entry must not hide the others, and a
    replica whose entry another writer took over is used again when it renews it.
    """
    found, unusable = [], []
    for row in rows:
        try:
            found.append(parse_replica_entry(row.key, row.data(), row.row_version))
        except MalformedEntryError as exc:
            logger.warning("entry passed over", extra={"reason": str(exc)})
            unusable.append(ReplicaName(row.key))
    return tuple(found), tuple(unusable)
