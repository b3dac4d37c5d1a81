"""The loop that keeps the operators' table up to date in this process."""

import logging
from dataclasses import dataclass
from typing import Protocol

import trio

from berylshift.clock import Clock
from berylshift.platform.interfaces import PlatformError
from berylshift.process.limits import CustomerLimits
from berylshift.version.changelog import TableLog, TableLogError
from berylshift.version.freshness import Freshness
from berylshift.version.table import EMPTY_TABLE, Table

logger = logging.getLogger(__name__)


class PeerTables(Protocol):
    """Fetches tables from peers."""

    async def fetch(self, address: str) -> Table | None:
        """Return a peer's table, or ``None``."""


@dataclass
class TableHolder:
    """The table version in force here; versions only rise."""

    table: Table = EMPTY_TABLE

    def get(self) -> Table:
        """Return the table in force."""
        return self.table

    def offer(self, table: Table) -> bool:
        """Put a table in force if it is newer."""
        if table.version <= self.table.version:
            return False
        self.table = table
        return True


class TableFollower:
    """Keeps the table up to date, from the store and from peers."""

    def __init__(
        self,
        holder: TableHolder,
        log: TableLog,
        fresh: Freshness,
        limits: CustomerLimits,
        peers: PeerTables,
        clock: Clock,
        poll: float,
    ):
        """Look at the store every ``poll`` seconds."""
        self._holder = holder
        self._log = log
        self._fresh = fresh
        self._limits = limits
        self._peers = peers
        self._clock = clock
        self._poll = poll
        self._hint = trio.Event()
        self._ahead: dict[str, int] = {}

    def peer_has(self, address: str, version: int) -> None:
        """Note that a peer holds a newer version; it is fetched at once."""
        if version > self._holder.table.version:
            self._ahead[address] = version
            self._hint.set()

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            if not await self._from_store():
                await self._from_peers()
            self._ahead.clear()
            self._hint = trio.Event()
            with trio.move_on_after(self._poll):
                await self._hint.wait()

    async def _from_store(self) -> bool:
        asked_at = self._clock.monotonic()
        try:
            head, _ = await self._log.head()
            if head.version > self._holder.table.version:
                self._offer(await self._log.catch_up(self._holder.table, head))
        except (PlatformError, TableLogError, ValueError) as exc:
            logger.warning("table not read", extra={"why": str(exc)})
            return False
        self._fresh.store_confirmed(asked_at, head.version)
        return True

    async def _from_peers(self) -> None:
        for address in list(self._ahead):
            table = await self._peers.fetch(address)
            if table is not None:
                self._offer(table)

    def _offer(self, table: Table) -> None:
        if not self._holder.offer(table):
            return
        self._fresh.version = table.version
        self._limits.set_limits(
            {row.target: row.limit for row in table.customers.values() if row.limit}
        )
        logger.info("table in force", extra={"version": table.version})
