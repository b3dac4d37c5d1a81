"""The routes in force in this process; their version never decreases."""

import logging
from collections.abc import Callable

from berylshift.ids import StoreEra
from berylshift.store.eras import FIRST_ERA
from berylshift.version.routes import RouteTable

logger = logging.getLogger(__name__)


class RouteHolder:
    """Holds the newest routes; ``confirmed_at`` is when a store read last agreed.

    A read from a lagging copy of the store would return an older version, and requests
    would be handled as the operators no longer allow.
    """

    def __init__(
        self,
        on_change: Callable[[RouteTable], None] | None = None,
        on_gap: Callable[[], None] = lambda: None,
    ):
        """Start without routes; call ``on_change`` with each new version.

        ``on_gap`` is called when versions may have come and gone unseen.
        """
        self.on_gap = on_gap
        self.table: RouteTable | None = None
        self.confirmed_at: float | None = None
        self._era = FIRST_ERA
        self._on_change = on_change

    def apply_if_newer(
        self, table: RouteTable | None, now: float, era: StoreEra = FIRST_ERA
    ) -> bool:
        """Apply a version if it is newer; return whether it was.

        ``era``: the store's era in which the version was read.
        """
        self.confirmed_at = now
        if table is None or not self._is_newer(table, era):
            return False
        former = None if self.table is None else self.table.version
        self.table, self._era = table, era
        logger.info(
            "routes in force",
            extra={
                "version": table.version,
                "former": former,
                "routes": len(table.routes),
            },
        )
        if self._on_change is not None:
            self._on_change(table)
        return True

    def _is_newer(self, table: RouteTable, era: StoreEra) -> bool:
        """Return whether a version takes precedence over the one in force.

        In a restored store that lost a version, its number can be reused for another
        text; then the text of the newer era is what the operators want.
        """
        if self.table is None or table.version > self.table.version:
            return True
        if table.version < self.table.version:
            return False
        return era > self._era and table != self.table

    def confirm(self, at: float) -> None:
        """Record that the routes were current at ``at``, as another host reports."""
        if self.confirmed_at is not None:
            self.confirmed_at = max(self.confirmed_at, at)

    def age(self, now: float) -> float | None:
        """Return the seconds since the store last confirmed the routes."""
        return None if self.confirmed_at is None else now - self.confirmed_at
