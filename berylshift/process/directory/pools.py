"""The replicas of one service that take new work, indexed for placement.

A pool is immutable: a new list of replicas makes a new pool, so values derived from it
(the home engines of a prefix block) can be cached for the pool's lifetime.
"""

from collections import Counter, OrderedDict
from collections.abc import Iterable
from functools import cached_property

import xxhash

from berylshift.ids import BlockId, InstanceId, SoftwareVersion
from berylshift.messages.load_digest import target_hash
from berylshift.messages.replicas import EnginePhase, Replica

# Home engines per prefix block; the second takes the load that the first can't.
HOMES_PER_BLOCK = 2
# Prefix blocks whose homes are cached: 5,900 customers with a few blocks each.
MAX_CACHED_BLOCKS = 16384


class Pool:
    """Replicas of one service by engine phase."""

    def __init__(self, replicas: list[Replica], draining: Iterable[Replica] = ()):
        """Index ``replicas``.

        ``draining`` replicas of the service take no work but still serve their caches.
        """
        self.replicas = replicas
        self._draining = tuple(draining)
        self.prefill_engines = [
            rep for rep in replicas if rep.phase is EnginePhase.PREFILL
        ]
        self.decode_engines = [
            rep for rep in replicas if rep.phase is not EnginePhase.PREFILL
        ]
        self._prefill_engines_by_hash = {
            target_hash(rep.instance): rep for rep in self.prefill_engines
        }
        self._at_versions: dict[SoftwareVersion, Pool] = {}
        self._homes: OrderedDict[BlockId, tuple[Replica, ...]] = OrderedDict()

    def homes(self, block: BlockId) -> tuple[Replica, ...]:
        """Return the prefill engines that are a block's homes, the primary one first.

        Rendezvous hashing: an engine's rank depends only on the block and the engine,
        so when an engine is added or removed only the blocks it gains or had move.
        What a home provides is memory for prefixes, which engines of all speeds have.
        """
        found = self._homes.get(block)
        if found is None:
            ranked = sorted(
                self.prefill_engines,
                key=lambda rep: _rendezvous_rank(block, rep.instance),
            )
            found = tuple(ranked[:HOMES_PER_BLOCK])
            self._homes[block] = found
            while len(self._homes) > MAX_CACHED_BLOCKS:
                self._homes.popitem(last=False)
        return found

    def at_version(self, version: SoftwareVersion) -> "Pool":
        """Return the replicas at a software version."""
        found = self._at_versions.get(version)
        if found is None:
            found = self._at_versions[version] = Pool(
                [rep for rep in self.replicas if rep.version == version],
                [rep for rep in self._draining if rep.version == version],
            )
        return found

    @cached_property
    def for_resumable(self) -> "Pool":
        """Return the replicas at which a stream that may be resumed should begin.

        A decode engine that is alone at its version is left out where another version
        has more of them: if it fails, its streams have no place to go on.
        """
        counts = Counter(rep.version for rep in self.decode_engines)
        if len(counts) < 2 or max(counts.values()) < 2:
            return self
        kept = [
            rep
            for rep in self.replicas
            if rep.phase is EnginePhase.PREFILL or counts[rep.version] > 1
        ]
        return self if len(kept) == len(self.replicas) else Pool(kept, self._draining)

    def prefill_engine(self, instance_hash: int) -> Replica | None:
        """Return the prefill engine whose instance has the short hash."""
        return self._prefill_engines_by_hash.get(instance_hash)

    def caching_replica(self, instance_hash: int) -> Replica | None:
        """Return the replica of any phase, also a draining one, with the short hash."""
        return self._replicas_by_hash.get(instance_hash)

    @cached_property
    def _replicas_by_hash(self) -> dict[int, Replica]:
        return {
            target_hash(rep.instance): rep for rep in (*self._draining, *self.replicas)
        }


EMPTY_POOL = Pool([])


def _rendezvous_rank(block: BlockId, instance: InstanceId) -> int:
    return xxhash.xxh64_intdigest(f"{block}/{instance}".encode())
