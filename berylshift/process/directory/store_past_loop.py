"""Learns which versions and routes were in use before this process.

Some hosts write down regularly what they know, with the store's revision up to which
they do. A host that has started reads that, and the store's changes since, if a caller
needs to know the past.
"""

import logging
from collections.abc import Iterable
from typing import Protocol

import trio

from berylshift.clock import Clock
from berylshift.ids import Revision, ServiceName, SoftwareVersion, StoreEra
from berylshift.messages.load_digest import FeedStatus
from berylshift.process.directory.replica_set import ReplicaSet
from berylshift.process.directory.route_holder import RouteHolder
from berylshift.process.directory.store_watch import Feed, StoreWatch
from berylshift.store.checkpoint_rows import (
    Checkpoint,
    CheckpointRows,
    CheckpointsSnapshot,
)
from berylshift.store.directory import Directory, HistoryLostError
from berylshift.store.eras import FIRST_ERA
from berylshift.store.interfaces import MalformedEntryError, PlatformError

logger = logging.getLogger(__name__)

CHECKPOINT_SECONDS = 4.0
SLOTS = 4
# Older checkpoints are those of an earlier run of the system.
MAX_AGE_SECONDS = 60.0
# The store may read its clock and its revision at slightly different times.
CLOCK_MARGIN_SECONDS = 0.1
RETRY_SECONDS = 2.0


class RoutePast(Protocol):
    """What is known of the routes of the past; times in seconds."""

    known_since: float | None

    def services_gained(self, seconds: float, now: float) -> list[ServiceName]:
        """Return the services to which paths of other ones were led recently."""

    def extend_past(
        self, moved: Iterable[ServiceName], since: float, now: float
    ) -> None:
        """Record that from a time on no streams were led to other services."""


class StorePastLoop:
    """Writes checkpoints, and extends what is known of the past by one."""

    def __init__(
        self,
        directory: Directory,
        rows: CheckpointRows,
        watch: StoreWatch,
        replicas: ReplicaSet,
        routes: RouteHolder,
        route_past: RoutePast,
        clock: Clock,
        keep_seconds: float,
    ):
        """Tell and learn what was in use in the last ``keep_seconds``."""
        self._directory = directory
        self._rows = rows
        self._watch = watch
        self._replicas = replicas
        self._routes = routes
        self._route_past = route_past
        self._clock = clock
        self._keep_seconds = keep_seconds
        # The era and time of the last checkpoint.
        self._written = FIRST_ERA, 0
        self._wanted = trio.Event()
        self._ended = trio.Event()
        # Whether a checkpoint was used, none was there, or the past is long enough.
        self._has_learned = False
        # The start of the known past at the last attempt, and when that was.
        self._tried_from: Revision | None = None
        self._tried_at = float("-inf")

    def seconds_needed(self, seconds: float) -> float:
        """Return how much of the past must be known for what lasted some seconds.

        A host that is out of step uses what was in use before. The other hosts know of
        that for as long as versions are kept, and a host that has started learns it
        from them; one that could not must wait for as long.
        """
        if self._knows_of_others():
            return seconds
        return max(seconds, self._keep_seconds)

    def _knows_of_others(self) -> bool:
        """Return whether this host has learned what others knew, or need not."""
        since = self._known_since()
        if since is not None:
            age = self._clock.monotonic() - since
            self._has_learned = self._has_learned or age >= self._keep_seconds
        return self._has_learned

    async def learn(self) -> None:
        """Return once the past is known as far back as the store can tell."""
        known_from = self._replicas.versions.known_from
        is_new = known_from != self._tried_from
        if is_new or self._clock.monotonic() - self._tried_at >= RETRY_SECONDS:
            self._wanted.set()
        if self._wanted.is_set():
            await self._ended.wait()

    async def write_checkpoints(self) -> None:
        """Write down regularly what this host knows, until cancelled.

        Only hosts that read the feeds do, which are few. One that has just started
        learns first what the others knew: its own checkpoint would hide that.
        """
        while True:
            await trio.sleep(CHECKPOINT_SECONDS)
            knows_of_others = self._knows_of_others()
            if not self._watch.reads_feeds:
                continue
            if not knows_of_others:
                await self.learn()
            checkpoint = self._checkpoint()
            if checkpoint is None:
                continue
            slot = checkpoint.store_ms // int(CHECKPOINT_SECONDS * 1000) % SLOTS
            try:
                await self._rows.write(slot, checkpoint)
            except PlatformError as exc:
                logger.info("checkpoint not written", extra={"reason": str(exc)})

    def _checkpoint(self) -> Checkpoint | None:
        """Return what this host knows; ``None``: nothing new."""
        status = self._watch.last_read(Feed.REPLICAS)
        routes = self._watch.last_read(Feed.ROUTES)
        table, now = self._routes.table, self._clock.monotonic()
        since = self._known_since()
        if status is None or routes is None or table is None or since is None:
            return None
        if not self._knows_of_others():
            return None
        is_old = (status.era, status.store_ms) <= self._written
        if is_old or routes.era != status.era:
            return None
        self._written = status.era, status.store_ms
        versions = self._replicas.versions
        since = max(since, now - self._keep_seconds)
        return Checkpoint(
            status.revision,
            routes.revision,
            table.version,
            status.store_ms,
            self._store_ms_at(since, status, now),
            {
                service: sorted(versions.versions(service, self._keep_seconds, now))
                for service in versions.services()
            },
            self._route_past.services_gained(self._keep_seconds, now),
            status.era,
        )

    def _known_since(self) -> float | None:
        """Return since when both versions and routes are known."""
        found = (self._replicas.versions.known_since, self._route_past.known_since)
        return None if None in found else max(found)

    def _store_ms_at(self, since: float, status: FeedStatus, now: float) -> int:
        """Return a time of the monotonic clock as one of the store's clock."""
        read_ago = self._watch.clock.age(status.store_ms)
        seconds = now - since - read_ago - CLOCK_MARGIN_SECONDS
        return max(0, status.store_ms - int(max(0.0, seconds) * 1000))

    async def read_history(self) -> None:
        """Extend the known past whenever ``learn`` asks for it, until cancelled."""
        while True:
            await self._wanted.wait()
            try:
                await self._extend()
            except (PlatformError, MalformedEntryError) as exc:
                logger.info("past not read", extra={"reason": str(exc)})
            self._tried_at = self._clock.monotonic()
            self._tried_from = self._replicas.versions.known_from
            self._wanted = trio.Event()
            self._ended.set()
            self._ended = trio.Event()

    async def _extend(self) -> None:
        found = await self._rows.read()
        self._has_learned = self._has_learned or not found.checkpoints
        for checkpoint in _usable(found):
            try:
                await self._extend_by(checkpoint)
                self._has_learned = True
                return
            except HistoryLostError as exc:
                logger.info("checkpoint not used", extra={"reason": str(exc)})

    async def _extend_by(self, checkpoint: Checkpoint) -> None:
        """Extend the past by a checkpoint and the changes since."""
        revision = Revision(checkpoint.revision)
        routes = await self._directory.await_routes(
            Revision(checkpoint.routes_revision), 0.0
        )
        changes = await self._directory.await_replicas(revision, 0.0)
        self._check_era(checkpoint, routes.era, changes.era)
        versions, now = self._replicas.versions, self._clock.monotonic()
        known_from = versions.known_from
        if known_from is None or changes.revision < known_from:
            raise HistoryLostError("the list was read anew")
        table = self._routes.table
        is_same = table is not None and table.version == checkpoint.routes_version
        if not is_same or routes.table is not None:
            raise HistoryLostError("the routes have changed since")
        age = (changes.store_ms - checkpoint.since_ms) / 1000 - CLOCK_MARGIN_SECONDS
        former = {
            ServiceName(name): map(SoftwareVersion, found)
            for name, found in checkpoint.versions.items()
        }
        further = versions.extend_past(former, revision, now - age, now)
        further |= versions.observe_passed((*changes.put, *changes.passed), now)
        self._route_past.extend_past(map(ServiceName, checkpoint.moved), now - age, now)
        for service in further:
            self._replicas.on_further_version(service)
        logger.info("past read", extra={"revision": revision, "seconds": age})

    def _check_era(self, checkpoint: Checkpoint, *eras: StoreEra) -> None:
        if {checkpoint.era, *eras} != {self._watch.eras.current}:
            raise HistoryLostError("the store was restored")


def _usable(found: CheckpointsSnapshot) -> list[Checkpoint]:
    """Return the checkpoints that may tell of the past, the newest first."""
    usable = [
        each
        for each in found.checkpoints
        if each.era == found.era
        and each.since_ms <= each.store_ms <= found.store_ms
        and found.store_ms - each.store_ms <= MAX_AGE_SECONDS * 1000
        and max(each.revision, each.routes_revision) <= found.revision
    ]
    return sorted(usable, key=lambda each: each.store_ms, reverse=True)
