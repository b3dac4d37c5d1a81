"""Grow-only counters and which of them the next digest holds.

A changed counter is sent at once, and all counters are resent until their window is
done: a datagram may be lost, and the collector may be another host by now. Counters
only grow, so that the same value may be sent and received any number of times.
"""

from dataclasses import dataclass

from berylshift.messages.usage import RunCount

# How often an unchanged counter is resent.
RESEND_SECONDS = 3.0
# Counters that fit in one digest; the others wait for the next one.
MAX_COUNTS_PER_DIGEST = 60
NEVER = float("-inf")


@dataclass
class _Counter:
    count: int
    sent_at: float = NEVER


class CounterGossip:
    """Counters by window and customer; times in seconds on the monotonic clock."""

    def __init__(self) -> None:
        """Start without counters."""
        self._counters: dict[tuple[int, int], _Counter] = {}
        self._due_at = float("inf")

    def count(self, window: int, customer: int) -> int:
        """Return the value of a counter."""
        counter = self._counters.get((window, customer))
        return 0 if counter is None else counter.count

    def raise_to(self, window: int, customer: int, count: int) -> None:
        """Set a counter to ``count`` if its value is lower."""
        counter = self._counters.get((window, customer))
        if counter is not None and counter.count >= count:
            return
        self._counters[window, customer] = _Counter(count)
        self._due_at = NEVER

    def resend_all(self) -> None:
        """Make all counters due, since they now go to another collector."""
        for counter in self._counters.values():
            counter.sent_at = NEVER
        self._due_at = NEVER

    def has_updates(self, now: float) -> bool:
        """Return whether any counter is due to be sent."""
        return now >= self._due_at

    def take_due(self, now: float) -> tuple[RunCount, ...]:
        """Return the counters to send now, the one sent longest ago first."""
        if not self.has_updates(now):
            return ()
        due = [
            (counter.sent_at, key)
            for key, counter in self._counters.items()
            if now >= counter.sent_at + RESEND_SECONDS
        ]
        due.sort()
        for _, key in due[:MAX_COUNTS_PER_DIGEST]:
            self._counters[key].sent_at = now
        oldest = min(
            (counter.sent_at for counter in self._counters.values()), default=None
        )
        self._due_at = float("inf") if oldest is None else oldest + RESEND_SECONDS
        return tuple(
            RunCount(window, customer, self._counters[window, customer].count)
            for _, (window, customer) in due[:MAX_COUNTS_PER_DIGEST]
        )

    def counts_in(self, window: int) -> dict[int, int]:
        """Return the counts of a window by customer."""
        return {
            customer: counter.count
            for (counted_window, customer), counter in self._counters.items()
            if counted_window == window
        }

    def __len__(self) -> int:
        """Return the number of counters."""
        return len(self._counters)

    def drop_through(self, window: int) -> None:
        """Drop the counters of a window and of all earlier ones."""
        self._counters = {
            key: counter for key, counter in self._counters.items() if key[0] > window
        }
