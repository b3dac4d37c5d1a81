"""Parses the operators' configuration in the platform's format."""

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
from berylshift.messages.json_decoding import MalformedJsonError, decode_json
from berylshift.store.interfaces import MalformedEntryError
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

ROUTE_KINDS = {
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
    # Set instead of ``service`` to split requests over several services.
    backends: list[_Share] = []
    max_attempts: int = 1
    # Means that requests describe their prompt, not that sessions are pinned.
    session_affinity: bool = False
    resumable: bool = False
    # The longest gap between two events, not between single tokens.
    target_itl_ms: float = 0.0
    # Accepts requests without a customer's key.
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
    # A fraction of the on-demand price, not the maximum bid for a replica.
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
    # If empty, nobody can use routes that are not public; if absent, no route requires
    # a key.
    tenants: list[_Tenant] | None = None


def parse_configuration(data: bytes) -> RouteTable:
    """Return the routes in a configuration; raise ``MalformedEntryError``."""
    try:
        configuration = decode_json(data, _Configuration)
        _log_unknown_fields(data, configuration.version)
        return _table(configuration)
    except (MalformedJsonError, KeyError) as exc:
        raise MalformedEntryError(f"configuration: {exc}") from exc


def _log_unknown_fields(data: bytes, version: int) -> None:
    """Log the names of ignored fields; their values may be secret.

    Otherwise a field that is new on the platform goes unnoticed until a rule breaks.
    """
    fields = decode_json(data, dict[str, msgspec.Raw])
    unknown = sorted(fields.keys() - set(_Configuration.__struct_fields__))
    if unknown:
        logger.warning(
            "unknown configuration fields ignored",
            extra={"version": version, "parts": unknown},
        )


def _table(configuration: _Configuration) -> RouteTable:
    limits = CallerLimits(
        header_bytes=configuration.limits.max_header_bytes,
        body_bytes=configuration.limits.max_body_bytes,
        header_seconds=configuration.limits.header_timeout_ms / 1000,
        idle_seconds=configuration.limits.idle_timeout_ms / 1000,
    )
    return RouteTable(
        TableVersion(configuration.version),
        tuple(_route(route) for route in configuration.routes),
        tuple(_service(service) for service in configuration.services),
        limits,
        None if configuration.tenants is None else _customers(configuration.tenants),
    )


def _customers(tenants: list[_Tenant]) -> CustomerKeys:
    customer_keys = CustomerKeys()
    for tenant in tenants:
        customer = Customer(CustomerName(tenant.name), tenant.priority)
        customer_keys.add(customer, (ApiKey(key.encode()) for key in tenant.api_keys))
    return customer_keys


def _route(route: _Route) -> Route:
    shares = [_Share(route.service, 1)] if route.service else route.backends
    return Route(
        name=RouteName(route.name),
        host=route.host.lower(),
        prefix=route.prefix,
        kind=ROUTE_KINDS[route.route_kind],
        timeout_seconds=route.timeout_ms / 1000,
        objective_seconds=route.target_latency_ms / 1000,
        rank=route.priority,
        shares=tuple(
            ServiceShare(ServiceName(share.service), share.weight) for share in shares
        ),
        max_attempts=route.max_attempts,
        has_prompt_info=route.session_affinity,
        resumable=route.resumable,
        event_gap_seconds=route.target_itl_ms / 1000,
        public=route.public,
    )


def _service(service: _Service) -> Service:
    engine = service.engine
    facts = engine and EngineFacts(
        slots=engine.batch_slots,
        kv_capacity_tokens=engine.kv_capacity,
        kv_bytes_per_token=engine.kv_bytes,
        link_mbps=engine.bandwidth_mbps,
    )
    scaling = service.scaling and _scaling(service.scaling)
    name = ServiceName(service.name)
    return Service(name, service.max_connections, facts, scaling)


def _scaling(scaling: _Scaling) -> Scaling:
    prices = scaling.zone_prices.items()
    return Scaling(
        min_replicas=scaling.min_replicas,
        max_replicas=scaling.max_replicas,
        boot_seconds=scaling.boot_s,
        interruptible_price=scaling.max_spot_price,
        prices=tuple(DomainPrice(DomainName(zone), price) for zone, price in prices),
    )
