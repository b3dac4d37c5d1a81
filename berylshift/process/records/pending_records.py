"""Results of confirmations that could not be written yet.

While the store is down, a call that was never sent can't be marked as abandoned,
and its key would stay stuck; a result can't be kept. They wait here, and are
written when the store is back, if the row is still this attempt's.
"""

from collections import OrderedDict

from berylshift.request.confirmation import ConfirmRow, RowState
from berylshift.store.interfaces import ABSENT

MOST_KEPT = 10_000


class PendingRecords:
    """Keeps the rows to be written, by key."""

    def __init__(self) -> None:
        """Start empty."""
        self._rows: OrderedDict[str, ConfirmRow] = OrderedDict()

    def __len__(self) -> int:
        """Return how many rows wait."""
        return len(self._rows)

    def add(self, key: str, row: ConfirmRow) -> None:
        """Keep a row; the oldest goes when there are too many."""
        self._rows[key] = row
        while len(self._rows) > MOST_KEPT:
            self._rows.popitem(last=False)

    def first(self) -> tuple[str, ConfirmRow] | None:
        """Return the oldest row that waits."""
        return next(iter(self._rows.items()), None)

    def done(self, key: str) -> None:
        """Forget a row that is written or need not be."""
        self._rows.pop(key, None)

    @staticmethod
    def revision_to_replace(
        pending: ConfirmRow, stored: ConfirmRow | None, revision: int
    ) -> int | None:
        """Return the revision that ``pending`` may replace; ``None``: leave it.

        Where no row stands, a lost insert may still land: an abandoned row put in
        its place keeps it out.
        """
        if stored is None:
            return ABSENT if pending.state is RowState.ABANDONED else None
        ours = stored.attempt == pending.attempt
        return revision if ours and stored.state is RowState.STARTED else None
