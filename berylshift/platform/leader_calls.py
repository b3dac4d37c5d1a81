"""Calls to the platform that one host at a time may make."""

import msgspec
import trio

from berylshift.connection.errors import ConnectFailedError, ConnectionLayerError
from berylshift.connection.http_client import HttpClient, Outgoing
from berylshift.messages.leader_calls import CallResult, LeaseHolder
from berylshift.messages.scaling import ReplicaKind, ScaleOrder
from berylshift.messages.usage import UsageReport
from berylshift.platform import names

ANSWERS = {
    200: CallResult.DONE,
    202: CallResult.DONE,
    409: CallResult.UNAVAILABLE,
    429: CallResult.BUSY,
    503: CallResult.BUSY,
    400: CallResult.REFUSED,
    404: CallResult.REFUSED,
    412: CallResult.REFUSED,
}


class _Usage(msgspec.Struct):
    window_id: int
    counts: dict[str, int]


class _Scale(msgspec.Struct):
    service: str
    zone: str
    desired: int
    # An order for replicas that may be taken away again.
    spot_enabled: bool = False


class PlatformLeaderCalls:
    """Makes the calls, each once and within a time-out."""

    def __init__(self, client: HttpClient, address: str, timeout: float):
        """Call ``address``; wait ``timeout`` seconds for an answer."""
        self._client = client
        self._address = address
        self._timeout = timeout

    async def report_usage(
        self, report: UsageReport, holder: LeaseHolder
    ) -> CallResult:
        """Send a report once; an exact repeat of an earlier one changes nothing."""
        counts = {found.customer: found.count for found in report.counts}
        body = msgspec.json.encode(_Usage(report.window, counts))
        return await self._call(names.USAGE_PATH, body, holder)

    async def scale(self, order: ScaleOrder, holder: LeaseHolder) -> CallResult:
        """Send an order once; ``UNAVAILABLE``: none of the kind are to be had there."""
        interruptible = order.kind is ReplicaKind.INTERRUPTIBLE
        body = _Scale(order.service, order.domain, order.desired, interruptible)
        return await self._call(names.SCALE_PATH, msgspec.json.encode(body), holder)

    async def _call(self, path: str, body: bytes, holder: LeaseHolder) -> CallResult:
        headers = {
            "content-type": "application/json",
            names.LEASE_HOLDER: holder.host,
            names.FENCING_TOKEN: str(holder.fence),
        }
        # On a fresh connection, as all writes: a kept one may be closed as it is sent.
        out = Outgoing(self._address, "POST", path, headers, body, reuse=False)
        with trio.move_on_after(self._timeout):
            try:
                async with self._client.request(out) as resp:
                    await resp.read()
                    return ANSWERS.get(resp.status, CallResult.UNKNOWN)
            except ConnectFailedError:
                return CallResult.BUSY
            except ConnectionLayerError:
                return CallResult.UNKNOWN
        return CallResult.UNKNOWN
