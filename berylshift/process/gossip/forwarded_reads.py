"""Reads of shared parts that a collector has heard and has yet to pass on."""

from collections import OrderedDict, deque
from collections.abc import Iterable

from berylshift.messages.load_digest import BlockPrefill

# A read of the same part at the same engine says little new for this long: the engine
# keeps the part for tens of seconds, and each read would be told to all hosts.
AGAIN_SECONDS = 4.0
# Reads that wait to be told; of more than these, which is some digests' worth, the
# oldest are dropped: parts are read once too often then.
MOST_WAITING = 256


class ForwardedReads:
    """Reads in the order in which they were heard, each once."""

    def __init__(self) -> None:
        """Start with none."""
        self._told_at: OrderedDict[int, float] = OrderedDict()
        self._waiting: deque[BlockPrefill] = deque(maxlen=MOST_WAITING)

    def note(self, reads: Iterable[BlockPrefill], now: float) -> None:
        """Take reads over that were not told a short time ago."""
        self._drop_old(now)
        for read in reads:
            key = read.block << 32 | read.target
            if key not in self._told_at:
                self._told_at[key] = now
                self._waiting.append(read)

    def _drop_old(self, now: float) -> None:
        while self._told_at:
            key, at = next(iter(self._told_at.items()))
            if now - at < AGAIN_SECONDS:
                return
            del self._told_at[key]

    def take(self, most: int) -> tuple[BlockPrefill, ...]:
        """Return the next reads to tell, ``most`` at most."""
        count = min(most, len(self._waiting))
        return tuple(self._waiting.popleft() for _ in range(count))
