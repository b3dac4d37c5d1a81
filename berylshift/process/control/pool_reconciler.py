"""What the holder of a pool's lease does next about its engines and its plan."""

from dataclasses import dataclass, field

import msgspec

from berylshift.ids import Epoch, TargetName
from berylshift.process.control.orders import (
    EngineView,
    JournalRow,
    JournalState,
    OrderAct,
    OrderDesk,
    role_order,
)
from berylshift.process.control.plans import Move, PlanRow, is_empty
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

MOVE_LIMIT_SECONDS = 90.0


@dataclass(frozen=True)
class EngineNote:
    """An engine's rows and report as the holder has just read them."""

    row: Row
    journal: JournalRow | None
    revision: int
    journal_since: float
    report: LoadReport | None
    report_taken_at: float

    @property
    def view(self) -> EngineView:
        """Return what the orders' desk looks at."""
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
        """Return whether no order is under way."""
        return self.journal is None or self.journal.state is JournalState.IDLE


@dataclass
class PoolNotes:
    """When this process first saw each row as it is now."""

    plan_version: int = -1
    plan_since: float = 0.0
    move_since: dict[TargetName, float] = field(default_factory=dict)
    journals: dict[TargetName, tuple[int, float]] = field(default_factory=dict)

    def plan_seen(self, plan: PlanRow, now: float) -> None:
        """Note the plan's version."""
        if plan.version != self.plan_version:
            self.plan_version, self.plan_since = plan.version, now
        engines = {move.engine for move in plan.moves}
        self.move_since = {
            engine: self.move_since.get(engine, now) for engine in engines
        }

    def journal_seen(self, engine: TargetName, revision: int, now: float) -> float:
        """Note a journal row's revision; return since when it has been seen."""
        seen = self.journals.get(engine)
        if seen is None or seen[0] != revision:
            self.journals[engine] = (revision, now)
        return self.journals[engine][1]


@dataclass(frozen=True)
class PoolStep:
    """One thing to do: rows to write together, and then perhaps an order to send."""

    reason: str
    note: EngineNote | None = None
    plan: PlanRow | None = None
    journal: JournalRow | None = None
    send: bool = False

    def describe(self) -> dict[str, str]:
        """Return the step for a log line."""
        found = {"why": self.reason}
        if self.note is not None:
            found["engine"] = self.note.row.name
        if self.journal is not None:
            found["order"] = str(self.journal.order.number)
        return found


@dataclass
class PoolDesk:
    """Decides for one pool; sync, fed with what was just read."""

    cfg: Settings
    orders: OrderDesk
    planner: RolePlanner
    _planned_at: float = float("-inf")

    def decide(
        self,
        plan: PlanRow,
        seen: PoolNotes,
        notes: list[EngineNote],
        demand: Mix,
        epoch: Epoch,
        now: float,
    ) -> list[PoolStep]:
        """Return the steps to take now; at most one of them changes the plan."""
        by_name = {note.row.name: note for note in notes}
        steps = []
        for note in notes:
            step = self._order_step(plan, seen, note, epoch, now)
            if step is not None:
                steps.append(step)
        change = self._plan_step(plan, seen, by_name, demand, now)
        return [*steps, change] if change is not None else steps

    # Orders

    def _order_step(
        self,
        plan: PlanRow,
        seen: PoolNotes,
        note: EngineNote,
        epoch: Epoch,
        now: float,
    ) -> PoolStep | None:
        wanted = self._wanted(plan, seen, note, now)
        act = self.orders.decide(note.view, wanted, now)
        match act:
            case OrderAct.ISSUE:
                if note.row.state is not RowState.WITHDRAWN:
                    row = self.orders.next_row(note.view, wanted, epoch)
                    return PoolStep("order", note, journal=row, send=True)
            case OrderAct.SEND:
                return PoolStep("order is sent", note, send=True)
            case OrderAct.SETTLE:
                row = msgspec.structs.replace(note.journal, settled=True)
                return PoolStep("no copy is left", note, journal=row)
            case OrderAct.CLOSE:
                row = msgspec.structs.replace(
                    note.journal, state=JournalState.IDLE, settled=True
                )
                return PoolStep("order is carried out", note, journal=row)
        return None

    def _wanted(
        self, plan: PlanRow, seen: PoolNotes, note: EngineNote, now: float
    ) -> Order | None:
        """Return what the plan wants of an engine, once it may be ordered."""
        for move in plan.moves:
            if move.engine == note.row.name and self._may_order(seen, note, now):
                return None if self._fits(note, move.aim) else move.aim
        return None

    def _may_order(self, seen: PoolNotes, note: EngineNote, now: float) -> bool:
        """Return whether an order would cut nothing.

        After the freshness limit no host sends new work by an older plan, so a
        report from after that which shows an empty engine stays true.
        """
        if note.report is not None and note.report.role is Role.UNKNOWN:
            return True
        asked_since = seen.plan_since + self.cfg.table.freshness_limit
        return is_empty(note.report, note.report_taken_at, asked_since)

    # The plan

    def _plan_step(
        self,
        plan: PlanRow,
        seen: PoolNotes,
        notes: dict[TargetName, EngineNote],
        demand: Mix,
        now: float,
    ) -> PoolStep | None:
        for move in plan.moves:
            why = self._move_is_over(move, seen, notes.get(move.engine), now)
            if why:
                rest = [other for other in plan.moves if other is not move]
                return PoolStep(why, notes.get(move.engine), plan=_next(plan, rest))
        moving = {move.engine for move in plan.moves}
        lost = self._lost(notes, moving)
        if lost is not None:
            moves = [*plan.moves, Move(lost.row.name, self._last_aim(lost))]
            return PoolStep("role is unknown", lost, plan=_next(plan, moves))
        change = self._role_change(notes, moving, demand, now)
        if change is None:
            return None
        moves = [*plan.moves, Move(change.engine, role_order(change.role))]
        reason = f"becomes {change.role}: {change.reason}"
        return PoolStep(reason, notes[change.engine], plan=_next(plan, moves))

    def _move_is_over(
        self, move: Move, seen: PoolNotes, note: EngineNote | None, now: float
    ) -> str:
        """Return why a move ends, or nothing."""
        if note is None or note.row.state is RowState.WITHDRAWN:
            return "engine is withdrawn"
        if not note.is_idle:
            return ""
        if self._fits(note, move.aim):
            return "move is done"
        began = seen.move_since.get(move.engine, now)
        if now - began > MOVE_LIMIT_SECONDS:
            return "move is given up: the engine did not become empty"
        return ""

    def _fits(self, note: EngineNote, aim: Order) -> bool:
        report = note.report
        if report is None or report.changing:
            return False
        if aim.kind is OrderKind.ROLE:
            return report.role is aim.role
        return (report.model, report.version) == (aim.model, aim.version)

    def _lost(
        self, notes: dict[TargetName, EngineNote], moving: set[TargetName]
    ) -> EngineNote | None:
        """Return an engine that came back in an unknown role."""
        for note in notes.values():
            unknown = note.report is not None and note.report.role is Role.UNKNOWN
            active = note.row.state is not RowState.WITHDRAWN
            if unknown and active and note.row.name not in moving:
                return note
        return None

    def _last_aim(self, note: EngineNote) -> Order:
        journal = note.journal
        if journal is not None and journal.order.kind is OrderKind.ROLE:
            return role_order(journal.order.role)
        return role_order(Role.MIXED)

    def _role_change(
        self,
        notes: dict[TargetName, EngineNote],
        moving: set[TargetName],
        demand: Mix,
        now: float,
    ) -> RoleChange | None:
        if now - self._planned_at < self.cfg.policy.plan_interval:
            return None
        self._planned_at = now
        engines = tuple(
            EngineState(
                name=note.row.name,
                role=note.report.role,
                rested=now - note.journal_since,
                movable=note.is_idle and note.row.name not in moving,
            )
            for note in notes.values()
            if note.row.takes_work and note.report is not None
        )
        state = PoolState(engines, demand.prefill_rate, demand.decode_rate, len(moving))
        return self.planner.decide(state, now)


def _next(plan: PlanRow, moves: list[Move]) -> PlanRow:
    return PlanRow(plan.version + 1, moves)
