"""HTTP client of the platform's store, with time limits."""

from contextlib import AsyncExitStack, aclosing

import msgspec
import trio

from berylshift.connection.errors import ConnectFailedError, ConnectionLayerError
from berylshift.connection.http_client import (
    MAX_BODY_BYTES,
    BodyBuffer,
    HttpClient,
    Outgoing,
)
from berylshift.connection.read_timeout import NEVER, ReadTimeout, ReadTimeoutError
from berylshift.store.interfaces import ResponseLostError, StoreUnavailableError

# Upper bound on a read beyond its wait, even while data keeps arriving: a change must
# be in force 11 s after it was acknowledged.
MAX_READ_SECONDS = 10.0
JSON_TYPE = {"content-type": "application/json"}


class StoreResponse(msgspec.Struct, frozen=True):
    """Status, body and headers of a response; header names are in lower case."""

    status: int
    body: bytes
    headers: dict[str, str] = {}


class StoreClient:
    """Calls one address; each call has a timeout beyond its long-poll wait."""

    def __init__(self, client: HttpClient, address: str, timeout_seconds: float):
        """Call ``address``.

        ``timeout_seconds`` bounds a whole write, and each gap within a read.
        """
        self._client = client
        self._address = address
        self._timeout_seconds = timeout_seconds

    async def get(self, path: str, wait_seconds: float = 0.0) -> StoreResponse:
        """Return the response to a read; raise ``PlatformError``.

        The timeout bounds the gap before each chunk, not the whole response: a large
        response always takes longer on a host with a slow link or CPU, so a retry would
        time out again.
        """
        out = Outgoing(self._address, "GET", path, {})
        limit = ReadTimeout(trio.current_time() + wait_seconds + self._timeout_seconds)
        return await self._call(out, wait_seconds + MAX_READ_SECONDS, limit)

    async def post(self, path: str, body: bytes) -> StoreResponse:
        """Return the response to a write; ``ResponseLostError``: it may be done.

        Writes use a new connection: a pooled one may be closed by the server while the
        write is sent, and then its outcome is unknown.
        """
        out = Outgoing(self._address, "POST", path, JSON_TYPE, body, reuse=False)
        return await self._call(out, self._timeout_seconds, ReadTimeout(NEVER))

    async def _call(
        self, out: Outgoing, seconds: float, limit: ReadTimeout
    ) -> StoreResponse:
        """Complete a call within ``seconds`` in total.

        A dead connection that raises no error is detected only by its timeout. Pooled
        connections may be dead too, so all of them are closed with it.
        """
        reason = f"no response within {seconds:.1f} s"
        with trio.move_on_after(seconds):
            try:
                return await self._exchange(out, limit)
            except ReadTimeoutError:
                reason = f"no data received for {self._timeout_seconds:.1f} s"
            except ConnectFailedError as exc:
                raise StoreUnavailableError(str(exc)) from exc
            except ConnectionLayerError as exc:
                raise ResponseLostError(str(exc)) from exc
        self._client.close()
        raise ResponseLostError(reason)

    async def _exchange(self, out: Outgoing, limit: ReadTimeout) -> StoreResponse:
        async with AsyncExitStack() as stack:
            request = self._client.request(out)
            resp = await limit.wait_for(stack.enter_async_context(request))
            chunks = await stack.enter_async_context(aclosing(resp.chunks()))
            body = BodyBuffer(MAX_BODY_BYTES)
            while (chunk := await limit.wait_for(anext(chunks, None))) is not None:
                body.add(chunk)
                limit.restart(self._timeout_seconds)
            return StoreResponse(resp.status, body.whole(), resp.headers)
