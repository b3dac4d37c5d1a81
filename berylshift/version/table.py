"""One immutable version of the operators' table, indexed for routing."""

from collections import defaultdict
from collections.abc import Iterable
from functools import cached_property

import msgspec

from berylshift.ids import FleetName, TableVersion, TargetName, WorkName
from berylshift.version.rows import Row, RowKey, RowKind, RowState

EMPTY_VERSION = TableVersion(0)


class Change(msgspec.Struct, frozen=True):
    """Rows written and removed by one accepted edit; ``at`` is a wall-clock time."""

    version: TableVersion
    change_id: str
    operator: str
    at: str
    put: list[Row]
    drop: list[RowKey]


class Candidate(msgspec.Struct, frozen=True):
    """A target that a fleet's work may be sent to, with its weight and limit."""

    row: Row
    weight: int
    limit: int


class Table:
    """Rows of one version, indexed by key, target, customer and host."""

    def __init__(self, version: TableVersion, rows: Iterable[Row]):
        """Index ``rows``, which must be valid already."""
        self.version = version
        self.rows: dict[RowKey, Row] = {row.key: row for row in rows}
        self.targets: dict[TargetName, Row] = {}
        self.customers: dict[str, Row] = {}
        self.hosts: dict[str, Row] = {}
        for row in self.rows.values():
            self._index(row)

    def _index(self, row: Row) -> None:
        if row.kind in (RowKind.ENGINE, RowKind.SERVICE):
            self.targets[row.name] = row
        elif row.kind is RowKind.CUSTOMER:
            self.customers[row.target] = row
        elif row.kind is RowKind.HOST:
            self.hosts[row.target] = row

    @cached_property
    def _candidates(self) -> dict[tuple[str, str], list[Candidate]]:
        found: dict[tuple[str, str], list[Candidate]] = defaultdict(list)
        for route in self.rows.values():
            if route.kind is not RowKind.ROUTE or not route.weight:
                continue
            target = self.targets.get(route.name)
            if target and target.accepts_work and route.accepts_work:
                limits = [limit for limit in (route.limit, target.limit) if limit]
                candidate = Candidate(target, route.weight, min(limits, default=0))
                found[route.fleet, target.serves].append(candidate)
        return dict(found)

    def candidates(self, fleet: FleetName, work: WorkName) -> list[Candidate]:
        """Return the targets that accept new ``work`` of this fleet."""
        return self._candidates.get((fleet, work), [])

    def engines(self) -> list[Row]:
        """Return all engines, whatever their state."""
        return [row for row in self.targets.values() if row.kind is RowKind.ENGINE]

    def host_state(self, host: str) -> RowState:
        """Return the state of a host; a host without a row is active."""
        row = self.hosts.get(host)
        return row.state if row else RowState.ACTIVE

    def apply(self, change: Change) -> "Table":
        """Return the next version."""
        if change.version != self.version + 1:
            raise ValueError(f"version {change.version} can't follow {self.version}")
        rows = dict(self.rows)
        for key in change.drop:
            rows.pop(key, None)
        rows.update({row.key: row for row in change.put})
        return Table(change.version, rows.values())


EMPTY_TABLE = Table(EMPTY_VERSION, [])
