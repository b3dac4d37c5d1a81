"""Clock interface, so that tests can control the time."""

import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

import trio


class Clock(Protocol):
    """Monotonic and calendar time of one process."""

    def monotonic(self) -> float:
        """Return monotonic seconds from an arbitrary start."""

    def now(self) -> datetime:
        """Return the time zone aware calendar time; it may be stepped."""


def boot_seconds() -> float:
    """Return seconds since the machine booted, including time suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class LoopClock:
    """The event loop's clock; virtual if the loop runs on a virtual clock."""

    def __init__(self, epoch: datetime | None = None):
        """Use ``epoch`` as the calendar start; ``None``: the system's calendar."""
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
    """A clock that tests advance explicitly."""

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
