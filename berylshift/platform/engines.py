"""The engines' own interface: reports and orders."""

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
from berylshift.messages.replicas import EnginePhase, Replica
from berylshift.platform import names

STATUS_OK = 200
MOST_BYTES = 1 << 20
ANSWERS = {
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
    # Orders accepted since the replica's start, not a heartbeat's number.
    sequence: int
    # Unix milliseconds of the replica's start; not all replicas tell it.
    born: int | None = None


class _Order(msgspec.Struct):
    operation: str
    phase: str
    owner: str
    fencing_token: int
    # The number of accepted orders that the replica must still have.
    precondition: int


class PlatformEngines:
    """Asks and orders engines by the platform's calls."""

    def __init__(self, client: TargetClient, timeout: float):
        """Wait ``timeout`` seconds for an answer."""
        self._client = client
        self._timeout = timeout

    async def report(self, replica: Replica) -> EngineReport | None:
        """Return an engine's report, ``None`` if there is none to be had."""
        status, body = await self._call(replica, b"GET", names.REPORT_PATH, b"")
        if status != STATUS_OK:
            return None
        try:
            found = msgspec.json.decode(body, type=_Report)
            phase = EnginePhase(found.phase)
        except (msgspec.DecodeError, ValueError):
            return None
        return EngineReport(phase, found.busy, found.sequence, found.born)

    async def order(self, replica: Replica, order: PhaseOrder) -> OrderAnswer:
        """Send an order once."""
        body = _Order("phase", order.phase, order.holder, order.fence, order.orders)
        data = msgspec.json.encode(body)
        status, _ = await self._call(replica, b"POST", names.ORDER_PATH, data)
        return ANSWERS.get(status, OrderAnswer.UNKNOWN)

    async def _call(
        self, replica: Replica, method: bytes, path: bytes, body: bytes
    ) -> tuple[int, bytes]:
        """Return status and body; status 0 where no answer came."""
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
            # Orders are few, and relieve an engine that is at its limit.
            limit_exempt=True,
        )
        with trio.move_on_after(self._timeout):
            try:
                async with self._client.exchange(out) as answer:
                    return answer.status, await answer.read(MOST_BYTES)
            except ConnectionLayerError:
                return 0, b""
        return 0, b""
