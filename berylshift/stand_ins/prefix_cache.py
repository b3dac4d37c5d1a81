"""An engine's prefix cache: blocks, least recently used first out."""

import random
from collections import OrderedDict, deque

from berylshift.stand_ins.text import BLOCK_TOKENS
from berylshift.targets import CacheEvent

EVENTS_KEPT = 4096


class PrefixCache:
    """Keeps prefix blocks; publishes events late and with gaps."""

    def __init__(self, tokens: int, lag: float, gap: float, rng: random.Random):
        """Hold ``tokens`` tokens; publish ``lag`` s late, losing a share ``gap``."""
        self._capacity = tokens // BLOCK_TOKENS
        self._lag = lag
        self._gap = gap
        self._rng = rng
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=EVENTS_KEPT)
        self._sequence = 0

    def cached_tokens(self, hashes: list[int]) -> int:
        """Return how many leading tokens are cached, and mark them as used."""
        count = 0
        for block in hashes:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return count * BLOCK_TOKENS

    def store(self, hashes: list[int], now: float) -> None:
        """Keep the blocks of a prompt."""
        for block in hashes:
            if block not in self._blocks:
                self._blocks[block] = None
                self._publish(block, True, now)
        while len(self._blocks) > self._capacity:
            block, _ = self._blocks.popitem(last=False)
            self._publish(block, False, now)

    def clear(self) -> None:
        """Lose everything, as a crash does; nothing is published."""
        self._blocks.clear()

    def events(self, after: int, now: float) -> list[CacheEvent]:
        """Return the events that are out by now."""
        return [
            event
            for at, event in self._events
            if event.sequence > after and at + self._lag <= now
        ]

    def _publish(self, block: int, stored: bool, now: float) -> None:
        self._sequence += 1
        if self._rng.random() >= self._gap:
            event = CacheEvent(self._sequence, block, stored)
            self._events.append((now, event))
