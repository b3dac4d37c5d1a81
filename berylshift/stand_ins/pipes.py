"""Byte streams in memory that can be reset, as sockets can."""

import trio
import trio.testing

# Bytes that one end may send ahead of the other's reading.
WINDOW_BYTES = 65536


class Pipe(trio.abc.HalfCloseableStream):
    """One end of a connection; ``reset`` breaks both ends."""

    def __init__(self, inner: trio.StapledStream):
        """Wrap one end of a memory stream pair."""
        self._inner = inner
        self._broken = trio.Event()
        self._unread = 0
        self._read = trio.Event()
        self.peer: Pipe | None = None
        # The client closes streams by their halves.
        self.send_stream = inner.send_stream
        self.receive_stream = inner.receive_stream

    def reset(self) -> None:
        """Break the connection: both ends get an error, nothing more arrives."""
        self._broken.set()
        if self.peer is not None:
            self.peer._broken.set()

    async def send_all(self, data: bytes) -> None:
        """Send bytes; waits while the other end reads slowly."""
        for start in range(0, len(data), WINDOW_BYTES):
            while self._unread >= WINDOW_BYTES:
                await self._read.wait()
            if self._broken.is_set():
                raise trio.BrokenResourceError("reset")
            part = data[start : start + WINDOW_BYTES]
            self._unread += len(part)
            await self._inner.send_all(part)

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until sending is possible."""
        await self._inner.wait_send_all_might_not_block()

    async def send_eof(self) -> None:
        """Close the sending half."""
        await self._inner.send_eof()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return bytes, or nothing at the end."""
        result = b""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._cancel_on_reset, nursery.cancel_scope)
                result = await self._inner.receive_some(max_bytes)
                nursery.cancel_scope.cancel()
        except* trio.ClosedResourceError as exc:
            raise trio.ClosedResourceError("closed by its own side") from exc
        if self._broken.is_set():
            raise trio.BrokenResourceError("reset")
        if self.peer is not None:
            self.peer._taken(len(result))
        return bytes(result)

    def _taken(self, size: int) -> None:
        self._unread -= size
        self._read.set()
        self._read = trio.Event()

    async def _cancel_on_reset(self, scope: trio.CancelScope) -> None:
        await self._broken.wait()
        scope.cancel()

    async def aclose(self) -> None:
        """Close both halves."""
        await self._inner.aclose()


def pipe_pair() -> tuple[Pipe, Pipe]:
    """Return both ends of a connection."""
    one, other = (Pipe(inner) for inner in trio.testing.memory_stream_pair())
    one.peer, other.peer = other, one
    return one, other
