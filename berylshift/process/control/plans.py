"""Plans of pools: which engines are being moved, as every host must know.

The holder of a pool's lease writes the plan before it orders anything. A host that
holds the plan sends no new work to a moving engine; one that can't confirm its view
within the freshness limit sends no work at all. So once that limit is over and the
engine reports that it is empty, the order cuts nothing.
"""

from dataclasses import dataclass, field

import msgspec

from berylshift.ids import PoolName, TargetName
from berylshift.targets import LoadReport, Order


class Move(msgspec.Struct, frozen=True):
    """An engine that leaves the pool for a change, and what it is to become."""

    engine: TargetName
    aim: Order


class PlanRow(msgspec.Struct, frozen=True):
    """A pool's plan; the version rises with each change of it."""

    version: int
    moves: list[Move]


def plan_key(pool: PoolName) -> str:
    """Return the table key of a pool's plan."""
    return f"plan/{pool}"


@dataclass
class Plans:
    """The plans in force here, by pool; versions only rise."""

    rows: dict[PoolName, PlanRow] = field(default_factory=dict)
    seen_at: dict[PoolName, float] = field(default_factory=dict)
    _moving: frozenset[TargetName] = frozenset()

    @property
    def total(self) -> int:
        """Return the sum of all versions: it rises whenever any plan changes."""
        return sum(row.version for row in self.rows.values())

    def offer(self, pool: PoolName, row: PlanRow, now: float) -> None:
        """Put a plan in force if it is newer."""
        current = self.rows.get(pool)
        if current is not None and row.version <= current.version:
            return
        self.rows[pool] = row
        self.seen_at[pool] = now
        self._moving = frozenset(
            move.engine for plan in self.rows.values() for move in plan.moves
        )

    def is_moving(self, target: TargetName) -> bool:
        """Return whether new work must keep away from a target."""
        return target in self._moving


def is_empty(report: LoadReport | None, taken_at: float, asked_since: float) -> bool:
    """Return whether a report from after ``asked_since`` shows an idle engine."""
    if report is None or taken_at <= asked_since:
        return False
    return not report.running and not report.waiting and not report.prefill_tokens
