"""Planned shutdown of this process, and the deadline it sets for requests."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Protocol

from berylshift.clock import Clock


class Bounded(Protocol):
    """Work that ends at a deadline on the event loop's clock, in seconds."""

    deadline: float


class Shutdown:
    """Bounds requests by the end of the process once a shutdown has begun.

    While most hosts of a domain stop at once, the balancer still sends requests to each
    of them. A request that outlasts the process is cut: its caller gets no response, or
    half of one, for a request that may have run. A stopping host therefore accepts only
    requests whose own timeout ends before the process does. Until the balancer can know
    of the shutdown, the host also accepts requests that will probably end in time,
    judged by recent durations: a refused caller would mostly reach another stopping
    host and not try a third time. A fixed limit would not do, since streams last from
    half a second to eight seconds, depending on the deployment.
    """

    def __init__(self, clock: Clock):
        """Start without a shutdown."""
        self._clock = clock
        self._began_at: float | None = None
        self._balancer_aware_at = float("inf")
        self._ends_at = float("inf")
        self._open: set[Bounded] = set()

    def begin(self, seconds: float, notice_seconds: float = 0.0) -> None:
        """End all requests within ``seconds``.

        The balancer knows of the shutdown after ``notice_seconds``.
        """
        self._began_at = self._clock.monotonic()
        self._balancer_aware_at = self._began_at + notice_seconds
        self._ends_at = self._began_at + seconds
        for work in self._open:
            work.deadline = min(work.deadline, self._ends_at)

    @property
    def is_balancer_unaware(self) -> bool:
        """Return whether the balancer may not know of the shutdown yet."""
        return self._clock.monotonic() < self._balancer_aware_at

    def has_time_for(self, seconds: float) -> bool:
        """Return whether work of ``seconds`` ends before all requests are ended."""
        return self.seconds_left >= seconds

    @property
    def seconds_since_begin(self) -> float | None:
        """Return the seconds since the shutdown began, ``None`` if it has not."""
        if self._began_at is None:
            return None
        return self._clock.monotonic() - self._began_at

    @property
    def seconds_left(self) -> float:
        """Return the seconds until all requests are ended."""
        return self._ends_at - self._clock.monotonic()

    def comes_before(self, deadline: float) -> bool:
        """Return whether the end comes before ``deadline``, on the loop's clock."""
        return self._ends_at < deadline

    @contextmanager
    def bounding(self, work: Bounded) -> Iterator[None]:
        """Make ``work`` end before the process does."""
        work.deadline = min(work.deadline, self._ends_at)
        self._open.add(work)
        try:
            yield
        finally:
            self._open.discard(work)
