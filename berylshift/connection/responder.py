"""Writes the one answer of a request to its caller."""

from typing import Protocol

import h11
import trio

from berylshift.connection.http_request import Headers

NEVER = float("inf")


class SlowCallerError(trio.BrokenResourceError):
    """The caller has not read an answer within the bounds of its write."""


class AnswerWire(Protocol):
    """The connection that an answer goes out on."""

    @property
    def closing(self) -> bool:
        """Return whether the connection is closed after the answer."""

    async def send(self, *events: h11.Event, until: float = NEVER) -> None:
        """Write events at once, by ``until`` on the loop's clock."""


class Responder:
    """Writes the one answer of a request.

    A write that has begun is not cancelled: an answer that is there is delivered, also
    when the time of its request ends meanwhile. ``late_until`` bounds the writes.
    """

    def __init__(self, wire: AnswerWire):
        """Write to ``wire``."""
        self._wire = wire
        self.started = False
        self.finished = False
        self.caller_left = False
        self.late_until = NEVER

    async def full(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer with its length."""
        await self.full_raw(status, _encoded(headers), body)

    async def full_raw(
        self, status: int, headers: list[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Send a whole answer, headers as they are, in one write.

        In several writes, whatever ends the request between two of them leaves its
        caller with a head whose body never comes.
        """
        framing = (b"content-length", b"%d" % len(body))
        head = self._head(status, [*headers, framing])
        await self._send(head, h11.Data(data=body), h11.EndOfMessage())
        self.finished = True

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of a chunked answer."""
        await self.start_raw(status, _encoded(headers))

    async def start_raw(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        """Send the head of a chunked answer, headers as they are."""
        framing = (b"transfer-encoding", b"chunked")
        await self._send(self._head(status, [*headers, framing]))

    async def send(self, data: bytes) -> None:
        """Send one chunk; waits while the caller reads slowly."""
        await self._send(h11.Data(data=data))

    async def end(self) -> None:
        """Send the end marker, by which the caller knows the answer is whole."""
        await self._send(h11.EndOfMessage())
        self.finished = True

    def _head(self, status: int, headers: list[tuple[bytes, bytes]]) -> h11.Response:
        self.started = True
        if self._wire.closing:
            headers = [*headers, (b"connection", b"close")]
        return h11.Response(status_code=status, headers=headers)

    async def _send(self, *events: h11.Event) -> None:
        await self._wire.send(*events, until=self.late_until)


def _encoded(headers: Headers) -> list[tuple[bytes, bytes]]:
    return [(name.encode(), value.encode()) for name, value in headers.items()]
