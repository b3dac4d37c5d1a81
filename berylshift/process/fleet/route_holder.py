"""The routes in force in this process; their version only rises."""

import logging
from collections.abc import Callable

from berylshift.version.routes import RouteTable

logger = logging.getLogger(__name__)


class RouteHolder:
    """Holds the newest routes; ``confirmed_at`` is when a store read last agreed.

    A read answered by a lagging copy would bring an older version back, and a
    request would be handled as the operators no longer allow.
    """

    def __init__(self, on_change: Callable[[RouteTable], None] | None = None):
        """Start without routes; call ``on_change`` with each version taken."""
        self.table: RouteTable | None = None
        self.confirmed_at: float | None = None
        self._on_change = on_change

    def take(self, table: RouteTable | None, now: float) -> bool:
        """Take over a newer version; return whether it was newer."""
        self.confirmed_at = now
        if table is None:
            return False
        if self.table is not None and table.version <= self.table.version:
            return False
        former = None if self.table is None else self.table.version
        self.table = table
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

    def confirm(self, at: float) -> None:
        """Note that nothing newer was there at ``at``, by another host's word."""
        if self.confirmed_at is not None:
            self.confirmed_at = max(self.confirmed_at, at)

    def age(self, now: float) -> float | None:
        """Return the seconds since the store last confirmed the routes."""
        return None if self.confirmed_at is None else now - self.confirmed_at
