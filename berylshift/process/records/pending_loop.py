"""The loop that writes the results which could not be written at once."""

import random

import msgspec
import trio

from berylshift.process.limits.store_budget import Priority
from berylshift.process.records.pending_records import PendingRecords
from berylshift.request.confirmation import ConfirmRow
from berylshift.store.batch import TableGate
from berylshift.store.interfaces import (
    ABSENT,
    Condition,
    PlatformError,
    Write,
    as_raw,
)

PENDING_PAUSE = 0.5


class PendingLoop:
    """Writes the confirmations' results that could not be written at once."""

    def __init__(self, pending: PendingRecords, gate: TableGate, rng: random.Random):
        """Write ``pending`` through ``gate``."""
        self._pending = pending
        self._gate = gate
        self._rng = rng

    async def run(self) -> None:
        """Write what waits until cancelled."""
        while True:
            item = self._pending.first()
            if item is None or not await self._write(*item):
                await trio.sleep(PENDING_PAUSE * self._rng.uniform(0.5, 1.5))

    async def _write(self, key: str, row: ConfirmRow) -> bool:
        try:
            stored = (await self._gate.read([key], Priority.CONFIRMATION))[0]
            current = None
            if stored is not None:
                current = msgspec.json.decode(stored.value, type=ConfirmRow)
            revision = self._pending.revision_to_replace(
                row, current, stored.revision if stored else ABSENT
            )
            if revision is not None:
                condition = Condition(key, revision)
                answer = await self._gate.put_row(condition, Write(key, as_raw(row)))
                if not answer.committed:
                    return True
        except PlatformError:
            return False
        self._pending.done(key)
        return True
