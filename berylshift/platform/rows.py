"""Rows of the platform's store on the wire: answers read, transactions written."""

import logging
from collections.abc import Iterable
from typing import TypeVar
from urllib.parse import urlencode

import msgspec

from berylshift.ids import StoreEra
from berylshift.platform import names
from berylshift.store.client import StoreClient, StoreResponse
from berylshift.store.directory import MalformedEntryError
from berylshift.store.eras import FIRST_ERA
from berylshift.store.interfaces import ResponseLostError, StoreUnavailableError

logger = logging.getLogger(__name__)

STATUS_OK = 200
REFUSALS = frozenset({429, 503})
# Rows an answer holds at most; the platform cuts longer answers at this number.
PAGE_ROWS = 500
Record = TypeVar("Record")


class Row(msgspec.Struct):
    """One row as an answer has it."""

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
    """An answer as it is on the wire."""

    # The newest revision of the whole store, not of the rows returned.
    row_version: int
    # Read one by one: one that can't be read must not hide the others.
    rows: list[msgspec.Raw] = []
    has_more: bool = False
    # The store's steady clock.
    now_ms: int = 0


class Rows(msgspec.Struct):
    """The rows of an answer that can be read, those of the empty part alone."""

    row_version: int
    rows: list[Row]
    has_more: bool
    now_ms: int
    era: StoreEra


class RowCondition(msgspec.Struct):
    """A revision that a row must have; 0: there is none."""

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
    """What is done all together, or not at all."""

    precondition: list[RowCondition]
    write: list[RowWrite]
    remove: list[RowRemoval] = []


async def read_pages(calls: StoreClient, table: str) -> list[Rows]:
    """Return all pages of a table."""
    query = {"table": table, "part": "", "limit": PAGE_ROWS}
    pages: list[Rows] = []
    while True:
        path = f"{names.ROWS_GET}?{urlencode(query)}"
        pages.append(parse_rows(await calls.get(path)))
        if not pages[-1].has_more:
            return pages
        query["from"] = next_page_start(pages[-1])


def common_era(pages: list[Rows]) -> StoreEra:
    """Return the era of all pages; pages of two eras are no list of anything."""
    eras = {page.era for page in pages}
    if len(eras) > 1:
        raise ResponseLostError("the store came back older between two pages")
    return eras.pop()


def parse_rows(answer: StoreResponse) -> Rows:
    """Return the rows of an answer; raise ``PlatformError`` if it is none."""
    if answer.status in REFUSALS:
        raise StoreUnavailableError(f"status {answer.status}")
    if answer.status != STATUS_OK:
        raise ResponseLostError(f"status {answer.status}")
    try:
        found = msgspec.json.decode(answer.body, type=_Answer)
    except msgspec.DecodeError as exc:
        raise ResponseLostError(f"answer can't be read: {exc}") from exc
    rows = _readable(found.rows)
    era = _era(answer.headers.get(names.STORE_ERA, ""))
    return Rows(found.row_version, rows, found.has_more, found.now_ms, era)


def _era(text: str) -> StoreEra:
    """Return the era that an answer tells; a store that tells none is in the first."""
    if not text:
        return FIRST_ERA
    if not text.isascii() or not text.isdigit():
        raise ResponseLostError(f"era {text!r} can't be read")
    return StoreEra(int(text))


def _readable(rows: Iterable[msgspec.Raw]) -> list[Row]:
    """Return the rows that can be read; one that can't must not hide the others."""
    found = []
    for raw in rows:
        try:
            row = msgspec.json.decode(raw, type=Row)
        except msgspec.DecodeError as exc:
            logger.warning("row passed over", extra={"reason": str(exc)})
            continue
        if not row.part:
            found.append(row)
    return found


def next_page_start(page: Rows) -> str:
    """Return the key from which the page after this one begins."""
    if not page.rows:
        raise ResponseLostError("no key of the page can be read")
    return page.rows[-1].key + "\0"


def records(rows: Iterable[Row], kind: type[Record]) -> list[Record]:
    """Return the records of our own rows; one bad row must not hide the others."""
    found = []
    for row in rows:
        try:
            found.append(msgspec.json.decode(row.data(), type=kind))
        except (msgspec.DecodeError, MalformedEntryError) as exc:
            logger.warning("entry passed over", extra={"reason": str(exc)})
    return found
