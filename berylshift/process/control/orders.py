"""Orders to engines: journalled before they are sent, one at a time.

An order is sent only after a transaction that also checks the pool's epoch: a
process that lost its lease can't journal. But it can be paused between the journal
and the send, wake later, and send. An engine that refuses old numbers is safe from
that. For one that ignores them, no different order is journalled until every copy
of the former is accounted for. See docs/design/leases-and-orders.md.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, StrEnum

import msgspec

from berylshift.ids import Epoch, Incarnation, OrderNumber, TargetName
from berylshift.targets import LoadReport, Order, OrderKind, Role
from berylshift.version.rows import OrderCheck

SETTLE_SECONDS = 10.0
REPORT_GRACE_SECONDS = 3.0


class JournalState(StrEnum):
    """Whether an order may still be under way."""

    IDLE = "idle"
    ISSUED = "issued"


class JournalRow(msgspec.Struct, frozen=True):
    """An engine's newest order. ``sender`` may still send it or have sent it.

    ``settled`` says that every copy of it has been answered or was never sent.
    """

    state: JournalState
    order: Order
    sender: Incarnation
    settled: bool


def journal_key(engine: TargetName) -> str:
    """Return the table key of an engine's journal."""
    return f"order/{engine}"


class SendEnd(Enum):
    """How the send of one copy ended."""

    TAKEN = "taken"
    NOT_SENT = "not sent"
    REFUSED = "refused"
    STALE = "stale"
    UNKNOWN = "unknown"


class OrderAct(Enum):
    """What the holder of a pool's lease does about an engine's journal."""

    NOTHING = "nothing"
    WAIT = "wait for the former order's copies"
    ISSUE = "journal the order with a new number"
    SEND = "send the journalled order"
    SETTLE = "note that no copy is left"
    CLOSE = "note that the order is done"


@dataclass
class CopyBook:
    """The copies of journalled orders that this process has sent, by engine.

    At most one copy of an order is under way, so the engine's own word that it
    took the order accounts for it. So does a restart of the engine: the copy went
    to a process that is gone.
    """

    unanswered: dict[TargetName, tuple[OrderNumber, Incarnation]] = field(
        default_factory=dict
    )
    closed: dict[TargetName, OrderNumber] = field(default_factory=dict)

    def sending(self, engine: TargetName, number: OrderNumber, to: Incarnation) -> None:
        """Note that a copy goes out to an incarnation of an engine."""
        self.unanswered[engine] = (number, to)

    def observe(self, engine: TargetName, report: LoadReport) -> None:
        """Account for a copy without an answer by the engine's own report."""
        if engine not in self.unanswered:
            return
        number, to = self.unanswered[engine]
        if report.order == number:
            self.ended(engine, number, SendEnd.TAKEN)
        elif report.incarnation != to:
            self.ended(engine, number, SendEnd.NOT_SENT)

    def ended(self, engine: TargetName, number: OrderNumber, end: SendEnd) -> None:
        """Take the end of a send; one without an answer stays on the books."""
        if end is SendEnd.UNKNOWN:
            return
        if self.unanswered.get(engine, (None,))[0] == number:
            del self.unanswered[engine]
        if end is SendEnd.TAKEN:
            self.closed[engine] = number

    def open(self, engine: TargetName) -> bool:
        """Return whether a copy may still be under way."""
        return engine in self.unanswered


@dataclass(frozen=True)
class EngineView:
    """What the holder knows of an engine when it decides."""

    name: TargetName
    check: OrderCheck
    journal: JournalRow | None
    report: LoadReport | None
    report_taken_at: float
    journal_since: float


@dataclass(frozen=True)
class OrderDesk:
    """Decides about orders for the holder of a pool's lease."""

    me: Incarnation
    copies: CopyBook
    gone: Callable[[Incarnation], bool]

    def decide(self, view: EngineView, wanted: Order | None, now: float) -> OrderAct:
        """Return what to do next; ``wanted`` is the order that the planner wants."""
        journal = view.journal
        if journal is None or journal.state is JournalState.IDLE:
            return OrderAct.ISSUE if wanted is not None else OrderAct.NOTHING
        if self.is_done(view):
            return OrderAct.CLOSE
        if view.check is OrderCheck.REFUSES:
            return self._for_refusing(view, wanted)
        return self._for_ignoring(view, wanted, now)

    def is_done(self, view: EngineView) -> bool:
        """Return whether the engine itself says that the order is carried out."""
        report, journal = view.report, view.journal
        if report is None or report.changing or journal is None:
            return False
        if report.order != journal.order.number:
            return False
        # The one copy that the sender may have under way is the one that was taken.
        return not self.copies.open(view.name) and _fits(report, journal)

    def _for_refusing(self, view: EngineView, wanted: Order | None) -> OrderAct:
        """Go on at once: an old copy is refused by its number."""
        journal = view.journal
        mine = journal.sender == self.me
        if wanted is not None and not wanted.same_aim(journal.order):
            return OrderAct.ISSUE
        return OrderAct.SEND if mine else OrderAct.ISSUE

    def _for_ignoring(
        self, view: EngineView, wanted: Order | None, now: float
    ) -> OrderAct:
        if not view.journal.settled:
            return self._account(view, now)
        # Every copy was answered. The engine may still be at it: a new number is
        # journalled only once a later report says that it is not.
        report = view.report
        late_enough = view.report_taken_at > view.journal_since + REPORT_GRACE_SECONDS
        if report is None or report.changing or not late_enough:
            return OrderAct.WAIT
        return OrderAct.ISSUE

    def _account(self, view: EngineView, now: float) -> OrderAct:
        """Say whether the former order's copies are accounted for."""
        journal = view.journal
        if journal.sender == self.me:
            if self.copies.open(view.name):
                return OrderAct.WAIT
            done = self.copies.closed.get(view.name) == journal.order.number
            return OrderAct.SETTLE if done else OrderAct.SEND
        settled_since = now - view.journal_since
        if self.gone(journal.sender) and settled_since >= SETTLE_SECONDS:
            return OrderAct.SETTLE
        return OrderAct.WAIT

    def next_row(
        self, view: EngineView, wanted: Order | None, epoch: Epoch
    ) -> JournalRow:
        """Return the journal row of a new order."""
        aim = wanted if wanted is not None else view.journal.order
        last = view.journal.order.number if view.journal else 0
        order = msgspec.structs.replace(
            aim, number=OrderNumber(last + 1), issuer=self.me, epoch=epoch
        )
        return JournalRow(JournalState.ISSUED, order, self.me, settled=False)


def _fits(report: LoadReport, journal: JournalRow) -> bool:
    order = journal.order
    if order.kind is OrderKind.ROLE:
        return report.role is order.role
    return (report.model, report.version) == (order.model, order.version)


def role_order(role: Role) -> Order:
    """Return the aim of a role change; number and issuer come with the journal."""
    return Order(OrderNumber(0), OrderKind.ROLE, role=role)
