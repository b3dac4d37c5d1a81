"""Which engines keep which shared parts, as far as the hosts have told each other.

A home computed alike by all hosts says where a part should be, not that it is there: an
engine that has just started or taken over a home keeps nothing. Prompts taken for cheap
there pile up behind each other. Each host therefore tells where it sends parts, some
bytes each; that also spreads parts that are asked for often over more engines.

How long an engine keeps a part depends on what else it reads. Each host keeps the same
account as the engine's memory: parts by their last use, with their tokens; what is
beyond the memory has gone. A fixed time in its place is right for one load of one
engine: believed for too long, parts are read anew where they were taken for kept.
"""

import functools
from collections import OrderedDict, deque

import xxhash

from berylshift.ids import InstanceId, PartId
from berylshift.messages.load_digest import MAX_CACHED_HASHES, BlockPrefill, target_hash

# The part of an engine's memory that shared parts fill: the prompts that are being
# read, and those that wait to be taken, hold the rest.
SHARED_ROOM = 0.8
# Reads are told for this long, in three datagrams: one or two may be lost.
TOLD_SECONDS = 0.25
# Parts on all engines together, for a bound on this process's own memory.
MOST_KEPT = 16384
MOST_TOLD = 32


@functools.lru_cache(MAX_CACHED_HASHES)
def part_hash(part: PartId) -> int:
    """Return the 32-bit hash that stands for a part in digests."""
    return xxhash.xxh32_intdigest(part.encode())


class EngineMemory:
    """The parts that one engine keeps, the longest unused one first."""

    def __init__(self) -> None:
        """Start empty."""
        self._parts: OrderedDict[int, int] = OrderedDict()
        self._tokens = 0

    def use(self, part: int, tokens: int) -> bool:
        """Note the use of a part; return whether it is new."""
        former = self._parts.get(part)
        self._tokens += tokens - (former or 0)
        self._parts[part] = tokens
        self._parts.move_to_end(part)
        return former is None

    def drop_oldest(self) -> int:
        """Let the longest unused part go; return it."""
        part, tokens = self._parts.popitem(last=False)
        self._tokens -= tokens
        return part

    def is_over(self, room: float) -> bool:
        """Return whether the parts need more than ``room`` tokens."""
        return self._tokens > room and bool(self._parts)

    def __contains__(self, part: int) -> bool:
        """Return whether a part is kept."""
        return part in self._parts

    def __bool__(self) -> bool:
        """Return whether anything is kept."""
        return bool(self._parts)


class WarmParts:
    """Parts by engine; times in seconds."""

    def __init__(self) -> None:
        """Start knowing nothing."""
        self._engines: OrderedDict[int, EngineMemory] = OrderedDict()
        self._keepers: dict[int, set[int]] = {}
        self._own: deque[tuple[float, BlockPrefill]] = deque()
        self._count = 0

    def sent(self, part: PartId, tokens: int, instance: InstanceId, now: float) -> None:
        """Note that this host sends a part to an engine.

        It counts at once: a second prompt that follows the first one there waits for
        the part to be read, and does not read it again.
        """
        read = BlockPrefill(part_hash(part), target_hash(instance), tokens)
        self._use(read)
        self._own.append((now, read))

    def heard(self, reads: tuple[BlockPrefill, ...]) -> None:
        """Take over another host's reads."""
        for read in reads:
            self._use(read)

    def _use(self, read: BlockPrefill) -> None:
        engine = self._engines.get(read.target)
        if engine is None:
            engine = self._engines[read.target] = EngineMemory()
        self._engines.move_to_end(read.target)
        if engine.use(read.block, read.tokens):
            self._keepers.setdefault(read.block, set()).add(read.target)
            self._count += 1
        while self._count > MOST_KEPT:
            self._drop_oldest(next(iter(self._engines)))

    def _drop_oldest(self, target: int) -> None:
        """Let the longest unused part of an engine go."""
        engine = self._engines[target]
        part = engine.drop_oldest()
        self._count -= 1
        keepers = self._keepers[part]
        keepers.discard(target)
        if not keepers:
            del self._keepers[part]
        if not engine:
            del self._engines[target]

    def keeps(self, part: PartId, instance: InstanceId, room: float) -> bool:
        """Return whether an engine with memory for ``room`` tokens keeps a part."""
        target = target_hash(instance)
        while target in self._engines:
            engine = self._engines[target]
            if not engine.is_over(SHARED_ROOM * room):
                return part_hash(part) in engine
            self._drop_oldest(target)
        return False

    def keepers(self, part: PartId) -> list[int]:
        """Return the engines that may keep a part, by their short hashes."""
        return list(self._keepers.get(part_hash(part), ()))

    def forget(self, instance: InstanceId) -> None:
        """Drop what is known of an engine that is gone."""
        target = target_hash(instance)
        while target in self._engines:
            self._drop_oldest(target)

    def to_tell(self, now: float) -> tuple[BlockPrefill, ...]:
        """Return this host's reads that are still told to the others."""
        while self._own and now - self._own[0][0] > TOLD_SECONDS:
            self._own.popleft()
        newest = list(self._own)[-MOST_TOLD:]
        return tuple(read for _, read in newest)
