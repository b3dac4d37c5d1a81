"""This host's share of the retries that all hosts together may send to a service.

The limit for all hosts is a fraction of the requests in a sliding window plus a fixed
burst. If each host stays within that fraction of its own requests and within its part
of the burst, the total stays within the limit without any communication.
"""

from collections import deque

# The number of hosts assumed until it is known; the burst is divided by it.
DEFAULT_HOST_COUNT = 32
# The fraction of the limit that is used; the rest covers sliding windows that don't
# coincide with those of this host.
USED_FRACTION = 0.8


class SharedRetryBudget:
    """Sliding-window counts for one service; times in seconds."""

    def __init__(self, ratio: float, window_seconds: float, burst: float):
        """Allow ``ratio`` of requests plus a part of ``burst`` in each window."""
        self.set_limits(ratio, window_seconds, burst)
        self._first_attempts: deque[float] = deque()
        self._retries: deque[float] = deque()
        self.host_count = DEFAULT_HOST_COUNT

    def set_limits(self, ratio: float, window_seconds: float, burst: float) -> None:
        """Change the limits; counts are kept."""
        self._ratio = ratio
        self._window_seconds = window_seconds
        self._burst = burst

    def record_first_attempt(self, now: float) -> None:
        """Record a request's first attempt."""
        self._first_attempts.append(now)

    def available(self, now: float) -> float:
        """Return how many retries are allowed now."""
        self._drop_old(now)
        allowed = (
            self._ratio * len(self._first_attempts) + self._burst / self.host_count
        )
        return USED_FRACTION * allowed - len(self._retries)

    def try_acquire(self, now: float) -> bool:
        """Count one retry and return ``True`` if it is allowed."""
        if self.available(now) < 1:
            return False
        self._retries.append(now)
        return True

    def record_retry(self, now: float) -> None:
        """Count a retry that was sent without asking."""
        self._retries.append(now)

    def _drop_old(self, now: float) -> None:
        for times in (self._first_attempts, self._retries):
            while times and times[0] <= now - self._window_seconds:
                times.popleft()
