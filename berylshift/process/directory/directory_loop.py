"""Reads the platform's feeds of routes and replicas, each in a task of its own."""

import logging
import random
from collections.abc import Awaitable, Callable

import msgspec
import trio

from berylshift.clock import Clock
from berylshift.ids import InstanceId, Revision, StoreEra
from berylshift.messages.replica_updates import ReplicaLink, RevisionRange
from berylshift.messages.replicas import ReplicaChanges, RouteSnapshot
from berylshift.process.directory.replica_set import ReplicaSet, SetChange
from berylshift.process.directory.replica_updates import ReplicaUpdates
from berylshift.process.directory.route_holder import RouteHolder
from berylshift.process.directory.store_watch import Feed, StoreWatch
from berylshift.store.directory import Directory, HistoryLostError
from berylshift.store.interfaces import MalformedEntryError, PlatformError

logger = logging.getLogger(__name__)

INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 0.6
# While the store is down, the back-off of hosts that do not read feeds for others grows
# by this much per host, so that from fifty hosts on (0.6 s) their total rate of calls
# stays the same. The wait ends when another host reports a change.
BACKOFF_SECONDS_PER_HOST = 0.012
# Hosts that learn of a change at the same time spread their reads over this much time
# per host.
JITTER_SECONDS_PER_HOST = 0.0005
# How often expired entries and pending orders are checked: a tenth of the time that
# either of them lasts.
EXPIRE_INTERVAL_SECONDS = 0.2


class OutdatedAnswerError(Exception):
    """An answer is older than the changes received while it was on its way."""


class DirectoryLoop:
    """Keeps routes and replicas up to date; each wait is bounded.

    A feed whose connection hangs looks like one without changes. The requested wait is
    short enough for its timeout to reveal the hang before a change must be in force.
    A feed that other hosts read is read here only when ``watch`` says so.
    """

    def __init__(
        self,
        directory: Directory,
        routes: RouteHolder,
        replicas: ReplicaSet,
        clock: Clock,
        rng: random.Random,
        watch: StoreWatch,
        poll_delay: Callable[[], float],
        host_count: Callable[[], int] = lambda: 1,
        on_removed: Callable[[InstanceId], None] = lambda instance: None,
        updates: ReplicaUpdates | None = None,
    ):
        """Read as ``watch`` decides; ``host_count()`` hosts share the store.

        ``on_removed`` is called with each replica that is no longer listed. ``updates``
        has the changes that other hosts send.

        After changes of replicas the next call comes ``poll_delay()`` seconds later,
        so that a series of changes costs each host a few calls, not one per change.
        """
        self._poll_delay = poll_delay
        self._on_removed = on_removed
        self._directory = directory
        self._routes = routes
        self._replicas = replicas
        self._clock = clock
        self._rng = rng
        self._watch = watch
        self._host_count = host_count
        self._updates = ReplicaUpdates() if updates is None else updates
        self._updates.subscribe(self._apply_links)
        self._has_gap = False
        self._change_known = trio.Event()

    async def run(self) -> None:
        """Run the three loops until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.follow_routes)
            nursery.start_soon(self.follow_replicas)
            nursery.start_soon(self.expire_entries)

    async def follow_routes(self) -> None:
        """Read the feed of routes until cancelled."""
        await self._poll_feed(Feed.ROUTES, self._read_routes)

    async def follow_replicas(self) -> None:
        """Read the feed of replicas until cancelled."""
        await self._poll_feed(Feed.REPLICAS, self._read_replicas)

    def notify_change(self) -> None:
        """Check again whether a feed must be read: another host reported a change."""
        self._change_known.set()
        self._change_known = trio.Event()

    async def _wait_until_due(self, feed: Feed) -> None:
        """Wait until this host must read a feed."""
        while (seconds := self._watch.seconds_until_read(feed)) > 0:
            with trio.move_on_after(seconds):
                await self._change_known.wait()
                await trio.sleep(
                    self._rng.uniform(0, JITTER_SECONDS_PER_HOST * self._host_count())
                )

    async def _poll_feed(self, feed: Feed, read: Callable[[], Awaitable[None]]) -> None:
        failures = 0
        feed_name = feed.value
        while True:
            await self._wait_until_due(feed)
            try:
                await read()
            except HistoryLostError as exc:
                self._watch.forget(feed)
                logger.info(
                    "feed position lost; reading the whole feed",
                    extra={"feed": feed_name, "reason": str(exc)},
                )
                await trio.sleep(INITIAL_BACKOFF_SECONDS * self._rng.random())
                continue
            except MalformedEntryError as exc:
                self._watch.forget(feed)
                logger.error(
                    "malformed directory entry; reading the whole feed",
                    extra={"reason": str(exc)},
                )
                await trio.sleep(MAX_BACKOFF_SECONDS)
                continue
            except OutdatedAnswerError as exc:
                logger.info("outdated answer", extra={"reason": str(exc)})
                await trio.sleep(INITIAL_BACKOFF_SECONDS)
                continue
            except PlatformError as exc:
                if not failures:
                    logger.warning(
                        "store lost", extra={"feed": feed_name, "reason": str(exc)}
                    )
                failures += 1
                self._replicas.mark_store_lost(self._clock.monotonic())
                with trio.move_on_after(self._backoff(failures)):
                    await self._change_known.wait()
                    await trio.sleep(INITIAL_BACKOFF_SECONDS * self._rng.random())
                continue
            if failures:
                logger.info(
                    "store regained", extra={"feed": feed_name, "tries": failures}
                )
                # Changes that the feed skipped during the outage show in a full read.
                self._watch.forget(feed)
            failures = 0

    def _backoff(self, failures: int) -> float:
        """Return the seconds until the next call to the store."""
        max_seconds = MAX_BACKOFF_SECONDS
        if not self._watch.reads_feeds:
            max_seconds = max(
                max_seconds, BACKOFF_SECONDS_PER_HOST * self._host_count()
            )
        longest = min(max_seconds, INITIAL_BACKOFF_SECONDS * 2**failures)
        return longest * self._rng.uniform(0.5, 1.0)

    async def _read_routes(self) -> None:
        after = self._watch.position(Feed.ROUTES)
        position_era = None if after is None else self._watch.eras.current
        if after is None:
            found = await self._read_whole_routes()
        else:
            wait = self._watch.wait_seconds(Feed.ROUTES)
            found = await self._directory.await_routes(after, wait)
        self._check_era(found.era, position_era)
        self._record_recovery(found.store_ms)
        if after is None and not found.follows:
            self._routes.on_gap()
        self._take_routes(found)
        has_changes = after is None or found.table is not None
        self._watch.record_read(
            Feed.ROUTES, found.revision, found.store_ms, has_changes
        )
        if found.table is None and self._routes.table is None:
            await trio.sleep(INITIAL_BACKOFF_SECONDS)

    async def _read_whole_routes(self) -> RouteSnapshot:
        """Return the routes, and the versions since the last position."""
        former = self._watch.former_position(Feed.ROUTES)
        whole = await self._directory.read_routes()
        if former is None:
            return whole
        try:
            since = await self._directory.await_routes(former, 0.0)
        except (PlatformError, MalformedEntryError):
            return whole
        if since.era != whole.era or since.revision < whole.revision:
            return whole
        passed = since.passed if since.table is None else (*since.passed, since.table)
        return msgspec.structs.replace(whole, passed=passed, follows=True)

    async def _read_replicas(self) -> None:
        after = self._watch.position(Feed.REPLICAS)
        position_era = None if after is None else self._watch.eras.current
        if after is None:
            changes = await self._read_whole_list()
        else:
            wait = self._watch.wait_seconds(Feed.REPLICAS)
            changes = await self._directory.await_replicas(after, wait)
        self._check_era(changes.era, position_era)
        if self._watch.is_outdated(Feed.REPLICAS, changes.revision):
            raise OutdatedAnswerError(f"revision {changes.revision}")
        self._record_recovery(changes.store_ms)
        known = self._watch.known_range(Feed.REPLICAS)
        now = self._clock.monotonic()
        change = self._replicas.apply(changes, now)
        has_changes = bool(after is None or changes.put or changes.removed)
        self._watch.record_read(
            Feed.REPLICAS, changes.revision, changes.store_ms, has_changes
        )
        self._updates.record_read(changes, known, self._watch.reads_feeds, now)
        self._announce(change, changes.revision)
        if changes.put or changes.removed:
            await trio.sleep(self._poll_delay())

    async def _read_whole_list(self) -> ReplicaChanges:
        """Return all replicas, and those that came and left since the last position."""
        former = self._watch.former_position(Feed.REPLICAS)
        whole = await self._directory.read_replicas()
        if former is None:
            return whole
        try:
            since = await self._directory.await_replicas(former, 0.0)
        except PlatformError:
            return whole
        if since.era != whole.era or since.revision < whole.revision:
            return whole
        passed = (*since.put, *since.passed)
        return msgspec.structs.replace(whole, passed=passed, follows=True)

    def _announce(self, change: SetChange, revision: Revision) -> None:
        """Log what changed and drop what is known of replicas that are gone."""
        for instance in change.removed:
            self._on_removed(instance)
        if not change.empty:
            logger.info(
                "replicas changed",
                extra={
                    "revision": revision,
                    "added": change.added,
                    "drained": change.drained,
                    "removed": change.removed,
                    "lapsed": change.expired,
                    "versions": self._replicas.count_versions(),
                },
            )

    def _apply_links(self) -> None:
        """Apply the changes that other hosts sent, if they continue this host's list.

        A host that reads the feed for others relies on its own reads alone. Entries
        that wait for a heartbeat need reads, since heartbeats aren't sent.
        """
        if self._watch.reads_feeds or self._replicas.has_withheld_entries:
            return
        known = self._watch.known_range(Feed.REPLICAS)
        while known is not None and (link := self._updates.next_link(known)):
            self._apply_link(link, known)
            known = self._watch.known_range(Feed.REPLICAS)
        has_gap = self._updates.has_gap(known)
        if has_gap and not self._has_gap:
            self._updates.gaps += 1
            logger.info(
                "received replica changes have a gap", extra={"position": known.until}
            )
        self._has_gap = has_gap

    def _apply_link(self, link: ReplicaLink, known: RevisionRange) -> None:
        now = self._clock.monotonic()
        self._record_reported_recovery()
        changes = ReplicaChanges(link.put, link.removed, link.to, era=known.era)
        change = self._replicas.apply_received(changes, now)
        self._watch.record_received(Feed.REPLICAS, link.to)
        self._updates.record_applied(link, known)
        if link.put or link.removed:
            logger.info(
                "received replica changes applied",
                extra={
                    "entries": len(link.put) + len(link.removed),
                    "origin": f"{link.origin:08x}",
                    "after": known.until,
                    "revision": link.to,
                },
            )
        self._announce(change, link.to)

    def _check_era(self, era: StoreEra, position_era: StoreEra | None) -> None:
        """Raise ``HistoryLostError`` if an answer can't be used in the current era."""
        if not self._watch.accepts_answer(era, position_era):
            raise HistoryLostError(f"answer of era {era}")

    def _take_routes(self, found: RouteSnapshot) -> None:
        """Apply newer routes; log a warning if the store holds older ones."""
        current = self._routes.table
        for table in found.passed:
            self._routes.apply_if_newer(table, self._clock.monotonic(), found.era)
        self._routes.apply_if_newer(found.table, self._clock.monotonic(), found.era)
        older = current is not None and found.table is not None
        if older and found.table.version < current.version:
            logger.warning(
                "store holds older routes than those in force",
                extra={"version": found.table.version, "in_force": current.version},
            )

    def _record_recovery(self, store_ms: int) -> None:
        """Record the end of a store outage, seen by this host or reported by another.

        Entries that expired during an outage are missing when it ends. A host that did
        not call the store meanwhile would take their replicas for removed. The first
        answer on either feed ends the outage: the list of replicas may be read much
        later, and a replica that is removed then has not merely expired.
        """
        if self._replicas.is_store_lost:
            self._watch.record_recovery(store_ms)
            self._replicas.mark_store_answered(self._clock.monotonic())
            return
        self._record_reported_recovery()

    def _record_reported_recovery(self) -> None:
        """Record the end of a store outage that another host reported."""
        age = self._watch.seconds_since_recovery()
        if age is not None:
            self._replicas.record_store_recovery(self._clock.monotonic() - age)

    def _confirm(self, now: float) -> None:
        """Update the times of confirmation, which are logged, from other hosts."""
        routes = self._watch.confirmed_age(Feed.ROUTES)
        if routes is not None:
            self._routes.confirm(now - routes)
        replicas = self._watch.confirmed_age(Feed.REPLICAS)
        if replicas is not None:
            self._replicas.confirm(now - replicas)
            if replicas <= self._watch.max_age_seconds:
                self._replicas.release_suspects(now)

    async def expire_entries(self) -> None:
        """Drop entries that have expired, until cancelled."""
        while True:
            await trio.sleep(EXPIRE_INTERVAL_SECONDS)
            now = self._clock.monotonic()
            self._confirm(now)
            expired = self._replicas.expire(now)
            for instance in expired:
                self._on_removed(instance)
            if expired:
                logger.info("replicas gone", extra={"removed": expired})
