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
from berylshift.messages.json_decoding import decode_json
from berylshift.messages.wire_numbers import (
    Amount,
    Count,
    Milliseconds,
    Name,
    Position,
    Rank,
    Requests,
)
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

# A version near the end of its range would be the last one that hosts take.
Version = Annotated[int, msgspec.Meta(ge=0, le=10**15)]

ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.AT_MOST_ONCE,
    "streaming": RouteKind.STREAM,
}


class _Share(msgspec.Struct):
    service: Name
    weight: Requests


class _Route(msgspec.Struct):
    name: Name
    host: str
    prefix: str
    route_kind: str
    timeout_ms: Milliseconds
    target_latency_ms: Milliseconds = 0.0
    priority: Rank = 5
    service: str = ""
    # Set instead of ``service`` to split requests over several services.
    backends: list[_Share] = []
    max_attempts: Count = 1
    # Means that requests describe their prompt, not that sessions are pinned.
    session_affinity: bool = False
    resumable: bool = False
    # The longest gap between two events, not between single tokens.
    target_itl_ms: Milliseconds = 0.0
    # Accepts requests without a customer's key.
    public: bool = False


class _Engine(msgspec.Struct):
    batch_slots: Requests
    kv_capacity: Position
    kv_bytes: Position
    bandwidth_mbps: Amount


class _Scaling(msgspec.Struct):
    min_replicas: Requests
    max_replicas: Requests
    boot_s: Amount
    # A fraction of the on-demand price, not the maximum bid for a replica.
    max_spot_price: Amount | None = None
    zone_prices: dict[str, Amount] = {}


class _Service(msgspec.Struct):
    name: Name
    max_connections: Count = 0
    engine: _Engine | None = None
    scaling: _Scaling | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: Count = 16384
    max_body_bytes: Count = 4194304
    header_timeout_ms: Milliseconds = 3000
    idle_timeout_ms: Milliseconds = 15000


class _Tenant(msgspec.Struct):
    name: Name
    api_keys: list[str] = []
    priority: Rank | None = None


class _Configuration(msgspec.Struct):
    version: Version
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
    except (ValueError, KeyError) as exc:
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
    if not any(share.weight for share in shares):
        raise ValueError(f"route {route.name} leads to no service")
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
