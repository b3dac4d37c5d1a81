"""When routes were moved to other services."""

from berylshift.ids import RouteName, ServiceName
from berylshift.version.routes import RouteTable


class RouteMoves:
    """Moves by route; times in seconds on the monotonic clock."""

    def __init__(self) -> None:
        """Start without routes."""
        self._services: dict[RouteName, frozenset[ServiceName]] = {}
        self._moved_at: dict[RouteName, float] = {}

    def observe(self, table: RouteTable, now: float) -> set[ServiceName]:
        """Record the routes in force; return services that lost a route."""
        left: set[ServiceName] = set()
        found = {
            route.name: frozenset(share.service for share in route.shares)
            for route in table.routes
        }
        for name, services in found.items():
            former = self._services.get(name, services)
            if former != services:
                self._moved_at[name] = now
                left |= former - services
        self._services = found
        self._moved_at = {
            name: at for name, at in self._moved_at.items() if name in found
        }
        return left

    def moved_within(self, route: RouteName, seconds: float, now: float) -> bool:
        """Return whether a route was moved in the last ``seconds``."""
        return now - self._moved_at.get(route, float("-inf")) < seconds
