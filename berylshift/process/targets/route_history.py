"""The routes that led requests' paths recently, and the services they led to."""

from collections import deque
from collections.abc import Iterator

import msgspec

from berylshift.ids import ServiceName, TableVersion
from berylshift.version.routes import Route, RouteKind, RouteTable

# Former routes that are kept at most, and for how long after they were replaced.
MAX_ROUTES = 2048
MAX_SECONDS = 600.0
# A route, and how many seconds ago it was last in force.
FormerRoute = tuple[Route, float]
# The host and the prefix of a route.
RouteKey = tuple[str, str]
Services = frozenset[ServiceName]
NO_SERVICES: Services = frozenset()


class _Replaced(msgspec.Struct, frozen=True):
    """A route that was changed or removed, and when."""

    route: Route
    at: float


class RouteHistory:
    """Routes of earlier tables; times in seconds on the monotonic clock.

    The past is known as far back as the tables have been followed without a gap.
    """

    def __init__(self) -> None:
        """Start without routes and without a known past."""
        self._table: RouteTable | None = None
        self._by_key: dict[RouteKey, Route] = {}
        self._former: deque[_Replaced] = deque(maxlen=MAX_ROUTES)
        # Services of removed routes whose paths no route leads anywhere.
        self._unrouted: dict[RouteKey, tuple[Services, float]] = {}
        # When streams of other services were last led to a service.
        self._gained_at: dict[ServiceName, float] = {}
        self._known_since: float | None = None
        # The version from which on all tables are known.
        self.known_from: TableVersion | None = None

    @property
    def version(self) -> TableVersion | None:
        """Return the version in force; ``None``: none is."""
        return None if self._table is None else self._table.version

    def forget_past(self, now: float) -> None:
        """Record that tables may have come and gone unseen until now."""
        if self._table is not None:
            self._known_since, self.known_from = now, self._table.version

    def extend_past(self, since: float) -> None:
        """Record that no tables but those known were in force from a time on."""
        if self._known_since is not None:
            self._known_since = min(self._known_since, since)

    def observe(self, table: RouteTable, now: float) -> set[ServiceName]:
        """Record the routes in force; return services whose streams may move."""
        former, before = self._table, self._by_key
        # The keys of customers take memory and are not needed.
        self._table = RouteTable(table.version, table.routes, (), table.limits)
        self._by_key = {(route.host, route.prefix): route for route in table.routes}
        if former is None:
            self._known_since, self.known_from = now, table.version
            return set()
        self._drop_old(now)
        lost: set[ServiceName] = set()
        for key in before.keys() | self._by_key.keys():
            if before.get(key) == self._by_key.get(key):
                continue
            if key in before:
                self._former.append(_Replaced(before[key], now))
            lost |= self._record_move(key, former, now)
        return lost | self._record_routed(now)

    def _record_move(
        self, key: RouteKey, former: RouteTable, now: float
    ) -> set[ServiceName]:
        """Record where streams of a path are led; return the services they leave."""
        old = _services(former.match(*key)) or self._services_unrouted(key)
        new = _services(self._table.match(*key))
        if not new and old:
            self._unrouted[key] = old, now
        elif old - new:
            self._gained_at.update(dict.fromkeys(new, now))
        return set(old - new)

    def _services_unrouted(self, key: RouteKey) -> Services:
        """Return the services to which a path was led before no route led it."""
        host, path = key
        prefixes = (path[: end + 1] for end, mark in enumerate(path) if mark == "/")
        found = (self._unrouted.get((host, prefix)) for prefix in prefixes)
        return frozenset().union(*(each[0] for each in found if each is not None))

    def _record_routed(self, now: float) -> set[ServiceName]:
        """Record paths that a wider route leads again."""
        lost: set[ServiceName] = set()
        for key, (old, _) in list(self._unrouted.items()):
            new = _services(self._table.match(*key))
            if new:
                del self._unrouted[key]
            if new and old - new:
                self._gained_at.update(dict.fromkeys(new, now))
                lost |= old - new
        return lost

    def _drop_old(self, now: float) -> None:
        while self._former and now - self._former[0].at > MAX_SECONDS:
            self._former.popleft()
        for key, (_, at) in list(self._unrouted.items()):
            if now - at <= MAX_SECONDS and len(self._unrouted) <= MAX_ROUTES:
                return
            del self._unrouted[key]

    def former_routes(self, host: str, path: str, now: float) -> list[FormerRoute]:
        """Return the routes that may have led a path before."""
        return [
            (each.route, now - each.at) for each in self._former_of(host, path, now)
        ]

    def _former_of(self, host: str, path: str, now: float) -> Iterator[_Replaced]:
        for each in self._former:
            is_prefix = path.startswith(each.route.prefix)
            if each.route.host == host and is_prefix and now - each.at <= MAX_SECONDS:
                yield each

    def may_have_open_streams(self, now: float) -> bool:
        """Return whether streams of former routes may still go on."""
        return any(
            now - each.at < each.route.resumable_seconds
            for each in self._former
            if each.route.kind is RouteKind.STREAM
        )

    def has_gained(self, service: ServiceName, seconds: float, now: float) -> bool:
        """Return whether paths of another service were led to this one recently."""
        return now - self._gained_at.get(service, float("-inf")) < seconds

    def is_complete(self, seconds: float, now: float) -> bool:
        """Return whether the tables of the last ``seconds`` are all known."""
        return self._known_since is not None and now - self._known_since >= seconds


def _services(route: Route | None) -> Services:
    """Return the services to which a route leads streams."""
    if route is None or route.kind is not RouteKind.STREAM:
        return NO_SERVICES
    return frozenset(share.service for share in route.shares)
