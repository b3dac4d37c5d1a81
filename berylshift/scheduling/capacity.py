"""How long work takes at each replica, relative to its service."""

from typing import Protocol

from berylshift.messages.replicas import Replica


class ReplicaCapacity(Protocol):
    """Time factors: 1.0 is the mean of a service; at 2.0 work takes twice as long."""

    def lasting_factor(self, replica: Replica) -> float:
        """Return the factor without passing disturbances; 1.0 if it is not known."""

    def time_factor(self, replica: Replica, now: float) -> float:
        """Return the factor with the disturbance that is known and still recent."""

    def event_gap(self, replica: Replica, now: float) -> float | None:
        """Return the longest gap between events that streams see there, in seconds.

        ``None`` while it is not known.
        """


class EvenCapacity:
    """All replicas of a service are equally fast."""

    def lasting_factor(self, replica: Replica) -> float:
        """Return 1.0."""
        return 1.0

    def time_factor(self, replica: Replica, now: float) -> float:
        """Return 1.0."""
        return 1.0

    def event_gap(self, replica: Replica, now: float) -> float | None:
        """Return ``None``."""
        return None
