"""HTTP/1.1 client on trio streams, by h11, with a pool of idle connections."""

from collections import defaultdict
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import h11
import trio

from berylshift.connection.errors import (
    BadAnswerError,
    ConnectFailedError,
    ConnectionBrokenError,
)

READ_BYTES = 65536
IDLE_PER_ADDRESS = 64
Dial = Callable[[str], Awaitable[trio.abc.Stream]]


@dataclass(frozen=True)
class Outgoing:
    """One request to send; ``address`` is ``IP:PORT``."""

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


class Wire:
    """One connection to a peer."""

    def __init__(self, stream: trio.abc.Stream):
        """Speak HTTP as a client on ``stream``."""
        self.stream = stream
        self.conn = h11.Connection(h11.CLIENT)
        self.idle_since = 0.0
        self.kept_until = 0.0
        self.answered = False

    async def send_request(self, out: Outgoing) -> None:
        """Send a whole request; raise ``ConnectionBrokenError``."""
        named = {"host": out.address, **out.headers}
        headers = [*named.items(), ("content-length", str(len(out.body)))]
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
        """Return the answer's next event; raise ``ConnectionLayerError``."""
        while True:
            try:
                event = self.conn.next_event()
            except h11.RemoteProtocolError as exc:
                raise self._early_end(exc) from exc
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self.stream.receive_some(READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
                raise ConnectionBrokenError(str(exc)) from exc
            self.answered = self.answered or bool(data)
            self.conn.receive_data(data)

    def _early_end(self, exc: h11.RemoteProtocolError) -> Exception:
        closed = self.conn.trailing_data[1]
        if closed:
            return ConnectionBrokenError(str(exc))
        return BadAnswerError(str(exc))

    async def read_head(self) -> h11.Response:
        """Return the head of the final answer; raise ``ConnectionLayerError``."""
        while True:
            event = await self.next_event()
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise ConnectionBrokenError("closed before the answer")

    def reusable(self) -> bool:
        """Return whether request and answer ended cleanly, with nothing behind."""
        if self.conn.our_state is not h11.DONE:
            return False
        return self.conn.their_state is h11.DONE and not self.conn.trailing_data[0]


class HttpResponse:
    """An answer whose body is read as it comes."""

    def __init__(self, wire: Wire, head: h11.Response):
        """Wrap the answer's head and the connection it comes on."""
        self.status = head.status_code
        self.headers = {
            name.decode(): val.decode("latin-1") for name, val in head.headers
        }
        self._wire = wire

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; ends only at the body's own end."""
        while True:
            event = await self._wire.next_event()
            if isinstance(event, h11.EndOfMessage):
                return
            if isinstance(event, h11.Data):
                yield bytes(event.data)

    async def read(self) -> bytes:
        """Return the whole body."""
        return b"".join([data async for data in self.chunks()])


class HttpClient:
    """Sends requests; times are bounded by the callers' cancel scopes."""

    def __init__(
        self,
        dial: Dial = dial_tcp,
        connect_seconds: float = 1.0,
        idle_seconds: float = 5.0,
    ):
        """Open streams by ``dial``; idle ones are kept for ``idle_seconds``."""
        self._dial = dial
        self._connect_seconds = connect_seconds
        self._idle_seconds = idle_seconds
        self._idle: dict[str, list[Wire]] = defaultdict(list)

    @asynccontextmanager
    async def request(self, out: Outgoing) -> AsyncIterator[HttpResponse]:
        """Send a request and give its answer; the connection ends with the block.

        A connection goes back to the pool only when its answer was read to the
        end: a late rest of one answer would otherwise open the next one.
        """
        wire, head = await self._exchange(out)
        try:
            yield HttpResponse(wire, head)
        finally:
            self._put_back(out, wire)

    async def connect(self, address: str) -> None:
        """Open a connection and keep it; raise ``ConnectFailedError``."""
        self._keep(address, await self._open(address))

    async def _exchange(self, out: Outgoing) -> tuple[Wire, h11.Response]:
        pooled = self._take(out) if out.reuse else None
        if pooled is not None:
            try:
                return await self._send(pooled, out)
            except ConnectionBrokenError:
                # The peer closed the idle connection as we wrote. Only requests
                # that may run twice are sent on pooled connections.
                if pooled.answered:
                    raise
        return await self._send(await self._open(out.address), out)

    async def _send(self, wire: Wire, out: Outgoing) -> tuple[Wire, h11.Response]:
        wire.answered = False
        try:
            await wire.send_request(out)
            return wire, await wire.read_head()
        except BaseException:
            close_now(wire.stream)
            raise

    async def _open(self, address: str) -> Wire:
        with trio.move_on_after(self._connect_seconds):
            try:
                return Wire(await self._dial(address))
            except OSError as exc:
                raise ConnectFailedError(f"{address}: {exc}") from exc
        raise ConnectFailedError(f"{address}: no answer to the connection request")

    def _take(self, out: Outgoing) -> Wire | None:
        wires = self._idle[out.address]
        while wires:
            wire = wires.pop()
            if trio.current_time() - wire.idle_since < self._idle_seconds:
                return wire
            close_now(wire.stream)
        return None

    def _put_back(self, out: Outgoing, wire: Wire) -> None:
        if not wire.reusable():
            close_now(wire.stream)
            return
        wire.conn.start_next_cycle()
        self._keep(out.address, wire)

    def _keep(self, address: str, wire: Wire) -> None:
        """Keep a connection that is idle, if there is room for it."""
        wires = self._idle[address]
        if len(wires) >= IDLE_PER_ADDRESS:
            close_now(wire.stream)
            return
        wire.idle_since = trio.current_time()
        wires.append(wire)

    def close(self) -> None:
        """Close the idle connections."""
        for wires in self._idle.values():
            for wire in wires:
                close_now(wire.stream)
        self._idle.clear()


def close_now(stream: trio.abc.Stream) -> None:
    """Close a stream without waiting."""
    if isinstance(stream, trio.SocketStream):
        stream.socket.close()
        return
    for half in (stream.send_stream, stream.receive_stream):
        half.close()
