"""Lease rows in the platform's store."""

from typing import Protocol

import msgspec

from berylshift.ids import Revision, StoreEra
from berylshift.messages.wire_numbers import Position
from berylshift.store.eras import FIRST_ERA

ABSENT = Revision(0)


class LeaseRecord(msgspec.Struct, frozen=True):
    """Who holds a lease, and until when on the store's monotonic clock.

    ``grant`` identifies one acquisition, so that a write whose response was lost can be
    recognised. ``era`` is the store's era when the lease was requested.
    """

    holder: str
    grant: str
    until_ms: Position
    era: StoreEra = FIRST_ERA


class LeaseRow(msgspec.Struct, frozen=True):
    """A row as read; ``store_ms`` is the store's clock at the time of the response.

    ``record``: ``None`` if there is no row, or, with a revision, none that can be read.
    """

    record: LeaseRecord | None
    revision: Revision
    store_ms: int
    era: StoreEra = FIRST_ERA


class Granted(msgspec.Struct, frozen=True):
    """A committed write: the row's new revision and the store's era."""

    revision: Revision
    era: StoreEra = FIRST_ERA


class LeaseRows(Protocol):
    """Reads and conditionally writes lease rows; all calls raise ``PlatformError``."""

    async def read(self, name: str) -> LeaseRow:
        """Return a row; its revision is ``ABSENT`` if it does not exist."""

    async def compare_and_swap(
        self, name: str, record: LeaseRecord, expected: Revision
    ) -> Granted | None:
        """Write a row if its revision is ``expected``; otherwise return ``None``."""
