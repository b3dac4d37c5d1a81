"""Rows of the operators' table: their types, columns and keys."""

from enum import StrEnum

import msgspec

from berylshift.ids import TargetName

DEFAULT_WEIGHT = 100
NO_LIMIT = 0


class RowKind(StrEnum):
    """What a row describes."""

    ENGINE = "engine"
    SERVICE = "service"
    ROUTE = "route"
    CUSTOMER = "customer"
    HOST = "host"


class RowState(StrEnum):
    """The state set by operators; only ``active`` accepts new work."""

    ACTIVE = "active"
    DRAINING = "draining"
    REPLACED = "replaced"
    WITHDRAWN = "withdrawn"


class OrderCheck(StrEnum):
    """Whether an engine refuses an order with an outdated fencing token."""

    NONE = ""
    REFUSES = "refuses"
    IGNORES = "ignores"


class RowKey(msgspec.Struct, frozen=True, order=True):
    """Identity of a row, unique within a table."""

    kind: RowKind
    target: str
    fleet: str = ""

    def __str__(self) -> str:
        """Return the key as shown to operators."""
        return ":".join(part for part in (self.kind, self.fleet, self.target) if part)


class Row(msgspec.Struct, frozen=True):
    """One row; ``limit`` is in concurrent requests, for customers in requests/s."""

    kind: RowKind
    target: str
    fleet: str = ""
    serves: str = ""
    address: str = ""
    domain: str = ""
    weight: int = DEFAULT_WEIGHT
    limit: int = NO_LIMIT
    state: RowState = RowState.ACTIVE
    orders: OrderCheck = OrderCheck.NONE

    @property
    def key(self) -> RowKey:
        """Return the row's identity."""
        fleet = self.fleet if self.kind is RowKind.ROUTE else ""
        return RowKey(self.kind, self.target, fleet)

    @property
    def name(self) -> TargetName:
        """Return the target's name."""
        return TargetName(self.target)

    @property
    def accepts_work(self) -> bool:
        """Return whether new work may be sent to the target."""
        return self.state is RowState.ACTIVE


COLUMNS = Row.__struct_fields__
