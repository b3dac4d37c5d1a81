"""Checks with the store that neither versions nor routes have changed lately."""

import logging

import trio

from berylshift.clock import Clock
from berylshift.ids import ServiceName, SoftwareVersion
from berylshift.messages.replicas import ReplicaChanges
from berylshift.process.directory.store_watch import Feed, StoreWatch
from berylshift.store.directory import Directory
from berylshift.store.interfaces import MalformedEntryError, PlatformError

logger = logging.getLogger(__name__)

# Checks that begin within this time share a read.
SHARE_SECONDS = 0.03


class _Read:
    """A read that has not begun yet; ``changes`` are ``None`` if it told nothing."""

    def __init__(self) -> None:
        self.ended = trio.Event()
        self.was_cancelled = False
        self.changes: ReplicaChanges | None = None


class VersionCheck:
    """Reads what this host's list of replicas lacks; the list itself is left alone.

    Routes may lead to another service since; any newer ones make a check fail.
    """

    def __init__(self, directory: Directory, watch: StoreWatch, clock: Clock):
        """Read ``directory`` from the position of ``watch``."""
        self._directory = directory
        self._watch = watch
        self._clock = clock
        self._next: _Read | None = None
        self._begun_at = float("-inf")

    async def is_sole(self, service: ServiceName, version: SoftwareVersion) -> bool:
        """Return whether all changes that are not in this host's list are of a version.

        ``False`` if the store can't tell.
        """
        changes = await self._changes()
        return changes is not None and all(
            rep.version == version
            for rep in (*changes.put, *changes.passed)
            if rep.service == service
        )

    async def _changes(self) -> ReplicaChanges | None:
        """Return the changes that a read finds which begins after this call."""
        while (read := self._next) is not None:
            await read.ended.wait()
            if not read.was_cancelled:
                return read.changes
        return await self._make(_Read())

    async def _make(self, read: _Read) -> ReplicaChanges | None:
        """Make a read after a moment in which other callers join it."""
        self._next = read
        read.was_cancelled = True
        try:
            now = self._clock.monotonic()
            await trio.sleep(max(0.0, self._begun_at + SHARE_SECONDS - now))
            self._begun_at, self._next = self._clock.monotonic(), None
            read.changes = await self._read()
            read.was_cancelled = False
        finally:
            if self._next is read:
                self._next = None
            read.ended.set()
        return read.changes

    async def _read(self) -> ReplicaChanges | None:
        """Return the changes after the list's position; ``None`` if not known."""
        era = self._watch.eras.current
        routes = self._watch.position(Feed.ROUTES)
        replicas = self._watch.position(Feed.REPLICAS)
        if routes is None or replicas is None:
            return None
        try:
            found = await self._directory.await_routes(routes, 0.0)
            changes = await self._directory.await_replicas(replicas, 0.0)
        except (PlatformError, MalformedEntryError) as exc:
            logger.info("versions not confirmed", extra={"reason": str(exc)})
            return None
        is_current = found.table is None and found.era == changes.era == era
        return changes if is_current else None
