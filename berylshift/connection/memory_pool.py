"""A pool of memory from which requests take what they hold."""

import random
from collections import deque

import trio

# A reservation that does not fit waits at most this long: its caller is told to come
# back while most of its time is left.
MAX_WAIT_SECONDS = 0.25
# Weight of the newest sample in the mean time that memory is held.
HOLD_WEIGHT = 0.1
MIN_RETRY_SECONDS = 0.2
MAX_RETRY_SECONDS = 5.0


class NoRoomError(Exception):
    """The pool has no room; ``retry_after_seconds`` is when there may be some."""

    def __init__(self, retry_after_seconds: float):
        """Store the delay."""
        super().__init__("no memory for this request")
        self.retry_after_seconds = retry_after_seconds


class Hold:
    """A part of a pool; its owner releases it once."""

    def __init__(self, pool: "MemoryPool", size: int):
        """Hold ``size`` bytes, which the pool has counted."""
        self._pool = pool
        self.size = size
        self._since = trio.current_time()

    def resize(self, size: int) -> None:
        """Change the number of bytes, without waiting."""
        self._pool.adjust(size - self.size)
        self.size = size

    def release(self) -> None:
        """Return the bytes to the pool; later calls have no effect."""
        if self.size:
            self._pool.record_hold(trio.current_time() - self._since)
            self.resize(0)


class _Waiter:
    """A reservation that waits for room."""

    def __init__(self, size: int):
        self.size = size
        self.granted = trio.Event()


class MemoryPool:
    """Counts the bytes held, and lets reservations in in the order of their arrival.

    One reservation larger than the limit gets in while nothing else is held.
    """

    def __init__(self, limit_bytes: float, rng: random.Random):
        """Hold ``limit_bytes`` at most."""
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.refused = 0
        self._rng = rng
        self._waiters: deque[_Waiter] = deque()
        self._mean_hold_seconds = 0.0

    @property
    def waiting_bytes(self) -> int:
        """Return the bytes of the reservations that wait."""
        return sum(waiter.size for waiter in self._waiters)

    def take_now(self, size: int) -> Hold:
        """Return a hold of ``size`` bytes, over the limit if necessary."""
        self.held_bytes += size
        return Hold(self, size)

    async def take(self, size: int, wait_seconds: float = MAX_WAIT_SECONDS) -> Hold:
        """Return a hold of ``size`` bytes; raise ``NoRoomError``.

        It waits for room if that can be expected within ``wait_seconds``.
        """
        if not self._waiters and self._fits(size):
            return self.take_now(size)
        if self._expected_wait(size) > wait_seconds:
            raise self._no_room(size)
        return await self._wait(size, wait_seconds)

    async def _wait(self, size: int, seconds: float) -> Hold:
        waiter = _Waiter(size)
        self._waiters.append(waiter)
        try:
            with trio.move_on_after(seconds):
                await waiter.granted.wait()
        except trio.Cancelled:
            if waiter.granted.is_set():
                self.adjust(-size)
            raise
        finally:
            if not waiter.granted.is_set():
                self._waiters.remove(waiter)
                self._admit_waiters()
        if not waiter.granted.is_set():
            raise self._no_room(size)
        return Hold(self, size)

    def adjust(self, change: int) -> None:
        """Count ``change`` more bytes, or fewer, as held."""
        self.held_bytes += change
        if change < 0:
            self._admit_waiters()

    def record_hold(self, seconds: float) -> None:
        """Record for how long memory was held."""
        if not self._mean_hold_seconds:
            self._mean_hold_seconds = seconds
        self._mean_hold_seconds += HOLD_WEIGHT * (seconds - self._mean_hold_seconds)

    def _fits(self, size: int) -> bool:
        return not self.held_bytes or self.held_bytes + size <= self.limit_bytes

    def _admit_waiters(self) -> None:
        while self._waiters and self._fits(self._waiters[0].size):
            waiter = self._waiters.popleft()
            self.held_bytes += waiter.size
            waiter.granted.set()

    def _expected_wait(self, size: int) -> float:
        """Return the seconds until there is room, as it was released so far."""
        missing = self.held_bytes + self.waiting_bytes + size - self.limit_bytes
        return max(0.0, missing) / self.limit_bytes * self._mean_hold_seconds

    def _no_room(self, size: int) -> NoRoomError:
        self.refused += 1
        seconds = self._expected_wait(size) * self._rng.uniform(1.0, 2.0)
        return NoRoomError(min(max(seconds, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS))
