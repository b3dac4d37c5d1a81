"""Prefix blocks cached in an engine's memory, with LRU eviction."""

from collections import OrderedDict

from berylshift.ids import BlockId
from berylshift.messages.routed import Prompt


class PrefixBlockCache:
    """An LRU cache of prefix blocks, bounded in tokens."""

    def __init__(self, max_tokens: int):
        """Cache at most ``max_tokens``."""
        self._max_tokens = max_tokens
        self._blocks: OrderedDict[BlockId, int] = OrderedDict()
        self._tokens = 0

    def cached_prefix_tokens(self, prompt: Prompt) -> int:
        """Return how many leading tokens of a prompt are cached."""
        cached_tokens = 0
        for block in prompt.blocks:
            if block.id not in self._blocks:
                break
            cached_tokens += block.tokens
        return cached_tokens

    def store(self, prompt: Prompt) -> None:
        """Cache a prompt's prefix blocks, evicting the least recently used ones.

        Its last block is not cached: no other prompt has it in its prefix.
        """
        for block in prompt.prefix_blocks:
            if block.id not in self._blocks:
                self._tokens += block.tokens
                self._blocks[block.id] = block.tokens
            self._blocks.move_to_end(block.id)
        while self._tokens > self._max_tokens and self._blocks:
            _, tokens = self._blocks.popitem(last=False)
            self._tokens -= tokens

    def clear(self) -> None:
        """Drop all blocks, as an engine restart does."""
        self._blocks.clear()
        self._tokens = 0
