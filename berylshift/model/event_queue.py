"""A discrete-event queue: callbacks at virtual times."""

import heapq
import itertools
from collections.abc import Callable

Callback = Callable[[], None]


class EventQueue:
    """Callbacks in the order of their times, in seconds."""

    def __init__(self) -> None:
        """Start empty at time zero."""
        self._now = 0.0
        self._callbacks: list[tuple[float, int, Callback]] = []
        self._count = itertools.count()

    def monotonic(self) -> float:
        """Return the virtual time."""
        return self._now

    def call_at(self, time: float, callback: Callback) -> None:
        """Schedule ``callback``; a time in the past means now."""
        entry = (max(time, self._now), next(self._count), callback)
        heapq.heappush(self._callbacks, entry)

    def call_after(self, seconds: float, callback: Callback) -> None:
        """Schedule ``callback`` after a delay in seconds."""
        self.call_at(self._now + seconds, callback)

    def run(self, until: float) -> None:
        """Run all callbacks that are due by ``until``."""
        while self._callbacks and self._callbacks[0][0] <= until:
            self._now, _, callback = heapq.heappop(self._callbacks)
            callback()
        self._now = until
