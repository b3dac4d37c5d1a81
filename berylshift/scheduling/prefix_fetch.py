"""Prefix fetches: from which engine a prefill takes over a cached prefix.

An engine that lacks a prefix prefills it again, or fetches it from an engine that
keeps it, which takes a few per cent of that time on fast links. The prompt may then go
to any engine with a short queue.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import cached_property

import msgspec

from berylshift.ids import InstanceId, ServiceName
from berylshift.messages.replicas import Replica
from berylshift.messages.routed import Prompt, PromptBlock
from berylshift.process.directory.pools import Pool
from berylshift.process.gossip.peer_loads import PeerLoads
from berylshift.process.targets.engine_speeds import EngineSpeeds
from berylshift.process.targets.fetch_results import FetchResults
from berylshift.process.targets.prefix_cache_index import PrefixCacheIndex
from berylshift.process.targets.target_load import MILD_FAILURE, TargetLoads
from berylshift.scheduling.features import Feature, Features
from berylshift.scheduling.placement import (
    AWAY_MOVE_FACTOR,
    HOME_TOKENS,
    LOOKED_AT,
    SHARED_WEIGHT,
    prefill_work,
)

# A fetch may take at most this share of the predicted time of prefilling the tokens:
# transfers that other hosts have requested are not known, and one that has to
# wait for one of them takes about twice as long as predicted.
MAX_FETCH_SHARE = 0.5
# Cost to other prompts of a copy of a prefix, as a multiple of its prefill time.
# A copy that evicts prefixes in use costs more than their prefill: each of them evicts
# another one when it is prefilled again.
EVICTING_COPY_SHARE = 3.0
# In free memory the cost only keeps prefixes from being copied because of queues that
# are gone in the next moment.
COPY_SHARE = 0.5
# Sources that are compared for one prompt.
MAX_SOURCES = 4
# For this long the sources found for a prompt are used again: the decisions on one
# request follow each other within a millisecond.
SOURCES_TTL_SECONDS = 0.005
# A block is taken to be cached once it was sent to its engine this many times as long
# ago as the engine needs for its queue and the prompt: a fetch finds nothing before.
# The excess over 1.0 is for engines that are slower than assumed.
READY_FACTOR = 1.25
# A fetch that took this share of the time predicted without it, or longer, has failed.
FAILED_SHARE = 0.9
# Whether a fetch has failed is only told where the predictions with and without it
# differ by this factor: prefills on shared machines, or behind prompts of other hosts,
# often take twice as long as predicted, for which the source must not be blamed.
MIN_TOLD_FACTOR = 3.0


class FetchSource(msgspec.Struct, frozen=True):
    """An engine to fetch from; its link is occupied for ``queued_seconds``."""

    engine: Replica
    queued_seconds: float = 0.0


class FetchSources(msgspec.Struct, frozen=True, dict=True):
    """Engines that have the leading ``tokens`` of a prompt cached."""

    prompt: Prompt
    tokens: int
    engines: tuple[FetchSource, ...]

    @cached_property
    def remaining_work(self) -> int:
        """Return the work of prefilling the prompt with these tokens cached."""
        return prefill_work(self.prompt.tokens, self.tokens)


@dataclass(frozen=True)
class _Found:
    """The result of one search; a request asks several times in a row."""

    pool: Pool
    prompt: Prompt
    avoided: set[InstanceId]
    at: float
    sources: FetchSources | None


class PrefixFetch(msgspec.Struct, frozen=True):
    """A fetch of the ``tokens`` that follow the leading ``own_tokens`` of a prompt.

    ``seconds`` is its predicted duration, with the transfers queued before it, and
    ``prefill_seconds`` the time in which the engine would prefill the tokens.
    ``evicted_share``: cached tokens that the copy evicts at the engine, as a share of
    its own.
    """

    source: Replica
    own_tokens: int
    tokens: int
    seconds: float
    prefill_seconds: float
    evicted_share: float = 0.0

    @property
    def cost_to_others(self) -> float:
        """Return what the fetch costs other prompts, in seconds.

        The links and the engine are occupied for the transfer, and the copy takes
        memory; nothing is prefilled again.
        """
        share = COPY_SHARE + (EVICTING_COPY_SHARE - COPY_SHARE) * self.evicted_share
        return SHARED_WEIGHT * self.seconds + share * self.prefill_seconds

    def has_saved_time(self, predicted: float, measured: float) -> bool | None:
        """Return whether a prefill with the fetch took less time than one without.

        ``predicted`` is the duration predicted with the fetch. ``None``: can't be told.
        """
        without = predicted - self.seconds + self.prefill_seconds
        if without < MIN_TOLD_FACTOR * predicted:
            return None
        return measured < FAILED_SHARE * without


def choose_fetch(
    sources: FetchSources,
    engine: Replica,
    cached: int,
    rate: float,
    transfer_seconds: float,
    queued_seconds: float = 0.0,
    evicted_tokens: float = 0.0,
) -> PrefixFetch | None:
    """Return the fastest fetch for a prefill at ``engine``; ``None``: it saves nothing.

    The engine has ``cached`` leading tokens and prefills ``rate`` tokens a second.
    Within a domain, the other tokens of ``sources`` are moved in ``transfer_seconds``.
    A source in the same domain is preferred among equally fast ones. The copy evicts
    ``evicted_tokens`` of other prefixes.
    """
    missing = sources.tokens - cached
    if missing < HOME_TOKENS:
        return None
    found: tuple[float, bool, Replica] | None = None
    for source in sources.engines:
        if source.engine.instance == engine.instance:
            continue
        is_away = source.engine.domain != engine.domain
        seconds = max(queued_seconds, source.queued_seconds)
        seconds += AWAY_MOVE_FACTOR * transfer_seconds if is_away else transfer_seconds
        if found is None or (seconds, is_away) < found[:2]:
            found = (seconds, is_away, source.engine)
    if found is None:
        return None
    saved = prefill_work(sources.prompt.tokens, cached) - sources.remaining_work
    if found[0] > MAX_FETCH_SHARE * saved / rate:
        return None
    return PrefixFetch(
        source=found[2],
        own_tokens=cached,
        tokens=missing,
        seconds=found[0],
        prefill_seconds=saved / rate,
        evicted_share=evicted_tokens / missing,
    )


class PrefixFetchPlanner:
    """Finds sources and fetches from what this host knows."""

    def __init__(
        self,
        features: Features,
        prefix_cache: PrefixCacheIndex,
        speeds: EngineSpeeds,
        loads: TargetLoads,
        peers: PeerLoads,
        results: FetchResults,
        rng: random.Random,
    ):
        """Plan fetches for the services that use ``Feature.PREFIX_FETCH``."""
        self._features = features
        self._prefix_cache = prefix_cache
        self._speeds = speeds
        self._loads = loads
        self._peers = peers
        self._results = results
        self._rng = rng
        self._found: _Found | None = None

    def is_used(self, pool: Pool) -> bool:
        """Return whether prefixes are fetched between the engines of ``pool``."""
        return bool(pool.replicas) and self.is_used_by(pool.replicas[0].service)

    def is_used_by(self, service: ServiceName) -> bool:
        """Return whether prefixes are fetched between the engines of a service."""
        return self._features.uses(
            Feature.PREFIX_FETCH, service
        ) and self._speeds.knows_link(service)

    def sources(
        self,
        pool: Pool,
        prompt: Prompt,
        avoid: Iterable[InstanceId],
        prefill_seconds: Callable[[Replica], float],
        now: float,
    ) -> FetchSources | None:
        """Return the engines that have most of the prompt's prefix cached.

        ``prefill_seconds`` returns in which time an engine prefills its queue and the
        prompt. Engines to ``avoid`` are no sources: they are throttled, have failed for
        this request, or must not be affected by it.
        """
        if prompt.prefix_tokens < HOME_TOKENS or not self.is_used(pool):
            return None
        avoided, found = set(avoid), self._found
        if (
            found is not None
            and found.prompt is prompt
            and found.pool is pool
            and found.avoided == avoided
            and now - found.at < SOURCES_TTL_SECONDS
        ):
            return found.sources
        sources = self._find_sources(pool, prompt, avoided, prefill_seconds, now)
        self._found = _Found(pool, prompt, avoided, now, sources)
        return sources

    def _find_sources(
        self,
        pool: Pool,
        prompt: Prompt,
        avoided: set[InstanceId],
        prefill_seconds: Callable[[Replica], float],
        now: float,
    ) -> FetchSources | None:
        tokens, blocks = prompt.prefix_tokens, prompt.prefix_blocks
        while blocks and tokens >= HOME_TOKENS:
            engines = self._engines_caching(pool, blocks, avoided, prefill_seconds, now)
            if engines:
                sources = tuple(
                    FetchSource(rep, self._results.queued_seconds(rep.instance, now))
                    for rep in engines
                )
                return FetchSources(prompt, tokens, sources)
            tokens -= blocks[-1].tokens
            blocks = blocks[:-1]
        return None

    def _engines_caching(
        self,
        pool: Pool,
        blocks: tuple[PromptBlock, ...],
        avoided: set[InstanceId],
        prefill_seconds: Callable[[Replica], float],
        now: float,
    ) -> list[Replica]:
        """Return usable engines that have all ``blocks`` cached, in random order.

        A draining engine is used only if no other one is known.
        """
        hashes = self._prefix_cache.engines_caching(blocks[-1].id)
        if len(hashes) > 1:
            # The same order on all hosts would load the same source.
            hashes = self._rng.sample(hashes, min(len(hashes), LOOKED_AT))
        found: list[Replica] = []
        draining: list[Replica] = []
        for engine_hash in hashes:
            engine = pool.caching_replica(engine_hash)
            if engine is None or engine.instance in avoided:
                continue
            if not self._is_usable(engine, blocks, prefill_seconds, now):
                continue
            (draining if engine.draining else found).append(engine)
            if len(found) == MAX_SOURCES:
                break
        return found or draining[:MAX_SOURCES]

    def _is_usable(
        self,
        engine: Replica,
        blocks: tuple[PromptBlock, ...],
        prefill_seconds: Callable[[Replica], float],
        now: float,
    ) -> bool:
        """Return whether an engine has all ``blocks`` cached and has not failed."""
        instance = engine.instance
        if self._results.has_failed_lately(instance, now):
            return False
        failures = self._loads.of(instance).failures(now)
        if max(failures, self._peers.failures(instance, now)) >= MILD_FAILURE:
            return False
        capacity_tokens = self._speeds.kv_capacity_tokens(engine.service)
        for block in blocks:
            if not self._prefix_cache.is_cached(block.id, instance, capacity_tokens):
                return False
        age = self._prefix_cache.seconds_cached(blocks[-1].id, instance, now)
        return age == float("inf") or age >= READY_FACTOR * prefill_seconds(engine)

    def choose(
        self,
        sources: FetchSources,
        engine: Replica,
        cached: int,
        rate: float,
        now: float,
    ) -> PrefixFetch | None:
        """Return the fetch for a prefill at ``engine``, if it saves time."""
        missing = sources.tokens - cached
        if missing < HOME_TOKENS:
            return None
        service, instance = engine.service, engine.instance
        capacity_tokens = self._speeds.kv_capacity_tokens(service)
        return choose_fetch(
            sources,
            engine,
            cached,
            rate,
            self._speeds.kv_transfer_seconds(service, missing),
            self._results.queued_seconds(instance, now),
            self._prefix_cache.evicted_by(missing, instance, capacity_tokens),
        )

    def record_sent(self, fetch: PrefixFetch, engine: Replica, now: float) -> None:
        """Record that a request with a fetch is sent to ``engine``."""
        self._results.record_sent(
            fetch.source.instance, engine.instance, fetch.seconds, now
        )

    def record_result(
        self,
        fetch: PrefixFetch,
        prompt: Prompt,
        predicted: float,
        measured: float,
        now: float,
    ) -> bool | None:
        """Record how long a prefill with a fetch took; return whether it saved time.

        After a failed fetch the source no longer counts as having the prefix cached.
        """
        succeeded = fetch.has_saved_time(predicted, measured)
        if succeeded is None:
            return None
        self._results.record_result(fetch.source.instance, succeeded, now)
        if not succeeded:
            first = 0
            for block in prompt.prefix_blocks:
                if first >= fetch.own_tokens:
                    self._prefix_cache.remove(block.id, fetch.source.instance)
                first += block.tokens
        return succeeded
