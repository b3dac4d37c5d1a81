"""The loop that keeps the operators' table up to date in this process."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import msgspec
import trio

from berylshift.clock import Clock
from berylshift.ids import PoolName, TableVersion
from berylshift.process.control.plans import PlanRow, Plans, plan_key
from berylshift.process.membership.members import Membership
from berylshift.store.interfaces import HostEntry, PlatformError, StoredRow
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


@dataclass
class FollowerParts:
    """What following the table works with.

    ``on_change`` is told the old and the new table. ``seeds`` are peers' admin
    addresses, asked while no table is held: a process that starts while store and
    host list are down knows no peer. ``poll`` is in seconds.
    """

    holder: TableHolder
    log: TableLog
    fresh: Freshness
    plans: Plans
    members: Membership
    peers: PeerTables
    clock: Clock
    on_change: Callable[[Table, Table], None]
    poll: float
    seeds: list[str]


class TableFollower:
    """Keeps the table up to date, from the store and from peers."""

    def __init__(self, parts: FollowerParts):
        """Work with ``parts``."""
        self._parts = parts
        self._hint = trio.Event()
        self._ahead: set[str] = set()

    def peer_has(self, address: str, version: int, plan_version: int) -> None:
        """Note what a peer holds; what is newer is fetched at once."""
        newer = version > self._parts.holder.table.version
        if newer or plan_version > self._parts.plans.total:
            self._ahead.add(address)
            self._hint.set()

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            if not await self._from_store():
                await self._from_peers()
            self._ahead.clear()
            self._hint = trio.Event()
            with trio.move_on_after(self._parts.poll):
                await self._hint.wait()

    async def _from_store(self) -> bool:
        asked_at = self._parts.clock.monotonic()
        try:
            pools = sorted({row.serves for row in self._parts.holder.table.engines()})
            keys = [plan_key(pool) for pool in pools]
            head, stored = await self._parts.log.read_with_head(keys)
            self._offer_plans(pools, stored)
            if head.version > self._parts.holder.table.version:
                self._offer(
                    await self._parts.log.catch_up(self._parts.holder.table, head)
                )
        except (PlatformError, TableLogError, ValueError) as exc:
            logger.warning("table not read", extra={"why": str(exc)})
            return False
        self._parts.fresh.store_confirmed(asked_at, head.version)
        return True

    async def _from_peers(self) -> None:
        starting = not self._parts.holder.table.version
        asked = self._ahead | set(self._parts.seeds if starting else ())
        for address in sorted(asked):
            view = await self._parts.peers.fetch(address)
            if view is None:
                continue
            if starting and not self._parts.members.peers:
                self._parts.members.update_host_list(view.hosts)
            self._offer(Table(view.version, view.rows))
            for pool, plan in view.plans.items():
                self._parts.plans.apply_if_newer(
                    pool, plan, self._parts.clock.monotonic()
                )
            self._parts.fresh.plan = self._parts.plans.total

    def _offer_plans(
        self, pools: list[PoolName], stored: list[StoredRow | None]
    ) -> None:
        now = self._parts.clock.monotonic()
        for pool, found in zip(pools, stored, strict=True):
            if found is not None:
                plan = msgspec.json.decode(found.value, type=PlanRow)
                self._parts.plans.apply_if_newer(pool, plan, now)
        self._parts.fresh.plan = self._parts.plans.total

    def _offer(self, table: Table) -> None:
        old = self._parts.holder.table
        if not self._parts.holder.offer(table):
            return
        self._parts.fresh.version = table.version
        self._parts.on_change(old, table)
        logger.info("table in force", extra={"version": table.version})
