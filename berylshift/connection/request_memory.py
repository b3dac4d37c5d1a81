"""Bounds on what a process holds for its callers' requests."""

import random
import weakref
from collections.abc import Iterator

from berylshift.connection.memory_pool import Hold, MemoryPool
from berylshift.connection.request_body import RequestBody

MEBIBYTE = 1 << 20
# Memory of a process that holds no request.
PROCESS_BYTES = 112 * MEBIBYTE
# Memory taken for each byte held: buffers grow in steps and are copied to be sent.
BYTES_PER_BYTE = 1.25
MIN_TOTAL_BYTES = 16 * MEBIBYTE
# Bodies and responses up to this size have a pool of their own, so that callers with
# large ones can't lock out the others.
SMALL_BYTES = 65536
# Shares of the total.
LARGE_BODY_SHARE = 0.6
SMALL_BODY_SHARE = 0.2
RESPONSE_SHARE = 0.2


def request_bytes(memory_mb: int) -> float:
    """Return how many bytes a process limited to ``memory_mb`` holds for requests."""
    spare = memory_mb * MEBIBYTE - PROCESS_BYTES
    return max(MIN_TOTAL_BYTES, spare / BYTES_PER_BYTE)


class RequestMemory:
    """Holds for the bodies of requests and of buffered responses.

    A body is admitted as a whole before it is read, so that no two requests wait for
    each other's memory.
    """

    def __init__(
        self, total_bytes: float = float("inf"), rng: random.Random | None = None
    ):
        """Hold ``total_bytes`` at most; spread retries by ``rng``."""
        rng = rng or random.Random()
        self.large_bodies = MemoryPool(LARGE_BODY_SHARE * total_bytes, rng)
        self.small_bodies = MemoryPool(SMALL_BODY_SHARE * total_bytes, rng)
        self.responses = MemoryPool(RESPONSE_SHARE * total_bytes, rng)
        # Bodies of ended requests, too, for as long as something refers to them.
        self._bodies: weakref.WeakSet[RequestBody] = weakref.WeakSet()

    async def admit(self, body: RequestBody, size: int) -> None:
        """Hold memory for ``size`` bytes of a body; raise ``NoRoomError``.

        It replaces what was held for the body.
        """
        self._bodies.add(body)
        body.set_hold(None)
        if size:
            pool = self.small_bodies if size <= SMALL_BYTES else self.large_bodies
            body.set_hold(await pool.take(size))

    async def hold_response(self, length: int | None) -> Hold:
        """Return a hold for a response body; wait while there is no room.

        Its request has been run: it is never given up for want of memory. Responses are
        written by a deadline, so that room is made. ``length`` is ``None`` if it is not
        known; the hold is resized once it is.
        """
        if length is None or length <= SMALL_BYTES:
            return self.responses.take_now(length or 0)
        return await self.responses.take(length, float("inf"))

    @property
    def body_bytes_in_memory(self) -> int:
        """Return the bytes of all bodies that have not been freed."""
        return sum(body.held_bytes for body in self._bodies)

    def pools(self) -> Iterator[tuple[str, MemoryPool]]:
        """Yield each pool with its name."""
        yield "large_bodies", self.large_bodies
        yield "small_bodies", self.small_bodies
        yield "responses", self.responses
