"""Requests a second that replicas take, by their own word, and this host's turns.

All hosts together keep a limit without a message for each request: every host spaces
its own requests by its share.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

from berylshift.ids import InstanceId
from berylshift.process.targets.limit_shares import LimitShare

# What a limit of nothing is taken for, so that its end is noticed.
LEAST_PER_SECOND = 0.02
# How long a limit has to stand before other replicas take over for good.
LASTING_SECONDS = 2.0
# Turns that a holder may save up beside the one that it has.
MOST_SAVED_TURNS = 0.25
# Hosts without a share that have an unused turn at one time, in the mean.
OPEN_TURNS = 0.5
# How long a share is gone by before the hosts are looked at again.
SHARE_SECONDS = 1.0


@dataclass
class _Limit:
    """A limit in requests a second, and what this host's next turn is counted by.

    The turn comes ``phase`` intervals after ``counted_from``.
    """

    per_second: float
    since: float
    confirmed_at: float
    counted_from: float
    phase: float
    share: LimitShare
    shared_at: float

    @property
    def interval(self) -> float:
        """Return the seconds between two turns of this host."""
        return 1 / (self.per_second * self.share.part)

    @property
    def turn_at(self) -> float:
        """Return when this host may send next."""
        return self.counted_from + self.phase * self.interval

    @property
    def lapses_at(self) -> float:
        """Return when a turn lapses that was not used.

        Kept, the turns of all hosts that hold no share would come in one burst.
        """
        if self.share.is_held:
            return float("inf")
        return self.turn_at + OPEN_TURNS * self.interval / self.share.others


class RateLimits:
    """Limits by replica; times in seconds on the monotonic clock."""

    def __init__(
        self, share_of: Callable[[InstanceId, float], LimitShare], rng: random.Random
    ):
        """Use this host's part of each limit, given replica and requests a second."""
        self._share_of = share_of
        self._rng = rng
        self._limits: dict[InstanceId, _Limit] = {}
        # The replicas closed to this host, and until when that is known to hold.
        self._closed: list[InstanceId] = []
        self._closed_until = float("-inf")

    def __len__(self) -> int:
        """Return how many replicas name a limit."""
        return len(self._limits)

    def set_limit(self, instance: InstanceId, per_second: float, now: float) -> bool:
        """Take over a limit that a replica names; return whether it had none."""
        per_second = max(LEAST_PER_SECOND, per_second)
        limit = self._limits.get(instance)
        if limit is not None:
            if per_second != limit.per_second:
                self._look_again()
            limit.per_second = per_second
            limit.confirmed_at = now
            return False
        self._look_again()
        share = self._share_of(instance, per_second)
        # Hosts learn of a limit together: a random phase keeps their turns apart.
        phase = self._rng.random()
        self._limits[instance] = _Limit(per_second, now, now, now, phase, share, now)
        return True

    def lift(self, instance: InstanceId, sent_at: float) -> bool:
        """Drop a limit that an answer no longer names; return whether there was one.

        An answer to what was sent before the limit was last named may be older.
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
        if now - limit.shared_at >= SHARE_SECONDS:
            limit.share = self._share_of(instance, limit.per_second)
            limit.shared_at = now
        if now > limit.lapses_at:
            limit.counted_from, limit.phase = now, self._rng.uniform(0, 2)
        return max(0.0, limit.turn_at - now)

    def sent(self, instance: InstanceId, now: float) -> None:
        """Note that this host's turn is used.

        A holder's next turn is counted from this one's beginning, so that its share is
        used up though callers do not come in time with its turns.
        """
        limit = self._limits.get(instance)
        if limit is None:
            return
        late = max(0.0, now - limit.turn_at) if limit.share.is_held else 0.0
        saved = min(late, MOST_SAVED_TURNS * limit.interval)
        limit.counted_from, limit.phase = now - saved, 1.0
        self._look_again()

    def closed(self, now: float) -> list[InstanceId]:
        """Return the replicas to which this host may not send now.

        Every request asks several times; the answer holds until the next turn.
        """
        if now < self._closed_until:
            return self._closed
        waits = {name: self.wait(name, now) for name in self._limits}
        self._closed = [name for name, wait in waits.items() if wait > 0]
        turn_in = min((waits[name] for name in self._closed), default=SHARE_SECONDS)
        self._closed_until = now + min(turn_in, SHARE_SECONDS)
        return self._closed

    def _look_again(self) -> None:
        """Have the closed replicas looked for anew."""
        self._closed_until = float("-inf")

    def retry_after(self, instance: InstanceId, now: float) -> float:
        """Return the seconds until some host may send to a replica."""
        limit = self._limits.get(instance)
        if limit is None:
            return 0.0
        return min(self.wait(instance, now), 1 / limit.per_second)

    def share(self, instance: InstanceId) -> LimitShare | None:
        """Return this host's share of a replica's limit, if that names one."""
        limit = self._limits.get(instance)
        return None if limit is None else limit.share

    def is_lasting(self, instance: InstanceId, now: float) -> bool:
        """Return whether a replica has named a limit for longer than a moment."""
        limit = self._limits.get(instance)
        return limit is not None and now - limit.since >= LASTING_SECONDS

    def forget(self, instance: InstanceId) -> None:
        """Drop a replica that is gone."""
        self._limits.pop(instance, None)
        self._look_again()
