"""Whether this process may route by the table version that it holds.

A process that is partitioned from the store and its peers does not learn that a target
is draining, and would keep sending work to it. It may route only while its view was
confirmed within a time limit, counted from when the confirmation was requested.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from berylshift.ids import HostName

MIN_SAMPLE_PEERS = 8
RESPONSE_SECONDS = 0.5
MAX_QUERIES_KEPT = 256


class View(Enum):
    """State of this process's view of the table."""

    NONE = "none"
    FRESH = "fresh"
    STALE = "stale"


@dataclass(frozen=True)
class PeerConfirmation:
    """A peer's statement about its own view.

    ``asked_at`` is when this process sent the datagram that the peer answers, so that a
    confirmation that stayed in a buffer while this process was paused counts as old.
    ``store_age`` is the age in seconds of the peer's own store confirmation.
    """

    peer: HostName
    asked_at: float
    version: int
    store_age: float
    plan: int = 0


@dataclass
class Freshness:
    """Tracks when the view was last confirmed.

    Times are in seconds on the clock that runs while the host is suspended: a table may
    change meanwhile.
    """

    limit_seconds: float
    version: int = 0
    plan: int = 0
    host_count: int = 1
    _store_confirmed_at: float | None = None
    _confirmations: dict[HostName, PeerConfirmation] = field(default_factory=dict)
    _queries: deque[tuple[float, HostName]] = field(
        default_factory=lambda: deque(maxlen=MAX_QUERIES_KEPT)
    )

    def note_store_confirmation(self, asked_at: float, version: int) -> None:
        """Record that the store's head, requested at ``asked_at``, was ``version``."""
        if version <= self.version:
            self._store_confirmed_at = max(
                asked_at, self._store_confirmed_at or asked_at
            )

    def note_peer_query(self, peer: HostName, at: float) -> None:
        """Record that a peer was asked to confirm the view."""
        self._queries.append((at, peer))

    def note_peer_confirmation(self, confirmation: PeerConfirmation) -> None:
        """Record a peer's confirmation."""
        old = self._confirmations.get(confirmation.peer)
        if old is None or confirmation.asked_at >= old.asked_at:
            self._confirmations[confirmation.peer] = confirmation

    def store_age(self, now: float) -> float:
        """Return the age in seconds of the last store confirmation."""
        return (
            now - self._store_confirmed_at
            if self._store_confirmed_at is not None
            else float("inf")
        )

    def view(self, now: float) -> View:
        """Return the state of the view; new work may be routed while it is fresh."""
        if not self.version:
            return View.NONE
        if self.store_age(now) <= self.limit_seconds or self._fresh_by_peers(now):
            return View.FRESH
        return View.STALE

    def _fresh_by_peers(self, now: float) -> bool:
        """Return whether peers confirm this view.

        One peer that has read the store itself is enough. If none has, the store is
        assumed to be down for all hosts only if a majority of the peers that were asked
        respond: a few hosts, or a region, may be partitioned from a store that others
        still see changing. Peers are asked in turn over the whole host list, so those
        asked within the limit are a representative sample at any number of hosts.
        """
        recent = {
            confirmation.peer: confirmation
            for confirmation in self._confirmations.values()
            if now - confirmation.asked_at <= self.limit_seconds
        }
        if not all(
            self._is_not_behind(confirmation) for confirmation in recent.values()
        ):
            return False
        if any(
            self._has_recent_store_read(confirmation, now)
            for confirmation in recent.values()
        ):
            return True
        asked = self._expected_responders(now) | set(recent)
        if len(asked) < min(self.host_count - 1, MIN_SAMPLE_PEERS):
            return False
        return len(recent) + 1 > (len(asked) + 1) / 2 and bool(recent)

    def _is_not_behind(self, confirmation: PeerConfirmation) -> bool:
        return confirmation.version <= self.version and confirmation.plan <= self.plan

    def _has_recent_store_read(
        self, confirmation: PeerConfirmation, now: float
    ) -> bool:
        return (
            now - confirmation.asked_at + confirmation.store_age <= self.limit_seconds
        )

    def _expected_responders(self, now: float) -> set[HostName]:
        """Return the peers whose responses should have arrived by now."""
        latest = now - RESPONSE_SECONDS
        return {
            peer
            for at, peer in self._queries
            if now - self.limit_seconds <= at <= latest
        }
