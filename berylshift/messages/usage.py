"""Counts of customers' requests, and the usage reports made from them."""

import functools
from typing import Protocol

import msgspec
import xxhash

from berylshift.ids import CustomerName, StoreEra
from berylshift.messages.leader_calls import CallResult, LeaseHolder
from berylshift.messages.wire_numbers import Count, Position
from berylshift.store.eras import FIRST_ERA

MAX_CACHED_HASHES = 8192


class RunCount(msgspec.Struct, frozen=True):
    """How many requests of a customer started to run in a window.

    ``window`` is the number of a time window; ``customer`` is the short hash of a name.
    A count only grows.
    """

    window: int
    customer: int
    count: int


class CustomerCount(msgspec.Struct, frozen=True):
    """The number of requests of one customer."""

    customer: CustomerName
    count: Position


class UsageReport(msgspec.Struct, frozen=True):
    """The report of one window; customers without requests are omitted."""

    window: Count
    counts: tuple[CustomerCount, ...]


class SettledUsage(msgspec.Struct, frozen=True):
    """The only report of a window that may be sent, as stored."""

    report: UsageReport
    era: StoreEra = FIRST_ERA


class UsageRows(Protocol):
    """Stores settled reports; all calls raise ``PlatformError``."""

    async def read(self, window: int) -> SettledUsage | None:
        """Return the settled report of a window, ``None`` if there is none."""

    async def settle(self, report: UsageReport) -> SettledUsage:
        """Settle a report unless the window has one; return the settled one."""


class UsageReporting(Protocol):
    """Reports usage to the platform."""

    async def report_usage(
        self, report: UsageReport, holder: LeaseHolder
    ) -> CallResult:
        """Send a report once; repeating an identical one has no effect."""


@functools.lru_cache(MAX_CACHED_HASHES)
def customer_hash(name: CustomerName) -> int:
    """Return the 32-bit hash that identifies a customer in digests."""
    return xxhash.xxh32_intdigest(name.encode())
