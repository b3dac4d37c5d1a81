"""Whether this process may route by the table version that it holds.

A process cut off from the store and its peers does not hear that a target is
leaving, and would send it work for ever. It may route only while its view was
confirmed within a limit, counted from before the question was sent.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from berylshift.ids import HostName

SAMPLE = 8
ANSWER_SECONDS = 0.5
ASKED_KEPT = 256


class View(Enum):
    """State of this process's view of the table."""

    NONE = "none"
    FRESH = "fresh"
    STALE = "stale"


@dataclass(frozen=True)
class PeerWord:
    """What a peer says of its view.

    ``asked_at`` is when this process sent the datagram that the peer answers, so a
    word that lay in a buffer while this process was paused is an old one.
    ``store_age`` is the age in seconds of the peer's own store confirmation.
    """

    peer: HostName
    asked_at: float
    version: int
    store_age: float
    plan: int = 0


@dataclass
class Freshness:
    """Keeps when the view was last confirmed; times in monotonic seconds."""

    limit: float
    version: int = 0
    plan: int = 0
    hosts: int = 1
    _by_store: float | None = None
    _words: dict[HostName, PeerWord] = field(default_factory=dict)
    _asked: deque[tuple[float, HostName]] = field(
        default_factory=lambda: deque(maxlen=ASKED_KEPT)
    )

    def store_confirmed(self, asked_at: float, version: int) -> None:
        """Note that the store's head, asked for at ``asked_at``, was ``version``."""
        if version <= self.version:
            self._by_store = max(asked_at, self._by_store or asked_at)

    def peer_asked(self, peer: HostName, at: float) -> None:
        """Note that a peer was asked."""
        self._asked.append((at, peer))

    def peer_confirmed(self, word: PeerWord) -> None:
        """Note a peer's word."""
        old = self._words.get(word.peer)
        if old is None or word.asked_at >= old.asked_at:
            self._words[word.peer] = word

    def store_age(self, now: float) -> float:
        """Return the age in seconds of the last store confirmation."""
        return now - self._by_store if self._by_store is not None else float("inf")

    def view(self, now: float) -> View:
        """Return whether new work may be routed now."""
        if not self.version:
            return View.NONE
        if self.store_age(now) <= self.limit or self._fresh_by_peers(now):
            return View.FRESH
        return View.STALE

    def _fresh_by_peers(self, now: float) -> bool:
        """Return whether peers vouch for this view.

        One peer that has itself read the store is enough. Where none has, the
        store is taken to be down for all only if most of the peers that were
        asked say so: a few hosts, or a region, may be cut off from a store that
        others still see change. Peers are asked in turn over the whole host list,
        so at any size those asked within the limit are a fair sample.
        """
        words = {
            word.peer: word
            for word in self._words.values()
            if now - word.asked_at <= self.limit
        }
        if not all(self._is_not_behind(word) for word in words.values()):
            return False
        if any(self._has_read(word, now) for word in words.values()):
            return True
        asked = self._asked_lately(now) | set(words)
        if len(asked) < min(self.hosts - 1, SAMPLE):
            return False
        return len(words) + 1 > (len(asked) + 1) / 2 and bool(words)

    def _is_not_behind(self, word: PeerWord) -> bool:
        return word.version <= self.version and word.plan <= self.plan

    def _has_read(self, word: PeerWord, now: float) -> bool:
        return now - word.asked_at + word.store_age <= self.limit

    def _asked_lately(self, now: float) -> set[HostName]:
        """Return the peers whose answers should be here by now."""
        latest = now - ANSWER_SECONDS
        return {peer for at, peer in self._asked if now - self.limit <= at <= latest}
