"""The loop that keeps this process's copy of the operators' table up to date."""

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
from berylshift.store.interfaces import (
    HostEntry,
    MalformedEntryError,
    PlatformError,
    StoredRow,
    decode_row,
)
from berylshift.version.changelog import TableLog, TableLogError
from berylshift.version.freshness import Freshness
from berylshift.version.rows import Row
from berylshift.version.table import EMPTY_TABLE, Table

logger = logging.getLogger(__name__)


class PeerView(msgspec.Struct, frozen=True):
    """A peer's table version with its rows, its plans and its host list."""

    version: TableVersion
    rows: list[Row]
    plans: dict[PoolName, PlanRow]
    hosts: list[HostEntry] = []


class PeerViews(Protocol):
    """Fetches peers' views of the table, the plans and the hosts."""

    async def fetch(self, address: str) -> PeerView | None:
        """Return a peer's view, ``None`` if it can't be fetched."""


@dataclass
class TableHolder:
    """The table version in force in this process; versions only grow."""

    table: Table = EMPTY_TABLE

    def get(self) -> Table:
        """Return the table in force."""
        return self.table

    def offer(self, table: Table) -> bool:
        """Put a table in force if it is newer; return whether it was."""
        if table.version <= self.table.version:
            return False
        self.table = table
        return True


@dataclass
class FollowerDependencies:
    """What the table follower works with.

    ``on_change`` is called with the old and the new table. ``seeds`` are admin
    addresses of peers that are asked while there is no table yet: a process that starts
    while the store and the host list are down knows no peers. ``boot_clock`` gives the
    times of confirmations; it runs while the host is suspended.
    """

    holder: TableHolder
    log: TableLog
    fresh: Freshness
    plans: Plans
    members: Membership
    peers: PeerViews
    clock: Clock
    boot_clock: Callable[[], float]
    on_change: Callable[[Table, Table], None]
    poll_interval_seconds: float
    seeds: list[str]


class TableFollower:
    """Keeps the table up to date, from the store and from peers."""

    def __init__(self, deps: FollowerDependencies):
        """Work with ``deps``."""
        self._deps = deps
        self._wake = trio.Event()
        self._newer_peers: set[str] = set()

    def record_peer_versions(
        self, address: str, version: int, plan_version: int
    ) -> None:
        """Record a peer's versions; newer ones are fetched at once."""
        newer = version > self._deps.holder.table.version
        if newer or plan_version > self._deps.plans.total:
            self._newer_peers.add(address)
            self._wake.set()

    async def run(self) -> None:
        """Follow the table until cancelled."""
        while True:
            if not await self._read_store():
                await self._fetch_from_peers()
            self._newer_peers.clear()
            self._wake = trio.Event()
            with trio.move_on_after(self._deps.poll_interval_seconds):
                await self._wake.wait()

    async def _read_store(self) -> bool:
        asked_at = self._deps.boot_clock()
        try:
            pools = sorted({row.serves for row in self._deps.holder.table.engines()})
            keys = [plan_key(pool) for pool in pools]
            head, stored = await self._deps.log.read_with_head(keys)
            self._offer_plans(pools, stored)
            if head.version > self._deps.holder.table.version:
                self._offer(
                    await self._deps.log.catch_up(self._deps.holder.table, head)
                )
        except (PlatformError, TableLogError, ValueError) as exc:
            logger.warning("table not read", extra={"why": str(exc)})
            return False
        self._deps.fresh.note_store_confirmation(asked_at, head.version)
        return True

    async def _fetch_from_peers(self) -> None:
        is_starting = not self._deps.holder.table.version
        asked = self._newer_peers | set(self._deps.seeds if is_starting else ())
        for address in sorted(asked):
            view = await self._deps.peers.fetch(address)
            if view is None:
                continue
            if is_starting and not self._deps.members.peers:
                self._deps.members.update_host_list(view.hosts)
            self._offer(Table(view.version, view.rows))
            for pool, plan in view.plans.items():
                self._deps.plans.apply_if_newer(
                    pool, plan, self._deps.clock.monotonic()
                )
            self._deps.fresh.plan = self._deps.plans.total

    def _offer_plans(
        self, pools: list[PoolName], stored: list[StoredRow | None]
    ) -> None:
        now = self._deps.clock.monotonic()
        for pool, row in zip(pools, stored, strict=True):
            if row is not None:
                self._offer_plan(pool, row, now)
        self._deps.fresh.plan = self._deps.plans.total

    def _offer_plan(self, pool: PoolName, row: StoredRow, now: float) -> None:
        try:
            plan = decode_row(row, PlanRow)
        except MalformedEntryError as exc:
            logger.warning("malformed plan skipped", extra={"reason": str(exc)})
            return
        self._deps.plans.apply_if_newer(pool, plan, now)

    def _offer(self, table: Table) -> None:
        old = self._deps.holder.table
        if not self._deps.holder.offer(table):
            return
        self._deps.fresh.version = table.version
        self._deps.on_change(old, table)
        logger.info("table in force", extra={"version": table.version})
