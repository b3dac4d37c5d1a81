"""An engine's prefix cache of token blocks with LRU eviction."""

import random
from collections import OrderedDict, deque

from berylshift.stand_ins.text import BLOCK_TOKENS
from berylshift.targets import CacheEvent

MAX_EVENTS = 4096


class PrefixCache:
    """Caches prefix blocks; publishes cache events late and loses some of them."""

    def __init__(
        self,
        max_tokens: int,
        lag_seconds: float,
        loss_fraction: float,
        rng: random.Random,
    ):
        """Cache ``max_tokens``; delay events and lose ``loss_fraction`` of them."""
        self._max_blocks = max_tokens // BLOCK_TOKENS
        self._lag_seconds = lag_seconds
        self._loss_fraction = loss_fraction
        self._rng = rng
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=MAX_EVENTS)
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
        """Cache the blocks of a prompt."""
        for block in hashes:
            if block not in self._blocks:
                self._blocks[block] = None
                self._publish(block, True, now)
        while len(self._blocks) > self._max_blocks:
            block, _ = self._blocks.popitem(last=False)
            self._publish(block, False, now)

    def clear(self) -> None:
        """Drop all blocks without events, as a crash does."""
        self._blocks.clear()

    def events(self, after: int, now: float) -> list[CacheEvent]:
        """Return the published events with a sequence number above ``after``."""
        return [
            event
            for at, event in self._events
            if event.sequence > after and at + self._lag_seconds <= now
        ]

    def _publish(self, block: int, stored: bool, now: float) -> None:
        self._sequence += 1
        if self._rng.random() >= self._loss_fraction:
            event = CacheEvent(self._sequence, block, stored)
            self._events.append((now, event))
