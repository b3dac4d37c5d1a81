"""HTTP/1.1 server on trio streams, by h11; one task for each connection."""

import errno
import logging
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

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

logger = logging.getLogger(__name__)

READ_BYTES = 65536
# Bytes of a next request that a connection may send before its answer ends; past
# them nothing is read, so that such a caller can't fill the memory.
MOST_EARLY_BYTES = 65536
# Bodies up to this size are read before their request is handled: a caller that sends
# slowly would hold a target's slot meanwhile. Larger ones are handed on as they come.
HELD_BYTES = 65536
# How long the rest of a body is read after its answer: closing the connection before
# would reset it, and the answer could be lost on its way.
REST_SECONDS = 1.0
# Connections that are read on for that long at one time; further ones are closed at
# once, so that callers who are refused can't use up the descriptors.
MOST_LINGERING = 256
# What the last look at a connection may take: what has come is there without waiting.
LAST_LOOK_SECONDS = 0.001
# What accept fails with while descriptors or memory are used up; they are free again
# when other connections end, and a caller waits a second for its connection.
NO_ROOM = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
NO_ROOM_SECONDS = 0.05
STATUS_TIMEOUT = 408
STATUS_TOO_LARGE = 413
STATUS_ERROR = 500
STATUS_UNAVAILABLE = 503


@dataclass(frozen=True)
class ServerLimits:
    """Bounds for one server; sizes in bytes, times in seconds."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    request_seconds: float = 10.0
    idle_seconds: float = 60.0
    write_seconds: float = 30.0
    connections: int = 2048


Handler = Callable[[HttpRequest, Responder], Awaitable[None]]


class HttpServer:
    """Serves connections with one handler, within limits."""

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits | None = None,
        hands_on_bodies: bool = False,
    ):
        """Serve with ``handler``; it is cancelled when its caller leaves.

        With ``hands_on_bodies`` it gets long bodies while they still come.
        """
        self.handler = handler
        self.held_bytes = HELD_BYTES if hands_on_bodies else float("inf")
        self._limits = limits or ServerLimits()
        self.draining = False
        self.taking = True
        self.open_connections = 0
        self._under_way = 0
        self._begun = 0
        self._all_ended = trio.Event()
        self._lingering = 0
        # Connections at rest, by the scope of their wait, with the start of the rest.
        self._idle: dict[trio.CancelScope, float] = {}
        self._reading: set[trio.CancelScope] = set()
        self._writes: set[trio.CancelScope] = set()
        self._writes_until = NEVER

    @property
    def limits(self) -> ServerLimits:
        """Return the bounds in force."""
        return self._limits

    @limits.setter
    def limits(self, limits: ServerLimits) -> None:
        """Take over bounds, for the connections at rest too.

        Callers go by the newest bound that they know, on connections too that were at
        rest before. A lower one ends no rest early: not all callers may know it yet.
        """
        self._limits = limits
        for scope, start in self._idle.items():
            scope.deadline = max(scope.deadline, start + limits.idle_seconds)

    async def serve(self, listener: trio.SocketListener) -> None:
        """Accept connections until cancelled; writes end with it."""
        async with trio.open_nursery() as nursery:
            try:
                while True:
                    stream = await self._accept(listener)
                    nursery.start_soon(self.serve_stream, stream)
            finally:
                self._end_writes()

    def _end_writes(self) -> None:
        """Bound all writes by now, so that none holds up the end of the process."""
        self._writes_until = trio.current_time()
        for scope in self._writes:
            scope.deadline = self._writes_until

    @contextmanager
    def write_scope(self, until: float) -> Iterator[trio.CancelScope]:
        """Shield the block, for the bounds of a write to a caller."""
        bound = trio.current_time() + self.limits.write_seconds
        scope = trio.CancelScope(
            shield=True, deadline=min(bound, until, self._writes_until)
        )
        self._writes.add(scope)
        try:
            with scope:
                yield scope
        finally:
            self._writes.discard(scope)

    async def _accept(self, listener: trio.SocketListener) -> trio.abc.Stream:
        """Return the next connection; wait while the system has no room for one.

        The error would end the listener and the process with it, and so cut all
        requests under way. The connection stays in the listener's queue meanwhile.
        """
        while True:
            try:
                return await listener.accept()
            except OSError as exc:
                if exc.errno not in NO_ROOM:
                    raise
                logger.warning("no room to accept", extra={"reason": str(exc)})
                await trio.sleep(NO_ROOM_SECONDS)

    async def serve_stream(self, stream: trio.abc.Stream) -> None:
        """Serve one connection; whatever breaks costs this connection only.

        Any error that passed on from here would end the process, and all callers'
        requests with it. A nursery passes errors on in groups, so kinds of error do not
        tell what may pass.
        """
        try:
            if await self._serve_counted(stream):
                await self._linger(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError, OSError):
            logger.debug("connection broken by its peer")
        except Exception:
            logger.exception("connection failed")
        finally:
            await trio.aclose_forcefully(stream)

    async def _serve_counted(self, stream: trio.abc.Stream) -> bool:
        """Serve a connection; return whether an answer was the last thing on it."""
        self.open_connections += 1
        link = _Link(self, stream)
        try:
            if not self.taking:
                logger.info("connection closed unread", extra={"reason": "stopping"})
                return False
            if self.open_connections > self.limits.connections:
                await link.refuse(STATUS_UNAVAILABLE, "too many connections")
                return True
            return await link.run()
        finally:
            self.open_connections -= 1

    async def _linger(self, stream: trio.abc.Stream) -> None:
        """Read on for a while what follows the last answer, and drop it.

        Closed with bytes unread, a connection is reset, and the reset may take along
        the answer on its way. It is no request: nothing waits for it to end.
        """
        if self._lingering >= MOST_LINGERING:
            return
        self._lingering += 1
        try:
            with trio.move_on_after(REST_SECONDS):
                await stream.send_eof()
                await _drop(stream)
        except trio.Cancelled:
            # The process ends. What has come resets the connection as well then.
            with trio.CancelScope(shield=True, deadline=_last_look()):
                await _drop(stream)
            raise
        finally:
            self._lingering -= 1

    @contextmanager
    def request_under_way(self) -> Iterator[None]:
        """Count the block as a request: from its first byte to its answer's end."""
        self._begun += 1
        self._under_way += 1
        try:
            yield
        finally:
            self._under_way -= 1
            if not self._under_way:
                self._all_ended.set()
                self._all_ended = trio.Event()

    async def wait_until_quiet(self, seconds: float) -> None:
        """Return once no request has been under way for ``seconds``.

        Requests that are still being read count, since a caller may not repeat what
        was read in part.
        """
        seen = -1
        while self._under_way or self._begun != seen:
            while self._under_way:
                await self._all_ended.wait()
            seen = self._begun
            await trio.sleep(seconds)

    async def finish(self) -> None:
        """Take no more, and return once all that has been read is answered.

        What is still being read is refused: its rest may come as the process ends.
        A reader that has been woken holds bytes for a turn of the loop before they
        count as a request; while one still waits, or holds some, nothing may end.
        """
        self.taking = False
        self.close_idle()
        for scope in self._reading:
            scope.cancel()
        while self._idle:
            await trio.lowlevel.checkpoint()
        await self.wait_until_quiet(0)

    def close_idle(self) -> None:
        """Close the connections that wait for a next request."""
        for scope in self._idle:
            scope.cancel()

    def idle_scope(self) -> trio.CancelScope:
        """Return a scope for the wait for a next request."""
        start = trio.current_time()
        scope = trio.CancelScope(deadline=start + self.limits.idle_seconds)
        self._idle[scope] = start
        return scope

    def leave_idle(self, scope: trio.CancelScope) -> None:
        """Forget a scope that ``idle_scope`` returned."""
        self._idle.pop(scope, None)

    @contextmanager
    def reading_scope(self, until: float) -> Iterator[trio.CancelScope]:
        """Bound the reading of a request, also by the end of taking."""
        if not self.taking:
            until = min(until, _last_look())
        scope = trio.CancelScope(deadline=until)
        self._reading.add(scope)
        try:
            with scope:
                yield scope
        finally:
            self._reading.discard(scope)


@dataclass
class _Link:
    """One connection of a server."""

    server: HttpServer
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
        with trio.CancelScope(shield=True, deadline=_last_look()):
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


def _last_look() -> float:
    """Return when a look that begins now is over."""
    return trio.current_time() + LAST_LOOK_SECONDS


async def _drop(stream: trio.abc.Stream) -> None:
    """Read to the end, for nothing."""
    while await stream.receive_some(READ_BYTES):
        pass
