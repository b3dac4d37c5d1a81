"""Plans of pools: which engines are being moved to another role or version.

The holder of a pool's lease writes the plan before it sends any order. A host that
has read the plan sends no new work to a moving engine; one that can't confirm its
view within the freshness limit sends no work at all. Once that limit has passed and
the engine reports that it is idle, the order interrupts no request.
"""

from dataclasses import dataclass, field

import msgspec

from berylshift.ids import PoolName, TargetName
from berylshift.targets import LoadReport, Order


class Move(msgspec.Struct, frozen=True):
    """An engine that takes no new work until it has reached ``aim``."""

    engine: TargetName
    aim: Order


class PlanRow(msgspec.Struct, frozen=True):
    """A pool's plan; each change increments the version."""

    version: int
    moves: list[Move]


def plan_key(pool: PoolName) -> str:
    """Return the table key of a pool's plan."""
    return f"plan/{pool}"


@dataclass
class Plans:
    """The plans in force on this host, by pool; versions only increase."""

    rows: dict[PoolName, PlanRow] = field(default_factory=dict)
    seen_at: dict[PoolName, float] = field(default_factory=dict)
    _moving: frozenset[TargetName] = frozenset()

    @property
    def total(self) -> int:
        """Return the sum of all versions, which increases when any plan changes."""
        return sum(row.version for row in self.rows.values())

    def apply_if_newer(self, pool: PoolName, row: PlanRow, now: float) -> None:
        """Put a plan in force if it is newer than the current one."""
        current = self.rows.get(pool)
        if current is not None and row.version <= current.version:
            return
        self.rows[pool] = row
        self.seen_at[pool] = now
        self._moving = frozenset(
            move.engine for plan in self.rows.values() for move in plan.moves
        )

    def is_moving(self, target: TargetName) -> bool:
        """Return whether a target must get no new work because it is being moved."""
        return target in self._moving


def is_idle_since(report: LoadReport | None, taken_at: float, since: float) -> bool:
    """Return whether a report taken after ``since`` shows an idle engine."""
    if report is None or taken_at <= since:
        return False
    return not report.running and not report.waiting and not report.prefill_tokens
