"""Other hosts' work at replicas, as their datagrams told it.

A host alone sees a small part of the work: the engine that looks idle to it is idle to
all, and all send there at once. With the others' open work added, each host sees the
whole queue, a datagram's interval late.

Few hosts tell each other directly. Of many, one in each failure domain collects what
its domain's hosts tell, exchanges sums with the other domains' collectors, and tells
its hosts the sum of all.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from berylshift.ids import InstanceId
from berylshift.messages.load_digest import (
    LoadDigest,
    LoadEntry,
    PrefillTokens,
    Scope,
    target_hash,
)

# A host that has been silent for this long has no open work as far as is known.
LIFE_SECONDS = 0.6
# Sums are told five times a second: one that is older has lost several datagrams, or
# its teller is gone.
SUM_LIFE_SECONDS = 1.0
# A host that was heard of within this time counts as one that shares the limits.
MEMBER_SECONDS = 15.0
# How often silent hosts are looked for.
LOOK_SECONDS = 0.1


@dataclass
class _Work:
    """Work at one replica, summed over tellers; failures are the two highest."""

    in_flight: int = 0
    reading: list[int] = field(default_factory=lambda: [0, 0, 0])
    failures: float = 0.0
    second: float = 0.0

    def add(self, entry: LoadEntry, sign: int = 1) -> None:
        """Add a teller's work, or take it off."""
        self.in_flight += sign * entry.in_flight
        for at, tokens in enumerate(entry.prefill_tokens):
            self.reading[at] += sign * tokens

    def hold_against(self, entry: LoadEntry) -> None:
        """Take a teller's failures over if they are among the two highest."""
        found = sorted(
            (self.failures, self.second, entry.failures, entry.second_failures)
        )
        self.second, self.failures = found[-2:]

    @property
    def is_none(self) -> bool:
        """Return whether no work is left."""
        return not (self.in_flight or any(self.reading))

    def entry(self, target: int) -> LoadEntry:
        """Return the work as a digest tells it."""
        urgent, usual, patient = self.reading
        return LoadEntry(
            target, self.in_flight, (urgent, usual, patient), self.failures, self.second
        )


NO_WORK = _Work()


@dataclass
class _Teller:
    """The newest digest of one teller."""

    sender: str
    sequence: int
    heard_at: float
    hosts: int
    entries: dict[int, LoadEntry]


class PeerLoads:
    """The newest digest of each teller; times in seconds."""

    def __init__(self, host: str, domain: str = ""):
        """Leave out digests of ``host`` itself, which is in ``domain``."""
        self._host = host
        self._domain = domain
        self._hosts: dict[str, _Teller] = {}
        self._domains: dict[str, _Teller] = {}
        self._fleet: _Teller | None = None
        self._sums: dict[int, _Work] = {}
        self._failing: dict[int, dict[str, LoadEntry]] = {}
        self._heard_at: dict[str, float] = {}
        self._looked_at = float("-inf")
        self._most_hosts = 0
        self._most_hosts_at = float("-inf")
        # Whether hosts of other domains are heard through their collectors.
        self.gathered = False
        # Whether this host collects, and so goes by its own sums.
        self.collects = False
        # What this host's work was in the sums that it is told: not another host's.
        self.told: tuple[LoadEntry, ...] = ()

    def take(self, digest: LoadDigest, now: float) -> None:
        """Take over a digest, unless a newer one of its teller was heard."""
        if digest.host == self._host:
            return
        self._heard_at[digest.host] = now
        if digest.scope is Scope.FLEET:
            self._take_fleet(digest, now)
        elif digest.scope is Scope.DOMAIN:
            if digest.domain != self._domain:
                self._replace(self._domains, digest.domain, digest, now)
        elif not (self.gathered and digest.domain != self._domain):
            self._replace(self._hosts, digest.host, digest, now)

    def _take_fleet(self, digest: LoadDigest, now: float) -> None:
        if self._fleet is None or not self._is_old(self._fleet, digest, now):
            self._fleet = _teller(digest, now)
            self._note_hosts(digest.hosts, now)

    def _is_old(self, known: _Teller, digest: LoadDigest, now: float) -> bool:
        """Return whether a datagram was overtaken by the one that is known.

        A teller that starts again counts anew; after a silence a lower number counts.
        """
        if known.sender != digest.host or now - known.heard_at >= LIFE_SECONDS:
            return False
        return digest.sequence <= known.sequence

    def _replace(
        self, tellers: dict[str, _Teller], name: str, digest: LoadDigest, now: float
    ) -> None:
        known = tellers.get(name)
        if known is not None:
            if self._is_old(known, digest, now):
                return
            self._remove(name, known)
        tellers[name] = found = _teller(digest, now)
        for target, entry in found.entries.items():
            self._sums.setdefault(target, _Work()).add(entry)
            if entry.failures:
                self._failing.setdefault(target, {})[name] = entry

    def _remove(self, name: str, teller: _Teller) -> None:
        """Take a teller's work and its word on failures off."""
        for target, entry in teller.entries.items():
            if target in self._sums:
                self._sums[target].add(entry, -1)
            if entry.failures:
                self._failing.get(target, {}).pop(name, None)

    def _forget_silent(self, now: float) -> None:
        """Take the work of tellers off that have fallen silent."""
        if now - self._looked_at < LOOK_SECONDS:
            return
        self._looked_at = now
        for tellers, life in (
            (self._hosts, LIFE_SECONDS),
            (self._domains, SUM_LIFE_SECONDS),
        ):
            for name, teller in tellers.items():
                if teller.entries and now - teller.heard_at >= life:
                    self._remove(name, teller)
                    teller.entries = {}
        self._sums = {
            target: work for target, work in self._sums.items() if not work.is_none
        }
        self._failing = {target: by for target, by in self._failing.items() if by}

    def _told_sum(self, now: float) -> _Teller | None:
        """Return the sum of all that a collector told, if it may be gone by."""
        if self.collects or self._fleet is None:
            return None
        is_fresh = now - self._fleet.heard_at < SUM_LIFE_SECONDS
        return self._fleet if is_fresh else None

    def _work(self, instance: InstanceId, now: float) -> _Work:
        target = target_hash(instance)
        fleet = self._told_sum(now)
        if fleet is None:
            self._forget_silent(now)
            return self._sums.get(target, NO_WORK)
        entry = fleet.entries.get(target)
        if entry is None:
            return NO_WORK
        work = _Work()
        work.add(entry)
        for own in self.told:
            if own.target == target:
                work.add(own, -1)
        work.in_flight = max(0, work.in_flight)
        work.reading = [max(0, tokens) for tokens in work.reading]
        return work

    def in_flight(self, instance: InstanceId, now: float) -> int:
        """Return the other hosts' requests at a replica."""
        return self._work(instance, now).in_flight

    def reading(self, instance: InstanceId, now: float) -> PrefillTokens:
        """Return the prompt tokens that others have an engine read, by urgency."""
        urgent, usual, patient = self._work(instance, now).reading
        return urgent, usual, patient

    def failures(self, instance: InstanceId, now: float) -> float:
        """Return the failures that at least two hosts agree on.

        One host that is cut off finds every replica failing; its word alone must not
        take them from the others.
        """
        target = target_hash(instance)
        fleet = self._told_sum(now)
        if fleet is not None:
            entry = fleet.entries.get(target)
            return 0.0 if entry is None else entry.second_failures
        self._forget_silent(now)
        work = _Work()
        for entry in self._failing.get(target, {}).values():
            work.hold_against(entry)
        return work.second

    def summed(
        self, own: tuple[LoadEntry, ...], scope: Scope, now: float
    ) -> tuple[LoadEntry, ...]:
        """Return this host's work and the others', the busiest replicas first.

        Of a domain's sum only the work of its own hosts is part. Where a datagram
        can't hold all, the busiest replicas are those that matter.
        """
        self._forget_silent(now)
        tellers = list(self._hosts.values())
        if scope is Scope.FLEET:
            tellers += self._domains.values()
        found: dict[int, _Work] = {}
        _add_all(found, own)
        for teller in tellers:
            _add_all(found, teller.entries.values())
        entries = [work.entry(target) for target, work in found.items()]
        entries.sort(
            key=lambda entry: (entry.in_flight, entry.prefill_tokens), reverse=True
        )
        return tuple(entries)

    def domain_hosts(self, now: float) -> int:
        """Return how many hosts of this domain were heard of, this one among them."""
        return 1 + sum(
            now - teller.heard_at < MEMBER_SECONDS for teller in self._hosts.values()
        )

    def fleet_hosts(self, now: float) -> int:
        """Return how many hosts a collector knows of."""
        others = sum(
            teller.hosts
            for teller in self._domains.values()
            if now - teller.heard_at < MEMBER_SECONDS
        )
        found = self.domain_hosts(now) + others
        self._note_hosts(found, now)
        return found

    def _note_hosts(self, hosts: int, now: float) -> None:
        """Note how many hosts there are; a lower number counts after a while.

        A new collector has not heard of all yet. Taken for fewer, each host would use
        a larger share of the limits, and all together more than they may.
        """
        if hosts >= self._most_hosts or now - self._most_hosts_at >= MEMBER_SECONDS:
            self._most_hosts = hosts
            self._most_hosts_at = now

    def heard_hosts(self, now: float) -> int:
        """Return how many other hosts were heard lately."""
        return sum(now - at < MEMBER_SECONDS for at in self._heard_at.values())

    def members(self, now: float) -> int:
        """Return how many other hosts there are, as they or a collector say."""
        heard = self.heard_hosts(now)
        if now - self._most_hosts_at < MEMBER_SECONDS:
            return max(heard, self._most_hosts - 1)
        return heard

    def heard(self, host: str, now: float) -> bool:
        """Return whether a host was heard of lately."""
        at = self._heard_at.get(host)
        return at is not None and now - at < MEMBER_SECONDS


def _teller(digest: LoadDigest, now: float) -> _Teller:
    entries = {entry.target: entry for entry in digest.entries}
    return _Teller(digest.host, digest.sequence, now, digest.hosts, entries)


def _add_all(found: dict[int, _Work], entries: Iterable[LoadEntry]) -> None:
    for entry in entries:
        work = found.setdefault(entry.target, _Work())
        work.add(entry)
        work.hold_against(entry)
