"""The right to a duty that one host has at a time, taken when there is something to do.

A duty is ordering a service's engines, reporting usage, or ordering replicas. Its lease
lies in the store and ends by the store's clock. Its holder stops well before
that end on a clock of its own that also counts the time a host stands still, and the
next holder starts only after the end: between two holders' orders lies at least the
time that those who get orders need to tell them apart.

A holder that keeps its duty takes the lease again at once while its own row stands:
nobody has had it in between. One that does not lets others take their turn.

A store that comes back from an older copy may have lost the row. Its holder stops as
it learns of the new era, and nobody takes a lease whose row is missing, or of a former
era, until the era has been known for as long as a lost row may have granted.
"""

import random
from collections.abc import Callable

import msgspec

from berylshift.ids import StoreEra
from berylshift.process.directory.store_era_tracker import EraSource, StoreEraTracker
from berylshift.store.eras import FIRST_ERA
from berylshift.store.lease_rows import Granted, LeaseRecord, LeaseRow, LeaseRows

# How long a holder may act after it asked for the lease, in seconds.
USE_SECONDS = 2.0
# Rates of two clocks and the way of an order on the wire, in seconds.
MARGIN_SECONDS = 1.0


# Bits of a fence below the store's era: revisions of one era are fewer by far, and the
# whole still fits into the integers that JSON keeps exactly.
REVISION_BITS = 36
# Whom a refusal names while a lost row may still grant.
UNKNOWN_HOLDER = "unknown"


class Grant(msgspec.Struct, frozen=True):
    """A lease held: ``fence`` only rises from holder to holder.

    ``until`` is on the clock that also runs while the host stands still; it counts in
    ``era`` of the store alone.
    """

    fence: int
    until: float
    era: StoreEra = FIRST_ERA


class Refused(msgspec.Struct, frozen=True):
    """The lease is another's; ``seconds``: when to ask again."""

    holder: str
    seconds: float


class DutyLease:
    """Takes and keeps the lease of one duty for this process."""

    def __init__(
        self,
        rows: LeaseRows,
        name: str,
        holder: str,
        apart: float,
        rng: random.Random,
        boot_clock: Callable[[], float],
        eras: StoreEraTracker | None = None,
        first_start: bool = False,
        keeps: bool = False,
    ):
        """Keep what two holders do ``apart`` seconds apart.

        ``boot_clock`` gives seconds that run on while the host is suspended: a
        holder that slept through its lease must not believe in it on waking.
        ``eras`` tells of a store that came back older; ``first_start``: nobody has
        ever held the lease; ``keeps``: the holder takes it again before others may.
        """
        self._keeps = keeps
        self._first_start = first_start
        self._rows = rows
        self._name = name
        self._holder = holder
        self._apart = apart
        self._rng = rng
        self._boot_clock = boot_clock
        self._eras = eras or StoreEraTracker(boot_clock)
        self._grant: Grant | None = None
        # Names this process's newest try to take the lease.
        self._newest_try = ""

    @property
    def _lasts(self) -> float:
        """Return for how many seconds a row keeps other holders off."""
        return USE_SECONDS + self._apart + MARGIN_SECONDS

    def held(self) -> Grant | None:
        """Return the grant if it may still be used."""
        grant = self._grant
        if grant is None or self._boot_clock() >= grant.until:
            return None
        return None if self._eras.is_old(grant.era) else grant

    async def acquire(self) -> Grant | Refused:
        """Take or keep the lease; raise ``PlatformError``."""
        held = self.held()
        if held is not None:
            return held
        asked = self._boot_clock()
        row = await self._rows.read(self._name)
        self._eras.observe(row.era, EraSource.OWN_READ)
        refused = self._refused(row)
        if refused is not None:
            return refused
        record = self._record(row)
        granted = await self._rows.swap(self._name, record, row.revision)
        if granted is None:
            return Refused("another", self._apart)
        if granted.era != row.era:
            # The condition held by a revision that was given out again.
            self._eras.observe(granted.era, EraSource.OWN_READ)
            return Refused(UNKNOWN_HOLDER, self._lasts)
        return self._take(granted, asked)

    def _refused(self, row: LeaseRow) -> Refused | None:
        """Return why the lease can't be had now."""
        if self._is_own(row):
            return None
        if row.record is not None and row.store_ms < row.record.until_ms:
            left = (row.record.until_ms - row.store_ms) / 1000
            return Refused(row.record.holder, left)
        if row.record is not None and row.record.era == row.era:
            return None
        left = self._lasts - self._eras.age()
        if left > 0 and self._may_be_lost(row):
            return Refused(UNKNOWN_HOLDER, left)
        return None

    def _is_own(self, row: LeaseRow) -> bool:
        """Return whether the row is what this process wrote last.

        In a former era it says nothing: another's row that followed it may be lost.
        """
        record = row.record
        if not self._keeps or record is None or record.era != row.era:
            return False
        return record.grant == self._newest_try

    def _may_be_lost(self, row: LeaseRow) -> bool:
        """Return whether a row may have been lost that still grants the lease.

        A host that has just started can't know how long the era has lasted.
        """
        if row.record is not None or self._eras.changes:
            return True
        return row.era > FIRST_ERA and not self._first_start

    def _record(self, row: LeaseRow) -> LeaseRecord:
        grant = f"{self._rng.getrandbits(64):016x}"
        self._newest_try = grant
        until_ms = row.store_ms + int(self._lasts * 1000)
        return LeaseRecord(self._holder, grant, until_ms, row.era)

    def _take(self, granted: Granted, asked: float) -> Grant:
        fence = granted.era << REVISION_BITS | granted.revision
        self._grant = Grant(fence, asked + USE_SECONDS, granted.era)
        return self._grant
