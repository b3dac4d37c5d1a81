"""Replicas that ended under requests, as the platform's store keeps them.

Hosts tell each other what they know. Should all of them end at once, the rows are what
is left: without them, the same request would end as many replicas again.
"""

from collections.abc import Iterable
from typing import Protocol

import msgspec

from berylshift.ids import Fingerprint, StoreEra
from berylshift.store.eras import FIRST_ERA


class CrashRow(msgspec.Struct, frozen=True):
    """A replica, by the hash of its name, that ended under a request.

    ``at_ms`` is when, on the store's steady clock.
    """

    request: Fingerprint
    target: int
    at_ms: int


class CrashRowsSnapshot(msgspec.Struct, frozen=True):
    """All rows; ``store_ms`` is the store's clock at the answer."""

    rows: tuple[CrashRow, ...]
    store_ms: int
    era: StoreEra = FIRST_ERA


class CrashRows(Protocol):
    """Reads and writes the rows; all calls raise ``PlatformError``."""

    async def read(self) -> CrashRowsSnapshot:
        """Return all rows that can be read."""

    async def change(self, put: Iterable[CrashRow], drop: Iterable[CrashRow]) -> None:
        """Write some rows and remove others, in one transaction."""
