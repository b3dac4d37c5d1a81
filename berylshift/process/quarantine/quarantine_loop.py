"""Keeps in the store what no host may forget of requests that end replicas."""

import logging

import trio

from berylshift.clock import Clock
from berylshift.messages.load_digest import CrashReport
from berylshift.process.directory.store_watch import StoreClock
from berylshift.process.quarantine.crash_gossip import CrashKey
from berylshift.process.quarantine.crash_record import PROVEN_SECONDS
from berylshift.process.quarantine.crash_row_queue import RowsDue
from berylshift.process.quarantine.quarantine import Quarantine
from berylshift.store.crash_rows import CrashRow, CrashRows
from berylshift.store.interfaces import PlatformError

logger = logging.getLogger(__name__)

# How soon a row is written: the hosts tell each other sooner, it is for their end.
WRITE_SECONDS = 0.25
# The pause after a call that failed.
RETRY_SECONDS = 1.0


class QuarantineLoop:
    """Reads all rows once, then writes those of this host."""

    def __init__(
        self,
        quarantine: Quarantine,
        rows: CrashRows,
        store_clock: StoreClock,
        clock: Clock,
    ):
        """Keep ``quarantine`` in ``rows``, whose times are by ``store_clock``."""
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
        """Take over what hosts before this one have written."""
        try:
            found = await self._rows.read()
        except PlatformError as exc:
            logger.info("quarantine not read", extra={"reason": str(exc)})
            return False
        now = self._clock.monotonic()
        reports = [_report(row, found.store_ms) for row in found.rows]
        self._quarantine.heard(reports, (), now, is_near=False)
        for row, report in zip(found.rows, reports, strict=True):
            if report.age >= PROVEN_SECONDS:
                self._quarantine.ledger.drop_foreign((row.request, row.target))
        if found.rows:
            logger.info("quarantine read", extra={"rows": len(found.rows)})
        return True

    async def _write(self) -> bool:
        """Write and remove what is due; return whether the store was well."""
        due = self._quarantine.ledger.due()
        now_ms = self._store_clock.now_ms()
        if due.empty or now_ms is None:
            return True
        try:
            await self._rows.change(*self._changes(due, now_ms))
        except PlatformError as exc:
            logger.info("quarantine not written", extra={"reason": str(exc)})
            return False
        self._quarantine.ledger.done(due)
        logger.info(
            "quarantine written", extra={"put": len(due.put), "removed": len(due.drop)}
        )
        return True

    def _changes(
        self, due: RowsDue, now_ms: int
    ) -> tuple[list[CrashRow], list[CrashRow]]:
        put = [self._row(key, now_ms) for key in due.put]
        drop = [CrashRow(request, target, 0) for request, target in due.drop]
        return put, drop

    def _row(self, key: CrashKey, now_ms: int) -> CrashRow:
        age = self._quarantine.age_of(key, self._clock.monotonic())
        return CrashRow(*key, now_ms - int(age * 1000))


def _report(row: CrashRow, store_ms: int) -> CrashReport:
    age = max(0.0, (store_ms - row.at_ms) / 1000)
    return CrashReport(row.request, row.target, age)
