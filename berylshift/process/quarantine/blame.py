"""Which of several blocks explain the crashes that they were under way at."""

from collections import Counter

from berylshift.messages.block_key import BlockHash


class Blame:
    """Blocks with enough crashes, by the replicas that crashed; as of ``at``."""

    def __init__(self, targets: dict[BlockHash, set[int]], at: float):
        """Compare ``targets``, the hashes of the crashed replicas' names."""
        self.at = at
        self._targets = targets
        shared = Counter(target for found in targets.values() for target in found)
        # Blocks with a crash at which no other of them was under way.
        self._needed = {
            block
            for block, found in targets.items()
            if any(shared[target] == 1 for target in found)
        }
        self._explained: dict[BlockHash, set[int]] = {}

    def explained(self, block: BlockHash) -> set[int]:
        """Return the replicas whose crashes other blocks explain better.

        These have more crashes, or some that no further block shares.
        """
        found = self._explained.get(block)
        if found is None:
            found = self._explained[block] = self._explain(block)
        return found

    def _explain(self, block: BlockHash) -> set[int]:
        own = len(self._targets.get(block, ()))
        found: set[int] = set()
        for other, targets in self._targets.items():
            if other != block and (len(targets) > own or other in self._needed):
                found |= targets
        return found
