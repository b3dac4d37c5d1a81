"""Entry application: wires a host that serves the platform's routes."""

import logging
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import cached_property, partial

import trio

from berylshift.clock import Clock
from berylshift.connection.entry_status import EntryStatus
from berylshift.connection.http_client import Dial, dial_tcp
from berylshift.connection.http_server import HttpServer, ServerLimits
from berylshift.connection.request_memory import RequestMemory, request_bytes
from berylshift.connection.target_client import TargetClient
from berylshift.entry_gauges import report_gauges
from berylshift.entry_leader_tasks import EntryLeaderTasks, LeaderTaskDependencies
from berylshift.host_paths import HostPaths, PathDependencies, PathTarget
from berylshift.ids import (
    DomainName,
    HostName,
    InstanceId,
    ServiceName,
    SoftwareVersion,
)
from berylshift.messages.block_key import BlockHash
from berylshift.messages.engine_control import EngineControl
from berylshift.messages.replicas import ENTRY_TTL_HEARTBEATS
from berylshift.messages.routed import WireCodec
from berylshift.messages.scaling import ScaleOrdering, ScaleRows
from berylshift.messages.usage import UsageReporting, UsageRows
from berylshift.process.directory.directory_loop import DirectoryLoop
from berylshift.process.directory.expected_phases import ExpectedPhases
from berylshift.process.directory.replica_set import ReplicaSet
from berylshift.process.directory.replica_updates import ReplicaUpdates
from berylshift.process.directory.route_holder import RouteHolder
from berylshift.process.directory.store_past_loop import StorePastLoop
from berylshift.process.directory.store_watch import Feed, StoreWatch
from berylshift.process.directory.version_check_loop import VersionCheck
from berylshift.process.gossip.digest_builder import DigestSources
from berylshift.process.gossip.election import order_key
from berylshift.process.gossip.load_loop import LoadLink, LoadLoop, LoadLoopDependencies
from berylshift.process.gossip.peer_loads import PeerLoads
from berylshift.process.leader_tasks.leader_lease import LeaderLease
from berylshift.process.leader_tasks.phase_loop import PhaseLoop
from berylshift.process.leader_tasks.phase_planner import PhasePlanner
from berylshift.process.limits.shared_retry_budget import (
    DEFAULT_HOST_COUNT,
    SharedRetryBudget,
)
from berylshift.process.loop_monitor import LoopMonitor
from berylshift.process.quarantine.quarantine import Quarantine
from berylshift.process.quarantine.quarantine_loop import QuarantineLoop
from berylshift.process.queues.queue_loop import (
    QueueLink,
    QueueLoop,
    QueueLoopDependencies,
)
from berylshift.process.queues.queue_view import QueueView
from berylshift.process.shutdown import Shutdown
from berylshift.process.streams.origin_loop import (
    OriginLink,
    OriginLoop,
    OriginLoopDependencies,
    VersionSources,
)
from berylshift.process.streams.origin_records import KEEP_SECONDS
from berylshift.process.targets.customer_demand import CustomerDemand
from berylshift.process.targets.engine_speeds import EngineSpeeds
from berylshift.process.targets.fetch_results import FetchResults
from berylshift.process.targets.handle_losses import HandleLosses
from berylshift.process.targets.host_demand import HostDemand
from berylshift.process.targets.limit_shares import LimitShare, LimitShares
from berylshift.process.targets.prefix_cache_index import PrefixCacheIndex
from berylshift.process.targets.rate_limits import RateLimits
from berylshift.process.targets.recent_durations import RecentDurations
from berylshift.process.targets.replica_speeds import ReplicaSpeeds
from berylshift.process.targets.route_history import RouteHistory
from berylshift.process.targets.target_load import TargetLoads
from berylshift.process.targets.throttle import Throttle
from berylshift.request.engine_queues import EngineQueues
from berylshift.request.fingerprint import RequestFingerprinter
from berylshift.request.key_gate import KeyGate
from berylshift.request.prefill_client import PrefillClient
from berylshift.request.relay_dependencies import RelayDependencies
from berylshift.request.replica_gate import ReplicaGate
from berylshift.request.routed_handler import RoutedHandler
from berylshift.scheduling.capacity import ReplicaCapacity
from berylshift.scheduling.decode_cache import DecodeCache
from berylshift.scheduling.fair_queueing import FairQueueing
from berylshift.scheduling.features import Feature, FeatureMode, Features
from berylshift.scheduling.phase_split import (
    ObservedStreams,
    PhaseSplit,
    smallest_event_gap,
)
from berylshift.scheduling.placement_policies import (
    PLACEMENT_POLICIES,
    PlacementContext,
)
from berylshift.scheduling.prefill_scheduler import PrefillScheduler
from berylshift.scheduling.used_capacity import UsedCapacity
from berylshift.settings import Settings
from berylshift.store.checkpoint_rows import CheckpointRows
from berylshift.store.crash_rows import CrashRows
from berylshift.store.directory import Directory
from berylshift.store.host_rows import HostRows
from berylshift.store.lease_rows import LeaseRows
from berylshift.supervision import Loop, PropagatingSupervisor, Supervisor
from berylshift.telemetry import Telemetry
from berylshift.version.routes import EngineFacts, RouteTable, Service

logger = logging.getLogger(__name__)

# Time after start in which a system that starts for the first time may have no callers.
FIRST_START_SECONDS = 15.0
# Pause after an update of the replica feed, which grows with the number of hosts. It
# stays well below the time within which a draining replica must get no new work.
FEED_PAUSE_SECONDS_PER_HOST = 0.01
MAX_FEED_PAUSE_SECONDS = 0.8
# The load balancer probes every second and removes a host after two failed probes.
BALANCER_NOTICE_SECONDS = 2.5
# Covers a connection that was being opened when the load balancer removed the host.
QUIET_SECONDS = 0.5
# Part of the platform's shutdown grace period that is reserved for process exit.
STOP_MARGIN_SECONDS = 0.8
# Time for the final responses to reach their callers before the connections close.
FINAL_RESPONSE_SECONDS = 0.2
# Added to the idle timeout announced to callers, for their clock rates and latency.
IDLE_SLACK_SECONDS = 1.0
REQUEST_READ_TIMEOUT_SECONDS = 10.0
# Stands for the versions of other services; no replica reports it.
VERSION_ELSEWHERE = SoftwareVersion("\0elsewhere")


@dataclass
class EntryPorts:
    """External dependencies of the process; tests pass fakes."""

    clock: Clock
    rng: random.Random
    directory: Directory
    codec: WireCodec
    client: TargetClient
    leases: LeaseRows
    engines: EngineControl
    boot_clock: Callable[[], float]
    hosts: HostRows
    checkpoints: CheckpointRows
    crashes: CrashRows
    block_crashes: CrashRows
    usage_rows: UsageRows
    usage_reporting: UsageReporting
    scale_ordering: ScaleOrdering
    scale_rows: ScaleRows
    make_link: Callable[[str], LoadLink]
    # Returns whether a list of contracts, as in the settings, includes contention.
    announces_contention: Callable[[str], bool] = lambda contracts: False
    # Makes the link for queue messages; ``None``: hosts exchange none.
    make_queue_link: Callable[[str], QueueLink] | None = None
    # Makes the link for streams' origins; ``None``: hosts tell none.
    make_origin_link: Callable[[str], OriginLink] | None = None
    # Opens connections to other hosts, for tunnels.
    dial_peer: Dial = dial_tcp
    supervisor: Supervisor = field(default_factory=PropagatingSupervisor)


class EntryApplication:
    """Entry host that serves the platform's routes, without its listeners."""

    is_stopping = False
    _nursery: trio.Nursery | None = None

    def __init__(self, cfg: Settings, ports: EntryPorts):
        """Wire the components; ``run`` starts them."""
        self.cfg = cfg
        self.ports = ports
        self.telemetry = Telemetry()
        self.route_history = RouteHistory()
        self.routes = RouteHolder(self._on_routes, self._on_routes_gap)
        self.phases = ExpectedPhases()
        self.heartbeat_seconds = cfg.directory.heartbeat_ms / 1000
        self.replicas = ReplicaSet(
            self.phases,
            ENTRY_TTL_HEARTBEATS * self.heartbeat_seconds,
            self._uses_replica_gossip,
        )
        self.loads = TargetLoads(lambda: self.load_loop.notify_work())
        self.shutdown = Shutdown(ports.clock)
        self.recent_durations = RecentDurations(ports.clock)
        self._started = ports.clock.monotonic()
        self._phase_loop_services: set[ServiceName] = set()
        self._retry_budgets: dict[ServiceName, SharedRetryBudget] = {}
        self.peers = PeerLoads(cfg.host.name, cfg.host.domain)
        self.store_watch = StoreWatch(
            min(cfg.directory.in_force_ms, cfg.directory.leaving_ms) / 1000,
            ports.boot_clock,
        )
        self.prefix_cache = PrefixCacheIndex()
        self.quarantine = Quarantine(self.heartbeat_seconds)
        self.fingerprints = RequestFingerprinter()
        self.speeds = EngineSpeeds(self._engine_facts)
        self.throttle = self._make_throttle()
        self.replica_speeds = ReplicaSpeeds(
            self.speeds,
            self.replicas.listed,
            self.replicas.instance_of,
            lambda service: self.features.uses(Feature.REPLICA_SPEEDS, service),
            FeatureMode(cfg.scheduling.replica_speeds) is not FeatureMode.OFF,
        )
        self.features = self._make_features()
        self.capacity: ReplicaCapacity = UsedCapacity(
            self.replica_speeds, self.features
        )
        self.fetch_results = FetchResults()
        self.handle_losses = HandleLosses(
            cfg.host.name, cfg.host.domain, self.replicas.instance_of
        )
        self.queue_view = QueueView()
        self.queue_loop = self._make_queue_loop()
        self.origins = self._make_origin_loop()
        self.customer_demand = CustomerDemand(cfg.host.name, cfg.host.domain)
        self.fair_queueing = self._make_fair_queueing()
        self.replica_updates = ReplicaUpdates(cfg.host.name, self._uses_replica_gossip)
        self.paths = self._make_paths()
        self.leader_tasks = self._make_leader_tasks()
        self.load_loop = self._make_load_loop()
        self.quarantine_loops = self._make_quarantine_loops()
        self.handler = self._make_handler()
        self.server, self.status_server = self._make_servers()
        self.directory_loop = DirectoryLoop(
            ports.directory,
            self.routes,
            self.replicas,
            ports.clock,
            ports.rng,
            self.store_watch,
            self._feed_pause_seconds,
            lambda: self.load_loop.known_hosts or 1,
            self._forget_replica,
            self.replica_updates,
        )

    def _stream_versions(
        self, service: ServiceName, seconds: float, now: float
    ) -> frozenset[SoftwareVersion]:
        """Return the versions at which streams of a service may have begun.

        Replicas serve for a while after their entries are gone, and a host that has not
        heard of that still sends requests to them. The same holds for routes. Both
        count for as long as records of streams are kept, so that a stream without one
        is not guessed.
        """
        seconds = max(seconds, KEEP_SECONDS)
        found = self.replicas.versions.versions(service, seconds, now)
        if self.route_history.has_gained(service, seconds, now):
            found |= {VERSION_ELSEWHERE}
        return found

    @cached_property
    def store_past(self) -> StorePastLoop:
        """Return the loop that learns from the store's history."""
        return StorePastLoop(
            self.ports.directory,
            self.ports.checkpoints,
            self.store_watch,
            self.replicas,
            self.route_history,
            self.ports.clock,
            lambda: len(self.replicas) / self.heartbeat_seconds,
            lambda: self.load_loop.hears_all(),
        )

    @cached_property
    def request_memory(self) -> RequestMemory:
        """Return what this process may hold for callers' requests."""
        return RequestMemory(request_bytes(self.cfg.host.memory_mb), self.ports.rng)

    @cached_property
    def host_demand(self) -> HostDemand:
        """Return the rates of requests by which hosts divide replicas' limits."""
        return HostDemand(self.cfg.host.name, lambda: self.throttle.has_limits)

    def _make_paths(self) -> HostPaths:
        """Return the paths to replicas, installed in the client."""
        client = self.ports.client
        deps = PathDependencies(
            host=HostName(self.cfg.host.name),
            domain=DomainName(self.cfg.host.domain),
            dial=client.dial,
            dial_peer=self.ports.dial_peer,
            targets=self._path_targets,
            hosts=lambda: self.load_loop.sharing_hosts(),
            clock=self.ports.clock,
            rng=self.ports.rng,
            start_task=self._start_background_task,
            is_stopping=lambda: self.is_stopping,
            on_silent=client.break_silent,
            on_path_at_fault=self.loads.clear_failures,
            is_full=self._is_full,
        )
        paths = HostPaths(deps)
        client.set_dialer(paths.dialer)
        return paths

    def _is_full(self, instance: InstanceId) -> bool:
        """Return whether requests wait at a replica, as it reported lately."""
        return self.loads.of(instance).is_full(self.ports.clock.monotonic())

    def _path_targets(self) -> list[PathTarget]:
        return [
            PathTarget(rep.instance, rep.address, rep.draining)
            for rep in self.replicas.entries()
        ]

    def _is_cut_off_from(self, service: ServiceName) -> bool:
        """Return whether most paths to a service's replicas are lost."""
        listed = self.replicas.listed(service)
        return self.paths.states.is_cut_off(rep.address for rep in listed)

    def _make_quarantine_loops(self) -> list[QuarantineLoop]:
        """Return the loops that keep quarantined requests and blocks in the store."""
        ports, blocks = self.ports, self.quarantine.blocks
        blocks.trial_rank = self._trial_rank
        loops = []
        for records, rows in (
            (self.quarantine, ports.crashes),
            (blocks, ports.block_crashes),
        ):
            self.store_watch.eras.subscribe(records.row_queue.rewrite_all)
            loops.append(
                QuarantineLoop(records, rows, self.store_watch.clock, ports.clock)
            )
        return loops

    def _trial_rank(self, block: BlockHash) -> int:
        """Return how many hosts precede this one in making the trial of a block."""
        hosts = self.load_loop.sharing_hosts() or []
        own = order_key(f"{block}/{self.cfg.host.name}")
        return sum(order_key(f"{block}/{rec.host}") < own for rec in hosts)

    def _make_handler(self) -> RoutedHandler:
        """Return the handler of callers' requests."""
        ports = self.ports
        placement_context = self._make_placement_context()
        placer = PLACEMENT_POLICIES[self.cfg.entry.placing](placement_context)
        queues = EngineQueues(self.queue_loop, self.features)
        prefill_client = PrefillClient(
            ports.codec,
            ports.client,
            self.loads,
            ports.clock,
            self._start_background_task,
            self.replica_speeds,
            queues,
            self.replicas.suspects,
        )
        deps = RelayDependencies(
            clock=ports.clock,
            codec=ports.codec,
            client=ports.client,
            replicas=self.replicas,
            loads=self.loads,
            speeds=self.speeds,
            placer=placer,
            prefill_client=prefill_client,
            shutdown=self.shutdown,
            retry_budget_for=self.retry_budget,
            prefill_scheduler=PrefillScheduler(
                placer,
                self.speeds,
                self._sharing_host_count,
                placement_context.used_capacity(),
            ),
            fetches=placement_context.fetches,
            recent_durations=self.recent_durations,
            quarantine=self.quarantine,
            fingerprints=self.fingerprints,
            throttle=self.throttle,
            replica_speeds=self.replica_speeds,
            on_run_started=self.leader_tasks.on_run_started,
            features=self.features,
            handle_losses=self.handle_losses,
            fair_queueing=self.fair_queueing,
            prefix_cache=self.prefix_cache,
            queues=queues,
            suspects=self.replicas.suspects,
            origins=self.origins,
            route_history=self.route_history,
            is_path_lost=self.paths.states.is_lost,
            memory=self.request_memory,
            host_demand=self.host_demand,
        )
        key_gate = KeyGate(
            self.routes,
            self.cfg.directory.in_force_ms / 1000,
            self.cfg.entry.keys_expire_ms / 1000 or None,
            partial(self.store_watch.age, Feed.ROUTES),
        )
        return RoutedHandler(
            deps, self.routes, key_gate, ports.rng, self.telemetry.request_ended
        )

    def _make_servers(self) -> tuple[HttpServer, HttpServer]:
        """Return the servers of callers' requests and of the status."""
        status = EntryStatus(
            self.cfg.entry.ready_path, self.is_ready, self.telemetry.text
        )
        callers = HttpServer(
            self.handler.handle, streams_bodies=True, memory=self.request_memory
        )
        return callers, HttpServer(status.handle)

    def _make_placement_context(self) -> PlacementContext:
        """Return the state that placement works with."""
        return PlacementContext(
            self.loads,
            self.peers,
            self.prefix_cache,
            self.speeds,
            DomainName(self.cfg.host.domain),
            self.ports.rng,
            capacity=self.replica_speeds,
            features=self.features,
            fetch_results=self.fetch_results,
            queues=self.queue_view,
            decode_cache=self._make_decode_cache(),
        )

    def _make_queue_loop(self) -> QueueLoop | None:
        """Return the loop that asks for engines' queues; ``None``: it is off."""
        ports, mode = self.ports, FeatureMode(self.cfg.scheduling.queue_queries)
        if ports.make_queue_link is None or mode is FeatureMode.OFF:
            return None
        deps = QueueLoopDependencies(
            host=self.cfg.host.name,
            address=self.cfg.host.peer_address,
            hosts=lambda: self.load_loop.sharing_hosts(),
            make_link=ports.make_queue_link,
            clock=ports.clock,
            rng=ports.rng,
            view=self.queue_view,
            byte_budget=self.cfg.peers.byte_budget,
        )
        return QueueLoop(deps)

    def _make_origin_loop(self) -> OriginLoop | None:
        """Return the loop that tells where streams began; ``None``: it is off."""
        ports, replicas = self.ports, self.replicas
        if ports.make_origin_link is None:
            return None
        check = VersionCheck(ports.directory, self.store_watch, ports.clock)
        versions = VersionSources(
            versions=self._stream_versions,
            is_complete=replicas.versions.is_complete,
            services=replicas.versions.services,
            known_from=lambda: replicas.versions.known_from,
            position=self.store_watch.replicas_position,
            learn_past=self.store_past.learn,
            is_sole=check.is_sole,
            is_store_lost=lambda: replicas.is_store_lost,
            silent_hosts=lambda: self.load_loop.silent_hosts(),
            routes=self.route_history,
            routes_version=lambda: self.routes.table and self.routes.table.version,
        )
        deps = OriginLoopDependencies(
            host=self.cfg.host.name,
            address=self.cfg.host.peer_address,
            hosts=lambda: self.load_loop.sharing_hosts(),
            make_link=ports.make_origin_link,
            clock=ports.clock,
            rng=ports.rng,
            versions=versions,
        )
        loop = OriginLoop(deps)
        replicas.on_further_version = replicas.on_uncertain = loop.tell_all
        return loop

    def _use_key(self, key: str) -> None:
        """Use the key that all hosts share."""
        self.fingerprints.use_key(key)
        self.paths.use_key(key)
        if self.queue_loop is not None:
            self.queue_loop.use_key(key)
        if self.origins is not None:
            self.origins.use_key(key)

    def _make_fair_queueing(self) -> FairQueueing:
        """Return what decides which prompts wait for their customer's share."""
        return FairQueueing(
            self.features,
            self.customer_demand,
            self.loads,
            self.peers,
            self.speeds,
            self.ports.rng,
            self._sharing_host_count,
            UsedCapacity(self.replica_speeds, self.features),
        )

    def _make_throttle(self) -> Throttle:
        """Return the throttle for all calls to replicas, installed in the client."""
        ports = self.ports
        shares = LimitShares(
            HostName(self.cfg.host.name),
            lambda: self.load_loop.sharing_hosts(),
            DEFAULT_HOST_COUNT,
            lambda hosts: self.host_demand.fraction(hosts, ports.clock.monotonic()),
        )

        def share_for(instance: InstanceId, requests_per_second: float) -> LimitShare:
            domain = self.replicas.domain_of(instance)
            return shares.share(instance, domain, requests_per_second)

        throttle = Throttle(RateLimits(share_for, ports.rng), self.replicas.instance_of)
        ports.client.set_gate(
            ReplicaGate(ports.codec, throttle, self.replicas, ports.clock)
        )
        return throttle

    def _make_decode_cache(self) -> DecodeCache:
        """Return what decode engines cache, where their handles are tracked."""
        return DecodeCache(
            self.prefix_cache,
            lambda service: self.features.uses(Feature.HANDLE_TRACKING, service),
            self.speeds.kv_capacity_tokens,
        )

    def _make_features(self) -> Features:
        """Return the scheduling features, as the settings have them."""
        cfg = self.cfg.scheduling
        modes = {
            feature: FeatureMode(getattr(cfg, feature.value)) for feature in Feature
        }
        return Features(
            modes,
            self.ports.announces_contention(cfg.contracts),
            self.replica_speeds.states_work_time,
        )

    def _uses_replica_gossip(self) -> bool:
        """Return whether any service in force uses replica gossip."""
        table = self.routes.table
        services = () if table is None else table.services
        return any(
            self.features.uses(Feature.REPLICA_GOSSIP, service) for service in services
        )

    def _make_load_loop(self) -> LoadLoop:
        cfg, ports = self.cfg, self.ports
        sources = DigestSources(
            host=cfg.host.name,
            domain=cfg.host.domain,
            loads=self.loads,
            peers=self.peers,
            prefix_cache=self.prefix_cache,
            phases=self.phases,
            watch=self.store_watch,
            quarantine=self.quarantine,
            usage=self.leader_tasks.usage,
            throttle=self.throttle,
            replica_speeds=self.replica_speeds,
            handle_losses=self.handle_losses,
            customer_demand=self.customer_demand,
            replica_updates=self.replica_updates,
            host_demand=self.host_demand,
        )
        deps = LoadLoopDependencies(
            sources=sources,
            address=cfg.host.peer_address,
            rows=ports.hosts,
            make_link=ports.make_link,
            clock=ports.clock,
            rng=ports.rng,
            byte_budget=cfg.peers.byte_budget,
            on_store_change=lambda: self.directory_loop.notify_change(),
            eras=self.store_watch.eras,
            on_joined=self._use_key,
        )
        return LoadLoop(deps)

    def retry_budget(self, service: ServiceName) -> SharedRetryBudget:
        """Return the retry budget of a service, updated to the current host count."""
        found = self._retry_budgets.get(service)
        if found is None:
            cfg = self.cfg.entry
            found = SharedRetryBudget(
                cfg.retry_ratio, cfg.retry_window, cfg.retry_burst
            )
            self._retry_budgets[service] = found
        found.host_count = self.load_loop.budget_hosts or DEFAULT_HOST_COUNT
        return found

    def _engine_facts(self, service: ServiceName) -> EngineFacts | None:
        """Return the engine properties of a service from the routes in force."""
        table = self.routes.table
        found = None if table is None else table.services.get(service)
        return None if found is None else found.engine

    def _forget_replica(self, instance: InstanceId) -> None:
        """Drop the state of a removed replica."""
        self.loads.forget(instance)
        self.prefix_cache.forget(instance)
        self.fetch_results.forget(instance)
        self.throttle.forget(instance)
        self.replica_speeds.forget(instance)
        self.handle_losses.forget(instance)
        self.queue_view.forget(instance)
        self.ports.client.forget(instance)

    def _feed_pause_seconds(self) -> float:
        """Return the pause after a replica feed update, longer with more hosts."""
        host_count = self.load_loop.known_hosts or 1
        return min(MAX_FEED_PAUSE_SECONDS, FEED_PAUSE_SECONDS_PER_HOST * host_count)

    def _sharing_host_count(self) -> int:
        """Return how many hosts share a limit; a high default until that is known."""
        return self.load_loop.known_hosts or DEFAULT_HOST_COUNT

    def _start_background_task(self, task, *args) -> None:
        """Run a task that no request waits for; an exception ends only the task."""

        async def run() -> None:
            try:
                await task(*args)
            except Exception:
                # Propagated, it would end the process with all callers' requests.
                logger.exception("background task failed")

        if self._nursery is None:
            return
        try:
            self._nursery.start_soon(run)
        except RuntimeError:
            # The nursery is closed; raised, this would break the response in progress.
            logger.info("background task dropped", extra={"reason": "stopping"})

    def _on_routes_gap(self) -> None:
        """Record that versions of the routes may have come and gone unseen."""
        self.route_history.forget_past(self.ports.clock.monotonic())

    def _on_routes(self, table: RouteTable) -> None:
        """Apply the limits on callers that came with the routes."""
        limits = table.limits
        self.server.limits = ServerLimits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            request_seconds=REQUEST_READ_TIMEOUT_SECONDS,
            idle_seconds=limits.idle_seconds + IDLE_SLACK_SECONDS,
            write_seconds=self.cfg.callers.write_seconds,
            connections=self.cfg.callers.connections,
        )

        self.leader_tasks.on_routes(table)
        now = self.ports.clock.monotonic()
        for service in self.route_history.observe(table, now):
            if self.origins is not None:
                self.origins.tell_all(service)
        if self._nursery is not None and self.cfg.entry.reading_share > 0:
            for service in table.services.values():
                if (
                    service.engine is not None
                    and service.name not in self._phase_loop_services
                ):
                    self._phase_loop_services.add(service.name)
                    self._nursery.start_soon(
                        self.ports.supervisor.run,
                        "engine phases",
                        self._make_phase_loop(service.name).run,
                    )

    def _make_lease(self, task_name: str, can_reacquire: bool = False) -> LeaderLease:
        cfg, ports = self.cfg, self.ports
        return LeaderLease(
            ports.leases,
            task_name,
            cfg.host.name,
            cfg.entry.orders_apart_ms / 1000,
            ports.rng,
            ports.boot_clock,
            self.store_watch.eras,
            cfg.entry.first_start,
            can_reacquire,
        )

    def _make_leader_tasks(self) -> EntryLeaderTasks:
        ports = self.ports
        deps = LeaderTaskDependencies(
            clock=ports.clock,
            boot_clock=ports.boot_clock,
            usage_rows=ports.usage_rows,
            usage_reporting=ports.usage_reporting,
            scale_ordering=ports.scale_ordering,
            scale_rows=ports.scale_rows,
            replicas=self.replicas,
            eras=self.store_watch.eras,
            services=self._services,
            make_lease=lambda task_name: self._make_lease(
                task_name, can_reacquire=True
            ),
            rank_for=self._task_rank,
            hears_others=self._hears_others,
            is_idle=self.is_idle,
        )
        return EntryLeaderTasks(self.cfg, deps)

    def _services(self) -> tuple[Service, ...]:
        table = self.routes.table
        return () if table is None else tuple(table.services.values())

    def _hears_others(self, seconds: float) -> bool:
        """Return whether most other hosts were heard of within some seconds."""
        return self.peers.hears_most(seconds, self.ports.clock.monotonic())

    def _task_rank(self, task_name: str) -> int | None:
        """Return this host's rank for a leader task; ``None`` during shutdown."""
        return None if self.is_stopping else self.load_loop.task_rank(task_name)

    def _make_phase_loop(self, service: ServiceName) -> PhaseLoop:
        cfg, ports = self.cfg, self.ports
        lease = self._make_lease(f"phases/{service}")
        split = PhaseSplit(
            capacity=self.capacity,
            is_used=lambda: self.features.uses(Feature.PHASE_SPLIT, service),
            gap_limit=lambda: smallest_event_gap(self.routes.table, service),
            running=ObservedStreams(self.loads, self.peers).running,
        )
        return PhaseLoop(
            service=service,
            planner=PhasePlanner(cfg.entry.reading_share, split),
            lease=lease,
            control=ports.engines,
            replicas=self.replicas,
            phases=self.phases,
            clock=ports.clock,
            rng=ports.rng,
            is_idle=self.is_idle,
            host_count=self._sharing_host_count,
            holder=cfg.host.name,
            is_stopping=lambda: self.is_stopping or self._is_cut_off_from(service),
            is_limited=lambda instance: self.throttle.is_limited(
                instance, ports.clock.monotonic()
            ),
        )

    def apply_settings(self, cfg: Settings) -> None:
        """Apply changed settings, except those that the listeners were opened with."""
        self.cfg = cfg
        for budget in self._retry_budgets.values():
            entry = cfg.entry
            budget.set_limits(entry.retry_ratio, entry.retry_window, entry.retry_burst)
        logging.getLogger().setLevel(cfg.observability.log_level)
        if self.routes.table is not None:
            self._on_routes(self.routes.table)

    def is_idle(self) -> bool:
        """Return whether the whole system is starting and has had no caller yet.

        All engines may then change phase at once. A single restarted process has had
        no caller either; the setting ``first_start`` and what other hosts tell of their
        requests tell the two apart, if none of them is silent.
        """
        if not self.cfg.entry.first_start or self.handler.handled:
            return False
        if self.peers.has_heard_of_work or not self.load_loop.hears_listed():
            return False
        age = self.ports.clock.monotonic() - self._started
        return age < FIRST_START_SECONDS

    def is_ready(self) -> bool:
        """Return whether the load balancer may send requests to this host.

        Stale replica data does not make the host unready: targets check the instance
        that a request names, so stale data costs an attempt, whereas all hosts being
        unready would fail every request.
        """
        if self.is_stopping or self.routes.table is None:
            return False
        return self.replicas.confirmed_at is not None

    async def run(self) -> None:
        """Run the loops until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            for name, loop in self._loops():
                nursery.start_soon(self.ports.supervisor.run, name, loop)

    def _loops(self) -> Iterator[tuple[str, Loop]]:
        """Yield the loops that run for the whole life of the process."""
        yield "target client", self.ports.client.run
        yield "route feed", self.directory_loop.follow_routes
        yield "replica feed", self.directory_loop.follow_replicas
        yield "replica expiry", self.directory_loop.expire_entries
        yield "load digests", self.load_loop.run
        if self.queue_loop is not None:
            yield "engine queues", self.queue_loop.run
        if self.origins is not None:
            yield "stream origins", self.origins.run
            yield "store history", self.store_past.read_history
            yield "store checkpoints", self.store_past.write_checkpoints
        for loop in self.quarantine_loops:
            yield "quarantine rows", loop.run
        yield "gauges", partial(report_gauges, self)
        yield "loop monitor", LoopMonitor(self.ports.clock).run
        yield from self.leader_tasks.loops()

    def on_start(self) -> None:
        """Log that the process has started."""
        logger.info("started", extra={"domain": self.cfg.host.domain})

    async def on_shutdown(self) -> None:
        """Shut down gracefully; return once nothing is in flight.

        The load balancer needs some seconds to see that the host is not ready.
        Requests that arrive meanwhile are served if they can end in time, and refused
        with a retry delay otherwise.
        """
        self.is_stopping = True
        self.server.draining = True
        grace_seconds = self.cfg.entry.grace - STOP_MARGIN_SECONDS
        logger.info(
            "leaving",
            extra={"in_flight": self.handler.in_flight, "ends_in": grace_seconds},
        )
        request_seconds = grace_seconds - FINAL_RESPONSE_SECONDS
        self.shutdown.begin(request_seconds, BALANCER_NOTICE_SECONDS)
        with trio.move_on_after(request_seconds):
            await trio.sleep(BALANCER_NOTICE_SECONDS)
            self.server.close_idle()
            await self.server.wait_until_idle(QUIET_SECONDS)
            await self.paths.tunnel_server.wait_until_idle()
        with trio.move_on_after(FINAL_RESPONSE_SECONDS) as scope:
            await self.server.finish()
        if scope.cancelled_caught:
            logger.error("stopped", extra={"in_flight": self.handler.in_flight})

    def on_stop(self) -> None:
        """Close the client and log that the process has stopped."""
        self.ports.client.close()
        logger.info("stopped", extra={"in_flight": self.handler.in_flight})
