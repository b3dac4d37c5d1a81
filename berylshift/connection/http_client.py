"""HTTP/1.1 client on trio streams, based on h11, with a pool of idle connections."""

import itertools
import select
from collections import defaultdict
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import aclosing, asynccontextmanager
from dataclasses import dataclass

import h11
import trio

from berylshift.connection.errors import (
    BadResponseError,
    ConnectFailedError,
    ConnectionBrokenError,
)
from berylshift.connection.response_parser import ResponseParser
from berylshift.connection.sending_half import SendingHalf
from berylshift.connection.tunnel_stream import TunnelStream
from berylshift.ids import RequestId

READ_BYTES = 65536
_numbers = itertools.count(1)
MAX_IDLE_PER_ADDRESS = 64
# Informational responses (1xx) that may precede one response.
MAX_INFORMATIONAL_RESPONSES = 32
# Events parsed before other tasks run: one read can contain thousands of them.
EVENTS_PER_CHECKPOINT = 64
# Maximum body size of a response that is read as a whole.
MAX_BODY_BYTES = 32 << 20
# Chunks that a body may have whatever their size; any more must have this mean size.
MAX_SMALL_CHUNKS = 16384
MIN_MEAN_CHUNK_BYTES = 64
Dial = Callable[[str], Awaitable[trio.abc.Stream]]


@dataclass(frozen=True)
class Outgoing:
    """One request to send; ``address`` is ``IP:PORT``.

    ``reuse``: whether a pooled connection may be used.
    """

    address: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes = b""
    reuse: bool = True


async def dial_tcp(address: str) -> trio.abc.Stream:
    """Open a TCP stream to ``IP:PORT``."""
    host, _, port = address.rpartition(":")
    return await trio.open_tcp_stream(host, int(port))


class BodyBuffer:
    """Collects the chunks of a body; raises ``BadResponseError`` beyond its bounds."""

    def __init__(self, max_bytes: int):
        """Hold ``max_bytes`` at most."""
        self._max_bytes = max_bytes
        # A list of chunks of few bytes would take many times their size.
        self._data = bytearray()
        self._count = 0

    def add(self, data: bytes) -> int:
        """Add a chunk; return the size so far."""
        self._data += data
        self._count += 1
        size = len(self._data)
        if size > self._max_bytes:
            raise BadResponseError("response body is too large")
        if self._count > MAX_SMALL_CHUNKS + size // MIN_MEAN_CHUNK_BYTES:
            raise BadResponseError("response body has too many chunks")
        return size

    def whole(self) -> bytes:
        """Return all bytes."""
        return bytes(self._data)


class ClientConnection:
    """One client connection to a peer."""

    def __init__(self, stream: trio.abc.Stream):
        """Start the client side of HTTP on ``stream``."""
        self.stream = stream
        self.conn: h11.Connection = ResponseParser()
        self.idle_since = 0.0
        self.reusable_until = 0.0
        self.received_bytes = False
        self._events = 0
        # Whether this host broke it, since its path to the peer is lost.
        self.is_path_lost = False
        self.number = next(_numbers)
        self.exchanges = 0
        # Ids of the requests that it has carried; ``None``: calls without an id.
        self.carried: set[RequestId | None] = set()
        # Whether the peer has sent bytes that are no response.
        self._is_malformed = False
        # Set if another task sends the request while the response is read.
        self._sending: SendingHalf | None = None

    async def send_request(self, out: Outgoing) -> None:
        """Send a complete request; raise ``ConnectionBrokenError``."""
        all_headers = {"host": out.address, **out.headers}
        headers = [*all_headers.items(), ("content-length", str(len(out.body)))]
        head = h11.Request(method=out.method, target=out.path, headers=headers)
        data = self.conn.send(head)
        if out.body:
            data += self.conn.send(h11.Data(data=out.body))
        data += self.conn.send(h11.EndOfMessage())
        try:
            await self.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
            raise ConnectionBrokenError(str(exc)) from exc

    async def next_event(self) -> h11.Event:
        """Return the response's next event; raise ``ConnectionLayerError``."""
        while True:
            self._events += 1
            if self._events % EVENTS_PER_CHECKPOINT == 0:
                await trio.lowlevel.checkpoint()
            try:
                event = self.conn.next_event()
            except h11.RemoteProtocolError as exc:
                self._is_malformed = True
                raise self._protocol_error(exc) from exc
            if event is h11.PAUSED:
                # The parser stops for good at a protocol switch that nobody asked for.
                raise BadResponseError("the peer has switched protocols")
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self.stream.receive_some(READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
                raise ConnectionBrokenError(str(exc)) from exc
            if not data:
                await self._check_end()
            self.received_bytes = self.received_bytes or bool(data)
            self.conn.receive_data(data)

    async def _check_end(self) -> None:
        """Raise ``ConnectionBrokenError`` if the end of the connection is a reset.

        The end of a tunnel is marked, and says nothing of how the request was sent.
        """
        if self._sending is None or isinstance(self.stream, TunnelStream):
            return
        if await self._sending.hides_reset():
            raise ConnectionBrokenError("connection reset while the request was sent")

    def _protocol_error(self, exc: h11.RemoteProtocolError) -> Exception:
        is_closed = self.conn.trailing_data[1]
        if is_closed:
            return ConnectionBrokenError(str(exc))
        return BadResponseError(str(exc))

    async def read_head(self) -> h11.Response:
        """Return the head of the final response; raise ``ConnectionLayerError``."""
        for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
            event = await self.next_event()
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionBrokenError("connection closed before the response")
        raise BadResponseError("too many informational responses")

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; return only at the end of the message."""
        while True:
            event = await self.next_event()
            if isinstance(event, h11.EndOfMessage):
                return
            if isinstance(event, h11.Data):
                yield bytes(event.data)

    async def read_body(
        self, max_bytes: int, on_size: Callable[[int], None] = lambda size: None
    ) -> bytes:
        """Return the body; raise ``BadResponseError`` if over ``max_bytes``.

        ``on_size`` is called with the size so far.
        """
        body = BodyBuffer(max_bytes)
        async with aclosing(self.chunks()) as chunks:
            async for data in chunks:
                on_size(body.add(data))
        return body.whole()

    def split(self, method: bytes) -> tuple[h11.Connection, SendingHalf]:
        """Return HTTP state and stream for a task that sends a ``method`` request.

        The task that reads has ``conn``, a state of its own in which the request is
        sent: it may have to replace that one, whatever the other task has done by then.
        """
        writer = self.conn
        self.conn = state_after_send(method)
        self._sending = SendingHalf(self.stream)
        return writer, self._sending

    def read_next_response(self, method: bytes) -> None:
        """Expect another response to a ``method`` request after the last one."""
        remaining, is_closed = self.conn.trailing_data
        self.conn = state_after_send(method)
        if remaining:
            self.conn.receive_data(remaining)
        if is_closed:
            self.conn.receive_data(b"")

    def is_reusable(self) -> bool:
        """Return whether request and response are complete and no bytes follow.

        Another task may have closed the connection after its last byte was read.
        """
        if self._is_malformed or is_closed(self.stream):
            return False
        if self.conn.our_state is not h11.DONE:
            return False
        return self.conn.their_state is h11.DONE and not self.conn.trailing_data[0]


class HttpResponse:
    """A response whose body is streamed.

    ``was_resent``: the peer may have received a first copy of the request, on a pooled
    connection that broke.
    """

    def __init__(self, connection: ClientConnection, head: h11.Response):
        """Wrap the response head and the connection that it arrived on."""
        self.connection = connection
        self.was_resent = False
        self.status = head.status_code
        self.headers = {
            name.decode(): val.decode("latin-1") for name, val in head.headers
        }
        self._connection = connection

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; return only at the end of the message."""
        return self.connection.chunks()

    async def read(self, max_bytes: int = MAX_BODY_BYTES) -> bytes:
        """Return the body; raise ``BadResponseError`` if over ``max_bytes``."""
        return await self.connection.read_body(max_bytes)


class HttpClient:
    """Sends requests; callers bound their duration by cancel scopes."""

    def __init__(
        self,
        dial: Dial = dial_tcp,
        connect_seconds: float = 1.0,
        idle_seconds: float = 5.0,
        may_reuse: Callable[[str], bool] = lambda address: True,
    ):
        """Open streams by ``dial``; pool idle connections for ``idle_seconds``.

        ``may_reuse`` returns whether connections to an address may be used again.
        """
        self._may_reuse = may_reuse
        # Connections with a request that may be repeated, by address.
        self._repeatable: dict[str, set[ClientConnection]] = defaultdict(set)
        self._dial = dial
        self._connect_seconds = connect_seconds
        self._idle_seconds = idle_seconds
        self._idle: dict[str, list[ClientConnection]] = defaultdict(list)

    @asynccontextmanager
    async def request(self, out: Outgoing) -> AsyncIterator[HttpResponse]:
        """Send a request and yield its response, which is valid within the block.

        A connection returns to the pool only if its response was read to the end:
        the remainder of one response would otherwise be read as the next one.
        """
        response = await self._exchange(out)
        try:
            yield response
        finally:
            self._end(out, response.connection)
            self._release(out, response.connection)

    def break_silent(self, address: str) -> None:
        """Break connections to a peer out of reach whose requests may be repeated."""
        for connection in self._repeatable.get(address, ()):
            close_now(connection.stream)

    def _end(self, out: Outgoing, connection: ClientConnection) -> None:
        found = self._repeatable.get(out.address, set())
        found.discard(connection)
        if not found:
            self._repeatable.pop(out.address, None)

    async def connect(self, address: str) -> None:
        """Open a connection and pool it; raise ``ConnectFailedError``."""
        self._add_idle(address, await self._open(address))

    async def _exchange(self, out: Outgoing) -> HttpResponse:
        pooled = self._pop_idle(out) if out.reuse else None
        if pooled is None:
            return await self._send(await self._open(out.address), out)
        try:
            return await self._send(pooled, out)
        except ConnectionBrokenError:
            # The peer closed the idle connection during the write. Only
            # requests that may run twice are sent on pooled connections.
            if pooled.received_bytes:
                raise
        return await self._resend(out)

    async def _resend(self, out: Outgoing) -> HttpResponse:
        """Send a request again whose first copy the peer may have received."""
        try:
            connection = await self._open(out.address)
        except ConnectFailedError as exc:
            raise ConnectionBrokenError(f"not resent: {exc}") from exc
        response = await self._send(connection, out)
        response.was_resent = True
        return response

    async def _send(self, connection: ClientConnection, out: Outgoing) -> HttpResponse:
        connection.received_bytes = False
        if out.reuse and not isinstance(connection.stream, TunnelStream):
            self._repeatable[out.address].add(connection)
        try:
            await connection.send_request(out)
            return HttpResponse(connection, await connection.read_head())
        except BaseException:
            self._end(out, connection)
            close_now(connection.stream)
            raise

    async def _open(self, address: str) -> ClientConnection:
        with trio.move_on_after(self._connect_seconds):
            try:
                return ClientConnection(await self._dial(address))
            except OSError as exc:
                raise ConnectFailedError(f"{address}: {exc}") from exc
        raise ConnectFailedError(f"{address}: connection attempt timed out")

    def _pop_idle(self, out: Outgoing) -> ClientConnection | None:
        connections = self._idle[out.address]
        may_reuse = self._may_reuse(out.address)
        while connections:
            connection = connections.pop()
            is_fresh = trio.current_time() - connection.idle_since < self._idle_seconds
            if may_reuse and is_fresh and has_no_input(connection.stream):
                return connection
            close_now(connection.stream)
        return None

    def _release(self, out: Outgoing, connection: ClientConnection) -> None:
        if not connection.is_reusable():
            close_now(connection.stream)
            return
        connection.conn.start_next_cycle()
        self._add_idle(out.address, connection)

    def _add_idle(self, address: str, connection: ClientConnection) -> None:
        """Pool an idle connection, or close a tunnel, or one that has no room."""
        connections = self._idle[address]
        is_tunnel = isinstance(connection.stream, TunnelStream)
        if is_tunnel or len(connections) >= MAX_IDLE_PER_ADDRESS:
            close_now(connection.stream)
            return
        connection.idle_since = trio.current_time()
        connections.append(connection)

    def close(self) -> None:
        """Close all idle connections."""
        for connections in self._idle.values():
            for connection in connections:
                close_now(connection.stream)
        self._idle.clear()


def state_after_send(method: bytes) -> h11.Connection:
    """Return the HTTP state of a client that has sent a ``method`` request."""
    conn = ResponseParser()
    conn.send(h11.Request(method=method, target=b"/", headers=[(b"host", b"-")]))
    conn.send(h11.EndOfMessage())
    return conn


def is_closed(stream: trio.abc.Stream) -> bool:
    """Return whether this host has closed a connection."""
    if isinstance(stream, TunnelStream):
        stream = stream.inner
    return isinstance(stream, trio.SocketStream) and stream.socket.fileno() < 0


def close_now(stream: trio.abc.Stream) -> None:
    """Close a stream immediately, without waiting."""
    if isinstance(stream, TunnelStream):
        stream = stream.inner
    if isinstance(stream, trio.SocketStream):
        stream.socket.close()
        return
    for half in (stream.send_stream, stream.receive_stream):
        half.close()


def has_no_input(stream: trio.abc.Stream) -> bool:
    """Return whether no input is pending on an idle connection.

    Pending input is either end of file, or a late response to an earlier request
    that would be taken for the response to the next one.
    """
    if not isinstance(stream, trio.SocketStream):
        return True
    if is_closed(stream):
        return False
    poll = select.poll()
    poll.register(stream.socket.fileno(), select.POLLIN)
    return not poll.poll(0)
