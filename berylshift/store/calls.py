"""Bounded HTTP reads of the platform's store."""

from contextlib import AsyncExitStack, aclosing

import msgspec
import trio

from berylshift.connection.errors import ConnectFailedError, ConnectionLayerError
from berylshift.connection.http_client import HttpClient, Outgoing
from berylshift.connection.read_timeout import NEVER, ReadTimeout, ReadTimeoutError
from berylshift.store.interfaces import AnswerLostError, StoreUnavailableError

# An answer that comes by and by for longer than this beyond its wait is given up; a
# change must be in force 11 s after it was acknowledged. Seconds.
LONGEST_READ_SECONDS = 10.0
JSON_TYPE = {"content-type": "application/json"}


class StoreAnswer(msgspec.Struct, frozen=True):
    """Status, body and headers of one answer; names of headers are in lower case."""

    status: int
    body: bytes
    headers: dict[str, str] = {}


class StoreCalls:
    """Asks one address; each call has a time-out beyond the wait it asks for."""

    def __init__(self, client: HttpClient, address: str, timeout: float):
        """Ask ``address``; a write, or a silence in a read, may take ``timeout``."""
        self._client = client
        self._address = address
        self._timeout = timeout

    async def get(self, path: str, wait: float = 0.0) -> StoreAnswer:
        """Return the answer of a read; raise ``PlatformError``.

        The time-out bounds the silence before each part, not the answer: a large one
        takes a small host's link and processor longer, however often it is read.
        """
        out = Outgoing(self._address, "GET", path, {})
        limit = ReadTimeout(trio.current_time() + wait + self._timeout)
        return await self._call(out, wait + LONGEST_READ_SECONDS, limit)

    async def post(self, path: str, body: bytes) -> StoreAnswer:
        """Return the answer of a write; ``AnswerLostError``: it may be done yet.

        Writes go out on a fresh connection: a kept one may be closed as they are
        sent, and then nobody knows whether they were done.
        """
        out = Outgoing(self._address, "POST", path, JSON_TYPE, body, reuse=False)
        return await self._call(out, self._timeout, ReadTimeout(NEVER))

    async def _call(
        self, out: Outgoing, seconds: float, limit: ReadTimeout
    ) -> StoreAnswer:
        """Send a call within ``seconds`` in all.

        A connection that falls silent for good shows only by its time-out. Kept
        ones may be as silent, so all of them are dropped with it.
        """
        reason = f"no answer within {seconds:.1f} s"
        with trio.move_on_after(seconds):
            try:
                return await self._exchange(out, limit)
            except ReadTimeoutError:
                reason = f"silent for longer than its {self._timeout:.1f} s"
            except ConnectFailedError as exc:
                raise StoreUnavailableError(str(exc)) from exc
            except ConnectionLayerError as exc:
                raise AnswerLostError(str(exc)) from exc
        self._client.close()
        raise AnswerLostError(reason)

    async def _exchange(self, out: Outgoing, limit: ReadTimeout) -> StoreAnswer:
        async with AsyncExitStack() as stack:
            request = self._client.request(out)
            resp = await limit.wait_for(stack.enter_async_context(request))
            chunks = await stack.enter_async_context(aclosing(resp.chunks()))
            parts = []
            while (part := await limit.wait_for(anext(chunks, None))) is not None:
                parts.append(part)
                limit.restart(self._timeout)
            return StoreAnswer(resp.status, b"".join(parts), resp.headers)
