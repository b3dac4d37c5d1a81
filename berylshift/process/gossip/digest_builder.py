"""Builds this host's digests from its own state and its knowledge of the store."""

from dataclasses import dataclass, field

from berylshift.messages.load_digest import BlockPrefill, LoadDigest, LoadEntry, Scope
from berylshift.messages.usage import RunCount
from berylshift.process.directory.expected_phases import ExpectedPhases
from berylshift.process.directory.replica_updates import ReplicaUpdates
from berylshift.process.directory.store_watch import StoreWatch
from berylshift.process.gossip.host_updates import HostUpdates
from berylshift.process.gossip.peer_loads import PeerLoads
from berylshift.process.quarantine.quarantine import Quarantine
from berylshift.process.targets.customer_demand import CustomerDemand
from berylshift.process.targets.handle_losses import HandleLosses
from berylshift.process.targets.host_demand import HostDemand
from berylshift.process.targets.prefix_cache_index import PrefixCacheIndex
from berylshift.process.targets.replica_speeds import ReplicaSpeeds
from berylshift.process.targets.target_load import TargetLoads
from berylshift.process.targets.throttle import Throttle
from berylshift.process.usage.usage_counts import UsageCounts


@dataclass
class DigestSources:
    """The state that digests are built from."""

    host: str
    domain: str
    loads: TargetLoads
    peers: PeerLoads
    prefix_cache: PrefixCacheIndex
    phases: ExpectedPhases
    watch: StoreWatch
    quarantine: Quarantine
    usage: UsageCounts
    throttle: Throttle
    replica_speeds: ReplicaSpeeds = field(default_factory=ReplicaSpeeds)
    handle_losses: HandleLosses = field(default_factory=HandleLosses)
    customer_demand: CustomerDemand = field(default_factory=CustomerDemand)
    replica_updates: ReplicaUpdates = field(default_factory=ReplicaUpdates)
    host_demand: HostDemand = field(default_factory=HostDemand)
    host_updates: HostUpdates = field(default_factory=HostUpdates)


class DigestBuilder:
    """Builds and numbers the digests of one host."""

    def __init__(self, sources: DigestSources):
        """Build digests from ``sources``."""
        self._sources = sources
        self._sequence = 0

    def build(
        self,
        entries: tuple[LoadEntry, ...],
        prefills: tuple[BlockPrefill, ...],
        now: float,
        scope: Scope = Scope.HOST,
        hosts: int = 1,
    ) -> LoadDigest:
        """Return the next digest, with the load of ``hosts`` hosts.

        The store's status is sent by feed readers to all, and by collectors to the
        hosts of their domain.
        """
        sources = self._sources
        self._sequence += 1
        reads_feeds = sources.watch.reads_feeds
        has_status = reads_feeds or scope is Scope.ALL_HOSTS
        # Collectors of other domains receive each other's reports directly.
        own_domain_only = scope is not Scope.ALL_HOSTS
        runs = self._runs(scope, now)
        is_aggregate = scope is not Scope.HOST
        return LoadDigest(
            host=sources.host,
            sequence=self._sequence,
            entries=entries,
            prefills=prefills,
            phases=sources.phases.updates_to_send(now),
            scope=scope,
            domain=sources.domain,
            hosts=hosts,
            reads_feeds=reads_feeds,
            store_status=sources.watch.status() if has_status else None,
            crashes=sources.quarantine.take_reports(now, own_domain_only),
            finished=sources.quarantine.pending_completions(now, own_domain_only),
            blocks=sources.quarantine.blocks.take_reports(now, own_domain_only),
            started_ms=sources.usage.start if runs else 0,
            runs=runs,
            limits=sources.throttle.updates_to_send(now, own_only=not is_aggregate),
            speeds=sources.replica_speeds.take_updates(scope, now),
            handles=sources.handle_losses.counts_to_send(scope, now),
            demand=sources.customer_demand.take_counts(scope, now),
            replicas=sources.replica_updates.take_pieces(scope, now),
            joined=sources.host_updates.take(scope, now),
            request_rate=0.0 if is_aggregate else sources.host_demand.rate_to_send(now),
            usage_done=sources.usage.last_done
            if is_aggregate
            else sources.usage.done_to_announce(now),
        )

    def _runs(self, scope: Scope, now: float) -> tuple[RunCount, ...]:
        """Return the counts of begun requests that a digest carries.

        A collector sends its domain's counts to the other collectors, and its own
        counts to its hosts, since one of them may be the next collector.
        """
        if scope is Scope.DOMAIN:
            return self._sources.usage.take_domain_counts(now)
        return self._sources.usage.take_own_counts(now)
