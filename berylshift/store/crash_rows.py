"""Replica crashes during requests, as rows in the platform's store.

Hosts exchange crashes by gossip. The rows survive a crash of all hosts at once: without
them, the same request would crash as many replicas again.
"""

from collections.abc import Iterable
from typing import Protocol

import msgspec

from berylshift.ids import Fingerprint, StoreEra
from berylshift.messages.wire_numbers import Count, Position
from berylshift.store.eras import FIRST_ERA


class CrashRow(msgspec.Struct, frozen=True):
    """A replica crash during a request; ``target`` is the hash of the replica's name.

    ``at_ms`` is the time of the crash on the store's monotonic clock.
    """

    request: Fingerprint
    target: Count
    at_ms: Position


class CrashRowsSnapshot(msgspec.Struct, frozen=True):
    """All rows; ``store_ms`` is the store's clock at the time of the response."""

    rows: tuple[CrashRow, ...]
    store_ms: int
    era: StoreEra = FIRST_ERA


class CrashRows(Protocol):
    """Reads and writes the rows; all calls raise ``PlatformError``."""

    async def read(self) -> CrashRowsSnapshot:
        """Return all rows that can be decoded."""

    async def change(self, put: Iterable[CrashRow], drop: Iterable[CrashRow]) -> None:
        """Write the rows ``put`` and remove the rows ``drop`` in one transaction."""
