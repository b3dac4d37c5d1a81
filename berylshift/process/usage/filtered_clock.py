"""Wall-clock time that short steps of the system clock don't affect.

The system clock of a host may step by seconds and back again, and requests counted
meanwhile would fall into other windows than at the other hosts. The offset to a clock
that never steps is therefore the median of many samples, so that a step only takes
effect once it has persisted.
"""

import statistics
from collections import deque
from collections.abc import Callable

from berylshift.clock import Clock

SAMPLE_INTERVAL_SECONDS = 1.0
# A step takes effect once it has persisted for half of these samples.
MAX_SAMPLES = 61


class FilteredClock:
    """Unix time in seconds."""

    def __init__(self, clock: Clock, boot_clock: Callable[[], float]):
        """Run on ``boot_clock``, which also counts the time a host is suspended."""
        self._clock = clock
        self._boot_clock = boot_clock
        self._offsets: deque[float] = deque(maxlen=MAX_SAMPLES)
        self.sample()

    def sample(self) -> None:
        """Sample the offset between the two clocks."""
        wall_time = self._clock.now().timestamp()
        self._offsets.append(wall_time - self._boot_clock())
        self._offset = statistics.median_low(self._offsets)

    def now(self) -> float:
        """Return the filtered time."""
        return self._boot_clock() + self._offset
