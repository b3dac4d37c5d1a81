"""Reports of engines and orders to them, free of any platform's names."""

from enum import StrEnum
from typing import Protocol

import msgspec

from berylshift.messages.replicas import EnginePhase, Replica


class EngineReport(msgspec.Struct, frozen=True):
    """What an engine says of itself; ``orders`` counts those it has accepted.

    ``started_ms``: the Unix time of its start, ``None`` where it does not tell.
    """

    phase: EnginePhase
    busy: bool
    orders: int
    started_ms: int | None = None


class PhaseOrder(msgspec.Struct, frozen=True):
    """An order to change phase; carried out only while ``orders`` still holds."""

    phase: EnginePhase
    holder: str
    fence: int
    orders: int


class OrderAnswer(StrEnum):
    """What became of an order, as far as it is known."""

    ACCEPTED = "accepted"
    HOLDS = "holds"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class EngineControl(Protocol):
    """Asks and orders engines."""

    async def report(self, replica: Replica) -> EngineReport | None:
        """Return an engine's report, ``None`` if there is none to be had."""

    async def order(self, replica: Replica, order: PhaseOrder) -> OrderAnswer:
        """Send an order once."""
