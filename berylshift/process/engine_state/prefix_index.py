"""Which engine is likely to have which prompt prefix in its cache.

Prompts are divided into blocks; a running hash identifies each leading run of blocks,
as in the engines' cache events. Only depths of 1, 2, 4, ... blocks are stored, so that
a lookup takes the logarithm of the prompt's length.
"""

from collections import OrderedDict

import xxhash

from berylshift.ids import TargetName
from berylshift.targets import CacheEvent

BLOCK_BYTES = 256
BLOCK_TOKENS = 64
DEPTHS = (1, 2, 4, 8, 16, 32, 64, 128, 256, 512)
MAX_ENTRIES = 40_000
Prefixes = tuple[tuple[int, int], ...]


def prefix_hashes(prompt: str) -> Prefixes:
    """Return (tokens, hash) of the leading runs of blocks, shortest first."""
    hashes = []
    running = xxhash.xxh64()
    data = prompt.encode()
    start = 0
    for depth in DEPTHS:
        end = depth * BLOCK_BYTES
        if end > len(data):
            break
        running.update(data[start:end])
        hashes.append((depth * BLOCK_TOKENS, running.intdigest()))
        start = end
    return tuple(hashes)


class PrefixIndex:
    """Infers cached prefixes from the prompts sent; cache events correct it."""

    def __init__(self) -> None:
        """Start empty."""
        self._entries: OrderedDict[tuple[TargetName, int], None] = OrderedDict()

    def record_sent(self, target: TargetName, prefixes: Prefixes) -> None:
        """Record that a prompt was prefilled at a target."""
        for _, block in prefixes:
            self._entries[target, block] = None
            self._entries.move_to_end((target, block))
        self._evict()

    def _evict(self) -> None:
        while len(self._entries) > MAX_ENTRIES:
            self._entries.popitem(last=False)

    def cached_tokens(self, target: TargetName, prefixes: Prefixes) -> int:
        """Return how many leading tokens the target is likely to have cached."""
        for tokens, block in reversed(prefixes):
            if (target, block) in self._entries:
                self._entries.move_to_end((target, block))
                return tokens
        return 0

    def apply_events(self, target: TargetName, events: list[CacheEvent]) -> None:
        """Correct the index by cache events, which include other hosts' requests.

        Blocks that no request uses are the first to be evicted from a full index.
        """
        for event in events:
            if event.stored:
                self._entries[target, event.block] = None
            else:
                self._entries.pop((target, event.block), None)
        self._evict()

    def forget(self, target: TargetName) -> None:
        """Drop the entries of a target that has restarted with an empty cache."""
        for key in [key for key in self._entries if key[0] == target]:
            del self._entries[key]
