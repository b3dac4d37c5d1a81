"""Rate limits that replicas state, and this host's send slots within them.

All hosts together keep a limit without a message for each request: every host spaces
its own requests by its share.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

from berylshift.ids import InstanceId
from berylshift.process.targets.limit_shares import LimitShare

# Used for a limit of zero, so that its end is noticed by the occasional request.
MIN_REQUESTS_PER_SECOND = 0.02
# A replica whose limit has been in force for this long is left out when engine phases
# are planned.
LASTING_SECONDS = 2.0
# Slots that a main sender may save up beside the current one.
MAX_SAVED_SLOTS = 0.25
# Mean number of hosts, of those that are not main senders, that have an unused slot at
# the same time.
MEAN_OPEN_SLOTS = 0.5
# How long a share is used before it is computed anew from the list of hosts.
SHARE_TTL_SECONDS = 0.25


@dataclass
class _Limit:
    """A limit, and what this host's next send slot is computed from.

    The slot begins ``phase`` intervals after ``counted_from``.
    """

    requests_per_second: float
    since: float
    confirmed_at: float
    counted_from: float
    phase: float
    share: LimitShare
    shared_at: float

    @property
    def interval_seconds(self) -> float:
        """Return the seconds between two slots of this host."""
        return 1 / (self.requests_per_second * self.share.fraction)

    @property
    def slot_at(self) -> float:
        """Return when this host may send next."""
        return self.counted_from + self.phase * self.interval_seconds

    @property
    def slot_expires_at(self) -> float:
        """Return when an unused slot expires.

        Without expiry the slots of all hosts that are not main senders would be used in
        one burst.
        """
        if self.share.is_main_sender:
            return float("inf")
        return (
            self.slot_at
            + MEAN_OPEN_SLOTS * self.interval_seconds / self.share.other_hosts
        )


class RateLimits:
    """Limits by replica; times in seconds on the monotonic clock."""

    def __init__(
        self, share_of: Callable[[InstanceId, float], LimitShare], rng: random.Random
    ):
        """Use ``share_of`` a replica and its limit in requests a second."""
        self._share_of = share_of
        self._rng = rng
        self._limits: dict[InstanceId, _Limit] = {}
        # The replicas that this host may not send to, and until when that is valid.
        self._blocked: list[InstanceId] = []
        self._blocked_until = float("-inf")

    def __len__(self) -> int:
        """Return how many replicas state a limit."""
        return len(self._limits)

    def set_limit(
        self, instance: InstanceId, requests_per_second: float, now: float
    ) -> bool:
        """Store a limit that a replica states; return whether it had none."""
        requests_per_second = max(MIN_REQUESTS_PER_SECOND, requests_per_second)
        limit = self._limits.get(instance)
        if limit is not None:
            if requests_per_second != limit.requests_per_second:
                self._invalidate_blocked()
            limit.requests_per_second = requests_per_second
            limit.confirmed_at = now
            return False
        self._invalidate_blocked()
        share = self._share_of(instance, requests_per_second)
        # Hosts learn of a limit together: a random phase spreads their slots.
        phase = self._rng.random()
        self._limits[instance] = _Limit(
            requests_per_second, now, now, now, phase, share, now
        )
        return True

    def lift(self, instance: InstanceId, sent_at: float) -> bool:
        """Remove a limit that a response no longer states; return if there was one.

        A response to a request sent before the limit was last stated is ignored, since
        it may be older than the limit.
        """
        limit = self._limits.get(instance)
        if limit is None or sent_at <= limit.confirmed_at:
            return False
        self.forget(instance)
        return True

    def wait(self, instance: InstanceId, now: float) -> float:
        """Return the seconds until this host may send to a replica; 0: now."""
        limit = self._limits.get(instance)
        if limit is None:
            return 0.0
        if now - limit.shared_at >= SHARE_TTL_SECONDS:
            limit.share = self._share_of(instance, limit.requests_per_second)
            limit.shared_at = now
        if now > limit.slot_expires_at:
            limit.counted_from, limit.phase = now, self._rng.uniform(0, 2)
        return max(0.0, limit.slot_at - now)

    def record_sent(self, instance: InstanceId, now: float) -> None:
        """Record that this host's send slot is used.

        A main sender's next slot is counted from the beginning of this one, so that its
        share is used up although callers arrive at random times.
        """
        limit = self._limits.get(instance)
        if limit is None:
            return
        late = max(0.0, now - limit.slot_at) if limit.share.is_main_sender else 0.0
        saved = min(late, MAX_SAVED_SLOTS * limit.interval_seconds)
        limit.counted_from, limit.phase = now - saved, 1.0
        self._invalidate_blocked()

    def blocked(self, now: float) -> list[InstanceId]:
        """Return the replicas to which this host may not send now.

        Every request asks several times; the result is cached until the next slot.
        """
        if now < self._blocked_until:
            return self._blocked
        waits = {name: self.wait(name, now) for name in self._limits}
        self._blocked = [name for name, wait in waits.items() if wait > 0]
        slot_in = min(
            (waits[name] for name in self._blocked), default=SHARE_TTL_SECONDS
        )
        self._blocked_until = now + min(slot_in, SHARE_TTL_SECONDS)
        return self._blocked

    def _invalidate_blocked(self) -> None:
        """Have the blocked replicas computed anew."""
        self._blocked_until = float("-inf")

    def retry_after(self, instance: InstanceId, now: float) -> float:
        """Return the seconds until some host may send to a replica."""
        limit = self._limits.get(instance)
        if limit is None:
            return 0.0
        return min(self.wait(instance, now), 1 / limit.requests_per_second)

    def share(self, instance: InstanceId) -> LimitShare | None:
        """Return this host's share of a replica's limit, if the replica states one."""
        limit = self._limits.get(instance)
        return None if limit is None else limit.share

    def is_lasting(self, instance: InstanceId, now: float) -> bool:
        """Return whether a limit has been in force for ``LASTING_SECONDS``."""
        limit = self._limits.get(instance)
        return limit is not None and now - limit.since >= LASTING_SECONDS

    def forget(self, instance: InstanceId) -> None:
        """Remove a replica that is gone."""
        self._limits.pop(instance, None)
        self._invalidate_blocked()
