"""Entry hosts on a virtual clock: real application, in-memory replicas."""

import itertools
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import cached_property, partial

import h11
import trio

from berylshift.clock import LoopClock
from berylshift.connection.datagram_tag import MAX_DATAGRAM_BYTES
from berylshift.connection.load_codec import LoadCodec
from berylshift.connection.origin_codec import OriginCodec
from berylshift.connection.target_client import TargetClient
from berylshift.entry_application import EntryApplication, EntryPorts
from berylshift.ids import (
    DomainName,
    ReplicaName,
    RouteName,
    ServiceName,
    SoftwareVersion,
    TableVersion,
)
from berylshift.messages.load_digest import LoadDigest
from berylshift.messages.replicas import EnginePhase, Replica, instance_of
from berylshift.messages.stream_origins import OriginMessage
from berylshift.platform import names
from berylshift.platform.codec import PlatformCodec
from berylshift.platform.engines import PlatformEngines
from berylshift.process.streams.origin_loop import origin_address
from berylshift.settings import parse_settings
from berylshift.stand_ins.entry_replica import EntryReplica, FleetState
from berylshift.stand_ins.fake_directory import (
    FakeCheckpointRows,
    FakeCrashRows,
    FakeDirectory,
    FakeHostRows,
    FakeLeaseRows,
)
from berylshift.stand_ins.fake_leader_calls import (
    FakeLeaderCalls,
    FakeScaleRows,
    FakeUsageRows,
)
from berylshift.stand_ins.pipes import Pipe, pipe_pair
from berylshift.store.checkpoint_rows import CheckpointRows
from berylshift.store.directory import Directory
from berylshift.supervision import PropagatingSupervisor, RestartingSupervisor
from berylshift.tests.support import run_virtual
from berylshift.version.customers import CustomerKeys
from berylshift.version.routes import (
    CallerLimits,
    EngineFacts,
    Route,
    RouteKind,
    RouteTable,
    Service,
    ServiceShare,
)

HOST = "shop.example"
PLAIN = ServiceName("booking")
ENGINES = ServiceName("writer")
# Time that a datagram takes to another host.
DATAGRAM_SECONDS = 0.001
NO_SCHEDULING: Mapping[str, str] = {}
SETTINGS = """
[host]
name = {name}
domain = {domain}
peer_address = {peer_address}
[directory]
kind = platform
[entry]
"""


def route(name: str, kind: RouteKind, **changes) -> Route:
    """Return a route of the path ``/NAME/``."""
    values = {
        "timeout_seconds": 4.0,
        "objective_seconds": 0.5,
        "rank": 1,
        "shares": (ServiceShare(PLAIN, 1),),
        "max_attempts": 1,
    }
    return Route(RouteName(name), HOST, f"/{name}/", kind, **{**values, **changes})


def routes(
    version: int = 1, *more: Route, customers: CustomerKeys | None = None
) -> RouteTable:
    """Return a route table with routes of each kind, and ``more``."""
    writer = (ServiceShare(ENGINES, 1),)
    all_routes = (
        route("look", RouteKind.IDEMPOTENT, max_attempts=2),
        route("book", RouteKind.AT_MOST_ONCE),
        route("note", RouteKind.STREAM, shares=writer, has_prompt_info=True),
        route(
            "brief",
            RouteKind.STREAM,
            shares=writer,
            has_prompt_info=True,
            resumable=True,
            max_attempts=2,
        ),
        *more,
    )
    services = (
        Service(PLAIN, 100),
        Service(ENGINES, 100, EngineFacts(64, 400_000, 35_000, 370_000.0)),
    )
    limits = CallerLimits()
    return RouteTable(TableVersion(version), all_routes, services, limits, customers)


class MemoryLink:
    """In-memory transport of load digests between the hosts of a world."""

    def __init__(self, world: "EntryWorld", address: str):
        """Send from the peer ``address`` of a host to the links of all hosts."""
        self._world = world
        self._links = world.links
        self._address = address
        self._on_digest = None
        self.is_cut = False
        self._links.append(self)

    async def send_to_all(self, addresses: list[str], message: LoadDigest) -> None:
        """Deliver a digest to all hosts that are not cut off; addresses are ignored."""
        codec = self._world.digest_codec
        data = codec and codec.encode(message, MAX_DATAGRAM_BYTES)
        for link in self._links:
            if self.is_cut or link.is_cut:
                continue
            if self._world.is_split(self._address, link._address):
                continue
            if link is not self and link._on_digest is not None:
                link._on_digest(codec.decode(data) if codec else message)

    async def receive(self, on_message) -> None:
        """Deliver digests to ``take`` until cancelled."""
        self._on_digest = on_message
        await trio.sleep_forever()


class DatagramLink:
    """Transport of messages between hosts, through their codec; cut hosts get none."""

    def __init__(self, world: "EntryWorld", address: str, codec: OriginCodec):
        """Receive at ``address``, beside the peer address of a host."""
        self._world = world
        self._address = address
        self._codec = codec
        self._on_message: Callable[[OriginMessage], None] | None = None
        world.datagram_links[address] = self

    async def send(self, address: str, message: OriginMessage) -> None:
        """Deliver a message a millisecond later, unless one of the two is cut off."""
        data = self._codec.encode(message, MAX_DATAGRAM_BYTES)
        self._world.datagrams.append((address, len(data)))
        is_cut = self._world.cut_hosts & {_ip(self._address), _ip(address)}
        if not (is_cut or self._world.is_split(self._address, address)):
            self._world.nursery.start_soon(self._deliver, address, data)

    async def _deliver(self, address: str, data: bytes) -> None:
        await trio.sleep(DATAGRAM_SECONDS)
        link = self._world.datagram_links.get(address)
        if link is not None and link._on_message is not None:
            link._on_message(link._codec.decode(data))

    async def receive(self, on_message: Callable[[OriginMessage], None]) -> None:
        """Pass on messages until cancelled."""
        self._on_message = on_message
        try:
            await trio.sleep_forever()
        finally:
            self._on_message = None


def _ip(address: str) -> str:
    return address.rpartition(":")[0]


@dataclass
class Reply:
    """Response at a caller; ``whole`` tells whether it is complete."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes
    whole: bool

    @property
    def retry_after_seconds(self) -> float:
        """Return the seconds after which the caller may retry."""
        return float(self.headers.get(b"retry-after", b"0"))


@dataclass
class EntryWorld:
    """Hosts, replicas and stores; tests inject faults here."""

    nursery: trio.Nursery
    directory: FakeDirectory = field(default_factory=FakeDirectory)
    leases: FakeLeaseRows = field(default_factory=FakeLeaseRows)
    host_rows: FakeHostRows = field(default_factory=FakeHostRows)
    crash_rows: FakeCrashRows = field(default_factory=FakeCrashRows)
    block_crash_rows: FakeCrashRows = field(default_factory=FakeCrashRows)
    usage_rows: FakeUsageRows = field(default_factory=FakeUsageRows)
    scale_rows: FakeScaleRows = field(default_factory=FakeScaleRows)
    duties: FakeLeaderCalls = field(default_factory=FakeLeaderCalls)
    replicas: dict[str, EntryReplica] = field(default_factory=dict)
    hosts: list[EntryApplication] = field(default_factory=list)
    host_nurseries: list[trio.Nursery] = field(default_factory=list)
    links: list[MemoryLink] = field(default_factory=list)
    # Encodes the load digests between hosts; ``None``: they are passed on as they are.
    digest_codec: LoadCodec | None = None
    datagram_links: dict[str, DatagramLink] = field(default_factory=dict)
    # Address and size of each datagram sent.
    datagrams: list[tuple[str, int]] = field(default_factory=list)
    # Addresses (IP) of hosts that no datagram leaves or reaches.
    cut_hosts: set[str] = field(default_factory=set)
    # Addresses (IP) of hosts that reach each other, but none of the other hosts.
    island: set[str] = field(default_factory=set)
    fleet_state: FleetState = field(default_factory=FleetState)
    unresponsive: set[str] = field(default_factory=set)
    dials: int = 0
    dialed: list[str] = field(default_factory=list)

    @cached_property
    def checkpoint_rows(self) -> CheckpointRows:
        """Return the rows of checkpoints of the directory."""
        return FakeCheckpointRows(self.directory)

    def is_split(self, address: str, other: str) -> bool:
        """Return whether one of two hosts is on the island, the other one not."""
        return (_ip(address) in self.island) != (_ip(other) in self.island)

    def boot_seconds(self) -> float:
        """Return the time on the clock that counts suspends."""
        return trio.current_time()

    def directory_for(self, address: str) -> Directory:
        """Return the directory as the host with a peer address reads it."""
        return self.directory

    def add_replica(
        self,
        name: str,
        service: ServiceName = PLAIN,
        phase: EnginePhase = EnginePhase.NONE,
        address: str = "",
        version: str = "",
    ) -> EntryReplica:
        """Start a replica and write its directory entry."""
        address = address or f"10.0.0.{len(self.replicas) + 1}:80"
        replica = EntryReplica(name, address, self.fleet_state, phase)
        replica.version = SoftwareVersion(version)
        self.replicas[address] = replica
        self.list_replica(replica, service)
        return replica

    def list_replica(
        self, replica: EntryReplica, service: ServiceName, draining: bool = False
    ) -> None:
        """Write a replica's directory entry from its current state."""
        name = ReplicaName(replica.instance)
        entry = Replica(
            instance=instance_of(name, replica.started_ms),
            name=name,
            started_ms=replica.started_ms,
            service=service,
            address=replica.address,
            domain=DomainName("domain-1"),
            slots=8,
            draining=draining,
            phase=replica.phase,
            version=replica.version,
        )
        self.directory.put_replica(entry)

    async def restart_crashed(
        self, delay_seconds: float, expiry_seconds: float
    ) -> None:
        """Restart crashed replicas at their addresses, ``delay_seconds`` after a crash.

        Each restart has a new name; the old entry expires ``expiry_seconds`` after the
        crash.
        """
        for number in itertools.count():
            while number >= len(self.fleet_state.crashes):
                await trio.sleep(0.01)
            crash = self.fleet_state.crashes[number]
            crashed = self.replicas[crash.address]
            self.nursery.start_soon(self._expire, crashed.instance, expiry_seconds)
            self.nursery.start_soon(self._restart, crashed, number, delay_seconds)

    async def _expire(self, name: str, seconds: float) -> None:
        await trio.sleep(seconds)
        self.directory.remove_replica(name)

    async def _restart(
        self, crashed: EntryReplica, number: int, seconds: float
    ) -> None:
        await trio.sleep(seconds)
        name = f"{crashed.instance.partition('-again')[0]}-again-{number}"
        replacement = EntryReplica(
            name, crashed.address, self.fleet_state, crashed.phase
        )
        self.replicas[crashed.address] = replacement
        plain = crashed.phase is EnginePhase.NONE
        self.list_replica(replacement, PLAIN if plain else ENGINES)

    async def dial(self, address: str, host: str = "") -> Pipe:
        """Connect ``host`` to a replica; an unresponsive address never accepts."""
        self.dials += 1
        self.dialed.append(address)
        await trio.sleep(0.001)
        if address in self.unresponsive:
            await trio.sleep_forever()
        replica = self.replicas.get(address)
        if replica is None or not replica.alive:
            raise OSError("connection refused")
        near, far = pipe_pair()
        self.nursery.start_soon(replica.serve, far, host)
        return near

    async def dial_host(self, address: str) -> trio.abc.Stream:
        """Connect to a host, for a tunnel."""
        await trio.sleep(0.001)
        for app in self.hosts:
            if app.cfg.host.peer_address == address:
                near, far = self.host_link()
                self.nursery.start_soon(app.paths.tunnel_server.serve_stream, far)
                return near
        raise OSError("connection refused")

    def host_link(self) -> tuple[trio.abc.Stream, trio.abc.Stream]:
        """Return the ends of a connection between two hosts."""
        return pipe_pair()

    async def add_host(
        self,
        name: str = "",
        domain: str = "domain-1",
        scheduling: Mapping[str, str] = NO_SCHEDULING,
        restarts: bool = False,
        **entry: object,
    ) -> EntryApplication:
        """Start a host and wait until it is ready, for one second at most.

        ``scheduling`` and ``entry`` are settings of the sections with these names;
        ``restarts``: loops that fail start again.
        """
        name = name or f"host-{len(self.hosts) + 1}"
        values = {"grace": 8, "reading_share": 0, **entry}
        peer_address = f"10.1.0.{len(self.hosts) + 1}:7380"
        text = SETTINGS.format(name=name, domain=domain, peer_address=peer_address)
        text += "".join(f"{key} = {value}\n" for key, value in values.items())
        text += "[scheduling]\n"
        text += "".join(f"{key} = {value}\n" for key, value in scheduling.items())
        codec = PlatformCodec()
        client = TargetClient(0.3, partial(self.dial, host=name), codec.response_id)
        seed = len(self.hosts) + 1
        ports = EntryPorts(
            clock=LoopClock(),
            rng=random.Random(seed),
            directory=self.directory_for(peer_address),
            codec=PlatformCodec(),
            client=client,
            leases=self.leases,
            engines=PlatformEngines(client, 0.5),
            boot_clock=self.boot_seconds,
            hosts=self.host_rows,
            checkpoints=self.checkpoint_rows,
            crashes=self.crash_rows,
            block_crashes=self.block_crash_rows,
            usage_rows=self.usage_rows,
            usage_reporting=self.duties,
            scale_ordering=self.duties,
            scale_rows=self.scale_rows,
            make_link=lambda key: MemoryLink(self, peer_address),
            dial_peer=self.dial_host,
            make_origin_link=lambda key: DatagramLink(
                self, origin_address(peer_address), OriginCodec(key)
            ),
            supervisor=RestartingSupervisor() if restarts else PropagatingSupervisor(),
        )
        app = EntryApplication(parse_settings(text).unwrap(), ports)
        self.hosts.append(app)
        self.host_nurseries.append(await self.nursery.start(self._run_host, app))
        with trio.move_on_after(1):
            while not app.is_ready():
                await trio.sleep(0.01)
        return app

    async def _run_host(
        self, app: EntryApplication, task_status=trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run a host's tasks and connections until its nursery is cancelled."""
        async with trio.open_nursery() as nursery:
            task_status.started(nursery)
            nursery.start_soon(app.run)

    def kill_host(self, host: int) -> None:
        """End a host's process at once."""
        self.host_nurseries[host].cancel_scope.cancel()

    def connect(self, host: int = 0) -> "CallerLink":
        """Open a caller's connection to a host."""
        near, far = pipe_pair()
        serve = self.hosts[host].server.serve_stream
        self.host_nurseries[host].start_soon(serve, far)
        return CallerLink(near)

    async def ask(self, path: str, request: str = "r1", host: int = 0, **more) -> Reply:
        """Send a request on a new connection and return the reply."""
        link = self.connect(host)
        return await link.ask(path, request, **more)


class CallerLink:
    """A caller's connection."""

    def __init__(self, stream: Pipe):
        """Speak HTTP on ``stream``."""
        self.stream = stream
        self.conn = h11.Connection(h11.CLIENT)
        self.head: h11.Response | None = None
        self.body = b""

    async def ask(self, path: str, request: str = "r1", **more) -> Reply:
        """Send a request and read its response; ``more`` as for ``send``."""
        await self.send(path, request, **more)
        return await self.read()

    async def send(
        self,
        path: str,
        request: str = "r1",
        method: str = "POST",
        body: bytes = b"hello",
        headers: tuple[tuple[bytes, bytes], ...] = (),
        left_ms: int | None = 3000,
        host: bytes = HOST.encode(),
    ) -> None:
        """Send a request."""
        lines = [(b"host", host), (names.ATTEMPT_ID, request.encode()), *headers]
        lines.append((b"content-length", b"%d" % len(body)))
        if left_ms is not None:
            lines.append((names.TIME_LEFT_MS, b"%d" % left_ms))
        data = self.conn.send(h11.Request(method=method, target=path, headers=lines))
        data += self.conn.send(h11.Data(data=body)) or b""
        data += self.conn.send(h11.EndOfMessage()) or b""
        await self.stream.send_all(data)

    async def read(self) -> Reply:
        """Return the response; not whole if the connection broke."""
        self.body = b""
        whole = False
        try:
            while not isinstance(event := await self._event(), h11.EndOfMessage):
                if isinstance(event, h11.Response):
                    self.head = event
                elif isinstance(event, h11.Data):
                    self.body += bytes(event.data)
                else:
                    break
            else:
                whole = True
        except (h11.RemoteProtocolError, trio.BrokenResourceError):
            pass
        if whole and self.conn.our_state is h11.DONE:
            self.conn.start_next_cycle()
        head = self.head
        status = head.status_code if head else 0
        return Reply(status, dict(head.headers) if head else {}, self.body, whole)

    async def _event(self):
        while True:
            event = self.conn.next_event()
            if event is not h11.NEED_DATA:
                return event
            self.conn.receive_data(await self.stream.receive_some(65536))

    async def close(self) -> None:
        """Close the connection."""
        await self.stream.aclose()


def prompt_headers(
    pieces: int = 4, tokens: int = 5000, prefix_tokens: int = 4000, block: str = "a1"
) -> tuple[tuple[bytes, bytes], ...]:
    """Return the headers of a request with a prompt."""
    blocks = (
        f"{block}:{prefix_tokens},ffff:{tokens - prefix_tokens}"
        if prefix_tokens
        else f"ffff:{tokens}"
    )
    return (
        (names.MODEL, b"m"),
        (names.TOKEN_COUNTS, b"%d,80" % tokens),
        (names.PREFIX_BLOCKS, blocks.encode()),
        (b"x-pieces", b"%d" % pieces),
    )


def stream_body(first: int, last: int) -> bytes:
    """Return the events ``first`` to ``last`` of a replica's stream."""
    return b"".join(
        b"id: %d\ndata: piece-%d\n\n" % (number, number)
        for number in range(first, last + 1)
    )


def run_entry(
    task,
    hosts: int = 1,
    plain: int = 2,
    engines: str = "",
    scheduling: Mapping[str, str] = NO_SCHEDULING,
    **entry,
):
    """Run ``task(world)``; ``engines`` has a letter each: p prefill, d decode.

    ``scheduling`` and ``entry`` are settings of the hosts' sections with these names,
    and ``restarts`` as for ``EntryWorld.add_host``.
    """

    async def main():
        async with trio.open_nursery() as nursery:
            world = EntryWorld(nursery)
            world.directory.put_routes(routes())
            for number in range(1, plain + 1):
                world.add_replica(f"plain-{number}")
            phases = {"p": EnginePhase.PREFILL, "d": EnginePhase.DECODE}
            for number, letter in enumerate(engines, 1):
                world.add_replica(f"engine-{number}", ENGINES, phases[letter])
            for _ in range(hosts):
                await world.add_host(scheduling=scheduling, **entry)
            result = await task(world)
            nursery.cancel_scope.cancel()
        return result

    return run_virtual(main)
