"""Callers' connections as a kernel keeps them, and a host's process as the daemon runs.

Pipes in memory give up bytes that a cancelled reader had taken, and wake it before the
loop looks. Here both are as with sockets: a call is tried at once and a cancelled one
has done nothing; what has come is seen when the loop looks next; a connection that is
closed with bytes unread is reset, and a reset takes along what its peer has not read
(RFC 9112, section 9.6).
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

# Bytes that one end may send ahead of the other's reading.
WINDOW_BYTES = 65536
MOST_WAITING = 1024
# What a connection takes, and how much later a host looks at what has come.
LATER_SECONDS = 0.001


class KernelEnd(trio.abc.HalfCloseableStream):
    """One end of a connection; ``taken`` and ``put`` count its bytes.

    ``on_put`` is called after each write, in the turn of the loop in which it was made.
    """

    def __init__(self, window: int):
        """Let the peer send ``window`` bytes ahead."""
        self.peer: KernelEnd = self
        self.taken = 0
        self.put = 0
        self.closed = False
        self.was_reset = False
        self.on_put: Callable[[bytes], None] | None = None
        self._window = window
        self._unread = bytearray()
        self._ended = False
        self._news = trio.Event()

    @property
    def received(self) -> bytes:
        """Return what the peer has sent and nobody has taken."""
        return bytes(self._unread)

    async def send_all(self, data: bytes) -> None:
        """Send bytes; waits while the peer's window is full."""
        rest = bytes(data)
        while rest:
            rest = rest[await self._call(self.put_now, rest) :]

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return bytes, or nothing at the end."""
        return await self._call(self._take, max_bytes or WINDOW_BYTES)

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until sending is possible."""
        await trio.lowlevel.checkpoint()

    async def send_eof(self) -> None:
        """Close the sending half."""
        self.peer._ended = True
        self.peer._tell()
        await trio.lowlevel.checkpoint()

    @property
    def send_stream(self) -> "KernelEnd":
        """Return what closes the sending half: a kernel closes both at once."""
        return self

    @property
    def receive_stream(self) -> "KernelEnd":
        """Return what closes the receiving half."""
        return self

    async def aclose(self) -> None:
        """Close both halves; without having read all, reset the connection."""
        self.close()
        await trio.lowlevel.checkpoint()

    def close(self) -> None:
        """Close as the end of a process does."""
        if self.closed:
            return
        self.closed = True
        if self._unread:
            self.peer.reset()
        self.peer._ended = True
        self._tell()
        self.peer._tell()

    def reset(self) -> None:
        """Take the reset that the peer sent: what was not read yet is gone."""
        self.was_reset = True
        self._unread.clear()
        self._tell()

    def put_now(self, data: bytes) -> int | None:
        """Hand bytes to the kernel; return how many it took, ``None``: not now."""
        self._check()
        peer = self.peer
        if peer.closed:
            self.reset()
            return len(data)
        room = peer._window - len(peer._unread)
        if room <= 0:
            return None
        part = data[:room]
        peer._unread += part
        self.put += len(part)
        peer._tell()
        if self.on_put is not None:
            self.on_put(part)
        return len(part)

    def _take(self, most: int) -> bytes | None:
        self._check()
        if not self._unread:
            return b"" if self._ended else None
        part = bytes(self._unread[:most])
        del self._unread[:most]
        self.taken += len(part)
        self.peer._tell()
        return part

    def _look(self, _) -> bool | None:
        self._check()
        return True if self._unread or self._ended else None

    def _check(self) -> None:
        if self.closed:
            raise trio.ClosedResourceError("closed by its own side")
        if self.was_reset:
            raise trio.BrokenResourceError("reset")

    async def _call(self, step, arg):
        """Carry out ``step`` as the loop does a call of the kernel."""
        await trio.lowlevel.checkpoint_if_cancelled()
        done = step(arg)
        if done is not None:
            await trio.lowlevel.cancel_shielded_checkpoint()
            return done
        while done is None:
            await self._news.wait()
            done = step(arg)
        return done

    def _tell(self) -> None:
        """Have the loop see the news when it looks next."""
        news, self._news = self._news, trio.Event()
        trio.lowlevel.current_trio_token().run_sync_soon(news.set)


def kernel_pair(
    window: int = WINDOW_BYTES, near: type[KernelEnd] = KernelEnd
) -> tuple[KernelEnd, KernelEnd]:
    """Return both ends; the ``near`` one lets its peer send ``window`` bytes ahead."""
    one, other = near(window), KernelEnd(WINDOW_BYTES)
    one.peer, other.peer = other, one
    return one, other


class LateLook(KernelEnd):
    """Looks a little after something has come, and so sees more of it at once."""

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return bytes, or nothing at the end."""
        await self._call(self._look, None)
        await trio.sleep(LATER_SECONDS)
        return await super().receive_some(max_bytes)


class LedgerWorld(EntryWorld):
    """Hosts whose connections to replicas are as a kernel keeps them, too."""

    async def dial(self, address: str, host: str = "") -> KernelEnd:
        """Connect to a replica."""
        self.dials += 1
        await trio.sleep(LATER_SECONDS)
        replica = self.replicas.get(address)
        if replica is None or not replica.alive:
            raise OSError("connection refused")
        near, far = kernel_pair(near=LateLook)
        self.nursery.start_soon(replica.serve, far, host)
        return near


def run_ledger(task, engines: str = "", hosts: int = 1):
    """Run ``task(world)``; ``engines``: how many that answer, a letter each."""

    async def main():
        async with trio.open_nursery() as nursery:
            world = LedgerWorld(nursery)
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
    """Return a whole request as it stands on a connection."""
    conn = h11.Connection(h11.CLIENT)
    lines = [(b"host", HOST.encode()), (names.ATTEMPT_ID, request.encode()), *headers]
    lines.append((names.TIME_LEFT_MS, b"%d" % left_ms))
    lines.append((b"content-length", b"%d" % len(body)))
    data = conn.send(h11.Request(method="POST", target=path, headers=lines)) or b""
    return data + (conn.send(h11.Data(data=body)) or b"")


class Caller:
    """A caller's connection; its answers are read in the order of its requests.

    ``heard``: something of the last answer has come.
    """

    def __init__(self, stream: KernelEnd):
        """Speak HTTP on ``stream``."""
        self.stream = stream
        self.heard = False
        self._rest = b""

    async def send(self, path: str, request: str = "r1", **more) -> None:
        """Send a request; ``more`` as ``request_bytes`` takes it."""
        await self.stream.send_all(request_bytes(path, request, **more))

    async def ask(self, path: str, request: str = "r1", **more) -> Reply:
        """Send a request and read its answer; no status if the connection broke."""
        with contextlib.suppress(trio.BrokenResourceError):
            await self.send(path, request, **more)
        return await self.read()

    async def read(self) -> Reply:
        """Return the next answer; not whole if the connection broke."""
        conn = _expecting(self._rest)
        self.heard = bool(self._rest)
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

    def unasked(self) -> bytes:
        """Return what has come behind the last answer read."""
        return self._rest + bytes(self.stream._unread)

    async def _event(self, conn: h11.Connection):
        while (event := conn.next_event()) is h11.NEED_DATA:
            data = await self.stream.receive_some()
            self.heard = self.heard or bool(data)
            conn.receive_data(data)
        return event


def _expecting(data: bytes) -> h11.Connection:
    """Return the state of a connection on which a request was sent."""
    conn = h11.Connection(h11.CLIENT)
    conn.send(h11.Request(method="POST", target="/", headers=[(b"host", b"x")]))
    conn.send(h11.EndOfMessage())
    if data:
        conn.receive_data(data)
    return conn


class HostProcess:
    """A host's process: accepts, serves, stops and ends as the daemon does."""

    def __init__(self, app: EntryApplication):
        """Run ``app``, whose own loops the world runs."""
        self.app = app
        self.stop = trio.Event()
        self.ended = trio.Event()
        self.fault: BaseException | None = None
        self._arrive, self._waiting = trio.open_memory_channel(MOST_WAITING)

    async def run(self) -> None:
        """Serve until the stop has been carried out; note what else ended it."""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.app.server.serve, self)
                await self.stop.wait()
                await self.app.on_shutdown()
                nursery.cancel_scope.cancel()
            self.app.on_stop()
        except Exception as exc:
            self.fault = exc
        finally:
            self.ended.set()
            self._refuse_waiting()

    async def accept(self) -> KernelEnd:
        """Return the next connection, as a listener does."""
        return await self._waiting.receive()

    def connect(
        self, window: int = WINDOW_BYTES, near: type[KernelEnd] = KernelEnd
    ) -> Caller:
        """Return a new connection to the host; ``OSError``: its process has ended."""
        if self.ended.is_set():
            raise OSError("connection refused")
        end, far = kernel_pair(window, near)
        self._arrive.send_nowait(far)
        return Caller(end)

    def _refuse_waiting(self) -> None:
        while True:
            try:
                self._waiting.receive_nowait().close()
            except (trio.WouldBlock, trio.EndOfChannel):
                return


async def start_process(world, host: int = 0) -> HostProcess:
    """Have one of a world's hosts serve as a process."""
    process = HostProcess(world.hosts[host])
    world.nursery.start_soon(process.run)
    await trio.lowlevel.checkpoint()
    return process


def pass_time(seconds: float) -> None:
    """Let time go by within a turn of the loop: the host gets no processor time."""
    trio.lowlevel.current_clock().jump(seconds)
