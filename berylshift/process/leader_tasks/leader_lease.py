"""Lease that elects one host at a time as the leader of a task.

A task is ordering a service's engines, reporting usage, or ordering replicas. Its lease
is a row in the store and expires by the store's clock. The holder stops well before the
expiry, by its own clock that runs while the host is suspended, and the next holder
starts only after the expiry. Between the orders of two holders there is at least the
time that recipients need to tell the holders apart.

A holder that may reacquire the lease takes it again at once while its own row is still
there, since nobody else has held it in between. One that may not lets others go first.

A store that is restored from an older copy may have lost the row. The holder stops when
it learns of the new era. If the row is missing or of a former era, a host acquires the
lease only after it has known the new era for as long as a row excludes other holders:
by then any lease granted by a lost row has expired.
"""

import random
from collections.abc import Callable

import msgspec

from berylshift.ids import Revision, StoreEra
from berylshift.process.directory.store_era_tracker import EraSource, StoreEraTracker
from berylshift.store.eras import FIRST_ERA
from berylshift.store.lease_rows import (
    ABSENT,
    Granted,
    LeaseRecord,
    LeaseRow,
    LeaseRows,
)

# How long a holder may act after it requested the lease, in seconds.
USABLE_SECONDS = 2.0
# Allows for clock rates that differ and for the network delay of an order, in seconds.
CLOCK_MARGIN_SECONDS = 1.0


# Bits of a fencing token below the store's era: an era has far fewer revisions, and the
# token still fits into the integers that JSON represents exactly.
REVISION_BITS = 36
# How soon to ask again while it is not known whether the system starts for the first
# time, in seconds.
UNKNOWN_START_SECONDS = 0.1
# The holder named in a refusal while a lease granted by a lost row may still be valid.
UNKNOWN_HOLDER = "unknown"


class Grant(msgspec.Struct, frozen=True):
    """A lease held; ``fence`` is a fencing token that increases with each holder.

    ``until`` is by the clock that runs while the host is suspended; the grant is valid
    only in ``era`` of the store.
    """

    fence: int
    until: float
    era: StoreEra = FIRST_ERA


class Refused(msgspec.Struct, frozen=True):
    """The lease is held by another host; ask again after ``seconds``."""

    holder: str
    seconds: float


class LeaderLease:
    """Acquires and keeps the lease of one task for this process."""

    def __init__(
        self,
        rows: LeaseRows,
        name: str,
        holder: str,
        holder_gap_seconds: float,
        rng: random.Random,
        boot_clock: Callable[[], float],
        eras: StoreEraTracker | None = None,
        is_first_start: Callable[[StoreEra], bool | None] = lambda era: False,
        can_reacquire: bool = False,
    ):
        """Separate the actions of two holders by ``holder_gap_seconds``.

        ``boot_clock`` gives seconds and runs while the host is suspended: a holder that
        was suspended past its lease must not use it after resuming. ``eras`` tells of a
        restore of the store; ``is_first_start``: whether no host of the system has
        joined before an era, ``None`` if that is not known yet; ``can_reacquire``: the
        holder may take it again before others do.
        """
        self._can_reacquire = can_reacquire
        self._is_first_start = is_first_start
        self._rows = rows
        self._name = name
        self._holder = holder
        self._holder_gap_seconds = holder_gap_seconds
        self._rng = rng
        self._boot_clock = boot_clock
        self._eras = eras or StoreEraTracker(boot_clock)
        self._grant: Grant | None = None
        # Identifies this process's newest attempt to acquire the lease.
        self._last_attempt = ""
        # The row that no holder can have written, and when it was first seen.
        self._foreign: tuple[StoreEra, Revision] | None = None
        self._foreign_since = 0.0

    @property
    def _exclusive_seconds(self) -> float:
        """Return for how many seconds a row excludes other holders."""
        return USABLE_SECONDS + self._holder_gap_seconds + CLOCK_MARGIN_SECONDS

    def held(self) -> Grant | None:
        """Return the grant if it is still valid."""
        grant = self._grant
        if grant is None or self._boot_clock() >= grant.until:
            return None
        return None if self._eras.is_old(grant.era) else grant

    async def acquire(self) -> Grant | Refused:
        """Acquire or keep the lease; raise ``PlatformError``."""
        held = self.held()
        if held is not None:
            return held
        requested_at = self._boot_clock()
        row = await self._rows.read(self._name)
        self._eras.observe(row.era, EraSource.OWN_READ)
        refusal = self._refusal(row)
        if refusal is not None:
            return refusal
        record = self._new_record(row)
        granted = await self._rows.compare_and_swap(self._name, record, row.revision)
        if granted is None:
            return Refused("another", self._holder_gap_seconds)
        if granted.era != row.era:
            # The condition matched a revision that was assigned again after a restore.
            self._eras.observe(granted.era, EraSource.OWN_READ)
            return Refused(UNKNOWN_HOLDER, self._exclusive_seconds)
        return self._hold(granted, requested_at)

    def _refusal(self, row: LeaseRow) -> Refused | None:
        """Return why the lease can't be acquired now."""
        if self._is_own_row(row):
            return None
        if self._is_foreign(row):
            return self._refusal_of_foreign(row)
        if row.record is not None and row.store_ms < row.record.until_ms:
            seconds_left = (row.record.until_ms - row.store_ms) / 1000
            return Refused(row.record.holder, seconds_left)
        if row.record is not None and row.record.era == row.era:
            return None
        seconds_left = self._exclusive_seconds - self._eras.age()
        if seconds_left <= 0 or not self._may_be_lost(row):
            return None
        if row.record is None and self._is_first_start(row.era) is None:
            seconds_left = min(seconds_left, UNKNOWN_START_SECONDS)
        return Refused(UNKNOWN_HOLDER, seconds_left)

    def _is_foreign(self, row: LeaseRow) -> bool:
        """Return whether no holder can have written a row.

        It can't be read, or excludes others for longer than a holder may. The clock of
        a restored store may have gone back, too.
        """
        if row.record is None:
            return row.revision != ABSENT
        return row.record.until_ms - row.store_ms > self._exclusive_seconds * 1000

    def _refusal_of_foreign(self, row: LeaseRow) -> Refused | None:
        """Return why a row that no holder has written can't be replaced yet.

        The lease that it replaced may be held for as long as any can be.
        """
        found = (row.era, row.revision)
        if self._foreign != found:
            self._foreign, self._foreign_since = found, self._boot_clock()
        age = self._boot_clock() - self._foreign_since
        seconds_left = self._exclusive_seconds - age
        return Refused(UNKNOWN_HOLDER, seconds_left) if seconds_left > 0 else None

    def _is_own_row(self, row: LeaseRow) -> bool:
        """Return whether the row is the last one that this process wrote.

        In a former era that proves nothing: a later row of another host may be lost.
        """
        record = row.record
        if not self._can_reacquire or record is None or record.era != row.era:
            return False
        return record.grant == self._last_attempt

    def _may_be_lost(self, row: LeaseRow) -> bool:
        """Return whether a lost row may have granted the lease to another host.

        A host that has just started can't know for how long the era has lasted.
        """
        if row.record is not None or self._eras.restore_count:
            return True
        return row.era > FIRST_ERA and not self._is_first_start(row.era)

    def _new_record(self, row: LeaseRow) -> LeaseRecord:
        grant = f"{self._rng.getrandbits(64):016x}"
        self._last_attempt = grant
        until_ms = row.store_ms + int(self._exclusive_seconds * 1000)
        return LeaseRecord(self._holder, grant, until_ms, row.era)

    def _hold(self, granted: Granted, requested_at: float) -> Grant:
        fence = granted.era << REVISION_BITS | granted.revision
        self._grant = Grant(fence, requested_at + USABLE_SECONDS, granted.era)
        return self._grant
