"""Confirmation rows that could not be written yet.

While the store is down, a call that was never sent can't be marked as abandoned, which
would block its key, and a result can't be stored. These rows wait here and are written
when the store is back, if the stored row still belongs to the same attempt.
"""

from collections import OrderedDict

from berylshift.request.confirmation import ConfirmRow, RowState
from berylshift.store.interfaces import ABSENT

MAX_PENDING_ROWS = 10_000


class PendingRecords:
    """Pending rows by key, the oldest first."""

    def __init__(self) -> None:
        """Start empty."""
        self._rows: OrderedDict[str, ConfirmRow] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of pending rows."""
        return len(self._rows)

    def add(self, key: str, row: ConfirmRow) -> None:
        """Add a row, dropping the oldest if there are too many."""
        self._rows[key] = row
        while len(self._rows) > MAX_PENDING_ROWS:
            self._rows.popitem(last=False)

    def oldest(self) -> tuple[str, ConfirmRow] | None:
        """Return the oldest pending row and its key."""
        return next(iter(self._rows.items()), None)

    def remove(self, key: str) -> None:
        """Remove a row that has been written or needn't be."""
        self._rows.pop(key, None)

    @staticmethod
    def revision_to_replace(
        pending: ConfirmRow, stored: ConfirmRow | None, revision: int
    ) -> int | None:
        """Return the revision that ``pending`` may replace; ``None``: don't write it.

        If there is no row, an insert that seemed lost may still arrive. An abandoned
        row in its place makes that insert fail.
        """
        if stored is None:
            return ABSENT if pending.state is RowState.ABANDONED else None
        is_same_attempt = stored.attempt == pending.attempt
        return (
            revision if is_same_attempt and stored.state is RowState.STARTED else None
        )
