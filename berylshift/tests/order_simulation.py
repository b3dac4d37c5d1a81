"""Simulates processes that contend for one engine, step by step, on fakes.

A test can delay any step of a process for any time: checking the lease and sending
an order are separate steps.
"""

from dataclasses import dataclass, field

import msgspec

from berylshift.clock import ManualClock
from berylshift.ids import Incarnation, PoolName, TargetName
from berylshift.process.control.leases import (
    EpochRow,
    Lease,
    LeaseAction,
    LeaseRow,
    WriteOutcome,
    epoch_key,
    lease_key,
)
from berylshift.process.control.orders import (
    DEAD_SENDER_WAIT_SECONDS,
    EngineView,
    InFlightOrders,
    JournalRow,
    JournalState,
    OrderAction,
    OrderReconciler,
    SendOutcome,
    journal_key,
    role_order,
)
from berylshift.process.membership.members import make_incarnation
from berylshift.stand_ins.engine_costs import EngineCosts
from berylshift.stand_ins.fake_engine import FakeEngine
from berylshift.stand_ins.fake_platform import FakePlatform
from berylshift.store.interfaces import (
    ABSENT,
    Condition,
    ResponseLostError,
    StoreUnavailableError,
    Transaction,
    Write,
    as_raw,
)
from berylshift.targets import Order, Role, StaleOrderError, TargetRefusedError
from berylshift.version.rows import OrderCheck

POOL = PoolName("match-note")
ENGINE = TargetName("engine-1")
TERM = 6.0
MARGIN = 1.0


class NaiveReconciler:
    """Issues a new order whenever one is desired, with no regard to earlier copies."""

    def __init__(self, reconciler: OrderReconciler):
        self._reconciler = reconciler

    def decide(
        self, view: EngineView, desired: Order | None, now: float
    ) -> OrderAction:
        if desired is None:
            return OrderAction.NOTHING
        return OrderAction.ISSUE

    def next_row(self, view, desired, epoch) -> JournalRow:
        return self._reconciler.next_row(view, desired, epoch)


@dataclass
class Message:
    """An order in transit; ``dead_at`` is when its sender was killed."""

    sender: "Contender"
    order: Order
    journal: JournalRow
    dead_at: float | None = None


@dataclass
class Contender:
    """One process: its lease, its copies in flight and its checked, unsent orders."""

    host: str
    started: int
    world: "OrderWorld"
    lease: Lease = field(init=False)
    in_flight: InFlightOrders = field(default_factory=InFlightOrders)
    checked: list[Message] = field(default_factory=list)
    to_settle: list[JournalRow] = field(default_factory=list)
    journal_observed: tuple[int, float] = (-1, 0.0)
    alive: bool = True

    def __post_init__(self):
        self.incarnation = make_incarnation(self.host, self.started, 0)
        self.lease = Lease(POOL, self.incarnation, TERM, MARGIN)
        reconciler = OrderReconciler(
            self.incarnation, self.in_flight, self.world.is_terminated
        )
        self.reconciler = (
            NaiveReconciler(reconciler) if self.world.naive else reconciler
        )

    # The lease

    def maintain_lease(self, now: float) -> None:
        """Read, acquire or renew the lease as the pool loop does."""
        action = self.lease.next_action(now, 0, 0.0)
        if action is LeaseAction.READ:
            if not self._read_lease(now):
                return
            action = self.lease.next_action(now, 0, 0.0)
        if action is LeaseAction.READ:
            return
        row = self.lease.next_row(action)
        acquire = action is LeaseAction.ACQUIRE
        conditions = [Condition(lease_key(POOL), self.lease.revision)]
        writes = [Write(lease_key(POOL), as_raw(row))]
        if acquire:
            conditions.append(Condition(epoch_key(POOL), self.lease.epoch_revision))
            writes.append(
                Write(epoch_key(POOL), as_raw(EpochRow(row.epoch, self.incarnation)))
            )
        outcome = self._transact(conditions, writes)
        self.lease.on_write(row, outcome, now, acquire)

    def release(self, now: float) -> None:
        """Release the lease, as a stopping process does."""
        row = self.lease.release_row()
        conditions = [Condition(lease_key(POOL), self.lease.revision)]
        outcome = self._transact(conditions, [Write(lease_key(POOL), as_raw(row))])
        self.lease.on_write(row, outcome, now, False)

    def _read_lease(self, now: float) -> bool:
        try:
            lease, epoch = self.world.platform.read([lease_key(POOL), epoch_key(POOL)])
        except StoreUnavailableError:
            return False
        row = msgspec.json.decode(lease.value, type=LeaseRow) if lease else None
        revision = lease.revision if lease else ABSENT
        self.lease.on_read(row, revision, epoch.revision if epoch else ABSENT, now)
        return True

    def _transact(self, conditions, writes) -> WriteOutcome:
        try:
            answer = self.world.platform.transact(Transaction(conditions, writes))
        except ResponseLostError:
            return WriteOutcome.LOST
        except StoreUnavailableError:
            return WriteOutcome.UNAVAILABLE
        return WriteOutcome.COMMITTED if answer.committed else WriteOutcome.CONFLICT

    # Orders

    def reconcile(self, desired: Role | None, now: float) -> None:
        """As the holder, decide about the engine and journal the decision."""
        epoch = self.lease.holds(now)
        if epoch is None:
            return
        try:
            stored = self.world.platform.read([journal_key(ENGINE)])[0]
        except StoreUnavailableError:
            return
        view = self._view(stored, now)
        aim = role_order(desired) if desired else None
        action = self.reconciler.decide(view, aim, now)
        match action:
            case OrderAction.ISSUE:
                row = self.reconciler.next_row(view, aim, epoch)
                if self._write_journal(view, stored, row):
                    self._check_and_queue(row, now)
            case OrderAction.SEND:
                self._check_and_queue(view.journal, now)
            case OrderAction.SETTLE:
                row = msgspec.structs.replace(view.journal, settled=True)
                self._write_journal(view, stored, row)
            case OrderAction.CLOSE:
                row = msgspec.structs.replace(
                    view.journal, state=JournalState.IDLE, settled=True
                )
                self._write_journal(view, stored, row)

    def _view(self, stored, now: float) -> EngineView:
        journal = msgspec.json.decode(stored.value, type=JournalRow) if stored else None
        revision = stored.revision if stored else ABSENT
        if self.journal_observed[0] != revision:
            self.journal_observed = (revision, now)
        report = self.world.engine.report(now) if self.world.engine.alive else None
        if report is not None:
            self.in_flight.observe(ENGINE, report)
        check = OrderCheck.REFUSES if self.world.refuses else OrderCheck.IGNORES
        return EngineView(ENGINE, check, journal, report, now, self.journal_observed[1])

    def _write_journal(self, view, stored, row: JournalRow) -> bool:
        conditions = [
            Condition(epoch_key(POOL), self.lease.epoch_revision),
            Condition(journal_key(ENGINE), stored.revision if stored else ABSENT),
        ]
        writes = [Write(journal_key(ENGINE), as_raw(row))]
        return self._transact(conditions, writes) is WriteOutcome.COMMITTED

    def _check_and_queue(self, journal: JournalRow, now: float) -> None:
        """Check the lease as the pool loop does; the send may be delayed by a pause."""
        if self.lease.holds(now) is None:
            return
        if not self.world.naive and self.in_flight.is_in_flight(ENGINE):
            return
        report = self.world.engine.report(now)
        recipient = report.incarnation if self.world.engine.alive else Incarnation("")
        self.in_flight.record_send(ENGINE, journal.order.number, recipient)
        self.checked.append(Message(self, journal.order, journal))

    def on_answer(self, message: Message, outcome: SendOutcome) -> None:
        """Record the outcome of a send."""
        self.in_flight.record_outcome(ENGINE, message.order.number, outcome)
        if outcome is SendOutcome.ACCEPTED:
            self.to_settle.append(message.journal)

    def settle(self) -> None:
        """Mark orders in the journal as settled that have no copy in flight."""
        for sent in list(self.to_settle):
            try:
                stored = self.world.platform.read([journal_key(ENGINE)])[0]
            except StoreUnavailableError:
                return
            current = msgspec.json.decode(stored.value, type=JournalRow)
            if current == sent and current.state is JournalState.ISSUED:
                row = msgspec.structs.replace(current, settled=True)
                conditions = [Condition(journal_key(ENGINE), stored.revision)]
                writes = [Write(journal_key(ENGINE), as_raw(row))]
                self._transact(conditions, writes)
            self.to_settle.remove(sent)


class OrderWorld:
    """A store, an engine, a network, and the processes that contend for it."""

    def __init__(self, refuses: bool, naive: bool = False, hosts: int = 3):
        self.refuses = refuses
        self.naive = naive
        self.clock = ManualClock()
        self.platform = FakePlatform(self.clock)
        cost = EngineCosts(report_lag=0.0)
        self.engine = FakeEngine("engine-1", "a:1", cost, refuses, POOL)
        self.wire: list[Message] = []
        self.starts = 0
        self.contenders = [self._start(f"host-{i}") for i in range(1, hosts + 1)]
        self.paused: set[str] = set()

    def _start(self, host: str) -> Contender:
        self.starts += 1
        return Contender(host, self.starts, self)

    @property
    def now(self) -> float:
        return self.clock.monotonic()

    def is_terminated(self, incarnation: Incarnation) -> bool:
        """Return whether the host list no longer has this incarnation."""
        return all(item.incarnation != incarnation for item in self.contenders)

    def awake(self) -> list[Contender]:
        return [item for item in self.contenders if item.host not in self.paused]

    def tick(self, index: int, desired: Role | None) -> None:
        """Run one round of one process, unless it is paused."""
        process = self.contenders[index]
        if process.host in self.paused:
            return
        process.maintain_lease(self.now)
        process.reconcile(desired, self.now)
        process.settle()

    def put_on_wire(self, index: int) -> None:
        """Send the order that a process has checked, however long ago."""
        process = self.contenders[index]
        if process.host not in self.paused and process.checked:
            self.wire.append(process.checked.pop(0))

    def deliver(self, place: int, lose_answer: bool) -> None:
        """Deliver an order that is in transit; orders may be reordered."""
        if not self.wire:
            return
        message = self.wire.pop(place % len(self.wire))
        outcome = SendOutcome.ACCEPTED
        try:
            self.engine.order(message.order, self.now)
        except StaleOrderError:
            outcome = SendOutcome.STALE
        except TargetRefusedError:
            outcome = SendOutcome.REFUSED
        if message.sender.alive:
            message.sender.on_answer(
                message, SendOutcome.UNKNOWN if lose_answer else outcome
            )

    def kill(self, index: int) -> None:
        """Kill a process and replace it in the host list at once."""
        old = self.contenders[index]
        old.alive = False
        self.paused.discard(old.host)
        for message in self.wire:
            if message.sender is old:
                message.dead_at = self.now
        self.contenders[index] = self._start(old.host)

    def advance(self, seconds: float) -> None:
        """Advance time; orders of a killed process are lost when its sockets close."""
        self.clock.advance(seconds)
        self.engine.advance(self.now)
        self.wire = [
            message
            for message in self.wire
            if message.dead_at is None
            or self.now - message.dead_at < DEAD_SENDER_WAIT_SECONDS
        ]

    def rounds(self, count: int, index: int, desired: Role | None) -> None:
        """Run one round of a process per second and deliver its sends."""
        for _ in range(count):
            self.advance(1.0)
            self.tick(index, desired)
            self.put_on_wire(index)
            self.deliver(0, False)
            self.check()

    def crash_engine(self) -> None:
        self.engine.crash(self.now)

    def restart_engine(self) -> None:
        if not self.engine.alive:
            self.engine.restart(self.now)

    def check(self) -> None:
        """Check the invariants as seen by the engine."""
        numbers = [order.number for order in self.engine.accepted_orders]
        assert self.engine.conflicts == 0, "two conflicting orders at once"
        assert numbers == sorted(numbers), f"an old order after a new one: {numbers}"
        holders = [p.host for p in self.contenders if p.lease.holds(self.now)]
        assert len(holders) <= 1, f"two holders: {holders}"
