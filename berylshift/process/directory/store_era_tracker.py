"""Which era of the store this host knows, since when, and who has to hear of it.

A store that comes back from a copy some seconds old gives revisions out again: none of
them means anything without its era. See docs/design/store-eras.md.
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


class StoreEras:
    """The newest era; times in seconds on the clock that also counts standstills."""

    def __init__(self, boot_clock: Callable[[], float]):
        """Know no era yet."""
        self._boot_clock = boot_clock
        self._known_since: float | None = None
        self._on_change: list[Callable[[], None]] = []
        self.current: StoreEra | None = None
        self.changes = 0

    def tell(self, on_change: Callable[[], None]) -> None:
        """Call ``on_change`` each time the store has come back older."""
        self._on_change.append(on_change)

    def learn(self, era: StoreEra, source: EraSource) -> bool:
        """Take over an era; return whether a new one has begun since the last.

        The first one that a host hears of is no change: it remembers nothing of before.
        """
        former = self.current
        if former is not None and era <= former:
            return False
        self.current = era
        self._known_since = self._boot_clock()
        if former is None:
            return False
        self.changes += 1
        logger.warning(
            "store came back older",
            extra={"era": era, "former": former, "learned_by": source},
        )
        for on_change in self._on_change:
            on_change()
        return True

    def is_old(self, era: StoreEra) -> bool:
        """Return whether an era is over."""
        return self.current is not None and era < self.current

    def age(self) -> float:
        """Return for how long this host has known the era."""
        if self._known_since is None:
            return 0.0
        return self._boot_clock() - self._known_since
