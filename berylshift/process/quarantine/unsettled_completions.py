"""Prompts that completed so lately that they may yet crash their replicas."""

from collections import OrderedDict, deque

import msgspec

from berylshift.ids import BlockKey

# A replica that still responds after this long was not crashed by what it completed.
CRASH_DELAY_SECONDS = 0.2
# Until a completion counts at a replica that was not heard from since.
SETTLE_SECONDS = 6.0
# A replica that responds to requests is not gone; it may crash again after this long.
SAME_CRASH_SECONDS = 1.0
# Memory bounds; beyond them the oldest are dropped.
MAX_CRASHED = 256
MAX_UNSETTLED = 512


class Completion(msgspec.Struct, frozen=True):
    """A prompt that completed at a replica, whose hash is ``target``."""

    keys: tuple[BlockKey, ...]
    target: int
    at: float


class UnsettledCompletions:
    """Completions and crashes by replica; times on the monotonic clock."""

    def __init__(self) -> None:
        """Start with none."""
        self._items: deque[Completion] = deque(maxlen=MAX_UNSETTLED)
        self._crashed: OrderedDict[int, float] = OrderedDict()

    def add(self, keys: tuple[BlockKey, ...], target: int, now: float) -> None:
        """Add a prompt that has just completed."""
        self._items.append(Completion(keys, target, now))

    def crashed_at(self, target: int) -> float:
        """Return when a replica crashed last, ``-inf`` if that is not known."""
        return self._crashed.get(target, float("-inf"))

    def record_crash(self, target: int, at: float) -> bool:
        """Record a crash; return whether it is new."""
        if at - self.crashed_at(target) < SAME_CRASH_SECONDS:
            return False
        self._crashed[target] = at
        self._crashed.move_to_end(target)
        if len(self._crashed) > MAX_CRASHED:
            self._crashed.popitem(last=False)
        return True

    def take_all(self, target: int) -> list[Completion]:
        """Remove and return the completions at a replica."""
        return self._take([item for item in self._items if item.target == target])

    def take_survived(self, target: int, sent_at: float) -> list[Completion]:
        """Return those that a replica survived that got a request at ``sent_at``."""
        until = sent_at - CRASH_DELAY_SECONDS
        return self._take(
            [item for item in self._items if item.target == target and item.at <= until]
        )

    def take_old(self, now: float) -> list[Completion]:
        """Remove and return those after which no crash became known for long."""
        found: list[Completion] = []
        while self._items and now - self._items[0].at >= SETTLE_SECONDS:
            found.append(self._items.popleft())
        return found

    def _take(self, items: list[Completion]) -> list[Completion]:
        for item in items:
            self._items.remove(item)
        return items
