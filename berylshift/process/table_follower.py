"""The loop that keeps the operators' table up to date in this process."""

import logging
from dataclasses import dataclass
from typing import Protocol

import msgspec
import trio

from berylshift.clock import Clock
from berylshift.ids import PoolName, TableVersion
from berylshift.platform.interfaces import HostEntry, PlatformError, StoredRow
from berylshift.process.limits import CustomerLimits
from berylshift.process.membership import Membership
from berylshift.process.plans import PlanRow, Plans, plan_key
from berylshift.version.changelog import TableLog, TableLogError
from berylshift.version.freshness import Freshness
from berylshift.version.rows import Row
from berylshift.version.table import EMPTY_TABLE, Table

logger = logging.getLogger(__name__)


class PeerView(msgspec.Struct, frozen=True):
    """What a peer holds: the rows of a table version, the plans, its host list."""

    version: TableVersion
    rows: list[Row]
    plans: dict[PoolName, PlanRow]
    hosts: list[HostEntry] = []


class PeerTables(Protocol):
    """Fetches tables from peers."""

    async def fetch(self, address: str) -> PeerView | None:
        """Return a peer's view, or ``None``."""


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
        plans: Plans,
        members: Membership,
        peers: PeerTables,
        clock: Clock,
        poll: float,
        seeds: list[str],
    ):
        """Look at the store every ``poll`` seconds.

        ``seeds`` are peers' admin addresses, asked while no table is held: a
        process that starts while store and host list are down knows no peer.
        """
        self._holder = holder
        self._log = log
        self._fresh = fresh
        self._limits = limits
        self._plans = plans
        self._members = members
        self._peers = peers
        self._clock = clock
        self._poll = poll
        self._hint = trio.Event()
        self._seeds = seeds
        self._ahead: set[str] = set()

    def peer_has(self, address: str, version: int, plan_version: int) -> None:
        """Note what a peer holds; what is newer is fetched at once."""
        newer = version > self._holder.table.version
        if newer or plan_version > self._plans.total:
            self._ahead.add(address)
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
            pools = sorted({row.serves for row in self._holder.table.engines()})
            keys = [plan_key(pool) for pool in pools]
            head, stored = await self._log.read_with_head(keys)
            self._offer_plans(pools, stored)
            if head.version > self._holder.table.version:
                self._offer(await self._log.catch_up(self._holder.table, head))
        except (PlatformError, TableLogError, ValueError) as exc:
            logger.warning("table not read", extra={"why": str(exc)})
            return False
        self._fresh.store_confirmed(asked_at, head.version)
        return True

    async def _from_peers(self) -> None:
        starting = not self._holder.table.version
        asked = self._ahead | set(self._seeds if starting else ())
        for address in sorted(asked):
            view = await self._peers.fetch(address)
            if view is None:
                continue
            if starting and not self._members.peers:
                self._members.listed(view.hosts)
            self._offer(Table(view.version, view.rows))
            for pool, plan in view.plans.items():
                self._plans.offer(pool, plan, self._clock.monotonic())
            self._fresh.plan = self._plans.total

    def _offer_plans(
        self, pools: list[PoolName], stored: list[StoredRow | None]
    ) -> None:
        now = self._clock.monotonic()
        for pool, found in zip(pools, stored, strict=True):
            if found is not None:
                plan = msgspec.json.decode(found.value, type=PlanRow)
                self._plans.offer(pool, plan, now)
        self._fresh.plan = self._plans.total

    def _offer(self, table: Table) -> None:
        if not self._holder.offer(table):
            return
        self._fresh.version = table.version
        self._limits.set_limits(
            {row.target: row.limit for row in table.customers.values() if row.limit}
        )
        logger.info("table in force", extra={"version": table.version})
