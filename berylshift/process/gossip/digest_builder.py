"""Makes this host's digests: what it knows, and what it knows of the store."""

from dataclasses import dataclass

from berylshift.messages.load_digest import BlockPrefill, LoadDigest, LoadEntry, Scope
from berylshift.messages.usage import RunCount
from berylshift.process.directory.expected_phases import ExpectedPhases
from berylshift.process.directory.store_watch import StoreWatch
from berylshift.process.gossip.peer_loads import PeerLoads
from berylshift.process.quarantine.quarantine import Quarantine
from berylshift.process.targets.target_load import TargetLoads
from berylshift.process.targets.throttle import Throttle
from berylshift.process.targets.warm_parts import WarmParts
from berylshift.process.usage.usage_counts import UsageCounts


@dataclass
class DigestParts:
    """What a digest is made from."""

    host: str
    domain: str
    loads: TargetLoads
    peers: PeerLoads
    warm: WarmParts
    phases: ExpectedPhases
    watch: StoreWatch
    quarantine: Quarantine
    usage: UsageCounts
    throttle: Throttle


class DigestMaker:
    """Numbers the digests of one host."""

    def __init__(self, parts: DigestParts):
        """Make digests of ``parts``."""
        self._parts = parts
        self._sequence = 0

    def make(
        self,
        entries: tuple[LoadEntry, ...],
        reads: tuple[BlockPrefill, ...],
        now: float,
        scope: Scope = Scope.HOST,
        hosts: int = 1,
    ) -> LoadDigest:
        """Return the next digest, of the work of ``hosts`` hosts.

        What is known of the store is told by those that follow it, and by collectors
        to their hosts.
        """
        parts = self._parts
        self._sequence += 1
        follows = parts.watch.reads_feeds
        tells_word = follows or scope is Scope.FLEET
        # Other domains' collectors hear from each other what is not of their own.
        near = scope is not Scope.FLEET
        runs = self._runs(scope, now)
        gathers = scope is not Scope.HOST
        return LoadDigest(
            host=parts.host,
            sequence=self._sequence,
            entries=entries,
            prefills=reads,
            phases=parts.phases.updates_to_send(now),
            scope=scope,
            domain=parts.domain,
            hosts=hosts,
            reads_feeds=follows,
            store_status=parts.watch.status() if tells_word else None,
            crashes=parts.quarantine.take_reports(now, near),
            finished=parts.quarantine.pending_completions(now, near),
            started_ms=parts.usage.start if runs else 0,
            runs=runs,
            limits=parts.throttle.to_tell(now, own_alone=not gathers),
            usage_done=parts.usage.last_done
            if gathers
            else parts.usage.done_to_announce(now),
        )

    def _runs(self, scope: Scope, now: float) -> tuple[RunCount, ...]:
        """Return the requests begun that a digest tells of.

        A collector tells its domain's sum to the others, and its own counts to its
        hosts: one of them may collect next.
        """
        if scope is Scope.DOMAIN:
            return self._parts.usage.take_domain_counts(now)
        return self._parts.usage.take_own_counts(now)
