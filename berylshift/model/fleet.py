"""The simulated fleet: hosts, engines, traffic and faults of one simulation."""

import random

import msgspec

from berylshift.ids import DomainName, InstanceId
from berylshift.messages.replicas import EnginePhase, Replica
from berylshift.model.engine import ModelEngine
from berylshift.model.event_queue import EventQueue
from berylshift.model.host import ModelHost
from berylshift.model.parameters import SERVICE, SiteParameters
from berylshift.model.prompt_run import PromptRun
from berylshift.model.result import (
    CrashCount,
    PromptOutcome,
    SimulationResult,
    summarize,
)
from berylshift.model.traffic import (
    Arrival,
    Burst,
    CrashingBlock,
    CrashingCaller,
    Traffic,
)
from berylshift.process.directory.pools import Pool
from berylshift.process.leader_tasks.phase_planner import PhasePlanner

# One-way latency between a host and an engine of the same domain.
SAME_DOMAIN_LATENCY_SECONDS = 0.0002
# A crashed engine stays listed until its directory entry expires.
ENTRY_TTL_SECONDS = 3.0
# Time until an engine that a prompt has crashed is back.
ENGINE_RESTART_SECONDS = 3.0
# Simulations run on for this long after the arrivals, so that requests can finish.
DRAIN_SECONDS = 10.0


class EngineFault(msgspec.Struct, frozen=True):
    """A crash of an engine, or a slowdown by a factor, that lasts some seconds."""

    at: float
    engine: int
    seconds: float
    slowdown: float = 0.0


class SimulationSpec(msgspec.Struct, frozen=True, kw_only=True):
    """The inputs of one simulation."""

    site: SiteParameters
    seconds: float = 30.0
    seed: int = 1
    placing: str = "warm"
    reading_share: float = 0.65
    load: float = 1.0
    bursts: tuple[Burst, ...] = ()
    faults: tuple[EngineFault, ...] = ()
    crashers: tuple[CrashingCaller, ...] = ()
    crashing_blocks: tuple[CrashingBlock, ...] = ()
    holds_back: bool = True


class ModelFleet:
    """One simulation."""

    def __init__(self, spec: SimulationSpec):
        """Build hosts and engines without starting them."""
        self._spec = spec
        self.site = spec.site
        self.queue = EventQueue()
        self.outcomes: list[PromptOutcome] = []
        self.crash_count = CrashCount()
        self.holds_back = spec.holds_back
        self._rng = random.Random(spec.seed)
        self._incarnations = 0
        self.engines: dict[str, ModelEngine] = {}
        self._listed: dict[str, Replica] = {}
        for number, phase in enumerate(self._phases()):
            replica = self._replica(number, phase)
            engine = ModelEngine(self.queue, self.site.engine, replica)
            self.engines[replica.address] = engine
            self._listed[replica.address] = replica
        self.pool = Pool(list(self._listed.values()))
        self.hosts = [
            ModelHost(
                self.queue,
                f"host-{number}",
                self._domain(number),
                spec.placing,
                self._rng.getrandbits(32),
                self.site.engine.facts,
            )
            for number in range(self.site.hosts)
        ]

    def _phases(self) -> list[EnginePhase]:
        prefill_count = PhasePlanner(self._spec.reading_share).desired_prefill_engines(
            self.site.engines
        )
        return [
            EnginePhase.PREFILL if number < prefill_count else EnginePhase.DECODE
            for number in range(self.site.engines)
        ]

    def _domain(self, number: int) -> DomainName:
        return DomainName(f"domain-{number % self.site.domains}")

    def _replica(self, number: int, phase: EnginePhase) -> Replica:
        self._incarnations += 1
        return Replica(
            InstanceId(f"engine-{number}-{self._incarnations}"),
            SERVICE,
            f"10.0.0.{number}:80",
            self._domain(number),
            self.site.engine.slots,
            False,
            phase,
        )

    def latency_seconds(self, one: DomainName, other: DomainName) -> float:
        """Return the one-way latency between a host and an engine."""
        return (
            SAME_DOMAIN_LATENCY_SECONDS
            if one == other
            else self.site.cross_domain_latency_seconds
        )

    def run(self) -> SimulationResult:
        """Simulate the traffic and the faults; return the results."""
        spec = self._spec
        for host in self.hosts:
            host.start_gossip([other for other in self.hosts if other is not host])
        site = msgspec.structs.replace(
            self.site,
            kinds=tuple(
                msgspec.structs.replace(kind, rate=kind.rate * spec.load)
                for kind in self.site.kinds
            ),
        )
        traffic = Traffic(site, self._rng)
        for arrival in traffic.arrivals(spec.seconds, spec.bursts):
            self.queue.call_at(arrival.at, PromptRun(self, arrival).begin)
        for crasher in spec.crashers:
            for arrival in traffic.crashing_arrivals(crasher):
                self.queue.call_at(arrival.at, PromptRun(self, arrival).begin)
        for block in spec.crashing_blocks:
            for arrival in traffic.crashing_block_arrivals(block):
                self.queue.call_at(arrival.at, PromptRun(self, arrival).begin)
        for fault in spec.faults:
            self._schedule_fault(fault)
        self.queue.run(spec.seconds + DRAIN_SECONDS)
        again = sum(engine.again_tokens for engine in self.engines.values())
        return summarize(self.outcomes, again, self.crash_count)

    # Prompts that crash engines

    def is_running(self, replica: Replica) -> bool:
        """Return whether this instance of an engine is running."""
        engine = self.engines[replica.address]
        return engine.alive and engine.replica is replica

    def crash_engine(self, replica: Replica) -> None:
        """Crash an engine because of a prompt, and restart it some seconds later."""
        if not self.is_running(replica):
            return
        self.crash_count.ended += 1
        number = list(self.engines).index(replica.address)
        fault = EngineFault(self.queue.monotonic(), number, ENGINE_RESTART_SECONDS)
        self._crash(replica.address, fault)
        self.queue.call_after(
            ENGINE_RESTART_SECONDS, lambda: self._restart(replica.address)
        )

    def note_quarantined(self, arrival: Arrival) -> None:
        """Count a prompt that a host quarantines, unless it crashes engines."""
        self.crash_count.held_others += not arrival.crashes

    def note_send(self, arrival: Arrival) -> None:
        """Count an attempt of a prompt that crashes engines."""
        self.crash_count.sends += arrival.crashes

    # Faults

    def _schedule_fault(self, fault: EngineFault) -> None:
        address = f"10.0.0.{fault.engine % self.site.engines}:80"
        begin, end = self._crash, self._restart
        if fault.slowdown:
            begin, end = self._slow, self._restore_speed
        self.queue.call_at(fault.at, lambda: begin(address, fault))
        self.queue.call_at(fault.at + fault.seconds, lambda: end(address))

    def _slow(self, address: str, fault: EngineFault) -> None:
        self.engines[address].slowdown = fault.slowdown

    def _restore_speed(self, address: str) -> None:
        self.engines[address].slowdown = 1.0

    def _crash(self, address: str, fault: EngineFault) -> None:
        crashed = self.engines[address].replica
        self.engines[address].crash()
        expiry_seconds = min(ENTRY_TTL_SECONDS, fault.seconds)
        self.queue.call_after(expiry_seconds, lambda: self._expire(address, crashed))

    def _expire(self, address: str, crashed: Replica) -> None:
        if self._listed.get(address) is crashed:
            del self._listed[address]
            self._update_pool()

    def _restart(self, address: str) -> None:
        engine = self.engines[address]
        number = list(self.engines).index(address)
        replica = self._replica(number, engine.replica.phase)
        engine.restart(replica)
        self._listed[address] = replica
        self._update_pool()

    def _update_pool(self) -> None:
        self.pool = Pool(list(self._listed.values()))


def simulate(spec: SimulationSpec) -> SimulationResult:
    """Return the results of one simulation."""
    return ModelFleet(spec).run()
