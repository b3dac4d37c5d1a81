"""A simulated prefix cache of one engine."""

from collections import OrderedDict

# A prompt's own last block is cached like the others, although no other prompt shares
# it, and evicts shared blocks. Such tokens are counted in portions of this size.
UNSHARED_PORTION_TOKENS = 4096
# Hosts repeat an announced use in several datagrams within this time, in seconds.
REPETITION_SECONDS = 0.6


class EngineCache:
    """The blocks that one engine caches, the least recently used first.

    Portions of unshared tokens have negative numbers.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._blocks: OrderedDict[int, int] = OrderedDict()
        self._used_at: dict[int, float] = {}
        self._tokens = 0
        self._unshared = 0.0
        self._last_portion = 0

    @property
    def tokens(self) -> int:
        """Return the tokens of all blocks."""
        return self._tokens

    def use(self, block: int, tokens: int) -> bool:
        """Record the use of a block; return whether it is new."""
        former = self._blocks.get(block)
        self._tokens += tokens - (former or 0)
        self._blocks[block] = tokens
        self._blocks.move_to_end(block)
        return former is None

    def is_repeated(self, block: int, now: float) -> bool:
        """Return whether a use may be one that was announced before."""
        last = self._used_at.get(block, float("-inf"))
        self._used_at[block] = now
        return now - last < REPETITION_SECONDS

    def add_unshared(self, tokens: float) -> int:
        """Add tokens that no other prompt shares; return the number of new portions."""
        self._unshared += tokens
        added = int(self._unshared / UNSHARED_PORTION_TOKENS)
        for _ in range(added):
            self._last_portion -= 1
            self.use(self._last_portion, UNSHARED_PORTION_TOKENS)
        self._unshared -= added * UNSHARED_PORTION_TOKENS
        return added

    def evict_oldest(self) -> int:
        """Evict the least recently used block; return it."""
        block, tokens = self._blocks.popitem(last=False)
        self._used_at.pop(block, None)
        self._tokens -= tokens
        return block

    def remove(self, block: int) -> bool:
        """Remove a block; return whether it was cached."""
        tokens = self._blocks.pop(block, None)
        self._used_at.pop(block, None)
        self._tokens -= tokens or 0
        return tokens is not None

    def is_over(self, capacity_tokens: float) -> bool:
        """Return whether the blocks need more than ``capacity_tokens``."""
        return self._tokens > capacity_tokens and bool(self._blocks)

    def __contains__(self, block: int) -> bool:
        """Return whether a block is cached."""
        return block in self._blocks

    def __bool__(self) -> bool:
        """Return whether any block is cached."""
        return bool(self._blocks)
