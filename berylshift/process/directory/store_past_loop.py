"""Learns which versions were in use before this process, from the store's history.

The store keeps the changes of some seconds, but tells of none when it was made. So some
hosts write down which revision the store had at which time. A host that has started
reads the changes since such a revision, if a caller needs to know the past.
"""

import logging
from collections import deque
from collections.abc import Callable, Iterator
from typing import Protocol

import trio

from berylshift.clock import Clock
from berylshift.ids import Revision, StoreEra, TableVersion
from berylshift.messages.replicas import ReplicaChanges
from berylshift.process.directory.replica_set import ReplicaSet
from berylshift.process.directory.store_watch import Feed, StoreWatch
from berylshift.store.checkpoint_rows import (
    Checkpoint,
    CheckpointRows,
    CheckpointsSnapshot,
)
from berylshift.store.directory import Directory, HistoryLostError
from berylshift.store.interfaces import MalformedEntryError, PlatformError

logger = logging.getLogger(__name__)

CHECKPOINT_SECONDS = 4.0
SLOTS = 8
# A checkpoint is written this many intervals after its time: by then a host that was
# out of step would have been missed.
DELAY_INTERVALS = 2
# Older checkpoints are those of an earlier run of the system.
MAX_AGE_SECONDS = 60.0
# The store may read its clock and its revision at slightly different times.
CLOCK_MARGIN_SECONDS = 0.1
# The history since a checkpoint is not read if it may hold more entries.
MAX_ENTRIES = 5000
RETRY_SECONDS = 1.0


class RoutePast(Protocol):
    """What is known of the routes of the past."""

    @property
    def version(self) -> TableVersion | None:
        """Return the version in force; ``None``: none is."""

    def may_have_open_streams(self, now: float) -> bool:
        """Return whether streams of former routes may still go on."""

    def extend_past(self, since: float) -> None:
        """Record that no tables but those known were in force from a time on."""


class StorePastLoop:
    """Writes checkpoints, and extends what is known of the past back to one."""

    def __init__(
        self,
        directory: Directory,
        rows: CheckpointRows,
        watch: StoreWatch,
        replicas: ReplicaSet,
        routes: RoutePast,
        clock: Clock,
        entries_per_second: Callable[[], float],
        hears_all: Callable[[], bool],
    ):
        """Extend the past of ``replicas`` and ``routes``.

        ``entries_per_second`` returns how often replicas write their entries,
        ``hears_all`` whether no listed host is silent.
        """
        self._hears_all = hears_all
        self._directory = directory
        self._rows = rows
        self._watch = watch
        self._replicas = replicas
        self._routes = routes
        self._clock = clock
        self._entries_per_second = entries_per_second
        # Checkpoints that are not written yet.
        self._held: deque[Checkpoint] = deque()
        self._wanted = trio.Event()
        self._ended = trio.Event()
        # The start of the known past at the last attempt, and when that was.
        self._tried_from: Revision | None = None
        self._tried_at = float("-inf")

    async def learn(self) -> None:
        """Return once the past is known as far back as the store can tell."""
        known_from = self._replicas.versions.known_from
        is_new = known_from != self._tried_from
        if is_new or self._clock.monotonic() - self._tried_at >= RETRY_SECONDS:
            self._wanted.set()
        if self._wanted.is_set():
            await self._ended.wait()

    async def write_checkpoints(self) -> None:
        """Write down the store's revision regularly, until cancelled.

        Only hosts that read the feeds do, which are few.
        """
        while True:
            await trio.sleep(CHECKPOINT_SECONDS)
            checkpoint = self._checkpoint()
            if checkpoint is None:
                self._held.clear()
                continue
            if self._held and checkpoint.era != self._held[-1].era:
                self._held.clear()
            if self._held and checkpoint.store_ms <= self._held[-1].store_ms:
                continue
            self._held.append(checkpoint)
            if len(self._held) <= DELAY_INTERVALS:
                continue
            oldest = self._held.popleft()
            slot = oldest.store_ms // int(CHECKPOINT_SECONDS * 1000) % SLOTS
            try:
                await self._rows.write(slot, oldest)
            except PlatformError as exc:
                logger.info("checkpoint not written", extra={"reason": str(exc)})

    def _checkpoint(self) -> Checkpoint | None:
        """Return what the last read showed; ``None`` if it proves no past.

        A host that is out of step goes on using what the store listed before, and so
        do streams that began by a former route.
        """
        status, routes = self._watch.last_read(Feed.REPLICAS), self._routes.version
        if not self._watch.reads_feeds or status is None or routes is None:
            return None
        is_settled = not self._routes.may_have_open_streams(self._clock.monotonic())
        if not is_settled or not self._hears_all():
            return None
        return Checkpoint(status.revision, status.store_ms, status.era, routes)

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
        usable = list(self._usable(await self._rows.read()))
        for extend in (self._extend_replicas, self._extend_routes):
            for checkpoint in usable:
                try:
                    await extend(checkpoint)
                    break
                except HistoryLostError as exc:
                    logger.info("checkpoint not used", extra={"reason": str(exc)})

    def _usable(self, found: CheckpointsSnapshot) -> Iterator[Checkpoint]:
        """Yield the checkpoints whose history may be read, the oldest first."""
        for checkpoint in sorted(found.checkpoints, key=lambda each: each.store_ms):
            age = (found.store_ms - checkpoint.store_ms) / 1000
            is_past = 0 <= age <= MAX_AGE_SECONDS
            is_past = is_past and checkpoint.revision <= found.revision
            is_short = age * self._entries_per_second() <= MAX_ENTRIES
            if checkpoint.era == found.era and is_past and is_short:
                yield checkpoint

    async def _extend_replicas(self, checkpoint: Checkpoint) -> None:
        revision = Revision(checkpoint.revision)
        changes = await self._directory.await_replicas(revision, 0.0)
        versions, now = self._replicas.versions, self._clock.monotonic()
        known_from = versions.known_from
        if known_from is None or changes.revision < known_from:
            raise HistoryLostError("the list was read anew")
        self._check_era(checkpoint, changes.era)
        _check_versions(changes)
        for service in versions.observe_passed((*changes.put, *changes.passed), now):
            self._replicas.on_further_version(service)
        age = self._known_seconds(checkpoint, changes.store_ms)
        versions.extend_past(revision, now - age)
        logger.info("past of versions read", extra={"revision": revision, "age": age})

    async def _extend_routes(self, checkpoint: Checkpoint) -> None:
        found = await self._directory.await_routes(Revision(checkpoint.revision), 0.0)
        if found.table is not None:
            raise HistoryLostError("the routes have changed since")
        if checkpoint.routes != self._routes.version:
            # Hosts keep routes that a restored store has lost.
            raise HistoryLostError("the store's routes were not those in force")
        self._check_era(checkpoint, found.era)
        now = self._clock.monotonic()
        self._routes.extend_past(now - self._known_seconds(checkpoint, found.store_ms))

    def _known_seconds(self, checkpoint: Checkpoint, store_ms: int) -> float:
        """Return for how long what was listed since a checkpoint has been in use.

        Hosts may have used for a while what was listed before.
        """
        age = (store_ms - checkpoint.store_ms) / 1000 - CLOCK_MARGIN_SECONDS
        return age - self._watch.in_force_seconds

    def _check_era(self, checkpoint: Checkpoint, era: StoreEra) -> None:
        if not checkpoint.era == era == self._watch.eras.current:
            raise HistoryLostError("the store was restored")


def _check_versions(changes: ReplicaChanges) -> None:
    """Raise ``HistoryLostError`` unless the versions of all entries are known.

    An entry that was removed and not written before may have had any. So may the one
    that an entry replaced, where replicas can start again under their name.
    """
    written = (*changes.put, *changes.passed)
    if set(changes.removed) - {rep.name for rep in changes.passed}:
        raise HistoryLostError("an entry was removed that was not written since")
    if any(rep.started_ms is not None for rep in written):
        raise HistoryLostError("replicas may start again under their names")
