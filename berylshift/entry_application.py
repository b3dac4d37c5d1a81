"""The entry application: wires a host that serves the platform's routes."""

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass

import trio

from berylshift.clock import Clock
from berylshift.connection.entry_status import EntryStatus
from berylshift.connection.http_server import HttpServer, ServerLimits
from berylshift.connection.target_client import TargetClient
from berylshift.entry_duties import DutyParts, EntryDuties
from berylshift.entry_gauges import report_gauges
from berylshift.ids import DomainName, HostName, InstanceId, ServiceName
from berylshift.messages.engine_control import EngineControl
from berylshift.messages.replicas import ENTRY_TTL_HEARTBEATS
from berylshift.messages.routed import WireCodec
from berylshift.messages.scaling import ScaleOrdering, ScaleRows
from berylshift.messages.usage import UsageReporting, UsageRows
from berylshift.process.directory.directory_loop import DirectoryLoop
from berylshift.process.directory.expected_phases import ExpectedPhases
from berylshift.process.directory.replica_set import ReplicaSet
from berylshift.process.directory.route_holder import RouteHolder
from berylshift.process.directory.store_watch import StoreWatch
from berylshift.process.gossip.digest_builder import DigestSources
from berylshift.process.gossip.load_loop import LoadLink, LoadLoop, LoadLoopDependencies
from berylshift.process.gossip.peer_loads import PeerLoads
from berylshift.process.leader_tasks.leader_lease import LeaderLease
from berylshift.process.leader_tasks.phase_loop import PhaseLoop
from berylshift.process.leader_tasks.phase_planner import PhasePlanner
from berylshift.process.limits.shared_retry_budget import (
    DEFAULT_HOST_COUNT,
    SharedRetryBudget,
)
from berylshift.process.quarantine.quarantine import Quarantine
from berylshift.process.quarantine.quarantine_loop import QuarantineLoop
from berylshift.process.shutdown import Shutdown
from berylshift.process.targets.engine_speeds import EngineSpeeds
from berylshift.process.targets.limit_shares import LimitShare, LimitShares
from berylshift.process.targets.prefix_cache_index import PrefixCacheIndex
from berylshift.process.targets.rate_limits import RateLimits
from berylshift.process.targets.recent_durations import RecentDurations
from berylshift.process.targets.target_load import TargetLoads
from berylshift.process.targets.throttle import Throttle
from berylshift.request.fingerprint import RequestFingerprinter
from berylshift.request.key_gate import KeyGate
from berylshift.request.placement_policies import PLACEMENT_POLICIES, PlacementContext
from berylshift.request.prefill_client import PrefillClient
from berylshift.request.prefill_scheduler import PrefillScheduler
from berylshift.request.relay_dependencies import RelayDependencies
from berylshift.request.routed_handler import RoutedHandler
from berylshift.request.target_gate import ReplicaGate
from berylshift.settings import Settings
from berylshift.store.crash_rows import CrashRows
from berylshift.store.directory import Directory
from berylshift.store.host_rows import HostRows
from berylshift.store.lease_rows import LeaseRows
from berylshift.telemetry import Telemetry
from berylshift.version.routes import EngineFacts, RouteTable, Service

logger = logging.getLogger(__name__)

# How long a system that starts for the first time may be without callers.
FIRST_START_SECONDS = 15.0
# The pause after news of replicas; well within the time that a leaving one is given.
REST_SECONDS_A_HOST = 0.01
LONGEST_REST_SECONDS = 0.8
# The balancer asks every second and takes a host out after two misses.
BALANCER_NOTICE_SECONDS = 2.5
# A new connection that was on its way when the balancer took the host out.
QUIET_SECONDS = 0.5
# Of the time that the platform grants a stop, what is left for ending the process.
STOP_MARGIN_SECONDS = 0.8
# What the last answers get to reach their callers before the connections close.
LAST_ANSWER_SECONDS = 0.2
# Times that callers may need beyond their stated idle bound: their clocks and links.
IDLE_SLACK_SECONDS = 1.0
WHOLE_REQUEST_SECONDS = 10.0


@dataclass
class EntryPorts:
    """The outside as this process meets it; tests hand in fakes."""

    clock: Clock
    rng: random.Random
    directory: Directory
    language: WireCodec
    client: TargetClient
    leases: LeaseRows
    engines: EngineControl
    boot_clock: Callable[[], float]
    hosts: HostRows
    crashes: CrashRows
    usage_rows: UsageRows
    usage_reporting: UsageReporting
    scale_ordering: ScaleOrdering
    scale_rows: ScaleRows
    make_link: Callable[[str], LoadLink]


class EntryApplication:
    """One entry host, without its listeners."""

    def __init__(self, cfg: Settings, ports: EntryPorts):
        """Wire the parts; nothing runs yet."""
        self.cfg = cfg
        self.ports = ports
        self.telemetry = Telemetry()
        self.routes = RouteHolder(self._on_routes)
        self.phases = ExpectedPhases()
        self.heartbeat = cfg.directory.heartbeat_ms / 1000
        self.replicas = ReplicaSet(self.phases, ENTRY_TTL_HEARTBEATS * self.heartbeat)
        self.loads = TargetLoads(lambda: self.load_loop.notify_work())
        self.leaving = False
        self.shutdown = Shutdown(ports.clock)
        self.times = RecentDurations(ports.clock)
        self._started = ports.clock.monotonic()
        self._pools: set[ServiceName] = set()
        self._budgets: dict[ServiceName, SharedRetryBudget] = {}
        self._nursery: trio.Nursery | None = None
        self.peers = PeerLoads(cfg.host.name, cfg.host.domain)
        in_force = min(cfg.directory.in_force_ms, cfg.directory.leaving_ms) / 1000
        self.watch = StoreWatch(in_force, ports.boot_clock)
        self.warm = PrefixCacheIndex()
        self.quarantine = Quarantine(self.heartbeat)
        self.fingerprints = RequestFingerprinter()
        self.speeds = EngineSpeeds(self._engine_facts)
        self.throttle = self._make_throttle()
        placing = PlacementContext(
            self.loads,
            self.peers,
            self.warm,
            self.speeds,
            DomainName(cfg.host.domain),
            ports.rng,
        )
        placer = PLACEMENT_POLICIES[cfg.entry.placing](placing)
        reads = PrefillClient(
            ports.language,
            ports.client,
            self.loads,
            ports.clock,
            self._in_background,
        )
        self.duties = self._make_duties()
        self.load_loop = self._make_load_loop()
        self.quarantine_loop = QuarantineLoop(
            self.quarantine, ports.crashes, self.watch.clock, ports.clock
        )
        self.watch.eras.subscribe(self.quarantine.row_queue.rewrite_all)
        deps = RelayDependencies(
            clock=ports.clock,
            codec=ports.language,
            client=ports.client,
            replicas=self.replicas,
            loads=self.loads,
            speeds=self.speeds,
            placer=placer,
            prefill_client=reads,
            shutdown=self.shutdown,
            retry_budget_for=self.budget,
            prefill_scheduler=PrefillScheduler(
                placer, self.speeds, self._hosts_that_share
            ),
            recent_durations=self.times,
            quarantine=self.quarantine,
            fingerprints=self.fingerprints,
            throttle=self.throttle,
            on_run_started=self.duties.run_began,
        )
        key_gate = KeyGate(
            self.routes,
            cfg.directory.in_force_ms / 1000,
            cfg.entry.keys_expire_ms / 1000 or None,
        )
        self.handler = RoutedHandler(
            deps, self.routes, key_gate, ports.rng, self.telemetry.request_ended
        )
        self.server = HttpServer(self.handler.handle, streams_bodies=True)
        status = EntryStatus(cfg.entry.ready_path, self.is_ready, self.telemetry.text)
        self.status_server = HttpServer(status.handle)
        self.follower = DirectoryLoop(
            ports.directory,
            self.routes,
            self.replicas,
            ports.clock,
            ports.rng,
            self.watch,
            self._feed_rest,
            lambda: self.load_loop.known_hosts or 1,
            self._forget_replica,
        )

    def _make_throttle(self) -> Throttle:
        """Return what all calls to replicas go by."""
        ports = self.ports
        shares = LimitShares(
            HostName(self.cfg.host.name),
            lambda: self.load_loop.sharing_hosts(),
            DEFAULT_HOST_COUNT,
        )

        def share_of(instance: InstanceId, per_second: float) -> LimitShare:
            domain = self.replicas.domain_of(instance)
            return shares.share(instance, domain, per_second)

        throttle = Throttle(RateLimits(share_of, ports.rng), self.replicas.instance_of)
        ports.client.set_gate(
            ReplicaGate(ports.language, throttle, self.replicas, ports.clock)
        )
        return throttle

    def _make_load_loop(self) -> LoadLoop:
        cfg, ports = self.cfg, self.ports
        digest = DigestSources(
            host=cfg.host.name,
            domain=cfg.host.domain,
            loads=self.loads,
            peers=self.peers,
            prefix_cache=self.warm,
            phases=self.phases,
            watch=self.watch,
            quarantine=self.quarantine,
            usage=self.duties.usage,
            throttle=self.throttle,
        )
        parts = LoadLoopDependencies(
            sources=digest,
            address=cfg.host.peer_address,
            rows=ports.hosts,
            make_link=ports.make_link,
            clock=ports.clock,
            rng=ports.rng,
            byte_budget=cfg.peers.byte_budget,
            on_store_change=lambda: self.follower.notify_change(),
            eras=self.watch.eras,
            on_joined=self.fingerprints.use_key,
        )
        return LoadLoop(parts)

    def budget(self, service: ServiceName) -> SharedRetryBudget:
        """Return the retry budget of a service."""
        found = self._budgets.get(service)
        if found is None:
            cfg = self.cfg.entry
            found = SharedRetryBudget(
                cfg.retry_ratio, cfg.retry_window, cfg.retry_burst
            )
            self._budgets[service] = found
        found.host_count = self._hosts_that_share()
        return found

    def _engine_facts(self, service: ServiceName) -> EngineFacts | None:
        """Return what the routes in force say of a service's engines."""
        table = self.routes.table
        found = None if table is None else table.services.get(service)
        return None if found is None else found.engine

    def _forget_replica(self, instance: InstanceId) -> None:
        """Drop what is kept of a replica that is gone."""
        self.loads.forget(instance)
        self.warm.forget(instance)
        self.throttle.forget(instance)
        self.ports.client.forget(instance)

    def _feed_rest(self) -> float:
        """Return the pause after news of replicas: the more hosts, the longer."""
        known = self.load_loop.known_hosts or 1
        return min(LONGEST_REST_SECONDS, REST_SECONDS_A_HOST * known)

    def _hosts_that_share(self) -> int:
        """Return how many hosts share a limit; many, until it is known."""
        return self.load_loop.known_hosts or DEFAULT_HOST_COUNT

    def _in_background(self, task, *args) -> None:
        """Run a task that no request waits for; what breaks in it ends it alone."""

        async def run() -> None:
            try:
                await task(*args)
            except Exception:
                # Passed on, it would end the process and all callers' requests.
                logger.exception("background task failed")

        if self._nursery is None:
            return
        try:
            self._nursery.start_soon(run)
        except RuntimeError:
            # The process ends; raised here, it would end the answer under way.
            logger.info("background task dropped", extra={"reason": "stopping"})

    def _on_routes(self, table: RouteTable) -> None:
        """Take over the bounds on callers that came with the routes."""
        limits = table.limits
        self.server.limits = ServerLimits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            request_seconds=WHOLE_REQUEST_SECONDS,
            idle_seconds=limits.idle_seconds + IDLE_SLACK_SECONDS,
            write_seconds=self.cfg.callers.write_seconds,
            connections=self.cfg.callers.connections,
        )

        self.duties.on_routes(table)
        if self._nursery is not None and self.cfg.entry.reading_share > 0:
            for service in table.services.values():
                if service.engine is not None and service.name not in self._pools:
                    self._pools.add(service.name)
                    self._nursery.start_soon(self._make_pool(service.name).run)

    def _lease(self, duty: str, keeps: bool = False) -> LeaderLease:
        cfg, ports = self.cfg, self.ports
        return LeaderLease(
            ports.leases,
            duty,
            cfg.host.name,
            cfg.entry.orders_apart_ms / 1000,
            ports.rng,
            ports.boot_clock,
            self.watch.eras,
            cfg.entry.first_start,
            keeps,
        )

    def _make_duties(self) -> EntryDuties:
        ports = self.ports
        parts = DutyParts(
            clock=ports.clock,
            boot_clock=ports.boot_clock,
            usage_rows=ports.usage_rows,
            usage_reporting=ports.usage_reporting,
            scale_ordering=ports.scale_ordering,
            scale_rows=ports.scale_rows,
            replicas=self.replicas,
            eras=self.watch.eras,
            services=self._services,
            lease=lambda duty: self._lease(duty, keeps=True),
            place=self._duty_place,
            calm=self.is_calm,
        )
        return EntryDuties(self.cfg, parts)

    def _services(self) -> tuple[Service, ...]:
        table = self.routes.table
        return () if table is None else tuple(table.services.values())

    def _duty_place(self, duty: str) -> int | None:
        """Return this host's place in order for a duty; none while it leaves."""
        return None if self.leaving else self.load_loop.duty_rank(duty)

    def _make_pool(self, service: ServiceName) -> PhaseLoop:
        cfg, ports = self.cfg, self.ports
        lease = self._lease(f"phases/{service}")
        return PhaseLoop(
            service=service,
            planner=PhasePlanner(cfg.entry.reading_share),
            lease=lease,
            control=ports.engines,
            replicas=self.replicas,
            phases=self.phases,
            clock=ports.clock,
            rng=ports.rng,
            is_idle=self.is_calm,
            host_count=self._hosts_that_share,
            holder=cfg.host.name,
            is_stopping=lambda: self.leaving,
            is_limited=lambda instance: self.throttle.is_limited(
                instance, ports.clock.monotonic()
            ),
        )

    def adopt(self, cfg: Settings) -> None:
        """Take over changed settings; what listeners were made from stays."""
        self.cfg = cfg
        for budget in self._budgets.values():
            entry = cfg.entry
            budget.set_limits(entry.retry_ratio, entry.retry_window, entry.retry_burst)
        logging.getLogger().setLevel(cfg.observability.log_level)
        if self.routes.table is not None:
            self._on_routes(self.routes.table)

    def is_calm(self) -> bool:
        """Return whether the whole system starts and no caller has come yet.

        Engines may then all change phase at once. A process that alone starts again
        has seen no caller either, but is told that the system is not starting.
        """
        if not self.cfg.entry.first_start or self.handler.handled:
            return False
        age = self.ports.clock.monotonic() - self._started
        return age < FIRST_START_SECONDS

    def is_ready(self) -> bool:
        """Return what the balancer is told.

        Knowledge that has grown old keeps the host ready: targets check the instance
        that a request names, so old knowledge costs a try, while all hosts not ready
        would cost every request.
        """
        if self.leaving or self.routes.table is None:
            return False
        return self.replicas.confirmed_at is not None

    async def run(self) -> None:
        """Run the loops until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self.ports.client.run)
            nursery.start_soon(self.follower.run)
            nursery.start_soon(self.load_loop.run)
            nursery.start_soon(self.quarantine_loop.run)
            nursery.start_soon(report_gauges, self)
            nursery.start_soon(self.duties.run)

    def on_start(self) -> None:
        """Note that the process runs."""
        logger.info("started", extra={"domain": self.cfg.host.domain})

    async def on_shutdown(self) -> None:
        """Carry out a planned stop; return once nothing is in flight.

        The balancer needs some seconds to see that the host is not ready: what it
        sends meanwhile is served if it ends in time, and told to come back otherwise.
        """
        self.leaving = True
        self.server.draining = True
        grace = self.cfg.entry.grace - STOP_MARGIN_SECONDS
        logger.info(
            "leaving", extra={"in_flight": self.handler.in_flight, "ends_in": grace}
        )
        requests_end = grace - LAST_ANSWER_SECONDS
        self.shutdown.begin(requests_end, BALANCER_NOTICE_SECONDS)
        with trio.move_on_after(requests_end):
            await trio.sleep(BALANCER_NOTICE_SECONDS)
            self.server.close_idle()
            await self.server.wait_until_idle(QUIET_SECONDS)
        with trio.move_on_after(LAST_ANSWER_SECONDS) as scope:
            await self.server.finish()
        if scope.cancelled_caught:
            logger.error("stopped", extra={"in_flight": self.handler.in_flight})

    def on_stop(self) -> None:
        """Note that the process ends."""
        self.ports.client.close()
        logger.info("stopped", extra={"in_flight": self.handler.in_flight})
