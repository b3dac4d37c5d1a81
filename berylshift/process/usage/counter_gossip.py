"""Which counts are told now: changed ones at once, all of them again until done.

A datagram may be lost, and who gathers may be another host by now. Counts only rise, so
the same one may be told and heard any number of times.
"""

from dataclasses import dataclass

from berylshift.messages.usage import RunCount

# How often an unchanged count is told again, in seconds.
REPEAT_SECONDS = 3.0
# Counts that one digest has room for; the others wait for the next one.
MOST_TOLD = 60
NEVER = float("-inf")


@dataclass
class _Told:
    count: int
    told_at: float = NEVER


class CountTelling:
    """Counts by window and customer; times in seconds on the monotonic clock."""

    def __init__(self) -> None:
        """Start without counts."""
        self._counts: dict[tuple[int, int], _Told] = {}
        self._due_at = float("inf")

    def count(self, window: int, customer: int) -> int:
        """Return a count."""
        found = self._counts.get((window, customer))
        return 0 if found is None else found.count

    def raise_to(self, window: int, customer: int, count: int) -> None:
        """Take a count over if it is higher than the one known."""
        found = self._counts.get((window, customer))
        if found is not None and found.count >= count:
            return
        self._counts[window, customer] = _Told(count)
        self._due_at = NEVER

    def tell_all_again(self) -> None:
        """Have all counts told anew: whoever gathers them is another host now."""
        for told in self._counts.values():
            told.told_at = NEVER
        self._due_at = NEVER

    def has_news(self, now: float) -> bool:
        """Return whether something is to be told."""
        return now >= self._due_at

    def take(self, now: float) -> tuple[RunCount, ...]:
        """Return what is told now, what was told longest ago first."""
        if not self.has_news(now):
            return ()
        due = [
            (told.told_at, key)
            for key, told in self._counts.items()
            if now >= told.told_at + REPEAT_SECONDS
        ]
        due.sort()
        for _, key in due[:MOST_TOLD]:
            self._counts[key].told_at = now
        oldest = min((told.told_at for told in self._counts.values()), default=None)
        self._due_at = float("inf") if oldest is None else oldest + REPEAT_SECONDS
        return tuple(
            RunCount(window, customer, self._counts[window, customer].count)
            for _, (window, customer) in due[:MOST_TOLD]
        )

    def of_window(self, window: int) -> dict[int, int]:
        """Return a window's counts by customer."""
        return {
            customer: told.count
            for (found, customer), told in self._counts.items()
            if found == window
        }

    def __len__(self) -> int:
        """Return how many counts there are."""
        return len(self._counts)

    def forget_through(self, window: int) -> None:
        """Forget a window and all before it."""
        self._counts = {
            key: told for key, told in self._counts.items() if key[0] > window
        }
