"""One version of the routes: which service answers which host and path."""

from enum import StrEnum
from functools import cached_property

import msgspec

from berylshift.ids import DomainName, RouteName, ServiceName, TableVersion
from berylshift.version.customers import CustomerKeys

LEAST_PATIENCE = 2.0


class RouteKind(StrEnum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"
    STREAM = "stream"


class ServiceShare(msgspec.Struct, frozen=True):
    """A service's share of a route's requests; ``weight`` is relative."""

    service: ServiceName
    weight: int


class Route(msgspec.Struct, frozen=True):
    """Requests of one host below one path prefix; times in seconds.

    ``objective`` is the time to the first event (streams) or to the answer that
    still counts as good; ``pause`` is the same for two events of a stream. ``rank`` 0
    is the most urgent. ``prompted`` requests say what their prompt is made of. A
    ``public`` route takes requests without a customer's key.
    """

    name: RouteName
    host: str
    prefix: str
    kind: RouteKind
    timeout: float
    objective_seconds: float
    rank: int
    shares: tuple[ServiceShare, ...]
    most_attempts: int
    prompted: bool = False
    resumable: bool = False
    pause: float = 0.0
    public: bool = False

    def ranked(self, rank: int | None) -> "Route":
        """Return the route as it is for a customer of ``rank``; ``None``: as it is."""
        if rank is None or rank == self.rank:
            return self
        return msgspec.structs.replace(self, rank=rank)

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT

    @property
    def patience(self) -> float:
        """Return the seconds after which a caller leaves a stream without an event.

        The platform's callers wait two seconds, four times the objective or eight
        times the pause, whichever is longest.
        """
        if self.kind is not RouteKind.STREAM:
            return self.timeout
        longest = max(LEAST_PATIENCE, 4 * self.objective_seconds, 8 * self.pause)
        return min(self.timeout, longest)


class EngineFacts(msgspec.Struct, frozen=True):
    """What the engines of a service can do."""

    slots: int
    kv_tokens: int
    kv_token_bytes: int
    link_mbps: float


class DomainPrice(msgspec.Struct, frozen=True):
    """What a second of a standing replica costs in a domain, in the platform's unit."""

    domain: DomainName
    price: float


class Scaling(msgspec.Struct, frozen=True):
    """How many replicas a service may have in each domain, and what they cost.

    ``least`` and ``most`` hold for both kinds together. ``interruptible_price`` is the
    price of an interruptible replica as a part of a standing one's; ``None``: there
    are none. A new replica serves after ``boot_seconds``.
    """

    least: int
    most: int
    boot_seconds: float
    interruptible_price: float | None = None
    prices: tuple[DomainPrice, ...] = ()


class Service(msgspec.Struct, frozen=True):
    """A service that routes name.

    ``engine`` is set where it serves a model, ``scaling`` where replicas of it can be
    ordered.
    """

    name: ServiceName
    most_connections: int
    engine: EngineFacts | None = None
    scaling: Scaling | None = None


class CallerLimits(msgspec.Struct, frozen=True):
    """Bounds on callers' requests; sizes in bytes, times in seconds."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


class RouteTable:
    """All routes and services of one version, indexed for look-up."""

    def __init__(
        self,
        version: TableVersion,
        routes: tuple[Route, ...],
        services: tuple[Service, ...],
        limits: CallerLimits,
        customers: CustomerKeys | None = None,
    ):
        """Take routes and services as checked.

        ``customers``: who may use routes that are not public; ``None``: no route asks
        for a key.
        """
        self.version = version
        self.routes = routes
        self.services = {service.name: service for service in services}
        self.limits = limits
        self.customers = customers

    @cached_property
    def _by_place(self) -> dict[tuple[str, str], Route]:
        return {(route.host, route.prefix): route for route in self.routes}

    def match(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix that begins ``path``.

        Every prefix ends with a slash, so only the slashes of the path are tried:
        the cost does not grow with the number of routes.
        """
        end = len(path)
        while (slash := path.rfind("/", 0, end)) >= 0:
            route = self._by_place.get((host, path[: slash + 1]))
            if route is not None:
                return route
            end = slash
        return None
