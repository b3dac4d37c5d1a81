"""Orders to engines: journalled before they are sent, one at a time per engine.

An order is sent only after it was journalled by a transaction that also checks the
pool's epoch, so a process that lost its lease can't journal. It can still be paused
between the journal write and the send, and send much later. An engine that refuses
outdated order numbers is safe from that. For an engine that ignores them, no other
order is journalled until no copy of the previous one can still arrive. See
docs/design/leases-and-orders.md.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, StrEnum

import msgspec

from berylshift.ids import Epoch, Incarnation, OrderNumber, TargetName
from berylshift.targets import LoadReport, Order, OrderKind, Role
from berylshift.version.rows import OrderCheck

DEAD_SENDER_WAIT_SECONDS = 10.0
REPORT_GRACE_SECONDS = 3.0


class JournalState(StrEnum):
    """Whether an order may still be in progress."""

    IDLE = "idle"
    ISSUED = "issued"


class JournalRow(msgspec.Struct, frozen=True):
    """An engine's newest order, which ``sender`` may send or has sent.

    ``settled``: every copy of it was answered or never sent.
    """

    state: JournalState
    order: Order
    sender: Incarnation
    settled: bool


def journal_key(engine: TargetName) -> str:
    """Return the table key of an engine's journal."""
    return f"order/{engine}"


class SendOutcome(Enum):
    """Outcome of sending one copy of an order."""

    ACCEPTED = "taken"
    NOT_SENT = "not sent"
    REFUSED = "refused"
    STALE = "stale"
    UNKNOWN = "unknown"


class OrderAction(Enum):
    """The lease holder's next operation on an engine's journal."""

    NOTHING = "nothing"
    WAIT = "wait for the former order's copies"
    ISSUE = "journal the order with a new number"
    SEND = "send the journalled order"
    SETTLE = "note that no copy is left"
    CLOSE = "note that the order is done"


@dataclass
class InFlightOrders:
    """Copies of journalled orders that this process has sent, by engine.

    At most one copy per engine is in flight. It is accounted for once the engine
    reports the order's number, or once the engine has restarted, since the copy was
    addressed to the previous process.
    """

    unanswered: dict[TargetName, tuple[OrderNumber, Incarnation]] = field(
        default_factory=dict
    )
    accepted: dict[TargetName, OrderNumber] = field(default_factory=dict)

    def record_send(
        self, engine: TargetName, number: OrderNumber, recipient: Incarnation
    ) -> None:
        """Record that a copy is being sent to an incarnation of an engine."""
        self.unanswered[engine] = (number, recipient)

    def observe(self, engine: TargetName, report: LoadReport) -> None:
        """Resolve an unanswered copy from the engine's report."""
        if engine not in self.unanswered:
            return
        number, recipient = self.unanswered[engine]
        if report.order == number:
            self.record_outcome(engine, number, SendOutcome.ACCEPTED)
        elif report.incarnation != recipient:
            self.record_outcome(engine, number, SendOutcome.NOT_SENT)

    def record_outcome(
        self, engine: TargetName, number: OrderNumber, outcome: SendOutcome
    ) -> None:
        """Record the outcome of a send; an unanswered copy stays in flight."""
        if outcome is SendOutcome.UNKNOWN:
            return
        if self.unanswered.get(engine, (None,))[0] == number:
            del self.unanswered[engine]
        if outcome is SendOutcome.ACCEPTED:
            self.accepted[engine] = number

    def is_in_flight(self, engine: TargetName) -> bool:
        """Return whether a copy may still be in flight."""
        return engine in self.unanswered


@dataclass(frozen=True)
class EngineView:
    """What the lease holder knows of an engine when it decides."""

    name: TargetName
    check: OrderCheck
    journal: JournalRow | None
    report: LoadReport | None
    report_taken_at: float
    journal_since: float


@dataclass(frozen=True)
class OrderReconciler:
    """Decides about orders on behalf of the lease holder of a pool."""

    incarnation: Incarnation
    in_flight: InFlightOrders
    is_terminated: Callable[[Incarnation], bool]

    def decide(
        self, view: EngineView, desired: Order | None, now: float
    ) -> OrderAction:
        """Return the next operation; ``desired`` is the order that the plan needs."""
        journal = view.journal
        if journal is None or journal.state is JournalState.IDLE:
            return OrderAction.ISSUE if desired is not None else OrderAction.NOTHING
        if self.is_done(view):
            return OrderAction.CLOSE
        if view.check is OrderCheck.REFUSES:
            return self._decide_fenced(view, desired)
        return self._decide_unfenced(view, desired, now)

    def is_done(self, view: EngineView) -> bool:
        """Return whether the engine reports that the order is complete."""
        report, journal = view.report, view.journal
        if report is None or report.changing or journal is None:
            return False
        if report.order != journal.order.number:
            return False
        # The only copy that can be in flight is the one that the engine accepted.
        return not self.in_flight.is_in_flight(view.name) and _matches_aim(
            report, journal
        )

    def _decide_fenced(self, view: EngineView, desired: Order | None) -> OrderAction:
        """Proceed without waiting: the engine refuses outdated copies by number."""
        journal = view.journal
        is_own = journal.sender == self.incarnation
        if desired is not None and not desired.has_same_goal(journal.order):
            return OrderAction.ISSUE
        return OrderAction.SEND if is_own else OrderAction.ISSUE

    def _decide_unfenced(
        self, view: EngineView, desired: Order | None, now: float
    ) -> OrderAction:
        if not view.journal.settled:
            return self._account_for_copies(view, now)
        # No copy is in flight, but the engine may still be executing the order: a new
        # number is journalled only after a later report shows that it is not.
        report = view.report
        late_enough = view.report_taken_at > view.journal_since + REPORT_GRACE_SECONDS
        if report is None or report.changing or not late_enough:
            return OrderAction.WAIT
        return OrderAction.ISSUE

    def _account_for_copies(self, view: EngineView, now: float) -> OrderAction:
        """Return the next operation until no copy of the journalled order is left."""
        journal = view.journal
        if journal.sender == self.incarnation:
            if self.in_flight.is_in_flight(view.name):
                return OrderAction.WAIT
            done = self.in_flight.accepted.get(view.name) == journal.order.number
            return OrderAction.SETTLE if done else OrderAction.SEND
        unchanged_seconds = now - view.journal_since
        if (
            self.is_terminated(journal.sender)
            and unchanged_seconds >= DEAD_SENDER_WAIT_SECONDS
        ):
            return OrderAction.SETTLE
        return OrderAction.WAIT

    def next_row(
        self, view: EngineView, desired: Order | None, epoch: Epoch
    ) -> JournalRow:
        """Return the journal row of a new order."""
        aim = desired if desired is not None else view.journal.order
        last = view.journal.order.number if view.journal else 0
        order = msgspec.structs.replace(
            aim, number=OrderNumber(last + 1), issuer=self.incarnation, epoch=epoch
        )
        return JournalRow(JournalState.ISSUED, order, self.incarnation, settled=False)


def _matches_aim(report: LoadReport, journal: JournalRow) -> bool:
    order = journal.order
    if order.kind is OrderKind.ROLE:
        return report.role is order.role
    return (report.model, report.version) == (order.model, order.version)


def role_order(role: Role) -> Order:
    """Return the aim of a role change; ``next_row`` sets number, issuer and epoch."""
    return Order(OrderNumber(0), OrderKind.ROLE, role=role)
