"""The loop that asks engines for their load and cache events."""

import logging
from dataclasses import dataclass

import trio

from berylshift.clock import Clock
from berylshift.ids import TargetName
from berylshift.process.engine_state.load_view import LoadView
from berylshift.process.engine_state.prefix_index import PrefixIndex
from berylshift.process.table.follower import TableHolder
from berylshift.targets import EngineClient, TargetError

logger = logging.getLogger(__name__)


@dataclass
class PollerParts:
    """What polling works with; times in seconds."""

    client: EngineClient
    load: LoadView
    prefixes: PrefixIndex
    holder: TableHolder
    clock: Clock
    interval: float
    timeout: float


class ReportPoller:
    """Asks engines for their load, and for what left their caches."""

    def __init__(self, parts: PollerParts):
        """Work with ``parts``."""
        self._parts = parts
        self._events_seen: dict[str, int] = {}

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            rows = self._parts.holder.table.engines()
            async with trio.open_nursery() as nursery:
                for row in rows:
                    nursery.start_soon(self._ask, row.name, row.address)
            await trio.sleep(self._parts.interval)

    async def _ask(self, name: TargetName, address: str) -> None:
        asked_at = self._parts.clock.monotonic()
        with trio.move_on_after(self._parts.timeout):
            try:
                old = self._parts.load.report(name)
                report = await self._parts.client.report(address)
                self._parts.load.reported(name, report, asked_at)
                if old is not None and old.incarnation != report.incarnation:
                    self._parts.prefixes.lost(name)
                    self._events_seen[name] = 0
                await self._read_events(name, address)
            except TargetError as exc:
                logger.debug("no report", extra={"engine": name, "why": str(exc)})

    async def _read_events(self, name: TargetName, address: str) -> None:
        after = self._events_seen.get(name, 0)
        events = await self._parts.client.cache_events(address, after)
        if events:
            self._events_seen[name] = events[-1].sequence
            self._parts.prefixes.observed(name, events)
