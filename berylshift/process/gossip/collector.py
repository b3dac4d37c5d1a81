"""What a collector tells: its domain's sums, and the sum of all hosts."""

from berylshift.messages.load_digest import LoadDigest, Scope
from berylshift.process.gossip.digest_builder import DigestMaker, DigestParts
from berylshift.process.gossip.election import Election
from berylshift.process.gossip.forwarded_reads import ForwardedReads
from berylshift.process.gossip.host_list import HostList

# Collectors a domain: a second one would double what is told, for one second's gap in
# the sums when the first one is lost.
COLLECTORS = 1
# Reads in one digest of sums; with fifty replicas' work and the orders under way they
# fill a datagram.
MOST_READS = 32
# Reads that make room for one replica that broke off: that one is told first, since it
# is seldom, and a read that is told late costs some tokens only.
READS_A_CRASH = 2


class Collecting:
    """Sums of a domain and of all; times in seconds on the monotonic clock."""

    def __init__(self, parts: DigestParts, maker: DigestMaker, hosts: HostList):
        """Tell of ``parts`` in digests of ``maker``, to ``hosts``."""
        self._parts = parts
        self._maker = maker
        self._hosts = hosts
        self._others: dict[str, Election] = {}
        self._domain_reads = ForwardedReads()
        self._fleet_reads = ForwardedReads()
        self._turn = 0

    def heard_collector(self, digest: LoadDigest, now: float) -> None:
        """Note another domain's collector."""
        found = self._others.get(digest.domain)
        if found is None:
            found = Election(self._parts.host, COLLECTORS)
            self._others[digest.domain] = found
        found.heard(digest.host, now)

    def heard_collectors(self, now: float) -> list[str]:
        """Return the other domains' collectors that were heard lately."""
        return [
            host
            for election in self._others.values()
            for host in election.holders(now)[:COLLECTORS]
        ]

    def pass_on(self, digest: LoadDigest, now: float) -> None:
        """Keep reads that the other hosts have to hear of."""
        if digest.scope is Scope.HOST and digest.domain == self._parts.domain:
            self._domain_reads.note(digest.prefills, now)
        if digest.scope is not Scope.FLEET:
            self._fleet_reads.note(digest.prefills, now)

    def note_own_reads(self, now: float) -> None:
        """Keep this host's own reads, which both sums tell."""
        reads = self._parts.warm.to_tell(now)
        self._domain_reads.note(reads, now)
        self._fleet_reads.note(reads, now)

    def domain_sum(self, now: float) -> LoadDigest:
        """Return the work of this domain's hosts, for the other collectors."""
        parts = self._parts
        return self._maker.make(
            parts.peers.summed(parts.loads.entries(now), Scope.DOMAIN, now),
            self._domain_reads.take(self._room_for_reads(now, near_alone=True)),
            now,
            Scope.DOMAIN,
            parts.peers.domain_hosts(now),
        )

    def fleet_sum(self, now: float) -> LoadDigest:
        """Return the work of all hosts, for those of this domain."""
        parts = self._parts
        return self._maker.make(
            parts.peers.summed(parts.loads.entries(now), Scope.FLEET, now),
            self._fleet_reads.take(self._room_for_reads(now)),
            now,
            Scope.FLEET,
            parts.peers.fleet_hosts(now),
        )

    def _room_for_reads(self, now: float, near_alone: bool = False) -> int:
        crashes = self._parts.quarantine.count_pending_reports(now, near_alone)
        return max(0, MOST_READS - READS_A_CRASH * crashes)

    def other_collectors(self, now: float) -> list[str]:
        """Return the other domains' collectors.

        Where none is heard, the host that should collect is told, and the others in
        turn: whoever collects there hears it and answers with sums of its own.
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
