"""Many hosts that exchange digests and read a store, on a virtual clock.

The real loops run for each host; the test cuts, delays and restores the links between
hosts, and those between a host and the store.
"""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import trio

from berylshift.clock import LoopClock
from berylshift.connection.datagram_tag import BadDatagramError
from berylshift.connection.load_codec import LoadCodec
from berylshift.ids import DomainName, InstanceId
from berylshift.messages.load_digest import LoadDigest
from berylshift.messages.replicas import Replica, ReplicaChanges, RouteSnapshot
from berylshift.process.directory.directory_loop import DirectoryLoop
from berylshift.process.directory.expected_phases import ExpectedPhases
from berylshift.process.directory.replica_set import ReplicaSet
from berylshift.process.directory.replica_updates import ReplicaUpdates
from berylshift.process.directory.route_holder import RouteHolder
from berylshift.process.directory.store_watch import StoreWatch
from berylshift.process.gossip.digest_builder import DigestSources
from berylshift.process.gossip.load_loop import LoadLoop, LoadLoopDependencies
from berylshift.process.gossip.peer_loads import PeerLoads
from berylshift.process.quarantine.quarantine import Quarantine
from berylshift.process.targets.customer_demand import CustomerDemand
from berylshift.process.targets.handle_losses import HandleLosses
from berylshift.process.targets.prefix_cache_index import PrefixCacheIndex
from berylshift.process.targets.replica_speeds import ReplicaSpeeds
from berylshift.process.targets.target_load import TargetLoads
from berylshift.settings import DirectorySettings
from berylshift.stand_ins.fake_directory import FakeDirectory, FakeHostRows
from berylshift.store.interfaces import ResponseLostError, StoreUnavailableError
from berylshift.tests.entry_world import PLAIN, routes
from berylshift.tests.support import no_limits
from berylshift.tests.usage_support import no_usage

LATENCY_SECONDS = 0.002
MAX_DATAGRAM_BYTES = 1400
REFUSAL_SECONDS = 0.004
# How often it is checked whether a datagram is still held.
CHECK_SECONDS = 0.05
TIMEOUT_SECONDS = DirectorySettings().timeout


class Path(Enum):
    """What happens to datagrams from one host to another."""

    OPEN = "open"
    CUT = "cut"
    HELD = "held"


class Paths(dict[str, Path]):
    """What happens to datagrams, by the address of the host."""

    def __init__(self) -> None:
        """Start with no faults."""
        super().__init__()
        self._changed: dict[str, trio.Event] = {}

    def __setitem__(self, address: str, path: Path) -> None:
        """Set the path of a host."""
        super().__setitem__(address, path)
        self._notify(address)

    def clear(self) -> None:
        """Remove all faults."""
        super().clear()
        for address in list(self._changed):
            self._notify(address)

    def _notify(self, address: str) -> None:
        event = self._changed.pop(address, None)
        if event is not None:
            event.set()

    async def wait_while_held(self, address: str) -> None:
        """Return at the first of regular checks at which the path is not held."""
        began = trio.current_time()
        while self.get(address) is Path.HELD:
            await self._changed.setdefault(address, trio.Event()).wait()
            checks = math.ceil((trio.current_time() - began) / CHECK_SECONDS)
            await trio.sleep_until(began + checks * CHECK_SECONDS)


class Datagram:
    """A datagram on its way to several hosts."""

    def __init__(self, key: str, data: bytes):
        """Carry ``data``, which a sender with ``key`` has sealed."""
        self._key = key
        self._data = data
        self._digest: LoadDigest | None = None

    def open(self, key: str, codec: LoadCodec) -> LoadDigest:
        """Return the digest; raise ``BadDatagramError``.

        It can't be changed, so hosts with the sender's key share it.
        """
        if key != self._key:
            return codec.decode(self._data)
        if self._digest is None:
            self._digest = codec.decode(self._data)
        return self._digest


class Net:
    """Delivers datagrams by address; each goes through the real codec."""

    def __init__(self, nursery: trio.Nursery):
        """Deliver datagrams in tasks of ``nursery``."""
        self._nursery = nursery
        self.links: dict[str, NetLink] = {}
        self.paths = Paths()
        self.sent = 0
        self.received: dict[str, int] = {}
        self.sent_bytes = 0
        # Returns the further delay of a datagram in seconds; ``None``: it is lost.
        self.delay: Callable[[], float | None] = lambda: 0.0

    def send(self, sender: str, addresses: list[str], key: str, data: bytes) -> None:
        """Deliver a datagram to each address that no cut separates from the sender."""
        arriving: dict[float, list[str]] = {}
        for address in addresses:
            self.sent += 1
            self.sent_bytes += len(data)
            ends = (self.paths.get(sender), self.paths.get(address))
            if Path.CUT in ends or address not in self.links:
                continue
            delay = self.delay()
            if delay is not None:
                arriving.setdefault(delay, []).append(address)
        message = Datagram(key, data)
        for delay, found in arriving.items():
            self._nursery.start_soon(self._deliver_all, found, message, delay)

    async def _deliver_all(
        self, addresses: list[str], message: Datagram, delay: float
    ) -> None:
        await trio.sleep(LATENCY_SECONDS + delay)
        for address in addresses:
            if self.paths.get(address) is Path.HELD:
                self._nursery.start_soon(self._deliver_held, address, message)
            else:
                self._deliver(address, message)

    async def _deliver_held(self, address: str, message: Datagram) -> None:
        await self.paths.wait_while_held(address)
        self._deliver(address, message)

    def _deliver(self, address: str, message: Datagram) -> None:
        self.received[address] = self.received.get(address, 0) + 1
        self.links[address].deliver(message)


class NetLink:
    """One host's link to the others."""

    def __init__(self, net: Net, address: str, key: str):
        """Listen on ``address``."""
        self._net = net
        self._address = address
        self._key = key
        self._codec = LoadCodec(key)
        self._take = None
        net.links[address] = self

    async def send_to_all(self, addresses: list[str], message: LoadDigest) -> None:
        """Send a digest to each address."""
        data = self._codec.encode(message, MAX_DATAGRAM_BYTES)
        self._net.send(self._address, addresses, self._key, data)

    async def receive(self, on_message) -> None:
        """Receive until cancelled."""
        self._take = on_message
        await trio.sleep_forever()

    def deliver(self, datagram: Datagram) -> None:
        """Decode a datagram and pass it on."""
        if self._take is None:
            return
        try:
            message = datagram.open(self._key, self._codec)
        except BadDatagramError:
            return
        self._take(message)


class StoreView:
    """The store as one host sees it."""

    def __init__(self, store: FakeDirectory):
        """View ``store``; ``refused``, ``hangs`` and ``lags`` inject faults.

        A connection that ``hangs`` accepts a call and never answers; the next call uses
        a new connection.
        """
        self._store = store
        self.hangs = False
        self.refused = False
        self.lags = False
        self.calls = 0

    async def _call(self, wait: float = 0.0) -> None:
        self.calls += 1
        if self.hangs:
            self.hangs = False
            await trio.sleep(wait + TIMEOUT_SECONDS)
            raise ResponseLostError("connection hangs")
        if self.refused:
            await trio.sleep(REFUSAL_SECONDS)
            raise StoreUnavailableError("refused")

    async def read_routes(self) -> RouteSnapshot:
        """Return the routes."""
        await self._call()
        return await self._store.read_routes()

    async def await_routes(self, after, seconds) -> RouteSnapshot:
        """Return newer routes."""
        await self._call(seconds)
        if self.lags:
            return RouteSnapshot(None, after, self._store.now_ms())
        return await self._store.await_routes(after, seconds)

    async def read_replicas(self) -> ReplicaChanges:
        """Return all replicas."""
        await self._call()
        return await self._store.read_replicas()

    async def await_replicas(self, after, seconds) -> ReplicaChanges:
        """Return what changed."""
        await self._call(seconds)
        return await self._store.await_replicas(after, seconds)


@dataclass
class WorldHost:
    """One host: the real loops on top of the fakes."""

    name: str
    domain: str
    address: str
    world: "MultiHostWorld"
    versions: list[int] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Wire up the real components."""
        world = self.world
        rng = random.Random(self.name)
        self.view = StoreView(world.store)
        self.routes = RouteHolder(lambda table: self.versions.append(table.version))
        self.replicas = ReplicaSet()
        self.loads = TargetLoads(lambda: self.load_loop.notify_work())
        self.peers = PeerLoads(self.name, self.domain)
        self.prefix_cache = PrefixCacheIndex()
        self.quarantine = Quarantine(1.2)
        self.throttle = no_limits(self.replicas)
        self.replica_speeds = ReplicaSpeeds(
            is_used=lambda service: True, is_enabled=True
        )
        self.handle_losses = HandleLosses(self.name, self.domain)
        self.customer_demand = CustomerDemand(self.name, self.domain)
        self.watch = StoreWatch(world.in_force, trio.current_time)
        self.replica_updates = ReplicaUpdates(
            self.name, lambda: world.uses_replica_gossip
        )
        self.directory = DirectoryLoop(
            self.view,
            self.routes,
            self.replicas,
            LoopClock(),
            rng,
            self.watch,
            lambda: 0.05,
            lambda: self.load_loop.known_hosts or 1,
            updates=self.replica_updates,
        )
        self.load_loop = LoadLoop(
            LoadLoopDependencies(
                sources=DigestSources(
                    host=self.name,
                    domain=self.domain,
                    loads=self.loads,
                    peers=self.peers,
                    prefix_cache=self.prefix_cache,
                    phases=ExpectedPhases(),
                    watch=self.watch,
                    quarantine=self.quarantine,
                    usage=no_usage(),
                    throttle=self.throttle,
                    replica_speeds=self.replica_speeds,
                    handle_losses=self.handle_losses,
                    customer_demand=self.customer_demand,
                    replica_updates=self.replica_updates,
                ),
                address=self.address,
                rows=world.rows,
                make_link=lambda key: NetLink(world.net, self.address, key),
                clock=LoopClock(),
                rng=rng,
                byte_budget=world.byte_budget,
                on_store_change=self.directory.notify_change,
                eras=self.watch.eras,
            )
        )

    async def run(self, started: trio.CancelScope) -> None:
        """Run both loops until ``started`` is cancelled."""
        with started:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.directory.run)
                nursery.start_soon(self.load_loop.run)

    @property
    def version(self) -> int:
        """Return the version of the routes in force."""
        return 0 if self.routes.table is None else self.routes.table.version

    @property
    def usable(self) -> set[str]:
        """Return the replicas that get new work."""
        return {rep.instance for rep in self.replicas.pool(PLAIN).replicas}


class MultiHostWorld:
    """Hosts, their network and their store."""

    def __init__(self, nursery: trio.Nursery, in_force: float, byte_budget: int):
        """Start with routes of version 1 and no hosts."""
        self.nursery = nursery
        self.in_force = in_force
        self.byte_budget = byte_budget
        self.uses_replica_gossip = False
        self.net = Net(nursery)
        self.store = FakeDirectory()
        self.rows = FakeHostRows()
        self.hosts: list[WorldHost] = []
        self.scopes: dict[str, trio.CancelScope] = {}
        self.store.put_routes(routes(1))
        self.put_version = 1

    def start(self, number: int, domains: int) -> WorldHost:
        """Start a host; numbers are spread over the domains."""
        name = f"host-{number}"
        host = WorldHost(
            name, f"domain-{number % domains}", f"10.0.0.{number}:7380", self
        )
        self.hosts.append(host)
        self._run(host)
        return host

    def _run(self, host: WorldHost) -> None:
        scope = self.scopes[host.name] = trio.CancelScope()
        self.nursery.start_soon(host.run, scope)

    def kill(self, host: WorldHost) -> None:
        """End a host's process at once."""
        self.scopes[host.name].cancel()
        self.net.links.pop(host.address, None)
        self.hosts.remove(host)

    def restart(self, host: WorldHost) -> WorldHost:
        """Start a host again under its name, with no state."""
        self.kill(host)
        return self.restart_elsewhere(host, host.address)

    def restart_elsewhere(self, host: WorldHost, address: str) -> WorldHost:
        """Start a host that was killed again under its name, at another address."""
        restarted = WorldHost(host.name, host.domain, address, self)
        self.hosts.append(restarted)
        self._run(restarted)
        return restarted

    def put_routes(self) -> int:
        """Put the next version in force; return it."""
        self.put_version += 1
        self.store.put_routes(routes(self.put_version))
        return self.put_version

    def put_replica(self, name: str, draining: bool = False) -> None:
        """Write a replica's entry."""
        self.store.put_replica(
            Replica(
                InstanceId(name), PLAIN, "10.1.0.1:80", DomainName("d"), 8, draining
            )
        )

    def calls(self) -> int:
        """Return the number of calls to the store's feeds so far."""
        return sum(host.view.calls for host in self.hosts)

    def collectors(self) -> list[WorldHost]:
        """Return the hosts that are the collector of their domain."""
        return [host for host in self.hosts if host.peers.is_collector]

    def feed_readers(self) -> list[WorldHost]:
        """Return the hosts that read the feeds for all."""
        return [host for host in self.hosts if host.watch.reads_feeds]
