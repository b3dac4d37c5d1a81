"""The processes and stand-ins of a soak run, and the faults that befall them."""

import random
import re
import signal
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

import msgspec
import trio

from berylshift.connection.errors import ConnectionLayerError
from berylshift.connection.http_client import HttpClient, Outgoing
from berylshift.connection.http_request import HttpRequest
from berylshift.connection.http_server import HttpServer
from berylshift.connection.listeners import bound_address, open_listener
from berylshift.connection.responder import Responder
from berylshift.ids import SoftwareVersion
from berylshift.messages.replicas import EnginePhase
from berylshift.platform import names
from berylshift.stand_ins.entry_replica import EntryReplica, FleetState
from berylshift.stand_ins.entry_replica import Fault as ReplicaFault
from berylshift.stand_ins.soak.callers import (
    SITE,
    UPLOAD_BYTES,
    USUAL_KINDS,
    Caller,
    Kind,
    Request,
)
from berylshift.stand_ins.soak.checks import EXIT_SLACK_SECONDS, Disturbance, Silence
from berylshift.stand_ins.soak.partitions import PROGRAM, Partitions
from berylshift.stand_ins.soak.schedule import Event, Fault
from berylshift.stand_ins.soak.stream_callers import StreamRecord
from berylshift.stand_ins.store_server import StoreServer
from berylshift.tools.processes import NO_VARIABLES, Programs

DOMAINS = 3
GRACE_SECONDS = 8.0
READY_SECONDS = 20.0
POLL_SECONDS = 0.1
STALL_SECONDS = 0.25
RESTART_SECONDS = 0.3
# The balancer stops using a host some time after it is no longer ready.
BALANCER_SECONDS = 2.0
# A host that was suspended answers late for a moment.
THAW_SECONDS = 0.5
MEMORY_MB = 256
UPLOADERS = 20
FAULTY_REQUESTS = 5
SLOW_STORE_SECONDS = 0.8
RATE_LIMIT = 8.0
OTHER_SERVICE = "editor"
# How long work takes at replicas, as they state it, in percent of the usual time.
FAST, SLOW = b",70", b",600"
FIRST_WEIGHTS = b"1"
SETTINGS = """[host]
name = {name}
domain = domain-{domain}
address = {address}
peer_address = {peer}
memory_mb = {memory_mb}
[directory]
kind = platform
address = {store}
heartbeat_ms = 1200
[entry]
status_address = {status}
ready_path = /ready
metrics_address = {metrics}
grace = {grace}
retry_burst = {retry_burst}
reading_share = 0
{entry_settings}
[scheduling]
handle_tracking = on
"""
RESIDENT = re.compile(rb"^process_resident_memory_bytes (\S+)$", re.MULTILINE)


@dataclass
class SoakHost:
    """One host: its process and addresses; the latter stay over restarts."""

    name: str
    address: str
    status: str
    metrics: str
    path: Path
    in_service: bool = True
    is_restarting: bool = False
    is_frozen: bool = False
    peak_bytes: float = 0.0


class FaultyStore:
    """The store's stand-in, which may be slow or not answer at all."""

    def __init__(self) -> None:
        """Start empty and sound."""
        self.server = StoreServer()
        self.down = 0
        self.slow = 0

    async def handle(self, req: HttpRequest, responder: Responder) -> None:
        """Answer one call."""
        if self.slow:
            await trio.sleep(SLOW_STORE_SECONDS)
        if self.down:
            await responder.full(503, {}, b"{}")
            return
        await self.server.handle(req, responder)


@dataclass
class SoakWorld:
    """All that runs, and the record of it."""

    directory: Path
    programs: Programs
    nursery: trio.Nursery
    rng: random.Random
    host_count: int
    # The first three numbers of the hosts' addresses, which no other run uses.
    network: str
    has_silences: bool = False
    # Further settings of the section ``entry``.
    entry_settings: str = ""
    route_timeout_ms: int = 5000
    # Whether engines change their weights, and there is a service that routes move to.
    has_changes: bool = False
    # The service that streams are led to.
    stream_service: str = "writer"
    # ``None``: hosts can't be partitioned from each other.
    partitions: Partitions | None = None
    store: FaultyStore = field(default_factory=FaultyStore)
    store_address: str = ""
    state: FleetState = field(default_factory=FleetState)
    replicas: list[EntryReplica] = field(default_factory=list)
    hosts: list[SoakHost] = field(default_factory=list)
    requests: list[Request] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    silences: list[Silence] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    # Streams that their callers take up, if there are such callers.
    streams: list[StreamRecord] = field(default_factory=list)
    version: int = 1
    # The number of the last entry of a replica that was written.
    sequence: int = 0
    client: HttpClient = field(default_factory=HttpClient)

    async def start(self) -> None:
        """Start store, replicas and hosts; return once all hosts are ready."""
        server = HttpServer(self.store.handle)
        listener = open_listener("127.0.0.1:0")
        self.store_address = bound_address(listener)
        self.nursery.start_soon(server.serve, listener)
        await self._start_replicas()
        await self._put_routes()
        for number in range(self.host_count):
            await self._add_host(number)
        with trio.fail_after(READY_SECONDS):
            for host in self.hosts:
                while not await self._is_ready(host):
                    await trio.sleep(POLL_SECONDS)

    async def _start_replicas(self) -> None:
        phases = {"prefill": 2, "decode": 3, "": 3}
        for phase, count in phases.items():
            for number in range(1, count + 1):
                suffix = FAST if number == 1 else SLOW
                await self._start_replica(f"{phase or 'plain'}-{number}", phase, suffix)

    async def _start_replica(
        self,
        name: str,
        phase: str,
        load_suffix: bytes,
        version: str = "",
        service: str = "",
    ) -> EntryReplica:
        listener = open_listener("127.0.0.1:0")
        replica = EntryReplica(
            name, bound_address(listener), self.state, EnginePhase(phase)
        )
        self.nursery.start_soon(
            partial(
                trio.serve_listeners,
                partial(self.serve_replica, replica),
                [listener],
                handler_nursery=self.nursery,
            )
        )
        replica.load_suffix = load_suffix
        replica.version, replica.service = SoftwareVersion(version), service
        replica.weights = FIRST_WEIGHTS if self.has_changes else None
        self.replicas.append(replica)
        await self._list_replica(replica)
        return replica

    async def serve_replica(
        self, replica: EntryReplica, stream: trio.SocketStream
    ) -> None:
        """Serve one connection to a replica."""
        await replica.serve(stream)

    async def _list_replica(self, replica: EntryReplica, state: str = "ready") -> None:
        self.sequence += 1
        service = "writer" if replica.phase is not EnginePhase.NONE else "desk"
        entry = {
            "service": replica.service or service,
            "address": replica.address,
            "zone": "domain-1",
            "version": replica.version or "v1",
            "batch_slots": 8,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "phase": replica.phase,
        }
        await self._write(names.REPLICA_TABLE, replica.instance, entry)

    async def _put_routes(self) -> None:
        """Write the configuration under the next version."""
        self.version += 1
        kinds = {
            Kind.NOTE: ("streaming", self.stream_service, 1),
            Kind.LOOKUP: ("idempotent", "desk", 2),
            Kind.BOOKING: ("non_idempotent", "desk", 1),
            Kind.BRIEF: ("streaming", self.stream_service, 2),
        }
        routes = [
            {
                "name": kind,
                "host": SITE,
                "prefix": f"/{kind}/",
                "route_kind": route_kind,
                "timeout_ms": self.route_timeout_ms,
                "target_latency_ms": 500,
                "service": service,
                "max_attempts": max_attempts,
                "session_affinity": route_kind == "streaming",
                "resumable": kind is Kind.BRIEF,
            }
            for kind, (route_kind, service, max_attempts) in kinds.items()
        ]
        services = [{"name": "desk"}, {"name": "writer"}]
        services += [{"name": OTHER_SERVICE}] if self.has_changes else []
        config = {"version": self.version, "routes": routes, "services": services}
        await self._write(names.OPERATOR_TABLE, names.CONFIGURATION_KEY, config)

    async def _write(self, table: str, key: str, value: object) -> None:
        row = {"table": table, "key": key, "value": msgspec.json.encode(value)}
        await self._transact({"write": [row]})

    async def _transact(self, transaction: dict) -> None:
        data = msgspec.json.encode(transaction)
        out = Outgoing(self.store_address, "POST", names.ROWS_TX, {}, data, reuse=False)
        async with self.client.request(out) as resp:
            await resp.read()

    async def _add_host(self, number: int) -> None:
        # Each host has a loopback address of its own, so that ports stay free.
        ip = f"{self.network}.{number + 1}"
        host = SoakHost(
            f"host-{number + 1}",
            f"{ip}:8080",
            f"{ip}:8083",
            f"{ip}:9464",
            self.directory / f"host-{number + 1}.ini",
        )
        text = SETTINGS.format(
            name=host.name,
            domain=number % DOMAINS + 1,
            address=host.address,
            peer=f"{ip}:7380",
            store=await self._store_address_for(number),
            status=host.status,
            metrics=host.metrics,
            grace=int(GRACE_SECONDS),
            memory_mb=MEMORY_MB,
            # Streams that pause together ask for more retries than that.
            retry_burst=10 if self.has_silences else 60,
            entry_settings=self.entry_settings,
        )
        host.path.write_text(self._known_settings(text), encoding="utf-8")
        self.hosts.append(host)
        await self._start_process(host)

    async def _store_address_for(self, host: int) -> str:
        return self.store_address

    def _known_settings(self, text: str) -> str:
        """Leave out the settings that an older tree of the hosts does not have."""
        if self.programs.tree is None:
            return text
        source = self.programs.tree / "berylshift" / "settings.py"
        known = source.read_text(encoding="utf-8")
        found = [
            line
            for line in text.splitlines(keepends=True)
            if " = " not in line or f" {line.partition(' = ')[0]}:" in known
        ]
        return "".join(found)

    async def _start_process(self, host: SoakHost) -> None:
        ip = host.address.partition(":")[0]
        program, variables = "berylshift.daemon", NO_VARIABLES
        if self.partitions is not None:
            program, variables = PROGRAM, self.partitions.environment(ip)
        await self.programs.start(
            host.name, program, "--config", str(host.path), variables=variables
        )

    async def _is_ready(self, host: SoakHost) -> bool:
        found = await self._get(host.status, "/ready")
        return found is not None and found[0] == 200

    async def _get(self, address: str, path: str) -> tuple[int, bytes] | None:
        out = Outgoing(address, "GET", path, {}, reuse=False)
        with trio.move_on_after(1.0):
            try:
                async with self.client.request(out) as resp:
                    return resp.status, await resp.read()
            except ConnectionLayerError:
                return None
        return None

    # The balancer and the callers

    def _choose_host(self) -> tuple[int, str]:
        numbers = [n for n, host in enumerate(self.hosts) if host.in_service]
        number = self.rng.choice(numbers or range(len(self.hosts)))
        return number, self.hosts[number].address

    def start_caller(self, name: str, nursery: trio.Nursery, **more: int) -> None:
        """Start a caller that runs until cancelled."""
        kinds = tuple(Kind) if self.has_silences else USUAL_KINDS
        caller = Caller(name, self.rng, self._choose_host, self.requests, kinds)
        nursery.start_soon(partial(caller.run, **more))

    async def watch_hosts(self) -> None:
        """Probe the hosts as the balancer does, and read their memory."""
        while True:
            for host in self.hosts:
                metrics = await self._get(host.metrics, "/metrics")
                found = RESIDENT.search(metrics[1]) if metrics else None
                if found:
                    host.peak_bytes = max(host.peak_bytes, float(found[1]))
                if not host.is_restarting:
                    host.in_service = await self._is_ready(host)
            await trio.sleep(1.0)

    async def watch_own_stalls(self) -> None:
        """Record when this process, with all callers and replicas, did nothing."""
        while True:
            begin = trio.current_time()
            await trio.sleep(POLL_SECONDS)
            end = trio.current_time()
            if end - begin > POLL_SECONDS + STALL_SECONDS:
                self.silences.append(Silence(begin, end, is_stall=True))

    # Faults

    async def apply(self, event: Event) -> None:
        """Let a fault begin, and end after its time."""
        if event.fault in self._host_faults():
            host = self.hosts[event.number % len(self.hosts)]
            if not host.is_restarting and not host.is_frozen:
                await self._host_faults()[event.fault](host, event.seconds)
            return
        replicas = self.replicas
        if event.fault in (Fault.ONE_SILENT, Fault.WEIGHTS):
            replicas = self._decode_replicas()
        replica = replicas[event.number % len(replicas)]
        await self._other_faults()[event.fault](replica, event.seconds)

    def _host_faults(self) -> dict[Fault, Callable]:
        return {
            Fault.STOP: self._stop,
            Fault.KILL: self._kill,
            Fault.FREEZE: self._freeze,
            Fault.RELOAD: self._reload,
        }

    def _other_faults(self) -> dict[Fault, Callable]:
        return {
            Fault.ROUTES: self._change_routes,
            Fault.STORE_DOWN: partial(self._disturb_store, "down"),
            Fault.STORE_SLOW: partial(self._disturb_store, "slow"),
            Fault.LATE_COPIES: partial(self._set_for, "sends_late_copies", True),
            Fault.HANDLES_LOST: partial(self._set_for, "drops_kv_caches", True),
            Fault.RATE_LIMIT: partial(self._set_for, "rate_limit", RATE_LIMIT),
            Fault.SLOW_REPLICA: partial(self._set_for, "work_seconds", 0.5),
            Fault.REFUSALS: partial(self._add_faults, ReplicaFault.REFUSE),
            Fault.ERRORS: partial(self._add_faults, ReplicaFault.ERROR),
            Fault.DRAIN: self._drain,
            Fault.UPLOADS: self._upload,
            Fault.ALL_SILENT: self._silence_all,
            Fault.ONE_SILENT: self._silence,
        }

    async def _stop(self, host: SoakHost, seconds: float) -> None:
        """Stop a host gracefully; callers use their connections until it is gone."""
        host.is_restarting = True
        process = self.programs.running[host.name].process
        self.programs.signal(host.name, signal.SIGTERM)
        self.nursery.start_soon(self._leave_service, host)
        with trio.move_on_after(GRACE_SECONDS + EXIT_SLACK_SECONDS):
            await process.wait()
        if process.returncode != 0:
            self.violations.append(f"{host.name}: stopped with {process.returncode}")
            self.programs.signal(host.name, signal.SIGKILL)
            await process.wait()
        await self._restart(host)

    async def _leave_service(self, host: SoakHost) -> None:
        await trio.sleep(BALANCER_SECONDS)
        if host.is_restarting:
            host.in_service = False

    async def _kill(self, host: SoakHost, seconds: float) -> None:
        host.is_restarting = True
        begin = trio.current_time()
        self.programs.signal(host.name, signal.SIGKILL)
        await self.programs.running[host.name].process.wait()
        self._disturbed(host, begin)
        await self._restart(host)

    async def _restart(self, host: SoakHost) -> None:
        await trio.sleep(RESTART_SECONDS)
        await self._start_process(host)
        with trio.move_on_after(READY_SECONDS):
            while not await self._is_ready(host):
                await trio.sleep(POLL_SECONDS)
        host.in_service, host.is_restarting = True, False

    async def _freeze(self, host: SoakHost, seconds: float) -> None:
        host.is_frozen = True
        begin = trio.current_time()
        self.programs.signal(host.name, signal.SIGSTOP)
        await trio.sleep(seconds)
        self.programs.signal(host.name, signal.SIGCONT)
        await trio.sleep(THAW_SECONDS)
        self._disturbed(host, begin)
        host.is_frozen = False

    def _disturbed(self, host: SoakHost, begin: float) -> None:
        number = self.hosts.index(host)
        self.disturbances.append(Disturbance(number, begin, trio.current_time()))

    async def _reload(self, host: SoakHost, seconds: float) -> None:
        self.programs.signal(host.name, signal.SIGHUP)

    async def _change_routes(self, replica: EntryReplica, seconds: float) -> None:
        if not self.store.down:
            await self._put_routes()

    async def _disturb_store(
        self, what: str, replica: EntryReplica, seconds: float
    ) -> None:
        setattr(self.store, what, getattr(self.store, what) + 1)
        await trio.sleep(seconds)
        setattr(self.store, what, getattr(self.store, what) - 1)

    async def _set_for(
        self, name: str, value: object, replica: EntryReplica, seconds: float
    ) -> None:
        usual = getattr(EntryReplica("", ""), name)
        setattr(replica, name, value)
        await trio.sleep(seconds)
        setattr(replica, name, usual)

    async def _add_faults(
        self, fault: ReplicaFault, replica: EntryReplica, seconds: float
    ) -> None:
        replica.faults = [fault] * FAULTY_REQUESTS

    async def _drain(self, replica: EntryReplica, seconds: float) -> None:
        if self.store.down:
            return
        await self._list_replica(replica, "draining")
        await trio.sleep(seconds)
        while self.store.down:
            await trio.sleep(POLL_SECONDS)
        await self._list_replica(replica)

    def _decode_replicas(self) -> list[EntryReplica]:
        decode = [rep for rep in self.replicas if rep.phase is EnginePhase.DECODE]
        return [rep for rep in decode if rep.alive]

    async def _silence_all(self, replica: EntryReplica, seconds: float) -> None:
        for found in self._decode_replicas():
            await self._silence(found, seconds)

    async def _silence(self, replica: EntryReplica, seconds: float) -> None:
        now = trio.current_time()
        self.silences.append(Silence(now, now + seconds))
        replica.silent_until = max(replica.silent_until, now + seconds)

    async def _upload(self, replica: EntryReplica, seconds: float) -> None:
        """Let further callers upload documents."""
        burst = len(self.requests)
        async with trio.open_nursery() as nursery:
            for number in range(UPLOADERS):
                name = f"upload-{burst}-{number}"
                self.start_caller(name, nursery, body_bytes=UPLOAD_BYTES)
            await trio.sleep(seconds)
            nursery.cancel_scope.cancel()

    def runs(self) -> list[str]:
        """Return the requests that replicas began to run."""
        return [run.request for rep in self.replicas for run in rep.runs]
