"""The loop that polls engines for their load reports and cache events."""

import logging
from collections.abc import Callable
from dataclasses import dataclass

import trio

from berylshift.clock import Clock
from berylshift.ids import TargetName
from berylshift.process.engine_state.load_view import LoadView
from berylshift.process.engine_state.prefix_index import PrefixIndex
from berylshift.process.table.table_follower import TableHolder
from berylshift.targets import EngineClient, TargetError

logger = logging.getLogger(__name__)


@dataclass
class PollerDependencies:
    """What polling works with."""

    client: EngineClient
    load: LoadView
    prefixes: PrefixIndex
    holder: TableHolder
    clock: Clock
    interval_seconds: float
    timeout_seconds: float
    # Called with the address of an engine that did not answer in time.
    on_timeout: Callable[[str], None] = lambda address: None


class ReportPoller:
    """Polls engines for their load and for changes of their caches."""

    def __init__(self, deps: PollerDependencies):
        """Work with ``deps``."""
        self._deps = deps
        self._last_events: dict[str, int] = {}

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            rows = self._deps.holder.table.engines()
            async with trio.open_nursery() as nursery:
                for row in rows:
                    nursery.start_soon(self._poll, row.name, row.address)
            await trio.sleep(self._deps.interval_seconds)

    async def _poll(self, name: TargetName, address: str) -> None:
        asked_at = self._deps.clock.monotonic()
        with trio.move_on_after(self._deps.timeout_seconds) as scope:
            try:
                old = self._deps.load.report(name)
                report = await self._deps.client.report(address)
                self._deps.load.record_report(name, report, asked_at)
                if old is not None and old.incarnation != report.incarnation:
                    self._deps.prefixes.forget(name)
                    self._last_events[name] = 0
                await self._read_events(name, address)
            except TargetError as exc:
                logger.debug("no report", extra={"engine": name, "why": str(exc)})
        if scope.cancelled_caught:
            self._deps.on_timeout(address)

    async def _read_events(self, name: TargetName, address: str) -> None:
        after = self._last_events.get(name, 0)
        events = await self._deps.client.cache_events(address, after)
        if events:
            self._last_events[name] = events[-1].sequence
            self._deps.prefixes.apply_events(name, events)
