"""Recent durations of each route's requests."""

from collections import deque

import msgspec

from berylshift.clock import Clock
from berylshift.ids import RouteName

# Requests that the maximum is taken of. One request in 65 is longer than the 64 before
# it, and far fewer exceed them by the safety factor.
MAX_SAMPLES = 64
# Fewer samples do not predict how long the next request takes.
MIN_SAMPLES = 8
# Older samples do not reflect engines that have become slow since. A host that gets one
# request of a route in two seconds has enough samples within this time.
SAMPLE_TTL_SECONDS = 30.0
# Margin above the longest sample.
SAFETY_FACTOR = 1.5
UNKNOWN = float("inf")


class FinishedRequest(msgspec.Struct, frozen=True):
    """A request that has ended; times in seconds."""

    ended_at: float
    seconds: float


class OpenRequest(msgspec.Struct, frozen=True, eq=False):
    """A request in flight, and when it began, on the loop's clock."""

    route: RouteName
    started_at: float


class RouteDurations:
    """The newest finished requests of one route, and those in flight."""

    def __init__(self) -> None:
        """Begin with none."""
        self.finished: deque[FinishedRequest] = deque(maxlen=MAX_SAMPLES)
        self.open: set[OpenRequest] = set()

    def is_stale(self, now: float) -> bool:
        """Return whether no request is in flight and all samples are too old."""
        newest = self.finished[-1].ended_at if self.finished else float("-inf")
        return not self.open and now - newest > SAMPLE_TTL_SECONDS


class RecentDurations:
    """Predicts by when requests have almost certainly ended."""

    def __init__(self, clock: Clock):
        """Begin without a sample."""
        self._clock = clock
        self._routes: dict[RouteName, RouteDurations] = {}
        self._dropped_at = clock.monotonic()

    def begin(self, route: RouteName) -> OpenRequest:
        """Record the start of a request."""
        now = self._clock.monotonic()
        if route not in self._routes:
            self._drop_stale(now)
            self._routes[route] = RouteDurations()
        req = OpenRequest(route, now)
        self._routes[route].open.add(req)
        return req

    def end(self, req: OpenRequest, is_sample: bool) -> None:
        """Record its end; ``is_sample``: its duration is typical of the route."""
        durations = self._routes[req.route]
        durations.open.remove(req)
        if is_sample:
            now = self._clock.monotonic()
            durations.finished.append(FinishedRequest(now, now - req.started_at))

    def _drop_stale(self, now: float) -> None:
        """Remove stale routes: routes come and go with each table version."""
        if now - self._dropped_at < SAMPLE_TTL_SECONDS:
            return
        self._dropped_at = now
        stale = [
            name for name, durations in self._routes.items() if durations.is_stale(now)
        ]
        for name in stale:
            del self._routes[name]

    def upper_bound(self, route: RouteName) -> float:
        """Return the seconds within which a request almost certainly ends.

        Requests in flight count with their age, since a hung engine finishes none.
        ``UNKNOWN`` if too few requests have ended recently.
        """
        durations = self._routes.get(route)
        if durations is None:
            return UNKNOWN
        now = self._clock.monotonic()
        fresh = [
            finished.seconds
            for finished in durations.finished
            if now - finished.ended_at <= SAMPLE_TTL_SECONDS
        ]
        if len(fresh) < MIN_SAMPLES:
            return UNKNOWN
        ages = [now - req.started_at for req in durations.open]
        return SAFETY_FACTOR * max([*fresh, *ages])
