"""The loop of the pools: leases, plans and orders, as the decisions say."""

import logging
from dataclasses import dataclass, field

import msgspec
import trio

from berylshift.clock import Clock
from berylshift.ids import Epoch, Incarnation, PoolName, TargetName
from berylshift.process.control.leases import (
    EpochRow,
    Lease,
    LeaseAct,
    LeaseRow,
    WriteEnd,
    epoch_key,
    lease_key,
)
from berylshift.process.control.mix_meter import MixMeter
from berylshift.process.control.moves import EngineNote, PoolDesk, PoolNotes, PoolStep
from berylshift.process.control.orders import (
    CopyBook,
    JournalRow,
    JournalState,
    OrderDesk,
    SendEnd,
    journal_key,
)
from berylshift.process.control.plans import PlanRow, Plans, plan_key
from berylshift.process.control.roles import make_planner
from berylshift.process.engine_state.load_view import LoadView
from berylshift.process.limits.store_budget import Priority
from berylshift.process.membership.members import Membership, host_of
from berylshift.process.table.follower import TableHolder
from berylshift.settings import Settings
from berylshift.store.batch import TableGate
from berylshift.store.interfaces import (
    ABSENT,
    AnswerLostError,
    Condition,
    PlatformError,
    StoredRow,
    Transaction,
    Write,
    as_raw,
)
from berylshift.targets import (
    EngineClient,
    StaleOrderError,
    TargetBrokenError,
    TargetNotReachedError,
    TargetRefusedError,
)
from berylshift.version.rows import Row

logger = logging.getLogger(__name__)

CANDIDATES = 3
ORDER_SECONDS = 3.0
# How often a host that leaves looks whether its orders have ended.
ORDERS_CHECK_SECONDS = 0.05


@dataclass
class PoolParts:
    """What the pools' loop works with."""

    cfg: Settings
    members: Membership
    holder: TableHolder
    plans: Plans
    load: LoadView
    meter: MixMeter
    gate: TableGate
    engines: EngineClient
    clock: Clock


@dataclass
class _Pool:
    """This process's state for one pool."""

    lease: Lease
    desk: PoolDesk
    notes: PoolNotes = field(default_factory=PoolNotes)


class PoolLoop:
    """Keeps the leases that fall to this host and acts as their holder."""

    def __init__(self, parts: PoolParts):
        """Work with ``parts``."""
        self._parts = parts
        self._pools: dict[PoolName, _Pool] = {}
        self._copies = CopyBook()
        self._to_settle: dict[TargetName, JournalRow] = {}
        self._leaving = False
        self._sending = 0
        self._looking = trio.Lock()

    async def run(self) -> None:
        """Look at each pool every interval until cancelled."""
        async with trio.open_nursery() as nursery:
            while not self._leaving:
                async with self._looking:
                    await self._look(nursery)
                await trio.sleep(self._parts.cfg.leases.interval)

    async def _look(self, nursery: trio.Nursery) -> None:
        for pool, rows in self._by_pool().items():
            rank = self._parts.members.rank(pool)
            if rank < CANDIDATES and not self._leaving:
                await self._tick(pool, rows, rank, nursery)
        await self._settle()

    async def release(self) -> None:
        """Finish what is under way, then give up the leases held.

        Others then need not wait for their terms, nor for this host's successor to
        account for an order that only this process can know to have ended.
        """
        self._leaving = True
        # A look under way would renew, or take again, what is given up meanwhile.
        async with self._looking:
            while self._sending:
                await trio.sleep(ORDERS_CHECK_SECONDS)
            await self._settle()
            for state in self._pools.values():
                if state.lease.holds(self._now()) is not None:
                    await self._write_lease(state.lease, state.lease.released(), False)

    def held(self) -> list[PoolName]:
        """Return the pools whose leases this process holds now."""
        now = self._now()
        return [
            pool
            for pool, state in self._pools.items()
            if state.lease.holds(now) is not None
        ]

    def _now(self) -> float:
        return self._parts.clock.monotonic()

    def _by_pool(self) -> dict[PoolName, list[Row]]:
        found: dict[PoolName, list[Row]] = {}
        for row in self._parts.holder.table.engines():
            found.setdefault(PoolName(row.serves), []).append(row)
        return found

    def _state(self, pool: PoolName) -> _Pool:
        if pool not in self._pools:
            parts = self._parts
            cfg = parts.cfg.leases
            lease = Lease(pool, parts.members.incarnation, cfg.term, cfg.margin)
            orders = OrderDesk(parts.members.incarnation, self._copies, self._is_gone)
            planner = make_planner(parts.cfg.policy.planner, parts.cfg.policy)
            desk = PoolDesk(parts.cfg, orders, planner)
            self._pools[pool] = _Pool(lease, desk)
        return self._pools[pool]

    def _is_gone(self, incarnation: Incarnation) -> bool:
        """Return whether a process is known to be over."""
        return self._parts.members.is_replaced(host_of(incarnation), incarnation)

    async def _tick(
        self, pool: PoolName, rows: list[Row], rank: int, nursery: trio.Nursery
    ) -> None:
        state = self._state(pool)
        try:
            await self._keep_lease(state, rank)
            epoch = state.lease.holds(self._now())
            if epoch is not None:
                await self._act_as_holder(pool, state, rows, epoch, nursery)
        except PlatformError as exc:
            logger.warning("pool not kept", extra={"pool": pool, "why": str(exc)})

    # Leases

    async def _keep_lease(self, state: _Pool, rank: int) -> None:
        lease = state.lease
        act = lease.next_act(self._now(), rank, self._parts.cfg.leases.interval)
        if act is LeaseAct.READ:
            await self._read_lease(lease)
            act = lease.next_act(self._now(), rank, self._parts.cfg.leases.interval)
        if act is LeaseAct.READ:
            return
        if act is LeaseAct.ACQUIRE:
            logger.info("lease wanted", extra={"pool": lease.pool, "rank": rank})
        await self._write_lease(lease, lease.write(act), act is LeaseAct.ACQUIRE)

    async def _read_lease(self, lease: Lease) -> None:
        keys = [lease_key(lease.pool), epoch_key(lease.pool)]
        stored, epoch = await self._parts.gate.read(keys, Priority.LEASE)
        row = _decode(stored, LeaseRow)
        lease.read_done(row, _revision(stored), _revision(epoch), self._now())

    async def _write_lease(self, lease: Lease, row: LeaseRow, acquire: bool) -> None:
        conditions = [Condition(lease_key(lease.pool), lease.revision)]
        writes = [Write(lease_key(lease.pool), as_raw(row))]
        if acquire:
            key = epoch_key(lease.pool)
            conditions.append(Condition(key, lease.epoch_revision))
            writes.append(Write(key, as_raw(EpochRow(row.epoch, row.holder))))
        sent_at = self._now()
        end = await self._transact(Transaction(conditions, writes))
        lease.wrote(row, end, sent_at, acquire)
        if acquire and end is WriteEnd.COMMITTED:
            extra = {"pool": lease.pool, "epoch": row.epoch}
            logger.info("lease acquired", extra=extra)

    async def _transact(self, transaction: Transaction) -> WriteEnd:
        try:
            answer = await self._parts.gate.transact(transaction, Priority.LEASE)
        except AnswerLostError:
            return WriteEnd.LOST
        except PlatformError:
            return WriteEnd.UNAVAILABLE
        return WriteEnd.COMMITTED if answer.committed else WriteEnd.CONFLICT

    # The holder

    async def _act_as_holder(
        self,
        pool: PoolName,
        state: _Pool,
        rows: list[Row],
        epoch: Epoch,
        nursery: trio.Nursery,
    ) -> None:
        keys = [plan_key(pool), *(journal_key(row.name) for row in rows)]
        stored = await self._parts.gate.read(keys, Priority.LEASE)
        now = self._now()
        plan = _decode(stored[0], PlanRow) or PlanRow(0, [])
        self._parts.plans.offer(pool, plan, now)
        state.notes.plan_seen(plan, now)
        if self._leaving:
            return
        notes = [
            self._note(state, row, found, now)
            for row, found in zip(rows, stored[1:], strict=True)
        ]
        demand = self._parts.meter.total(pool, now)
        for step in state.desk.decide(plan, state.notes, notes, demand, epoch, now):
            await self._carry_out(pool, state, step, _revision(stored[0]), nursery)

    def _note(
        self, state: _Pool, row: Row, stored: StoredRow | None, now: float
    ) -> EngineNote:
        report = self._parts.load.report(row.name)
        if report is not None:
            self._copies.observe(row.name, report)
        revision = _revision(stored)
        since = state.notes.journal_seen(row.name, revision, now)
        return EngineNote(
            row=row,
            journal=_decode(stored, JournalRow),
            revision=revision,
            journal_since=since,
            report=report,
            report_taken_at=now - self._parts.load.report_age_seconds(row.name, now),
        )

    async def _carry_out(
        self,
        pool: PoolName,
        state: _Pool,
        step: PoolStep,
        plan_revision: int,
        nursery: trio.Nursery,
    ) -> None:
        """Write what a step says under the epoch; then send, if it says so."""
        logger.info("placement", extra={"pool": pool, **step.describe()})
        writes, conditions = (
            [],
            [Condition(epoch_key(pool), state.lease.epoch_revision)],
        )
        if step.plan is not None:
            conditions.append(Condition(plan_key(pool), plan_revision))
            writes.append(Write(plan_key(pool), as_raw(step.plan)))
        if step.journal is not None:
            key = journal_key(step.note.row.name)
            conditions.append(Condition(key, step.note.revision))
            writes.append(Write(key, as_raw(step.journal)))
        if writes:
            end = await self._transact(Transaction(conditions, writes))
            if end is not WriteEnd.COMMITTED:
                # The next look reads what became of it.
                return
        if step.send:
            journal = step.journal or step.note.journal
            self._sending += 1
            nursery.start_soon(self._send, state.lease, step.note, journal)

    # Orders

    async def _send(self, lease: Lease, note: EngineNote, journal: JournalRow) -> None:
        try:
            await self._send_copy(lease, note, journal)
        finally:
            self._sending -= 1

    async def _send_copy(
        self, lease: Lease, note: EngineNote, journal: JournalRow
    ) -> None:
        """Send one copy, if the lease is still held."""
        engine, order = note.row.name, journal.order
        if lease.holds(self._now()) is None or self._copies.open(engine):
            return
        to = note.report.incarnation if note.report else ""
        self._copies.sending(engine, order.number, to)
        end = await self._deliver(note.row.address, order)
        self._copies.ended(engine, order.number, end)
        extra = {"engine": engine, "number": order.number, "end": end.value}
        logger.info("order sent", extra=extra)
        if end is SendEnd.TAKEN:
            self._to_settle[engine] = journal

    async def _deliver(self, address: str, order) -> SendEnd:
        with trio.move_on_after(ORDER_SECONDS):
            try:
                await self._parts.engines.order(address, order)
                return SendEnd.TAKEN
            except StaleOrderError:
                return SendEnd.STALE
            except TargetRefusedError:
                return SendEnd.REFUSED
            except TargetNotReachedError:
                return SendEnd.NOT_SENT
            except TargetBrokenError:
                return SendEnd.UNKNOWN
        return SendEnd.UNKNOWN

    async def _settle(self) -> None:
        """Note in the journal which orders have no copy left.

        That is a statement of fact about this process, so it needs no lease.
        """
        for engine, sent in list(self._to_settle.items()):
            try:
                key = journal_key(engine)
                stored = (await self._parts.gate.read([key], Priority.LEASE))[0]
                current = _decode(stored, JournalRow)
                if current == sent and current.state is JournalState.ISSUED:
                    row = msgspec.structs.replace(current, settled=True)
                    transaction = Transaction(
                        [Condition(key, stored.revision)], [Write(key, as_raw(row))]
                    )
                    if await self._transact(transaction) is not WriteEnd.COMMITTED:
                        continue
            except PlatformError:
                continue
            del self._to_settle[engine]


def _revision(stored: StoredRow | None) -> int:
    return stored.revision if stored else ABSENT


def _decode(stored: StoredRow | None, kind: type):
    return msgspec.json.decode(stored.value, type=kind) if stored else None
