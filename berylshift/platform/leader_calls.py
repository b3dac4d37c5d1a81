"""Calls to the platform that only the holder of a lease may make."""

import msgspec
import trio

from berylshift.connection.errors import ConnectFailedError, ConnectionLayerError
from berylshift.connection.http_client import HttpClient, Outgoing
from berylshift.messages.leader_calls import CallResult, LeaseHolder
from berylshift.messages.scaling import ReplicaKind, ScaleOrder
from berylshift.messages.usage import UsageReport
from berylshift.platform import names

MAX_RESPONSE_BYTES = 65536
RESULTS = {
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
    # Orders interruptible replicas, which the platform may reclaim.
    spot_enabled: bool = False


class PlatformLeaderCalls:
    """Makes each call once, within a timeout."""

    def __init__(self, client: HttpClient, address: str, timeout_seconds: float):
        """Call ``address``; each call takes at most ``timeout_seconds``."""
        self._client = client
        self._address = address
        self._timeout_seconds = timeout_seconds

    async def report_usage(
        self, report: UsageReport, holder: LeaseHolder
    ) -> CallResult:
        """Send a report once; the platform ignores exact repeats of a report."""
        counts = {entry.customer: entry.count for entry in report.counts}
        body = msgspec.json.encode(_Usage(report.window, counts))
        return await self._call(names.USAGE_PATH, body, holder)

    async def scale(self, order: ScaleOrder, holder: LeaseHolder) -> CallResult:
        """Send an order once; ``UNAVAILABLE``: no capacity of this kind there."""
        interruptible = order.kind is ReplicaKind.INTERRUPTIBLE
        body = _Scale(order.service, order.domain, order.desired, interruptible)
        return await self._call(names.SCALE_PATH, msgspec.json.encode(body), holder)

    async def _call(self, path: str, body: bytes, holder: LeaseHolder) -> CallResult:
        headers = {
            "content-type": "application/json",
            names.LEASE_HOLDER: holder.host,
            names.FENCING_TOKEN: str(holder.fence),
        }
        # Writes use a new connection: the server may close a pooled one meanwhile.
        out = Outgoing(self._address, "POST", path, headers, body, reuse=False)
        with trio.move_on_after(self._timeout_seconds):
            try:
                async with self._client.request(out) as resp:
                    await resp.read(MAX_RESPONSE_BYTES)
                    return RESULTS.get(resp.status, CallResult.UNKNOWN)
            except ConnectFailedError:
                return CallResult.BUSY
            except ConnectionLayerError:
                return CallResult.UNKNOWN
        return CallResult.UNKNOWN
