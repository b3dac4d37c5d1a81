"""The replicas that the platform lists, with a grace period for expired entries."""

from collections import Counter
from collections.abc import Callable

import msgspec

from berylshift.ids import (
    DomainName,
    InstanceId,
    ReplicaName,
    Revision,
    ServiceName,
    SoftwareVersion,
    StoreEra,
)
from berylshift.messages.load_digest import target_hash
from berylshift.messages.replicas import Replica, ReplicaChanges
from berylshift.process.directory.expected_phases import ExpectedPhases
from berylshift.process.directory.pools import EMPTY_POOL, Pool
from berylshift.process.directory.replica_tombstones import ReplicaTombstones
from berylshift.process.directory.suspected_gone import SuspectedGone
from berylshift.process.directory.version_history import VersionHistory

# Entries expire while the store is down, since nobody can renew them. The platform
# guarantees that a live replica renews its own within two seconds of the recovery.
EXPIRY_GRACE_SECONDS = 2.0
# Default time after which an entry that is not renewed is removed.
ENTRY_TTL_SECONDS = 10.0


class SetChange(msgspec.Struct, frozen=True):
    """What one update changed; ``removed`` includes replaced instances of replicas.

    ``expired``: entries that are missing, but are kept for the grace period.
    """

    added: tuple[InstanceId, ...] = ()
    drained: tuple[InstanceId, ...] = ()
    removed: tuple[InstanceId, ...] = ()
    expired: tuple[InstanceId, ...] = ()

    @property
    def empty(self) -> bool:
        """Return whether nothing changed."""
        return not (self.added or self.drained or self.removed or self.expired)


class ReplicaSet:
    """Replicas by service; times in seconds on the monotonic clock.

    Without the grace period the set would be empty at the end of a store outage, and
    every request would be refused although all replicas are healthy.

    A replica that restarts under its name is a new instance and replaces the previous
    one at once: what is known of an instance (load, cached prefix blocks, failures,
    orders, connections) does not apply to the next. The newest entry wins even if it
    has an earlier start time, because the store orders the writes while the clocks of
    replicas may jump; the next heartbeat corrects a late write of a dead instance.
    """

    def __init__(
        self,
        phases: ExpectedPhases | None = None,
        ttl_seconds: float = ENTRY_TTL_SECONDS,
        uses_suspicions: Callable[[], bool] = lambda: False,
    ) -> None:
        """Start without replicas; orders in ``phases`` override entries.

        An entry that is not renewed expires after ``ttl_seconds``. While the store is
        lost, instances that appear to be gone get no work if ``uses_suspicions()``.
        """
        self.suspects = SuspectedGone(lambda: self.is_store_lost, uses_suspicions)
        self.suspects.subscribe(self._index)
        self.versions = VersionHistory()
        # Called with each service that gets a further software version.
        self.on_further_version: Callable[[ServiceName], None] = lambda service: None
        # Called when this host may no longer know all versions that are in use.
        self.on_uncertain: Callable[[], None] = lambda: None
        self._phases = phases or ExpectedPhases()
        self._ttl_seconds = ttl_seconds
        self._tombstones = ReplicaTombstones(ttl_seconds)
        self._era: StoreEra | None = None
        self._listed: dict[ReplicaName, Replica] = {}
        self._grace_until: dict[ReplicaName, float] = {}
        self._by_service: dict[ServiceName, Pool] = {}
        self._indexed_version = 0
        self._next_index_at = float("inf")
        # Entries up to this revision may have been renewed since.
        self._revisions_known_after = Revision(0)
        self._store_lost_at: float | None = None
        self._store_recovered_at = float("-inf")
        self.confirmed_at: float | None = None

    def mark_store_lost(self, now: float) -> None:
        """Record that the store stopped answering."""
        if self._store_lost_at is None:
            self._store_lost_at = now
            self.on_uncertain()

    def mark_store_answered(self, now: float) -> None:
        """Record that the store answers, which ends an outage."""
        if self._store_lost_at is not None:
            self._store_recovered_at = now
            self._store_lost_at = None

    @property
    def is_store_lost(self) -> bool:
        """Return whether the store has not answered since it was lost."""
        return self._store_lost_at is not None

    def record_store_recovery(self, at: float) -> None:
        """Record when an outage ended that another host observed."""
        self._store_recovered_at = max(self._store_recovered_at, at)

    def apply(self, changes: ReplicaChanges, now: float) -> SetChange:
        """Apply a read of the store and return what it changed."""
        self.mark_store_answered(now)
        self.confirmed_at = now
        self._observe_era(changes.era, now)
        had_suspects = self.suspects.clear()
        if changes.whole:
            self._revisions_known_after = Revision(0)
            lost_past = not changes.follows
            if lost_past and self.versions.forget_past(changes.revision, now):
                self.on_uncertain()
        return self._apply(changes, had_suspects, now)

    def apply_received(self, changes: ReplicaChanges, now: float) -> SetChange:
        """Apply changes that other hosts sent and return what they changed.

        They say nothing of the store's connection to this host, nor of heartbeats.
        """
        self._revisions_known_after = changes.revision
        confirmed = self.suspects.confirm(rep.instance for rep in changes.put)
        return self._apply(changes, confirmed, now)

    @property
    def has_withheld_entries(self) -> bool:
        """Return whether entries wait for a heartbeat, which only the store shows."""
        return self._tombstones.has_withheld

    def _apply(
        self, changes: ReplicaChanges, must_index: bool, now: float
    ) -> SetChange:
        missing = set(changes.removed)
        if changes.whole:
            missing |= self._listed.keys() - {rep.name for rep in changes.put}
        accepted = self._accept_entries(changes, now)
        foreign = {rep.name for rep in accepted if self._lacks_start(rep)}
        # Links put and remove entries that came and left between two reads.
        skipped = foreign | (set(changes.removed) - self._listed.keys())
        put = tuple(rep for rep in accepted if rep.name not in skipped)
        former = self._replaced_instances(put)
        added, drained = self._put(put)
        removed, expired = self._remove(missing | foreign, now)
        change = SetChange(added, drained, former + removed, expired)
        # Changes that other hosts send have both in one.
        passed = [rep for rep in changes.put if rep.name in changes.removed]
        passed += changes.passed
        for service in self.versions.observe_passed(passed, now):
            self.on_further_version(service)
        if not change.empty or changes.put or must_index:
            self._index(now)
        return change

    def _observe_era(self, era: StoreEra, now: float) -> None:
        """Start the grace period for replicas that a restored copy lacks."""
        if self._era is not None and era > self._era:
            self._store_recovered_at = now
        self._era = era

    def _accept_entries(self, changes: ReplicaChanges, now: float) -> list[Replica]:
        """Return the entries put, without those that only a restored copy lists.

        An entry in a full read may have been removed before; a change in the feed was
        written by the replica itself.
        """
        for name in changes.removed:
            self._tombstones.forget_entry(name)
        found = []
        for replica in changes.put:
            if not changes.whole:
                self._tombstones.mark_alive(replica)
            elif self._tombstones.withhold(replica, now):
                continue
            found.append(self._tombstones.with_known_draining(replica))
        return found

    def _lacks_start(self, replica: Replica) -> bool:
        """Return whether an entry lacks the start time that it had before.

        Such an entry was written by something else and names no usable replica.
        """
        former = self._listed.get(replica.name)
        had_start = former is not None and former.started_ms is not None
        return had_start and replica.started_ms is None

    def _replaced_instances(self, put: tuple[Replica, ...]) -> tuple[InstanceId, ...]:
        """Return the listed instances that newer instances replace."""
        listed = [(self._listed.get(rep.name), rep) for rep in put]
        return tuple(
            former.instance
            for former, rep in listed
            if former is not None and former.instance != rep.instance
        )

    def _put(
        self, put: tuple[Replica, ...]
    ) -> tuple[tuple[InstanceId, ...], tuple[InstanceId, ...]]:
        added, drained = [], []
        for replica in put:
            former = self._listed.get(replica.name)
            if former is not None and former.instance != replica.instance:
                former = None
            if former is None:
                added.append(replica.instance)
            if replica.draining and not (former and former.draining):
                drained.append(replica.instance)
            self._listed[replica.name] = replica
            self._grace_until.pop(replica.name, None)
        return tuple(added), tuple(drained)

    def _remove(
        self, missing: set[ReplicaName], now: float
    ) -> tuple[tuple[InstanceId, ...], tuple[InstanceId, ...]]:
        removed, expired = [], []
        in_grace = now < self._store_recovered_at + EXPIRY_GRACE_SECONDS
        for name in missing & self._listed.keys():
            replica = self._listed[name]
            if in_grace and not replica.draining:
                if name not in self._grace_until:
                    self._grace_until[name] = (
                        self._store_recovered_at + EXPIRY_GRACE_SECONDS
                    )
                    expired.append(replica.instance)
                continue
            del self._listed[name]
            self._grace_until.pop(name, None)
            self._mark_removed(replica)
            removed.append(replica.instance)
        return tuple(removed), tuple(expired)

    def _mark_removed(self, replica: Replica) -> None:
        """Record a removal, without a revision that may not be the last one.

        A restored copy may hold a later revision of the entry, which would be taken for
        a renewal.
        """
        if replica.revision <= self._revisions_known_after:
            replica = msgspec.structs.replace(replica, revision=Revision(0))
        self._tombstones.mark_removed(replica)

    def expire(self, now: float) -> tuple[InstanceId, ...]:
        """Drop replicas whose grace period has ended without an entry; return them."""
        names = [name for name, until in self._grace_until.items() if now >= until]
        dropped = [self._listed.pop(name) for name in names]
        expired = tuple(replica.instance for replica in dropped)
        for name in names:
            del self._grace_until[name]
        for replica in dropped:
            self._mark_removed(replica)
        unexpired = self._tombstones.pop_unexpired(now)
        self._put(tuple(unexpired))
        orders_changed = self._phases.version != self._indexed_version
        if expired or unexpired or orders_changed or now >= self._next_index_at:
            self._index(now)
        return expired

    def _index(self, now: float) -> None:
        found: dict[ServiceName, list[Replica]] = {}
        draining: dict[ServiceName, list[Replica]] = {}
        self._indexed_version = self._phases.version
        self._next_index_at = self._phases.next_change(now)
        for entry in self._listed.values():
            usable = self._phases.as_usable(entry, now)
            if entry.draining:
                draining.setdefault(entry.service, []).append(entry)
            elif usable is not None:
                found.setdefault(entry.service, []).append(usable)
        self._by_service = {
            name: Pool(self.suspects.without_suspects(members), draining.get(name, ()))
            for name, members in found.items()
        }
        for service in self.versions.observe(self._listed.values(), now):
            self.on_further_version(service)

    def with_ordered_phases(self, service: ServiceName, now: float) -> list[Replica]:
        """Return a service's replicas in the phases that they were ordered to take."""
        return [
            self._phases.with_ordered_phase(entry, now)
            for entry in self._listed.values()
            if entry.service == service and not entry.draining
        ]

    def listed(self, service: ServiceName) -> list[Replica]:
        """Return a service's replicas as listed, including draining ones."""
        return [entry for entry in self._listed.values() if entry.service == service]

    def entries(self) -> list[Replica]:
        """Return the replicas of all services as listed, including draining ones."""
        return list(self._listed.values())

    def count_versions(self) -> dict[ServiceName, dict[SoftwareVersion, int]]:
        """Return how many replicas take work at each software version, by service."""
        return {
            name: dict(Counter(rep.version for rep in pool.replicas))
            for name, pool in self._by_service.items()
        }

    def instance_of(self, target: int) -> InstanceId | None:
        """Return the listed instance with a given short hash."""
        found = (entry.instance for entry in self._listed.values())
        return next((name for name in found if target_hash(name) == target), None)

    def domain_of(self, instance: InstanceId) -> DomainName | None:
        """Return the failure domain of a listed replica."""
        entries = self._listed.values()
        found = (entry.domain for entry in entries if entry.instance == instance)
        return next(found, None)

    def mark_draining(self, instance: InstanceId, now: float) -> bool:
        """Record that a replica states it is draining; return whether that is new.

        It holds for this instance, whatever its entry says.
        """
        if self.is_draining(instance):
            return False
        for name, entry in self._listed.items():
            if entry.instance == instance:
                self._listed[name] = self._tombstones.mark_draining(entry)
                self._index(now)
                return True
        return False

    def release_suspects(self, now: float) -> None:
        """Use suspected instances again that a current list has had for long.

        By then the entry of an instance that is gone would have expired.
        """
        found = self.suspects.suspected_until(now - self._ttl_seconds)
        if found and self.suspects.confirm(found):
            self._index(now)

    def is_draining(self, instance: InstanceId) -> bool:
        """Return whether an instance is known to be draining."""
        return self._tombstones.is_draining(instance)

    def is_leaving(self, replica: Replica) -> bool:
        """Return whether a replica is listed as draining, or no longer listed."""
        listed = self._listed.get(replica.name)
        if listed is None or listed.instance != replica.instance:
            return True
        return listed.draining

    def pool(self, service: ServiceName) -> Pool:
        """Return the replicas that may take new work of a service."""
        return self._by_service.get(service, EMPTY_POOL)

    def confirm(self, at: float) -> None:
        """Record that the replicas were current at ``at``, as another host reports."""
        if self.confirmed_at is not None:
            self.confirmed_at = max(self.confirmed_at, at)

    def age(self, now: float) -> float | None:
        """Return the seconds since the store last confirmed the replicas."""
        return None if self.confirmed_at is None else now - self.confirmed_at

    def __len__(self) -> int:
        """Return how many replicas are listed."""
        return len(self._listed)
