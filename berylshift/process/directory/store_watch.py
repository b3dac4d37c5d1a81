"""Decides when this host must read the store, and when other hosts' reports suffice.

Calls to the store are paid for and its capacity is shared by all hosts. If each host
read the feeds of routes and replicas itself, calls would grow with the number of hosts
although the changes stay the same. So a few hosts read the feeds; the others learn from
their digests, which are sent anyway, each feed's last change and when that was
confirmed. They read only changes reported to them, or when reports have become too old.

A status carries the time of the store's own clock at which it was true. Each host knows
that clock from its own reads and so knows the age of a status that was delayed, or sent
by a host that had been suspended, whatever the hosts' clocks show.
"""

from collections import deque
from collections.abc import Callable
from enum import Enum

from berylshift.ids import Revision, StoreEra
from berylshift.messages.load_digest import FeedStatus, StoreStatus
from berylshift.messages.replica_updates import RevisionRange
from berylshift.process.directory.store_era_tracker import EraSource, StoreEraTracker
from berylshift.store.eras import FIRST_ERA

# A long poll of a feed without changes lasts this fraction of the time within which a
# change must be in force.
FEED_WAIT_FRACTION = 0.55
# A status of another host that is older than this fraction of that time does not
# replace a read. The difference to the fraction above allows a status to pass through
# two hosts; the remainder is left for this host's own read.
MAX_STATUS_AGE_FRACTION = 0.85
# However fresh the status, each host reads by itself this often, in seconds, because
# its estimate of the store's clock drifts, by less than 0.1 s in this time.
MAX_UNREAD_SECONDS = 300.0
# Reads used to estimate the store's clock. The largest of their offsets is that of the
# answer with the lowest latency.
MAX_OFFSETS = 8


class Feed(Enum):
    """The store's feeds for entry hosts."""

    ROUTES = "routes"
    REPLICAS = "replicas"


class StoreClock:
    """Estimates the store's monotonic clock from its answers."""

    def __init__(self, boot_clock: Callable[[], float]):
        """Extrapolate by ``boot_clock``, which runs while the host is suspended.

        On a clock that stops with the host, a status from before a suspend would look
        fresh after it.
        """
        self._boot_clock = boot_clock
        self._offsets: deque[float] = deque(maxlen=MAX_OFFSETS)

    def forget(self) -> None:
        """Discard the estimate: a restored store's clock may have gone back."""
        self._offsets.clear()

    def record(self, store_ms: int) -> None:
        """Record the store's clock in an answer that has just arrived."""
        self._offsets.append(store_ms / 1000 - self._boot_clock())

    def now_ms(self) -> int | None:
        """Return the store's clock in milliseconds, ``None`` if unknown."""
        if not self._offsets:
            return None
        return int((self._boot_clock() + max(self._offsets)) * 1000)

    def age(self, store_ms: int) -> float:
        """Return the seconds since a store time; infinite if the clock is unknown."""
        if not self._offsets:
            return float("inf")
        return self._boot_clock() + max(self._offsets) - store_ms / 1000


class _FeedState:
    """How far this host has read one feed, and the newest status from another host."""

    def __init__(self) -> None:
        self.position: Revision | None = None
        self.own: FeedStatus | None = None
        self.received: FeedStatus | None = None
        self.read_at = float("-inf")
        # The list was the same from this revision to the position.
        self.unchanged_since: Revision | None = None
        # The position that changes sent by other hosts led to.
        self.received_position: Revision | None = None
        # When what this host holds was last current, on the boot clock.
        self.current_at = float("-inf")
        # The position before the whole feed is to be read.
        self.former_position: Revision | None = None

    def newest(self) -> FeedStatus | None:
        """Return the newer of this host's own status and the received one.

        Of two from the same millisecond, the one with the later change wins.
        """
        statuses = [
            status for status in (self.own, self.received) if status is not None
        ]
        return max(
            statuses,
            key=lambda status: (status.store_ms, status.last_change),
            default=None,
        )

    def forget(self) -> None:
        """Discard everything that belongs to a former era."""
        self.own = self.received = None
        self.forget_position()
        self.former_position = None

    def forget_position(self) -> None:
        """Have the whole feed read next."""
        if self.position is not None:
            self.former_position = self.position
        self.position = self.unchanged_since = self.received_position = None

    def has_unread_changes(self) -> bool:
        """Return whether a change is known that this host has not read."""
        status = self.newest()
        if status is None or self.position is None:
            return False
        return status.last_change > self.position


class StoreWatch:
    """Decides when this host reads each feed; times in seconds."""

    def __init__(
        self,
        in_force_seconds: float,
        boot_clock: Callable[[], float],
        eras: StoreEraTracker | None = None,
    ):
        """Keep changes in force within ``in_force`` seconds."""
        self._boot_clock = boot_clock
        self.eras = eras or StoreEraTracker(boot_clock)
        self.eras.subscribe(self._discard_former_era)
        self._feeds = {feed: _FeedState() for feed in Feed}
        self._recovered_ms = 0
        self.clock = StoreClock(boot_clock)
        self.in_force_seconds = in_force_seconds
        self.feed_wait_seconds = FEED_WAIT_FRACTION * in_force_seconds
        self.max_age_seconds = MAX_STATUS_AGE_FRACTION * in_force_seconds
        # Whether this host reads the feeds on behalf of other hosts.
        self.reads_feeds = False

    def position(self, feed: Feed) -> Revision | None:
        """Return the revision up to which a feed was read; ``None``: read all of it."""
        return self._feeds[feed].position

    def former_position(self, feed: Feed) -> Revision | None:
        """Return the revision up to which a feed was read before it was forgotten.

        ``None``: it was not read in this era.
        """
        return self._feeds[feed].former_position

    def last_read(self, feed: Feed) -> FeedStatus | None:
        """Return what this host's last read of a feed showed; ``None``: none."""
        return self._feeds[feed].own

    def replicas_position(self) -> tuple[StoreEra, Revision] | None:
        """Return the era and revision of the list of replicas; ``None``: none."""
        era, position = self.eras.current, self.position(Feed.REPLICAS)
        return None if era is None or position is None else (era, position)

    def forget(self, feed: Feed) -> None:
        """Have the whole feed read next."""
        self._feeds[feed].forget_position()

    def _discard_former_era(self) -> None:
        """Have both feeds read in full: positions of a former era are invalid."""
        for state in self._feeds.values():
            state.forget()
        self.clock.forget()
        self._recovered_ms = 0

    def accepts_answer(self, era: StoreEra, position_era: StoreEra | None) -> bool:
        """Return whether an answer from an era can be used.

        ``position_era`` is the era of the position that it continues from; ``None``: it
        is a full read. An answer of a former era was in flight while the store was
        restored. One that continues from a former era's position misses changes at
        lower revisions.
        """
        if self.eras.is_old(era):
            return False
        self.eras.observe(era, EraSource.OWN_READ)
        return position_era is None or position_era == era

    def record_read(
        self, feed: Feed, revision: Revision, store_ms: int, has_changes: bool
    ) -> None:
        """Record an answer: the store's revision and clock, and whether it had changes.

        A full read counts as a change, since the changes before it were not seen.
        """
        state = self._feeds[feed]
        state.position = revision
        if has_changes or state.unchanged_since is None:
            state.unchanged_since = revision
        state.read_at = state.current_at = self._boot_clock()
        if store_ms:
            self.clock.record(store_ms)
            state.current_at -= self.clock.age(store_ms)
            era = self.eras.current
            state.own = FeedStatus(
                state.unchanged_since,
                revision,
                store_ms,
                FIRST_ERA if era is None else era,
            )

    def known_range(self, feed: Feed) -> RevisionRange | None:
        """Return the revisions at which the feed had what this host holds of it."""
        state, era = self._feeds[feed], self.eras.current
        if era is None or state.position is None or state.unchanged_since is None:
            return None
        if state.unchanged_since > state.position:
            return None
        return RevisionRange(era, state.unchanged_since, state.position)

    def record_received(self, feed: Feed, revision: Revision) -> None:
        """Record that all changes up to a revision came from another host."""
        state = self._feeds[feed]
        state.position = state.unchanged_since = state.received_position = revision

    def is_outdated(self, feed: Feed, revision: Revision) -> bool:
        """Return whether an answer is older than changes that came meanwhile."""
        received = self._feeds[feed].received_position
        return received is not None and revision < received

    def record_recovery(self, store_ms: int) -> None:
        """Record the store time at which the store answered again after an outage."""
        self._recovered_ms = max(self._recovered_ms, store_ms)

    def receive(self, status: StoreStatus) -> bool:
        """Merge another host's status; return whether it reports unread changes.

        A status older than the known one changes nothing.
        """
        era = status.routes.era
        if era != status.replicas.era or self.eras.is_old(era):
            return False
        era_began = self.eras.observe(era, EraSource.ANOTHER_HOST)
        found = (
            self._receive(Feed.ROUTES, status.routes),
            self._receive(Feed.REPLICAS, status.replicas),
            era_began,
        )
        self._recovered_ms = max(self._recovered_ms, status.recovered_ms)
        return any(found)

    def _receive(self, feed: Feed, status: FeedStatus) -> bool:
        state = self._feeds[feed]
        if state.received is not None and status.store_ms <= state.received.store_ms:
            return False
        state.received = status
        if state.position is not None and status.last_change <= state.position:
            current_at = self._boot_clock() - self.clock.age(status.store_ms)
            state.current_at = max(state.current_at, current_at)
            # There is no change between the two: the next read can start at the later
            # revision, which the store's bounded history still has.
            state.position = max(state.position, status.revision)
            return False
        return state.has_unread_changes()

    def status(self) -> StoreStatus | None:
        """Return the newest status of both feeds, to be sent to other hosts."""
        routes = self._feeds[Feed.ROUTES].newest()
        replicas = self._feeds[Feed.REPLICAS].newest()
        if routes is None or replicas is None or routes.era != replicas.era:
            return None
        return StoreStatus(routes, replicas, self._recovered_ms)

    def confirmed_age(self, feed: Feed) -> float | None:
        """Return for how long this host's data has not been confirmed as current.

        ``None``: it is known to be outdated, or nothing is known.
        """
        state = self._feeds[feed]
        status = state.newest()
        if status is None or state.position is None or state.has_unread_changes():
            return None
        return max(0.0, self.clock.age(status.store_ms))

    def age(self, feed: Feed) -> float:
        """Return the seconds since this host's data was last known to be current.

        Time counts in which the host was suspended, or an answer waited to be read.
        """
        return self._boot_clock() - self._feeds[feed].current_at

    def seconds_since_recovery(self) -> float | None:
        """Return the seconds since the last store outage ended; ``None`` if none."""
        return self.clock.age(self._recovered_ms) if self._recovered_ms else None

    def seconds_until_read(self, feed: Feed) -> float:
        """Return the seconds until a feed must be read if no newer status arrives."""
        state = self._feeds[feed]
        if self.reads_feeds or state.position is None or state.has_unread_changes():
            return 0.0
        if state.received is None:
            return 0.0
        unread_seconds = self._boot_clock() - state.read_at
        seconds_left = self.max_age_seconds - self.clock.age(state.received.store_ms)
        return max(0.0, min(seconds_left, MAX_UNREAD_SECONDS - unread_seconds))

    def wait_seconds(self, feed: Feed) -> float:
        """Return how long the next read may wait for changes; 0 if some are known."""
        if not self.reads_feeds and self._feeds[feed].has_unread_changes():
            return 0.0
        return self.feed_wait_seconds
