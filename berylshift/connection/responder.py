"""Writes the response to a request to its caller."""

from typing import Protocol

import h11
import trio

from berylshift.connection.http_request import Headers

NEVER = float("inf")


class SlowCallerError(trio.BrokenResourceError):
    """The caller did not read a response within the write timeout."""


class ResponseConnection(Protocol):
    """The connection that a response is written to."""

    @property
    def closing(self) -> bool:
        """Return whether the connection is closed after the response."""

    async def send(self, *events: h11.Event, until: float = NEVER) -> None:
        """Write events in one call, by ``until`` on the event loop's clock."""


class Responder:
    """Writes the response to a request.

    A write that has begun is not cancelled: a response that is ready is delivered even
    if its request's deadline passes meanwhile. ``write_deadline`` limits the writes.
    """

    def __init__(self, connection: ResponseConnection):
        """Write to ``connection``."""
        self._connection = connection
        self.started = False
        self.finished = False
        self.caller_left = False
        self.write_deadline = NEVER

    async def full(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response with its length."""
        await self.full_raw(status, _encode(headers), body)

    async def full_raw(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Send a complete response, headers unchanged, in one write.

        With several writes, a cancellation between two of them would leave the caller
        with a head whose body never arrives.
        """
        framing = (b"content-length", b"%d" % len(body))
        head = self._head(status, [*headers, framing])
        await self._send(head, h11.Data(data=body), h11.EndOfMessage())
        self.finished = True

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of a chunked response."""
        await self.start_raw(status, _encode(headers))

    async def start_raw(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send the head of a chunked response, headers unchanged."""
        framing = (b"transfer-encoding", b"chunked")
        await self._send(self._head(status, [*headers, framing]))

    async def send(self, data: bytes) -> None:
        """Send one chunk; wait while the caller reads slowly."""
        await self._send(h11.Data(data=data))

    async def end(self) -> None:
        """Send the final chunk, which marks the response as complete."""
        await self._send(h11.EndOfMessage())
        self.finished = True

    def _head(self, status: int, headers: list[tuple[bytes, bytes]]) -> h11.Response:
        self.started = True
        if self._connection.closing:
            headers = [*headers, (b"connection", b"close")]
        return h11.Response(status_code=status, headers=headers)

    async def _send(self, *events: h11.Event) -> None:
        await self._connection.send(*events, until=self.write_deadline)


def _encode(headers: Headers) -> list[tuple[bytes, bytes]]:
    return [(name.encode(), value.encode()) for name, value in headers.items()]
