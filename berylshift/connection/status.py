"""Status report of an entry host for operators."""

import msgspec

from berylshift.application import Application
from berylshift.version.rows import RowKind


class TargetStatus(msgspec.Struct, frozen=True):
    """A target as seen by this host; ages in seconds, prefill in tokens."""

    target: str
    kind: str
    serves: str
    domain: str
    state: str
    role: str
    streams: float
    prefill_tokens: float
    report_age: float
    open_here: int
    suspended: bool


class CustomerStatus(msgspec.Struct, frozen=True):
    """Counts of a customer's requests at this host since it started."""

    customer: str
    limit: int
    admitted: int
    refused: int


class HostStatus(msgspec.Struct, frozen=True):
    """Status of one entry host."""

    host: str
    incarnation: str
    domain: str
    ready: bool
    phase: str
    table_version: int
    store_age: float
    in_flight: int
    peers_in_sight: int
    hosts_listed: int
    pending_records: int
    datagrams_dropped: int
    targets: list[TargetStatus]
    customers: list[CustomerStatus]


def make_status(app: Application) -> HostStatus:
    """Return the status of a host."""
    now = app.ports.clock.monotonic()
    store_age = app.freshness.store_age(app.ports.boot_clock())
    return HostStatus(
        host=app.members.host,
        incarnation=app.incarnation,
        domain=app.cfg.host.domain,
        ready=app.readiness.is_ready(),
        phase=app.readiness.phase.value,
        table_version=app.holder.table.version,
        store_age=round(min(store_age, 1e6), 3),
        in_flight=app.handler.in_flight,
        peers_in_sight=len(app.members.live_hosts(now)) - 1,
        hosts_listed=app.members.host_count(),
        pending_records=len(app.pending),
        datagrams_dropped=app.members.dropped_count,
        targets=_targets(app, now),
        customers=_customers(app),
    )


def _targets(app: Application, now: float) -> list[TargetStatus]:
    targets = []
    for row in app.holder.table.targets.values():
        load = app.load.estimate(row.name, now)
        is_service = row.kind is RowKind.SERVICE
        targets.append(
            TargetStatus(
                target=row.target,
                kind=row.kind.value,
                serves=row.serves,
                domain=row.domain,
                state=row.state.value,
                role="" if is_service else load.role.value,
                streams=load.streams,
                prefill_tokens=round(load.prefill_tokens),
                report_age=round(min(load.report_age_seconds, 1e6), 3),
                open_here=app.load.open_here(row.name),
                suspended=not app.context.health.is_usable(row.name, now),
            )
        )
    return targets


def _customers(app: Application) -> list[CustomerStatus]:
    limits = app.holder.table.customers
    return [
        CustomerStatus(
            customer=name,
            limit=limits[name].limit if name in limits else 0,
            admitted=admitted,
            refused=refused,
        )
        for name, (admitted, refused) in sorted(app.limits.counts().items())
    ]
