"""The engines' control API: reports and orders."""

import msgspec
import trio

from berylshift.connection.errors import ConnectionLayerError
from berylshift.connection.request_body import RequestBody
from berylshift.connection.target_client import TargetClient, TargetRequest
from berylshift.messages.engine_control import (
    EngineReport,
    OrderAnswer,
    PhaseOrder,
)
from berylshift.messages.json_decoding import MalformedJsonError, decode_json
from berylshift.messages.replicas import EnginePhase, Replica
from berylshift.messages.wire_numbers import Position
from berylshift.platform import names

STATUS_OK = 200
MAX_RESPONSE_BYTES = 1 << 20
ORDER_ANSWERS = {
    200: OrderAnswer.ALREADY_IN_PHASE,
    202: OrderAnswer.ACCEPTED,
    409: OrderAnswer.CONFLICT,
    412: OrderAnswer.FENCED,
    400: OrderAnswer.REFUSED,
    421: OrderAnswer.REFUSED,
}


class _Report(msgspec.Struct):
    phase: str
    busy: bool
    # The number of orders accepted since the replica's start, not a heartbeat number.
    sequence: Position
    # Unix time of the replica's start in milliseconds; not all replicas report it.
    born: Position | None = None


class _Order(msgspec.Struct):
    operation: str
    phase: str
    owner: str
    fencing_token: int
    # The order is refused unless the replica has accepted this many orders so far.
    precondition: int


class PlatformEngines:
    """Gets reports from engines and sends orders to them."""

    def __init__(self, client: TargetClient, timeout_seconds: float):
        """Make calls through ``client``; each takes at most ``timeout_seconds``."""
        self._client = client
        self._timeout_seconds = timeout_seconds

    async def report(self, replica: Replica) -> EngineReport | None:
        """Return an engine's report, or ``None`` if it can't be obtained."""
        status, body = await self._call(replica, b"GET", names.REPORT_PATH, b"")
        if status != STATUS_OK:
            return None
        try:
            decoded = decode_json(body, _Report)
            phase = EnginePhase(decoded.phase)
        except (MalformedJsonError, ValueError):
            return None
        return EngineReport(phase, decoded.busy, decoded.sequence, decoded.born)

    async def order(self, replica: Replica, order: PhaseOrder) -> OrderAnswer:
        """Send an order once."""
        body = _Order("phase", order.phase, order.holder, order.fence, order.orders)
        data = msgspec.json.encode(body)
        status, _ = await self._call(replica, b"POST", names.ORDER_PATH, data)
        return ORDER_ANSWERS.get(status, OrderAnswer.UNKNOWN)

    async def _call(
        self, replica: Replica, method: bytes, path: bytes, body: bytes
    ) -> tuple[int, bytes]:
        """Return status and body; status 0 if there was no response."""
        headers = [
            (b"host", b"engine"),
            (names.TARGET_INSTANCE, replica.name.encode()),
        ]
        if body:
            headers.append((b"content-type", b"application/json"))
        out = TargetRequest(
            replica.instance,
            replica.address,
            method,
            path,
            headers,
            RequestBody.of(body),
            # Orders are rare, and they relieve an engine that is at its limit.
            limit_exempt=True,
            # Engines tell holders of the lease by the host that an order comes from.
            direct_only=True,
        )
        with trio.move_on_after(self._timeout_seconds):
            try:
                async with self._client.exchange(out) as response:
                    if not response.is_identified:
                        return 0, b""
                    return response.status, await response.read(MAX_RESPONSE_BYTES)
            except ConnectionLayerError:
                return 0, b""
        return 0, b""
