"""Follows the platform's directory: routes and replicas, each by its own task."""

import logging
import random
from collections.abc import Awaitable, Callable

import trio

from berylshift.clock import Clock
from berylshift.ids import InstanceId, Revision
from berylshift.process.fleet.replica_set import ReplicaSet
from berylshift.process.fleet.route_holder import RouteHolder
from berylshift.store.directory import (
    Directory,
    HistoryLostError,
    MalformedEntryError,
)
from berylshift.store.interfaces import PlatformError

logger = logging.getLogger(__name__)

FIRST_BACKOFF_SECONDS = 0.1
LONGEST_BACKOFF_SECONDS = 0.6
EXPIRE_SECONDS = 0.1


class DirectoryLoop:
    """Keeps routes and replicas up to date; each wait is bounded.

    A feed that falls silent for good looks like one without news. The wait asked
    for is short enough that its time-out shows the silence before a change is due.
    """

    def __init__(
        self,
        directory: Directory,
        routes: RouteHolder,
        replicas: ReplicaSet,
        clock: Clock,
        rng: random.Random,
        wait: Callable[[], float],
        rest: Callable[[], float],
        gone: Callable[[InstanceId], None] = lambda instance: None,
    ):
        """Follow with feeds that wait ``wait()`` seconds at most.

        ``gone`` is told of each replica that is no longer listed.

        After news of replicas the next call comes ``rest()`` seconds later, so that
        changes in a row cost each host a few calls and not one each.
        """
        self._rest = rest
        self._gone = gone
        self._directory = directory
        self._routes = routes
        self._replicas = replicas
        self._clock = clock
        self._rng = rng
        self._wait = wait
        self._routes_at: Revision | None = None
        self._replicas_at: Revision | None = None

    async def run(self) -> None:
        """Follow until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._follow, "routes", self._step_routes)
            nursery.start_soon(self._follow, "replicas", self._step_replicas)
            nursery.start_soon(self._expire)

    async def _follow(self, what: str, step: Callable[[], Awaitable[None]]) -> None:
        failures = 0
        while True:
            try:
                await step()
            except HistoryLostError as exc:
                self._forget(what)
                logger.info("feed cut", extra={"feed": what, "reason": str(exc)})
                continue
            except MalformedEntryError as exc:
                self._forget(what)
                logger.error("entry rejected", extra={"reason": str(exc)})
                await trio.sleep(LONGEST_BACKOFF_SECONDS)
                continue
            except PlatformError as exc:
                if not failures:
                    logger.warning(
                        "store lost", extra={"feed": what, "reason": str(exc)}
                    )
                failures += 1
                self._replicas.store_lost(self._clock.monotonic())
                await trio.sleep(self._backoff(failures))
                continue
            if failures:
                logger.info("store regained", extra={"feed": what, "tries": failures})
                # What the feed left out meanwhile is seen by reading all of it.
                self._forget(what)
            failures = 0

    def _forget(self, what: str) -> None:
        if what == "routes":
            self._routes_at = None
        else:
            self._replicas_at = None

    def _backoff(self, failures: int) -> float:
        longest = min(LONGEST_BACKOFF_SECONDS, FIRST_BACKOFF_SECONDS * 2**failures)
        return longest * self._rng.uniform(0.5, 1.0)

    async def _step_routes(self) -> None:
        if self._routes_at is None:
            snapshot = await self._directory.read_routes()
        else:
            snapshot = await self._directory.await_routes(self._routes_at, self._wait())
        self._routes.take(snapshot.table, self._clock.monotonic())
        self._routes_at = snapshot.revision
        if snapshot.table is None and self._routes.table is None:
            await trio.sleep(FIRST_BACKOFF_SECONDS)

    async def _step_replicas(self) -> None:
        if self._replicas_at is None:
            changes = await self._directory.read_replicas()
        else:
            changes = await self._directory.await_replicas(
                self._replicas_at, self._wait()
            )
        change = self._replicas.apply(changes, self._clock.monotonic())
        self._replicas_at = changes.revision
        for instance in change.removed:
            self._gone(instance)
        if not change.empty:
            logger.info(
                "replicas changed",
                extra={
                    "revision": changes.revision,
                    "added": change.added,
                    "drained": change.drained,
                    "removed": change.removed,
                    "lapsed": change.lapsed,
                },
            )
        if changes.put or changes.removed:
            await trio.sleep(self._rest())

    async def _expire(self) -> None:
        while True:
            await trio.sleep(EXPIRE_SECONDS)
            over = self._replicas.expire(self._clock.monotonic())
            for instance in over:
                self._gone(instance)
            if over:
                logger.info("replicas gone", extra={"removed": over})
