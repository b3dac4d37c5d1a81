"""Application object for the native API: wiring and life-cycle hooks."""

import logging
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial

import trio

from berylshift.clock import Clock
from berylshift.connection.http_client import Dial, dial_tcp
from berylshift.connection.http_server import HttpServer, ServerLimits
from berylshift.connection.request_memory import RequestMemory, request_bytes
from berylshift.connection.target_dial import TargetDial
from berylshift.host_paths import HostPaths, PathDependencies, PathTarget
from berylshift.ids import DomainName, HostName, InstanceId
from berylshift.messages.block_key import BlockHash
from berylshift.metrics import Metrics
from berylshift.process.control.demand_meter import DemandMeter
from berylshift.process.control.plans import Plans
from berylshift.process.control.pool_loop import (
    ORDER_TIMEOUT_SECONDS,
    PoolDependencies,
    PoolLoop,
)
from berylshift.process.engine_state.cost_model import CostModel
from berylshift.process.engine_state.health import Health
from berylshift.process.engine_state.load_view import LoadView
from berylshift.process.engine_state.output_lengths import OutputLengths
from berylshift.process.engine_state.prefix_index import PrefixIndex
from berylshift.process.engine_state.report_poller import (
    PollerDependencies,
    ReportPoller,
)
from berylshift.process.gossip.election import order_key
from berylshift.process.limits.customer_limits import CustomerLimits
from berylshift.process.limits.retry_budget import RetryBudget
from berylshift.process.limits.store_budget import StoreBudget
from berylshift.process.membership.host_list_loop import HostListLoop
from berylshift.process.membership.members import Membership, make_incarnation
from berylshift.process.membership.peer_loop import PeerDependencies, PeerLink, PeerLoop
from berylshift.process.membership.readiness import Phase, Readiness
from berylshift.process.quarantine.quarantine import Quarantine
from berylshift.process.records.pending_loop import PendingLoop
from berylshift.process.records.pending_records import PendingRecords
from berylshift.process.records.sweep_loop import SweepLoop
from berylshift.process.shutdown import Shutdown
from berylshift.process.table.table_follower import (
    FollowerDependencies,
    PeerView,
    PeerViews,
    TableFollower,
    TableHolder,
)
from berylshift.request.crash_watch_factory import CrashWatchFactory
from berylshift.request.decisions import DecisionLog
from berylshift.request.engine_attempt import CompletionDependencies
from berylshift.request.fingerprint import RequestFingerprinter
from berylshift.request.key_row import RECORD_TIMEOUT_SECONDS
from berylshift.request.native_handler import (
    NativeHandler,
    NativeHandlerDependencies,
    outcome_unhandled,
)
from berylshift.request.router import (
    LeastLateness,
    ReplicaChooser,
    Router,
    RoutingContext,
)
from berylshift.request.router_baselines import LeastReported, RoundRobin
from berylshift.request.service_call import ServiceCalls, ServiceDependencies
from berylshift.request.service_sender import ServiceSender
from berylshift.settings import CallerSettings, Credential, PolicySettings, Settings
from berylshift.store.batch import TableGate
from berylshift.store.host_rows import HostRecord
from berylshift.store.interfaces import (
    HostEntry,
    HostList,
    HostState,
    ObjectStore,
    TableService,
    WeightStore,
)
from berylshift.supervision import Loop, PropagatingSupervisor, Supervisor
from berylshift.targets import EngineClient, ServiceClient
from berylshift.version.changelog import TableLog
from berylshift.version.freshness import Freshness
from berylshift.version.table import Table

logger = logging.getLogger(__name__)

DRAIN_POLL_SECONDS = 0.1
# Sequential store calls that a loop may need to release its leases.
MAX_LEASE_RELEASE_CALLS = 4
# Time after the shutdown deadline to send the final responses. The engine is sent the
# cancellation first, which takes up to one second.
FINAL_RESPONSE_SECONDS = 2.0
GAUGE_SECONDS = 5.0
MAX_GAUGE_AGE_SECONDS = 3600.0
# Crash reports are repeated in this many gossip rounds, because each round reaches only
# some of the peers and datagrams may be lost.
CRASH_GOSSIP_ROUNDS = 3


@dataclass
class Ports:
    """External dependencies of the process; tests pass fakes."""

    clock: Clock
    # Seconds on a clock that runs while the host is suspended.
    boot_clock: Callable[[], float]
    rng: random.Random
    metrics: Metrics
    table_service: TableService
    objects: ObjectStore
    hosts: HostList
    weights: WeightStore
    engines: EngineClient
    services: ServiceClient
    link: PeerLink
    peer_views: PeerViews
    # Dials targets for ``engines`` and ``services``.
    target_dial: TargetDial = field(default_factory=TargetDial)
    # Opens connections to other hosts, for tunnels.
    dial_peer: Dial = dial_tcp
    # Breaks requests to a target whose connections have become silent.
    break_silent: Callable[[str], None] = lambda address: None
    supervisor: Supervisor = field(default_factory=PropagatingSupervisor)


@dataclass(frozen=True)
class Addresses:
    """Addresses that this process listens on, each ``IP:PORT`` with the bound port."""

    peer: str
    admin: str


def make_router(cfg: PolicySettings, context: RoutingContext) -> Router:
    """Return the router selected in the settings."""
    if cfg.router == "round-robin":
        return RoundRobin(context)
    if cfg.router == "least-reported":
        return LeastReported(context)
    return LeastLateness(context, cfg.lateness_slack, cfg.prefill_rate)


class Application:
    """Host that serves the native API, without its listeners."""

    def __init__(
        self,
        cfg: Settings,
        ports: Ports,
        addresses: Addresses,
        callers: dict[str, Credential],
    ):
        """Wire the components; ``run`` starts them."""
        self.cfg = cfg
        self.ports = ports
        clock, rng = ports.clock, ports.rng
        host = HostName(cfg.host.name)
        started_ms = int(clock.now().timestamp() * 1000)
        self.incarnation = make_incarnation(host, started_ms, rng.getrandbits(32))
        self.holder = TableHolder()
        self.freshness = Freshness(cfg.table.freshness_limit)
        self.load = LoadView(cfg.policy.prefill_rate)
        self.limits = CustomerLimits()
        self.pending = PendingRecords()
        self.decisions = DecisionLog(
            clock, ports.metrics, cfg.observability.decisions_kept
        )
        self.plans = Plans()
        self.meter = DemandMeter()
        self.context = RoutingContext(
            self.load,
            Health(),
            CostModel(cfg.policy),
            PrefixIndex(),
            self.plans,
            self.meter,
            rng,
        )
        self.members = Membership(host, self.incarnation, cfg.peers.silent_after, rng)
        self.readiness = Readiness(
            host, self.holder, self.freshness, clock, ports.boot_clock
        )
        self.quarantine = Quarantine(
            cfg.targets.report_interval, CRASH_GOSSIP_ROUNDS * cfg.peers.interval
        )
        self.quarantine.blocks.trial_rank = self._trial_rank
        self.crash_watches = CrashWatchFactory(
            self.quarantine, RequestFingerprinter(), self.load, clock
        )
        self.shutdown = Shutdown(clock)
        self.last_sends = Shutdown(clock)
        self.last_responses = Shutdown(clock)
        self.gate = self._make_gate()
        self._nursery: trio.Nursery | None = None
        self.paths = self._make_paths()
        self.handler = self._make_handler(callers)
        self.server = HttpServer(
            self.handler.handle,
            _server_limits(cfg.callers),
            outcome_unhandled=outcome_unhandled,
            memory=RequestMemory(request_bytes(cfg.host.memory_mb), ports.rng),
        )
        self._make_loops(addresses)

    def _trial_rank(self, block: BlockHash) -> int:
        """Return how many hosts precede this one in making the trial of a prefix."""
        own = order_key(f"{block}/{self.cfg.host.name}")
        peers = self.members.peers
        return sum(order_key(f"{block}/{peer}") < own for peer in peers)

    def _make_paths(self) -> HostPaths:
        """Return the paths to targets, installed in the clients' dial."""
        ports = self.ports
        deps = PathDependencies(
            host=HostName(self.cfg.host.name),
            domain=DomainName(self.cfg.host.domain),
            dial=ports.target_dial.direct,
            dial_peer=ports.dial_peer,
            targets=self._path_targets,
            hosts=self._live_hosts,
            clock=ports.clock,
            rng=ports.rng,
            start_task=self._start_task,
            is_stopping=lambda: self.peer_loop.leaving,
            on_silent=ports.break_silent,
            on_path_at_fault=self._clear_failures,
        )
        paths = HostPaths(deps)
        ports.target_dial.set_dialer(paths.dialer)
        return paths

    def _path_targets(self) -> list[PathTarget]:
        """Return the targets of the table; clients know them by their addresses."""
        return [
            PathTarget(InstanceId(row.address), row.address)
            for row in self.holder.table.targets.values()
        ]

    def _live_hosts(self) -> list[HostRecord]:
        return [
            HostRecord(entry.host, entry.peer_address, entry.domain)
            for entry in self.members.entries()
            if entry.state is HostState.LIVE
        ]

    def _start_task(self, task, *args) -> None:
        """Run a task that no request waits for."""

        async def run() -> None:
            try:
                await task(*args)
            except Exception:
                # Propagated, it would end the process with all callers' requests.
                logger.exception("background task failed")

        if self._nursery is not None:
            self._nursery.start_soon(run)

    def _clear_failures(self, instance: InstanceId) -> None:
        """Drop the failures of a target that its path was to blame for."""
        for row in self.holder.table.targets.values():
            if row.address == instance:
                self.context.health.record_success(row.target)

    def _make_gate(self) -> TableGate:
        cfg, ports = self.cfg.platform, self.ports
        return TableGate(
            ports.table_service,
            ports.clock,
            StoreBudget(cfg.reads_per_second, ports.rng),
            StoreBudget(cfg.writes_per_second, ports.rng),
            cfg.batch_window,
            cfg.batch_rows,
        )

    def _make_handler(self, callers: dict[str, Credential]) -> NativeHandler:
        cfg, ports = self.cfg, self.ports
        retries = RetryBudget(cfg.policy.retry_share, cfg.policy.retry_floor)
        router = make_router(cfg.policy, self.context)
        completions = CompletionDependencies(
            clock=ports.clock,
            client=ports.engines,
            context=self.context,
            router=router,
            retry_budget=retries,
            lengths=OutputLengths(),
            decisions=self.decisions,
            meter=self.meter,
            table=self.holder.get,
            may_route=self.readiness.may_route,
            cfg=cfg.targets,
            max_duration_seconds=cfg.callers.longest_request,
            shutdown=self.shutdown,
            crash_watches=self.crash_watches,
        )
        sender = ServiceSender(
            clock=ports.clock,
            client=ports.services,
            context=self.context,
            chooser=ReplicaChooser(self.context),
            decisions=self.decisions,
            table=self.holder.get,
            may_route=self.readiness.may_route,
            timeout_seconds=cfg.targets.service_timeout,
            crash_watches=self.crash_watches,
        )
        services = ServiceDependencies(
            clock=ports.clock,
            sender=sender,
            retry_budget=retries,
            gate=self.gate,
            pending=self.pending,
            rng=ports.rng,
            shutdown=self.shutdown,
            last_sends=self.last_sends,
            last_responses=self.last_responses,
        )
        self.services = ServiceCalls(services)
        deps = NativeHandlerDependencies(
            clock=ports.clock,
            cfg=cfg.callers,
            callers=callers,
            completions=completions,
            services=self.services,
            limits=self.limits,
            decisions=self.decisions,
            metrics=ports.metrics,
            refusal_reason=self.readiness.refusal_reason,
            ready=self.readiness.is_ready,
            rng=ports.rng,
        )
        return NativeHandler(deps)

    def _make_loops(self, addresses: Addresses) -> None:
        cfg, ports = self.cfg, self.ports
        self.table_log = TableLog(self.gate, ports.objects)
        follower = FollowerDependencies(
            holder=self.holder,
            log=self.table_log,
            fresh=self.freshness,
            plans=self.plans,
            members=self.members,
            peers=ports.peer_views,
            clock=ports.clock,
            boot_clock=ports.boot_clock,
            on_change=self.on_table_change,
            poll_interval_seconds=cfg.table.poll_interval,
            seeds=[seed.strip() for seed in cfg.host.seeds.split(",") if seed.strip()],
        )
        self.follower = TableFollower(follower)
        poller = PollerDependencies(
            client=ports.engines,
            load=self.load,
            prefixes=self.context.prefixes,
            holder=self.holder,
            clock=ports.clock,
            interval_seconds=cfg.targets.report_interval,
            timeout_seconds=cfg.targets.report_timeout,
            on_timeout=lambda address: self.paths.dialer.suspect(
                InstanceId(address), address
            ),
        )
        self.poller = ReportPoller(poller)
        peers = PeerDependencies(
            cfg=cfg.peers,
            members=self.members,
            link=ports.link,
            fresh=self.freshness,
            load=self.load,
            limits=self.limits,
            follower=self.follower,
            holder=self.holder,
            meter=self.meter,
            plans=self.plans,
            quarantine=self.quarantine,
            clock=ports.clock,
            boot_clock=ports.boot_clock,
        )
        self.peer_loop = PeerLoop(peers)
        entry = HostEntry(
            host=self.members.host,
            incarnation=self.incarnation,
            domain=DomainName(cfg.host.domain),
            state=HostState.LIVE,
            peer_address=addresses.peer,
            admin_address=addresses.admin,
        )
        self.host_loop = HostListLoop(
            ports.hosts, self.members, entry, cfg.peers.host_list_interval
        )
        self.pending_loop = PendingLoop(self.pending, self.gate, ports.rng)
        self.sweep_loop = SweepLoop(self.gate, self.members, ports.clock, ports.rng)
        pools = PoolDependencies(
            cfg=cfg,
            members=self.members,
            holder=self.holder,
            plans=self.plans,
            load=self.load,
            meter=self.meter,
            gate=self.gate,
            engines=ports.engines,
            clock=ports.clock,
        )
        self.pool_loop = PoolLoop(pools)

    def on_table_change(self, old: Table, new: Table) -> None:
        """Apply a new version of the table."""
        self.limits.set_limits(
            {row.target: row.limit for row in new.customers.values() if row.limit}
        )
        for name in old.targets:
            if name not in new.targets:
                self.load.forget(name)

    async def _report_gauges(self) -> None:
        """Report the gauges until cancelled."""
        metrics, boot_clock = self.ports.metrics, self.ports.boot_clock
        while True:
            metrics.gauge("table_version", self.holder.table.version)
            age = min(MAX_GAUGE_AGE_SECONDS, self.freshness.store_age(boot_clock()))
            metrics.gauge("store_age_seconds", age)
            metrics.gauge("in_flight", self.handler.in_flight)
            metrics.gauge("pending_records", len(self.pending))
            metrics.gauge("quarantined", len(self.quarantine))
            self.paths.states.retain_listed()
            metrics.gauge("replica_paths_lost", len(self.paths.states))
            await trio.sleep(GAUGE_SECONDS)

    def peer_view(self) -> PeerView:
        """Return the state that peers fetch when they start or lag behind."""
        table = self.holder.table
        return PeerView(
            version=table.version,
            rows=list(table.rows.values()),
            plans=self.plans.rows,
            hosts=[*self.members.entries(), self.host_loop.entry],
        )

    async def run(self) -> None:
        """Run the loops until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for name, loop in self._loops():
                nursery.start_soon(self.ports.supervisor.run, name, loop)

    def _loops(self) -> Iterator[tuple[str, Loop]]:
        """Yield the loops that run for the whole life of the process."""
        yield "store batches", self.gate.run
        yield "confirmations", self.services.serve
        yield "table", self.follower.run
        yield "engine reports", self.poller.run
        yield "host list", self.host_loop.run
        yield "digests sent", self.peer_loop.run
        receive = partial(self.ports.link.receive, self.peer_loop.on_digest)
        yield "digests received", receive
        yield "pending records", self.pending_loop.run
        yield "engine pools", self.pool_loop.run
        yield "expired records", self.sweep_loop.run
        yield "gauges", self._report_gauges

    def on_start(self) -> None:
        """Log that the process has started."""
        logger.info("started", extra={"incarnation": self.incarnation})

    async def on_shutdown(self) -> None:
        """Shut down gracefully; return once nothing is in flight.

        The host first reports not ready and gives the load balancer time to notice;
        requests that arrive meanwhile are served normally. Requests that are
        unfinished at the shutdown deadline get their final response then.
        """
        cfg = self.cfg.shutdown
        self._limit_requests(cfg.balancer_notice + cfg.longest)
        self.server.draining = True
        self.readiness.phase = Phase.LEAVING
        self.peer_loop.leaving = True
        self.host_loop.entry = _leaving_entry(self.host_loop.entry)
        logger.info("leaving", extra={"in_flight": self.handler.in_flight})
        await trio.sleep(cfg.balancer_notice)
        self.readiness.phase = Phase.CLOSED
        self.server.close_idle()
        with trio.move_on_after(cfg.longest) as scope:
            await self._release_leases()
            await self._wait_until_done()
            await self.paths.tunnel_server.wait_until_idle()
        if scope.cancelled_caught:
            await self._flush_final_responses()

    def _limit_requests(self, seconds: float) -> None:
        """Have all requests end within ``seconds``.

        The outcome of a confirmation that is sent must be received and recorded, so
        none is sent later than the time this may take before the deadline.
        """
        self.shutdown.begin(seconds)
        send_margin_seconds = self.cfg.targets.service_timeout + RECORD_TIMEOUT_SECONDS
        self.last_sends.begin(seconds - send_margin_seconds)
        self.last_responses.begin(seconds - RECORD_TIMEOUT_SECONDS)

    async def _release_leases(self) -> None:
        """Release the leases before the wait for requests, which may be long."""
        calls = MAX_LEASE_RELEASE_CALLS * self.cfg.platform.timeout
        with trio.move_on_after(ORDER_TIMEOUT_SECONDS + calls):
            await self.pool_loop.release()

    async def _wait_until_done(self) -> None:
        """Return once nothing is in flight, including requests still being read."""
        await self._wait_until_rows_written()
        await self._wait_until_responses_sent()
        # A refused call releases its key only after its response.
        await self._wait_until_rows_written()

    async def _wait_until_rows_written(self) -> None:
        while self.services.open_confirmations or self.pending:
            await trio.sleep(DRAIN_POLL_SECONDS)

    async def _wait_until_responses_sent(self) -> None:
        while self.handler.in_flight:
            await trio.sleep(DRAIN_POLL_SECONDS)
        await self.server.wait_until_idle(0)
        # Last, since nothing may be awaited between its final check and the exit.
        await self.server.finish()

    async def _flush_final_responses(self) -> None:
        """Wait until responses sent at the shutdown deadline reach their callers."""
        with trio.move_on_after(FINAL_RESPONSE_SECONDS) as scope:
            await self._wait_until_responses_sent()
            while self.services.open_confirmations:
                await trio.sleep(DRAIN_POLL_SECONDS)
        if scope.cancelled_caught:
            logger.error("stopped with work in flight")

    def on_stop(self) -> None:
        """Log that the process has stopped."""
        logger.info("stopped", extra={"incarnation": self.incarnation})


def _server_limits(cfg: CallerSettings) -> ServerLimits:
    return ServerLimits(
        header_bytes=cfg.header_bytes,
        body_bytes=cfg.body_bytes,
        request_seconds=cfg.request_seconds,
        idle_seconds=cfg.idle_seconds,
        write_seconds=cfg.write_seconds,
        connections=cfg.connections,
    )


def _leaving_entry(entry: HostEntry) -> HostEntry:
    return HostEntry(
        host=entry.host,
        incarnation=entry.incarnation,
        domain=entry.domain,
        state=HostState.LEAVING,
        peer_address=entry.peer_address,
        admin_address=entry.admin_address,
    )
