"""The replicas that the platform lists, with a grace for entries that lapsed."""

import msgspec

from berylshift.ids import InstanceId, ServiceName
from berylshift.messages.replicas import Replica, ReplicaChanges
from berylshift.process.fleet.expected_phases import ExpectedPhases
from berylshift.process.fleet.pools import EMPTY_POOL, Pool

# Entries lapse while the store is away, since nobody can renew them; a live replica
# renews its own within two seconds of the store's return (the platform's promise).
LAPSE_GRACE_SECONDS = 2.0


class SetChange(msgspec.Struct, frozen=True):
    """What one update changed, for the log."""

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
    """

    def __init__(self, phases: ExpectedPhases | None = None) -> None:
        """Start with no replicas; orders in ``phases`` go before entries."""
        self._phases = phases or ExpectedPhases()
        self._listed: dict[InstanceId, Replica] = {}
        self._lapsed: dict[InstanceId, float] = {}
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

    def apply(self, changes: ReplicaChanges, now: float) -> SetChange:
        """Take an update over."""
        if self._lost_at is not None:
            self._back_at = now
            self._lost_at = None
        self.confirmed_at = now
        gone = set(changes.removed)
        if changes.whole:
            gone |= self._listed.keys() - {rep.instance for rep in changes.put}
        added, drained = self._put(changes.put)
        removed, lapsed = self._remove(gone, now)
        change = SetChange(added, drained, removed, lapsed)
        if not change.empty or changes.put:
            self._index(now)
        return change

    def _put(
        self, put: tuple[Replica, ...]
    ) -> tuple[tuple[InstanceId, ...], tuple[InstanceId, ...]]:
        added, drained = [], []
        for replica in put:
            former = self._listed.get(replica.instance)
            if former is None:
                added.append(replica.instance)
            if replica.draining and not (former and former.draining):
                drained.append(replica.instance)
            self._listed[replica.instance] = replica
            self._lapsed.pop(replica.instance, None)
        return tuple(added), tuple(drained)

    def _remove(
        self, gone: set[InstanceId], now: float
    ) -> tuple[tuple[InstanceId, ...], tuple[InstanceId, ...]]:
        removed, lapsed = [], []
        in_grace = now < self._back_at + LAPSE_GRACE_SECONDS
        for instance in gone & self._listed.keys():
            if in_grace and not self._listed[instance].draining:
                if instance not in self._lapsed:
                    self._lapsed[instance] = self._back_at + LAPSE_GRACE_SECONDS
                    lapsed.append(instance)
                continue
            del self._listed[instance]
            self._lapsed.pop(instance, None)
            removed.append(instance)
        return tuple(removed), tuple(lapsed)

    def expire(self, now: float) -> tuple[InstanceId, ...]:
        """Drop lapsed replicas whose entries did not come back; return them."""
        over = tuple(name for name, until in self._lapsed.items() if now >= until)
        for instance in over:
            del self._lapsed[instance]
            self._listed.pop(instance, None)
        orders_changed = self._phases.version != self._indexed_version
        if over or orders_changed or now >= self._index_again_at:
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

    def pool(self, service: ServiceName) -> Pool:
        """Return the replicas that may take new work of a service."""
        return self._by_service.get(service, EMPTY_POOL)

    def find(self, instance: InstanceId) -> Replica | None:
        """Return a listed replica, draining ones too."""
        return self._listed.get(instance)

    def age(self, now: float) -> float | None:
        """Return the seconds since the store last confirmed the replicas."""
        return None if self.confirmed_at is None else now - self.confirmed_at

    def __len__(self) -> int:
        """Return how many replicas are listed."""
        return len(self._listed)
