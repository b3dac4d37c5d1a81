"""Simulated sockets on a virtual clock, and a host's process as the daemon runs it.

In-memory pipes lose the bytes that a cancelled reader had taken, and wake the reader
before the event loop polls. These sockets behave like a kernel's: a call is tried at
once, and a cancelled call has no effect; arrived bytes are seen at the next poll of
the loop; a connection closed with unread bytes is reset, and a reset discards what its
peer has not read yet (RFC 9112, section 9.6).
"""

import contextlib
from collections.abc import Callable

import h11
import trio

from berylshift.entry_application import EntryApplication
from berylshift.messages.replicas import EnginePhase
from berylshift.platform import names
from berylshift.tests.entry_world import ENGINES, HOST, EntryWorld, Reply, routes
from berylshift.tests.support import run_virtual

# Bytes that one end may send before the other one reads.
WINDOW_BYTES = 65536
MAX_BACKLOG = 1024
# Time to open a connection, and delay of a ``DelayedReadSocket`` before it reads.
LATENCY_SECONDS = 0.001


class SimulatedSocket(trio.abc.HalfCloseableStream):
    """One end of a connection; ``bytes_read`` and ``bytes_sent`` count its bytes.

    ``on_send`` is called after each write, in the same turn of the event loop.
    """

    def __init__(self, window: int):
        """Let the peer send up to ``window`` unread bytes."""
        self.peer: SimulatedSocket = self
        self.bytes_read = 0
        self.bytes_sent = 0
        self.closed = False
        self.was_reset = False
        self.on_send: Callable[[bytes], None] | None = None
        self._window = window
        self._unread = bytearray()
        self._ended = False
        self._changed = trio.Event()

    @property
    def received(self) -> bytes:
        """Return the bytes that the peer has sent and that are unread."""
        return bytes(self._unread)

    async def send_all(self, data: bytes) -> None:
        """Send bytes; wait while the peer's window is full."""
        rest = bytes(data)
        while rest:
            rest = rest[await self._call_kernel(self.send_nowait, rest) :]

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return bytes; none at the end of the stream."""
        return await self._call_kernel(self._read_nowait, max_bytes or WINDOW_BYTES)

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until sending is possible."""
        await trio.lowlevel.checkpoint()

    async def send_eof(self) -> None:
        """Close the sending half."""
        self.peer._ended = True
        self.peer._notify()
        await trio.lowlevel.checkpoint()

    @property
    def send_stream(self) -> "SimulatedSocket":
        """Return the socket itself; like a kernel, it closes both halves at once."""
        return self

    @property
    def receive_stream(self) -> "SimulatedSocket":
        """Return the socket itself, as for ``send_stream``."""
        return self

    async def aclose(self) -> None:
        """Close both halves; reset the connection if bytes are unread."""
        self.close()
        await trio.lowlevel.checkpoint()

    def close(self) -> None:
        """Close as the kernel does when a process exits."""
        if self.closed:
            return
        self.closed = True
        if self._unread:
            self.peer.reset()
        self.peer._ended = True
        self._notify()
        self.peer._notify()

    def reset(self) -> None:
        """Handle a reset by the peer: unread bytes are lost."""
        self.was_reset = True
        self._unread.clear()
        self._notify()

    def send_nowait(self, data: bytes) -> int | None:
        """Send what fits; return its size, or ``None`` if the call would block."""
        self._check_open()
        peer = self.peer
        if peer.closed:
            self.reset()
            return len(data)
        room = peer._window - len(peer._unread)
        if room <= 0:
            return None
        part = data[:room]
        peer._unread += part
        self.bytes_sent += len(part)
        peer._notify()
        if self.on_send is not None:
            self.on_send(part)
        return len(part)

    def _read_nowait(self, max_bytes: int) -> bytes | None:
        self._check_open()
        if not self._unread:
            return b"" if self._ended else None
        part = bytes(self._unread[:max_bytes])
        del self._unread[:max_bytes]
        self.bytes_read += len(part)
        self.peer._notify()
        return part

    def _poll_readable(self, _) -> bool | None:
        self._check_open()
        return True if self._unread or self._ended else None

    def _check_open(self) -> None:
        if self.closed:
            raise trio.ClosedResourceError("closed locally")
        if self.was_reset:
            raise trio.BrokenResourceError("connection reset by peer")

    async def _call_kernel(self, step, arg):
        """Run ``step`` like a system call: try at once, then after each change."""
        await trio.lowlevel.checkpoint_if_cancelled()
        done = step(arg)
        if done is not None:
            await trio.lowlevel.cancel_shielded_checkpoint()
            return done
        while done is None:
            await self._changed.wait()
            done = step(arg)
        return done

    def _notify(self) -> None:
        """Wake waiting calls at the next poll of the event loop."""
        changed, self._changed = self._changed, trio.Event()
        trio.lowlevel.current_trio_token().run_sync_soon(changed.set)


def socket_pair(
    window: int = WINDOW_BYTES, near_type: type[SimulatedSocket] = SimulatedSocket
) -> tuple[SimulatedSocket, SimulatedSocket]:
    """Return two connected sockets; ``window`` is the receive window of the first."""
    one, other = near_type(window), SimulatedSocket(WINDOW_BYTES)
    one.peer, other.peer = other, one
    return one, other


class DelayedReadSocket(SimulatedSocket):
    """Reads a little after bytes have arrived, and so gets more of them at once."""

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return bytes; none at the end of the stream."""
        await self._call_kernel(self._poll_readable, None)
        await trio.sleep(LATENCY_SECONDS)
        return await super().receive_some(max_bytes)


class SocketWorld(EntryWorld):
    """Hosts whose connections to replicas are simulated sockets, too."""

    async def dial(self, address: str, host: str = "") -> SimulatedSocket:
        """Connect to a replica."""
        self.dials += 1
        await trio.sleep(LATENCY_SECONDS)
        replica = self.replicas.get(address)
        if replica is None or not replica.alive:
            raise OSError("connection refused")
        near, far = socket_pair(near_type=DelayedReadSocket)
        self.nursery.start_soon(replica.serve, far, host)
        return near


def run_socket_world(task, engines: str = "", hosts: int = 1):
    """Run ``task(world)`` with one decode engine for each letter of ``engines``."""

    async def main():
        async with trio.open_nursery() as nursery:
            world = SocketWorld(nursery)
            world.directory.put_routes(routes())
            for number in range(2):
                world.add_replica(f"plain-{number + 1}")
            for number in range(len(engines)):
                world.add_replica(f"engine-{number + 1}", ENGINES, EnginePhase.DECODE)
            for _ in range(hosts):
                await world.add_host()
            result = await task(world)
            nursery.cancel_scope.cancel()
        return result

    return run_virtual(main)


def request_bytes(
    path: str,
    request: str,
    body: bytes = b"hello",
    headers: tuple[tuple[bytes, bytes], ...] = (),
    left_ms: int = 3000,
) -> bytes:
    """Return the bytes of a complete request."""
    conn = h11.Connection(h11.CLIENT)
    lines = [(b"host", HOST.encode()), (names.ATTEMPT_ID, request.encode()), *headers]
    lines.append((names.TIME_LEFT_MS, b"%d" % left_ms))
    lines.append((b"content-length", b"%d" % len(body)))
    data = conn.send(h11.Request(method="POST", target=path, headers=lines)) or b""
    return data + (conn.send(h11.Data(data=body)) or b"")


class Caller:
    """A caller's connection; responses are read in the order of the requests.

    ``has_response_data`` tells whether any byte of the last response has arrived.
    """

    def __init__(self, stream: SimulatedSocket):
        """Speak HTTP on ``stream``."""
        self.stream = stream
        self.has_response_data = False
        self._rest = b""

    async def send(self, path: str, request: str = "r1", **more) -> None:
        """Send a request; ``more`` as ``request_bytes`` takes it."""
        await self.stream.send_all(request_bytes(path, request, **more))

    async def ask(self, path: str, request: str = "r1", **more) -> Reply:
        """Send a request and read its response; status 0 if the connection broke."""
        with contextlib.suppress(trio.BrokenResourceError):
            await self.send(path, request, **more)
        return await self.read()

    async def read(self) -> Reply:
        """Return the next response; not whole if the connection broke."""
        conn = _awaiting_response(self._rest)
        self.has_response_data = bool(self._rest)
        head, body, whole = None, b"", False
        with contextlib.suppress(h11.RemoteProtocolError, trio.BrokenResourceError):
            while not isinstance(
                event := await self._event(conn), h11.ConnectionClosed
            ):
                if isinstance(event, h11.Response):
                    head = event
                elif isinstance(event, h11.Data):
                    body += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    whole = True
                    break
        self._rest = conn.trailing_data[0]
        if head is None:
            return Reply(0, {}, b"", False)
        return Reply(head.status_code, dict(head.headers), body, whole)

    def unsolicited(self) -> bytes:
        """Return the bytes that arrived after the last response read."""
        return self._rest + bytes(self.stream._unread)

    async def _event(self, conn: h11.Connection):
        while (event := conn.next_event()) is h11.NEED_DATA:
            data = await self.stream.receive_some()
            self.has_response_data = self.has_response_data or bool(data)
            conn.receive_data(data)
        return event


def _awaiting_response(data: bytes) -> h11.Connection:
    """Return a connection's state after a request was sent and ``data`` received."""
    conn = h11.Connection(h11.CLIENT)
    conn.send(h11.Request(method="POST", target="/", headers=[(b"host", b"x")]))
    conn.send(h11.EndOfMessage())
    if data:
        conn.receive_data(data)
    return conn


class HostProcess:
    """A host's process: accepts, serves, shuts down and exits like the daemon."""

    def __init__(self, app: EntryApplication):
        """Serve with ``app``, whose background loops the world runs."""
        self.app = app
        self.stop = trio.Event()
        self.ended = trio.Event()
        self.error: BaseException | None = None
        self._backlog_send, self._backlog = trio.open_memory_channel(MAX_BACKLOG)

    async def run(self) -> None:
        """Serve until the shutdown has completed; store an exception in ``error``."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.app.server.serve, self)
                await self.stop.wait()
                await self.app.on_shutdown()
                nursery.cancel_scope.cancel()
            self.app.on_stop()
        except Exception as exc:
            self.error = exc
        finally:
            self.ended.set()
            self._close_backlog()

    async def accept(self) -> SimulatedSocket:
        """Return the next connection, like a listener."""
        return await self._backlog.receive()

    def connect(
        self,
        window: int = WINDOW_BYTES,
        near_type: type[SimulatedSocket] = SimulatedSocket,
    ) -> Caller:
        """Return a new connection; raise ``OSError`` if the process has ended."""
        if self.ended.is_set():
            raise OSError("connection refused")
        end, far = socket_pair(window, near_type)
        self._backlog_send.send_nowait(far)
        return Caller(end)

    def _close_backlog(self) -> None:
        while True:
            try:
                self._backlog.receive_nowait().close()
            except (trio.WouldBlock, trio.EndOfChannel):
                return


async def start_process(world, host: int = 0) -> HostProcess:
    """Start one of a world's hosts as a process."""
    process = HostProcess(world.hosts[host])
    world.nursery.start_soon(process.run)
    await trio.lowlevel.checkpoint()
    return process


def stall_loop(seconds: float) -> None:
    """Advance the clock within a turn of the loop, as if the host got no CPU time."""
    trio.lowlevel.current_clock().jump(seconds)
