"""HTTP client of model engines, which stream responses as JSON lines, one per chunk."""

from collections.abc import AsyncIterator
from contextlib import aclosing, asynccontextmanager

import msgspec
import trio

from berylshift.connection.errors import (
    ConnectFailedError,
    ConnectionLayerError,
)
from berylshift.connection.http_client import HttpClient, HttpResponse, Outgoing
from berylshift.ids import AttemptId
from berylshift.messages.json_decoding import MalformedJsonError, decode_json
from berylshift.messages.retry_after import parse_retry_after
from berylshift.targets import (
    CacheEvent,
    EngineCall,
    EngineChunk,
    LoadReport,
    Order,
    StaleOrderError,
    TargetBrokenError,
    TargetBusyError,
    TargetNotReachedError,
    TargetRefusedError,
)

STATUS_OK = 200
STATUS_CONFLICT = 409
STATUS_LOCKED = 423
REFUSAL_STATUSES = frozenset({429, 503})
JSON_TYPE = "application/json"
CALL_TIMEOUT_SECONDS = 2.0
NEWLINE = b"\n"
MAX_LINE_BYTES = 1 << 20
# Pieces in which one line may arrive: each costs time, however small it is.
MAX_LINE_PIECES = 16384
# Maximum body size of a response to a call other than a generation.
MAX_CALL_BYTES = 8 << 20


class _LineSplitter:
    """Buffers bytes and returns complete lines."""

    def __init__(self) -> None:
        self._partial = bytearray()
        self._pieces = 0

    def feed(self, data: bytes) -> list[bytes]:
        """Return the lines that ``data`` completes; raise ``TargetBrokenError``."""
        self._pieces += 1
        first, *others = data.split(NEWLINE)
        self._partial += first
        lines = []
        if others:
            lines = [bytes(self._partial), *others[:-1]]
            self._partial = bytearray(others[-1])
            # Empty lines are no progress.
            if any(lines):
                self._pieces = 0
        if len(self._partial) > MAX_LINE_BYTES or self._pieces > MAX_LINE_PIECES:
            raise TargetBrokenError("response line is too long")
        return lines


class HttpEngineClient:
    """Calls engines over their published HTTP interface; see docs/targets.md."""

    def __init__(self, client: HttpClient, credential: str):
        """Authorize calls with ``credential``; if empty, none is sent."""
        self._client = client
        self._headers = {"content-type": JSON_TYPE}
        if credential:
            self._headers["authorization"] = f"Bearer {credential}"

    @asynccontextmanager
    async def generate(
        self, address: str, call: EngineCall
    ) -> AsyncIterator[AsyncIterator[list[EngineChunk]]]:
        """Start an attempt and yield an iterator over its chunks as they arrive."""
        req = self._make_request(address, "POST", "/v1/generate", call)
        try:
            async with self._client.request(req) as resp:
                _check_status(resp)
                yield self._batches(resp)
        except ConnectFailedError as exc:
            raise TargetNotReachedError(str(exc)) from exc
        except ConnectionLayerError as exc:
            raise TargetBrokenError(str(exc)) from exc

    async def _batches(self, resp: HttpResponse) -> AsyncIterator[list[EngineChunk]]:
        splitter = _LineSplitter()
        try:
            async with aclosing(resp.chunks()) as pieces:
                async for data in pieces:
                    lines = splitter.feed(data)
                    chunks = [decode_json(line, EngineChunk) for line in lines if line]
                    if chunks:
                        yield chunks
        except MalformedJsonError as exc:
            raise TargetBrokenError(f"invalid response chunk: {exc}") from exc
        except ConnectionLayerError as exc:
            raise TargetBrokenError(str(exc)) from exc

    async def connect(self, address: str) -> None:
        """Open a connection and pool it for the next call."""
        try:
            await self._client.connect(address)
        except ConnectFailedError as exc:
            raise TargetNotReachedError(str(exc)) from exc

    async def cancel(self, address: str, attempt: AttemptId) -> None:
        """Cancel an attempt; errors are ignored."""
        req = self._make_request(address, "POST", f"/v1/attempts/{attempt}/cancel", {})
        try:
            await self._call(req)
        except (TargetBrokenError, TargetRefusedError, TargetNotReachedError):
            return

    async def report(self, address: str) -> LoadReport:
        """Return the engine's load report."""
        data = await self._call(self._make_request(address, "GET", "/v1/load"))
        return _decode(data, LoadReport)

    async def order(self, address: str, order: Order) -> None:
        """Send an order; return once the engine has accepted it.

        On a pooled connection that breaks, the order might be sent twice.
        """
        req = self._make_request(address, "POST", "/v1/orders", order, reuse=False)
        await self._call(req)

    async def cache_events(self, address: str, after: int) -> list[CacheEvent]:
        """Return the cache events after a sequence number."""
        path = f"/v1/cache-events?after={after}"
        data = await self._call(self._make_request(address, "GET", path))
        return _decode(data, list[CacheEvent])

    def _make_request(
        self,
        address: str,
        method: str,
        path: str,
        body: object = None,
        reuse: bool = True,
    ) -> Outgoing:
        data = b"" if body is None else msgspec.json.encode(body)
        return Outgoing(address, method, path, self._headers, data, reuse)

    async def _call(self, req: Outgoing) -> bytes:
        with trio.move_on_after(CALL_TIMEOUT_SECONDS):
            try:
                async with self._client.request(req) as resp:
                    _check_status(resp)
                    return await resp.read(MAX_CALL_BYTES)
            except ConnectFailedError as exc:
                raise TargetNotReachedError(str(exc)) from exc
            except ConnectionLayerError as exc:
                raise TargetBrokenError(str(exc)) from exc
        raise TargetBrokenError("no answer in time")


def _check_status(resp: HttpResponse) -> None:
    if resp.status == STATUS_OK:
        return
    if not resp.was_resent:
        _raise_refusal(resp)
    raise TargetBrokenError(f"status {resp.status}")


def _raise_refusal(resp: HttpResponse) -> None:
    """Raise the error of a response by which the engine refused the request."""
    if resp.status == STATUS_CONFLICT:
        raise StaleOrderError("stale fencing token")
    if resp.status == STATUS_LOCKED:
        raise TargetBusyError("another order is in progress")
    if resp.status in REFUSAL_STATUSES:
        retry_after = parse_retry_after(resp.headers.get("retry-after"))
        raise TargetRefusedError(f"status {resp.status}", retry_after)


def _decode(data: bytes, kind: type):
    try:
        return decode_json(data, kind)
    except MalformedJsonError as exc:
        raise TargetBrokenError(str(exc)) from exc
