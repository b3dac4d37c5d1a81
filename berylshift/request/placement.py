"""Where a request goes: which replica answers it, which engine reads its prompt.

A prompt's shared parts are dear to read and cheap to keep, so each set of shared
parts has homes that all hosts compute alike, without a message: the first engines of
a rendezvous order. Prompts go to their home unless its queue is so long that reading
the shared parts anew elsewhere is quicker.
"""

import random
from collections.abc import Iterable
from enum import StrEnum
from typing import Protocol

import msgspec

from berylshift.ids import DomainName, InstanceId
from berylshift.messages.load_digest import Urgency
from berylshift.messages.replicas import Replica
from berylshift.messages.routed import Prompt
from berylshift.process.directory.pools import Pool
from berylshift.process.gossip.peer_loads import PeerLoads
from berylshift.process.targets.engine_speeds import EngineSpeeds
from berylshift.process.targets.prefix_cache_index import PrefixCacheIndex
from berylshift.process.targets.target_load import TargetLoad, TargetLoads

# Shared parts shorter than this are read in less time than a hop to their home saves.
HOME_TOKENS = 1000
# Replicas looked at in a pool; of more than these, so many are drawn. Two drawn ones
# already avoid long queues; a dozen make the worst of them unlikely.
LOOKED_AT = 12
# Parts that no engine keeps are read at one of their homes unless both are this many
# tokens busier than another engine: hosts that have not heard of each other yet meet
# there.
AWAY_TOKENS = 37_000
# The same for the second home: each spill has the parts read twice and kept twice.
SECOND_TOKENS = 20_000
# Prompts up to this size may be read by the engine that answers: they stop its streams
# for less than a pause may last.
DIRECT_TOKENS = 2048
# What a prompt read apart loses on its way to the engine that answers, as tokens that
# are read meanwhile.
APART_TOKENS = 6_000
# What reading shared parts anew costs others, as a multiple of its own time: the
# engine's queue grows by it, and other prompts' parts yield their memory.
SHARED_WEIGHT = 1.5
# An engine that answers reads at half the speed, between the tokens of other requests
# (the engines' published interface).
ANSWERING_READ_SHARE = 0.5
# Tokens' worth of reading that each pair of a new token and one before it costs:
# reading slows as the context grows.
TOKENS_PER_PAIR = 3.2e-5
# Prompt tokens that a request waiting at an engine is taken to have.
WAITING_TOKENS = 4_000
# Tokens of less urgent prompts that a more urgent one is taken to wait for at most: an
# engine finishes the prompt that it reads.
BEGUN_TOKENS = 8_000
# How much longer a KV cache takes to another domain (the engines' published interface).
AWAY_MOVE_FACTOR = 2
# Seconds of waiting that a hop to another domain is worth avoiding: callers lose 2 ms,
# and bytes between domains are dear. A prompt's text goes to two engines, so it weighs
# by its size, as this part of the time in which it is read.
DOMAIN_SECONDS = 0.01
DOMAIN_READ_SHARE = 0.3
# Seconds that one severe failure just now weighs.
FAILURE_SECONDS = 0.4
# Seconds of work of one request at a plain service.
PLAIN_SECONDS = 0.03
JITTER_SECONDS = 0.002


class Reason(StrEnum):
    """Why a request goes where it goes."""

    HOME = "home"
    WARM = "warm"
    SECOND_HOME = "second-home"
    LEAST_LOADED = "least-loaded"


class Placement(msgspec.Struct, frozen=True):
    """A replica, why, the seconds predicted there, and the tokens it has to read.

    ``weight`` is what the choice goes by: the seconds, and what others pay for it.
    ``ahead`` is what is known to be before it: tokens at an engine that reads,
    requests at one that answers; ``again``: the tokens of shared parts that an engine
    which reads is not known to keep.
    """

    target: Replica
    reason: Reason
    seconds: float
    tokens: int = 0
    weight: float = 0.0
    ahead: float = 0.0
    again: int = 0


class Placing(Protocol):
    """Chooses replicas; ``None``: there is none left."""

    def plain(
        self, pool: Pool, avoid: Iterable[InstanceId], now: float
    ) -> Placement | None:
        """Return the place of a request without a prompt."""

    def reader(
        self,
        pool: Pool,
        prompt: Prompt,
        urgency: Urgency,
        avoid: Iterable[InstanceId],
        now: float,
    ) -> Placement | None:
        """Return the engine that should read a prompt; ``None``: none reads apart."""

    def answerer(
        self,
        pool: Pool,
        prompt: Prompt,
        reader: Replica | None,
        avoid: Iterable[InstanceId],
        now: float,
    ) -> Placement | None:
        """Return the engine that should answer what ``reader`` has read."""

    def note_sent(self, place: Placement, prompt: Prompt, now: float) -> None:
        """Note that a prompt goes where a placement says."""


class Placer:
    """Chooses by predicted time to the first piece of the answer."""

    def __init__(
        self,
        loads: TargetLoads,
        peers: PeerLoads,
        warm: PrefixCacheIndex,
        speeds: EngineSpeeds,
        domain: DomainName,
        rng: random.Random,
    ):
        """Choose for a host in ``domain``."""
        self._speeds = speeds
        self._loads = loads
        self._peers = peers
        self._warm = warm
        self._domain = domain
        self._rng = rng

    def plain(
        self, pool: Pool, avoid: Iterable[InstanceId], now: float
    ) -> Placement | None:
        """Return the place of a request without a prompt."""
        places = [
            self._plain_place(rep, now)
            for rep in self._some(_without(pool.replicas, avoid))
        ]
        return min(places, key=lambda place: place.weight, default=None)

    def reader(
        self,
        pool: Pool,
        prompt: Prompt,
        urgency: Urgency,
        avoid: Iterable[InstanceId],
        now: float,
    ) -> Placement | None:
        """Return the engine that should read a prompt; ``None``: none reads apart."""
        homes = self._homes(pool, prompt)
        found = self._candidates(pool, prompt, homes)
        most_kept = max((self._kept(rep, prompt) for rep in found), default=0)
        places = [
            self._reading(rep, prompt, urgency, homes, most_kept, now)
            for rep in _without(found, avoid)
        ]
        best = min(places, key=lambda place: place.weight, default=None)
        if best is None or prompt.tokens > DIRECT_TOKENS:
            return best
        direct = self.answerer(pool, prompt, None, avoid, now)
        apart = best.seconds + APART_TOKENS / self._rate(best.target)
        if direct is not None and direct.seconds < apart:
            return None
        return best

    def answerer(
        self,
        pool: Pool,
        prompt: Prompt,
        reader: Replica | None,
        avoid: Iterable[InstanceId],
        now: float,
    ) -> Placement | None:
        """Return the engine that should answer what ``reader`` has read.

        Without a reader it reads the prompt itself.
        """
        places = [
            self._answering(rep, prompt, reader, now)
            for rep in self._some(_without(pool.answerers, avoid))
        ]
        return min(places, key=lambda place: place.weight, default=None)

    def _homes(self, pool: Pool, prompt: Prompt) -> tuple[Replica, ...]:
        """Return the homes of a prompt's shared parts; small ones have none."""
        if prompt.shared_tokens < HOME_TOKENS:
            return ()
        return pool.homes(prompt.shared[-1].part)

    def _candidates(
        self, pool: Pool, prompt: Prompt, homes: tuple[Replica, ...]
    ) -> list[Replica]:
        """Return the reading engines worth looking at.

        In a large pool these are the homes, the engines that keep the parts, and a
        few others: the work of a decision must not grow with the fleet.
        """
        if len(pool.readers) <= LOOKED_AT:
            return pool.readers
        found = {rep.instance: rep for rep in (*homes, *self._some(pool.readers))}
        if homes:
            for hashed in self._warm.engines_caching(prompt.shared[-1].part):
                keeper = pool.reader(hashed)
                if keeper is not None:
                    found[keeper.instance] = keeper
        return list(found.values())

    def _some(self, replicas: list[Replica]) -> list[Replica]:
        """Return all of a few replicas, or some of many."""
        if len(replicas) <= LOOKED_AT:
            return replicas
        return self._rng.sample(replicas, LOOKED_AT)

    def _reading(
        self,
        replica: Replica,
        prompt: Prompt,
        urgency: Urgency,
        homes: tuple[Replica, ...],
        most_kept: int,
        now: float,
    ) -> Placement:
        kept = self._kept(replica, prompt)
        tokens = reading_work(prompt.tokens, kept)
        backlog = self._backlog(replica, urgency, now)
        rate = self._rate(replica)
        seconds = (backlog + tokens) / rate
        reason = self._reason(replica, homes, kept >= prompt.shared_tokens)
        weight = seconds + _burden(prompt, kept, most_kept, reason) / rate
        weight += self._way(replica, prompt.tokens) + self._distrust(replica, now)
        again = max(0, prompt.shared_tokens - kept)
        return Placement(replica, reason, seconds, tokens, weight, backlog, again)

    def _rate(self, replica: Replica) -> float:
        return self._speeds.prefill_rate(replica.service)

    def _reason(
        self, replica: Replica, homes: tuple[Replica, ...], keeps_all: bool
    ) -> Reason:
        """Return why an engine is looked at.

        Warm is one that keeps all shared parts. The first of them are shared by most
        prompts and kept by every engine: taken for warmth, they scatter the prompts of
        one set of parts over all engines, and each of these reads the parts anew.
        """
        if homes and replica is homes[0]:
            return Reason.HOME
        if homes and keeps_all:
            return Reason.WARM
        return Reason.SECOND_HOME if replica in homes else Reason.LEAST_LOADED

    def _kept(self, replica: Replica, prompt: Prompt) -> int:
        """Return the tokens that an engine is likely to keep of a prompt."""
        kept = 0
        room = self._speeds.kv_capacity_tokens(replica.service)
        for part in prompt.shared:
            if not self._warm.is_cached(part.part, replica.instance, room):
                break
            kept += part.tokens
        return kept

    def note_sent(self, place: Placement, prompt: Prompt, now: float) -> None:
        """Note that a prompt goes where a placement says."""
        if prompt.shared_tokens >= HOME_TOKENS:
            for part in prompt.shared:
                self._warm.note_sent(part.part, part.tokens, place.target.instance, now)

    def _backlog(self, replica: Replica, urgency: Urgency, now: float) -> float:
        """Return the tokens that are read before a new prompt's, as far as known."""
        load = self._loads.of(replica.instance)
        others = self._peers.prefill_tokens(replica.instance, now)
        known = sum(load.prefill_tokens[: urgency + 1]) + sum(others[: urgency + 1])
        patient = sum(load.prefill_tokens[urgency + 1 :]) + sum(others[urgency + 1 :])
        known += min(BEGUN_TOKENS, patient)
        return max(known, load.waiting(now) * WAITING_TOKENS)

    def _answering(
        self, replica: Replica, prompt: Prompt, reader: Replica | None, now: float
    ) -> Placement:
        load, service = self._loads.of(replica.instance), replica.service
        running = self._running(replica, load, now)
        seconds = running * self._speeds.seconds_per_running_request(service)
        waiting = max(0.0, running + 1 - replica.slots)
        seconds += waiting * self._speeds.slot_seconds(service, replica.slots)
        backlog = sum(load.prefill_tokens) + sum(
            self._peers.prefill_tokens(replica.instance, now)
        )
        tokens = 0
        if reader is None:
            tokens = reading_work(prompt.tokens, 0)
        else:
            move = self._speeds.kv_transfer_seconds(service, prompt.tokens)
            near = reader.domain == replica.domain
            seconds += move if near else AWAY_MOVE_FACTOR * move
        seconds += (backlog + tokens) / (ANSWERING_READ_SHARE * self._rate(replica))
        weight = seconds + self._way(replica, prompt.tokens)
        weight += self._distrust(replica, now)
        return Placement(replica, Reason.LEAST_LOADED, seconds, tokens, weight, running)

    def _plain_place(self, replica: Replica, now: float) -> Placement:
        load = self._loads.of(replica.instance)
        busy = self._running(replica, load, now) + load.waiting(now)
        seconds = PLAIN_SECONDS * busy / max(1, replica.slots)
        weight = seconds + self._way(replica) + self._distrust(replica, now)
        return Placement(replica, Reason.LEAST_LOADED, seconds, 0, weight)

    def _running(self, replica: Replica, load: TargetLoad, now: float) -> float:
        known = load.in_flight + self._peers.in_flight(replica.instance, now)
        return max(known, load.running(now))

    def _way(self, replica: Replica, tokens: int = 0) -> float:
        """Return the seconds that distance weighs; a hop itself takes 1 ms."""
        jitter = JITTER_SECONDS * self._rng.random()
        if replica.domain == self._domain:
            return jitter
        read_seconds = tokens / self._rate(replica)
        return DOMAIN_SECONDS + DOMAIN_READ_SHARE * read_seconds + jitter

    def _distrust(self, replica: Replica, now: float) -> float:
        """Return the seconds that recent failures weigh.

        They only order replicas: where all have failed, none is slower for it, and a
        request is not refused as too late.
        """
        failures = self._loads.of(replica.instance).failures(now)
        told = self._peers.failures(replica.instance, now)
        return FAILURE_SECONDS * max(failures, told)


def _burden(prompt: Prompt, kept: int, most_kept: int, reason: Reason) -> float:
    """Return what others pay for a reading, as tokens that are read meanwhile."""
    least = reading_work(prompt.tokens, most_kept)
    burden = SHARED_WEIGHT * (reading_work(prompt.tokens, kept) - least)
    if prompt.shared_tokens < HOME_TOKENS:
        return burden
    if reason is Reason.SECOND_HOME:
        return burden + SECOND_TOKENS
    return burden + (AWAY_TOKENS if reason is Reason.LEAST_LOADED else 0.0)


def reading_work(tokens: int, kept: int) -> int:
    """Return the work of reading a prompt of which ``kept`` tokens are kept.

    It is told in tokens that are read without any before them.
    """
    new = max(0, tokens - kept)
    pairs = new * (min(kept, tokens) + new / 2)
    return int(new + pairs * TOKENS_PER_PAIR)


def _without(replicas: list[Replica], avoid: Iterable[InstanceId]) -> list[Replica]:
    """Return the replicas that have not been tried."""
    tried = set(avoid)
    return [rep for rep in replicas if rep.instance not in tried]
