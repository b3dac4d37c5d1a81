"""What a collector sends: the aggregate of its domain and that of all hosts."""

from math import ceil

from berylshift.messages.load_digest import LoadDigest, Scope
from berylshift.process.gossip.digest_builder import DigestBuilder, DigestSources
from berylshift.process.gossip.election import Election
from berylshift.process.gossip.forwarded_prefills import ForwardedPrefills
from berylshift.process.gossip.host_list import HostList

# A second collector per domain would double the traffic, to avoid a gap of one second
# in the aggregates when the first one is lost.
COLLECTORS_PER_DOMAIN = 1
# Prefills in one aggregate digest; with the load of fifty replicas and the current
# phase orders they fill a datagram.
MAX_PREFILLS = 32
# Prefills left out to make room for one crash report. Crash reports go first: they are
# rare, and a prefill that is sent late costs only some repeated tokens.
PREFILLS_PER_CRASH = 2
# Updates on replicas' speeds that fit beside the prefills. Each further one takes the
# place of a prefill.
SPEEDS_BESIDE_PREFILLS = 6
# Prefills left out to make room for the counts of one engine's lost handles. Unlike
# prefills they can't wait: an engine that is left out counts as one without losses.
PREFILLS_PER_HANDLE_COUNT = 0.75
# Prefills left out to make room for customers' demand, which takes as many bytes.
PREFILLS_PER_DEMAND = 12
# Prefills left out to make room for one host's record, so that it is used at its new
# address.
PREFILLS_PER_HOST = 6
# Bytes of replica changes that take the place of a prefill.
BYTES_PER_PREFILL = 12


class Collector:
    """Aggregates of a domain and of all hosts; times in monotonic seconds."""

    def __init__(self, sources: DigestSources, builder: DigestBuilder, hosts: HostList):
        """Aggregate ``sources`` into digests of ``builder``, for ``hosts``."""
        self._sources = sources
        self._builder = builder
        self._hosts = hosts
        self._others: dict[str, Election] = {}
        self._domain_prefills = ForwardedPrefills()
        self._all_prefills = ForwardedPrefills()
        self._turn = 0

    def record_collector(self, digest: LoadDigest, now: float) -> None:
        """Record the sender as the collector of another domain."""
        found = self._others.get(digest.domain)
        if found is None:
            found = Election(self._sources.host, COLLECTORS_PER_DOMAIN)
            self._others[digest.domain] = found
        found.record_holder(digest.host, now)

    def known_collectors(self, now: float) -> list[str]:
        """Return the other domains' collectors that were heard from recently."""
        return [
            host
            for election in self._others.values()
            for host in election.holders(now)[:COLLECTORS_PER_DOMAIN]
        ]

    def forward_prefills(self, digest: LoadDigest, now: float) -> None:
        """Queue the prefills of a digest that other hosts need to know of."""
        if digest.scope is Scope.HOST and digest.domain == self._sources.domain:
            self._domain_prefills.add(digest.prefills, now)
        if digest.scope is not Scope.ALL_HOSTS:
            self._all_prefills.add(digest.prefills, now)

    def add_own_prefills(self, now: float) -> None:
        """Queue this host's own prefills, which both aggregates include."""
        prefills = self._sources.prefix_cache.prefills_to_send(now)
        self._domain_prefills.add(prefills, now)
        self._all_prefills.add(prefills, now)

    def domain_aggregate(self, now: float) -> LoadDigest:
        """Return the load of this domain's hosts, for the other collectors."""
        sources = self._sources
        return self._builder.build(
            sources.peers.aggregate(sources.loads.entries(now), Scope.DOMAIN, now),
            self._domain_prefills.take(self._max_prefills(Scope.DOMAIN, now)),
            now,
            Scope.DOMAIN,
            sources.peers.domain_host_count(now),
        )

    def total_aggregate(self, now: float) -> LoadDigest:
        """Return the load of all hosts, for those of this domain."""
        sources = self._sources
        return self._builder.build(
            sources.peers.aggregate(sources.loads.entries(now), Scope.ALL_HOSTS, now),
            self._all_prefills.take(self._max_prefills(Scope.ALL_HOSTS, now)),
            now,
            Scope.ALL_HOSTS,
            sources.peers.total_host_count(now),
        )

    def _max_prefills(self, scope: Scope, now: float) -> int:
        """Return how many prefills an aggregate has room for."""
        sources, own_domain_only = self._sources, scope is Scope.DOMAIN
        crashes = sources.quarantine.count_pending_reports(now, own_domain_only)
        crashes += sources.quarantine.blocks.count_pending_reports(now, own_domain_only)
        speeds = sources.replica_speeds.count_new(scope, now)
        handles = len(sources.handle_losses.counts_to_send(scope, now))
        found = MAX_PREFILLS - PREFILLS_PER_CRASH * crashes
        found -= ceil(PREFILLS_PER_HANDLE_COUNT * handles)
        if sources.customer_demand.is_due(scope, now):
            found -= PREFILLS_PER_DEMAND
        found -= PREFILLS_PER_HOST * sources.host_updates.count_to_forward(scope, now)
        pieces = sources.replica_updates.bytes_to_send(scope, now)
        found -= ceil(pieces / BYTES_PER_PREFILL)
        return max(0, found - max(0, speeds - SPEEDS_BESIDE_PREFILLS))

    def other_collectors(self, now: float) -> list[str]:
        """Return the hosts to send the domain aggregate to.

        For a domain without a known collector these are the first host in its election
        order and, in rotation, one of the others: whichever host collects there
        receives it and answers with aggregates of its own.
        """
        self._turn += 1
        found = []
        for domain, records in self._hosts.other_domains().items():
            election = self._others.get(domain)
            holders = election.holders(now) if election is not None else []
            if holders:
                found += holders
            else:
                found.append(records[0].host)
                found.append(records[self._turn % len(records)].host)
        return found
