"""Maintains pool leases and, as their holder, executes plans and orders."""

import logging
from dataclasses import dataclass, field

import msgspec
import trio

from berylshift.clock import Clock
from berylshift.ids import Epoch, Incarnation, PoolName, TargetName
from berylshift.process.control.demand_meter import DemandMeter
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
    InFlightOrders,
    JournalRow,
    JournalState,
    OrderReconciler,
    SendOutcome,
    journal_key,
)
from berylshift.process.control.plans import PlanRow, Plans, plan_key
from berylshift.process.control.pool_reconciler import (
    EngineSnapshot,
    ObservationTimes,
    PoolReconciler,
    PoolStep,
)
from berylshift.process.control.roles import make_planner
from berylshift.process.engine_state.load_view import LoadView
from berylshift.process.limits.store_budget import Priority
from berylshift.process.membership.members import Membership, host_of
from berylshift.process.table.table_follower import TableHolder
from berylshift.settings import Settings
from berylshift.store.batch import TableGate
from berylshift.store.interfaces import (
    ABSENT,
    Condition,
    PlatformError,
    ResponseLostError,
    StoredRow,
    Transaction,
    Write,
    as_raw,
    decode_row,
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

LEASE_CANDIDATES = 3
ORDER_TIMEOUT_SECONDS = 3.0
# How often a stopping host checks whether its sends have finished.
SENDS_CHECK_INTERVAL_SECONDS = 0.05


@dataclass
class PoolDependencies:
    """Dependencies of ``PoolLoop``."""

    cfg: Settings
    members: Membership
    holder: TableHolder
    plans: Plans
    load: LoadView
    meter: DemandMeter
    gate: TableGate
    engines: EngineClient
    clock: Clock


@dataclass
class _Pool:
    """This process's state for one pool."""

    lease: Lease
    reconciler: PoolReconciler
    observed: ObservationTimes = field(default_factory=ObservationTimes)


class PoolLoop:
    """Competes for pool leases by host rank and acts for the pools it holds."""

    def __init__(self, parts: PoolDependencies):
        """Use ``parts``; nothing runs yet."""
        self._parts = parts
        self._pools: dict[PoolName, _Pool] = {}
        self._in_flight = InFlightOrders()
        self._to_mark_settled: dict[TargetName, JournalRow] = {}
        self._stopping = False
        self._sending = 0
        self._pass_lock = trio.Lock()

    async def run(self) -> None:
        """Reconcile each pool once per lease interval until cancelled."""
        async with trio.open_nursery() as nursery:
            while not self._stopping:
                async with self._pass_lock:
                    await self._run_pass(nursery)
                await trio.sleep(self._parts.cfg.leases.interval)

    async def _run_pass(self, nursery: trio.Nursery) -> None:
        for pool, rows in self._rows_by_pool().items():
            rank = self._parts.members.rank(pool)
            if rank < LEASE_CANDIDATES and not self._stopping:
                await self._reconcile_pool(pool, rows, rank, nursery)
        await self._mark_settled()

    async def release(self) -> None:
        """Wait for sends in progress, then release all leases held.

        The next holder then need not wait for the lease term, nor for copies of
        orders whose outcome only this process knows.
        """
        self._stopping = True
        # A concurrent pass would renew or reacquire a lease that is released here.
        async with self._pass_lock:
            while self._sending:
                await trio.sleep(SENDS_CHECK_INTERVAL_SECONDS)
            await self._mark_settled()
            for state in self._pools.values():
                if state.lease.holds(self._now()) is not None:
                    await self._write_lease(
                        state.lease, state.lease.release_row(), False
                    )

    def held_pools(self) -> list[PoolName]:
        """Return the pools whose leases this process currently holds."""
        now = self._now()
        return [
            pool
            for pool, state in self._pools.items()
            if state.lease.holds(now) is not None
        ]

    def _now(self) -> float:
        return self._parts.clock.monotonic()

    def _rows_by_pool(self) -> dict[PoolName, list[Row]]:
        found: dict[PoolName, list[Row]] = {}
        for row in self._parts.holder.table.engines():
            found.setdefault(PoolName(row.serves), []).append(row)
        return found

    def _state(self, pool: PoolName) -> _Pool:
        if pool not in self._pools:
            parts = self._parts
            cfg = parts.cfg.leases
            lease = Lease(pool, parts.members.incarnation, cfg.term, cfg.margin)
            orders = OrderReconciler(
                parts.members.incarnation, self._in_flight, self._is_terminated
            )
            planner = make_planner(parts.cfg.policy.planner, parts.cfg.policy)
            reconciler = PoolReconciler(parts.cfg, orders, planner)
            self._pools[pool] = _Pool(lease, reconciler)
        return self._pools[pool]

    def _is_terminated(self, incarnation: Incarnation) -> bool:
        """Return whether a process is known to have ended."""
        return self._parts.members.is_replaced(host_of(incarnation), incarnation)

    async def _reconcile_pool(
        self, pool: PoolName, rows: list[Row], rank: int, nursery: trio.Nursery
    ) -> None:
        state = self._state(pool)
        try:
            await self._maintain_lease(state, rank)
            epoch = state.lease.holds(self._now())
            if epoch is not None:
                await self._act_as_holder(pool, state, rows, epoch, nursery)
        except PlatformError as exc:
            logger.warning(
                "failed to reconcile pool", extra={"pool": pool, "why": str(exc)}
            )

    # Leases

    async def _maintain_lease(self, state: _Pool, rank: int) -> None:
        lease = state.lease
        action = lease.next_action(self._now(), rank, self._parts.cfg.leases.interval)
        if action is LeaseAction.READ:
            await self._read_lease(lease)
            action = lease.next_action(
                self._now(), rank, self._parts.cfg.leases.interval
            )
        if action is LeaseAction.READ:
            return
        if action is LeaseAction.ACQUIRE:
            logger.info(
                "trying to acquire lease", extra={"pool": lease.pool, "rank": rank}
            )
        await self._write_lease(
            lease, lease.next_row(action), action is LeaseAction.ACQUIRE
        )

    async def _read_lease(self, lease: Lease) -> None:
        keys = [lease_key(lease.pool), epoch_key(lease.pool)]
        stored, epoch = await self._parts.gate.read(keys, Priority.LEASE)
        row = _decode(stored, LeaseRow)
        lease.on_read(row, _revision(stored), _revision(epoch), self._now())

    async def _write_lease(self, lease: Lease, row: LeaseRow, acquire: bool) -> None:
        conditions = [Condition(lease_key(lease.pool), lease.revision)]
        writes = [Write(lease_key(lease.pool), as_raw(row))]
        if acquire:
            key = epoch_key(lease.pool)
            conditions.append(Condition(key, lease.epoch_revision))
            writes.append(Write(key, as_raw(EpochRow(row.epoch, row.holder))))
        sent_at = self._now()
        outcome = await self._transact(Transaction(conditions, writes))
        lease.on_write(row, outcome, sent_at, acquire)
        if acquire and outcome is WriteOutcome.COMMITTED:
            extra = {"pool": lease.pool, "epoch": row.epoch}
            logger.info("lease acquired", extra=extra)

    async def _transact(self, transaction: Transaction) -> WriteOutcome:
        try:
            answer = await self._parts.gate.transact(transaction, Priority.LEASE)
        except ResponseLostError:
            return WriteOutcome.LOST
        except PlatformError:
            return WriteOutcome.UNAVAILABLE
        return WriteOutcome.COMMITTED if answer.committed else WriteOutcome.CONFLICT

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
        self._parts.plans.apply_if_newer(pool, plan, now)
        state.observed.observe_plan(plan, now)
        if self._stopping:
            return
        snapshots = [
            self._take_snapshot(state, row, found, now)
            for row, found in zip(rows, stored[1:], strict=True)
        ]
        demand = self._parts.meter.total(pool, now)
        for step in state.reconciler.decide(
            plan, state.observed, snapshots, demand, epoch, now
        ):
            await self._execute(pool, state, step, _revision(stored[0]), nursery)

    def _take_snapshot(
        self, state: _Pool, row: Row, stored: StoredRow | None, now: float
    ) -> EngineSnapshot:
        report = self._parts.load.report(row.name)
        if report is not None:
            self._in_flight.observe(row.name, report)
        revision = _revision(stored)
        since = state.observed.observe_journal(row.name, revision, now)
        return EngineSnapshot(
            row=row,
            journal=_decode(stored, JournalRow),
            revision=revision,
            journal_since=since,
            report=report,
            report_taken_at=now - self._parts.load.report_age_seconds(row.name, now),
        )

    async def _execute(
        self,
        pool: PoolName,
        state: _Pool,
        step: PoolStep,
        plan_revision: int,
        nursery: trio.Nursery,
    ) -> None:
        """Write the step's rows if the epoch is unchanged, then send its order."""
        logger.info("executing pool step", extra={"pool": pool, **step.describe()})
        writes, conditions = (
            [],
            [Condition(epoch_key(pool), state.lease.epoch_revision)],
        )
        if step.plan is not None:
            conditions.append(Condition(plan_key(pool), plan_revision))
            writes.append(Write(plan_key(pool), as_raw(step.plan)))
        if step.journal is not None:
            key = journal_key(step.snapshot.row.name)
            conditions.append(Condition(key, step.snapshot.revision))
            writes.append(Write(key, as_raw(step.journal)))
        if writes:
            outcome = await self._transact(Transaction(conditions, writes))
            if outcome is not WriteOutcome.COMMITTED:
                # The next pass reads the rows and sees whether the write took effect.
                return
        if step.send:
            journal = step.journal or step.snapshot.journal
            self._sending += 1
            nursery.start_soon(self._send, state.lease, step.snapshot, journal)

    # Orders

    async def _send(
        self, lease: Lease, snapshot: EngineSnapshot, journal: JournalRow
    ) -> None:
        try:
            await self._send_copy(lease, snapshot, journal)
        finally:
            self._sending -= 1

    async def _send_copy(
        self, lease: Lease, snapshot: EngineSnapshot, journal: JournalRow
    ) -> None:
        """Send one copy of the order if the lease is still held."""
        engine, order = snapshot.row.name, journal.order
        if lease.holds(self._now()) is None or self._in_flight.is_in_flight(engine):
            return
        recipient = snapshot.report.incarnation if snapshot.report else ""
        self._in_flight.record_send(engine, order.number, recipient)
        outcome = await self._deliver(snapshot.row.address, order)
        self._in_flight.record_outcome(engine, order.number, outcome)
        extra = {"engine": engine, "number": order.number, "end": outcome.value}
        logger.info("order sent", extra=extra)
        if outcome is SendOutcome.ACCEPTED:
            self._to_mark_settled[engine] = journal

    async def _deliver(self, address: str, order) -> SendOutcome:
        with trio.move_on_after(ORDER_TIMEOUT_SECONDS):
            try:
                await self._parts.engines.order(address, order)
                return SendOutcome.ACCEPTED
            except StaleOrderError:
                return SendOutcome.STALE
            except TargetRefusedError:
                return SendOutcome.REFUSED
            except TargetNotReachedError:
                return SendOutcome.NOT_SENT
            except TargetBrokenError:
                return SendOutcome.UNKNOWN
        return SendOutcome.UNKNOWN

    async def _mark_settled(self) -> None:
        """Mark journalled orders as settled that have no copy in flight.

        This records a fact about this process's own sends, so it needs no lease.
        """
        for engine, sent in list(self._to_mark_settled.items()):
            try:
                key = journal_key(engine)
                stored = (await self._parts.gate.read([key], Priority.LEASE))[0]
                current = _decode(stored, JournalRow)
                if current == sent and current.state is JournalState.ISSUED:
                    row = msgspec.structs.replace(current, settled=True)
                    transaction = Transaction(
                        [Condition(key, stored.revision)], [Write(key, as_raw(row))]
                    )
                    if await self._transact(transaction) is not WriteOutcome.COMMITTED:
                        continue
            except PlatformError:
                continue
            del self._to_mark_settled[engine]


def _revision(stored: StoredRow | None) -> int:
    return stored.revision if stored else ABSENT


def _decode(stored: StoredRow | None, row_type: type):
    return decode_row(stored, row_type) if stored else None
