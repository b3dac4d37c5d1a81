"""The right to order engines, taken only when there is something to order.

A lease lies in the store and ends by the store's clock. Its holder stops well before
that end on a clock of its own that also counts the time a host stands still, and the
next holder starts only after the end: between two holders' orders lies at least the
time that engines need to tell them apart.
"""

import random
from collections.abc import Callable

import msgspec

from berylshift.ids import Revision
from berylshift.store.lease_rows import LeaseRecord, LeaseRow, LeaseRows

# How long a holder may order after it asked for the lease, in seconds.
USE_SECONDS = 2.0
# Rates of two clocks and the way of an order on the wire, in seconds.
MARGIN_SECONDS = 1.0


class Grant(msgspec.Struct, frozen=True):
    """A lease held: ``fence`` only rises from holder to holder.

    ``until`` is on the clock that also runs while the host stands still.
    """

    fence: int
    until: float


class Refused(msgspec.Struct, frozen=True):
    """The lease is another's; ``seconds``: when to ask again."""

    holder: str
    seconds: float


class OrderLease:
    """Takes and keeps the lease of one pool for this process."""

    def __init__(
        self,
        rows: LeaseRows,
        name: str,
        holder: str,
        apart: float,
        rng: random.Random,
        boot_clock: Callable[[], float],
    ):
        """Keep orders of two holders ``apart`` seconds apart.

        ``boot_clock`` gives seconds that run on while the host is suspended: a
        holder that slept through its lease must not believe in it on waking.
        """
        self._rows = rows
        self._name = name
        self._holder = holder
        self._apart = apart
        self._rng = rng
        self._boot_clock = boot_clock
        self._grant: Grant | None = None

    def held(self) -> Grant | None:
        """Return the grant if it may still be used."""
        if self._grant is None or self._boot_clock() >= self._grant.until:
            return None
        return self._grant

    async def acquire(self) -> Grant | Refused:
        """Take or keep the lease; raise ``PlatformError``."""
        held = self.held()
        if held is not None:
            return held
        asked = self._boot_clock()
        row = await self._rows.read(self._name)
        refused = self._refused(row)
        if refused is not None:
            return refused
        record = self._record(row)
        granted = await self._rows.swap(self._name, record, row.revision)
        if granted is None:
            return Refused("another", self._apart)
        return self._take(granted.revision, asked)

    def _refused(self, row: LeaseRow) -> Refused | None:
        """Return why the lease can't be had now.

        The holder's own lease counts as another's once it is over: an earlier write
        of ours whose answer was lost may have been taken over since.
        """
        if row.record is None or row.store_ms >= row.record.until_ms:
            return None
        left = (row.record.until_ms - row.store_ms) / 1000
        return Refused(row.record.holder, left)

    def _record(self, row: LeaseRow) -> LeaseRecord:
        seconds = USE_SECONDS + self._apart + MARGIN_SECONDS
        grant = f"{self._rng.getrandbits(64):016x}"
        until_ms = row.store_ms + int(seconds * 1000)
        return LeaseRecord(self._holder, grant, until_ms)

    def _take(self, revision: Revision, asked: float) -> Grant:
        self._grant = Grant(int(revision), asked + USE_SECONDS)
        return self._grant
