"""The callers' idempotency keys, and the check of what the services ran."""

from collections.abc import Mapping

from berylshift.replay.result import Fate
from berylshift.replay.runner import BookCounts


class KeyBook:
    """What each confirmation's caller was told, by key."""

    def __init__(self) -> None:
        """Start empty."""
        self._told: dict[str, Fate] = {}

    def told(self, key: str, fate: Fate) -> None:
        """Note what a caller was told last."""
        self._told[key] = fate

    def check(self, ran: Mapping[str, int], role_changes: int) -> BookCounts:
        """Compare with how often each key ran."""
        doubled = sum(count > 1 for count in ran.values())
        wrong = 0
        for key, fate in self._told.items():
            count = ran.get(key, 0)
            wrong += fate is Fate.COMPLETE and count == 0
            wrong += fate is Fate.NOT_RUN and count > 0
        return BookCounts(doubled, wrong, role_changes)
