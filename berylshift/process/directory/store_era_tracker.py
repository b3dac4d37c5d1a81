"""Tracks the store's era and notifies subscribers when a new one begins.

A store that is restored from a copy some seconds old assigns the same revisions again,
so a new era begins with each restore and a revision is only valid within its era. See
docs/design/store-eras.md.
"""

import logging
from collections.abc import Callable
from enum import StrEnum

from berylshift.ids import StoreEra

logger = logging.getLogger(__name__)


class EraSource(StrEnum):
    """How a host learned of an era."""

    OWN_READ = "own read"
    ANOTHER_HOST = "another host"


class StoreEraTracker:
    """The newest known era; times in seconds on a clock that runs during suspends."""

    def __init__(self, boot_clock: Callable[[], float]):
        """Start without a known era."""
        self._boot_clock = boot_clock
        self._observed_at: float | None = None
        self._on_change: list[Callable[[], None]] = []
        self.current: StoreEra | None = None
        self.restore_count = 0

    def subscribe(self, on_change: Callable[[], None]) -> None:
        """Call ``on_change`` each time the store was restored from an older copy."""
        self._on_change.append(on_change)

    def observe(self, era: StoreEra, source: EraSource) -> bool:
        """Record an era; return whether it is newer than the known one.

        The first era that a host learns of is no change: it has no earlier state.
        """
        former = self.current
        if former is not None and era <= former:
            return False
        self.current = era
        self._observed_at = self._boot_clock()
        if former is None:
            return False
        self.restore_count += 1
        logger.warning(
            "store came back older",
            extra={"era": era, "former": former, "learned_by": source},
        )
        for on_change in self._on_change:
            on_change()
        return True

    def is_old(self, era: StoreEra) -> bool:
        """Return whether a newer era than the given one has begun."""
        return self.current is not None and era < self.current

    def age(self) -> float:
        """Return for how many seconds this host has known the era."""
        if self._observed_at is None:
            return 0.0
        return self._boot_clock() - self._observed_at
