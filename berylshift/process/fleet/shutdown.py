"""The planned end of this process, and what it means for requests."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Protocol

from berylshift.clock import Clock

# A request that may last this long is not taken with less left before the end: 98 of
# 100 requests of two calm days ended within 4.2 s (3,713 requests; 94 within 3 s), and
# the balancer has had 2.5 s to send callers elsewhere. Where a stop is given little
# time, this part of it counts.
NEEDED_SECONDS = 4.5
NEEDED_SHARE = 0.65


class Bounded(Protocol):
    """Work that ends at a deadline on the loop's clock, in seconds."""

    deadline: float


class Shutdown:
    """Bounds requests by the end of the process, once that is known.

    While most hosts of a domain leave at once the balancer still sends requests to
    each of them. Those taken late would be cut by the end: the callers would get no
    answer, or half of one, for a request that may have run.
    """

    def __init__(self, clock: Clock):
        """Start without an end in sight."""
        self._clock = clock
        self._begun_at: float | None = None
        self._ends_at = float("inf")
        self._needed = NEEDED_SECONDS
        self._open: set[Bounded] = set()

    def begin(self, seconds: float) -> None:
        """End all requests within ``seconds``."""
        self._begun_at = self._clock.monotonic()
        self._ends_at = self._begun_at + seconds
        self._needed = min(NEEDED_SECONDS, NEEDED_SHARE * seconds)
        for work in self._open:
            work.deadline = min(work.deadline, self._ends_at)

    def takes_new(self, seconds: float) -> bool:
        """Return whether a request that lasts ``seconds`` at most has time enough."""
        return self.seconds_left >= min(seconds, self._needed)

    @property
    def running_for(self) -> float | None:
        """Return the seconds since the stop began, ``None`` if there is none."""
        if self._begun_at is None:
            return None
        return self._clock.monotonic() - self._begun_at

    @property
    def seconds_left(self) -> float:
        """Return the seconds until all requests end."""
        return self._ends_at - self._clock.monotonic()

    def comes_before(self, deadline: float) -> bool:
        """Return whether the end comes before ``deadline``, on the loop's clock."""
        return self._ends_at < deadline

    @contextmanager
    def bounding(self, work: Bounded) -> Iterator[None]:
        """Have ``work`` end before the process does."""
        work.deadline = min(work.deadline, self._ends_at)
        self._open.add(work)
        try:
            yield
        finally:
            self._open.discard(work)
