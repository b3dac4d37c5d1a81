"""Other hosts' load at replicas, from the digests they sent.

A single host sees only a small part of the load: an engine that looks idle to one host
looks idle to all, and all of them send there at once. With the other hosts' open
requests added, each host sees the whole queue, with the delay of one digest interval.

A few hosts send digests to each other directly. Of many, one in each failure domain
collects the digests of its domain's hosts, exchanges aggregates with the other domains'
collectors, and sends its hosts the aggregate of all.
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

# A host that has been silent for this long is taken to have no open requests.
DIGEST_TTL_SECONDS = 0.6
# Aggregates are sent five times a second: after this time several datagrams were lost,
# or the sender is gone.
AGGREGATE_TTL_SECONDS = 1.0
# A host that was heard from within this time counts as one that shares the limits.
MEMBER_TTL_SECONDS = 15.0
# A host may be partitioned from the others for this long before it takes them for gone.
PARTITION_SECONDS = 600.0
# How often senders are checked for expiry.
EXPIRY_CHECK_SECONDS = 0.1


@dataclass
class _ReplicaLoad:
    """Load at one replica, summed over senders; failures are the two highest."""

    in_flight: int = 0
    prefill_tokens: list[int] = field(default_factory=lambda: [0, 0, 0])
    failures: float = 0.0
    second_failures: float = 0.0

    def add(self, entry: LoadEntry, sign: int = 1) -> None:
        """Add a sender's load, or subtract it."""
        self.in_flight += sign * entry.in_flight
        for at, tokens in enumerate(entry.prefill_tokens):
            self.prefill_tokens[at] += sign * tokens

    def merge_failures(self, entry: LoadEntry) -> None:
        """Merge in a sender's failures, keeping the two highest."""
        found = sorted(
            (
                self.failures,
                self.second_failures,
                entry.failures,
                entry.second_failures,
            )
        )
        self.second_failures, self.failures = found[-2:]

    @property
    def is_empty(self) -> bool:
        """Return whether no load is left."""
        return not (self.in_flight or any(self.prefill_tokens))

    def entry(self, target: int) -> LoadEntry:
        """Return the load as a digest entry."""
        urgent, usual, patient = self.prefill_tokens
        return LoadEntry(
            target,
            self.in_flight,
            (urgent, usual, patient),
            self.failures,
            self.second_failures,
        )


NO_LOAD = _ReplicaLoad()


@dataclass
class _Sender:
    """The newest digest of one sender."""

    host: str
    sequence: int
    received_at: float
    hosts: int
    entries: dict[int, LoadEntry]


class PeerLoads:
    """The newest digest of each sender; times in seconds."""

    def __init__(self, host: str, domain: str = ""):
        """Leave out digests of ``host`` itself, which is in ``domain``."""
        self._host = host
        self._domain = domain
        self._hosts: dict[str, _Sender] = {}
        self._domains: dict[str, _Sender] = {}
        self._total: _Sender | None = None
        self._sums: dict[int, _ReplicaLoad] = {}
        self._failing: dict[int, dict[str, LoadEntry]] = {}
        self._heard_at: dict[str, float] = {}
        self._checked_at = float("-inf")
        self._max_hosts = 0
        self._max_hosts_at = float("-inf")
        # The highest count of a collector within the time of a partition.
        self._most_hosts = 0
        self._most_hosts_at = float("-inf")
        # Whether hosts of other domains are known through their collectors.
        self.uses_collectors = False
        # Whether this host is a collector, and so uses its own sums.
        self.is_collector = False
        # Whether any other host has told of requests under way.
        self.has_heard_of_work = False
        # This host's own load within the aggregates it receives.
        self.own_sent: tuple[LoadEntry, ...] = ()

    def receive(self, digest: LoadDigest, now: float) -> None:
        """Store a digest, unless a newer one of its sender is known."""
        if digest.host == self._host:
            return
        self._heard_at[digest.host] = now
        if any(entry.in_flight for entry in digest.entries):
            self.has_heard_of_work = True
        if digest.scope is Scope.ALL_HOSTS:
            self._receive_total(digest, now)
        elif digest.scope is Scope.DOMAIN:
            if digest.domain != self._domain:
                self._replace(self._domains, digest.domain, digest, now)
        elif not (self.uses_collectors and digest.domain != self._domain):
            self._replace(self._hosts, digest.host, digest, now)

    def _receive_total(self, digest: LoadDigest, now: float) -> None:
        if self._total is None or not self._is_outdated(self._total, digest, now):
            self._total = _sender(digest, now)
            self._record_host_count(digest.hosts, now)

    def _is_outdated(self, known: _Sender, digest: LoadDigest, now: float) -> bool:
        """Return whether a digest was overtaken by the one that is known.

        A restarted sender numbers its digests from the beginning: after a silence a
        lower number is accepted.
        """
        if known.host != digest.host or now - known.received_at >= DIGEST_TTL_SECONDS:
            return False
        return digest.sequence <= known.sequence

    def _replace(
        self, senders: dict[str, _Sender], name: str, digest: LoadDigest, now: float
    ) -> None:
        known = senders.get(name)
        if known is not None:
            if self._is_outdated(known, digest, now):
                return
            self._subtract(name, known)
        senders[name] = found = _sender(digest, now)
        for target, entry in found.entries.items():
            self._sums.setdefault(target, _ReplicaLoad()).add(entry)
            if entry.failures:
                self._failing.setdefault(target, {})[name] = entry

    def _subtract(self, name: str, sender: _Sender) -> None:
        """Remove a sender's load and failures from the sums."""
        for target, entry in sender.entries.items():
            if target in self._sums:
                self._sums[target].add(entry, -1)
            if entry.failures:
                self._failing.get(target, {}).pop(name, None)

    def _expire_silent(self, now: float) -> None:
        """Remove the load of senders that have fallen silent."""
        if now - self._checked_at < EXPIRY_CHECK_SECONDS:
            return
        self._checked_at = now
        for senders, ttl in (
            (self._hosts, DIGEST_TTL_SECONDS),
            (self._domains, AGGREGATE_TTL_SECONDS),
        ):
            for name, sender in senders.items():
                if sender.entries and now - sender.received_at >= ttl:
                    self._subtract(name, sender)
                    sender.entries = {}
        self._sums = {
            target: load for target, load in self._sums.items() if not load.is_empty
        }
        self._failing = {target: by for target, by in self._failing.items() if by}

    def _current_total(self, now: float) -> _Sender | None:
        """Return a collector's aggregate of all hosts, if this host may use it."""
        if self.is_collector or self._total is None:
            return None
        is_fresh = now - self._total.received_at < AGGREGATE_TTL_SECONDS
        return self._total if is_fresh else None

    def _load(self, instance: InstanceId, now: float) -> _ReplicaLoad:
        target = target_hash(instance)
        total = self._current_total(now)
        if total is None:
            self._expire_silent(now)
            return self._sums.get(target, NO_LOAD)
        entry = total.entries.get(target)
        if entry is None:
            return NO_LOAD
        load = _ReplicaLoad()
        load.add(entry)
        for own in self.own_sent:
            if own.target == target:
                load.add(own, -1)
        load.in_flight = max(0, load.in_flight)
        load.prefill_tokens = [max(0, tokens) for tokens in load.prefill_tokens]
        return load

    def in_flight(self, instance: InstanceId, now: float) -> int:
        """Return the other hosts' requests at a replica."""
        return self._load(instance, now).in_flight

    def prefill_tokens(self, instance: InstanceId, now: float) -> PrefillTokens:
        """Return the other hosts' pending prefill tokens at an engine, by urgency."""
        urgent, usual, patient = self._load(instance, now).prefill_tokens
        return urgent, usual, patient

    def failures(self, instance: InstanceId, now: float) -> float:
        """Return the failure weight that at least two hosts agree on.

        A partitioned host finds every replica failing; on its own it must not take them
        from the other hosts.
        """
        target = target_hash(instance)
        total = self._current_total(now)
        if total is not None:
            entry = total.entries.get(target)
            return 0.0 if entry is None else entry.second_failures
        self._expire_silent(now)
        load = _ReplicaLoad()
        for entry in self._failing.get(target, {}).values():
            load.merge_failures(entry)
        return load.second_failures

    def aggregate(
        self, own: tuple[LoadEntry, ...], scope: Scope, now: float
    ) -> tuple[LoadEntry, ...]:
        """Return this host's load and the others' summed, the busiest replicas first.

        A domain's aggregate holds the load of its own hosts only. Where a datagram has
        no room for all replicas, the busiest ones matter most.
        """
        self._expire_silent(now)
        senders = list(self._hosts.values())
        if scope is Scope.ALL_HOSTS:
            senders += self._domains.values()
        found: dict[int, _ReplicaLoad] = {}
        _add_all(found, own)
        for sender in senders:
            _add_all(found, sender.entries.values())
        entries = [load.entry(target) for target, load in found.items()]
        entries.sort(
            key=lambda entry: (entry.in_flight, entry.prefill_tokens), reverse=True
        )
        return tuple(entries)

    def domain_host_count(self, now: float) -> int:
        """Return how many hosts of this domain are alive, including this one."""
        return 1 + sum(
            now - sender.received_at < MEMBER_TTL_SECONDS
            for sender in self._hosts.values()
        )

    def total_host_count(self, now: float) -> int:
        """Return how many hosts a collector knows of."""
        others = sum(
            sender.hosts
            for sender in self._domains.values()
            if now - sender.received_at < MEMBER_TTL_SECONDS
        )
        found = self.domain_host_count(now) + others
        self._record_host_count(found, now)
        return found

    def _record_host_count(self, hosts: int, now: float) -> None:
        """Record the number of hosts; a lower one takes effect after a delay.

        A new collector has not heard from all hosts yet. If its count were used at
        once, each host would take a larger share of the limits, and all together would
        exceed them.
        """
        if hosts >= self._max_hosts or now - self._max_hosts_at >= MEMBER_TTL_SECONDS:
            self._max_hosts = hosts
            self._max_hosts_at = now
        is_old = now - self._most_hosts_at >= PARTITION_SECONDS
        if hosts >= self._most_hosts or is_old:
            self._most_hosts = hosts
            self._most_hosts_at = now

    def heard_host_count(self, now: float) -> int:
        """Return how many other hosts sent a digest recently."""
        return sum(now - at < MEMBER_TTL_SECONDS for at in self._heard_at.values())

    def member_count(self, now: float) -> int:
        """Return how many other hosts there are, by own count or a collector's."""
        heard = self.heard_host_count(now)
        if now - self._max_hosts_at < MEMBER_TTL_SECONDS:
            return max(heard, self._max_hosts - 1)
        return heard

    def hears_most(self, seconds: float, now: float) -> bool:
        """Return whether most of the others were heard of within some seconds.

        They are those of the time of a partition, directly or through collectors.
        """
        found = [(1, sender.received_at) for sender in self._hosts.values()]
        found += [(each.hosts, each.received_at) for each in self._domains.values()]
        if self.uses_collectors and not self.is_collector:
            # Only its collector tells this host of the others.
            total = self._total
            found = [] if total is None else [(total.hosts - 1, total.received_at)]
        lately = sum(hosts for hosts, at in found if now - at < PARTITION_SECONDS)
        heard = sum(hosts for hosts, at in found if now - at < seconds)
        return 2 * heard >= lately

    def most_members(self, now: float) -> int:
        """Return how many other hosts there were lately, also those silent since."""
        heard = sum(now - at < PARTITION_SECONDS for at in self._heard_at.values())
        if now - self._most_hosts_at < PARTITION_SECONDS:
            return max(heard, self._most_hosts - 1)
        return heard

    def heard_since(self, host: str, time: float) -> bool:
        """Return whether a host sent a digest after a time."""
        return self._heard_at.get(host, float("-inf")) >= time

    def was_heard(self, host: str, now: float) -> bool:
        """Return whether a host sent a digest recently."""
        at = self._heard_at.get(host)
        return at is not None and now - at < MEMBER_TTL_SECONDS


def _sender(digest: LoadDigest, now: float) -> _Sender:
    entries = {entry.target: entry for entry in digest.entries}
    return _Sender(digest.host, digest.sequence, now, digest.hosts, entries)


def _add_all(found: dict[int, _ReplicaLoad], entries: Iterable[LoadEntry]) -> None:
    for entry in entries:
        load = found.setdefault(entry.target, _ReplicaLoad())
        load.add(entry)
        load.merge_failures(entry)
