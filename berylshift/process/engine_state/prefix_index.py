"""Which engine is likely to hold which prompt prefix in its cache.

Prompts are cut into blocks; a running hash names each leading run of blocks, as
the engines' cache events do. Only depths of 1, 2, 4, ... blocks are kept, so a
lookup costs the logarithm of the prompt's length.
"""

from collections import OrderedDict

import xxhash

from berylshift.ids import TargetName
from berylshift.targets import CacheEvent

BLOCK_BYTES = 256
BLOCK_TOKENS = 64
DEPTHS = (1, 2, 4, 8, 16, 32, 64, 128, 256, 512)
ENTRIES_KEPT = 40_000
Prefixes = tuple[tuple[int, int], ...]


def prefix_hashes(prompt: str) -> Prefixes:
    """Return (tokens, hash) of the leading runs of blocks, shortest first."""
    found = []
    running = xxhash.xxh64()
    data = prompt.encode()
    start = 0
    for depth in DEPTHS:
        end = depth * BLOCK_BYTES
        if end > len(data):
            break
        running.update(data[start:end])
        found.append((depth * BLOCK_TOKENS, running.intdigest()))
        start = end
    return tuple(found)


class PrefixIndex:
    """Guesses cached tokens from what was sent where; events correct it."""

    def __init__(self) -> None:
        """Start empty."""
        self._held: OrderedDict[tuple[TargetName, int], None] = OrderedDict()

    def sent(self, target: TargetName, prefixes: Prefixes) -> None:
        """Note that a prompt was prefilled at a target."""
        for _, block in prefixes:
            self._held[target, block] = None
            self._held.move_to_end((target, block))
        self._trim()

    def _trim(self) -> None:
        while len(self._held) > ENTRIES_KEPT:
            self._held.popitem(last=False)

    def cached_tokens(self, target: TargetName, prefixes: Prefixes) -> int:
        """Return how many leading tokens the target is likely to hold."""
        for tokens, block in reversed(prefixes):
            if (target, block) in self._held:
                self._held.move_to_end((target, block))
                return tokens
        return 0

    def observed(self, target: TargetName, events: list[CacheEvent]) -> None:
        """Correct the index by cache events.

        They tell of what other hosts sent. Blocks that no request asks for go
        first when the index is full.
        """
        for event in events:
            if event.stored:
                self._held[target, event.block] = None
            else:
                self._held.pop((target, event.block), None)
        self._trim()

    def lost(self, target: TargetName) -> None:
        """Forget a target that restarted: its cache is empty."""
        for key in [key for key in self._held if key[0] == target]:
            del self._held[key]
