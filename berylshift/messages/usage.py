"""What hosts count of customers' requests, and what is reported of them."""

import functools
from typing import Protocol

import msgspec
import xxhash

from berylshift.ids import CustomerName, StoreEra
from berylshift.messages.leader_calls import CallResult, LeaseHolder
from berylshift.store.eras import FIRST_ERA

HASHES_KEPT = 8192


class RunCount(msgspec.Struct, frozen=True):
    """How many requests of a customer began to run in a window.

    ``window`` is the number of a window of true time; ``customer`` is the short hash of
    a name. A count only rises.
    """

    window: int
    customer: int
    count: int


class CustomerCount(msgspec.Struct, frozen=True):
    """Requests of one customer."""

    customer: CustomerName
    count: int


class UsageReport(msgspec.Struct, frozen=True):
    """What is told of one window; customers without a request are left out."""

    window: int
    counts: tuple[CustomerCount, ...]


class SettledUsage(msgspec.Struct, frozen=True):
    """The one report that may be sent of a window, as the store keeps it."""

    report: UsageReport
    era: StoreEra = FIRST_ERA


class UsageRows(Protocol):
    """Keeps settled reports; all calls raise ``PlatformError``."""

    async def read(self, window: int) -> SettledUsage | None:
        """Return what was settled of a window."""

    async def settle(self, report: UsageReport) -> SettledUsage:
        """Settle a report, unless one was settled before; return the one that holds."""


class UsageReporting(Protocol):
    """Tells the platform of usage."""

    async def report_usage(
        self, report: UsageReport, holder: LeaseHolder
    ) -> CallResult:
        """Send a report once; an exact repeat of an earlier one changes nothing."""


@functools.lru_cache(HASHES_KEPT)
def customer_hash(name: CustomerName) -> int:
    """Return the 32-bit hash that stands for a customer in digests."""
    return xxhash.xxh32_intdigest(name.encode())
