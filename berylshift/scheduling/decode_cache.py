"""Prompt prefixes that decode engines keep from the KV caches that they fetched."""

from collections.abc import Callable

from berylshift.ids import ServiceName
from berylshift.messages.load_digest import target_hash
from berylshift.messages.replicas import Replica
from berylshift.messages.routed import Prompt
from berylshift.process.targets.prefix_cache_index import PrefixCacheIndex

# Decode engines with a prompt's prefix that are considered beside the sampled ones.
MAX_CACHING_ENGINES = 4


class DecodeCache:
    """What decode engines are known to cache of a prompt."""

    def __init__(
        self,
        index: PrefixCacheIndex,
        is_used: Callable[[ServiceName], bool],
        capacity_tokens: Callable[[ServiceName], int],
    ):
        """Look up prefixes in ``index`` for services with ``is_used``.

        ``capacity_tokens`` returns how many tokens fit in an engine's KV cache.
        """
        self._index = index
        self._is_used = is_used
        self._capacity_tokens = capacity_tokens

    def cached_tokens(self, replica: Replica, prompt: Prompt) -> int:
        """Return the leading tokens of a prompt that a decode engine has cached."""
        if not self._is_used(replica.service):
            return 0
        cached, capacity = 0, self._capacity_tokens(replica.service)
        for block in prompt.prefix_blocks:
            if not self._index.is_cached(block.id, replica.instance, capacity):
                break
            cached += block.tokens
        return cached

    def with_caching(
        self, sampled: list[Replica], eligible: list[Replica], prompt: Prompt
    ) -> list[Replica]:
        """Return ``sampled``, and ``eligible`` engines that cache the whole prefix."""
        if len(sampled) == len(eligible) or not prompt.prefix_blocks:
            return sampled
        if not self._is_used(eligible[0].service):
            return sampled
        known = self._index.engines_caching(prompt.prefix_blocks[-1].id)
        if not known:
            return sampled
        by_hash = {target_hash(rep.instance): rep for rep in eligible}
        caching = [by_hash[target] for target in known if target in by_hash]
        chosen = {rep.instance for rep in sampled}
        more = [rep for rep in caching if rep.instance not in chosen]
        return [*sampled, *more[:MAX_CACHING_ENGINES]]
