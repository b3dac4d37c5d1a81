"""The operators' configuration as the platform keeps it, turned into routes."""

import logging
from typing import Annotated

import msgspec

from berylshift.ids import (
    CustomerName,
    DomainName,
    RouteName,
    ServiceName,
    TableVersion,
)
from berylshift.store.directory import MalformedEntryError
from berylshift.version.customers import ApiKey, Customer, CustomerKeys
from berylshift.version.routes import (
    CallerLimits,
    DomainPrice,
    EngineFacts,
    Route,
    RouteKind,
    RouteTable,
    Scaling,
    Service,
    ServiceShare,
)

logger = logging.getLogger(__name__)

KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.AT_MOST_ONCE,
    "streaming": RouteKind.STREAM,
}


class _Share(msgspec.Struct):
    service: str
    weight: int


class _Route(msgspec.Struct):
    name: str
    host: str
    prefix: str
    route_kind: str
    timeout_ms: float
    target_latency_ms: float = 0.0
    priority: int = 5
    service: str = ""
    # A split over several services; then ``service`` is left out.
    backends: list[_Share] = []
    max_attempts: int = 1
    # Says that requests describe their prompt, not that a session is pinned.
    session_affinity: bool = False
    resumable: bool = False
    # The longest pause between two events, not a time between single tokens.
    target_itl_ms: float = 0.0
    # Taken without a customer's key.
    public: bool = False


class _Engine(msgspec.Struct):
    batch_slots: int
    kv_capacity: int
    kv_bytes: int
    bandwidth_mbps: float


class _Scaling(msgspec.Struct):
    min_replicas: int
    max_replicas: int
    boot_s: float
    # A part of the price of other replicas, not a bound on what is offered for one.
    max_spot_price: float | None = None
    zone_prices: dict[str, float] = {}


class _Service(msgspec.Struct):
    name: str
    max_connections: int = 0
    engine: _Engine | None = None
    scaling: _Scaling | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class _Tenant(msgspec.Struct):
    name: Annotated[str, msgspec.Meta(min_length=1)]
    api_keys: list[str] = []
    priority: int | None = None


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # An empty list lets nobody use a route that is not public; none at all means that
    # no route asks for a key.
    tenants: list[_Tenant] | None = None


def read_routes(data: bytes) -> RouteTable:
    """Return the routes of a configuration; raise ``MalformedEntryError``."""
    try:
        found = msgspec.json.decode(data, type=_Configuration)
        _tell_unknown_parts(data, found.version)
        return _table(found)
    except (msgspec.DecodeError, KeyError) as exc:
        raise MalformedEntryError(f"configuration: {exc}") from exc


def _tell_unknown_parts(data: bytes, version: int) -> None:
    """Log which parts of a configuration are passed over; their values may be secret.

    A part that is new on the platform would otherwise go unseen until a rule breaks.
    """
    parts = msgspec.json.decode(data, type=dict[str, msgspec.Raw])
    unknown = sorted(parts.keys() - set(_Configuration.__struct_fields__))
    if unknown:
        logger.warning(
            "parts passed over", extra={"version": version, "parts": unknown}
        )


def _table(found: _Configuration) -> RouteTable:
    limits = CallerLimits(
        header_bytes=found.limits.max_header_bytes,
        body_bytes=found.limits.max_body_bytes,
        header_seconds=found.limits.header_timeout_ms / 1000,
        idle_seconds=found.limits.idle_timeout_ms / 1000,
    )
    return RouteTable(
        TableVersion(found.version),
        tuple(_route(route) for route in found.routes),
        tuple(_service(service) for service in found.services),
        limits,
        None if found.tenants is None else _customers(found.tenants),
    )


def _customers(tenants: list[_Tenant]) -> CustomerKeys:
    found = CustomerKeys()
    for tenant in tenants:
        customer = Customer(CustomerName(tenant.name), tenant.priority)
        found.add(customer, (ApiKey(key.encode()) for key in tenant.api_keys))
    return found


def _route(route: _Route) -> Route:
    shares = [_Share(route.service, 1)] if route.service else route.backends
    return Route(
        name=RouteName(route.name),
        host=route.host.lower(),
        prefix=route.prefix,
        kind=KINDS[route.route_kind],
        timeout=route.timeout_ms / 1000,
        objective_seconds=route.target_latency_ms / 1000,
        rank=route.priority,
        shares=tuple(
            ServiceShare(ServiceName(share.service), share.weight) for share in shares
        ),
        most_attempts=route.max_attempts,
        prompted=route.session_affinity,
        resumable=route.resumable,
        pause=route.target_itl_ms / 1000,
        public=route.public,
    )


def _service(service: _Service) -> Service:
    engine = service.engine
    facts = engine and EngineFacts(
        slots=engine.batch_slots,
        kv_tokens=engine.kv_capacity,
        kv_token_bytes=engine.kv_bytes,
        link_mbps=engine.bandwidth_mbps,
    )
    scaling = service.scaling and _scaling(service.scaling)
    name = ServiceName(service.name)
    return Service(name, service.max_connections, facts, scaling)


def _scaling(scaling: _Scaling) -> Scaling:
    prices = scaling.zone_prices.items()
    return Scaling(
        least=scaling.min_replicas,
        most=scaling.max_replicas,
        boot_seconds=scaling.boot_s,
        interruptible_price=scaling.max_spot_price,
        prices=tuple(DomainPrice(DomainName(zone), price) for zone, price in prices),
    )
