"""A complete fleet in one process on a virtual clock, for replays.

The entry hosts run the daemon's real application; everything outside it is simulated in
memory. A new fleet is built for each replay, from the names in the trace.
"""

import random
from collections import Counter
from collections.abc import Callable
from contextlib import contextmanager
from dataclasses import dataclass, field
from datetime import UTC, datetime
from functools import partial

import msgspec
import trio

from berylshift.application import Addresses, Application, Ports
from berylshift.clock import LoopClock
from berylshift.ids import ChangeId
from berylshift.metrics import NoMetrics
from berylshift.process.limits.store_budget import StoreBudget
from berylshift.replay.keys import KeyOutcomes
from berylshift.replay.policies import policy_settings
from berylshift.replay.trace import Kind, Trace
from berylshift.settings import HostSettings, PolicySettings, Settings
from berylshift.stand_ins.engine_costs import EngineCosts
from berylshift.stand_ins.engine_runner import EngineRunner
from berylshift.stand_ins.fake_engine import FakeEngine
from berylshift.stand_ins.fake_platform import (
    FakePlatform,
    MemoryPlatform,
    PlatformScript,
)
from berylshift.stand_ins.fake_service import FakeService
from berylshift.stand_ins.memory_peers import MemoryPeerLink, MemoryPeerViews, PeerHub
from berylshift.stand_ins.memory_targets import MemoryEngines, MemoryServices
from berylshift.stand_ins.network import Network
from berylshift.store.batch import TableGate
from berylshift.version.changelog import TableLog
from berylshift.version.diff import Edit
from berylshift.version.rows import OrderCheck, Row, RowKind

HOSTS = 9
ENGINES = 10
REPLICAS = 4
DOMAINS = 4
STORE = "store"
EPOCH = datetime(2026, 1, 1, tzinfo=UTC)
STORE_WRITES_PER_SECOND = 300.0
STORE_READS_PER_SECOND = 2000.0


@dataclass(frozen=True)
class FleetSpec:
    """Configuration of a virtual fleet."""

    policy: str = "berylshift"
    seed: int = 1
    hosts: int = HOSTS
    engines: int = ENGINES
    replicas: int = REPLICAS
    cost: EngineCosts = field(default_factory=EngineCosts)
    orders: OrderCheck = OrderCheck.REFUSES
    customer_limits: dict[str, int] = field(default_factory=dict)
    churn_price: float = 1.0


class HostDownError(Exception):
    """The host is not running, or crashed during the call."""


@dataclass
class VirtualHost:
    """One entry host, which can be killed and restarted."""

    name: str
    make_app: Callable[[], Application]
    nursery: trio.Nursery
    app: Application | None = None
    ready: bool = False
    _run_scope: trio.CancelScope | None = None
    _call_scopes: set[trio.CancelScope] = field(default_factory=set)

    def start(self) -> None:
        """Start a new process on this host."""
        self.app = self.make_app()
        self._run_scope = trio.CancelScope()
        self.nursery.start_soon(self._run, self.app, self._run_scope)

    async def _run(self, app: Application, scope: trio.CancelScope) -> None:
        with scope:
            await app.run()

    def kill(self) -> None:
        """Kill the process, with all calls in flight."""
        if self.app is None:
            return
        self.app, self.ready = None, False
        self._run_scope.cancel()
        for scope in list(self._call_scopes):
            scope.cancel()

    async def stop(self) -> None:
        """Shut the process down gracefully."""
        app = self.app
        if app is None:
            return
        await app.on_shutdown()
        if self.app is app:
            self.kill()

    @contextmanager
    def call(self):
        """Run a call in the block; raise ``HostDownError`` if the host crashes."""
        if self.app is None:
            raise HostDownError(self.name)
        scope = trio.CancelScope()
        self._call_scopes.add(scope)
        try:
            with scope:
                yield self.app
        finally:
            self._call_scopes.discard(scope)
        if scope.cancelled_caught:
            raise HostDownError(self.name)


class VirtualWorld:
    """Platform, targets, network and hosts of one replay."""

    def __init__(self, spec: FleetSpec, rows: list[Row], nursery: trio.Nursery):
        """Create all parts; ``start`` runs them."""
        self.spec = spec
        self.rows = rows
        self.clock = LoopClock(EPOCH)
        self.network = Network()
        self.platform = FakePlatform(
            self.clock,
            PlatformScript(
                writes_per_second=STORE_WRITES_PER_SECOND,
                reads_per_second=STORE_READS_PER_SECOND,
            ),
        )
        self.hub = PeerHub(self.network)
        self.ran: Counter = Counter()
        self.runners: dict[str, EngineRunner] = {}
        self.engines: dict[str, FakeEngine] = {}
        self.replicas: dict[str, FakeService] = {}
        self.services: dict[str, FakeService] = {}
        self.store_links: dict[str, MemoryPlatform] = {}
        self.key_outcomes = KeyOutcomes()
        self._suspended_seconds: Counter[str] = Counter()
        self._nursery = nursery
        self._start_count = 0
        for number, row in enumerate(rows):
            self._make_target(number, row)
        self.hosts = {
            name: self._make_host(name)
            for name in (f"host-{i}" for i in range(1, spec.hosts + 1))
        }

    def _make_target(self, number: int, row: Row) -> None:
        if row.kind is RowKind.ENGINE:
            engine = FakeEngine(
                row.target,
                row.address,
                self.spec.cost,
                row.orders is OrderCheck.REFUSES,
                row.serves,
                seed=self.spec.seed * 1000 + number,
            )
            self.engines[row.target] = engine
            self.runners[row.address] = EngineRunner(engine)
        elif row.kind is RowKind.SERVICE:
            service = FakeService(row.target, self.ran)
            self.services[row.target] = service
            self.replicas[row.address] = service

    def _make_host(self, name: str) -> VirtualHost:
        number = int(name.rpartition("-")[2])
        domain = f"domain-{number % DOMAINS + 1}"
        policy = policy_settings(
            self.spec.policy, PolicySettings(churn_price=self.spec.churn_price)
        )
        host = HostSettings(name=name, domain=domain, seeds="host-1:admin")
        cfg = Settings(host=host, policy=policy)

        def make_app() -> Application:
            self._start_count += 1
            rng = random.Random(f"{self.spec.seed}/{name}/{self._start_count}")
            return self._make_app(cfg, rng)

        return VirtualHost(name, make_app, self._nursery)

    def _make_app(self, cfg: Settings, rng: random.Random) -> Application:
        name = cfg.host.name
        store = MemoryPlatform(self.platform)
        self.store_links[name] = store
        addresses = self.addresses_of(name)
        self.hub.host_names[addresses.admin] = name
        ports = Ports(
            clock=self.clock,
            boot_clock=partial(self.boot_seconds, name),
            rng=rng,
            metrics=NoMetrics(),
            table_service=store,
            objects=store,
            hosts=store,
            weights=store,
            engines=MemoryEngines(name, self.runners, self.network),
            services=MemoryServices(name, self.replicas, self.network),
            link=MemoryPeerLink(self.hub, name, addresses.peer),
            peer_views=MemoryPeerViews(self.hub, name),
        )
        app = Application(cfg, ports, addresses, {})

        self.hub.views[addresses.admin] = app.peer_view
        return app

    def boot_seconds(self, host: str) -> float:
        """Return the time on a host's clock that counts suspends."""
        return trio.current_time() + self._suspended_seconds[host]

    def suspend(self, host: str, seconds: float) -> None:
        """Let time pass that only a host's clock that counts suspends shows."""
        self._suspended_seconds[host] += seconds

    def addresses_of(self, name: str) -> Addresses:
        """Return the addresses that a host listens on."""
        return Addresses(peer=f"{name}:peer", admin=f"{name}:admin")

    def table_log(self) -> TableLog:
        """Return access to the operators' table."""
        rng = random.Random(self.spec.seed)
        store = MemoryPlatform(self.platform)
        budget = StoreBudget(1000.0, rng)
        gate = TableGate(store, self.clock, budget, budget, 0.0, 1)
        return TableLog(gate, store)

    async def start(self) -> None:
        """Commit the first table, start all parts and wait until hosts are ready."""
        await self.table_log().commit(
            Edit(0, self.rows, []), ChangeId("first"), "replay", ""
        )
        for runner in self.runners.values():
            self._nursery.start_soon(runner.run)
        for host in self.hosts.values():
            host.start()
        self._nursery.start_soon(self._check_health)
        while not all(host.ready for host in self.hosts.values()):
            await trio.sleep(0.1)

    async def _check_health(self) -> None:
        """Check the hosts' readiness as the platform's load balancer does."""
        while True:
            for host in self.hosts.values():
                is_awake = host.name not in self.network.paused
                host.ready = (
                    is_awake and host.app is not None and host.app.readiness.is_ready()
                )
            await trio.sleep(0.5)

    def role_changes(self) -> int:
        """Return the number of role changes of all engines."""
        return sum(engine.role_changes for engine in self.engines.values())


def trace_rows(trace: Trace, spec: FleetSpec) -> list[Row]:
    """Return table rows that allow each of the trace's fleets to use each target."""
    fleets = sorted({item.fleet for item in trace.requests})
    models = sorted({r.model for r in trace.requests if r.kind is Kind.MODEL})
    services = sorted({r.service for r in trace.requests if r.kind is Kind.SERVICE})
    rows = []
    for number in range(spec.engines if models else 0):
        name = f"engine-{number + 1}"
        rows.append(
            Row(
                RowKind.ENGINE,
                name,
                serves=models[number % len(models)],
                address=f"10.0.0.{number + 1}:8000",
                domain=f"domain-{number % DOMAINS + 1}",
                orders=spec.orders,
            )
        )
    for index, service in enumerate(services):
        for number in range(spec.replicas):
            rows.append(
                Row(
                    RowKind.SERVICE,
                    f"{service}-{number + 1}",
                    serves=service,
                    address=f"10.0.{index + 1}.{number + 1}:8000",
                    domain=f"domain-{number % DOMAINS + 1}",
                )
            )
    routes = [
        Row(RowKind.ROUTE, row.target, fleet=fleet) for row in rows for fleet in fleets
    ]
    customers = [
        Row(RowKind.CUSTOMER, name, fleet=fleets[0], limit=limit)
        for name, limit in spec.customer_limits.items()
    ]
    return [*rows, *routes, *customers]


def find_row(rows: list[Row], target: str) -> Row:
    """Return the row of a target of any kind; raise ``KeyError``."""
    for row in rows:
        if row.target == target and row.kind is not RowKind.ROUTE:
            return row
    raise KeyError(target)


def with_cell(row: Row, column: str, value: str) -> Row:
    """Return a row with one cell changed."""
    return msgspec.convert(
        {**msgspec.to_builtins(row), column: value}, Row, strict=False
    )
