"""What happens next: calls at virtual times."""

import heapq
import itertools
from collections.abc import Callable

Call = Callable[[], None]


class EventQueue:
    """Calls in the order of their times, in seconds."""

    def __init__(self) -> None:
        """Start at time zero with nothing to do."""
        self._now = 0.0
        self._calls: list[tuple[float, int, Call]] = []
        self._count = itertools.count()

    def monotonic(self) -> float:
        """Return the virtual time."""
        return self._now

    def at(self, time: float, call: Call) -> None:
        """Do ``call`` at a time; one that is over means now."""
        entry = (max(time, self._now), next(self._count), call)
        heapq.heappush(self._calls, entry)

    def after(self, seconds: float, call: Call) -> None:
        """Do ``call`` after so many seconds."""
        self.at(self._now + seconds, call)

    def run(self, until: float) -> None:
        """Do all that is due before ``until``."""
        while self._calls and self._calls[0][0] <= until:
            self._now, _, call = heapq.heappop(self._calls)
            call()
        self._now = until
