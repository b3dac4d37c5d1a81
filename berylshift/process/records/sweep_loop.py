"""The loop that removes expired confirmation rows."""

import logging
import random

import trio

from berylshift.clock import Clock
from berylshift.process.limits.store_budget import Priority
from berylshift.process.membership.members import Membership
from berylshift.request.confirmation import PREFIX, ConfirmRow
from berylshift.store.batch import TableGate
from berylshift.store.interfaces import (
    Condition,
    MalformedEntryError,
    PlatformError,
    StoredRow,
    Transaction,
    Write,
    decode_row,
)

logger = logging.getLogger(__name__)

TASK = "sweep"
PAGE_ROWS = 50
PAGE_SECONDS = 2.0
EXPIRY_MARGIN_SECONDS = 3600.0


class SweepLoop:
    """Pages through the rows on one host; two hosts at once do no harm.

    A row is removed only some margin after it has expired: wall clocks differ, and a
    call could run a second time if its row were removed early.
    """

    def __init__(
        self, gate: TableGate, members: Membership, clock: Clock, rng: random.Random
    ):
        """Sweep through ``gate`` while this host ranks first among ``members``."""
        self._gate = gate
        self._members = members
        self._clock = clock
        self._rng = rng
        self._after = ""

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            await trio.sleep(PAGE_SECONDS * self._rng.uniform(0.75, 1.25))
            if self._members.rank(TASK) == 0:
                await self.sweep_page()

    async def sweep_page(self) -> None:
        """Read one page of rows and remove the expired ones."""
        try:
            rows = await self._gate.scan(
                PREFIX, self._after, PAGE_ROWS, Priority.UPKEEP
            )
            self._after = rows[-1].key if len(rows) == PAGE_ROWS else ""
            expired = [row for row in rows if self._is_expired(row)]
            if expired:
                await self._remove(expired)
        except PlatformError as exc:
            logger.debug("sweep put off", extra={"why": str(exc)})

    def _is_expired(self, row: StoredRow) -> bool:
        try:
            confirmation = decode_row(row, ConfirmRow)
        except MalformedEntryError as exc:
            logger.warning("malformed row skipped", extra={"reason": str(exc)})
            return False
        return (
            self._clock.now().timestamp() > confirmation.expires + EXPIRY_MARGIN_SECONDS
        )

    async def _remove(self, rows: list[StoredRow]) -> None:
        transaction = Transaction(
            [Condition(row.key, row.revision) for row in rows],
            [Write(row.key, delete=True) for row in rows],
        )
        result = await self._gate.transact(transaction, Priority.UPKEEP)
        if result.committed:
            logger.info("old confirmations removed", extra={"rows": len(rows)})
