"""Orders for replicas: how many of each kind a service should have in a domain."""

from enum import StrEnum
from typing import Protocol

import msgspec

from berylshift.ids import DomainName, ServiceName
from berylshift.messages.leader_calls import CallResult, LeaseHolder


class ReplicaKind(StrEnum):
    """Price and availability class of a replica."""

    # Full price; it runs until it is released.
    ON_DEMAND = "standing"
    # Cheaper; the platform may reclaim all of a domain within seconds.
    INTERRUPTIBLE = "interruptible"


class ScaleOrder(msgspec.Struct, frozen=True):
    """Target of ``desired`` replicas of a kind; repeating an order changes nothing."""

    service: ServiceName
    domain: DomainName
    kind: ReplicaKind
    desired: int


class ScaleRows(Protocol):
    """Stores how many replicas services need; all calls raise ``PlatformError``."""

    async def get_or_set_needed(self, service: ServiceName, needed: int) -> int:
        """Store a number unless there is one; return the stored number."""


class ScaleOrdering(Protocol):
    """Orders replicas from the platform."""

    async def scale(self, order: ScaleOrder, holder: LeaseHolder) -> CallResult:
        """Send an order once; ``UNAVAILABLE``: there are none of that kind there."""
