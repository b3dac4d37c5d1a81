"""The loop that retries deferred writes of confirmation rows."""

import logging
import random

import trio

from berylshift.process.limits.store_budget import Priority
from berylshift.process.records.pending_records import PendingRecords
from berylshift.request.confirmation import ConfirmRow
from berylshift.store.batch import TableGate
from berylshift.store.interfaces import (
    ABSENT,
    Condition,
    MalformedEntryError,
    PlatformError,
    Write,
    as_raw,
    decode_row,
)

logger = logging.getLogger(__name__)

RETRY_INTERVAL_SECONDS = 0.5


class PendingLoop:
    """Writes confirmation rows whose first write failed."""

    def __init__(self, pending: PendingRecords, gate: TableGate, rng: random.Random):
        """Write the rows in ``pending`` through ``gate``."""
        self._pending = pending
        self._gate = gate
        self._rng = rng

    async def run(self) -> None:
        """Write pending rows until cancelled."""
        while True:
            item = self._pending.oldest()
            if item is None or not await self._write(*item):
                await trio.sleep(RETRY_INTERVAL_SECONDS * self._rng.uniform(0.5, 1.5))

    async def _write(self, key: str, row: ConfirmRow) -> bool:
        try:
            stored = (await self._gate.read([key], Priority.CONFIRMATION))[0]
            current = None
            if stored is not None:
                current = decode_row(stored, ConfirmRow)
            revision = self._pending.revision_to_replace(
                row, current, stored.revision if stored else ABSENT
            )
            if revision is not None:
                condition = Condition(key, revision)
                result = await self._gate.put_row(condition, Write(key, as_raw(row)))
                if not result.committed:
                    return True
        except MalformedEntryError as exc:
            # Whoever wrote the row has it; the next record must not wait for it.
            logger.error("record dropped", extra={"reason": str(exc)})
        except PlatformError:
            return False
        self._pending.remove(key)
        return True
