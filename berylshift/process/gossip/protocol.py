"""Which load digests a host sends, when and to whom; free of any I/O.

If every host sent to every other one, digests would grow with the square of the hosts,
and with many hosts most would expire before their next one is due. So only few hosts
send to each other directly. Of more, one in each failure domain is the collector: hosts
send to it only, collectors send each other the aggregates of their domains, and each
sends its hosts the aggregate of all.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from berylshift.messages.load_digest import LoadDigest, LoadEntry, Scope, StoreStatus
from berylshift.process.gossip.collector import COLLECTORS_PER_DOMAIN, Collector
from berylshift.process.gossip.digest_builder import DigestBuilder, DigestSources
from berylshift.process.gossip.election import Election, order_key
from berylshift.process.gossip.host_list import HostList
from berylshift.process.targets.speed_gossip import ORIGINS, Origin
from berylshift.store.host_rows import HostRecord

# Shorter than the prefill of a usual prompt: a queue is seen while it grows.
SEND_SECONDS = 0.08
# Size on the wire of a digest of a dozen engines, with its headers.
DIGEST_BYTES = 130
# An unchanged digest is repeated this often, so that it does not expire.
REPEAT_SECONDS = 0.4
# How often a host that is not heard from is sent a digest.
PROBE_SECONDS = 3.0
# The first digests of a process, of which some may be lost, are sent to hosts that are
# not heard from every ``REPEAT_SECONDS``: they know it at its former address.
ANNOUNCEMENTS = 5
# How often a collector sends aggregates. Beyond this interval hosts that send to each
# other directly would know less than through collectors, so collectors are used.
AGGREGATE_SECONDS = 0.2
# Hosts that read the store's feeds for all; two, since one may be suspended unnoticed
# for a second.
FEED_READERS = 2


class HostRole(StrEnum):
    """What a host may do on behalf of other hosts, in load gossip and feed reads."""

    COLLECTOR = "collector"
    FEED_READER = "follower"


@dataclass
class OutgoingDigest:
    """A digest and the addresses it goes to."""

    digest: LoadDigest
    addresses: list[str]


class GossipProtocol:
    """Decides what is sent; times in seconds on the monotonic clock."""

    def __init__(
        self,
        sources: DigestSources,
        hosts: HostList,
        byte_budget: int,
        on_role: Callable[[HostRole, bool], None],
    ):
        """Send ``sources`` to ``hosts``, within ``byte_budget`` bytes a second.

        ``on_role`` is called with each role taken or given up.
        """
        self._sources = sources
        self._hosts = hosts
        self._byte_budget = byte_budget
        self._on_role = on_role
        self._builder = DigestBuilder(sources)
        self._collector = Collector(sources, self._builder, hosts)
        self._collectors = Election(sources.host, COLLECTORS_PER_DOMAIN)
        self._feed_readers = Election(sources.host, FEED_READERS)
        self._probed_at: dict[str, float] = {}
        self._sent_entries: tuple[LoadEntry, ...] = ()
        self._sent_at = float("-inf")
        self._sent_status: StoreStatus | None = None
        self._announced = False
        self._announcements_left = ANNOUNCEMENTS
        self._last_collectors: list[str] = []

    @property
    def uses_collectors(self) -> bool:
        """Return whether there are too many hosts for each to send to all others."""
        return self._direct_interval_seconds() > AGGREGATE_SECONDS

    @property
    def interval_seconds(self) -> float:
        """Return the seconds until there may be something to send."""
        if not self.uses_collectors:
            return max(SEND_SECONDS, self._direct_interval_seconds())
        return AGGREGATE_SECONDS if self._collectors.is_holder else SEND_SECONDS

    def is_idle(self, now: float) -> bool:
        """Return whether there is nothing to send until work comes."""
        sources = self._sources
        if (
            self._collectors.is_holder
            or sources.watch.reads_feeds
            or self._sent_entries
        ):
            return False
        if sources.quarantine.has_updates(now) or sources.usage.has_updates(now):
            return False
        if sources.throttle.updates_to_send(now, own_only=True):
            return False
        if sources.replica_speeds.count_new(Scope.HOST, now):
            return False
        if sources.handle_losses.has_updates(now):
            return False
        if sources.customer_demand.has_updates(now):
            return False
        if sources.replica_updates.has_updates(Scope.HOST, now):
            return False
        return not (
            sources.loads.entries(now) or sources.prefix_cache.prefills_to_send(now)
        )

    def _direct_interval_seconds(self) -> float:
        """Return how often the byte budget allows sending to all others."""
        return len(self._hosts) * DIGEST_BYTES / self._byte_budget

    def on_hosts_changed(self, joined: list[HostRecord], now: float) -> None:
        """Announce this host again, since the host list has changed.

        Hosts of other domains may not have read the rows that have ``joined`` yet.
        """
        for rec in joined:
            if rec.domain == self._sources.domain:
                self._sources.host_updates.add_read(rec, now)
        self._announced = False
        self._announcements_left = max(1, self._announcements_left)

    def must_know_sender(self, digest: LoadDigest) -> bool:
        """Return whether an unlisted sender requires a read of the hosts' rows.

        Where collectors are used, only a collector and its hosts have to know each
        other. If every host reacted to each new one, each start would make all of them
        read the rows.
        """
        if not self.uses_collectors or self._collectors.is_holder:
            return True
        return digest.scope is not Scope.HOST

    def learn_hosts(self, digest: LoadDigest, now: float) -> list[HostRecord]:
        """Take the records that a digest holds; return those that were news.

        Few hosts read the rows of new ones, which start together, at once: with each
        host that is added, the shares of limits change.
        """
        usable = [
            rec
            for rec in digest.joined
            if self.uses_collectors or rec.host in self._hosts
        ]
        found = [rec for rec in usable if self._hosts.learn(rec, now)]
        for rec in found:
            self._sources.host_updates.add(rec, self._origin(digest), now)
        if found:
            self._announcements_left = max(1, self._announcements_left)
        return found

    def receive(self, digest: LoadDigest, now: float) -> bool:
        """Process a digest; return whether the store has something new to read."""
        sources = self._sources
        sources.peers.uses_collectors = self.uses_collectors
        sources.peers.receive(digest, now)
        sources.prefix_cache.merge(digest.prefills, now)
        sources.phases.apply_updates(digest.phases, now)
        is_own_domain = self._is_own_domain(digest)
        sources.quarantine.merge(digest.crashes, digest.finished, now, is_own_domain)
        sources.quarantine.blocks.merge(digest.blocks, now, is_own_domain)
        sources.throttle.apply_updates(digest.limits, now)
        sources.replica_speeds.apply_updates(digest.speeds, now, self._origin(digest))
        sources.handle_losses.receive(digest, self.uses_collectors, now)
        sources.customer_demand.receive(digest, self.uses_collectors, now)
        sources.host_demand.receive(digest, now)
        self._receive_usage(digest)
        if digest.reads_feeds:
            self._feed_readers.record_holder(digest.host, now)
        if digest.scope is not Scope.HOST:
            self._record_collector(digest, now)
        if self._collectors.is_holder:
            self._collector.forward_prefills(digest, now)
        has_changes = digest.store_status is not None and sources.watch.receive(
            digest.store_status
        )
        # After the status, which tells whether the store has just recovered.
        origin = self._origin(digest)
        scopes = [scope for scope, origins in ORIGINS.items() if origin in origins]
        sources.replica_updates.receive(digest.replicas, scopes, now)
        return has_changes

    def _receive_usage(self, digest: LoadDigest) -> None:
        usage = self._sources.usage
        usage.mark_done(digest.usage_done)
        if digest.scope is Scope.DOMAIN:
            usage.merge_domain(digest.domain, digest.runs)
        else:
            usage.merge_host(digest.host, digest.domain, digest.started_ms, digest.runs)

    def task_rank(self, task: str, now: float) -> int | None:
        """Return how many hosts precede this one for a leader task.

        ``None``: this host is not eligible, since only hosts that know the load of all
        others are. Each task orders the hosts differently, so that tasks are spread
        over them.
        """
        if self.uses_collectors:
            if not self._collectors.is_holder:
                return None
            others = self._collector.known_collectors(now)
        else:
            peers = self._sources.peers
            others = [
                host for host in self._hosts.names() if peers.was_heard(host, now)
            ]
        own = order_key(f"{task}/{self._sources.host}")
        return sum(order_key(f"{task}/{host}") < own for host in others)

    def _is_own_domain(self, digest: LoadDigest) -> bool:
        """Return whether a collector has to forward what this sender reports."""
        if not self.uses_collectors or digest.scope is not Scope.HOST:
            return False
        return digest.domain == self._sources.domain

    def _origin(self, digest: LoadDigest) -> Origin:
        """Return whom a collector has to send this sender's updates to."""
        if self._is_own_domain(digest):
            return Origin.DOMAIN
        if self.uses_collectors and digest.scope is Scope.DOMAIN:
            return Origin.OTHER_DOMAIN
        return Origin.FINAL

    def _record_collector(self, digest: LoadDigest, now: float) -> None:
        if digest.domain == self._sources.domain:
            self._collectors.record_holder(digest.host, now)
        else:
            self._collector.record_collector(digest, now)

    def due(self, now: float) -> list[OutgoingDigest]:
        """Return the digests to send now."""
        if not self._hosts.is_loaded:
            return []
        if not self.uses_collectors:
            return self._direct(now)
        self._decide_roles(now)
        if self._collectors.is_holder:
            return self._aggregates(now)
        return self._to_collector(now)

    # Few hosts

    @property
    def _is_announcing(self) -> bool:
        """Return whether digests are still to be sent to all, heard from or not."""
        return self._announcements_left > 0 and not self.uses_collectors

    def _direct(self, now: float) -> list[OutgoingDigest]:
        sources = self._sources
        self._set_feed_reader(self._feed_readers.decide(self._hosts.rank, now))
        sources.peers.uses_collectors = sources.peers.is_collector = False
        heard, probed = self._due_hosts(now)
        if probed:
            # They may know this host at an older address.
            sources.host_updates.resend_own()
        digest = self._changed_digest(now)
        if digest is None:
            return []
        self._probed_at.update(dict.fromkeys(probed, now))
        if probed or len(heard) == len(self._hosts):
            self._announcements_left = max(0, self._announcements_left - 1)
        return [OutgoingDigest(digest, self._addresses(heard + probed))]

    def _due_hosts(self, now: float) -> tuple[list[str], list[str]]:
        """Return the hosts heard from, and those of the others that are due a probe."""
        heard, probed = [], []
        interval = REPEAT_SECONDS if self._is_announcing else PROBE_SECONDS
        for host in self._hosts.names():
            if self._sources.peers.was_heard(host, now):
                heard.append(host)
            elif now - self._probed_at.get(host, float("-inf")) >= interval:
                probed.append(host)
        return heard, probed

    def _changed_digest(self, now: float) -> LoadDigest | None:
        """Return this host's own digest if it has changed or must be repeated."""
        sources = self._sources
        entries = sources.loads.entries(now)
        prefills = sources.prefix_cache.prefills_to_send(now)
        phases = sources.phases.updates_to_send(now)
        status = sources.watch.status() if sources.watch.reads_feeds else None
        changed = (
            entries != self._sent_entries
            or bool(prefills)
            or self._is_new_status(status)
        )
        changed = changed or sources.quarantine.has_updates(now)
        changed = changed or sources.usage.has_updates(now)
        changed = changed or bool(sources.throttle.updates_to_send(now, own_only=True))
        changed = changed or sources.replica_speeds.count_new(Scope.HOST, now) > 0
        changed = changed or sources.handle_losses.has_updates(now)
        changed = changed or sources.customer_demand.has_updates(now)
        changed = changed or sources.replica_updates.has_updates(Scope.HOST, now)
        if not changed and now - self._sent_at < REPEAT_SECONDS:
            return None
        idle = not entries and not phases and not sources.watch.reads_feeds
        idle = idle and not self._is_announcing
        if not changed and idle and now - self._sent_at < PROBE_SECONDS:
            return None
        self._sent_entries, self._sent_at = entries, now
        return self._builder.build(entries, prefills, now)

    def _is_new_status(self, status: StoreStatus | None) -> bool:
        """Return whether a feed reader has read of a change that it has yet to send."""
        if status is None:
            return False
        sent, self._sent_status = self._sent_status, status
        if sent is None:
            return True
        routes, replicas = sent.routes, sent.replicas
        return (routes.last_change, replicas.last_change) != (
            status.routes.last_change,
            status.replicas.last_change,
        )

    def _addresses(self, names: list[str]) -> list[str]:
        found = (self._hosts.address(name) for name in names)
        return [address for address in found if address is not None]

    # Many hosts

    def _decide_roles(self, now: float) -> None:
        sources = self._sources
        was_holder = self._collectors.is_holder
        is_holder = self._collectors.decide(self._hosts.domain_rank, now)
        sources.peers.uses_collectors = True
        sources.peers.is_collector = is_holder
        if is_holder != was_holder:
            self._on_role(HostRole.COLLECTOR, is_holder)
        if is_holder:
            # Collectors are few and hear from each other, so no rank delays them.
            self._set_feed_reader(self._feed_readers.decide(0, now))
        else:
            self._feed_readers.resign()
            self._set_feed_reader(False)

    def _set_feed_reader(self, is_holder: bool) -> None:
        if is_holder != self._sources.watch.reads_feeds:
            self._sources.watch.reads_feeds = is_holder
            self._on_role(HostRole.FEED_READER, is_holder)

    def _to_collector(self, now: float) -> list[OutgoingDigest]:
        """Return the digest for the collector; the first one goes to the whole domain.

        A collector that does not know this host reads the hosts' rows then.
        """
        names = self._collectors.holders(now)[:COLLECTORS_PER_DOMAIN]
        if names != self._last_collectors:
            self._last_collectors = names
            self._sources.usage.resend_own_counts()
        digest = self._changed_digest(now)
        if digest is None:
            return []
        self._sources.peers.own_sent = digest.entries
        if not self._announced:
            self._announced = True
            names = [rec.host for rec in self._hosts.domain_peers()]
        return [OutgoingDigest(digest, self._addresses(names))]

    def _aggregates(self, now: float) -> list[OutgoingDigest]:
        """Return the domain's aggregate for other collectors, and all for its hosts."""
        self._collector.add_own_prefills(now)
        others = self._addresses(self._collector.other_collectors(now))
        domain_peers = [rec.address for rec in self._hosts.domain_peers()]
        return [
            OutgoingDigest(self._collector.domain_aggregate(now), others),
            OutgoingDigest(self._collector.total_aggregate(now), domain_peers),
        ]
