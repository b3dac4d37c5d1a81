"""A caller's request body: read from the caller while it is sent to a target.

What has come is kept, since another target may have to get the body from its start.
"""

from collections.abc import AsyncIterator

import trio

# Bytes read from the caller ahead of the sends; past them its connection is not read,
# so that a target that reads slowly slows its caller and not this host's memory.
AHEAD_BYTES = 262_144


class BodyBrokenError(Exception):
    """The caller broke its body off: no send of it can be completed."""


class RequestBody:
    """A body of ``length`` bytes, ``None`` if the caller did not announce it."""

    def __init__(self, length: int | None = None):
        """Start with nothing received."""
        self.length = length
        self.ended = False
        self._data = bytearray()
        self._broken = False
        self._sent: float = 0
        self._changed = trio.Event()

    @classmethod
    def of(cls, data: bytes) -> "RequestBody":
        """Return a body that is there already."""
        body = cls(len(data))
        body.add(data)
        body.end()
        return body

    @property
    def size(self) -> int:
        """Return how many bytes have come."""
        return len(self._data)

    def whole(self) -> bytes:
        """Return all bytes; they are the body once it has ended."""
        return bytes(self._data)

    def start(self, count: int) -> bytes | None:
        """Return the first ``count`` bytes; ``None`` if more of them may come."""
        if not self.ended and self.size < count:
            return None
        return bytes(self._data[:count])

    # The caller's side

    def add(self, data: bytes) -> None:
        """Take bytes from the caller."""
        self._data += data
        self._tell()

    def end(self) -> None:
        """Note that the caller has sent all."""
        self.ended = True
        self._tell()

    def break_off(self) -> None:
        """Note that no more will come."""
        self._broken = not self.ended
        self._tell()

    async def wait_for_room(self) -> None:
        """Wait until the sends have come near enough to what was read."""
        while self.size - self._sent >= AHEAD_BYTES:
            await self._changed.wait()

    def discard(self) -> None:
        """Note that nobody will send the rest: it may be read without bound."""
        self._sent = float("inf")
        self._tell()

    async def wait_for_start(self, count: int) -> None:
        """Wait until the first ``count`` bytes are there, or none come any more."""
        while not (self.ended or self._broken or self.size >= count):
            await self._changed.wait()

    async def wait_for_end(self) -> None:
        """Wait until the caller has sent all."""
        while not self.ended:
            await self._changed.wait()

    # The targets' side

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body from its start; raise ``BodyBrokenError`` if it breaks off."""
        at = 0
        while True:
            changed = self._changed
            if at < self.size:
                data = bytes(self._data[at:])
                yield data
                at += len(data)
                self._note_sent(at)
            elif self.ended:
                return
            elif self._broken:
                raise BodyBrokenError
            else:
                await changed.wait()

    def _note_sent(self, at: int) -> None:
        if at > self._sent:
            self._sent = at
            self._tell()

    def _tell(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
