"""The fake engine as an HTTP server."""

import msgspec
import trio

from berylshift.connection.errors import ConnectionLayerError
from berylshift.connection.http_client import HttpClient, Outgoing
from berylshift.connection.http_request import HttpRequest
from berylshift.connection.responder import Responder
from berylshift.ids import AttemptId
from berylshift.stand_ins.engine_costs import EngineScript
from berylshift.stand_ins.engine_runner import EngineRunner, StreamReader
from berylshift.targets import (
    EngineCall,
    EngineChunk,
    KvSource,
    Order,
    StaleOrderError,
    TargetBrokenError,
    TargetBusyError,
    TargetRefusedError,
)

JSON_TYPE = {"content-type": "application/json"}
LINES_TYPE = {"content-type": "application/jsonl"}
STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_STALE = 409
STATUS_BUSY = 423
STATUS_REFUSED = 503


class EngineCounts(msgspec.Struct, frozen=True):
    """Counters of an engine since it started."""

    role_changes: int
    conflicts: int
    cut_by_change: int
    tokens_made: int
    tokens_prefilled: int


class EngineServer:
    """Serves the engine's published HTTP API; see docs/targets.md."""

    def __init__(self, runner: EngineRunner):
        """Serve the engine of ``runner``."""
        self._runner = runner
        self._engine = runner.engine
        self._client = HttpClient()

    async def handle(self, req: HttpRequest, responder: Responder) -> None:
        """Answer one request."""
        path, method = req.path, req.method
        if (method, path) == ("POST", "/v1/generate"):
            await self._handle_generate(req, responder)
        elif path.endswith("/cancel"):
            attempt = AttemptId(path.split("/")[3])
            self._engine.cancel(attempt, trio.current_time())
            self._runner.notify()
            await responder.full(STATUS_OK, JSON_TYPE, b"{}")
        elif (method, path) == ("POST", "/v1/orders"):
            await self._handle_order(req, responder)
        elif method == "GET":
            await self._handle_get(req, responder)
        elif path == "/script":
            self._engine.script = msgspec.json.decode(req.body, type=EngineScript)
            await responder.full(STATUS_OK, JSON_TYPE, b"{}")
        else:
            await responder.full(STATUS_NOT_FOUND, JSON_TYPE, b"{}")

    async def _handle_get(self, req: HttpRequest, responder: Responder) -> None:
        now = trio.current_time()
        engine = self._engine
        if req.path == "/v1/load":
            await _send_json(responder, engine.report(now))
        elif req.path == "/v1/cache-events":
            after = int(req.query.get("after", 0))
            await _send_json(responder, engine.cache.events(after, now))
        elif req.path.startswith("/v1/kv/"):
            tokens = engine.export_kv(req.path.removeprefix("/v1/kv/"))
            status = STATUS_OK if tokens is not None else STATUS_NOT_FOUND
            await responder.full(status, JSON_TYPE, msgspec.json.encode(tokens))
        elif req.path == "/counts":
            counts = EngineCounts(
                engine.role_changes,
                engine.conflicts,
                engine.cut_by_change,
                engine.tokens_made,
                int(engine.tokens_prefilled),
            )
            await _send_json(responder, counts)
        else:
            await responder.full(STATUS_NOT_FOUND, JSON_TYPE, b"{}")

    async def _handle_order(self, req: HttpRequest, responder: Responder) -> None:
        order = msgspec.json.decode(req.body, type=Order)
        status = STATUS_OK
        try:
            self._engine.order(order, trio.current_time())
        except StaleOrderError:
            status = STATUS_STALE
        except TargetBusyError:
            status = STATUS_BUSY
        except TargetRefusedError:
            status = STATUS_REFUSED
        self._runner.notify()
        await responder.full(status, JSON_TYPE, b"{}")

    async def _handle_generate(self, req: HttpRequest, responder: Responder) -> None:
        call = msgspec.json.decode(req.body, type=EngineCall)
        if call.kv is not None and not await self._fetch_kv(call.kv):
            await responder.full(STATUS_REFUSED, JSON_TYPE, b"{}")
            return
        try:
            reader = self._runner.submit(call)
        except TargetRefusedError:
            await responder.full(STATUS_REFUSED, JSON_TYPE, b"{}")
            return
        try:
            await self._stream(reader, responder)
        finally:
            self._runner.cancel(call)

    async def _fetch_kv(self, source: KvSource) -> bool:
        path = f"/v1/kv/{source.handle}"
        out = Outgoing(source.address, "GET", path, {}, reuse=False)
        try:
            async with self._client.request(out) as resp:
                await resp.read()
                return resp.status == STATUS_OK
        except ConnectionLayerError:
            return False

    async def _stream(self, reader: StreamReader, responder: Responder) -> None:
        await responder.start(STATUS_OK, LINES_TYPE)
        script = self._engine.script
        sent_tokens = 0
        try:
            async for chunks in reader.batches():
                for chunk in chunks:
                    sent_tokens += len(chunk.texts)
                    await responder.send(self._chunk_line(chunk))
                    if script.repeat_chunks:
                        await responder.send(self._chunk_line(chunk))
                if script.cut_after_tokens and sent_tokens >= script.cut_after_tokens:
                    return
        except TargetBrokenError:
            return
        await responder.end()

    def _chunk_line(self, chunk: EngineChunk) -> bytes:
        if self._engine.script.nonsense:
            return b"not a chunk\n"
        if self._engine.script.wrong_attempt:
            chunk = msgspec.structs.replace(chunk, attempt=AttemptId("other"))
        return msgspec.json.encode(chunk) + b"\n"


async def _send_json(responder: Responder, value: object) -> None:
    await responder.full(STATUS_OK, JSON_TYPE, msgspec.json.encode(value))
