"""Replica capacity as far as a service uses it."""

from berylshift.ids import ServiceName
from berylshift.messages.replicas import Replica
from berylshift.scheduling.capacity import EvenCapacity, ReplicaCapacity
from berylshift.scheduling.features import NO_FEATURES, Feature, Features

EVEN_CAPACITY = EvenCapacity()


class UsedCapacity:
    """Time factors of replicas, 1.0 for services that don't use replica speeds."""

    def __init__(
        self,
        capacity: ReplicaCapacity = EVEN_CAPACITY,
        features: Features = NO_FEATURES,
    ):
        """Take the factors from ``capacity`` where ``features`` say so."""
        self._capacity = capacity
        self._features = features

    def applies(self, service: ServiceName) -> bool:
        """Return whether a service uses replica speeds."""
        return self._features.uses(Feature.REPLICA_SPEEDS, service)

    def applies_to(self, replicas: list[Replica]) -> bool:
        """Return whether the service of some replicas uses replica speeds."""
        return bool(replicas) and self.applies(replicas[0].service)

    def lasting_factor(self, replica: Replica) -> float:
        """Return the factor without passing disturbances."""
        if not self.applies(replica.service):
            return 1.0
        return self._capacity.lasting_factor(replica)

    def time_factor(self, replica: Replica, now: float) -> float:
        """Return the factor with the disturbance that is known and still recent."""
        if not self.applies(replica.service):
            return 1.0
        return self._capacity.time_factor(replica, now)

    def event_gap(self, replica: Replica, now: float) -> float | None:
        """Return the longest gap between events there; ``None`` while unknown."""
        if not self.applies(replica.service):
            return None
        return self._capacity.event_gap(replica, now)


EVEN_USE = UsedCapacity()
