"""Hosts that keep a pool's engines in their phases, on a virtual clock.

There is no traffic. The loops, planners, decisions and leases are the real ones.
Engines, the directory, the store and what hosts know of the engines' speeds are
simulated.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from berylshift.clock import LoopClock
from berylshift.ids import (
    DomainName,
    InstanceId,
    ReplicaName,
    Revision,
    ServiceName,
)
from berylshift.messages.engine_control import (
    EngineReport,
    OrderAnswer,
    PhaseOrder,
)
from berylshift.messages.replicas import (
    EnginePhase,
    Replica,
    ReplicaChanges,
    instance_of,
)
from berylshift.process.directory.expected_phases import (
    PHASE_CHANGE_SECONDS,
    ExpectedPhases,
)
from berylshift.process.directory.replica_set import ReplicaSet
from berylshift.process.gossip.peer_loads import DIGEST_TTL_SECONDS
from berylshift.process.leader_tasks.leader_lease import LeaderLease
from berylshift.process.leader_tasks.phase_loop import PhaseLoop
from berylshift.process.leader_tasks.phase_planner import PhasePlanner
from berylshift.scheduling.phase_split import PhaseSplit
from berylshift.stand_ins.fake_directory import FakeLeaseRows
from berylshift.tests.support import run_virtual

SERVICE = ServiceName("writer")
FAST, SLOW = 0.7, 1.7
DOMAINS = 4
PREFILL_SHARE = 0.65
GAP_LIMIT = 0.2
# Seconds between events at the usual speed during a disturbance: 56 ms at a factor of
# 0.7, times 2.5.
DISTURBED_GAP = 0.2
HEARTBEAT_SECONDS = 1.0
DIGEST_SECONDS = 0.2
ORDERS_APART_SECONDS = 3.0


@dataclass
class Order:
    """An order that an engine received."""

    at: float
    name: str
    phase: EnginePhase


@dataclass
class SimulatedEngine:
    """An engine: ``phase`` is the one it has or changes to, until ``ready_at``."""

    name: str
    domain: str
    factor: float
    phase: EnginePhase
    ready_at: float = 0.0
    started_ms: int = 1
    alive: bool = True
    # Reports and orders get no response; the next orders are executed without one.
    silent: bool = False
    lose_answers: int = 0
    lose_orders: int = 0
    orders: int = 0
    # The factor as it is observed, if that differs.
    shown_factor: float | None = None

    @property
    def instance(self) -> InstanceId:
        return instance_of(ReplicaName(self.name), self.started_ms)

    def entry(self, phase: EnginePhase) -> Replica:
        return Replica(
            self.instance,
            SERVICE,
            "10.0.0.1:80",
            DomainName(self.domain),
            64,
            phase=phase,
            name=ReplicaName(self.name),
            started_ms=self.started_ms,
        )

    def decodes(self, now: float) -> bool:
        return self.is_usable(now) and self.phase is EnginePhase.DECODE

    def is_usable(self, now: float) -> bool:
        return self.alive and now >= self.ready_at


class SimulatedCapacity:
    """Factors known to all hosts from ``known_at`` on."""

    def __init__(self, world: "PhaseWorld"):
        self._world = world

    def lasting_factor(self, replica: Replica) -> float:
        world, engine = self._world, self._world.engines[replica.name]
        if trio.current_time() < world.known_at or engine.instance != replica.instance:
            return 1.0
        shown = engine.factor if engine.shown_factor is None else engine.shown_factor
        return shown * world.noise()

    def time_factor(self, replica: Replica, now: float) -> float:
        return self.lasting_factor(replica)

    def event_gap(self, replica: Replica, now: float) -> float | None:
        world, engine = self._world, self._world.engines[replica.name]
        if now < world.known_at or not engine.decodes(now):
            return None
        return DISTURBED_GAP * engine.factor * world.gap_swing(now)


@dataclass
class SimulatedHost:
    name: str
    replicas: ReplicaSet
    phases: ExpectedPhases
    loop: PhaseLoop
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    # Receives neither the other hosts' digests nor the directory's feed.
    cut_off: bool = False
    # Since when it exchanges no digests with the others; it reads the feed.
    partitioned_since: float | None = None
    # When digests of each other host arrived.
    heard_at: dict[str, float] = field(default_factory=dict)

    def hears_others(self, seconds: float) -> bool:
        """Return whether most other hosts were heard of within some seconds."""
        now = trio.current_time()
        heard = sum(now - at < seconds for at in self.heard_at.values())
        return 2 * heard >= len(self.heard_at)


@dataclass
class PhaseWorld:
    """Engines, hosts and what was observed of them."""

    engines: dict[str, SimulatedEngine]
    uses_speeds: bool = True
    known_at: float = 2.0
    gap_limit: float = GAP_LIMIT
    noise: Callable[[], float] = lambda: 1.0
    gap_swing: Callable[[float], float] = lambda now: 1.0
    running: Callable[[float], float] = lambda now: 70.0
    orders: list[Order] = field(default_factory=list)
    hosts: list[SimulatedHost] = field(default_factory=list)
    # The least capacity that could decode and prefill, and the most engines that were
    # changing phase at once.
    least_decode: float = float("inf")
    least_decode_engines: int = 10**6
    least_prefill: float = float("inf")
    most_changing: int = 0

    async def report(self, replica: Replica) -> EngineReport | None:
        engine = self.engines[replica.name]
        await trio.sleep(0.002)
        if not engine.alive or engine.silent:
            await trio.sleep(0.5)
            return None
        busy = trio.current_time() < engine.ready_at
        return EngineReport(engine.phase, busy, engine.orders, engine.started_ms)

    async def order(self, replica: Replica, order: PhaseOrder) -> OrderAnswer:
        engine, now = self.engines[replica.name], trio.current_time()
        self.orders.append(Order(now, engine.name, order.phase))
        if engine.lose_orders:
            engine.lose_orders -= 1
            await trio.sleep(0.5)
            return OrderAnswer.UNKNOWN
        if order.orders != engine.orders or now < engine.ready_at:
            return OrderAnswer.CONFLICT
        engine.orders += 1
        engine.phase = order.phase
        engine.ready_at = now + PHASE_CHANGE_SECONDS
        if engine.lose_answers:
            engine.lose_answers -= 1
            await trio.sleep(0.5)
            return OrderAnswer.UNKNOWN
        return OrderAnswer.ACCEPTED

    # Hosts

    def add_host(self, name: str, nursery: trio.Nursery, rows: FakeLeaseRows) -> None:
        """Start a host's loop."""
        phases, rng = ExpectedPhases(), random.Random(name)
        replicas = ReplicaSet(phases)
        lease = LeaderLease(
            rows, "phases", name, ORDERS_APART_SECONDS, rng, trio.current_time
        )
        split = PhaseSplit(
            SimulatedCapacity(self),
            lambda: self.uses_speeds,
            lambda: self.gap_limit,
            lambda engines, now: self._running(host, now),
            lambda seconds: host.hears_others(seconds),
        )
        loop = PhaseLoop(
            service=SERVICE,
            planner=PhasePlanner(PREFILL_SHARE, split),
            lease=lease,
            control=self,
            replicas=replicas,
            phases=phases,
            clock=LoopClock(),
            rng=rng,
            is_idle=lambda: False,
            host_count=lambda: len(self.hosts),
            holder=name,
            is_stopping=lambda: False,
            is_limited=lambda instance: False,
        )
        host = SimulatedHost(name, replicas, phases, loop)
        self.hosts.append(host)
        self._list(host)
        nursery.start_soon(self._run_host, host)

    async def _run_host(self, host: SimulatedHost) -> None:
        with host.scope:
            await host.loop.run()

    def _running(self, host: SimulatedHost, now: float) -> float:
        """Return the streams that a host knows of; each host sends as many."""
        since, count = host.partitioned_since, len(self.hosts)
        if since is None or now - since < DIGEST_TTL_SECONDS:
            return self.running(now)
        return self.running(now) / count

    def kill_host(self, name: str) -> None:
        """End a host at whatever it is doing."""
        host = next(host for host in self.hosts if host.name == name)
        self.hosts.remove(host)
        host.scope.cancel()

    # The directory and digests

    def _list(self, host: SimulatedHost) -> None:
        """Deliver the directory's entries to a host."""
        now = trio.current_time()
        entries = tuple(
            engine.entry(self._listed_phase(engine, now))
            for engine in self.engines.values()
            if engine.alive
        )
        changes = ReplicaChanges(entries, (), Revision(1), whole=True)
        host.replicas.apply(changes, now)

    def _listed_phase(self, engine: SimulatedEngine, now: float) -> EnginePhase:
        """Return the phase in the entry: the new one once the change is done."""
        if now >= engine.ready_at:
            return engine.phase
        is_prefill = engine.phase is EnginePhase.PREFILL
        return EnginePhase.DECODE if is_prefill else EnginePhase.PREFILL

    async def deliver(self) -> None:
        """Deliver entries and digests periodically."""
        while True:
            await trio.sleep(HEARTBEAT_SECONDS)
            for host in self.hosts:
                if not host.cut_off:
                    self._list(host)

    async def gossip(self) -> None:
        """Exchange digests of orders, and observe the engines."""
        while True:
            await trio.sleep(DIGEST_SECONDS)
            now = trio.current_time()
            self._observe(now)
            for sender in self.hosts:
                updates = sender.phases.updates_to_send(now)
                for host in self.hosts:
                    if host is not sender and not self._is_cut(host, sender):
                        host.heard_at[sender.name] = now
                        host.phases.apply_updates(updates, now)
                        host.replicas.expire(now)

    def _is_cut(self, host: SimulatedHost, sender: SimulatedHost) -> bool:
        """Return whether digests of a host do not reach another one."""
        ends = (host, sender)
        return any(end.cut_off or end.partitioned_since is not None for end in ends)

    def _observe(self, now: float) -> None:
        decoding = [item for item in self.engines.values() if item.decodes(now)]
        prefilling = [
            item
            for item in self.engines.values()
            if item.is_usable(now) and item.phase is EnginePhase.PREFILL
        ]
        alive = sum(item.alive for item in self.engines.values())
        changing = alive - len(decoding) - len(prefilling)
        self.least_decode = min(self.least_decode, capacity_of(decoding))
        self.least_decode_engines = min(self.least_decode_engines, len(decoding))
        self.least_prefill = min(self.least_prefill, capacity_of(prefilling))
        self.most_changing = max(self.most_changing, changing)

    # Results

    def decoding(self) -> list[SimulatedEngine]:
        return self.in_phase(EnginePhase.DECODE)

    def in_phase(self, phase: EnginePhase) -> list[SimulatedEngine]:
        engines = self.engines.values()
        return [item for item in engines if item.alive and item.phase is phase]

    def orders_to(self, phase: EnginePhase) -> list[Order]:
        return [order for order in self.orders if order.phase is phase]

    def orders_since(self, at: float) -> list[Order]:
        return [order for order in self.orders if order.at >= at]


def capacity_of(engines: list[SimulatedEngine]) -> float:
    """Return the capacity of engines, in engines of the usual speed."""
    return sum(1 / engine.factor for engine in engines)


def mixed_engines(
    fast: int = 30,
    slow: int = 15,
    decode: int = 16,
    seed: int = 1,
    factors: tuple[float, float] = (FAST, SLOW),
) -> dict[str, SimulatedEngine]:
    """Return engines in ``DOMAINS`` domains, of which ``decode`` drawn ones decode."""
    rng = random.Random(seed)
    speeds = [factors[0]] * fast + [factors[1]] * slow
    rng.shuffle(speeds)
    decoding = set(rng.sample(range(len(speeds)), decode))
    engines = [
        SimulatedEngine(
            f"engine-{number:02}",
            f"domain-{number % DOMAINS}",
            factor,
            EnginePhase.DECODE if number in decoding else EnginePhase.PREFILL,
        )
        for number, factor in enumerate(speeds)
    ]
    return {engine.name: engine for engine in engines}


def run_phases(
    world: PhaseWorld,
    seconds: float,
    script: Callable[[PhaseWorld, trio.Nursery, FakeLeaseRows], object] | None = None,
    hosts: int = 3,
) -> PhaseWorld:
    """Run hosts for some seconds, with ``script`` at their side; return the world."""

    async def main() -> None:
        rows = FakeLeaseRows()
        async with trio.open_nursery() as nursery:
            for number in range(hosts):
                world.add_host(f"host-{number}", nursery, rows)
            nursery.start_soon(world.deliver)
            nursery.start_soon(world.gossip)
            if script is not None:
                nursery.start_soon(script, world, nursery, rows)
            await trio.sleep(seconds)
            nursery.cancel_scope.cancel()

    run_virtual(main)
    return world
