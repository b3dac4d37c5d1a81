"""One rate limit for all calls of a process to the table service.

Leases and confirmations take precedence. After failures the process backs off with
jitter, so that a store that recovers is not overloaded at once.
"""

import random
from dataclasses import dataclass, field
from enum import IntEnum

BASE_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 3.0
MIN_WAIT_SECONDS = 0.001


class Priority(IntEnum):
    """Priorities of calls; a lower number takes precedence."""

    LEASE = 0
    CONFIRMATION = 1
    TABLE = 2
    UPKEEP = 3


# The share of the budget that a call must leave for calls of higher priority.
RESERVED_SHARES = {
    Priority.LEASE: 0.0,
    Priority.CONFIRMATION: 0.1,
    Priority.TABLE: 0.2,
    Priority.UPKEEP: 0.5,
}


@dataclass
class StoreBudget:
    """A token bucket for one kind of call; ``rate`` in calls a second."""

    rate: float
    rng: random.Random
    failures: int = 0
    blocked_until: float = 0.0
    _tokens: float = field(default=0.0)
    _filled_at: float | None = None

    def wait_seconds(self, priority: Priority, now: float) -> float:
        """Take a token and return 0, or return the seconds to wait first."""
        self._refill(now)
        if now < self.blocked_until and priority is not Priority.LEASE:
            return max(MIN_WAIT_SECONDS, self.blocked_until - now)
        reserved = RESERVED_SHARES[priority] * self.rate
        missing = 1 + reserved - self._tokens
        if missing > 0:
            # A wait below the resolution of the clock would never end.
            return max(MIN_WAIT_SECONDS, missing / self.rate)
        self._tokens -= 1
        return 0.0

    def record_success(self) -> None:
        """Record a call that the store answered."""
        self.failures = 0
        self.blocked_until = 0.0

    def record_failure(self, now: float) -> None:
        """Record a failed call; the next ones wait, longer each time."""
        self.failures += 1
        max_backoff = min(MAX_BACKOFF_SECONDS, BASE_BACKOFF_SECONDS * 2**self.failures)
        self.blocked_until = now + self.rng.uniform(0.5, 1.0) * max_backoff

    def _refill(self, now: float) -> None:
        if self._filled_at is None:
            self._tokens = max(2.0, self.rate)
        else:
            gained = self.rate * (now - self._filled_at)
            self._tokens = min(max(2.0, self.rate), self._tokens + gained)
        self._filled_at = now
