"""One connection of an HTTP server: its requests, their handling, their answers."""

import logging
from collections.abc import Awaitable, Callable
from contextlib import AbstractContextManager
from dataclasses import dataclass, field
from typing import Protocol

import h11
import trio

from berylshift.connection.errors import RequestRejectedError
from berylshift.connection.http_request import (
    STATUS_BAD_REQUEST,
    HttpRequest,
    announced_length,
    check_framing,
    make_request,
)
from berylshift.connection.request_body import RequestBody
from berylshift.connection.responder import NEVER, Responder, SlowCallerError
from berylshift.connection.server_limits import (
    READ_BYTES,
    REST_SECONDS,
    ServerLimits,
    last_look,
)

logger = logging.getLogger(__name__)

# Bytes of a next request that a connection may send before its answer ends; past
# them nothing is read, so that such a caller can't fill the memory.
MOST_EARLY_BYTES = 65536
STATUS_TIMEOUT = 408
STATUS_TOO_LARGE = 413
STATUS_ERROR = 500
STATUS_UNAVAILABLE = 503

Handler = Callable[[HttpRequest, Responder], Awaitable[None]]


class ServerSide(Protocol):
    """What a connection asks of its server.

    ``held_bytes``: how much of a body is read before its request is handled;
    ``draining``: each answer is its connection's last; ``taking``: requests are begun.
    """

    handler: Handler
    held_bytes: float
    draining: bool
    taking: bool

    @property
    def limits(self) -> ServerLimits:
        """Return the bounds in force."""

    def request_under_way(self) -> AbstractContextManager[None]:
        """Count the block as a request."""

    def reading_scope(self, until: float) -> AbstractContextManager[trio.CancelScope]:
        """Bound the reading of a request."""

    def write_scope(self, until: float) -> AbstractContextManager[trio.CancelScope]:
        """Bound and shield a write to the caller."""

    def idle_scope(self) -> trio.CancelScope:
        """Return a scope for the wait for a next request."""

    def leave_idle(self, scope: trio.CancelScope) -> None:
        """Forget a scope that ``idle_scope`` returned."""


@dataclass
class ServerLink:
    """One connection of a server."""

    server: ServerSide
    stream: trio.abc.Stream
    conn: h11.Connection = field(init=False)
    read_until: float = float("inf")
    # Whether the request at hand asks for the head of an answer alone.
    headless: bool = False
    writing: trio.CancelScope = field(default_factory=trio.CancelScope)

    def __post_init__(self) -> None:
        """Start the HTTP state of the connection."""
        size = self.server.limits.header_bytes
        self.conn = h11.Connection(h11.SERVER, max_incomplete_event_size=size)

    @property
    def closing(self) -> bool:
        """Return whether the connection is closed after its next answer."""
        return self.server.draining

    async def send(self, *events: h11.Event, until: float = NEVER) -> None:
        """Write ``events`` by ``until``, whatever is cancelled around it.

        What h11 has taken counts as sent: a write that is cancelled before its bytes
        have left can't be made good by any later one, and the caller gets half an
        answer or none. Its own bounds end the write of a caller that reads slowly.
        """
        data = b"".join(self.conn.send(event) or b"" for event in self._allowed(events))
        if not data:
            return
        with self.server.write_scope(until) as self.writing:
            await self.stream.send_all(data)
        if self.writing.cancelled_caught:
            raise SlowCallerError("caller reads too slowly")

    def _allowed(self, events: tuple[h11.Event, ...]) -> list[h11.Event]:
        """Return the events without a body where the request allows none.

        h11 refuses such a body, and with it the head that it has taken before.
        """
        if not self.headless:
            return list(events)
        return [event for event in events if not isinstance(event, h11.Data)]

    async def run(self) -> bool:
        """Serve requests; return whether an answer was the last thing, not a rest."""
        while await self._wait_for_bytes():
            if not await self._serve_one():
                return True
            self.conn.start_next_cycle()
        return False

    async def _serve_one(self) -> bool:
        """Serve a request; return whether the connection may go on."""
        with self.server.request_under_way():
            try:
                req = await self._read_request()
                return req is not None and await self._answer(req)
            except RequestRejectedError as exc:
                await self.refuse(exc.status, exc.reason)
                return False

    async def refuse(self, status: int, reason: str, outcome: str = "not-run") -> None:
        """Answer a request that no handler answers."""
        if self.conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        body = b'{"title":"%s"}' % reason.encode()
        headers = [
            ("content-type", "application/problem+json"),
            ("content-length", str(len(body))),
            ("berylshift-outcome", outcome),
            ("retry-after", "1"),
            ("connection", "close"),
        ]
        head = h11.Response(status_code=status, headers=headers)
        await self.send(head, h11.Data(data=body), h11.EndOfMessage())

    async def _answer(self, req: HttpRequest) -> bool:
        """Run the handler; return whether the connection may go on."""
        responder = Responder(self)
        rest = _Rest()
        async with trio.open_nursery() as nursery:
            scope = nursery.cancel_scope
            nursery.start_soon(self._watch, req.arriving, rest, responder, scope)
            await self._handle(req, responder)
            await self._take_rest(req.arriving)
            nursery.cancel_scope.cancel()
        if rest.rejected is not None and not responder.started:
            raise rest.rejected
        both_done = self.conn.our_state is self.conn.their_state is h11.DONE
        return responder.finished and both_done

    async def _take_rest(self, body: RequestBody) -> None:
        """Wait a little for the rest of a body whose answer is out."""
        body.discard()
        with trio.move_on_after(REST_SECONDS):
            await body.wait_for_end()

    async def _handle(self, req: HttpRequest, responder: Responder) -> None:
        try:
            await self.server.handler(req, responder)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            logger.debug("caller left before its answer ended")
        except Exception:
            # A fault in one handler must not end the other callers' requests.
            logger.exception("request handler failed")
            if not responder.started:
                await self.refuse(STATUS_ERROR, "internal error", "unknown")

    async def _watch(
        self,
        body: RequestBody,
        rest: "_Rest",
        responder: Responder,
        scope: trio.CancelScope,
    ) -> None:
        """Read the rest of the body, then notice when the caller leaves.

        A handler whose caller left, or broke its body off, is cancelled, so that no
        target works for it.
        """
        try:
            await self._read_rest(body)
        except RequestRejectedError as exc:
            rest.rejected = exc
            body.break_off()
        else:
            await self._wait_for_leaving()
        responder.caller_left = True
        # A write is shielded from the scope, and there is nobody left to read it.
        self.writing.cancel()
        scope.cancel()

    async def _read_rest(self, body: RequestBody) -> None:
        with trio.move_on_at(self.read_until):
            while not body.ended:
                await body.wait_for_room()
                await self._read_part(body)
            return
        raise RequestRejectedError(STATUS_TIMEOUT, "request was sent too slowly")

    async def _wait_for_leaving(self) -> None:
        early = 0
        while data := await self._receive():
            self.conn.receive_data(data)
            early += len(data)
            if early > MOST_EARLY_BYTES:
                await trio.sleep_forever()

    async def _receive(self) -> bytes:
        try:
            return bytes(await self.stream.receive_some(READ_BYTES))
        except trio.BrokenResourceError:
            return b""

    async def _next_event(self) -> h11.Event | type[h11.Event]:
        while True:
            try:
                event = self.conn.next_event()
            except h11.RemoteProtocolError as exc:
                raise RequestRejectedError(exc.error_status_hint, str(exc)) from exc
            if event is not h11.NEED_DATA:
                return event
            if self.conn.they_are_waiting_for_100_continue:
                await self.send(h11.InformationalResponse(status_code=100, headers=[]))
            self.conn.receive_data(await self._receive())

    async def _read_request(self) -> HttpRequest | None:
        self.read_until = trio.current_time() + self.server.limits.request_seconds
        with self.server.reading_scope(self.read_until):
            return await self._read_held()
        if not self.server.taking:
            raise RequestRejectedError(STATUS_UNAVAILABLE, "this host is leaving")
        raise RequestRejectedError(STATUS_TIMEOUT, "request was sent too slowly")

    async def _wait_for_bytes(self) -> bool:
        """Wait for a request's first byte; it is time that may be cut short."""
        if not self.server.taking:
            return False
        if self.conn.trailing_data[0]:
            return True
        scope = self.server.idle_scope()
        data = b""
        try:
            with scope:
                data = await self._receive()
        finally:
            self.server.leave_idle(scope)
        if scope.cancelled_caught and self.server.taking:
            data = await self._look_once_more()
        if data:
            self.conn.receive_data(data)
        return bool(data)

    async def _look_once_more(self) -> bytes:
        """Return what has come by the end of a rest.

        It may lie in the kernel while the loop has not looked yet; closed now, the
        connection would be reset under a request.
        """
        with trio.CancelScope(shield=True, deadline=last_look()):
            return await self._receive()
        return b""

    async def _read_held(self) -> HttpRequest | None:
        """Read the head and as much of the body as is held before it is handled."""
        head = await self._next_event()
        if not isinstance(head, h11.Request):
            return None
        self.headless = head.method == b"HEAD"
        check_framing(head)
        body = RequestBody(announced_length(head))
        self._check_size(body.length or 0)
        while not body.ended and body.size < self.server.held_bytes:
            await self._read_part(body)
        return make_request(head, body)

    async def _read_part(self, body: RequestBody) -> None:
        event = await self._next_event()
        if isinstance(event, h11.EndOfMessage):
            body.end()
            return
        if not isinstance(event, h11.Data):
            raise RequestRejectedError(STATUS_BAD_REQUEST, "body broke off")
        self._check_size(body.size + len(event.data))
        body.add(bytes(event.data))

    def _check_size(self, size: int) -> None:
        if size > self.server.limits.body_bytes:
            raise RequestRejectedError(STATUS_TOO_LARGE, "body is too large")


@dataclass
class _Rest:
    """What came of the rest of a body; ``rejected``: why it can't be taken."""

    rejected: RequestRejectedError | None = None
