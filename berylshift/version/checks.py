"""Validation of a whole table; each fault names its row, column and reason."""

from collections.abc import Iterable, Iterator
from ipaddress import ip_address

import msgspec

from berylshift.version.rows import OrderCheck, Row, RowKey, RowKind

MAX_WEIGHT = 1_000_000
MAX_PORT = 65535
REQUIRED_COLUMNS = {
    RowKind.ENGINE: ("target", "serves", "address", "domain", "orders"),
    RowKind.SERVICE: ("target", "serves", "address", "domain"),
    RowKind.ROUTE: ("target", "fleet"),
    RowKind.CUSTOMER: ("target", "fleet"),
    RowKind.HOST: ("target",),
}


class Fault(msgspec.Struct, frozen=True):
    """One validation error of a table."""

    row: str
    column: str
    value: str
    reason: str

    def __str__(self) -> str:
        """Return the fault as shown to operators."""
        return f"row {self.row}, column {self.column}: {self.value!r}: {self.reason}"


def check_rows(rows: Iterable[Row]) -> list[Fault]:
    """Return all faults of a table: row faults first, in the order of the rows."""
    rows = list(rows)
    faults = [fault for row in rows for fault in _row_faults(row)]
    faults += _duplicate_keys(rows)
    faults += _duplicate_addresses(rows)
    faults += _reference_faults(rows)
    return faults


def _row_faults(row: Row) -> Iterator[Fault]:
    for column in REQUIRED_COLUMNS[row.kind]:
        if not getattr(row, column):
            yield _fault(row, column, f"a row of kind {row.kind} needs it")
    if not 0 <= row.weight <= MAX_WEIGHT:
        yield _fault(row, "weight", f"must be 0 to {MAX_WEIGHT}")
    if row.limit < 0:
        yield _fault(row, "limit", "must be 0 (no limit) or more")
    if row.address and not is_valid_address(row.address):
        yield _fault(row, "address", "must be IP:PORT, as in 10.0.0.1:8000")
    if row.orders is not OrderCheck.NONE and row.kind is not RowKind.ENGINE:
        yield _fault(row, "orders", "only allowed for engines")
    if "/" in row.target:
        yield _fault(row, "target", "must not contain a slash")


def is_valid_address(address: str, min_port: int = 1) -> bool:
    """Return whether ``address`` is ``IP:PORT`` with at least port ``min_port``."""
    host, _, port = address.rpartition(":")
    try:
        ip_address(host)
    except ValueError:
        return False
    return port.isdigit() and min_port <= int(port) <= MAX_PORT


def _duplicate_keys(rows: list[Row]) -> Iterator[Fault]:
    seen: set[RowKey] = set()
    for row in rows:
        if row.key in seen:
            yield _fault(row, "target", "another row has the same key")
        seen.add(row.key)


def _duplicate_addresses(rows: list[Row]) -> Iterator[Fault]:
    owners: dict[str, Row] = {}
    for row in rows:
        if not row.address:
            continue
        other = owners.setdefault(row.address, row)
        if other is not row:
            yield _fault(row, "address", f"row {other.key} has the same address")


def _reference_faults(rows: list[Row]) -> Iterator[Fault]:
    kinds = (RowKind.ENGINE, RowKind.SERVICE)
    targets = {row.target: row for row in rows if row.kind in kinds}
    names = [row.target for row in rows if row.kind in kinds]
    fleets = {row.fleet for row in rows if row.kind is RowKind.ROUTE}
    for row in rows:
        if row.kind in kinds and names.count(row.target) > 1:
            yield _fault(row, "target", "an engine and a service share this name")
        if row.kind is RowKind.ROUTE:
            yield from _route_faults(row, targets.get(row.target))
        if row.kind is RowKind.CUSTOMER and row.fleet and row.fleet not in fleets:
            yield _fault(row, "fleet", "no route row names this fleet")


def _route_faults(row: Row, target: Row | None) -> Iterator[Fault]:
    if target is None:
        yield _fault(row, "target", "no engine or service row has this name")
        return
    if target.limit and row.limit > target.limit:
        reason = f"more than the {target.limit} that row {target.key} allows"
        yield _fault(row, "limit", reason)


def _fault(row: Row, column: str, reason: str) -> Fault:
    return Fault(str(row.key), column, str(getattr(row, column)), reason)
