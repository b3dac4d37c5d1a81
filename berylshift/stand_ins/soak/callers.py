"""Callers that keep their connections in use, and what became of their requests."""

import random
from collections.abc import Callable
from enum import StrEnum

import h11
import msgspec
import trio

from berylshift.connection.errors import ConnectionLayerError
from berylshift.connection.http_client import ClientConnection, dial_tcp
from berylshift.platform import names

SITE = "shop.example"
TIMEOUT_SECONDS = 5.0
# The pause after a refusal without a delay, or after a broken connection.
RETRY_SECONDS = 0.2
THINK_SECONDS = 0.05
EVENT_COUNT = 4
SMALL_BYTES, UPLOAD_BYTES = 200, 1_000_000


class Kind(StrEnum):
    """The route that a request uses."""

    NOTE = "note"
    LOOKUP = "look"
    BOOKING = "book"

    @property
    def may_run_twice(self) -> bool:
        """Return whether its requests may be repeated."""
        return self is Kind.LOOKUP


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


class Caller:
    """One caller with one connection at a time, to a host that the balancer chooses."""

    def __init__(
        self,
        name: str,
        rng: random.Random,
        choose_host: Callable[[], tuple[int, str]],
        records: list[Request],
    ):
        """Choose a host for each connection; add each request to ``records``."""
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
                kind = self._rng.choice(list(Kind))
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
        with trio.move_on_after(TIMEOUT_SECONDS + 1):
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
            response = await connection.read_head()
            body = await _read_body(connection)
            nursery.cancel_scope.cancel()
        found = {bytes(name): bytes(value) for name, value in response.headers}
        req.is_whole = body == expected_body(req)
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
    if req.kind is not Kind.NOTE:
        return f"body of {req.id}".encode()
    numbers = range(1, EVENT_COUNT + 1)
    return b"".join(b"id: %d\ndata: piece-%d\n\n" % (n, n) for n in numbers)


def _headers(req: Request, body_bytes: int) -> list[tuple[bytes, bytes]]:
    headers = [
        (b"host", SITE.encode()),
        (names.ATTEMPT_ID, req.id.encode()),
        (names.TIME_LEFT_MS, b"%d" % (TIMEOUT_SECONDS * 1000)),
        (b"content-length", b"%d" % body_bytes),
    ]
    if req.kind is Kind.NOTE:
        headers.append((names.TOKEN_COUNTS, b"3000,80"))
        headers.append((names.PREFIX_BLOCKS, b"a1:2000,ff:1000"))
        headers.append((b"x-pieces", b"%d" % EVENT_COUNT))
    return headers


async def _send(connection: ClientConnection, data: bytes) -> None:
    try:
        await connection.stream.send_all(data)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return


async def _read_body(connection: ClientConnection) -> bytes:
    body = b""
    while isinstance(event := await connection.next_event(), h11.Data):
        body += bytes(event.data)
    return body
