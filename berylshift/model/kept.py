"""Which prompt parts an engine's memory holds; the least lately used go first."""

from collections import OrderedDict

from berylshift.ids import BlockId
from berylshift.messages.routed import Prompt


class KeptParts:
    """Parts in an engine's memory, bounded in tokens."""

    def __init__(self, most_tokens: int):
        """Hold at most ``most_tokens``."""
        self._most = most_tokens
        self._parts: OrderedDict[BlockId, int] = OrderedDict()
        self._tokens = 0

    def begins(self, prompt: Prompt) -> int:
        """Return how many tokens of a prompt's beginning are held."""
        found = 0
        for part in prompt.blocks:
            if part.id not in self._parts:
                break
            found += part.tokens
        return found

    def hold(self, prompt: Prompt) -> None:
        """Hold a prompt's shared parts, and let others go where room is short.

        Its own part goes with the answer: nothing begins with it again.
        """
        for part in prompt.prefix_blocks:
            if part.id not in self._parts:
                self._tokens += part.tokens
                self._parts[part.id] = part.tokens
            self._parts.move_to_end(part.id)
        while self._tokens > self._most and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens

    def clear(self) -> None:
        """Lose everything, as an engine that starts anew."""
        self._parts.clear()
        self._tokens = 0
