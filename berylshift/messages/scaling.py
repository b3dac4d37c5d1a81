"""Orders for replicas: how many of which kind a service is to have in a domain."""

from enum import StrEnum
from typing import Protocol

import msgspec

from berylshift.ids import DomainName, ServiceName
from berylshift.messages.leader_calls import DutyAnswer, DutyHolder


class ReplicaKind(StrEnum):
    """What a replica costs and promises."""

    # Paid in full; it stays until it is no longer wanted.
    STANDING = "standing"
    # Cheap; the platform may take all of a domain away within seconds.
    INTERRUPTIBLE = "interruptible"


class ScaleOrder(msgspec.Struct, frozen=True):
    """``desired`` replicas of a kind; the same order again changes nothing."""

    service: ServiceName
    domain: DomainName
    kind: ReplicaKind
    desired: int


class ScaleRows(Protocol):
    """Keeps how many replicas services need; all calls raise ``PlatformError``."""

    async def settle_needed(self, service: ServiceName, needed: int) -> int:
        """Keep a number, unless there is one; return the one that holds."""


class ScaleOrdering(Protocol):
    """Orders replicas from the platform."""

    async def scale(self, order: ScaleOrder, holder: DutyHolder) -> DutyAnswer:
        """Send an order once; ``UNAVAILABLE``: none of the kind are to be had there."""
