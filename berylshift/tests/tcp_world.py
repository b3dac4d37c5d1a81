"""Replicas on real sockets that answer with scripts.

The kernel reports a reset once, to the task that asks first. ``OrderedStream`` decides
which one that is, whatever the event loop runs first.
"""

import socket
import struct
from collections.abc import Awaitable, Callable
from enum import Enum, auto

import trio

from berylshift.messages.replicas import EnginePhase
from berylshift.platform import names
from berylshift.tests.entry_world import ENGINES, PLAIN, EntryWorld, routes

LOOPBACK = "127.0.0.1"
READ_BYTES = 65536
# Small buffers keep a long request from being taken by the kernel at once.
BUFFER_BYTES = 8192
# More than the kernel's buffers of both ends hold.
LONG_BYTES = 2 << 20
# A peer waits this long before it goes on; the client has blocked by then.
PAUSE_SECONDS = 0.05
# Far beyond what any response here takes.
LIMIT_SECONDS = 10.0
OK = b"HTTP/1.1 200 OK"
WHOLE = b"all of the answer"
# How long a sender's error is held back in ``Order.SENDER_LATE``.
LATE_SECONDS = 0.05


class Order(Enum):
    """Which task learns first how a connection ended."""

    # The sender has its error before the reader reads on.
    SENDER_FIRST = auto()
    # The kernel has given the error to the sender, whose task has not run since.
    SENDER_LATE = auto()
    # The sender sends nothing after the head before the reader has read to the end.
    READER_FIRST = auto()


class OrderedStream(trio.abc.HalfCloseableStream):
    """A connection whose end reaches sender and reader in a given order."""

    def __init__(self, inner: trio.SocketStream, order: Order):
        """Wrap a connection."""
        self._inner = inner
        self._order = order
        self._has_sent = False
        self._has_read = False
        self._failed = trio.Event()
        self._ended = trio.Event()

    async def send_all(self, data: bytes) -> None:
        """Send bytes; only the first call does not wait for its turn."""
        if self._order is Order.READER_FIRST and self._has_sent:
            await self._ended.wait()
        self._has_sent = True
        try:
            await self._inner.send_all(data)
        except trio.BrokenResourceError:
            self._failed.set()
            if self._order is Order.SENDER_LATE:
                with trio.CancelScope(shield=True):
                    await trio.sleep(LATE_SECONDS)
            raise

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return bytes; only the first call does not wait for its turn."""
        if self._order is not Order.READER_FIRST and self._has_read:
            await self._failed.wait()
        self._has_read = True
        try:
            data = await self._inner.receive_some(max_bytes)
        except trio.BrokenResourceError:
            self._ended.set()
            raise
        if not data:
            self._ended.set()
        return data

    @property
    def send_stream(self) -> "OrderedStream":
        """Return the stream itself; ``close`` closes both halves."""
        return self

    @property
    def receive_stream(self) -> "OrderedStream":
        """Return the stream itself, as for ``send_stream``."""
        return self

    def close(self) -> None:
        """Close the connection at once."""
        self._inner.socket.close()

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until sending is possible."""
        await self._inner.wait_send_all_might_not_block()

    async def send_eof(self) -> None:
        """Close the sending half."""
        await self._inner.send_eof()

    async def aclose(self) -> None:
        """Close the connection."""
        await self._inner.aclose()


class Peer:
    """A replica's end of one connection."""

    def __init__(self, stream: trio.SocketStream):
        """Serve ``stream``."""
        self.stream = stream
        self.request = b""

    async def read_head(self) -> bytes:
        """Return the head of the next request, perhaps with a part of its body."""
        self.request = b""
        while b"\r\n\r\n" not in self.request:
            data = await self.stream.receive_some(BUFFER_BYTES)
            if not data:
                raise trio.EndOfChannel
            self.request += data
        return self.request

    async def read_body(self) -> None:
        """Read the rest of a request that declares its length."""
        head, _, body = self.request.partition(b"\r\n\r\n")
        size = int(field(head, b"content-length") or b"0")
        left = size - len(body)
        while left > 0:
            left -= len(await self.stream.receive_some(READ_BYTES))

    async def send(self, *lines: bytes, body: bytes = b"") -> None:
        """Send a head with the request's id and a signature, and ``body``."""
        own = [
            names.ATTEMPT_ID + b": " + (field(self.request, names.ATTEMPT_ID) or b"")
        ]
        own.append(names.SIGNATURE + b": signed")
        status, *fields = lines
        head = b"\r\n".join([status, *own, *fields])
        await self.stream.send_all(head + b"\r\n\r\n" + body)

    def reset(self) -> None:
        """Reset the connection."""
        sock = self.stream.socket
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        sock.close()

    async def reset_after_pause(self) -> None:
        """Reset the connection once the client has read what was sent, or waits."""
        await trio.sleep(PAUSE_SECONDS)
        self.reset()

    async def end(self) -> None:
        """End the connection in order, and read what still comes."""
        await self.stream.send_eof()
        while await self.stream.receive_some(READ_BYTES):
            pass


def field(head: bytes, name: bytes) -> bytes | None:
    """Return the value of a field of a request's head."""
    for line in head.split(b"\r\n"):
        found, _, value = line.partition(b":")
        if found.lower() == name:
            return value.strip()
    return None


Script = Callable[[Peer], Awaitable[None]]


async def listen(nursery: trio.Nursery, script: Script) -> str:
    """Serve each connection with ``script``; return the address."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    sock.bind((LOOPBACK, 0))
    sock.listen()
    sock.setblocking(False)
    listener = trio.SocketListener(trio.socket.from_stdlib_socket(sock))

    async def serve(stream: trio.SocketStream) -> None:
        try:
            await script(Peer(stream))
        except (trio.BrokenResourceError, trio.ClosedResourceError, trio.EndOfChannel):
            pass

    nursery.start_soon(trio.serve_listeners, serve, [listener])
    return f"{LOOPBACK}:{sock.getsockname()[1]}"


async def connect(address: str, order: Order | None = None) -> trio.abc.Stream:
    """Connect with a small send buffer."""
    host, _, port = address.rpartition(":")
    sock = trio.socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
    await sock.connect((host, int(port)))
    stream = trio.SocketStream(sock)
    return stream if order is None else OrderedStream(stream, order)


async def reset_without_length(peer: Peer) -> None:
    """Send a part of a body that has no length, and reset the connection."""
    await peer.read_head()
    await peer.send(OK, body=WHOLE[:6])
    await peer.reset_after_pause()


async def answer(peer: Peer) -> None:
    """Answer each request on a connection with a whole body and its length."""
    while True:
        await peer.read_head()
        await peer.read_body()
        await peer.send(OK, b"content-length: %d" % len(WHOLE), body=WHOLE)


class TcpWorld(EntryWorld):
    """Hosts whose replicas are scripts on real sockets, on the real clock."""

    def __init__(self, nursery: trio.Nursery, order: Order | None):
        """Connect to replicas with ``order``."""
        super().__init__(nursery)
        # The script of each replica, by its address in the directory.
        self.scripts: dict[str, Script] = {}
        self._order = order
        self._listening: dict[str, str] = {}

    async def dial(self, address: str, host: str = "") -> trio.abc.Stream:
        """Connect to a replica."""
        self.dials += 1
        if address not in self._listening:
            script = self.scripts[address]
            self._listening[address] = await listen(self.nursery, script)
        return await connect(self._listening[address], self._order)


def run_tcp(task, order: Order | None = None, **scripts: Script):
    """Run ``task(world)`` with one host and a replica for each script.

    The first letter of a script's name is that of its replica: d decode engine, p
    prefill engine, s replica of the plain service.
    """
    phases = {"p": EnginePhase.PREFILL, "d": EnginePhase.DECODE}

    async def main():
        async with trio.open_nursery() as nursery:
            world = TcpWorld(nursery, order)
            world.directory.put_routes(routes())
            for name, script in scripts.items():
                phase = phases.get(name[0], EnginePhase.NONE)
                service = ENGINES if name[0] in phases else PLAIN
                replica = world.add_replica(name, service, phase)
                world.scripts[replica.address] = script
            await world.add_host()
            with trio.fail_after(LIMIT_SECONDS):
                result = await task(world)
            nursery.cancel_scope.cancel()
        return result

    return trio.run(main)
