"""Processes that contend for one engine, one step at a time, over the fakes.

Each step of a real process can be delayed for as long as a test likes: the check of
the lease and the send of an order are steps of their own.
"""

from dataclasses import dataclass, field

import msgspec

from berylshift.clock import ManualClock
from berylshift.ids import Incarnation, PoolName, TargetName
from berylshift.process.control.leases import (
    EpochRow,
    Lease,
    LeaseAct,
    LeaseRow,
    WriteEnd,
    epoch_key,
    lease_key,
)
from berylshift.process.control.orders import (
    SETTLE_SECONDS,
    CopyBook,
    EngineView,
    JournalRow,
    JournalState,
    OrderAct,
    OrderDesk,
    SendEnd,
    journal_key,
    role_order,
)
from berylshift.process.membership.members import make_incarnation
from berylshift.stand_ins.engine_costs import EngineCosts
from berylshift.stand_ins.fake_engine import FakeEngine
from berylshift.stand_ins.fake_platform import FakePlatform
from berylshift.store.interfaces import (
    ABSENT,
    AnswerLostError,
    Condition,
    StoreUnavailableError,
    Transaction,
    Write,
    as_raw,
)
from berylshift.targets import (
    Order,
    Role,
    StaleOrderError,
    TargetRefusedError,
)
from berylshift.version.rows import OrderCheck

POOL = PoolName("match-note")
ENGINE = TargetName("engine-1")
TERM = 6.0
MARGIN = 1.0


class NaiveDesk:
    """Checks the lease, then sends: a new order whenever one is wanted."""

    def __init__(self, desk: OrderDesk):
        self._desk = desk

    def decide(self, view: EngineView, wanted: Order | None, now: float) -> OrderAct:
        if wanted is None:
            return OrderAct.NOTHING
        return OrderAct.ISSUE

    def next_row(self, view, wanted, epoch) -> JournalRow:
        return self._desk.next_row(view, wanted, epoch)


@dataclass
class Message:
    """An order on its way; ``dead_at`` is when its sender died."""

    sender: "Contender"
    order: Order
    journal: JournalRow
    dead_at: float | None = None


@dataclass
class Contender:
    """One process: its lease, its copies, what it has yet to send."""

    host: str
    started: int
    world: "OrderWorld"
    lease: Lease = field(init=False)
    copies: CopyBook = field(default_factory=CopyBook)
    checked: list[Message] = field(default_factory=list)
    to_settle: list[JournalRow] = field(default_factory=list)
    seen: tuple[int, float] = (-1, 0.0)
    alive: bool = True

    def __post_init__(self):
        self.me = make_incarnation(self.host, self.started, 0)
        self.lease = Lease(POOL, self.me, TERM, MARGIN)
        desk = OrderDesk(self.me, self.copies, self.world.gone)
        self.desk = NaiveDesk(desk) if self.world.naive else desk

    # The lease

    def keep_lease(self, now: float) -> None:
        """Look after the lease as the pool loop does."""
        act = self.lease.next_act(now, 0, 0.0)
        if act is LeaseAct.READ:
            if not self._read_lease(now):
                return
            act = self.lease.next_act(now, 0, 0.0)
        if act is LeaseAct.READ:
            return
        row = self.lease.write(act)
        acquire = act is LeaseAct.ACQUIRE
        conditions = [Condition(lease_key(POOL), self.lease.revision)]
        writes = [Write(lease_key(POOL), as_raw(row))]
        if acquire:
            conditions.append(Condition(epoch_key(POOL), self.lease.epoch_revision))
            writes.append(Write(epoch_key(POOL), as_raw(EpochRow(row.epoch, self.me))))
        end = self._transact(conditions, writes)
        self.lease.wrote(row, end, now, acquire)

    def release(self, now: float) -> None:
        """Give the lease up, as a leaving process does."""
        row = self.lease.released()
        conditions = [Condition(lease_key(POOL), self.lease.revision)]
        end = self._transact(conditions, [Write(lease_key(POOL), as_raw(row))])
        self.lease.wrote(row, end, now, False)

    def _read_lease(self, now: float) -> bool:
        try:
            lease, epoch = self.world.platform.read([lease_key(POOL), epoch_key(POOL)])
        except StoreUnavailableError:
            return False
        row = msgspec.json.decode(lease.value, type=LeaseRow) if lease else None
        revision = lease.revision if lease else ABSENT
        self.lease.read_done(row, revision, epoch.revision if epoch else ABSENT, now)
        return True

    def _transact(self, conditions, writes) -> WriteEnd:
        try:
            answer = self.world.platform.transact(Transaction(conditions, writes))
        except AnswerLostError:
            return WriteEnd.LOST
        except StoreUnavailableError:
            return WriteEnd.UNAVAILABLE
        return WriteEnd.COMMITTED if answer.committed else WriteEnd.CONFLICT

    # Orders

    def act(self, wanted: Role | None, now: float) -> None:
        """Decide about the engine as the holder; journal what is decided."""
        epoch = self.lease.holds(now)
        if epoch is None:
            return
        try:
            stored = self.world.platform.read([journal_key(ENGINE)])[0]
        except StoreUnavailableError:
            return
        view = self._view(stored, now)
        aim = role_order(wanted) if wanted else None
        act = self.desk.decide(view, aim, now)
        match act:
            case OrderAct.ISSUE:
                row = self.desk.next_row(view, aim, epoch)
                if self._write_journal(view, stored, row):
                    self._check_and_queue(row, now)
            case OrderAct.SEND:
                self._check_and_queue(view.journal, now)
            case OrderAct.SETTLE:
                row = msgspec.structs.replace(view.journal, settled=True)
                self._write_journal(view, stored, row)
            case OrderAct.CLOSE:
                row = msgspec.structs.replace(
                    view.journal, state=JournalState.IDLE, settled=True
                )
                self._write_journal(view, stored, row)

    def _view(self, stored, now: float) -> EngineView:
        journal = msgspec.json.decode(stored.value, type=JournalRow) if stored else None
        revision = stored.revision if stored else ABSENT
        if self.seen[0] != revision:
            self.seen = (revision, now)
        report = self.world.engine.report(now) if self.world.engine.alive else None
        if report is not None:
            self.copies.observe(ENGINE, report)
        check = OrderCheck.REFUSES if self.world.refuses else OrderCheck.IGNORES
        return EngineView(ENGINE, check, journal, report, now, self.seen[1])

    def _write_journal(self, view, stored, row: JournalRow) -> bool:
        conditions = [
            Condition(epoch_key(POOL), self.lease.epoch_revision),
            Condition(journal_key(ENGINE), stored.revision if stored else ABSENT),
        ]
        writes = [Write(journal_key(ENGINE), as_raw(row))]
        return self._transact(conditions, writes) is WriteEnd.COMMITTED

    def _check_and_queue(self, journal: JournalRow, now: float) -> None:
        """Check as the pool loop does; what follows may be delayed by a pause."""
        if self.lease.holds(now) is None:
            return
        if not self.world.naive and self.copies.open(ENGINE):
            return
        report = self.world.engine.report(now)
        to = report.incarnation if self.world.engine.alive else Incarnation("")
        self.copies.sending(ENGINE, journal.order.number, to)
        self.checked.append(Message(self, journal.order, journal))

    def take_answer(self, message: Message, end: SendEnd) -> None:
        """Take the end of a send."""
        self.copies.ended(ENGINE, message.order.number, end)
        if end is SendEnd.TAKEN:
            self.to_settle.append(message.journal)

    def settle(self) -> None:
        """Note in the journal that no copy is left."""
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
    """A store, an engine, a wire, and the processes that contend."""

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

    def gone(self, incarnation: Incarnation) -> bool:
        """Return whether the host list names another incarnation by now."""
        return all(item.me != incarnation for item in self.contenders)

    def awake(self) -> list[Contender]:
        return [item for item in self.contenders if item.host not in self.paused]

    def tick(self, index: int, wanted: Role | None) -> None:
        """Let one process do a round, unless it is paused."""
        process = self.contenders[index]
        if process.host in self.paused:
            return
        process.keep_lease(self.now)
        process.act(wanted, self.now)
        process.settle()

    def put_on_wire(self, index: int) -> None:
        """Let a process go on after its check, however long that was ago."""
        process = self.contenders[index]
        if process.host not in self.paused and process.checked:
            self.wire.append(process.checked.pop(0))

    def deliver(self, place: int, lose_answer: bool) -> None:
        """Let the engine take an order off the wire; any may be first."""
        if not self.wire:
            return
        message = self.wire.pop(place % len(self.wire))
        end = SendEnd.TAKEN
        try:
            self.engine.order(message.order, self.now)
        except StaleOrderError:
            end = SendEnd.STALE
        except TargetRefusedError:
            end = SendEnd.REFUSED
        if message.sender.alive:
            message.sender.take_answer(message, SendEnd.UNKNOWN if lose_answer else end)

    def kill(self, index: int) -> None:
        """Kill a process; the host list names its successor at once."""
        old = self.contenders[index]
        old.alive = False
        self.paused.discard(old.host)
        for message in self.wire:
            if message.sender is old:
                message.dead_at = self.now
        self.contenders[index] = self._start(old.host)

    def advance(self, seconds: float) -> None:
        """Move time on; what a dead process sent does not outlast its sockets."""
        self.clock.advance(seconds)
        self.engine.advance(self.now)
        self.wire = [
            message
            for message in self.wire
            if message.dead_at is None or self.now - message.dead_at < SETTLE_SECONDS
        ]

    def rounds(self, count: int, index: int, wanted: Role | None) -> None:
        """Let one process do a round a second, with its sends delivered."""
        for _ in range(count):
            self.advance(1.0)
            self.tick(index, wanted)
            self.put_on_wire(index)
            self.deliver(0, False)
            self.check()

    def crash_engine(self) -> None:
        self.engine.crash(self.now)

    def restart_engine(self) -> None:
        if not self.engine.alive:
            self.engine.restart(self.now)

    def check(self) -> None:
        """Check the promises at the engine itself."""
        numbers = [order.number for order in self.engine.orders_taken]
        assert self.engine.conflicts == 0, "two conflicting orders at once"
        assert numbers == sorted(numbers), f"an old order after a new one: {numbers}"
        holders = [p.host for p in self.contenders if p.lease.holds(self.now)]
        assert len(holders) <= 1, f"two holders: {holders}"
