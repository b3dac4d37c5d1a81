"""The stored row of one confirmation's key: claims, reads, records and releases it."""

import logging
from dataclasses import dataclass

import trio

from berylshift.clock import Clock
from berylshift.process.limits.store_budget import Priority
from berylshift.process.records.pending_records import PendingRecords
from berylshift.process.shutdown import Shutdown
from berylshift.request.confirmation import (
    POLL_SECONDS,
    Confirmation,
    ConfirmRow,
    Event,
    RowState,
    Step,
)
from berylshift.store.batch import TableGate
from berylshift.store.interfaces import (
    ABSENT,
    Condition,
    PlatformError,
    ResponseLostError,
    TransactionResult,
    Write,
    as_raw,
    decode_row,
)

logger = logging.getLogger(__name__)

RECORD_TIMEOUT_SECONDS = 2.0
STORE_RETRY_SECONDS = 0.05


@dataclass
class KeyRowDependencies:
    """Dependencies of ``KeyRow``."""

    clock: Clock
    gate: TableGate
    pending: PendingRecords


class KeyRow:
    """Performs the steps of one confirmation that call the store."""

    def __init__(
        self, deps: KeyRowDependencies, state: Confirmation, key: str, bounds: Shutdown
    ):
        """Keep ``state`` under ``key``; ``bounds`` ends its steps before a shutdown."""
        self._deps = deps
        self._state = state
        self._key = key
        self._bounds = bounds

    async def run_step(self) -> None:
        """Perform the next step, which must not be to send or to answer."""
        match self._state.step:
            case Step.INSERT | Step.TAKE_OVER:
                await self._claim()
            case Step.READ:
                await self._read()
            case Step.WAIT:
                await trio.sleep(POLL_SECONDS)
                self._state.on_wait_over()
            case Step.RECORD:
                await self._write_record()
                self._state.on_recorded()
            case _:
                raise ValueError(f"not a step of the row: {self._state.step}")

    async def release(self) -> None:
        """Give the key up, so that another request may run it.

        Only once the caller was told that its call did not run: until then the row
        keeps the others from running.
        """
        self._state.record = self._state.row(RowState.ABANDONED)
        if self._state.owns_row:
            await self._write_record()
        else:
            # A lost insert may still take effect; the upkeep loop reads the row first.
            self._deps.pending.add(self._key, self._state.record)

    async def _claim(self) -> None:
        state, row = self._state, self._state.row(RowState.STARTED)
        event = await self._put(row, state.deadline)
        state.on_insert(event, self._deps.clock.monotonic())

    async def _put(self, row: ConfirmRow, until: float) -> Event:
        """Write the row, waiting for the store until the deadline at most."""
        scope = trio.CancelScope(deadline=until)
        with scope, self._bounds.bounding(scope):
            try:
                answer = await self._put_row(Write(self._key, as_raw(row)))
                return Event.COMMITTED if answer.committed else Event.CONFLICT
            except ResponseLostError:
                return Event.LOST
            except PlatformError:
                await trio.sleep(STORE_RETRY_SECONDS)
                return Event.UNAVAILABLE
        return Event.LOST

    async def _put_row(self, write: Write) -> TransactionResult:
        condition = Condition(self._key, self._state.revision)
        return await self._deps.gate.put_row(condition, write)

    async def _read(self) -> None:
        state, clock = self._state, self._deps.clock
        scope = trio.CancelScope(deadline=state.deadline)
        with scope, self._bounds.bounding(scope):
            try:
                found = await self._deps.gate.read([self._key], Priority.CONFIRMATION)
                stored = found[0]
                row = None
                if stored is not None:
                    row = decode_row(stored, ConfirmRow)
                revision = stored.revision if stored else ABSENT
                state.on_read(row, revision, clock.monotonic())
                return
            except PlatformError:
                await trio.sleep(STORE_RETRY_SECONDS)
        state.on_read_failed(clock.monotonic())

    async def _write_record(self) -> None:
        """Write the result; if that fails, queue it for the upkeep loop."""
        state, written = self._state, False
        with trio.move_on_after(RECORD_TIMEOUT_SECONDS):
            try:
                answer = await self._put_row(self._record_write())
                written = answer.committed
            except PlatformError:
                logger.warning("confirmation result not written; queued for retry")
        if written:
            state.owns_row = state.is_insert_uncertain = False
        else:
            self._deps.pending.add(self._key, state.record)

    def _record_write(self) -> Write:
        """Return the write of the result; a refused call leaves no row of its own."""
        if self._state.leaves_no_row:
            return Write(self._key, delete=True)
        return Write(self._key, as_raw(self._state.record))
