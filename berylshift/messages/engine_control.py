"""Reports of engines and orders to them, independent of any platform's names."""

from enum import StrEnum
from typing import Protocol

import msgspec

from berylshift.messages.replicas import EnginePhase, Replica


class EngineReport(msgspec.Struct, frozen=True):
    """What an engine reports; ``orders`` counts the orders it has accepted.

    ``started_ms``: the Unix time of its start, ``None`` if not reported.
    """

    phase: EnginePhase
    busy: bool
    orders: int
    started_ms: int | None = None


class PhaseOrder(msgspec.Struct, frozen=True):
    """An order to change phase; refused unless the engine's ``orders`` is the same."""

    phase: EnginePhase
    holder: str
    fence: int
    orders: int


class OrderAnswer(StrEnum):
    """Result of an order, as far as it is known."""

    ACCEPTED = "accepted"
    ALREADY_IN_PHASE = "holds"
    CONFLICT = "conflict"
    FENCED = "fenced"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class EngineControl(Protocol):
    """Queries engines and sends them orders."""

    async def report(self, replica: Replica) -> EngineReport | None:
        """Return an engine's report, ``None`` if unavailable."""

    async def order(self, replica: Replica, order: PhaseOrder) -> OrderAnswer:
        """Send an order once."""
