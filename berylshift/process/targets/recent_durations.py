"""How long requests of each route take just now."""

from collections import deque

import msgspec

from berylshift.clock import Clock
from berylshift.ids import RouteName

# Requests that the longest is taken of: one in 65 is longer than the 64 before it, and
# far fewer are half as long again.
SAMPLES = 64
# Fewer say nothing of how long the next one takes.
LEAST_SAMPLES = 8
# Older ones say nothing of engines that have turned slow since. A host that gets one
# request of a route in two seconds has enough of them by then.
KEPT_SECONDS = 30.0
# How much longer than the longest of these a request is taken to last.
SAFETY = 1.5
UNKNOWN = float("inf")


class Lasted(msgspec.Struct, frozen=True):
    """A request that has ended; times in seconds."""

    ended_at: float
    seconds: float


class OpenRequest(msgspec.Struct, frozen=True, eq=False):
    """A request under way, and when it began, on the loop's clock."""

    route: RouteName
    started_at: float


class RouteTimes:
    """The newest requests of one route, and those that are open."""

    def __init__(self) -> None:
        """Begin with none."""
        self.ended: deque[Lasted] = deque(maxlen=SAMPLES)
        self.open: set[OpenRequest] = set()

    def is_stale(self, now: float) -> bool:
        """Return whether nothing here tells of just now."""
        newest = self.ended[-1].ended_at if self.ended else float("-inf")
        return not self.open and now - newest > KEPT_SECONDS


class RecentTimes:
    """Tells in how many seconds requests surely end, by those of just now."""

    def __init__(self, clock: Clock):
        """Begin without a sample."""
        self._clock = clock
        self._routes: dict[RouteName, RouteTimes] = {}
        self._dropped_at = clock.monotonic()

    def begin(self, route: RouteName) -> OpenRequest:
        """Note a request that begins."""
        now = self._clock.monotonic()
        if route not in self._routes:
            self._drop_stale(now)
            self._routes[route] = RouteTimes()
        req = OpenRequest(route, now)
        self._routes[route].open.add(req)
        return req

    def end(self, req: OpenRequest, tells: bool) -> None:
        """Note its end; ``tells``: it took what such requests take."""
        times = self._routes[req.route]
        times.open.remove(req)
        if tells:
            now = self._clock.monotonic()
            times.ended.append(Lasted(now, now - req.started_at))

    def _drop_stale(self, now: float) -> None:
        """Drop what tells nothing any more: routes come and go with each version."""
        if now - self._dropped_at < KEPT_SECONDS:
            return
        self._dropped_at = now
        stale = [name for name, times in self._routes.items() if times.is_stale(now)]
        for name in stale:
            del self._routes[name]

    def likely(self, route: RouteName) -> float:
        """Return the seconds in which a request ends all but surely.

        Open requests count by their age: an engine that stands still ends none.
        ``UNKNOWN`` where too few requests have ended of late.
        """
        times = self._routes.get(route)
        if times is None:
            return UNKNOWN
        now = self._clock.monotonic()
        fresh = [
            lasted.seconds
            for lasted in times.ended
            if now - lasted.ended_at <= KEPT_SECONDS
        ]
        if len(fresh) < LEAST_SAMPLES:
            return UNKNOWN
        ages = [now - req.started_at for req in times.open]
        return SAFETY * max([*fresh, *ages])
