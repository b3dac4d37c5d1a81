"""Callers that keep their connections in use, and what became of their requests."""

import random
from collections.abc import Callable, Sequence
from enum import StrEnum

import h11
import msgspec
import trio

from berylshift.connection.errors import ConnectionLayerError
from berylshift.connection.http_client import ClientConnection, dial_tcp
from berylshift.platform import names

SITE = "shop.example"
STATUS_OK = 200
TIMEOUT_SECONDS = 5.0
# Callers close their connection this long after a request's time is over.
OVERTIME_SECONDS = 1.0
# The pause after a refusal without a delay, or after a broken connection.
RETRY_SECONDS = 0.2
THINK_SECONDS = 0.05
# Callers leave a brief stream after this time without an event.
PATIENCE_SECONDS = 2.0
SMALL_BYTES, UPLOAD_BYTES = 200, 1_000_000


class Kind(StrEnum):
    """The route that a request uses."""

    NOTE = "note"
    LOOKUP = "look"
    BOOKING = "book"
    BRIEF = "brief"

    @property
    def may_run_twice(self) -> bool:
        """Return whether its requests may be repeated."""
        return self in (Kind.LOOKUP, Kind.BRIEF)


USUAL_KINDS = (Kind.NOTE, Kind.LOOKUP, Kind.BOOKING)
# How many events the streams have.
EVENT_COUNTS = {Kind.NOTE: 4, Kind.BRIEF: 40}


class Request(msgspec.Struct):
    """One request; ``status`` 0: no response, ``ended_at`` ``None``: still open."""

    id: str
    kind: Kind
    host: int
    sent_at: float
    ended_at: float | None = None
    status: int = 0
    is_whole: bool = False
    retry_after: float | None = None
    has_left: bool = False
    # Whether the response had other bytes than expected, as far as it came.
    is_wrong: bool = False


class Caller:
    """One caller with one connection at a time, to a host that the balancer chooses."""

    def __init__(
        self,
        name: str,
        rng: random.Random,
        choose_host: Callable[[], tuple[int, str]],
        records: list[Request],
        kinds: Sequence[Kind] = USUAL_KINDS,
    ):
        """Choose a host for each connection; add each request to ``records``."""
        self._kinds = kinds
        self._name = name
        self._rng = rng
        self._choose_host = choose_host
        self._records = records
        self._host = 0
        self._connection: ClientConnection | None = None

    async def run(self, body_bytes: int = SMALL_BYTES) -> None:
        """Send one request after the other until cancelled."""
        number = 0
        while True:
            number += 1
            kind = Kind.BOOKING
            if body_bytes == SMALL_BYTES:
                kind = self._rng.choice(self._kinds)
            req = await self._ask(f"{self._name}-{number}", kind, body_bytes)
            pause = self._rng.expovariate(1 / THINK_SECONDS)
            if not req.status:
                pause = RETRY_SECONDS
            elif req.retry_after is not None:
                pause = req.retry_after
            await trio.sleep(pause)

    async def _ask(self, name: str, kind: Kind, body_bytes: int) -> Request:
        req = Request(name, kind, self._host, trio.current_time())
        try:
            if self._connection is None:
                self._host, address = self._choose_host()
                self._connection = ClientConnection(await dial_tcp(address))
        except OSError:
            return req
        req.host = self._host
        self._records.append(req)
        with trio.move_on_after(TIMEOUT_SECONDS + OVERTIME_SECONDS):
            try:
                await self._exchange(self._connection, req, body_bytes)
            except* (ConnectionLayerError, h11.LocalProtocolError):
                req.status = 0
        if not req.status:
            await self._close()
        req.ended_at = trio.current_time()
        return req

    async def _exchange(
        self, connection: ClientConnection, req: Request, body_bytes: int
    ) -> None:
        head = h11.Request(
            method="POST", target=f"/{req.kind}/x", headers=_headers(req, body_bytes)
        )
        data = connection.conn.send(head) or b""
        data += connection.conn.send(h11.Data(data=b"d" * body_bytes)) or b""
        data += connection.conn.send(h11.EndOfMessage()) or b""
        async with trio.open_nursery() as nursery:
            # A host may respond before it has read a long body.
            nursery.start_soon(_send, connection, data)
            with _patience(req) as patience:
                response = await connection.read_head()
                is_answer = response.status_code == STATUS_OK
                await _read_body(connection, req, patience, is_answer)
            nursery.cancel_scope.cancel()
        if patience.cancelled_caught:
            req.has_left = True
            return
        found = {bytes(name): bytes(value) for name, value in response.headers}
        req.status = response.status_code
        if b"retry-after" in found:
            req.retry_after = float(found[b"retry-after"])
        if connection.is_reusable():
            connection.conn.start_next_cycle()
        else:
            await self._close()

    async def _close(self) -> None:
        if self._connection is not None:
            await trio.aclose_forcefully(self._connection.stream)
            self._connection = None


def expected_body(req: Request) -> bytes:
    """Return the response that the stand-ins give to a request."""
    if req.kind not in EVENT_COUNTS:
        return f"body of {req.id}".encode()
    numbers = range(1, EVENT_COUNTS[req.kind] + 1)
    return b"".join(b"id: %d\ndata: piece-%d\n\n" % (n, n) for n in numbers)


def _headers(req: Request, body_bytes: int) -> list[tuple[bytes, bytes]]:
    headers = [
        (b"host", SITE.encode()),
        (names.ATTEMPT_ID, req.id.encode()),
        (names.TIME_LEFT_MS, b"%d" % (TIMEOUT_SECONDS * 1000)),
        (b"content-length", b"%d" % body_bytes),
    ]
    if req.kind in EVENT_COUNTS:
        headers.append((names.TOKEN_COUNTS, b"3000,80"))
        headers.append((names.PREFIX_BLOCKS, b"a1:2000,ff:1000"))
        headers.append((b"x-pieces", b"%d" % EVENT_COUNTS[req.kind]))
    return headers


async def _send(connection: ClientConnection, data: bytes) -> None:
    try:
        await connection.stream.send_all(data)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return


def _patience(req: Request) -> trio.CancelScope:
    if req.kind is Kind.BRIEF:
        return trio.move_on_after(PATIENCE_SECONDS)
    return trio.CancelScope()


async def _read_body(
    connection: ClientConnection,
    req: Request,
    patience: trio.CancelScope,
    is_answer: bool,
) -> None:
    expected = expected_body(req)
    body = b""
    while isinstance(event := await connection.next_event(), h11.Data):
        body += bytes(event.data)
        req.is_wrong = is_answer and not expected.startswith(body)
        if req.kind is Kind.BRIEF:
            patience.deadline = trio.current_time() + PATIENCE_SECONDS
    req.is_whole = body == expected
