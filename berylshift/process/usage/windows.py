"""Time windows for which usage is reported, and when their reports are due.

Counts of a window's last requests take a moment to reach the other hosts, so a window
is settled some time after its end. Of the hosts that may report it, the one with the
lowest rank goes first; the others wait longer the higher their rank, and find it done.
"""

import msgspec

# Fractions of the time within which a report is due: how long counts may arrive after a
# window's end, and how much longer each further rank waits.
SETTLE_FRACTION = 0.2
RANK_FRACTION = 0.08
# Hosts with a higher rank leave the report to the others.
MAX_RANK = 7
# A report is given up when only this fraction is left: it would arrive too late.
LATE_FRACTION = 0.02


class UsageSchedule(msgspec.Struct, frozen=True):
    """When usage is reported; ``window_seconds``: a window's length, 0 for no reports.

    A report is due within ``delay_seconds`` after its window's end.
    """

    window_seconds: float = 0.0
    delay_seconds: float = 0.0


class UsageWindows:
    """Windows by number, counted from the start of 1970; times in Unix seconds."""

    def __init__(self, schedule: UsageSchedule):
        """Follow the platform's ``schedule``."""
        self._schedule = schedule

    @property
    def are_reported(self) -> bool:
        """Return whether usage is reported at all."""
        return self._schedule.window_seconds > 0

    def window_at(self, time: float) -> int:
        """Return the window that contains a time."""
        return int(time // self._schedule.window_seconds)

    def start_of(self, window: int) -> float:
        """Return when a window starts."""
        return window * self._schedule.window_seconds

    def end_of(self, window: int) -> float:
        """Return when a window ends."""
        return (window + 1) * self._schedule.window_seconds

    def is_late(self, window: int, now: float) -> bool:
        """Return whether a report of a window would arrive too late."""
        left = self._schedule.delay_seconds * (1 - LATE_FRACTION)
        return now > self.end_of(window) + left

    def due(
        self, now: float, last_done: int, rank: int, started_at: float
    ) -> list[int]:
        """Return the windows that the host of a given rank reports now.

        ``last_done``: the last window that needs no report any more. A host that
        started within a window hasn't received all counts of it.
        """
        if rank > MAX_RANK:
            return []
        wait = self._schedule.delay_seconds * (SETTLE_FRACTION + RANK_FRACTION * rank)
        newest = self.window_at(now - wait) - 1
        oldest = max(
            last_done + 1,
            self.window_at(now - self._schedule.delay_seconds),
            self.window_at(started_at) + 1,
        )
        return list(range(oldest, newest + 1))
