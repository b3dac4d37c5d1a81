"""Access to the table service: rate budget, priorities and batched writes."""

import math
from dataclasses import dataclass, field

import trio

from berylshift.clock import Clock
from berylshift.process.limits.store_budget import Priority, StoreBudget
from berylshift.store.interfaces import (
    Condition,
    PlatformError,
    ResponseLostError,
    StoredRow,
    StoreUnavailableError,
    TableService,
    Transaction,
    TransactionResult,
    Write,
)


@dataclass
class _PendingWrite:
    """A conditional write of one row that waits for a batch."""

    condition: Condition
    write: Write
    done: trio.Event = field(default_factory=trio.Event)
    result: TransactionResult | None = None
    error: PlatformError | None = None


class TableGate:
    """Calls the table service within the rate budgets of this process."""

    def __init__(
        self,
        service: TableService,
        clock: Clock,
        reads: StoreBudget,
        writes: StoreBudget,
        window_seconds: float,
        batch_rows: int,
    ):
        """Batch writes for ``window_seconds``, up to ``batch_rows`` per transaction."""
        self._service = service
        self._clock = clock
        self._reads = reads
        self._writes = writes
        self._window_seconds = window_seconds
        self._batch_rows = batch_rows
        self._pending: list[_PendingWrite] = []
        self._wake = trio.Event()
        self.transactions = 0

    async def read(self, keys: list[str], priority: Priority) -> list[StoredRow | None]:
        """Return rows; raise ``PlatformError``."""
        await self._admit(self._reads, priority)
        return await self._call(self._reads, self._service.read, keys)

    async def scan(
        self, prefix: str, after: str, limit: int, priority: Priority
    ) -> list[StoredRow]:
        """Return a page of rows; raise ``PlatformError``."""
        await self._admit(self._reads, priority)
        return await self._call(self._reads, self._service.scan, prefix, after, limit)

    async def transact(
        self, transaction: Transaction, priority: Priority
    ) -> TransactionResult:
        """Commit an unbatched transaction; raise ``PlatformError``."""
        await self._admit(self._writes, priority)
        self.transactions += 1
        return await self._call(self._writes, self._service.transact, transaction)

    async def put_row(self, condition: Condition, write: Write) -> TransactionResult:
        """Write one row as part of a batch; raise ``PlatformError``."""
        pending = _PendingWrite(condition, write)
        self._pending.append(pending)
        self._wake.set()
        try:
            await pending.done.wait()
        except trio.Cancelled:
            if pending in self._pending:
                self._pending.remove(pending)
            raise
        if pending.error is not None:
            raise pending.error
        return pending.result or TransactionResult()

    async def run(self) -> None:
        """Send batches until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._wake.wait()
                await trio.sleep(self._window_seconds)
                await self._admit(self._writes, Priority.CONFIRMATION)
                batch = self._take_batch()
                if batch:
                    nursery.start_soon(self._send, batch)

    def _take_batch(self) -> list[_PendingWrite]:
        """Return writes with distinct keys; the others wait for the next batch."""
        batch: dict[str, _PendingWrite] = {}
        remaining: list[_PendingWrite] = []
        for pending in self._pending:
            if len(batch) < self._batch_rows and pending.write.key not in batch:
                batch[pending.write.key] = pending
            else:
                remaining.append(pending)
        self._pending = remaining
        if not remaining:
            self._wake = trio.Event()
        return list(batch.values())

    async def _send(self, batch: list[_PendingWrite]) -> None:
        """Commit a batch, again without the writes whose conditions fail.

        One failed condition must not fail the writes of other callers.
        """
        while batch:
            result = await self._commit(batch)
            if result is None:
                return
            failed = set(result.failed)
            remaining = []
            for pending in batch:
                if pending.condition.key in failed:
                    pending.result = TransactionResult([pending.condition.key])
                    pending.done.set()
                elif result.committed:
                    pending.result = result
                    pending.done.set()
                else:
                    remaining.append(pending)
            batch = remaining
            if batch:
                await self._admit(self._writes, Priority.CONFIRMATION)

    async def _commit(self, batch: list[_PendingWrite]) -> TransactionResult | None:
        conditions = [pending.condition for pending in batch]
        writes = [pending.write for pending in batch]
        self.transactions += 1
        try:
            transaction = Transaction(conditions, writes)
            return await self._call(self._writes, self._service.transact, transaction)
        except Exception as exc:
            for pending in batch:
                pending.error = exc
                pending.done.set()
            if isinstance(exc, PlatformError):
                return None
            raise

    async def _admit(self, budget: StoreBudget, priority: Priority) -> None:
        while wait := budget.wait_seconds(priority, self._clock.monotonic()):
            if math.isinf(wait):
                raise StoreUnavailableError("the rate budget never allows this call")
            await trio.sleep(wait)

    async def _call(self, budget: StoreBudget, call, *args):
        try:
            result = await call(*args)
        except (StoreUnavailableError, ResponseLostError):
            budget.record_failure(self._clock.monotonic())
            raise
        budget.record_success()
        return result
