"""Which rows of the store this host has to write or remove for its quarantine."""

from collections import OrderedDict
from collections.abc import Iterable

import msgspec

from berylshift.process.quarantine.crash_gossip import CrashKey

# Rows of one transaction, of which the store takes a hundred.
MOST_IN_ONE = 40
# Rows that wait to be written while the store is away; of more, the oldest stay with
# the hosts alone.
MOST_WAITING = 256


class RowsDue(msgspec.Struct, frozen=True):
    """Rows to write and to remove now."""

    put: tuple[CrashKey, ...]
    drop: tuple[CrashKey, ...]

    @property
    def empty(self) -> bool:
        """Return whether there is nothing to do."""
        return not (self.put or self.drop)


class CrashLedger:
    """Keeps what was written and what has yet to be."""

    def __init__(self) -> None:
        """Start with nothing written."""
        self._put: OrderedDict[CrashKey, None] = OrderedDict()
        self._written: OrderedDict[CrashKey, None] = OrderedDict()
        self._drop: OrderedDict[CrashKey, None] = OrderedDict()

    def put(self, key: CrashKey) -> None:
        """Have a row written, once."""
        if key not in self._written:
            _add(self._put, key)

    def drop(self, key: CrashKey) -> None:
        """Have a row removed if this host has written it."""
        self._put.pop(key, None)
        if self._written.pop(key, False) is not False:
            _add(self._drop, key)

    def drop_foreign(self, key: CrashKey) -> None:
        """Have a row removed that another host has written and left."""
        _add(self._drop, key)

    def write_again(self) -> None:
        """Have all rows of this host written: the store may have lost them."""
        for key in self._written:
            _add(self._put, key)
        self._written.clear()

    def due(self) -> RowsDue:
        """Return the next rows to write and to remove."""
        return RowsDue(tuple(self._put)[:MOST_IN_ONE], tuple(self._drop)[:MOST_IN_ONE])

    def done(self, due: RowsDue) -> None:
        """Note that the store has taken rows over.

        What was dropped while it was being written has to go again.
        """
        _remove(self._drop, due.drop)
        for key in due.put:
            is_wanted = key in self._put
            self._put.pop(key, None)
            _add(self._written if is_wanted else self._drop, key)


def _add(rows: OrderedDict[CrashKey, None], key: CrashKey) -> None:
    rows[key] = None
    if len(rows) > MOST_WAITING:
        rows.popitem(last=False)


def _remove(rows: OrderedDict[CrashKey, None], keys: Iterable[CrashKey]) -> None:
    for key in keys:
        rows.pop(key, None)
