"""One version of the routes: which services handle which host and path."""

from enum import StrEnum
from functools import cached_property

import msgspec

from berylshift.ids import DomainName, RouteName, ServiceName, TableVersion
from berylshift.version.customers import CustomerKeys

MIN_CALLER_PATIENCE_SECONDS = 2.0


class RouteKind(StrEnum):
    """Whether and how requests of a route may be retried."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"
    STREAM = "stream"


class ServiceShare(msgspec.Struct, frozen=True):
    """A service's share of a route's requests; ``weight`` is relative."""

    service: ServiceName
    weight: int


# How long after a try a caller may come back, in seconds.
MAX_RETURN_SECONDS = 5.0
# Tries of one caller that a stream may last.
MAX_TRIES = 2


class Route(msgspec.Struct, frozen=True):
    """Rules for the requests of one HTTP host below one path prefix.

    ``objective_seconds`` is the latency objective: the longest acceptable time to the
    first event (streams) or to the response. ``event_gap_seconds`` is the longest
    acceptable time between two events of a stream. ``rank`` 0 is the most urgent. With
    ``has_prompt_info``, requests describe their prompt in headers. A ``public`` route
    accepts requests without a customer's key.
    """

    name: RouteName
    host: str
    prefix: str
    kind: RouteKind
    timeout_seconds: float
    objective_seconds: float
    rank: int
    shares: tuple[ServiceShare, ...]
    max_attempts: int
    has_prompt_info: bool = False
    resumable: bool = False
    event_gap_seconds: float = 0.0
    public: bool = False

    def with_rank(self, rank: int | None) -> "Route":
        """Return the route with the rank of a customer; ``None`` keeps the route's."""
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
    def resumable_seconds(self) -> float:
        """Return for how long a stream may be resumed after it began by this route."""
        return MAX_TRIES * self.timeout_seconds + MAX_RETURN_SECONDS

    @property
    def caller_patience_seconds(self) -> float:
        """Return how long a caller waits for a stream's next event.

        The platform's callers wait for the longest of 2 seconds, 4 times the latency
        objective and 8 times the event gap. For other kinds it is the timeout.
        """
        if self.kind is not RouteKind.STREAM:
            return self.timeout_seconds
        longest = max(
            MIN_CALLER_PATIENCE_SECONDS,
            4 * self.objective_seconds,
            8 * self.event_gap_seconds,
        )
        return min(self.timeout_seconds, longest)


class EngineFacts(msgspec.Struct, frozen=True):
    """Capacity of each engine of a service."""

    slots: int
    kv_capacity_tokens: int
    kv_bytes_per_token: int
    link_mbps: float


class DomainPrice(msgspec.Struct, frozen=True):
    """Price per second of an on-demand replica in a domain, in the platform's unit."""

    domain: DomainName
    price: float


class Scaling(msgspec.Struct, frozen=True):
    """How many replicas a service may have in each domain, and their prices.

    The bounds apply to on-demand and interruptible replicas together.
    ``interruptible_price`` is the price of an interruptible replica as a fraction of
    an on-demand one's; ``None``: there are none. A new replica is ready after
    ``boot_seconds``.
    """

    min_replicas: int
    max_replicas: int
    boot_seconds: float
    interruptible_price: float | None = None
    prices: tuple[DomainPrice, ...] = ()


class Service(msgspec.Struct, frozen=True):
    """A service that routes refer to.

    ``engine`` is set if it serves a model, ``scaling`` if its replicas can be scaled.
    """

    name: ServiceName
    max_connections: int
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
        """Index routes and services, which must be valid already.

        ``customers`` may use routes that are not public; ``None``: no route requires a
        key.
        """
        self.version = version
        self.routes = routes
        self.services = {service.name: service for service in services}
        self.limits = limits
        self.customers = customers

    @cached_property
    def _by_host_and_prefix(self) -> dict[tuple[str, str], Route]:
        return {(route.host, route.prefix): route for route in self.routes}

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of ``host`` with the longest prefix that matches ``path``.

        Every prefix ends with a slash, so only the prefixes that end at a slash of the
        path are tried: the cost does not depend on the number of routes.
        """
        end = len(path)
        while (slash := path.rfind("/", 0, end)) >= 0:
            route = self._by_host_and_prefix.get((host, path[: slash + 1]))
            if route is not None:
                return route
            end = slash
        return None
