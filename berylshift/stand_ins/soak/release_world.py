"""A soak's world in which engines of new software versions replace those before."""

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

import trio

from berylshift.connection.errors import ConnectionLayerError
from berylshift.connection.http_request import Headers, HttpRequest
from berylshift.connection.http_server import HttpServer
from berylshift.connection.listeners import bound_address, open_listener
from berylshift.connection.responder import Responder
from berylshift.messages.replicas import EnginePhase
from berylshift.platform import names
from berylshift.stand_ins.entry_replica import EntryReplica
from berylshift.stand_ins.soak.partitions import draw_island
from berylshift.stand_ins.soak.schedule import Fault
from berylshift.stand_ins.soak.stream_callers import (
    StreamCaller,
    describe,
    find_faults,
)
from berylshift.stand_ins.soak.world import (
    FAST,
    OTHER_SERVICE,
    POLL_SECONDS,
    FaultyStore,
    SoakHost,
    SoakWorld,
)

ENGINES = {EnginePhase.PREFILL: 1, EnginePhase.DECODE: 3}
# Engines of the service that routes move to, at the first version for the whole run.
OTHER_ENGINES = (EnginePhase.PREFILL, EnginePhase.DECODE, EnginePhase.DECODE)
FIRST_VERSION = "v1.0"
WEIGHTS_COUNT = 3
BREAK_SHARE = 0.25
SPLIT_SHARE = 0.2
EVENT_SECONDS = (0.02, 0.08)
# Short, since hosts know a stream's past once two of these and 5 s have passed.
ROUTE_TIMEOUT_MS = 1500
FIRST_START_SHARE = 0.5
# The share of releases that bring back the version before the one in service.
ROLLBACK, ROLLBACK_SHARE = 2, 0.2
# The new engines of a release join one after the other.
JOIN_PAUSE_SECONDS = 0.3
# The former ones drain this long after, lose their entries and serve on for a while.
OVERLAP_SECONDS = (0.1, 2.5)
DRAIN_SECONDS = (0.5, 2.5)
SERVE_ON_SECONDS = (0.0, 3.0)
# Some replicas leave without having said that they drain.
UNANNOUNCED_SHARE = 0.2
HEARTBEAT_SECONDS = 1.2
CRASHED_ENTRY_SECONDS = 3 * HEARTBEAT_SECONDS
STRAND_SECONDS = (0.3, 2.0)


class HostStore:
    """One host's path to the store: it may break, or let answers wait."""

    def __init__(self, store: FaultyStore):
        """Pass calls to ``store``."""
        self._store = store
        self.cut = 0
        self.held = 0

    async def handle(self, req: HttpRequest, responder: Responder) -> None:
        """Answer one call."""
        if self.cut:
            raise trio.BrokenResourceError("cut off from the store")
        await self._store.handle(req, _PathResponder(self, responder))


class _PathResponder:
    """Sends an answer once its path does."""

    def __init__(self, path: HostStore, responder: Responder):
        self._path = path
        self._responder = responder

    async def full(self, status: int, headers: Headers, body: bytes) -> None:
        while self._path.held:
            await trio.sleep(POLL_SECONDS)
        if self._path.cut:
            raise trio.BrokenResourceError("cut off from the store")
        await self._responder.full(status, headers, body)


@dataclass
class ReleaseWorld(SoakWorld):
    """Hosts with a path to the store each, before engines that are replaced."""

    paths: list[HostStore] = field(default_factory=list)
    released: int = 0
    former: list[EntryReplica] = field(default_factory=list)
    # How many moves of the routes are not over.
    moves: int = 0
    routes_lock: trio.Lock = field(default_factory=trio.Lock)
    # The states of replicas that are listed, and locks of their entries.
    states: dict[EntryReplica, str] = field(default_factory=dict)
    locks: dict[EntryReplica, trio.Lock] = field(
        default_factory=lambda: defaultdict(trio.Lock)
    )

    def __post_init__(self) -> None:
        """Draw what the whole run has."""
        self.route_timeout_ms = ROUTE_TIMEOUT_MS
        self.state.rng = self.rng
        self.state.break_share, self.state.split_share = BREAK_SHARE, SPLIT_SHARE
        is_first = self.rng.random() < FIRST_START_SHARE
        self.entry_settings = f"first_start = {str(is_first).lower()}"

    async def _start_replicas(self) -> None:
        await self._start_version()
        for number, phase in enumerate(OTHER_ENGINES if self.has_changes else ()):
            name = f"{OTHER_SERVICE}-{number}"
            await self._start_replica(name, phase, FAST, FIRST_VERSION, OTHER_SERVICE)

    async def _put_routes(self) -> None:
        async with self.routes_lock:
            self.stream_service = OTHER_SERVICE if self.moves else "writer"
            await super()._put_routes()

    async def _start_version(self) -> None:
        """Start the engines of a further software version, or of an earlier one."""
        number = self.released
        if number >= ROLLBACK and self.rng.random() < ROLLBACK_SHARE:
            number -= ROLLBACK
        version = f"v1.{number}"
        self.released += 1
        # The next release may begin before all of these have joined.
        started = self.former = []
        for phase, count in ENGINES.items():
            for _ in range(count):
                name = f"{phase}-{version}-{len(self.replicas)}"
                replica = await self._start_replica(name, phase, FAST, version)
                replica.event_seconds = self.rng.uniform(*EVENT_SECONDS)
                started.append(replica)
                if self.released > 1:
                    await trio.sleep(self.rng.uniform(0, JOIN_PAUSE_SECONDS))

    async def _list_replica(self, replica: EntryReplica, state: str = "ready") -> None:
        is_new = replica not in self.states
        self.states[replica] = state
        if is_new:
            self.nursery.start_soon(self._renew_entry, replica)
        async with self.locks[replica]:
            await super()._list_replica(replica, state)

    async def _renew_entry(self, replica: EntryReplica) -> None:
        """Write a replica's entry at every heartbeat, as replicas do."""
        while True:
            await trio.sleep(HEARTBEAT_SECONDS)
            async with self.locks[replica]:
                if not replica.alive or replica not in self.states:
                    return
                await super()._list_replica(replica, self.states[replica])

    async def _store_address_for(self, host: int) -> str:
        path = HostStore(self.store)
        self.paths.append(path)
        listener = open_listener("127.0.0.1:0")
        self.nursery.start_soon(HttpServer(path.handle).serve, listener)
        return bound_address(listener)

    async def _transact(self, transaction: dict) -> None:
        """Write rows, again if the write failed: all of a world's may come twice."""
        while True:
            while self.store.down:
                await trio.sleep(POLL_SECONDS)
            try:
                await super()._transact(transaction)
            except ConnectionLayerError:
                await trio.sleep(POLL_SECONDS)
            else:
                return

    def start_caller(self, name: str, nursery: trio.Nursery, **more: int) -> None:
        """Start a caller of streams that runs until cancelled."""
        caller = StreamCaller(name, self.rng, self._choose_host, self.streams)
        nursery.start_soon(caller.run)

    def stream_violations(self) -> list[str]:
        """Return a line for each stream that is not what its engine sent."""
        runs = Counter(self.runs())
        found = [(item, find_faults(item, runs.__getitem__)) for item in self.streams]
        return [
            f"{', '.join(faults)}: {describe(item)}" for item, faults in found if faults
        ]

    # Faults

    def _host_faults(self) -> dict[Fault, Callable]:
        return {
            **super()._host_faults(),
            Fault.STORE_CUT: partial(self._disturb_path, "cut"),
            Fault.STORE_HELD: partial(self._disturb_path, "held"),
        }

    def _other_faults(self) -> dict[Fault, Callable]:
        return {
            **super()._other_faults(),
            Fault.RELEASE: self._release,
            Fault.STRAND: self._strand,
            Fault.KILL_ALL: self._kill_all,
            Fault.FREEZE_ALL: self._freeze_all,
            Fault.CRASH: self._crash,
            Fault.PARTITION: self._partition,
            Fault.WEIGHTS: self._change_weights,
            Fault.MOVE: self._move_routes,
        }

    async def _release(self, replica: EntryReplica, seconds: float) -> None:
        former = self.former
        await self._start_version()
        await trio.sleep(self.rng.uniform(*OVERLAP_SECONDS))
        async with trio.open_nursery() as nursery:
            for leaving in former:
                nursery.start_soon(self._leave, leaving)

    async def _leave(self, replica: EntryReplica) -> None:
        if self.rng.random() >= UNANNOUNCED_SHARE:
            await self._list_replica(replica, "draining")
            await trio.sleep(self.rng.uniform(*DRAIN_SECONDS))
        await self._remove_entry(replica)
        await trio.sleep(self.rng.uniform(*SERVE_ON_SECONDS))
        await replica.crash("")

    async def _remove_entry(self, replica: EntryReplica) -> None:
        row = {"table": names.REPLICA_TABLE, "key": replica.instance}
        self.states.pop(replica, None)
        async with self.locks[replica]:
            await self._transact({"remove": [row]})

    async def _crash(self, replica: EntryReplica, seconds: float) -> None:
        """End an engine, and start another one of its version."""
        if replica not in self.former or not replica.alive:
            return
        self.former.remove(replica)
        await replica.crash("")
        name = f"{replica.instance}-{len(self.replicas)}"
        started = await self._start_replica(name, replica.phase, FAST, replica.version)
        if any(item.version == replica.version for item in self.former):
            self.former.append(started)
        else:
            self.nursery.start_soon(self._leave, started)
        await trio.sleep(CRASHED_ENTRY_SECONDS)
        await self._remove_entry(replica)

    async def _kill_all(self, replica: EntryReplica, seconds: float) -> None:
        while any(host.is_restarting for host in self.hosts):
            await trio.sleep(POLL_SECONDS)
        await self._end_others(None, self._kill, seconds)

    async def _freeze_all(self, replica: EntryReplica, seconds: float) -> None:
        """Suspend all hosts but one."""
        await self._end_others(self.rng.choice(self.hosts), self._freeze, seconds)

    async def _end_others(
        self, spared: SoakHost | None, end: Callable, seconds: float
    ) -> None:
        async with trio.open_nursery() as nursery:
            for host in self.hosts:
                if host is not spared:
                    nursery.start_soon(self._end, end, host, seconds)

    async def _end(self, end: Callable, host: SoakHost, seconds: float) -> None:
        """Kill or suspend a host that another fault does not restart or suspend."""
        if not host.is_restarting and (end == self._kill or not host.is_frozen):
            await end(host, seconds)

    async def _partition(self, replica: EntryReplica, seconds: float) -> None:
        """Lose the datagrams between two groups of hosts."""
        ips = [host.address.partition(":")[0] for host in self.hosts]
        island, others = draw_island(self.rng, ips)
        self.partitions.begin(island, others)
        await trio.sleep(seconds)
        self.partitions.end(island, others)

    async def _change_weights(self, replica: EntryReplica, seconds: float) -> None:
        replica.weights = b"%d" % (int(replica.weights) % WEIGHTS_COUNT + 1)

    async def _move_routes(self, replica: EntryReplica, seconds: float) -> None:
        """Lead streams to another service for a while."""
        self.moves += 1
        await self._put_routes()
        await trio.sleep(seconds)
        self.moves -= 1
        await self._put_routes()

    async def _strand(self, replica: EntryReplica, seconds: float) -> None:
        """Release a version while a host can't learn of it; then end the others."""
        host = self.rng.choice(self.hosts)
        disturbs = [partial(self._disturb_path, what) for what in ("cut", "held")]
        disturb = self.rng.choice([*disturbs, self._freeze])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._end, disturb, host, seconds)
            nursery.start_soon(self._release, replica, seconds)
            await trio.sleep(self.rng.uniform(*STRAND_SECONDS))
            end = self.rng.choice([self._kill, self._freeze])
            nursery.start_soon(self._end_others, host, end, seconds)

    async def _disturb_path(self, what: str, host: SoakHost, seconds: float) -> None:
        path = self.paths[self.hosts.index(host)]
        setattr(path, what, getattr(path, what) + 1)
        await trio.sleep(seconds)
        setattr(path, what, getattr(path, what) - 1)
