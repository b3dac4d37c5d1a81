"""The application: wires all parts of an entry host, and its life-cycle hooks."""

import logging
import random
from dataclasses import dataclass

import trio

from berylshift.clock import Clock
from berylshift.connection.http_server import HttpServer, ServerLimits
from berylshift.ids import DomainName, HostName
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
from berylshift.process.table.follower import (
    FollowerDependencies,
    PeerTables,
    PeerView,
    TableFollower,
    TableHolder,
)
from berylshift.request.crash_watch_factory import CrashWatchFactory
from berylshift.request.decisions import DecisionLog
from berylshift.request.engine_attempt import CompletionDependencies
from berylshift.request.fingerprint import RequestFingerprinter
from berylshift.request.native_handler import NativeHandler, NativeHandlerDependencies
from berylshift.request.router import (
    LeastLateness,
    ReplicaChooser,
    Router,
    RoutingContext,
)
from berylshift.request.router_baselines import LeastReported, RoundRobin
from berylshift.request.service_call import (
    RECORD_TIMEOUT_SECONDS,
    ServiceCalls,
    ServiceDependencies,
)
from berylshift.request.service_sender import ServiceSender
from berylshift.settings import CallerSettings, Credential, PolicySettings, Settings
from berylshift.store.batch import TableGate
from berylshift.store.interfaces import (
    HostEntry,
    HostList,
    HostState,
    ObjectStore,
    TableService,
    WeightStore,
)
from berylshift.targets import EngineClient, ServiceClient
from berylshift.version.changelog import TableLog
from berylshift.version.freshness import Freshness
from berylshift.version.table import Table

logger = logging.getLogger(__name__)

EMPTY_CHECK_SECONDS = 0.1
# Calls to the store, one after another, that a loop may need to give its leases up.
RELEASE_CALLS = 4
# What is left after the time of a stop to tell the last callers how they ended: an
# engine is told first, for a second at most, that its answer is given up.
LAST_ANSWER_SECONDS = 2.0
GAUGE_SECONDS = 5.0
LONGEST_AGE = 3600.0
# Of news that a target ended under a call, in datagrams to some of the peers each: some
# of them may be lost.
TOLD_TIMES = 3


@dataclass
class Ports:
    """The outside as this process meets it; tests hand in fakes."""

    clock: Clock
    rng: random.Random
    metrics: Metrics
    table_service: TableService
    objects: ObjectStore
    hosts: HostList
    weights: WeightStore
    engines: EngineClient
    services: ServiceClient
    link: PeerLink
    peer_tables: PeerTables


@dataclass(frozen=True)
class Addresses:
    """Where this process listens, with the ports in use; each ``IP:PORT``."""

    peer: str
    admin: str


def make_router(cfg: PolicySettings, know: RoutingContext) -> Router:
    """Return the router that the settings name."""
    if cfg.router == "round-robin":
        return RoundRobin(know)
    if cfg.router == "least-reported":
        return LeastReported(know)
    return LeastLateness(know, cfg.lateness_slack, cfg.prefill_rate)


class Application:
    """One entry host, without its listeners."""

    def __init__(
        self,
        cfg: Settings,
        ports: Ports,
        addresses: Addresses,
        callers: dict[str, Credential],
    ):
        """Wire the parts; nothing runs yet."""
        self.cfg = cfg
        self.ports = ports
        clock, rng = ports.clock, ports.rng
        host = HostName(cfg.host.name)
        started_ms = int(clock.now().timestamp() * 1000)
        self.incarnation = make_incarnation(host, started_ms, rng.getrandbits(32))
        self.holder = TableHolder()
        self.fresh = Freshness(cfg.table.freshness_limit)
        self.load = LoadView(cfg.policy.prefill_rate)
        self.limits = CustomerLimits()
        self.pending = PendingRecords()
        self.decisions = DecisionLog(
            clock, ports.metrics, cfg.observability.decisions_kept
        )
        self.plans = Plans()
        self.meter = DemandMeter()
        self.know = RoutingContext(
            self.load,
            Health(),
            CostModel(cfg.policy),
            PrefixIndex(),
            self.plans,
            self.meter,
            rng,
        )
        self.members = Membership(host, self.incarnation, cfg.peers.silent_after, rng)
        self.readiness = Readiness(host, self.holder, self.fresh, clock)
        self.quarantine = Quarantine(
            cfg.targets.report_interval, TOLD_TIMES * cfg.peers.interval
        )
        self.crash_watches = CrashWatchFactory(
            self.quarantine, RequestFingerprinter(), self.load, clock
        )
        self.shutdown = Shutdown(clock)
        self.last_sends = Shutdown(clock)
        self.gate = self._make_gate()
        self.handler = self._make_handler(callers)
        self.server = HttpServer(self.handler.handle, _limits(cfg.callers))
        self._make_loops(addresses)

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
        router = make_router(cfg.policy, self.know)
        completions = CompletionDependencies(
            clock=ports.clock,
            client=ports.engines,
            context=self.know,
            router=router,
            retries=retries,
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
            context=self.know,
            chooser=ReplicaChooser(self.know),
            decisions=self.decisions,
            table=self.holder.get,
            may_route=self.readiness.may_route,
            timeout_seconds=cfg.targets.service_timeout,
            crash_watches=self.crash_watches,
        )
        services = ServiceDependencies(
            clock=ports.clock,
            sender=sender,
            retries=retries,
            gate=self.gate,
            pending=self.pending,
            rng=ports.rng,
            shutdown=self.shutdown,
            last_sends=self.last_sends,
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
            closed=self.readiness.refusal_reason,
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
            fresh=self.fresh,
            plans=self.plans,
            members=self.members,
            peers=ports.peer_tables,
            clock=ports.clock,
            on_change=self.on_table,
            poll_interval_seconds=cfg.table.poll_interval,
            seeds=[seed.strip() for seed in cfg.host.seeds.split(",") if seed.strip()],
        )
        self.follower = TableFollower(follower)
        poller = PollerDependencies(
            client=ports.engines,
            load=self.load,
            prefixes=self.know.prefixes,
            holder=self.holder,
            clock=ports.clock,
            interval_seconds=cfg.targets.report_interval,
            timeout_seconds=cfg.targets.report_timeout,
        )
        self.poller = ReportPoller(poller)
        peers = PeerDependencies(
            cfg=cfg.peers,
            members=self.members,
            link=ports.link,
            fresh=self.fresh,
            load=self.load,
            limits=self.limits,
            follower=self.follower,
            holder=self.holder,
            meter=self.meter,
            plans=self.plans,
            quarantine=self.quarantine,
            clock=ports.clock,
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

    def on_table(self, old: Table, new: Table) -> None:
        """Take over what a new version of the table says."""
        self.limits.set_limits(
            {row.target: row.limit for row in new.customers.values() if row.limit}
        )
        for name in old.targets:
            if name not in new.targets:
                self.load.forget(name)

    async def _report_gauges(self) -> None:
        """Send the gauges until cancelled."""
        metrics, clock = self.ports.metrics, self.ports.clock
        while True:
            metrics.gauge("table_version", self.holder.table.version)
            age = min(LONGEST_AGE, self.fresh.store_age(clock.monotonic()))
            metrics.gauge("store_age_seconds", age)
            metrics.gauge("in_flight", self.handler.in_flight)
            metrics.gauge("pending_records", len(self.pending))
            metrics.gauge("quarantined", len(self.quarantine))
            await trio.sleep(GAUGE_SECONDS)

    def peer_view(self) -> PeerView:
        """Return what this host tells peers that lag behind or start."""
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
            nursery.start_soon(self.gate.run)
            nursery.start_soon(self.services.serve)
            nursery.start_soon(self.follower.run)
            nursery.start_soon(self.poller.run)
            nursery.start_soon(self.host_loop.run)
            nursery.start_soon(self.peer_loop.run)
            nursery.start_soon(self.ports.link.receive, self.peer_loop.on_digest)
            nursery.start_soon(self.pending_loop.run)
            nursery.start_soon(self.pool_loop.run)
            nursery.start_soon(self.sweep_loop.run)
            nursery.start_soon(self._report_gauges)

    def on_start(self) -> None:
        """Note that the process runs."""
        logger.info("started", extra={"incarnation": self.incarnation})

    async def on_shutdown(self) -> None:
        """Carry out a planned stop; return once nothing is in flight.

        The balancer is told first, and given time to see it: a request that it
        sends meanwhile is served like any other. What is not done when the time of
        the stop is over gets its final answer then.
        """
        cfg = self.cfg.shutdown
        self._bound_work(cfg.balancer_notice + cfg.longest)
        self.server.draining = True
        self.readiness.phase = Phase.LEAVING
        self.peer_loop.leaving = True
        self.host_loop.entry = _leaving(self.host_loop.entry)
        logger.info("leaving", extra={"in_flight": self.handler.in_flight})
        await trio.sleep(cfg.balancer_notice)
        self.readiness.phase = Phase.CLOSED
        self.server.close_idle()
        with trio.move_on_after(cfg.longest) as scope:
            await self._release_leases()
            await self._wait_until_done()
        if scope.cancelled_caught:
            await self._give_last_answers()

    def _bound_work(self, seconds: float) -> None:
        """Have all requests end within ``seconds``.

        A confirmation that is sent must be seen to end and be recorded, so the last
        one goes out as long before as that may take.
        """
        self.shutdown.begin(seconds)
        sent_and_recorded = self.cfg.targets.service_timeout + RECORD_TIMEOUT_SECONDS
        self.last_sends.begin(seconds - sent_and_recorded)

    async def _release_leases(self) -> None:
        """Give the leases up before the wait for requests, which may be long."""
        calls = RELEASE_CALLS * self.cfg.platform.timeout
        with trio.move_on_after(ORDER_TIMEOUT_SECONDS + calls):
            await self.pool_loop.release()

    async def _wait_until_done(self) -> None:
        """Return once nothing is under way, requests still being read included."""
        while self.services.open_confirmations or self.pending:
            await trio.sleep(EMPTY_CHECK_SECONDS)
        await self._wait_until_answered()

    async def _wait_until_answered(self) -> None:
        while self.handler.in_flight:
            await trio.sleep(EMPTY_CHECK_SECONDS)
        await self.server.wait_until_quiet(0)
        # The last, since nothing may wait between its last look and the end.
        await self.server.finish()

    async def _give_last_answers(self) -> None:
        """Let what the end of the stop has answered reach its callers."""
        with trio.move_on_after(LAST_ANSWER_SECONDS) as scope:
            await self._wait_until_answered()
        if scope.cancelled_caught:
            logger.error("stopped with work in flight")

    def on_stop(self) -> None:
        """Note that the process ends."""
        logger.info("stopped", extra={"incarnation": self.incarnation})


def _limits(cfg: CallerSettings) -> ServerLimits:
    return ServerLimits(
        header_bytes=cfg.header_bytes,
        body_bytes=cfg.body_bytes,
        request_seconds=cfg.request_seconds,
        idle_seconds=cfg.idle_seconds,
        write_seconds=cfg.write_seconds,
        connections=cfg.connections,
    )


def _leaving(entry: HostEntry) -> HostEntry:
    return HostEntry(
        host=entry.host,
        incarnation=entry.incarnation,
        domain=entry.domain,
        state=HostState.LEAVING,
        peer_address=entry.peer_address,
        admin_address=entry.admin_address,
    )
