"""Which engines cache which prefix blocks, as far as hosts have informed each other.

The home engine that all hosts compute alike says where a block should be, not that it
is there: an engine that has just started, or become the home, has nothing cached.
Prompts would be sent there as if their prefix were cached, and would queue up. Each
host therefore announces where it sends blocks, in a few bytes each; this also spreads
popular blocks over more engines.

How long an engine caches a block depends on its other prefills. Each host simulates the
engine's cache: an LRU of blocks with their token counts; blocks beyond the capacity are
taken as evicted. A fixed caching time would suit only one engine under one load: if it
is too long, evicted blocks count as cached and are prefilled anew.
"""

import functools
from collections import OrderedDict, deque

import xxhash

from berylshift.ids import BlockId, InstanceId
from berylshift.messages.load_digest import MAX_CACHED_HASHES, BlockPrefill, target_hash
from berylshift.process.targets.engine_cache import EngineCache

# The share of an engine's KV cache that prefix blocks fill: prompts in prefill, and
# those that wait to be fetched, occupy the rest.
PREFIX_CACHE_SHARE = 0.8
# The same where cached tokens that no other prompt shares are counted themselves.
COUNTED_CACHE_SHARE = 0.9
# Announced uses after which older ones count half in the mean of unshared tokens.
UNSHARED_SAMPLES = 256
# Prefills are sent for this long, in three datagrams: one or two may be lost.
SEND_SECONDS = 0.25
# Blocks of all engines together, a bound on this process's own memory.
MAX_BLOCKS = 16384
# For this long it is tracked when a block was first sent to an engine; prefilling it
# takes less.
FIRST_SENT_SECONDS = 10.0
MAX_PREFILLS_SENT = 32


@functools.lru_cache(MAX_CACHED_HASHES)
def block_hash(block: BlockId) -> int:
    """Return the 32-bit hash that stands for a prefix block in digests."""
    return xxhash.xxh32_intdigest(block.encode())


class PrefixCacheIndex:
    """Cached prefix blocks by engine; times in seconds."""

    def __init__(self) -> None:
        """Start empty."""
        self._engines: OrderedDict[int, EngineCache] = OrderedDict()
        self._engines_by_block: dict[int, set[int]] = {}
        self._own: deque[tuple[float, BlockPrefill]] = deque()
        # When blocks that are new at an engine were first sent there, oldest first.
        self._first_sent: OrderedDict[tuple[int, int], float] = OrderedDict()
        self._count = 0
        # Unshared tokens of own prompts, and the uses that were announced with them.
        self._unshared = 0.0
        self._announced = 0

    def record_sent(
        self, block: BlockId, tokens: int, instance: InstanceId, now: float
    ) -> None:
        """Record that this host sends a block to an engine.

        It counts as cached at once: a second prompt that follows the first one there
        waits for the block's prefill and does not repeat it.
        """
        prefill = BlockPrefill(block_hash(block), target_hash(instance), tokens)
        if not self._is_repeated(prefill, now):
            self._announced += 1
        self._use(prefill, now)
        self._own.append((now, prefill))

    def record_unshared(self, tokens: int, instance: InstanceId) -> None:
        """Record the tokens of a prompt sent that no other prompt shares.

        They take room in the engine's cache. Other hosts don't announce theirs: the
        mean of this host's prompts is taken for each use that they announce.
        """
        self._unshared += tokens
        if self._announced > UNSHARED_SAMPLES:
            self._announced //= 2
            self._unshared /= 2
        self._add_unshared(target_hash(instance), tokens)

    @property
    def _cache_share(self) -> float:
        return COUNTED_CACHE_SHARE if self._unshared else PREFIX_CACHE_SHARE

    def _is_repeated(self, prefill: BlockPrefill, now: float) -> bool:
        engine = self._engines.get(prefill.target)
        return engine is not None and engine.is_repeated(prefill.block, now)

    def _add_unshared(self, target: int, tokens: float) -> None:
        engine = self._engines.get(target)
        if engine is not None:
            self._count += engine.add_unshared(tokens)

    def record_kept(
        self, block: BlockId, tokens: int, instance: InstanceId, now: float
    ) -> None:
        """Record that a decode engine has a block after it streamed an answer.

        Other hosts are not sent it: there are as many such blocks as prefilled ones,
        and digests have no room for both.
        """
        self._use(BlockPrefill(block_hash(block), target_hash(instance), tokens), now)

    def merge(
        self, prefills: tuple[BlockPrefill, ...], now: float | None = None
    ) -> None:
        """Add another host's prefills, received at ``now``."""
        per_use = self._unshared / self._announced if self._announced else 0.0
        for prefill in prefills:
            is_counted = (
                per_use > 0 and now is not None and not self._is_repeated(prefill, now)
            )
            self._use(prefill, now)
            if is_counted:
                self._add_unshared(prefill.target, per_use)

    def _use(self, prefill: BlockPrefill, now: float | None) -> None:
        engine = self._engines.get(prefill.target)
        if engine is None:
            engine = self._engines[prefill.target] = EngineCache()
        self._engines.move_to_end(prefill.target)
        if engine.use(prefill.block, prefill.tokens):
            self._engines_by_block.setdefault(prefill.block, set()).add(prefill.target)
            self._count += 1
            if now is not None:
                self._record_first_sent(prefill, now)
        while self._count > MAX_BLOCKS:
            self._evict_oldest(next(iter(self._engines)))

    def _record_first_sent(self, prefill: BlockPrefill, now: float) -> None:
        first_sent = self._first_sent
        first_sent[prefill.target, prefill.block] = now
        first_sent.move_to_end((prefill.target, prefill.block))
        oldest = next(iter(first_sent.values()))
        while now - oldest > FIRST_SENT_SECONDS or len(first_sent) > MAX_BLOCKS:
            first_sent.popitem(last=False)
            oldest = next(iter(first_sent.values()))

    def _evict_oldest(self, target: int) -> None:
        """Evict the least recently used block of an engine."""
        self._remove(target, self._engines[target].evict_oldest())

    def _remove(self, target: int, block: int) -> None:
        """Remove a block that its engine's cache no longer lists."""
        self._count -= 1
        engines = self._engines_by_block.get(block)
        if engines is not None:
            engines.discard(target)
            if not engines:
                del self._engines_by_block[block]
        if not self._engines[target]:
            del self._engines[target]

    def is_cached(
        self, block: BlockId, instance: InstanceId, capacity_tokens: float
    ) -> bool:
        """Return whether an engine with a KV cache of that size caches a block."""
        target = target_hash(instance)
        while target in self._engines:
            engine = self._engines[target]
            if not engine.is_over(self._cache_share * capacity_tokens):
                return block_hash(block) in engine
            self._evict_oldest(target)
        return False

    def engines_caching(self, block: BlockId) -> list[int]:
        """Return the engines that may cache a block, by their short hashes."""
        return list(self._engines_by_block.get(block_hash(block), ()))

    def evicted_by(
        self, tokens: int, instance: InstanceId, capacity_tokens: float
    ) -> float:
        """Return how many cached tokens further ``tokens`` evict at an engine."""
        engine = self._engines.get(target_hash(instance))
        used = 0 if engine is None else engine.tokens
        return min(
            tokens, max(0.0, used + tokens - self._cache_share * capacity_tokens)
        )

    def seconds_cached(self, block: BlockId, instance: InstanceId, now: float) -> float:
        """Return the time since a block was first sent to an engine.

        It is infinite for a block that was sent there long ago.
        """
        key = (target_hash(instance), block_hash(block))
        return now - self._first_sent.get(key, float("-inf"))

    def remove(self, block: BlockId, instance: InstanceId) -> None:
        """Remove a block that an engine turned out not to cache."""
        target, removed = target_hash(instance), block_hash(block)
        if target in self._engines and self._engines[target].remove(removed):
            self._remove(target, removed)

    def forget(self, instance: InstanceId) -> None:
        """Remove an engine that is gone."""
        target = target_hash(instance)
        while target in self._engines:
            self._evict_oldest(target)

    def prefills_to_send(self, now: float) -> tuple[BlockPrefill, ...]:
        """Return this host's prefills that are still sent to the others."""
        while self._own and now - self._own[0][0] > SEND_SECONDS:
            self._own.popleft()
        newest = list(self._own)[-MAX_PREFILLS_SENT:]
        return tuple(prefill for _, prefill in newest)
