"""Queue of crash rows that this host has to write to or remove from the store."""

from collections import OrderedDict
from collections.abc import Iterable

import msgspec

from berylshift.process.quarantine.crash_gossip import CrashKey

# The store accepts up to a hundred rows in one transaction.
MAX_ROWS_PER_TRANSACTION = 40
# Rows that wait while the store is unavailable. Beyond that the oldest are dropped from
# the queue and are known to the hosts only.
MAX_PENDING_ROWS = 256


class RowBatch(msgspec.Struct, frozen=True):
    """Rows to write and rows to remove in one transaction."""

    put: tuple[CrashKey, ...]
    drop: tuple[CrashKey, ...]

    @property
    def is_empty(self) -> bool:
        """Return whether there is nothing to write or remove."""
        return not (self.put or self.drop)


class CrashRowQueue:
    """Tracks which rows are written, pending a write, or pending removal."""

    def __init__(self) -> None:
        """Start with an empty queue and no written rows."""
        self._put: OrderedDict[CrashKey, None] = OrderedDict()
        self._written: OrderedDict[CrashKey, None] = OrderedDict()
        self._drop: OrderedDict[CrashKey, None] = OrderedDict()

    def put(self, key: CrashKey) -> None:
        """Queue a row for writing unless this host has already written it."""
        if key not in self._written:
            _add(self._put, key)

    def drop(self, key: CrashKey) -> None:
        """Queue a row for removal if this host has written it."""
        self._put.pop(key, None)
        if self._written.pop(key, False) is not False:
            _add(self._drop, key)

    def drop_foreign(self, key: CrashKey) -> None:
        """Queue an abandoned row of another host for removal."""
        _add(self._drop, key)

    def rewrite_all(self) -> None:
        """Queue all rows of this host again, since the store may have lost them."""
        for key in self._written:
            _add(self._put, key)
        self._written.clear()

    def next_batch(self) -> RowBatch:
        """Return the next rows to write and to remove."""
        return RowBatch(
            tuple(self._put)[:MAX_ROWS_PER_TRANSACTION],
            tuple(self._drop)[:MAX_ROWS_PER_TRANSACTION],
        )

    def mark_committed(self, batch: RowBatch) -> None:
        """Record that the store has committed a batch.

        A row that was dropped while its write was in flight is queued for removal.
        """
        _remove(self._drop, batch.drop)
        for key in batch.put:
            is_wanted = key in self._put
            self._put.pop(key, None)
            _add(self._written if is_wanted else self._drop, key)


def _add(rows: OrderedDict[CrashKey, None], key: CrashKey) -> None:
    rows[key] = None
    if len(rows) > MAX_PENDING_ROWS:
        rows.popitem(last=False)


def _remove(rows: OrderedDict[CrashKey, None], keys: Iterable[CrashKey]) -> None:
    for key in keys:
        rows.pop(key, None)
