"""A caller's request body, which is forwarded to a target while it is received.

Received bytes are kept, since a retry sends the body to another target from its start.
Their owner, the caller's connection, frees them as the request ends, whatever still
refers to the body then.
"""

from collections.abc import AsyncIterator

import trio

from berylshift.connection.memory_pool import Hold

# Bytes read from the caller ahead of what was sent to a target. Beyond them the
# caller's connection is not read, so that a slow target slows its caller down instead
# of filling this host's memory.
MAX_AHEAD_BYTES = 262_144
# A body is copied in parts of this size to be sent.
CHUNK_BYTES = 131_072


class BodyBrokenError(Exception):
    """The caller aborted its body: no attempt can send it completely."""


class RequestBody:
    """A body of ``length`` bytes, or ``None`` if the caller did not declare it."""

    def __init__(self, length: int | None = None):
        """Create a body of which nothing is received yet."""
        self.length = length
        self.ended = False
        # Whether the request has been sent to a target, perhaps without its whole body.
        self.is_forwarded = False
        # The number of received bytes.
        self.size = 0
        self._data = bytearray()
        self._hold: Hold | None = None
        self._is_freed = False
        self._is_aborted = False
        self._sent_bytes: float = 0
        self._changed = trio.Event()

    @classmethod
    def of(cls, data: bytes) -> "RequestBody":
        """Return a completely received body."""
        body = cls(len(data))
        body.add(data)
        body.end()
        return body

    @property
    def held_bytes(self) -> int:
        """Return the number of bytes in memory."""
        return len(self._data)

    def whole(self) -> bytes:
        """Return all received bytes: the whole body once it has ended."""
        return bytes(self._data)

    def start(self, count: int) -> bytes | None:
        """Return the first ``count`` bytes; ``None`` while some may still arrive."""
        if not self.ended and self.size < count:
            return None
        return bytes(self._data[:count])

    # Called for the caller's connection

    def add(self, data: bytes) -> None:
        """Append bytes received from the caller; after ``free`` only count them."""
        self.size += len(data)
        if not self._is_freed:
            self._data += data
        self._notify()

    def end(self) -> None:
        """Mark the body as completely received; hold no more memory than it takes."""
        self.ended = True
        if self._hold is not None:
            self._hold.resize(self.size)
        self._notify()

    def abort(self) -> None:
        """Mark the body as aborted unless it has ended."""
        self._is_aborted = not self.ended
        self._notify()

    async def wait_for_room(self) -> None:
        """Wait while ``MAX_AHEAD_BYTES`` or more are received but not yet sent."""
        while self.size - self._sent_bytes >= MAX_AHEAD_BYTES:
            await self._changed.wait()

    def discard(self) -> None:
        """Note that nothing more will be sent: read the rest without keeping it."""
        self._sent_bytes = float("inf")
        self.free()

    def set_hold(self, hold: Hold | None) -> None:
        """Replace the memory that is held for the body."""
        if self._hold is not None:
            self._hold.release()
        self._hold = hold

    def free(self) -> None:
        """Free the received bytes: the body can't be sent any more."""
        self._is_freed = True
        self._data = bytearray()
        self.set_hold(None)
        self._notify()

    def free_if_sent(self) -> None:
        """Free the body if it has been sent completely."""
        if self.ended and self._sent_bytes >= self.size:
            self.free()

    async def wait_for_start(self, count: int) -> None:
        """Wait until ``count`` bytes were received or the body ended or was aborted."""
        while not (self.ended or self._is_aborted or self.size >= count):
            await self._changed.wait()

    async def wait_for_end(self) -> None:
        """Wait until the body is completely received."""
        while not self.ended:
            await self._changed.wait()

    # Called for the target's connection

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body from its start; raise ``BodyBrokenError`` if it is aborted."""
        offset = 0
        while True:
            changed = self._changed
            if self._is_freed and offset < self.size:
                raise BodyBrokenError
            if offset < self.size:
                data = self._part(offset)
                yield data
                offset += len(data)
                self.note_sent(offset)
            elif self.ended:
                return
            elif self._is_aborted:
                raise BodyBrokenError
            else:
                await changed.wait()

    def _part(self, offset: int) -> bytes:
        """Return a copy of the next part from ``offset`` on."""
        with memoryview(self._data) as view:
            return bytes(view[offset : offset + CHUNK_BYTES])

    def note_sent(self, offset: int) -> None:
        """Record that the bytes before ``offset`` were sent."""
        if offset > self._sent_bytes:
            self._sent_bytes = offset
            self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
