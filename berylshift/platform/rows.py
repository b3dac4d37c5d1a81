"""Wire format of the platform's store: responses with rows, and transactions."""

import logging
from collections.abc import Iterable
from typing import TypeVar
from urllib.parse import urlencode

import msgspec

from berylshift.ids import StoreEra
from berylshift.messages.json_decoding import MalformedJsonError, decode_json
from berylshift.messages.wire_numbers import MAX_TEXT, Position, whole_number
from berylshift.platform import names
from berylshift.store.client import StoreClient, StoreResponse
from berylshift.store.eras import FIRST_ERA
from berylshift.store.interfaces import (
    MalformedEntryError,
    ResponseLostError,
    StoreUnavailableError,
)

logger = logging.getLogger(__name__)

STATUS_OK = 200
REFUSALS = frozenset({429, 503})
# Maximum number of rows in a response; the platform truncates longer ones.
PAGE_ROWS = 500
MAX_ERA = 2**32 - 1
Record = TypeVar("Record")


class Row(msgspec.Struct):
    """One row of a response."""

    key: str
    # Base64 on the wire; decoded later, since other writers may store any value.
    value: msgspec.Raw = msgspec.Raw(b'""')
    row_version: Position = 0
    deleted: bool = False
    part: str = ""

    def data(self) -> bytes:
        """Return the value; raise ``MalformedEntryError``."""
        try:
            return decode_json(self.value, bytes)
        except MalformedJsonError as exc:
            raise MalformedEntryError(f"row {self.key}: {exc}") from exc


class _Response(msgspec.Struct):
    """A response on the wire."""

    # The latest revision of the whole store, not of the returned rows.
    row_version: Position
    # Decoded one by one, so that a malformed row does not hide the others.
    rows: list[msgspec.Raw] = []
    has_more: bool = False
    # The store's monotonic clock.
    now_ms: Position = 0


class Rows(msgspec.Struct):
    """The well-formed rows of a response that have an empty ``part``."""

    row_version: int
    rows: list[Row]
    has_more: bool
    now_ms: int
    era: StoreEra


class RowCondition(msgspec.Struct):
    """The revision that a row must have; 0: the row must not exist."""

    table: str
    key: str
    row_version: int
    part: str = ""


class RowWrite(msgspec.Struct):
    """A row to write."""

    table: str
    key: str
    value: bytes
    part: str = ""


class RowRemoval(msgspec.Struct):
    """A row to remove."""

    table: str
    key: str
    part: str = ""


class RowsTransaction(msgspec.Struct):
    """Writes and removals that are applied atomically."""

    precondition: list[RowCondition]
    write: list[RowWrite]
    remove: list[RowRemoval] = []


async def read_pages(client: StoreClient, table: str) -> list[Rows]:
    """Return all pages of a table."""
    query = {"table": table, "part": "", "limit": PAGE_ROWS}
    pages: list[Rows] = []
    while True:
        path = f"{names.ROWS_GET}?{urlencode(query)}"
        pages.append(parse_rows(await client.get(path)))
        if not pages[-1].has_more:
            return pages
        query["from"] = next_page_start(pages[-1])


def common_era(pages: list[Rows]) -> StoreEra:
    """Return the era of all pages; pages of two eras are not one consistent list."""
    eras = {page.era for page in pages}
    if len(eras) > 1:
        raise ResponseLostError("the store was restored between two pages")
    return eras.pop()


def parse_rows(response: StoreResponse) -> Rows:
    """Return the rows of a response; raise ``PlatformError`` if it is an error."""
    if response.status in REFUSALS:
        raise StoreUnavailableError(f"status {response.status}")
    if response.status != STATUS_OK:
        raise ResponseLostError(f"status {response.status}")
    try:
        decoded = decode_json(response.body, _Response)
    except MalformedJsonError as exc:
        raise ResponseLostError(f"malformed response: {exc}") from exc
    rows = _well_formed(decoded.rows)
    era = _era(response.headers.get(names.STORE_ERA, ""))
    return Rows(decoded.row_version, rows, decoded.has_more, decoded.now_ms, era)


def _era(text: str) -> StoreEra:
    """Return the era in a response header; ``FIRST_ERA`` if there is none."""
    if not text:
        return FIRST_ERA
    found = whole_number(text.encode(), MAX_ERA)
    if found is None:
        raise ResponseLostError(f"store era {text[:MAX_TEXT]!r} is not a number")
    return StoreEra(found)


def _well_formed(rows: Iterable[msgspec.Raw]) -> list[Row]:
    """Return the well-formed rows that have an empty ``part``.

    A malformed row must not hide the others.
    """
    found = []
    for raw in rows:
        try:
            row = decode_json(raw, Row)
        except MalformedJsonError as exc:
            logger.warning("malformed row skipped", extra={"reason": str(exc)})
            continue
        if not row.part:
            found.append(row)
    return found


def next_page_start(page: Rows) -> str:
    """Return the key at which the next page starts."""
    if not page.rows:
        raise ResponseLostError("the page has no well-formed row to continue from")
    return page.rows[-1].key + "\0"


def decode_records(rows: Iterable[Row], kind: type[Record]) -> list[Record]:
    """Return the records in rows; a malformed row must not hide the others."""
    found = []
    for row in rows:
        try:
            found.append(decode_json(row.data(), kind))
        except (MalformedJsonError, MalformedEntryError) as exc:
            logger.warning(
                "malformed entry skipped", extra={"entry": row.key, "reason": str(exc)}
            )
    return found
