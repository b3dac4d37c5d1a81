"""In-memory byte streams that can be reset like TCP sockets."""

import trio
import trio.testing

# Flow-control window: bytes that may be sent before the other end reads them.
WINDOW_BYTES = 65536


class Pipe(trio.abc.HalfCloseableStream):
    """One end of a connection; ``reset`` resets both ends."""

    def __init__(self, inner: trio.StapledStream):
        """Wrap one end of a memory stream pair."""
        self._inner = inner
        self._broken = trio.Event()
        self._unread_bytes = 0
        self._window_freed = trio.Event()
        self.peer: Pipe | None = None
        # The HTTP client closes the two halves of a stream separately.
        self.send_stream = inner.send_stream
        self.receive_stream = inner.receive_stream

    def reset(self) -> None:
        """Reset the connection: both ends get an error, and data in transit is lost."""
        self._broken.set()
        if self.peer is not None:
            self.peer._broken.set()

    async def send_all(self, data: bytes) -> None:
        """Send bytes, waiting while the window is full."""
        for start in range(0, len(data), WINDOW_BYTES):
            while self._unread_bytes >= WINDOW_BYTES:
                await self._window_freed.wait()
            if self._broken.is_set():
                raise trio.BrokenResourceError("connection reset")
            chunk = data[start : start + WINDOW_BYTES]
            self._unread_bytes += len(chunk)
            await self._inner.send_all(chunk)

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until sending is possible."""
        await self._inner.wait_send_all_might_not_block()

    async def send_eof(self) -> None:
        """Close the sending half."""
        await self._inner.send_eof()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return received bytes; empty at end of stream."""
        result = b""
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._cancel_on_reset, nursery.cancel_scope)
                result = await self._inner.receive_some(max_bytes)
                nursery.cancel_scope.cancel()
        except* trio.ClosedResourceError as exc:
            raise trio.ClosedResourceError("stream was closed locally") from exc
        if self._broken.is_set():
            raise trio.BrokenResourceError("connection reset")
        if self.peer is not None:
            self.peer._note_received(len(result))
        return bytes(result)

    def _note_received(self, size: int) -> None:
        self._unread_bytes -= size
        self._window_freed.set()
        self._window_freed = trio.Event()

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
