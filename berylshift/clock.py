"""The clock, passed in as an interface so that tests can hand in their own."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

import trio


class Clock(Protocol):
    """Gives the monotonic and the calendar time of one process."""

    def monotonic(self) -> float:
        """Return seconds from an arbitrary start; it never goes back."""

    def now(self) -> datetime:
        """Return the calendar time, with its zone; it may be stepped."""


def boot_seconds() -> float:
    """Return seconds since the host's start, those it stood still included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class LoopClock:
    """The event loop's clock; virtual wherever the loop's clock is virtual."""

    def __init__(self, epoch: datetime | None = None):
        """Keep the calendar start; ``None`` takes the host's calendar."""
        self._epoch = epoch

    def monotonic(self) -> float:
        """Return the loop's time in seconds."""
        return trio.current_time()

    def now(self) -> datetime:
        """Return the calendar time, in UTC."""
        if self._epoch is None:
            return datetime.now(UTC)
        return self._epoch + timedelta(seconds=trio.current_time())


class ManualClock:
    """A clock that moves only when told to."""

    def __init__(self, start: float = 0.0):
        """Start at ``start`` seconds, on the first day of 2026."""
        self.time = start

    def monotonic(self) -> float:
        """Return the time set, in seconds."""
        return self.time

    def now(self) -> datetime:
        """Return the first day of 2026 plus the time set."""
        return datetime(2026, 1, 1, tzinfo=UTC) + timedelta(seconds=self.time)

    def advance(self, seconds: float) -> None:
        """Move the clock forward."""
        self.time += seconds
