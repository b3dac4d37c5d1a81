"""Frames of a tunnel: a replica's bytes, with a mark where it ended its connection.

A host that stops closes its connections like a replica that has sent all of its
response. Only the mark tells a complete end from a lost tunnel.
"""

import trio

HEADER_BYTES = 4
# Messages that open a tunnel are far smaller; a longer one is no such message.
MAX_MESSAGE_BYTES = 4096
READ_BYTES = 65536
END_FRAME = (0).to_bytes(HEADER_BYTES)


def frame(data: bytes) -> bytes:
    """Return ``data``, which is not empty, as a frame."""
    return len(data).to_bytes(HEADER_BYTES) + data


class FrameReader:
    """Reads frames; raises ``trio.BrokenResourceError`` if the stream ends early."""

    def __init__(self, stream: trio.abc.ReceiveStream):
        """Read from ``stream``."""
        self._stream = stream
        self._buffer = bytearray()
        self._left = 0
        self._ended = False

    async def read_message(self) -> bytes:
        """Return a whole frame, a message of limited size."""
        size = int.from_bytes(await self._read_exactly(HEADER_BYTES))
        if not 0 < size <= MAX_MESSAGE_BYTES:
            raise trio.BrokenResourceError("no tunnel message")
        return await self._read_exactly(size)

    async def read_some(self, max_bytes: int) -> bytes:
        """Return the next bytes of frames; empty at the end mark."""
        if self._ended:
            await trio.lowlevel.checkpoint()
            return b""
        if not self._left:
            self._left = int.from_bytes(await self._read_exactly(HEADER_BYTES))
            if not self._left:
                self._ended = True
                return b""
        if not self._buffer:
            await self._fill()
        part = bytes(self._buffer[: min(max_bytes, self._left)])
        del self._buffer[: len(part)]
        self._left -= len(part)
        return part

    def take_rest(self) -> bytes:
        """Return the bytes that were read beyond the last frame."""
        rest, self._buffer = bytes(self._buffer), bytearray()
        return rest

    async def _read_exactly(self, size: int) -> bytes:
        while len(self._buffer) < size:
            await self._fill()
        data = bytes(self._buffer[:size])
        del self._buffer[:size]
        return data

    async def _fill(self) -> None:
        data = await self._stream.receive_some(READ_BYTES)
        if not data:
            raise trio.BrokenResourceError("the tunnel ended early")
        self._buffer += data


class TunnelStream(trio.abc.HalfCloseableStream):
    """A connection to a replica through another host."""

    def __init__(self, stream: trio.abc.Stream, reader: FrameReader, host: str):
        """Wrap the connection to ``host`` after it opened the tunnel."""
        self._stream = stream
        self._reader = reader
        self.host = host

    async def send_all(self, data: bytes) -> None:
        """Send bytes to the replica."""
        await self._stream.send_all(data)

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return bytes of the replica; empty once it has ended its connection."""
        return await self._reader.read_some(max_bytes or READ_BYTES)

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until sending is possible."""
        await self._stream.wait_send_all_might_not_block()

    async def send_eof(self) -> None:
        """Raise ``NotImplementedError``: HTTP requests don't end with the stream."""
        raise NotImplementedError("a tunnel can't be closed on one side")

    async def aclose(self) -> None:
        """Close the tunnel."""
        await self._stream.aclose()

    @property
    def inner(self) -> trio.abc.Stream:
        """Return the connection to the other host."""
        return self._stream
