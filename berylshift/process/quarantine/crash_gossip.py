"""Selects which crashes and completions are gossiped to other hosts, and how long."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

from berylshift.ids import Fingerprint

# How long an update is sent: it is in two sums of a collector, or in six digests of a
# host that sends to all others itself, so that one or two of them may be lost.
GOSSIP_SECONDS = 0.5
# The same for an update that no digest had room for.
MAX_PENDING_SECONDS = 2.0
# How often crashes of quarantined requests are sent again, for hosts that have started,
# were paused or were partitioned in the meantime.
RESEND_SECONDS = 2.0
# Crashes in one digest; they take up a sixth of a datagram.
MAX_CRASHES_PER_DIGEST = 16
MAX_COMPLETIONS_PER_DIGEST = 8
# Updates that wait to be sent; beyond that the oldest are dropped.
MAX_PENDING_UPDATES = 512

CrashKey = tuple[Fingerprint, int]
Key = TypeVar("Key")


@dataclass
class _Update:
    """An update, since when it is being sent, and how many times it was.

    ``is_own_domain``: it was observed by a host of this host's failure domain.
    """

    since: float
    is_own_domain: bool
    sent_count: int = 0


class CrashGossip:
    """Pending updates; times in seconds, replicas by the hashes of their names."""

    def __init__(
        self,
        quarantined: Callable[[], list[CrashKey]],
        gossip_seconds: float,
        weight: Callable[[CrashKey], int] = lambda key: 0,
    ):
        """Send each update for ``gossip_seconds``, and resend ``quarantined``.

        ``quarantined`` returns the crashes of quarantined requests, the most important
        first. Of crashes that were sent as often, those with more ``weight`` go first.
        """
        self._weight = weight
        self._quarantined = quarantined
        self._gossip_seconds = gossip_seconds
        self._crashes: OrderedDict[CrashKey, _Update] = OrderedDict()
        self._completions: OrderedDict[Fingerprint, _Update] = OrderedDict()
        self._resent_at = float("-inf")
        # Where the next resending begins among the crashes.
        self._resend_from = 0

    def add_crash(
        self, request: Fingerprint, target: int, now: float, is_own_domain: bool
    ) -> None:
        """Add the crash of a replica that was running a request."""
        _add(self._crashes, (request, target), _Update(now, is_own_domain))

    def add_completion(
        self, request: Fingerprint, now: float, is_own_domain: bool
    ) -> None:
        """Add the completion of a suspect request."""
        _add(self._completions, request, _Update(now, is_own_domain))

    def count_pending_crashes(self, now: float, own_domain_only: bool) -> int:
        """Return how many crashes the next digest holds."""
        if now - self._resent_at >= RESEND_SECONDS:
            self._resent_at = now
            for key in reversed(self._next_to_resend()):
                _add(self._crashes, key, _Update(now, True))
        return min(
            MAX_CRASHES_PER_DIGEST,
            len(self._pending(self._crashes, now, own_domain_only)),
        )

    def _next_to_resend(self) -> list[CrashKey]:
        """Return the next crashes to resend, in turn if a digest can't hold all."""
        keys = self._quarantined()
        if len(keys) <= MAX_CRASHES_PER_DIGEST:
            return keys
        begin = self._resend_from % len(keys)
        self._resend_from = begin + MAX_CRASHES_PER_DIGEST
        return [*keys[begin:], *keys[:begin]][:MAX_CRASHES_PER_DIGEST]

    def take_crashes(self, now: float, own_domain_only: bool) -> list[CrashKey]:
        """Return the crashes for this digest, those sent least often first.

        Each request that was running on a crashed replica may be the cause, and a
        digest may hold only some of them.
        """
        count = self.count_pending_crashes(now, own_domain_only)
        pending = self._pending(self._crashes, now, own_domain_only)
        taken = sorted(
            pending, key=lambda key: (self._crashes[key].sent_count, -self._weight(key))
        )[:count]
        for key in taken:
            self._crashes[key].sent_count += 1
        return taken

    def pending_completions(
        self, now: float, own_domain_only: bool
    ) -> tuple[Fingerprint, ...]:
        """Return the suspect requests that completed, the newest first."""
        return tuple(
            self._pending(self._completions, now, own_domain_only)[
                :MAX_COMPLETIONS_PER_DIGEST
            ]
        )

    def _pending(
        self, updates: OrderedDict[Key, _Update], now: float, own_domain_only: bool
    ) -> list[Key]:
        """Drop updates that were sent long enough; return the rest, newest first."""
        counts_sends = updates is self._crashes
        while updates:
            key, update = next(iter(updates.items()))
            age = now - update.since
            if age < self._gossip_seconds:
                break
            is_unsent = counts_sends and not update.sent_count
            if is_unsent and age < MAX_PENDING_SECONDS:
                break
            del updates[key]
        newest = reversed(updates.items())
        return [
            key for key, update in newest if update.is_own_domain or not own_domain_only
        ]


def _add(updates: OrderedDict[Key, _Update], key: Key, update: _Update) -> None:
    updates[key] = update
    updates.move_to_end(key)
    if len(updates) > MAX_PENDING_UPDATES:
        updates.popitem(last=False)
