"""One budget for all of a process's calls to the table service.

Leases and confirmations go before the rest. After failures the process backs
off with jitter, so that a store that comes back is not run down at once.
"""

import random
from dataclasses import dataclass, field
from enum import IntEnum

FIRST_BACKOFF = 0.1
LONGEST_BACKOFF = 3.0
LEAST_WAIT = 0.001


class Priority(IntEnum):
    """Who goes first; a lower number does."""

    LEASE = 0
    CONFIRMATION = 1
    TABLE = 2
    UPKEEP = 3


# The share of the budget that must be left over for those who go first.
RESERVED = {
    Priority.LEASE: 0.0,
    Priority.CONFIRMATION: 0.1,
    Priority.TABLE: 0.2,
    Priority.UPKEEP: 0.5,
}


@dataclass
class StoreBudget:
    """A token bucket for one kind of call; ``rate`` a second."""

    rate: float
    rng: random.Random
    failures: int = 0
    closed_until: float = 0.0
    _tokens: float = field(default=0.0)
    _filled_at: float | None = None

    def wait_seconds(self, priority: Priority, now: float) -> float:
        """Take a token and return 0, or return the seconds to wait first."""
        self._refill(now)
        if now < self.closed_until and priority is not Priority.LEASE:
            return max(LEAST_WAIT, self.closed_until - now)
        reserved = RESERVED[priority] * self.rate
        missing = 1 + reserved - self._tokens
        if missing > 0:
            # A wait that rounds to nothing on the clock would never end.
            return max(LEAST_WAIT, missing / self.rate)
        self._tokens -= 1
        return 0.0

    def succeeded(self) -> None:
        """Note an answer of the store."""
        self.failures = 0
        self.closed_until = 0.0

    def failed(self, now: float) -> None:
        """Note a call that failed: the next ones wait, longer each time."""
        self.failures += 1
        longest = min(LONGEST_BACKOFF, FIRST_BACKOFF * 2**self.failures)
        self.closed_until = now + self.rng.uniform(0.5, 1.0) * longest

    def _refill(self, now: float) -> None:
        if self._filled_at is None:
            self._tokens = max(2.0, self.rate)
        else:
            gained = self.rate * (now - self._filled_at)
            self._tokens = min(max(2.0, self.rate), self._tokens + gained)
        self._filled_at = now
