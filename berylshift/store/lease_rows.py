"""Lease rows as the platform's store keeps them."""

from typing import Protocol

import msgspec

from berylshift.ids import Revision, StoreEra
from berylshift.store.eras import FIRST_ERA

ABSENT = Revision(0)


class LeaseRecord(msgspec.Struct, frozen=True):
    """Who may order until when, on the store's own steady clock.

    ``grant`` names one acquisition, so that a write whose answer was lost can be
    found again. ``era`` is the store's as the lease was asked for.
    """

    holder: str
    grant: str
    until_ms: int
    era: StoreEra = FIRST_ERA


class LeaseRow(msgspec.Struct, frozen=True):
    """A row as read: ``store_ms`` is the store's clock at the answer."""

    record: LeaseRecord | None
    revision: Revision
    store_ms: int
    era: StoreEra = FIRST_ERA


class Granted(msgspec.Struct, frozen=True):
    """A write that was done: the row's revision, and the era that it counts in."""

    revision: Revision
    era: StoreEra = FIRST_ERA


class LeaseRows(Protocol):
    """Reads and swaps lease rows; all calls raise ``PlatformError``."""

    async def read(self, name: str) -> LeaseRow:
        """Return a row; revision ``ABSENT`` if there is none."""

    async def compare_and_swap(
        self, name: str, record: LeaseRecord, expected: Revision
    ) -> Granted | None:
        """Write a row if it is at ``expected``; return its revision, else ``None``."""
