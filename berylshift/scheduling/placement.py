"""Placement: which replica serves a request, which engine prefills its prompt.

Prefix blocks are expensive to prefill and cheap to cache. Each prefix therefore has
home engines, chosen by rendezvous hashing, so that all hosts agree on them without
exchanging messages. A prompt goes to its home engine unless the queue there is so long
that prefilling the prefix again elsewhere is faster.
"""

import heapq
import random
from collections.abc import Collection, Iterable
from enum import StrEnum
from typing import TYPE_CHECKING, Protocol

import msgspec

from berylshift.ids import DomainName, InstanceId
from berylshift.messages.load_digest import Urgency, target_hash
from berylshift.messages.replicas import Replica
from berylshift.messages.routed import Prompt
from berylshift.process.directory.pools import Pool
from berylshift.process.gossip.peer_loads import PeerLoads
from berylshift.process.queues.queue_view import QueueView
from berylshift.process.targets.engine_speeds import (
    PRIOR_PLAIN_SECONDS,
    EngineSpeeds,
)
from berylshift.process.targets.prefix_cache_index import PrefixCacheIndex
from berylshift.process.targets.target_load import TargetLoad, TargetLoads
from berylshift.scheduling.capacity_weights import CapacityWeights, WeightedList
from berylshift.scheduling.decode_cache import DecodeCache
from berylshift.scheduling.decode_pacing import DecodePacing, gap_cost
from berylshift.scheduling.decode_sample import DecodeSample
from berylshift.scheduling.used_capacity import EVEN_USE, UsedCapacity

if TYPE_CHECKING:
    from berylshift.scheduling.prefix_fetch import (
        FetchSources,
        PrefixFetch,
        PrefixFetchPlanner,
    )

# Shorter prefixes have no home engine: prefilling them again takes so little time that
# a hop to a home engine is not worth it.
HOME_TOKENS = 1000
# Maximum number of replicas considered per decision; of a larger pool a random sample
# of this size is considered. Comparing two replicas already avoids long queues, and
# comparing a dozen makes the longest ones unlikely.
LOOKED_AT = 12
# Where a sample of a few decode engines holds none with a free slot and failures below
# this cost, all engines are considered.
FAILING_SECONDS = 0.1
# Cost, in tokens of prefill work, of an engine that neither is a home engine of the
# prefix nor has it cached: it is chosen only if the first home engine has at least this
# many more tokens queued. Hosts that do not know of each other's prompts yet thereby
# choose the same engine. It does not apply where the prefix is fetched.
AWAY_TOKENS = 37_000
# The same for the second home engine: a prefix that is also sent there is prefilled and
# cached twice.
SECOND_TOKENS = 20_000
# Prompts up to this size may be prefilled by the engine that decodes them: they stall
# its streams for less than the longest pause allowed between tokens.
DIRECT_TOKENS = 2048
# Overhead of disaggregated prefill (handing the KV cache to the decode engine), in
# tokens that could be prefilled in that time.
APART_TOKENS = 6_000
# Cost to other prompts of prefilling a prefix again, as a multiple of its own time: it
# lengthens the engine's queue and evicts other prefixes from its KV cache.
SHARED_WEIGHT = 1.5
# A decode engine prefills at half speed, between the tokens of its running requests
# (the engines' published interface).
ANSWERING_READ_SHARE = 0.5
# Attention cost of each pair of a new token and an earlier one, in tokens of prefill
# work: prefill slows down as the context grows.
TOKENS_PER_PAIR = 3.2e-5
# Prompt tokens assumed for each request that an engine reports as waiting.
WAITING_TOKENS = 4_000
# Maximum tokens of less urgent prompts that a more urgent one is assumed to wait for:
# an engine does not preempt the prompt that it is prefilling.
BEGUN_TOKENS = 8_000
# How many times longer a KV cache transfer to another domain takes (the engines'
# published interface).
AWAY_MOVE_FACTOR = 2
# Cost of a hop to another domain, in seconds of waiting: it adds 2 ms for the caller,
# and traffic between domains is expensive. A prompt's text is sent to two engines, so
# its size adds this share of its prefill time.
DOMAIN_SECONDS = 0.01
DOMAIN_READ_SHARE = 0.3
# Cost of one severe failure that has just occurred.
FAILURE_SECONDS = 0.4
# Prompts that a decode engine prefills between two events of a stream, with those
# of other hosts: hosts learn of them too late to count them, and they add up.
PREFILLS_BETWEEN_EVENTS = 3
# Cost of each request that a decode engine has refused in a row. An engine that refuses
# everything looks idle, and costs the retry budget that others need.
REFUSAL_SECONDS = 0.5
# Random addition that breaks ties between equal replicas.
JITTER_SECONDS = 0.002


class PlacementReason(StrEnum):
    """Why a replica was chosen, as logged."""

    HOME = "home"
    WARM = "warm"
    SECOND_HOME = "second-home"
    LEAST_LOADED = "least-loaded"


class Placement(msgspec.Struct, frozen=True):
    """A replica chosen for a request, the reason and the predicted work there.

    ``seconds`` is the predicted latency, ``tokens`` the prefill work. The choice
    minimizes ``cost``: the latency plus what the placement costs other requests.
    ``queued`` is the work known to be queued ahead: tokens at a prefill engine,
    requests at a decode engine. ``uncached_prefix_tokens`` are the prefix tokens that
    a prefill engine is not known to have cached. ``factor`` is the replica's time
    factor, ``event_gap`` the predicted longest gap between events (``None``: unknown),
    and ``stall_cost`` what a prefill between the tokens of other streams costs these.
    With ``fetch``, the engine fetches part of the prefix from another one, and
    ``seconds`` includes the transfer.
    """

    target: Replica
    reason: PlacementReason
    seconds: float
    tokens: int = 0
    cost: float = 0.0
    queued: float = 0.0
    uncached_prefix_tokens: int = 0
    factor: float = 1.0
    event_gap: float | None = None
    stall_cost: float = 0.0
    fetch: "PrefixFetch | None" = None

    @property
    def fetch_from(self) -> Replica | None:
        """Return the engine that the prefix is fetched from."""
        return None if self.fetch is None else self.fetch.source


class PlacementPolicy(Protocol):
    """Chooses replicas; ``None`` means that no replica is left to try."""

    def choose_plain(
        self, pool: Pool, avoid: Iterable[InstanceId], now: float
    ) -> Placement | None:
        """Return the placement of a request without a prompt."""

    def choose_prefill(
        self,
        pool: Pool,
        prompt: Prompt,
        urgency: Urgency,
        avoid: Iterable[InstanceId],
        now: float,
        event_gap_seconds: float = 0.0,
        among: Collection[InstanceId] = (),
    ) -> Placement | None:
        """Return the engine to prefill a prompt; ``None``: the decode engine does.

        ``among``: the engines to compare, whose queues are known; empty: all engines.
        """

    def choose_decode(
        self,
        pool: Pool,
        prompt: Prompt,
        prefill_engine: Replica | None,
        avoid: Iterable[InstanceId],
        now: float,
        event_gap_seconds: float = 0.0,
    ) -> Placement | None:
        """Return the engine that should decode after ``prefill_engine``.

        ``event_gap_seconds`` is the longest acceptable gap between two events; 0 means
        no limit.
        """

    def best_prefill_engines(
        self,
        pool: Pool,
        prompt: Prompt,
        urgency: Urgency,
        avoid: Iterable[InstanceId],
        now: float,
        count: int,
    ) -> list[InstanceId]:
        """Return the best engines, whose queues are worth asking for."""

    def record_sent(self, placement: Placement, prompt: Prompt, now: float) -> None:
        """Record that a prompt is sent as placed."""


class Placer:
    """Chooses by predicted time to first token."""

    def __init__(
        self,
        loads: TargetLoads,
        peers: PeerLoads,
        prefix_cache: PrefixCacheIndex,
        speeds: EngineSpeeds,
        domain: DomainName,
        rng: random.Random,
        capacity: UsedCapacity = EVEN_USE,
        decode_cache: DecodeCache | None = None,
        fetches: "PrefixFetchPlanner | None" = None,
        queues: QueueView | None = None,
    ):
        """Place requests for a host in ``domain``.

        ``decode_cache`` tells which prefixes decode engines cache, and ``fetches``
        plans prefix fetches; ``None``: that is not known, and none are made.
        ``queues`` holds queues of engines that registrars have just reported.
        """
        self._queues = queues or QueueView()
        self._capacity = capacity
        self._weights = CapacityWeights(capacity)
        self._pacing = DecodePacing(capacity, speeds, rng)
        self._decode_sample = DecodeSample(self._weights, self._pacing, domain, rng)
        self._decode_cache = decode_cache
        self._fetches = fetches
        self._speeds = speeds
        self._loads = loads
        self._peers = peers
        self._prefix_cache = prefix_cache
        self._domain = domain
        self._rng = rng

    def choose_plain(
        self, pool: Pool, avoid: Iterable[InstanceId], now: float
    ) -> Placement | None:
        """Return the placement of a request without a prompt."""
        weights = self._weights.uneven(pool, now)
        weighted = weights.replicas() if weights is not None else None
        placements = [
            self._plain_placement(rep, now)
            for rep in self._sample_left(pool.replicas, weighted, avoid)
        ]
        return min(placements, key=lambda placement: placement.cost, default=None)

    def choose_prefill(
        self,
        pool: Pool,
        prompt: Prompt,
        urgency: Urgency,
        avoid: Iterable[InstanceId],
        now: float,
        event_gap_seconds: float = 0.0,
        among: Collection[InstanceId] = (),
    ) -> Placement | None:
        """Return the engine to prefill a prompt; ``None``: the decode engine does.

        Where the queues of some engines are known, only those are compared: the others
        look idle, as most of their open prefills are not known here.
        """
        placements = self._prefill_placements(pool, prompt, urgency, avoid, now, among)
        best = min(placements, key=lambda placement: placement.cost, default=None)
        if best is None or prompt.tokens > DIRECT_TOKENS:
            return best
        direct = self.choose_decode(pool, prompt, None, avoid, now, event_gap_seconds)
        remote_seconds = best.seconds + APART_TOKENS * best.factor / self._service_rate(
            best.target
        )
        if direct is not None and direct.seconds + direct.stall_cost < remote_seconds:
            return None
        return best

    def best_prefill_engines(
        self,
        pool: Pool,
        prompt: Prompt,
        urgency: Urgency,
        avoid: Iterable[InstanceId],
        now: float,
        count: int,
    ) -> list[InstanceId]:
        """Return the engines of the lowest cost by what this host knows."""
        placements = self._prefill_placements(pool, prompt, urgency, avoid, now, ())
        best = heapq.nsmallest(count, placements, key=lambda found: found.cost)
        return [placement.target.instance for placement in best]

    def _prefill_placements(
        self,
        pool: Pool,
        prompt: Prompt,
        urgency: Urgency,
        avoid: Iterable[InstanceId],
        now: float,
        among: Collection[InstanceId],
    ) -> list[Placement]:
        """Return the placements to compare, on the engines ``among`` if there are."""
        weights = self._weights.uneven(pool, now)
        uses_speeds = self._capacity.applies_to(pool.replicas)
        homes = self._homes(pool, prompt)
        weighted = weights.prefill_engines() if weights is not None else None
        avoided = set(avoid)
        candidates = [
            rep
            for instance in among
            if (rep := pool.prefill_engine(target_hash(instance))) is not None
            and instance not in avoided
        ]
        if not candidates:
            candidates = self._candidates(pool, prompt, homes, weighted)
        cached = {rep.instance: self._cached_tokens(rep, prompt) for rep in candidates}
        min_tokens = prefill_work(prompt.tokens, max(cached.values(), default=0))
        sources = self._fetch_sources(pool, prompt, avoid, now)
        return [
            self._prefill_placement(
                rep,
                prompt,
                urgency,
                homes,
                cached[rep.instance],
                min_tokens,
                sources,
                now,
                uses_speeds,
            )
            for rep in _excluding(candidates, avoid)
        ]

    def choose_decode(
        self,
        pool: Pool,
        prompt: Prompt,
        prefill_engine: Replica | None,
        avoid: Iterable[InstanceId],
        now: float,
        event_gap_seconds: float = 0.0,
    ) -> Placement | None:
        """Return the engine that should decode after ``prefill_engine``.

        Without a prefill engine it prefills the prompt itself. An engine at which the
        gaps between events would exceed ``event_gap_seconds`` is chosen only if the
        others are far busier; 0 means no limit.
        """
        uses_speeds = self._capacity.applies_to(pool.replicas)
        candidates = self._decode_candidates(pool, avoid, now)
        if prefill_engine is None and self._decode_cache is not None:
            eligible = _excluding(pool.decode_engines, avoid)
            candidates = self._decode_cache.with_caching(candidates, eligible, prompt)
        placements = [
            self._decode_placement(
                rep, prompt, prefill_engine, event_gap_seconds, now, uses_speeds
            )
            for rep in candidates
        ]
        best = min(placements, key=lambda placement: placement.cost, default=None)
        if best is None or prefill_engine is not None:
            return best
        sources = self._fetch_sources(pool, prompt, avoid, now)
        return best if sources is None else self._with_fetch(best, prompt, sources, now)

    def _homes(self, pool: Pool, prompt: Prompt) -> tuple[Replica, ...]:
        """Return the home engines of a prompt's prefix; a short prefix has none."""
        if prompt.prefix_tokens < HOME_TOKENS:
            return ()
        return pool.homes(prompt.prefix_blocks[-1].id)

    def _candidates(
        self,
        pool: Pool,
        prompt: Prompt,
        homes: tuple[Replica, ...],
        weighted: WeightedList | None = None,
    ) -> list[Replica]:
        """Return the prefill engines to consider.

        In a large pool these are the home engines, the engines that have the prefix
        cached, and a sample of the others: the cost of a decision must not grow with
        the fleet.
        """
        if len(pool.prefill_engines) <= LOOKED_AT:
            return pool.prefill_engines
        sample = self._sample_left(pool.prefill_engines, weighted, ())
        candidates = {rep.instance: rep for rep in (*homes, *sample)}
        if homes:
            for engine_hash in self._hashes_of_caching_engines(pool, prompt):
                caching_engine = pool.prefill_engine(engine_hash)
                if caching_engine is not None:
                    candidates[caching_engine.instance] = caching_engine
        return list(candidates.values())

    def _decode_candidates(
        self, pool: Pool, avoid: Iterable[InstanceId], now: float
    ) -> list[Replica]:
        """Return the decode engines to consider."""
        found = self._decode_sample.draw(pool, avoid, now)
        if any(self._has_free_slot(rep, now) for rep in found):
            return found
        return self._sample_left(pool.decode_engines, None, avoid)

    def _has_free_slot(self, replica: Replica, now: float) -> bool:
        load = self._loads.of(replica.instance)
        if self._running_requests(replica, load, now) >= replica.slots:
            return False
        return self._failure_cost(replica, now) < FAILING_SECONDS

    def _sample_left(
        self,
        replicas: list[Replica],
        weighted: WeightedList | None,
        avoid: Iterable[InstanceId],
    ) -> list[Replica]:
        """Return the replicas to consider that are not in ``avoid``.

        ``weighted`` holds the same replicas with their weights, if these differ.
        """
        if weighted is not None and len(replicas) > LOOKED_AT:
            found = _excluding(weighted.sample(self._rng, LOOKED_AT), avoid)
            if found:
                return found
        return self._sample(_excluding(replicas, avoid))

    def _hashes_of_caching_engines(self, pool: Pool, prompt: Prompt) -> list[int]:
        """Return the engines that have a prompt's prefix cached, by short hash.

        Where prefixes are fetched, many engines may have it: a sample is returned.
        """
        hashes = self._prefix_cache.engines_caching(prompt.prefix_blocks[-1].id)
        if len(hashes) <= LOOKED_AT or not (
            self._fetches is not None and self._fetches.is_used(pool)
        ):
            return hashes
        return self._rng.sample(hashes, LOOKED_AT)

    def _fetch_sources(
        self, pool: Pool, prompt: Prompt, avoid: Iterable[InstanceId], now: float
    ) -> "FetchSources | None":
        """Return the engines that a prompt's prefix may be fetched from."""
        if self._fetches is None:
            return None

        def prefill_seconds(replica: Replica) -> float:
            queued = self._queued_tokens(replica, Urgency.PATIENT, now)
            work = prefill_work(prompt.tokens, 0)
            factor = self._capacity.time_factor(replica, now)
            return (queued + work) * factor / self._service_rate(replica)

        return self._fetches.sources(pool, prompt, avoid, prefill_seconds, now)

    def _choose_fetch(
        self,
        sources: "FetchSources | None",
        replica: Replica,
        cached: int,
        rate: float,
        now: float,
    ) -> "PrefixFetch | None":
        """Return the fetch for a prefill at ``replica``, if it saves time."""
        if self._fetches is None or sources is None:
            return None
        return self._fetches.choose(sources, replica, cached, rate, now)

    def _sample(self, replicas: list[Replica]) -> list[Replica]:
        """Return all replicas, or a random sample of a large number."""
        if len(replicas) <= LOOKED_AT:
            return replicas
        return self._rng.sample(replicas, LOOKED_AT)

    def _prefill_placement(
        self,
        replica: Replica,
        prompt: Prompt,
        urgency: Urgency,
        homes: tuple[Replica, ...],
        cached: int,
        min_tokens: int,
        sources: "FetchSources | None",
        now: float,
        uses_speeds: bool,
    ) -> Placement:
        factor = self._capacity.time_factor(replica, now) if uses_speeds else 1.0
        rate = self._service_rate(replica) / factor
        reason = self._reason(replica, homes, cached >= prompt.prefix_tokens)
        fetch = self._choose_fetch(sources, replica, cached, rate, now)
        if fetch is not None:
            cached += fetch.tokens
        tokens = prefill_work(prompt.tokens, cached)
        queued = self._queued_tokens(replica, urgency, now)
        seconds = (queued + tokens) / rate
        cost = _cost_to_others(prompt, tokens - min_tokens, reason, fetch) / rate
        if fetch is not None:
            seconds += fetch.seconds
            cost += fetch.cost_to_others
        cost += seconds
        cost += self._distance_cost(
            replica, factor, prompt.tokens
        ) + self._failure_cost(replica, now)
        uncached = max(0, prompt.prefix_tokens - cached)
        return Placement(
            replica,
            reason,
            seconds,
            tokens,
            cost,
            queued,
            uncached,
            factor,
            fetch=fetch,
        )

    def _service_rate(self, replica: Replica) -> float:
        """Return the prefill rate of a replica with the time factor 1.0."""
        return self._speeds.prefill_rate(replica.service)

    def _reason(
        self, replica: Replica, homes: tuple[Replica, ...], caches_all: bool
    ) -> PlacementReason:
        """Return why an engine is considered.

        An engine is warm only if it has all prefix blocks cached. The leading blocks
        are common to most prompts and cached by every engine: if they counted as warm,
        prompts with the same prefix would scatter over all engines, and each engine
        would prefill that prefix again.
        """
        if homes and replica is homes[0]:
            return PlacementReason.HOME
        if homes and caches_all:
            return PlacementReason.WARM
        return (
            PlacementReason.SECOND_HOME
            if replica in homes
            else PlacementReason.LEAST_LOADED
        )

    def _cached_tokens(self, replica: Replica, prompt: Prompt) -> int:
        """Return the leading tokens of a prompt that an engine probably has cached."""
        cached = 0
        capacity_tokens = self._speeds.kv_capacity_tokens(replica.service)
        for block in prompt.prefix_blocks:
            if not self._prefix_cache.is_cached(
                block.id, replica.instance, capacity_tokens
            ):
                break
            cached += block.tokens
        return cached

    def _decode_cached_tokens(self, replica: Replica, prompt: Prompt) -> int:
        """Return the leading tokens that a decode engine is known to have cached."""
        if self._decode_cache is None:
            return 0
        return self._decode_cache.cached_tokens(replica, prompt)

    def record_sent(self, placement: Placement, prompt: Prompt, now: float) -> None:
        """Record that a prompt is sent as placed."""
        target = placement.target
        if self._fetches is not None and placement.fetch is not None:
            self._fetches.record_sent(placement.fetch, target, now)
        shared_tokens = 0
        if prompt.prefix_tokens >= HOME_TOKENS:
            shared_tokens = prompt.prefix_tokens
            for block in prompt.prefix_blocks:
                self._prefix_cache.record_sent(
                    block.id, block.tokens, target.instance, now
                )
        if self._fetches is not None and self._fetches.is_used_by(target.service):
            self._prefix_cache.record_unshared(
                prompt.tokens - shared_tokens, target.instance
            )

    def _queued_tokens(self, replica: Replica, urgency: Urgency, now: float) -> float:
        """Return the known tokens that are prefilled before a new prompt."""
        load = self._loads.of(replica.instance)
        own = load.prefill_tokens
        others = self._peers.prefill_tokens(replica.instance, now)
        tokens = self._queues.tokens(
            replica.instance,
            (own[0] + others[0], own[1] + others[1], own[2] + others[2]),
            now,
        )
        known = sum(tokens[: urgency + 1])
        known += min(BEGUN_TOKENS, sum(tokens[urgency + 1 :]))
        return max(known, load.waiting(now) * WAITING_TOKENS)

    def _decode_placement(
        self,
        replica: Replica,
        prompt: Prompt,
        prefill_engine: Replica | None,
        event_gap_seconds: float,
        now: float,
        uses_speeds: bool,
    ) -> Placement:
        load, service = self._loads.of(replica.instance), replica.service
        factor = self._capacity.time_factor(replica, now) if uses_speeds else 1.0
        running = self._running_requests(replica, load, now)
        seconds = running * self._speeds.seconds_per_running_request(service) * factor
        waiting = max(0.0, running + 1 - replica.slots)
        seconds += waiting * self._speeds.slot_seconds(service, replica.slots) * factor
        queued = sum(load.prefill_tokens) + sum(
            self._peers.prefill_tokens(replica.instance, now)
        )
        tokens = 0
        if prefill_engine is None:
            cached = self._decode_cached_tokens(replica, prompt)
            tokens = prefill_work(prompt.tokens, cached)
        else:
            transfer_seconds = self._speeds.kv_transfer_seconds(service, prompt.tokens)
            same_domain = prefill_engine.domain == replica.domain
            seconds += (
                transfer_seconds if same_domain else AWAY_MOVE_FACTOR * transfer_seconds
            )
        rate = ANSWERING_READ_SHARE * self._service_rate(replica) / factor
        seconds += (queued + tokens) / rate
        cost = seconds + self._distance_cost(replica, factor, prompt.tokens)
        cost += self._failure_cost(replica, now)
        cost += REFUSAL_SECONDS * load.refusals_in_a_row(now)
        gap, stall_cost = None, 0.0
        if uses_speeds and event_gap_seconds > 0:
            gap = self._pacing.predicted_gap(replica, running, factor, now)
        if gap is not None:
            # Longer prompts are not prefilled between the tokens of streams.
            gap += min(queued, DIRECT_TOKENS) / rate
            cost += gap_cost(gap, event_gap_seconds)
            stall_seconds = PREFILLS_BETWEEN_EVENTS * tokens / rate
            stall_cost = running * gap_cost(gap + stall_seconds, event_gap_seconds)
            cost += stall_cost if tokens else 0.0
        return Placement(
            replica,
            PlacementReason.LEAST_LOADED,
            seconds,
            tokens,
            cost,
            running,
            factor=factor,
            event_gap=gap,
            stall_cost=stall_cost,
        )

    def _with_fetch(
        self, placement: Placement, prompt: Prompt, sources: "FetchSources", now: float
    ) -> Placement:
        """Return a decode engine's own prefill with a fetch, if that saves time.

        All decode engines save about the same, so the choice does not depend on it.
        """
        replica = placement.target
        rate = ANSWERING_READ_SHARE * self._service_rate(replica) / placement.factor
        cached = self._decode_cached_tokens(replica, prompt)
        fetch = self._choose_fetch(sources, replica, cached, rate, now)
        if fetch is None:
            return placement
        tokens = prefill_work(prompt.tokens, cached + fetch.tokens)
        saved = (placement.tokens - tokens) / rate - fetch.seconds
        return msgspec.structs.replace(
            placement,
            tokens=tokens,
            seconds=placement.seconds - saved,
            cost=placement.cost - saved,
            fetch=fetch,
        )

    def _plain_placement(self, replica: Replica, now: float) -> Placement:
        load = self._loads.of(replica.instance)
        request_count = self._running_requests(replica, load, now) + load.waiting(now)
        slots = max(1, replica.slots)
        factor, queued = 1.0, 0.0
        if self._capacity.applies(replica.service):
            factor, queued = self._capacity.time_factor(replica, now), request_count
            # An idle slow replica takes longer than a fast one, so that the time of the
            # request itself counts too.
            seconds = self._speeds.plain_seconds(replica.service) * factor
            seconds *= 1 + request_count / slots
        else:
            seconds = PRIOR_PLAIN_SECONDS * request_count / slots
        cost = seconds + self._distance_cost(replica, factor)
        cost += self._failure_cost(replica, now)
        return Placement(
            replica,
            PlacementReason.LEAST_LOADED,
            seconds,
            0,
            cost,
            queued,
            factor=factor,
        )

    def _running_requests(
        self, replica: Replica, load: TargetLoad, now: float
    ) -> float:
        known = load.in_flight + self._peers.in_flight(replica.instance, now)
        return max(known, load.running(now))

    def _distance_cost(self, replica: Replica, factor: float, tokens: int = 0) -> float:
        """Return the cost of distance, in seconds; a hop itself takes 1 ms."""
        jitter = JITTER_SECONDS * self._rng.random()
        if replica.domain == self._domain:
            return jitter
        prefill_seconds = tokens * factor / self._service_rate(replica)
        return DOMAIN_SECONDS + DOMAIN_READ_SHARE * prefill_seconds + jitter

    def _failure_cost(self, replica: Replica, now: float) -> float:
        """Return the cost of recent failures, in seconds.

        It only orders replicas and is not part of the predicted latency, so that no
        request is refused as too late when all replicas have failed recently.
        """
        failures = self._loads.of(replica.instance).failures(now)
        reported = self._peers.failures(replica.instance, now)
        return FAILURE_SECONDS * max(failures, reported)


def _cost_to_others(
    prompt: Prompt,
    again_tokens: int,
    reason: PlacementReason,
    fetch: "PrefixFetch | None",
) -> float:
    """Return what a prefill costs other prompts, in tokens of prefill work.

    ``again_tokens`` are those that the engine with most of the prompt cached saves. A
    prefix that is fetched is not prefilled again; its copy has a cost of its own.
    """
    extra_tokens = SHARED_WEIGHT * again_tokens
    if prompt.prefix_tokens < HOME_TOKENS or fetch is not None:
        return extra_tokens
    if reason is PlacementReason.SECOND_HOME:
        return extra_tokens + SECOND_TOKENS
    return extra_tokens + (
        AWAY_TOKENS if reason is PlacementReason.LEAST_LOADED else 0.0
    )


def prefill_work(tokens: int, cached: int) -> int:
    """Return the work of prefilling a prompt of which ``cached`` tokens are cached.

    The unit is a token that is prefilled without any context before it.
    """
    new = max(0, tokens - cached)
    pairs = new * (min(cached, tokens) + new / 2)
    return int(new + pairs * TOKENS_PER_PAIR)


def _excluding(replicas: list[Replica], avoid: Iterable[InstanceId]) -> list[Replica]:
    """Return the replicas that are not in ``avoid``."""
    avoided = set(avoid)
    return [rep for rep in replicas if rep.instance not in avoided]
