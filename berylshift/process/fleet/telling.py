"""What a host tells the others of its work, and whom; a decision apart from sockets.

Told by each host to each other one, digests grow with the square of the hosts: at 195
hosts each host heard 126 a second, which was most of its processor time and of the
bytes between domains, and still only one in three was fresh. So only few hosts tell
each other directly. Of more, one in each failure domain collects: hosts tell it alone,
collectors tell each other their domains' sums, and each tells its hosts the sum of all.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

from berylshift.messages.load_digest import (
    LoadDigest,
    LoadEntry,
    PartRead,
    Scope,
    StoreWord,
)
from berylshift.process.fleet.election import Election
from berylshift.process.fleet.expected_phases import ExpectedPhases
from berylshift.process.fleet.forwarded_reads import ForwardedReads
from berylshift.process.fleet.host_list import HostList
from berylshift.process.fleet.peer_loads import PeerLoads
from berylshift.process.fleet.store_watch import StoreWatch
from berylshift.process.fleet.target_load import TargetLoads
from berylshift.process.fleet.warm_parts import WarmParts

# Shorter than the time in which a usual prompt is read: a queue is seen as it grows.
TELL_SECONDS = 0.08
# A digest of a dozen engines on the wire, with its headers, in bytes.
DIGEST_BYTES = 130
# An unchanged digest is said again this often, so that it does not lapse.
REPEAT_SECONDS = 0.4
# A host that is not heard of is told only this often.
PROBE_SECONDS = 3.0
# How often a collector tells sums. Hosts that tell each other directly more seldom than
# this would know less than by sums: from there on hosts are gathered.
SUM_SECONDS = 0.2
# Reads in one digest of sums; with fifty replicas' work and the orders under way they
# fill a datagram.
MOST_READS = 32
# Collectors a domain: a second one would double what is told, for one second's gap in
# the sums when the first one is lost.
COLLECTORS = 1
# Hosts that read the store's feeds for all: one may stand still unnoticed for a second.
FOLLOWERS = 2


@dataclass
class Telling:
    """A digest and the addresses it goes to."""

    digest: LoadDigest
    addresses: list[str]


@dataclass
class TellerParts:
    """What a digest is made from."""

    host: str
    domain: str
    loads: TargetLoads
    peers: PeerLoads
    warm: WarmParts
    phases: ExpectedPhases
    watch: StoreWatch
    hosts: HostList
    rng: random.Random
    byte_budget: int


class Teller:
    """Decides what is told; times in seconds on the monotonic clock."""

    def __init__(self, parts: TellerParts, on_role: Callable[[str, bool], None]):
        """Tell of ``parts``; ``on_role`` is told of each role taken or left."""
        self._parts = parts
        self._on_role = on_role
        self._collectors = Election(parts.host, COLLECTORS)
        self._followers = Election(parts.host, FOLLOWERS)
        self._domain_collectors: dict[str, Election] = {}
        self._domain_reads = ForwardedReads()
        self._fleet_reads = ForwardedReads()
        self._probed_at: dict[str, float] = {}
        self._last: tuple[LoadEntry, ...] = ()
        self._last_at = float("-inf")
        self._told_word: StoreWord | None = None
        self._greeted = False
        self._sequence = 0
        self._turn = 0

    @property
    def is_gathered(self) -> bool:
        """Return whether there are too many hosts for each to tell all others."""
        return self._direct_seconds() > SUM_SECONDS

    @property
    def interval(self) -> float:
        """Return the seconds until there may be something to tell."""
        if not self.is_gathered:
            return max(TELL_SECONDS, self._direct_seconds())
        return SUM_SECONDS if self._collectors.holds else TELL_SECONDS

    def is_idle(self, now: float) -> bool:
        """Return whether there is nothing to tell until work comes."""
        parts = self._parts
        if self._collectors.holds or parts.watch.follows or self._last:
            return False
        return not (parts.loads.entries(now) or parts.warm.to_tell(now))

    def _direct_seconds(self) -> float:
        """Return how often all others may be told within the budget of bytes."""
        return len(self._parts.hosts) * DIGEST_BYTES / self._parts.byte_budget

    def listed(self) -> None:
        """Note that other hosts are listed than before: they are greeted."""
        self._greeted = False

    def minds_stranger(self, digest: LoadDigest) -> bool:
        """Return whether the sender of a digest, if not listed, has to be known.

        Where hosts are gathered, a collector has to know its hosts, and they it. Were
        each new host known to all at once, each start would have all read the rows.
        """
        if not self.is_gathered or self._collectors.holds:
            return True
        return digest.scope is not Scope.HOST

    def hear(self, digest: LoadDigest, now: float) -> bool:
        """Take over a digest; return whether it tells of news in the store."""
        parts = self._parts
        parts.peers.gathered = self.is_gathered
        parts.peers.take(digest, now)
        parts.warm.heard(digest.reads)
        parts.phases.heard(digest.phases, now)
        if digest.follows:
            self._followers.heard(digest.host, now)
        if digest.scope is not Scope.HOST:
            self._heard_collector(digest, now)
        if self._collectors.holds:
            self._pass_on(digest, now)
        return digest.word is not None and parts.watch.hear(digest.word)

    def _heard_collector(self, digest: LoadDigest, now: float) -> None:
        if digest.domain == self._parts.domain:
            self._collectors.heard(digest.host, now)
            return
        found = self._domain_collectors.get(digest.domain)
        if found is None:
            found = self._domain_collectors[digest.domain] = Election(
                self._parts.host, COLLECTORS
            )
        found.heard(digest.host, now)

    def _pass_on(self, digest: LoadDigest, now: float) -> None:
        """Keep reads that the other hosts have to hear of."""
        if digest.scope is Scope.HOST and digest.domain == self._parts.domain:
            self._domain_reads.note(digest.reads, now)
        if digest.scope is not Scope.FLEET:
            self._fleet_reads.note(digest.reads, now)

    def due(self, now: float) -> list[Telling]:
        """Return what is to be told now."""
        if not self._parts.hosts.was_read:
            return []
        if not self.is_gathered:
            return self._direct(now)
        self._decide_roles(now)
        if self._collectors.holds:
            return self._sums(now)
        return self._to_collector(now)

    # Few hosts

    def _direct(self, now: float) -> list[Telling]:
        parts = self._parts
        self._set_follows(self._followers.decide(parts.hosts.place, now))
        parts.peers.gathered = parts.peers.collects = False
        digest = self._changed_digest(now)
        if digest is None:
            return []
        names = [host for host in parts.hosts.names() if self._is_due(host, now)]
        return [Telling(digest, self._addresses(names))]

    def _is_due(self, host: str, now: float) -> bool:
        if self._parts.peers.heard(host, now):
            return True
        if now - self._probed_at.get(host, float("-inf")) < PROBE_SECONDS:
            return False
        self._probed_at[host] = now
        return True

    def _changed_digest(self, now: float) -> LoadDigest | None:
        """Return this host's own digest, if there is something to say."""
        parts = self._parts
        entries = parts.loads.entries(now)
        reads = parts.warm.to_tell(now)
        phases = parts.phases.to_tell(now)
        word = parts.watch.word() if parts.watch.follows else None
        changed = entries != self._last or bool(reads) or self._is_news(word)
        if not changed and now - self._last_at < REPEAT_SECONDS:
            return None
        idle = not entries and not phases and not parts.watch.follows
        if not changed and idle and now - self._last_at < PROBE_SECONDS:
            return None
        self._last, self._last_at = entries, now
        return self._digest(entries, reads, now, Scope.HOST, 1)

    def _is_news(self, word: StoreWord | None) -> bool:
        """Return whether a follower has read of a change that it has yet to tell."""
        if word is None:
            return False
        told, self._told_word = self._told_word, word
        if told is None:
            return True
        routes, replicas = told.routes, told.replicas
        return (routes.changed, replicas.changed) != (
            word.routes.changed,
            word.replicas.changed,
        )

    def _digest(
        self,
        entries: tuple[LoadEntry, ...],
        reads: tuple[PartRead, ...],
        now: float,
        scope: Scope,
        hosts: int,
    ) -> LoadDigest:
        parts = self._parts
        self._sequence += 1
        follows = parts.watch.follows
        tells_word = follows or scope is Scope.FLEET
        return LoadDigest(
            host=parts.host,
            sequence=self._sequence,
            entries=entries,
            reads=reads,
            phases=parts.phases.to_tell(now),
            scope=scope,
            domain=parts.domain,
            hosts=hosts,
            follows=follows,
            word=parts.watch.word() if tells_word else None,
        )

    def _addresses(self, names: list[str]) -> list[str]:
        found = (self._parts.hosts.address(name) for name in names)
        return [address for address in found if address is not None]

    # Many hosts

    def _decide_roles(self, now: float) -> None:
        parts = self._parts
        former = self._collectors.holds
        holds = self._collectors.decide(parts.hosts.place_in_domain, now)
        parts.peers.gathered = True
        parts.peers.collects = holds
        if holds != former:
            self._on_role("collector", holds)
        if holds:
            # Collectors are few and hear each other; none of them waits for places.
            self._set_follows(self._followers.decide(0, now))
        else:
            self._followers.resign()
            self._set_follows(False)

    def _set_follows(self, follows: bool) -> None:
        if follows != self._parts.watch.follows:
            self._parts.watch.follows = follows
            self._on_role("follower", follows)

    def _to_collector(self, now: float) -> list[Telling]:
        """Tell the collector alone; the first digest greets all of the domain.

        A collector that does not know this host reads the hosts' rows then.
        """
        digest = self._changed_digest(now)
        if digest is None:
            return []
        self._parts.peers.told = digest.entries
        names = self._collectors.holders(now)[:COLLECTORS]
        if not self._greeted:
            self._greeted = True
            names = [rec.host for rec in self._parts.hosts.neighbours()]
        return [Telling(digest, self._addresses(names))]

    def _sums(self, now: float) -> list[Telling]:
        """Tell the domain's sum to the other collectors, and the whole to its hosts."""
        parts = self._parts
        own, reads = parts.loads.entries(now), parts.warm.to_tell(now)
        self._domain_reads.note(reads, now)
        self._fleet_reads.note(reads, now)
        domain = self._digest(
            parts.peers.summed(own, Scope.DOMAIN, now),
            self._domain_reads.take(MOST_READS),
            now,
            Scope.DOMAIN,
            parts.peers.domain_hosts(now),
        )
        fleet = self._digest(
            parts.peers.summed(own, Scope.FLEET, now),
            self._fleet_reads.take(MOST_READS),
            now,
            Scope.FLEET,
            parts.peers.fleet_hosts(now),
        )
        neighbours = [rec.host for rec in parts.hosts.neighbours()]
        return [
            Telling(domain, self._addresses(self._other_collectors(now))),
            Telling(fleet, self._addresses(neighbours)),
        ]

    def _other_collectors(self, now: float) -> list[str]:
        """Return the other domains' collectors.

        Where none is heard, the host that should collect is told, and the others in
        turn: whoever collects there hears it and answers with sums of its own.
        """
        self._turn += 1
        found = []
        for domain, records in self._parts.hosts.other_domains().items():
            election = self._domain_collectors.get(domain)
            holders = election.holders(now) if election is not None else []
            if holders:
                found += holders
            else:
                found.append(records[0].host)
                found.append(records[self._turn % len(records)].host)
        return found
