"""HTTP client of model engines; answers come as JSON lines, a chunk each."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
import trio

from berylshift.connection.errors import (
    ConnectFailedError,
    ConnectionLayerError,
)
from berylshift.connection.http_client import HttpClient, HttpResponse, Outgoing
from berylshift.ids import AttemptId
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
STATUS_STALE = 409
STATUS_BUSY = 423
REFUSALS = frozenset({429, 503})
JSON_TYPE = "application/json"
CALL_SECONDS = 2.0
NEWLINE = b"\n"
LONGEST_LINE = 1 << 20


class HttpEngineClient:
    """Calls engines by their published HTTP interface; see docs/targets.md."""

    def __init__(self, client: HttpClient, credential: str):
        """Authorize calls with ``credential``; empty: none is sent."""
        self._client = client
        self._headers = {"content-type": JSON_TYPE}
        if credential:
            self._headers["authorization"] = f"Bearer {credential}"
        self._chunks = msgspec.json.Decoder(EngineChunk)

    @asynccontextmanager
    async def generate(
        self, address: str, call: EngineCall
    ) -> AsyncIterator[AsyncIterator[list[EngineChunk]]]:
        """Start an attempt and give its chunks as they come."""
        out = self._outgoing(address, "POST", "/v1/generate", call)
        try:
            async with self._client.request(out) as resp:
                _check_status(resp)
                yield self._batches(resp)
        except ConnectFailedError as exc:
            raise TargetNotReachedError(str(exc)) from exc
        except ConnectionLayerError as exc:
            raise TargetBrokenError(str(exc)) from exc

    async def _batches(self, resp: HttpResponse) -> AsyncIterator[list[EngineChunk]]:
        rest = b""
        try:
            async for data in resp.chunks():
                lines = (rest + data).split(NEWLINE)
                rest = lines.pop()
                if len(rest) > LONGEST_LINE:
                    raise TargetBrokenError("a line without end")
                chunks = [self._chunks.decode(line) for line in lines if line]
                if chunks:
                    yield chunks
        except msgspec.DecodeError as exc:
            raise TargetBrokenError(f"not a chunk: {exc}") from exc
        except ConnectionLayerError as exc:
            raise TargetBrokenError(str(exc)) from exc

    async def connect(self, address: str) -> None:
        """Open a connection and keep it for the next call."""
        try:
            await self._client.connect(address)
        except ConnectFailedError as exc:
            raise TargetNotReachedError(str(exc)) from exc

    async def cancel(self, address: str, attempt: AttemptId) -> None:
        """Stop an attempt."""
        out = self._outgoing(address, "POST", f"/v1/attempts/{attempt}/cancel", {})
        try:
            await self._ask(out)
        except (TargetBrokenError, TargetRefusedError, TargetNotReachedError):
            return

    async def report(self, address: str) -> LoadReport:
        """Return the engine's load report."""
        data = await self._ask(self._outgoing(address, "GET", "/v1/load"))
        return _decode(data, LoadReport)

    async def order(self, address: str, order: Order) -> None:
        """Have an order carried out."""
        await self._ask(self._outgoing(address, "POST", "/v1/orders", order))

    async def cache_events(self, address: str, after: int) -> list[CacheEvent]:
        """Return the cache events after a sequence number."""
        path = f"/v1/cache-events?after={after}"
        data = await self._ask(self._outgoing(address, "GET", path))
        return _decode(data, list[CacheEvent])

    def _outgoing(
        self, address: str, method: str, path: str, body: object = None
    ) -> Outgoing:
        data = b"" if body is None else msgspec.json.encode(body)
        return Outgoing(address, method, path, self._headers, data)

    async def _ask(self, out: Outgoing) -> bytes:
        with trio.move_on_after(CALL_SECONDS):
            try:
                async with self._client.request(out) as resp:
                    _check_status(resp)
                    return await resp.read()
            except ConnectFailedError as exc:
                raise TargetNotReachedError(str(exc)) from exc
            except ConnectionLayerError as exc:
                raise TargetBrokenError(str(exc)) from exc
        raise TargetBrokenError("no answer in time")


def _check_status(resp: HttpResponse) -> None:
    if resp.status == STATUS_OK:
        return
    if resp.status == STATUS_STALE:
        raise StaleOrderError("old fencing number")
    if resp.status == STATUS_BUSY:
        raise TargetBusyError("another order is under way")
    if resp.status in REFUSALS:
        rest = parse_retry_after(resp.headers.get("retry-after"))
        raise TargetRefusedError(f"status {resp.status}", rest)
    raise TargetBrokenError(f"status {resp.status}")


def _decode(data: bytes, kind: type):
    try:
        return msgspec.json.decode(data, type=kind)
    except msgspec.DecodeError as exc:
        raise TargetBrokenError(str(exc)) from exc
