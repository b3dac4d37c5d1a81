"""Decides the lease holder's next steps for a pool's plan and engines."""

from dataclasses import dataclass, field

import msgspec

from berylshift.ids import Epoch, TargetName
from berylshift.process.control.orders import (
    EngineView,
    JournalRow,
    JournalState,
    OrderAction,
    OrderReconciler,
    role_order,
)
from berylshift.process.control.plans import Move, PlanRow, is_idle_since
from berylshift.process.control.roles import (
    EngineState,
    PoolState,
    RoleChange,
    RolePlanner,
)
from berylshift.process.membership.digest import Mix
from berylshift.settings import Settings
from berylshift.targets import LoadReport, Order, OrderKind, Role
from berylshift.version.rows import Row, RowState

MAX_MOVE_SECONDS = 90.0


@dataclass(frozen=True)
class EngineSnapshot:
    """An engine's rows and report as just read by the lease holder."""

    row: Row
    journal: JournalRow | None
    revision: int
    journal_since: float
    report: LoadReport | None
    report_taken_at: float

    @property
    def view(self) -> EngineView:
        """Return the part that ``OrderReconciler`` needs."""
        return EngineView(
            name=self.row.name,
            check=self.row.orders,
            journal=self.journal,
            report=self.report,
            report_taken_at=self.report_taken_at,
            journal_since=self.journal_since,
        )

    @property
    def is_idle(self) -> bool:
        """Return whether no order is in progress."""
        return self.journal is None or self.journal.state is JournalState.IDLE


@dataclass
class ObservationTimes:
    """When this process first observed the current version of each row."""

    plan_version: int = -1
    plan_since: float = 0.0
    move_since: dict[TargetName, float] = field(default_factory=dict)
    journals: dict[TargetName, tuple[int, float]] = field(default_factory=dict)

    def observe_plan(self, plan: PlanRow, now: float) -> None:
        """Record the plan's version and its moves."""
        if plan.version != self.plan_version:
            self.plan_version, self.plan_since = plan.version, now
        engines = {move.engine for move in plan.moves}
        self.move_since = {
            engine: self.move_since.get(engine, now) for engine in engines
        }

    def observe_journal(self, engine: TargetName, revision: int, now: float) -> float:
        """Record a journal row's revision; return when it was first observed."""
        observed = self.journals.get(engine)
        if observed is None or observed[0] != revision:
            self.journals[engine] = (revision, now)
        return self.journals[engine][1]


@dataclass(frozen=True)
class PoolStep:
    """One step: rows to write in one transaction, then optionally an order to send."""

    reason: str
    snapshot: EngineSnapshot | None = None
    plan: PlanRow | None = None
    journal: JournalRow | None = None
    send: bool = False

    def describe(self) -> dict[str, str]:
        """Return the step as fields of a log record."""
        found = {"why": self.reason}
        if self.snapshot is not None:
            found["engine"] = self.snapshot.row.name
        if self.journal is not None:
            found["order"] = str(self.journal.order.number)
        return found


@dataclass
class PoolReconciler:
    """Decides for one pool from rows and reports that were just read; does no I/O."""

    cfg: Settings
    orders: OrderReconciler
    planner: RolePlanner
    _planned_at: float = float("-inf")

    def decide(
        self,
        plan: PlanRow,
        observed: ObservationTimes,
        snapshots: list[EngineSnapshot],
        demand: Mix,
        epoch: Epoch,
        now: float,
    ) -> list[PoolStep]:
        """Return the steps to execute now; at most one of them changes the plan."""
        by_name = {snapshot.row.name: snapshot for snapshot in snapshots}
        steps = []
        for snapshot in snapshots:
            step = self._order_step(plan, observed, snapshot, epoch, now)
            if step is not None:
                steps.append(step)
        change = self._plan_step(plan, observed, by_name, demand, now)
        return [*steps, change] if change is not None else steps

    # Orders

    def _order_step(
        self,
        plan: PlanRow,
        observed: ObservationTimes,
        snapshot: EngineSnapshot,
        epoch: Epoch,
        now: float,
    ) -> PoolStep | None:
        desired = self._desired_order(plan, observed, snapshot, now)
        action = self.orders.decide(snapshot.view, desired, now)
        match action:
            case OrderAction.ISSUE:
                if snapshot.row.state is not RowState.WITHDRAWN:
                    row = self.orders.next_row(snapshot.view, desired, epoch)
                    return PoolStep("order", snapshot, journal=row, send=True)
            case OrderAction.SEND:
                return PoolStep("order is sent", snapshot, send=True)
            case OrderAction.SETTLE:
                row = msgspec.structs.replace(snapshot.journal, settled=True)
                return PoolStep("no copy is left", snapshot, journal=row)
            case OrderAction.CLOSE:
                row = msgspec.structs.replace(
                    snapshot.journal, state=JournalState.IDLE, settled=True
                )
                return PoolStep("order is carried out", snapshot, journal=row)
        return None

    def _desired_order(
        self,
        plan: PlanRow,
        observed: ObservationTimes,
        snapshot: EngineSnapshot,
        now: float,
    ) -> Order | None:
        """Return the order that the plan calls for, once it may be sent."""
        for move in plan.moves:
            if move.engine == snapshot.row.name and self._may_order(
                observed, snapshot, now
            ):
                return None if self._matches_aim(snapshot, move.aim) else move.aim
        return None

    def _may_order(
        self, observed: ObservationTimes, snapshot: EngineSnapshot, now: float
    ) -> bool:
        """Return whether an order would interrupt no request.

        Once the freshness limit has passed, no host sends new work by an older plan,
        so an engine that reports itself idle after that stays idle.
        """
        if snapshot.report is not None and snapshot.report.role is Role.UNKNOWN:
            return True
        drained_since = observed.plan_since + self.cfg.table.freshness_limit
        return is_idle_since(snapshot.report, snapshot.report_taken_at, drained_since)

    # The plan

    def _plan_step(
        self,
        plan: PlanRow,
        observed: ObservationTimes,
        snapshots: dict[TargetName, EngineSnapshot],
        demand: Mix,
        now: float,
    ) -> PoolStep | None:
        for move in plan.moves:
            why = self._move_end_reason(move, observed, snapshots.get(move.engine), now)
            if why:
                rest = [other for other in plan.moves if other is not move]
                return PoolStep(
                    why, snapshots.get(move.engine), plan=_next_plan(plan, rest)
                )
        moving = {move.engine for move in plan.moves}
        roleless = self._with_unknown_role(snapshots, moving)
        if roleless is not None:
            moves = [*plan.moves, Move(roleless.row.name, self._last_aim(roleless))]
            return PoolStep("role is unknown", roleless, plan=_next_plan(plan, moves))
        change = self._role_change(snapshots, moving, demand, now)
        if change is None:
            return None
        moves = [*plan.moves, Move(change.engine, role_order(change.role))]
        reason = f"becomes {change.role}: {change.reason}"
        return PoolStep(reason, snapshots[change.engine], plan=_next_plan(plan, moves))

    def _move_end_reason(
        self,
        move: Move,
        observed: ObservationTimes,
        snapshot: EngineSnapshot | None,
        now: float,
    ) -> str:
        """Return why a move ends, or an empty string."""
        if snapshot is None or snapshot.row.state is RowState.WITHDRAWN:
            return "engine is withdrawn"
        if not snapshot.is_idle:
            return ""
        if self._matches_aim(snapshot, move.aim):
            return "move is done"
        began = observed.move_since.get(move.engine, now)
        if now - began > MAX_MOVE_SECONDS:
            return "move is given up: the engine did not become empty"
        return ""

    def _matches_aim(self, snapshot: EngineSnapshot, aim: Order) -> bool:
        report = snapshot.report
        if report is None or report.changing:
            return False
        if aim.kind is OrderKind.ROLE:
            return report.role is aim.role
        return (report.model, report.version) == (aim.model, aim.version)

    def _with_unknown_role(
        self, snapshots: dict[TargetName, EngineSnapshot], moving: set[TargetName]
    ) -> EngineSnapshot | None:
        """Return an engine that restarted in an unknown role."""
        for snapshot in snapshots.values():
            unknown = (
                snapshot.report is not None and snapshot.report.role is Role.UNKNOWN
            )
            active = snapshot.row.state is not RowState.WITHDRAWN
            if unknown and active and snapshot.row.name not in moving:
                return snapshot
        return None

    def _last_aim(self, snapshot: EngineSnapshot) -> Order:
        journal = snapshot.journal
        if journal is not None and journal.order.kind is OrderKind.ROLE:
            return role_order(journal.order.role)
        return role_order(Role.MIXED)

    def _role_change(
        self,
        snapshots: dict[TargetName, EngineSnapshot],
        moving: set[TargetName],
        demand: Mix,
        now: float,
    ) -> RoleChange | None:
        if now - self._planned_at < self.cfg.policy.plan_interval:
            return None
        self._planned_at = now
        engines = tuple(
            EngineState(
                name=snapshot.row.name,
                role=snapshot.report.role,
                seconds_since_change=now - snapshot.journal_since,
                movable=snapshot.is_idle and snapshot.row.name not in moving,
            )
            for snapshot in snapshots.values()
            if snapshot.row.accepts_work and snapshot.report is not None
        )
        state = PoolState(engines, demand.prefill_rate, demand.decode_rate, len(moving))
        return self.planner.decide(state, now)


def _next_plan(plan: PlanRow, moves: list[Move]) -> PlanRow:
    return PlanRow(plan.version + 1, moves)
