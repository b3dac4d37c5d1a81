"""What a host tells the others of its work, and whom; a decision apart from sockets.

Told by each host to each other one, digests grow with the square of the hosts, and of
many hosts most would lapse before their next one comes. So only few hosts tell each
other directly. Of more, one in each failure domain collects: hosts tell it alone,
collectors tell each other their domains' sums, and each tells its hosts the sum of all.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from berylshift.messages.load_digest import LoadDigest, LoadEntry, Scope, StoreStatus
from berylshift.process.gossip.collector import COLLECTORS, Collecting
from berylshift.process.gossip.digest_builder import DigestMaker, DigestParts
from berylshift.process.gossip.election import Election, rank
from berylshift.process.gossip.host_list import HostList

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
# Hosts that read the store's feeds for all: one may stand still unnoticed for a second.
FOLLOWERS = 2


class Role(StrEnum):
    """What a host may do for others."""

    COLLECTOR = "collector"
    FOLLOWER = "follower"


@dataclass
class Telling:
    """A digest and the addresses it goes to."""

    digest: LoadDigest
    addresses: list[str]


class Teller:
    """Decides what is told; times in seconds on the monotonic clock."""

    def __init__(
        self,
        parts: DigestParts,
        hosts: HostList,
        byte_budget: int,
        on_role: Callable[[Role, bool], None],
    ):
        """Tell ``hosts`` of ``parts``, within ``byte_budget`` bytes a second.

        ``on_role`` is told of each role taken or left.
        """
        self._parts = parts
        self._hosts = hosts
        self._byte_budget = byte_budget
        self._on_role = on_role
        self._maker = DigestMaker(parts)
        self._collecting = Collecting(parts, self._maker, hosts)
        self._collectors = Election(parts.host, COLLECTORS)
        self._followers = Election(parts.host, FOLLOWERS)
        self._probed_at: dict[str, float] = {}
        self._last: tuple[LoadEntry, ...] = ()
        self._last_at = float("-inf")
        self._told_word: StoreStatus | None = None
        self._greeted = False
        self._told_collectors: list[str] = []

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
        if self._collectors.holds or parts.watch.reads_feeds or self._last:
            return False
        if parts.quarantine.has_updates(now) or parts.usage.has_updates(now):
            return False
        if parts.throttle.to_tell(now, own_alone=True):
            return False
        return not (parts.loads.entries(now) or parts.warm.to_tell(now))

    def _direct_seconds(self) -> float:
        """Return how often all others may be told within the budget of bytes."""
        return len(self._hosts) * DIGEST_BYTES / self._byte_budget

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
        parts.warm.heard(digest.prefills)
        parts.phases.apply_updates(digest.phases, now)
        parts.quarantine.merge(
            digest.crashes, digest.finished, now, self._is_near(digest)
        )
        parts.throttle.heard_of(digest.limits, now)
        self._hear_usage(digest)
        if digest.reads_feeds:
            self._followers.heard(digest.host, now)
        if digest.scope is not Scope.HOST:
            self._heard_collector(digest, now)
        if self._collectors.holds:
            self._collecting.pass_on(digest, now)
        return digest.store_status is not None and parts.watch.receive(
            digest.store_status
        )

    def _hear_usage(self, digest: LoadDigest) -> None:
        usage = self._parts.usage
        usage.mark_done(digest.usage_done)
        if digest.scope is Scope.DOMAIN:
            usage.merge_domain(digest.domain, digest.runs)
        else:
            usage.merge_host(digest.host, digest.domain, digest.started_ms, digest.runs)

    def duty_place(self, duty: str, now: float) -> int | None:
        """Return how many hosts go before this one for a duty; ``None``: it is not to.

        Duties are spread: each has an order of its own among the hosts that hear of
        all others' work.
        """
        if self.is_gathered:
            if not self._collectors.holds:
                return None
            others = self._collecting.heard_collectors(now)
        else:
            peers = self._parts.peers
            others = [host for host in self._hosts.names() if peers.heard(host, now)]
        own = rank(f"{duty}/{self._parts.host}")
        return sum(rank(f"{duty}/{host}") < own for host in others)

    def _is_near(self, digest: LoadDigest) -> bool:
        """Return whether a host tells what a collector has to tell on."""
        if not self.is_gathered or digest.scope is not Scope.HOST:
            return False
        return digest.domain == self._parts.domain

    def _heard_collector(self, digest: LoadDigest, now: float) -> None:
        if digest.domain == self._parts.domain:
            self._collectors.heard(digest.host, now)
        else:
            self._collecting.heard_collector(digest, now)

    def due(self, now: float) -> list[Telling]:
        """Return what is to be told now."""
        if not self._hosts.was_read:
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
        self._set_follows(self._followers.decide(self._hosts.place, now))
        parts.peers.gathered = parts.peers.collects = False
        digest = self._changed_digest(now)
        if digest is None:
            return []
        names = [host for host in self._hosts.names() if self._is_due(host, now)]
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
        phases = parts.phases.updates_to_send(now)
        word = parts.watch.status() if parts.watch.reads_feeds else None
        changed = entries != self._last or bool(reads) or self._is_news(word)
        changed = changed or parts.quarantine.has_updates(now)
        changed = changed or parts.usage.has_updates(now)
        changed = changed or bool(parts.throttle.to_tell(now, own_alone=True))
        if not changed and now - self._last_at < REPEAT_SECONDS:
            return None
        idle = not entries and not phases and not parts.watch.reads_feeds
        if not changed and idle and now - self._last_at < PROBE_SECONDS:
            return None
        self._last, self._last_at = entries, now
        return self._maker.make(entries, reads, now)

    def _is_news(self, word: StoreStatus | None) -> bool:
        """Return whether a follower has read of a change that it has yet to tell."""
        if word is None:
            return False
        told, self._told_word = self._told_word, word
        if told is None:
            return True
        routes, replicas = told.routes, told.replicas
        return (routes.last_change, replicas.last_change) != (
            word.routes.last_change,
            word.replicas.last_change,
        )

    def _addresses(self, names: list[str]) -> list[str]:
        found = (self._hosts.address(name) for name in names)
        return [address for address in found if address is not None]

    # Many hosts

    def _decide_roles(self, now: float) -> None:
        parts = self._parts
        former = self._collectors.holds
        holds = self._collectors.decide(self._hosts.place_in_domain, now)
        parts.peers.gathered = True
        parts.peers.collects = holds
        if holds != former:
            self._on_role(Role.COLLECTOR, holds)
        if holds:
            # Collectors are few and hear each other; none of them waits for places.
            self._set_follows(self._followers.decide(0, now))
        else:
            self._followers.resign()
            self._set_follows(False)

    def _set_follows(self, follows: bool) -> None:
        if follows != self._parts.watch.reads_feeds:
            self._parts.watch.reads_feeds = follows
            self._on_role(Role.FOLLOWER, follows)

    def _to_collector(self, now: float) -> list[Telling]:
        """Tell the collector alone; the first digest greets all of the domain.

        A collector that does not know this host reads the hosts' rows then.
        """
        names = self._collectors.holders(now)[:COLLECTORS]
        if names != self._told_collectors:
            self._told_collectors = names
            self._parts.usage.resend_own_counts()
        digest = self._changed_digest(now)
        if digest is None:
            return []
        self._parts.peers.told = digest.entries
        if not self._greeted:
            self._greeted = True
            names = [rec.host for rec in self._hosts.neighbours()]
        return [Telling(digest, self._addresses(names))]

    def _sums(self, now: float) -> list[Telling]:
        """Tell the domain's sum to the other collectors, and the whole to its hosts."""
        self._collecting.note_own_reads(now)
        others = self._addresses(self._collecting.other_collectors(now))
        neighbours = [rec.address for rec in self._hosts.neighbours()]
        return [
            Telling(self._collecting.domain_sum(now), others),
            Telling(self._collecting.fleet_sum(now), neighbours),
        ]
