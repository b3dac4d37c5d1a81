"""A stand-in of the platform's store: rows, conditions and feeds over HTTP."""

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
# Not the platform's: has the store come back from a copy some seconds old.
RESTORE_PATH = "/stand-in/restore"


class StoreRow(msgspec.Struct):
    """A row as it goes over the wire."""

    table: str
    key: str
    value: bytes = b""
    row_version: int = 0
    part: str = ""
    deleted: bool = False


class StoreCondition(msgspec.Struct):
    """A row's version that a transaction needs; 0: no such row."""

    table: str
    key: str
    row_version: int = 0
    part: str = ""


class StoreTransaction(msgspec.Struct):
    """Entries that are applied all or none."""

    precondition: list[StoreCondition] = []
    write: list[StoreRow] = []
    remove: list[StoreCondition] = []


class StoreAnswerBody(msgspec.Struct):
    """Rows with the store's newest version and its clock."""

    rows: list[msgspec.Raw]
    row_version: int
    now_ms: int
    has_more: bool = False


@dataclass
class StoreCopy:
    """What the store held at a moment."""

    at: float = float("-inf")
    version: int = 1
    rows: dict[tuple[str, str], StoreRow] = field(default_factory=dict)
    log: list[StoreRow] = field(default_factory=list)


@dataclass
class StoreServer:
    """Rows in memory; nothing lasts."""

    rows: dict[tuple[str, str], StoreRow] = field(default_factory=dict)
    log: list[StoreRow] = field(default_factory=list)
    version: int = 1
    era: int = 0
    news: trio.Event = field(default_factory=trio.Event)
    # Rows of other writers, as they stand on the wire; told with each answer.
    bad_rows: list[bytes] = field(default_factory=list)
    copies: list[StoreCopy] = field(default_factory=list)

    async def handle(self, req: HttpRequest, responder: Responder) -> None:
        """Answer one call."""
        if req.path == names.ROWS_GET:
            await self._get(req, responder)
        elif req.path == names.ROWS_FEED:
            await self._feed(req, responder)
        elif req.path == names.ROWS_TX:
            await self._transact(req, responder)
        elif req.path == RESTORE_PATH:
            self.restore(float(req.query["seconds"]))
            await self._answer(responder, [])
        else:
            await responder.full(STATUS_NOT_FOUND, JSON_TYPE, b"{}")

    def restore(self, seconds: float) -> None:
        """Come back from a copy that is ``seconds`` old, in a new era."""
        wanted = trio.current_time() - seconds
        found = [copy for copy in self.copies if copy.at <= wanted]
        copy = found[-1] if found else StoreCopy()
        self.version = copy.version
        self.rows, self.log = dict(copy.rows), list(copy.log)
        self.era += 1

    async def _get(self, req: HttpRequest, responder: Responder) -> None:
        table, start = req.query["table"], req.query.get("from", "")
        found = [row for key, row in sorted(self.rows.items()) if key[0] == table]
        found = [row for row in found if row.key >= start]
        limit = int(req.query.get("limit", "500"))
        await self._answer(responder, found[:limit], len(found) > limit)

    async def _feed(self, req: HttpRequest, responder: Responder) -> None:
        table, after = req.query["table"], int(req.query["after"])
        if after > self.version:
            await self._answer(responder, [], status=STATUS_GONE)
            return
        with trio.move_on_after(int(req.query["wait_ms"]) / 1000):
            while not self._changes(table, after):
                await self.news.wait()
        await self._answer(responder, self._changes(table, after))

    def _changes(self, table: str, after: int) -> list[StoreRow]:
        return [
            row for row in self.log if row.table == table and row.row_version > after
        ]

    async def _transact(self, req: HttpRequest, responder: Responder) -> None:
        found = msgspec.json.decode(req.body, type=StoreTransaction)
        if not all(self._holds(condition) for condition in found.precondition):
            await self._answer(responder, [], status=STATUS_CONFLICT)
            return
        self.version += 1
        for row in found.write:
            row.row_version = self.version
            self.rows[row.table, row.key] = row
            self.log.append(row)
        for gone in found.remove:
            self.rows.pop((gone.table, gone.key), None)
            row = StoreRow(gone.table, gone.key, b"", self.version, deleted=True)
            self.log.append(row)
        now = trio.current_time()
        copy = StoreCopy(now, self.version, dict(self.rows), list(self.log))
        self.copies.append(copy)
        self.news.set()
        self.news = trio.Event()
        await self._answer(responder, [])

    def _holds(self, condition: StoreCondition) -> bool:
        row = self.rows.get((condition.table, condition.key))
        return condition.row_version == (row.row_version if row else 0)

    async def _answer(
        self,
        responder: Responder,
        rows: list[StoreRow],
        has_more: bool = False,
        status: int = STATUS_OK,
    ) -> None:
        now_ms = int(trio.current_time() * 1000)
        told = [msgspec.Raw(msgspec.json.encode(row)) for row in rows]
        told += [msgspec.Raw(row) for row in self.bad_rows]
        body = StoreAnswerBody(told, self.version, now_ms, has_more)
        headers = (
            {**JSON_TYPE, names.STORE_ERA: str(self.era)} if self.era else JSON_TYPE
        )
        await responder.full(status, headers, msgspec.json.encode(body))
