"""HTTP client of plain services; forwards calls as the callers sent them."""

from berylshift.connection.errors import ConnectFailedError, ConnectionLayerError
from berylshift.connection.http_client import HttpClient, Outgoing
from berylshift.messages.retry_after import parse_retry_after
from berylshift.targets import (
    ServiceCall,
    ServiceResponse,
    TargetBrokenError,
    TargetNotReachedError,
    TargetRefusedError,
)

ATTEMPT_HEADER = "berylshift-attempt"
KEY_HEADER = "idempotency-key"
REFUSED_HEADER = "berylshift-refused"
# The largest response that is buffered before it is forwarded.
MAX_RESPONSE_BYTES = 8 << 20
DROPPED_HEADERS = frozenset(
    {"connection", "content-length", "date", "keep-alive", "transfer-encoding"}
)


class HttpServiceClient:
    """Calls plain services.

    A call that may not be repeated uses a new connection: the service may close a
    pooled one during the write, and it would be unknown whether the call ran.
    """

    def __init__(self, client: HttpClient, credential: str):
        """Authorize calls with ``credential``; if empty, none is sent."""
        self._client = client
        self._credential = credential

    async def connect(self, address: str) -> None:
        """Open a connection and pool it for the next call."""
        try:
            await self._client.connect(address)
        except ConnectFailedError as exc:
            raise TargetNotReachedError(str(exc)) from exc

    async def call(self, address: str, call: ServiceCall) -> ServiceResponse:
        """Return the service's response."""
        headers = {**call.headers, ATTEMPT_HEADER: call.attempt}
        if self._credential:
            headers["authorization"] = f"Bearer {self._credential}"
        if call.key:
            headers[KEY_HEADER] = call.key
        out = Outgoing(
            address, call.method, call.path, headers, call.body, call.idempotent
        )
        try:
            async with self._client.request(out) as resp:
                data = await resp.read(MAX_RESPONSE_BYTES)
        except ConnectFailedError as exc:
            raise TargetNotReachedError(str(exc)) from exc
        except ConnectionLayerError as exc:
            raise TargetBrokenError(str(exc)) from exc
        if resp.headers.get(REFUSED_HEADER) == "true":
            if resp.was_resent:
                raise TargetBrokenError("refused, but a first copy may have run")
            retry_after = parse_retry_after(resp.headers.get("retry-after"))
            raise TargetRefusedError(f"status {resp.status}", retry_after)
        forwarded_headers = {
            name: value
            for name, value in resp.headers.items()
            if name not in DROPPED_HEADERS
        }
        return ServiceResponse(resp.status, forwarded_headers, data)
