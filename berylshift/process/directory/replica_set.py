"""The replicas that the platform lists, with a grace for entries that lapsed."""

import msgspec

from berylshift.ids import DomainName, InstanceId, ReplicaName, ServiceName, StoreEra
from berylshift.messages.load_digest import target_hash
from berylshift.messages.replicas import Replica, ReplicaChanges
from berylshift.process.directory.expected_phases import ExpectedPhases
from berylshift.process.directory.pools import EMPTY_POOL, Pool
from berylshift.process.directory.replica_tombstones import DepartedReplicas

# Entries lapse while the store is away, since nobody can renew them; a live replica
# renews its own within two seconds of the store's return (the platform's promise).
LAPSE_GRACE_SECONDS = 2.0
# After how long an entry that nobody renews is gone, where nothing else is known.
LAPSE_SECONDS = 10.0


class SetChange(msgspec.Struct, frozen=True):
    """What one update changed; ``removed`` has the former starts of replicas too."""

    added: tuple[InstanceId, ...] = ()
    drained: tuple[InstanceId, ...] = ()
    removed: tuple[InstanceId, ...] = ()
    lapsed: tuple[InstanceId, ...] = ()

    @property
    def empty(self) -> bool:
        """Return whether nothing changed."""
        return not (self.added or self.drained or self.removed or self.lapsed)


class ReplicaSet:
    """Replicas by service; times in seconds on the monotonic clock.

    Without the grace, an outage of the store would empty the set at its end:
    every request would be refused although all replicas are well.

    A replica that starts again under its name replaces its former start at once: what
    is remembered of that (load, kept parts, failures, orders, connections) goes by its
    instance, and nothing of it is believed of the new one. The newest entry wins, also
    if it tells an earlier start: the store orders what is written, while the clocks of
    replicas may jump; a dead start's late word is mended by the next heartbeat.
    """

    def __init__(
        self,
        phases: ExpectedPhases | None = None,
        lapse_seconds: float = LAPSE_SECONDS,
    ) -> None:
        """Start with no replicas; orders in ``phases`` go before entries.

        An entry that nobody renews is gone after ``lapse_seconds``.
        """
        self._phases = phases or ExpectedPhases()
        self._departed = DepartedReplicas(lapse_seconds)
        self._era: StoreEra | None = None
        self._listed: dict[ReplicaName, Replica] = {}
        self._lapsed: dict[ReplicaName, float] = {}
        self._by_service: dict[ServiceName, Pool] = {}
        self._indexed_version = 0
        self._index_again_at = float("inf")
        self._lost_at: float | None = None
        self._back_at = float("-inf")
        self.confirmed_at: float | None = None

    def store_lost(self, now: float) -> None:
        """Note that the store stopped answering."""
        if self._lost_at is None:
            self._lost_at = now

    def store_answered(self, now: float) -> None:
        """Note that the store answers, which ends an outage."""
        if self._lost_at is not None:
            self._back_at = now
            self._lost_at = None

    @property
    def is_store_lost(self) -> bool:
        """Return whether the store has not answered since it was lost."""
        return self._lost_at is not None

    def store_was_back(self, at: float) -> None:
        """Note when the store was back after an outage that another host saw."""
        self._back_at = max(self._back_at, at)

    def apply(self, changes: ReplicaChanges, now: float) -> SetChange:
        """Take an update over."""
        self.store_answered(now)
        self.confirmed_at = now
        self._note_era(changes.era, now)
        gone = set(changes.removed)
        if changes.whole:
            gone |= self._listed.keys() - {rep.name for rep in changes.put}
        believed = self._believed(changes, now)
        foreign = {rep.name for rep in believed if self._is_foreign(rep)}
        put = tuple(rep for rep in believed if rep.name not in foreign)
        former = self._former_starts(put)
        added, drained = self._put(put)
        removed, lapsed = self._remove(gone | foreign, now)
        change = SetChange(added, drained, former + removed, lapsed)
        if not change.empty or changes.put:
            self._index(now)
        return change

    def _note_era(self, era: StoreEra, now: float) -> None:
        """Give what is missing from an older copy the time to write itself again."""
        if self._era is not None and era > self._era:
            self._back_at = now
        self._era = era

    def _believed(self, changes: ReplicaChanges, now: float) -> list[Replica]:
        """Return the entries put, without those that only an older copy lists.

        What stands in a whole read may have gone before; a change in the feed is the
        replica's own word.
        """
        for name in changes.removed:
            self._departed.removed(name)
        found = []
        for replica in changes.put:
            if not changes.whole:
                self._departed.written(replica)
            elif self._departed.withhold(replica, now):
                continue
            found.append(self._departed.as_known(replica))
        return found

    def _is_foreign(self, replica: Replica) -> bool:
        """Return whether an entry lacks the start that its replica has told before.

        Another writer wrote it: it names no replica to use.
        """
        former = self._listed.get(replica.name)
        told = former is not None and former.started_ms is not None
        return told and replica.started_ms is None

    def _former_starts(self, put: tuple[Replica, ...]) -> tuple[InstanceId, ...]:
        """Return the listed instances that other starts take the place of."""
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
            self._lapsed.pop(replica.name, None)
        return tuple(added), tuple(drained)

    def _remove(
        self, gone: set[ReplicaName], now: float
    ) -> tuple[tuple[InstanceId, ...], tuple[InstanceId, ...]]:
        removed, lapsed = [], []
        in_grace = now < self._back_at + LAPSE_GRACE_SECONDS
        for name in gone & self._listed.keys():
            replica = self._listed[name]
            if in_grace and not replica.draining:
                if name not in self._lapsed:
                    self._lapsed[name] = self._back_at + LAPSE_GRACE_SECONDS
                    lapsed.append(replica.instance)
                continue
            del self._listed[name]
            self._lapsed.pop(name, None)
            self._departed.gone(replica)
            removed.append(replica.instance)
        return tuple(removed), tuple(lapsed)

    def expire(self, now: float) -> tuple[InstanceId, ...]:
        """Drop lapsed replicas whose entries did not come back; return them."""
        names = [name for name, until in self._lapsed.items() if now >= until]
        lapsed = [self._listed.pop(name) for name in names]
        over = tuple(replica.instance for replica in lapsed)
        for name in names:
            del self._lapsed[name]
        for replica in lapsed:
            self._departed.gone(replica)
        returned = self._departed.due(now)
        self._put(tuple(returned))
        orders_changed = self._phases.version != self._indexed_version
        if over or returned or orders_changed or now >= self._index_again_at:
            self._index(now)
        return over

    def _index(self, now: float) -> None:
        found: dict[ServiceName, list[Replica]] = {}
        self._indexed_version = self._phases.version
        self._index_again_at = self._phases.next_change(now)
        for entry in self._listed.values():
            usable = self._phases.as_usable(entry, now)
            if usable is not None and not entry.draining:
                found.setdefault(entry.service, []).append(usable)
        self._by_service = {name: Pool(members) for name, members in found.items()}

    def as_ordered(self, service: ServiceName, now: float) -> list[Replica]:
        """Return a service's replicas in the phases that they are to have."""
        return [
            self._phases.as_ordered(entry, now)
            for entry in self._listed.values()
            if entry.service == service and not entry.draining
        ]

    def listed(self, service: ServiceName) -> list[Replica]:
        """Return a service's replicas as their entries say, those that leave too."""
        return [entry for entry in self._listed.values() if entry.service == service]

    def instance_of(self, target: int) -> InstanceId | None:
        """Return the listed instance with a short hash."""
        found = (entry.instance for entry in self._listed.values())
        return next((name for name in found if target_hash(name) == target), None)

    def domain_of(self, instance: InstanceId) -> DomainName | None:
        """Return the failure domain of a listed replica."""
        entries = self._listed.values()
        found = (entry.domain for entry in entries if entry.instance == instance)
        return next(found, None)

    def mark_draining(self, instance: InstanceId, now: float) -> bool:
        """Take a replica's own word that it leaves; return whether that is news.

        It holds for this start of the replica, whatever its entry says.
        """
        if self.is_draining(instance):
            return False
        for name, entry in self._listed.items():
            if entry.instance == instance:
                self._listed[name] = self._departed.as_draining(entry)
                self._index(now)
                return True
        return False

    def is_draining(self, instance: InstanceId) -> bool:
        """Return whether a replica was said to leave."""
        return self._departed.is_leaving(instance)

    def is_leaving(self, replica: Replica) -> bool:
        """Return whether a replica was said to leave, or has left, by its entry."""
        listed = self._listed.get(replica.name)
        if listed is None or listed.instance != replica.instance:
            return True
        return listed.draining

    def pool(self, service: ServiceName) -> Pool:
        """Return the replicas that may take new work of a service."""
        return self._by_service.get(service, EMPTY_POOL)

    def confirm(self, at: float) -> None:
        """Note that nothing newer was there at ``at``, by another host's word."""
        if self.confirmed_at is not None:
            self.confirmed_at = max(self.confirmed_at, at)

    def age(self, now: float) -> float | None:
        """Return the seconds since the store last confirmed the replicas."""
        return None if self.confirmed_at is None else now - self.confirmed_at

    def __len__(self) -> int:
        """Return how many replicas are listed."""
        return len(self._listed)
