"""The calendar time that all hosts share, from a clock that may be stepped.

A host's time of day may jump by seconds and jump back. Requests counted by it in the
meantime would fall into windows of others. The offset to a clock that never jumps is
therefore the median of many, so that a step has to last before it counts.
"""

import statistics
from collections import deque
from collections.abc import Callable

from berylshift.clock import Clock

SAMPLE_SECONDS = 1.0
# A step counts once it has lasted for half of these samples.
SAMPLES_KEPT = 61


class TrueTime:
    """Unix time in seconds."""

    def __init__(self, clock: Clock, boot_clock: Callable[[], float]):
        """Go by ``boot_clock``, which counts the time that a host stands still."""
        self._clock = clock
        self._boot_clock = boot_clock
        self._offsets: deque[float] = deque(maxlen=SAMPLES_KEPT)
        self.look()

    def look(self) -> None:
        """Compare the two clocks."""
        calendar = self._clock.now().timestamp()
        self._offsets.append(calendar - self._boot_clock())
        self._offset = statistics.median_low(self._offsets)

    def now(self) -> float:
        """Return the time."""
        return self._boot_clock() + self._offset
