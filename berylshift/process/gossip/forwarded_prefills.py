"""Prefills of prefix blocks that a collector has received and not yet forwarded."""

from collections import OrderedDict, deque
from collections.abc import Iterable

from berylshift.messages.load_digest import BlockPrefill

# Repeated prefills of the same block on the same engine are dropped for this long: the
# engine caches the block for tens of seconds, and each prefill goes to all hosts.
DEDUPLICATION_SECONDS = 4.0
# Pending prefills, enough for several digests. Beyond this the oldest are dropped;
# their blocks are then prefilled once more than needed.
MAX_PENDING = 256


class ForwardedPrefills:
    """A queue of prefills in the order received, without duplicates."""

    def __init__(self) -> None:
        """Start empty."""
        self._added_at: OrderedDict[int, float] = OrderedDict()
        self._pending: deque[BlockPrefill] = deque(maxlen=MAX_PENDING)

    def add(self, prefills: Iterable[BlockPrefill], now: float) -> None:
        """Queue the prefills that were not queued a short time ago."""
        self._forget_old(now)
        for prefill in prefills:
            key = prefill.block << 32 | prefill.target
            if key not in self._added_at:
                self._added_at[key] = now
                self._pending.append(prefill)

    def _forget_old(self, now: float) -> None:
        while self._added_at:
            key, at = next(iter(self._added_at.items()))
            if now - at < DEDUPLICATION_SECONDS:
                return
            del self._added_at[key]

    def take(self, max_count: int) -> tuple[BlockPrefill, ...]:
        """Remove and return up to ``max_count`` prefills, oldest first."""
        count = min(max_count, len(self._pending))
        return tuple(self._pending.popleft() for _ in range(count))
