"""The way of all table calls: budget, batches, and the order of priorities."""

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
class _Entry:
    """One row's change that waits for a batch."""

    condition: Condition
    write: Write
    done: trio.Event = field(default_factory=trio.Event)
    answer: TransactionResult | None = None
    error: PlatformError | None = None


class TableGate:
    """Passes calls on to the table service within the process's budget."""

    def __init__(
        self,
        service: TableService,
        clock: Clock,
        reads: StoreBudget,
        writes: StoreBudget,
        window: float,
        batch_rows: int,
    ):
        """Collect small writes for ``window`` seconds, ``batch_rows`` at most."""
        self._service = service
        self._clock = clock
        self._reads = reads
        self._writes = writes
        self._window = window
        self._batch_rows = batch_rows
        self._waiting: list[_Entry] = []
        self._wake = trio.Event()
        self.transactions = 0

    async def read(self, keys: list[str], priority: Priority) -> list[StoredRow | None]:
        """Return rows; raise ``PlatformError``."""
        await self._admit(self._reads, priority)
        return await self._watch(self._reads, self._service.read, keys)

    async def scan(
        self, prefix: str, after: str, limit: int, priority: Priority
    ) -> list[StoredRow]:
        """Return a page of rows; raise ``PlatformError``."""
        await self._admit(self._reads, priority)
        return await self._watch(self._reads, self._service.scan, prefix, after, limit)

    async def transact(
        self, transaction: Transaction, priority: Priority
    ) -> TransactionResult:
        """Commit a transaction of its own; raise ``PlatformError``."""
        await self._admit(self._writes, priority)
        self.transactions += 1
        return await self._watch(self._writes, self._service.transact, transaction)

    async def put_row(self, condition: Condition, write: Write) -> TransactionResult:
        """Change one row together with others'; raise ``PlatformError``."""
        entry = _Entry(condition, write)
        self._waiting.append(entry)
        self._wake.set()
        try:
            await entry.done.wait()
        except trio.Cancelled:
            if entry in self._waiting:
                self._waiting.remove(entry)
            raise
        if entry.error is not None:
            raise entry.error
        return entry.answer or TransactionResult()

    async def run(self) -> None:
        """Send batches until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._wake.wait()
                await trio.sleep(self._window)
                await self._admit(self._writes, Priority.CONFIRMATION)
                batch = self._take_batch()
                if batch:
                    nursery.start_soon(self._send, batch)

    def _take_batch(self) -> list[_Entry]:
        """Return entries with different keys; the rest waits for the next batch."""
        batch: dict[str, _Entry] = {}
        left: list[_Entry] = []
        for entry in self._waiting:
            if len(batch) < self._batch_rows and entry.write.key not in batch:
                batch[entry.write.key] = entry
            else:
                left.append(entry)
        self._waiting = left
        if not left:
            self._wake = trio.Event()
        return list(batch.values())

    async def _send(self, batch: list[_Entry]) -> None:
        """Commit a batch; one failed condition must not fail the others."""
        while batch:
            answer = await self._commit(batch)
            if answer is None:
                return
            failed = set(answer.failed)
            rest = []
            for entry in batch:
                if entry.condition.key in failed:
                    entry.answer = TransactionResult([entry.condition.key])
                    entry.done.set()
                elif answer.committed:
                    entry.answer = answer
                    entry.done.set()
                else:
                    rest.append(entry)
            batch = rest
            if batch:
                await self._admit(self._writes, Priority.CONFIRMATION)

    async def _commit(self, batch: list[_Entry]) -> TransactionResult | None:
        conditions = [entry.condition for entry in batch]
        writes = [entry.write for entry in batch]
        self.transactions += 1
        try:
            transaction = Transaction(conditions, writes)
            return await self._watch(self._writes, self._service.transact, transaction)
        except PlatformError as exc:
            for entry in batch:
                entry.error = exc
                entry.done.set()
            return None

    async def _admit(self, budget: StoreBudget, priority: Priority) -> None:
        while wait := budget.wait_seconds(priority, self._clock.monotonic()):
            if math.isinf(wait):
                raise StoreUnavailableError("no budget")
            await trio.sleep(wait)

    async def _watch(self, budget: StoreBudget, call, *args):
        try:
            answer = await call(*args)
        except (StoreUnavailableError, ResponseLostError):
            budget.note_failure(self._clock.monotonic())
            raise
        budget.note_success()
        return answer
