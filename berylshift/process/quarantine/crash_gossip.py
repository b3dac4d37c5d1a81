"""What of a quarantine is to be told to the other hosts, and for how long."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from berylshift.ids import Fingerprint

# News are told for this long: in two sums of a collector, or six digests of a host that
# tells all others itself; one or two of them may be lost.
TOLD_SECONDS = 0.5
# How often requests that are held back are told again, for hosts that have started,
# stood still or were cut off since.
AGAIN_SECONDS = 2.0
# Replicas that broke off told in one digest: a sixth of a datagram.
MOST_CRASHES_TOLD = 16
MOST_FINISHES_TOLD = 8
# News that wait to be told; of more, the oldest are dropped.
MOST_WAITING = 512

CrashKey = tuple[Fingerprint, int]
Key = TypeVar("Key")


@dataclass
class _News:
    """Since when something is told, and how often it was.

    ``is_near``: a host of this domain saw it.
    """

    since: float
    is_near: bool
    told: int = 0


class CrashNews:
    """Times in seconds; replicas by the hashes of their names."""

    def __init__(self, held: Callable[[], list[CrashKey]], told_seconds: float):
        """Tell news for ``told_seconds``, and again of what ``held`` returns.

        What ``held`` returns begins with the most important.
        """
        self._held = held
        self._told_seconds = told_seconds
        self._crashes: OrderedDict[CrashKey, _News] = OrderedDict()
        self._finishes: OrderedDict[Fingerprint, _News] = OrderedDict()
        self._told_again_at = float("-inf")

    def crashed(
        self, request: Fingerprint, target: int, now: float, is_near: bool
    ) -> None:
        """Have it told that a replica broke off under a request."""
        _add(self._crashes, (request, target), _News(now, is_near))

    def finished(self, request: Fingerprint, now: float, is_near: bool) -> None:
        """Have it told that a suspect ran to its end."""
        _add(self._finishes, request, _News(now, is_near))

    def crashes_due(self, now: float, near_alone: bool) -> int:
        """Return how many replicas that broke off are to be told of now."""
        if now - self._told_again_at >= AGAIN_SECONDS:
            self._told_again_at = now
            for key in reversed(self._held()[:MOST_CRASHES_TOLD]):
                _add(self._crashes, key, _News(now, True))
        return min(MOST_CRASHES_TOLD, len(self._due(self._crashes, now, near_alone)))

    def take_crashes(self, now: float, near_alone: bool) -> list[CrashKey]:
        """Return what is told in this digest: what was told least often goes first.

        Each request that ran on a replica may be the cause of its end, and a digest may
        hold only a part of them.
        """
        count = self.crashes_due(now, near_alone)
        due = self._due(self._crashes, now, near_alone)
        taken = sorted(due, key=lambda key: self._crashes[key].told)[:count]
        for key in taken:
            self._crashes[key].told += 1
        return taken

    def finishes_due(self, now: float, near_alone: bool) -> tuple[Fingerprint, ...]:
        """Return the suspects that ran to their end, the newest first."""
        return tuple(self._due(self._finishes, now, near_alone)[:MOST_FINISHES_TOLD])

    def _due(
        self, waiting: OrderedDict[Key, _News], now: float, near_alone: bool
    ) -> list[Key]:
        """Drop what was told for long enough; return the rest, the newest first."""
        while waiting:
            key, news = next(iter(waiting.items()))
            if now - news.since < self._told_seconds:
                break
            del waiting[key]
        newest = reversed(waiting.items())
        return [key for key, news in newest if news.is_near or not near_alone]


def _add(waiting: OrderedDict[Key, _News], key: Key, news: _News) -> None:
    waiting[key] = news
    waiting.move_to_end(key)
    if len(waiting) > MOST_WAITING:
        waiting.popitem(last=False)
