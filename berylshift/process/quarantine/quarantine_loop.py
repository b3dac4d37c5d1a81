"""Persists crash records in the store, so that they survive a restart of all hosts."""

import logging
from collections.abc import Iterable
from typing import Protocol

import trio

from berylshift.clock import Clock
from berylshift.messages.load_digest import CrashReport
from berylshift.process.directory.store_watch import StoreClock
from berylshift.process.quarantine.crash_gossip import CrashKey
from berylshift.process.quarantine.crash_row_queue import CrashRowQueue, RowBatch
from berylshift.store.crash_rows import CrashRow, CrashRows
from berylshift.store.interfaces import PlatformError

logger = logging.getLogger(__name__)

# The write interval. Hosts gossip faster than this; the rows only matter once the hosts
# themselves have stopped.
WRITE_SECONDS = 0.25
# The pause after a failed call.
RETRY_SECONDS = 1.0


class CrashRecords(Protocol):
    """Crash records that outlast the hosts, of requests or of prompt blocks.

    Rows older than ``retention_seconds`` are removed.
    """

    row_queue: CrashRowQueue
    retention_seconds: float

    def restore(self, reports: Iterable[CrashReport], now: float) -> None:
        """Merge the crashes of earlier processes."""

    def crash_age_seconds(self, key: CrashKey, now: float) -> float:
        """Return the seconds since a crash; 0: unknown."""


class QuarantineLoop:
    """Reads all rows once, then writes those of this host."""

    def __init__(
        self,
        quarantine: CrashRecords,
        rows: CrashRows,
        store_clock: StoreClock,
        clock: Clock,
    ):
        """Persist ``quarantine`` in ``rows``, whose times are by ``store_clock``."""
        self._quarantine = quarantine
        self._rows = rows
        self._store_clock = store_clock
        self._clock = clock

    async def run(self) -> None:
        """Run until cancelled."""
        while not await self._read():
            await trio.sleep(RETRY_SECONDS)
        while True:
            await trio.sleep(WRITE_SECONDS)
            if not await self._write():
                await trio.sleep(RETRY_SECONDS)

    async def _read(self) -> bool:
        """Load the rows of earlier processes; return whether the read succeeded."""
        try:
            result = await self._rows.read()
        except PlatformError as exc:
            logger.info("quarantine not read", extra={"reason": str(exc)})
            return False
        now = self._clock.monotonic()
        reports = [_report(row, result.store_ms) for row in result.rows]
        self._quarantine.restore(reports, now)
        for row, report in zip(result.rows, reports, strict=True):
            if report.age_seconds >= self._quarantine.retention_seconds:
                self._quarantine.row_queue.drop_foreign((row.request, row.target))
        if result.rows:
            logger.info("quarantine read", extra={"rows": len(result.rows)})
        return True

    async def _write(self) -> bool:
        """Write and remove what is queued; return whether the store call succeeded."""
        batch = self._quarantine.row_queue.next_batch()
        now_ms = self._store_clock.now_ms()
        if batch.is_empty or now_ms is None:
            return True
        try:
            await self._rows.change(*self._changes(batch, now_ms))
        except PlatformError as exc:
            logger.info("quarantine not written", extra={"reason": str(exc)})
            return False
        self._quarantine.row_queue.mark_committed(batch)
        logger.info(
            "quarantine written",
            extra={"put": len(batch.put), "removed": len(batch.drop)},
        )
        return True

    def _changes(
        self, batch: RowBatch, now_ms: int
    ) -> tuple[list[CrashRow], list[CrashRow]]:
        put = [self._row(key, now_ms) for key in batch.put]
        drop = [CrashRow(request, target, 0) for request, target in batch.drop]
        return put, drop

    def _row(self, key: CrashKey, now_ms: int) -> CrashRow:
        age = self._quarantine.crash_age_seconds(key, self._clock.monotonic())
        return CrashRow(*key, now_ms - int(age * 1000))


def _report(row: CrashRow, store_ms: int) -> CrashReport:
    age = max(0.0, (store_ms - row.at_ms) / 1000)
    return CrashReport(row.request, row.target, age)
