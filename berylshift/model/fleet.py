"""The modelled fleet: hosts, engines, traffic and faults of one play."""

import random

import msgspec

from berylshift.ids import DomainName, InstanceId
from berylshift.messages.replicas import EnginePhase, Replica
from berylshift.model.engine import ModelEngine
from berylshift.model.event_queue import EventQueue
from berylshift.model.host import ModelHost
from berylshift.model.parameters import SERVICE, SiteFigures
from berylshift.model.prompt_run import PromptRun
from berylshift.model.result import CrashCount, PlayResult, PromptEnd, summarize
from berylshift.model.traffic import Arrival, Burst, Crasher, Traffic
from berylshift.process.directory.pools import Pool
from berylshift.process.leader_tasks.phase_planner import PhasePlanner

# A host and an engine of one domain.
NEAR_SECONDS = 0.0002
# An engine that has crashed is listed until its entry lapses.
LAPSE_SECONDS = 3.0
# An engine that a prompt has ended is back after this long.
BACK_SECONDS = 3.0
# Plays go on for this long, so that what has begun can end.
TAIL_SECONDS = 10.0


class Fault(msgspec.Struct, frozen=True):
    """An engine crashes, or works ``slowness`` times as long, for some seconds."""

    at: float
    engine: int
    seconds: float
    slowness: float = 0.0


class PlaySpec(msgspec.Struct, frozen=True, kw_only=True):
    """What one play is made of."""

    site: SiteFigures
    seconds: float = 30.0
    seed: int = 1
    placing: str = "warm"
    reading_share: float = 0.65
    load: float = 1.0
    bursts: tuple[Burst, ...] = ()
    faults: tuple[Fault, ...] = ()
    crashers: tuple[Crasher, ...] = ()
    holds_back: bool = True


class ModelFleet:
    """One play."""

    def __init__(self, spec: PlaySpec):
        """Build hosts and engines; nothing runs yet."""
        self._spec = spec
        self.site = spec.site
        self.queue = EventQueue()
        self.ends: list[PromptEnd] = []
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
        wanted = PhasePlanner(self._spec.reading_share).desired_prefill_engines(
            self.site.engines
        )
        return [
            EnginePhase.PREFILL if number < wanted else EnginePhase.DECODE
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

    def hop(self, one: DomainName, other: DomainName) -> float:
        """Return the seconds from a host to an engine."""
        return NEAR_SECONDS if one == other else self.site.domain_seconds

    def play(self) -> PlayResult:
        """Play the traffic and the faults; return what came of it."""
        spec = self._spec
        for host in self.hosts:
            host.join([other for other in self.hosts if other is not host])
        site = msgspec.structs.replace(
            self.site,
            kinds=tuple(
                msgspec.structs.replace(kind, rate=kind.rate * spec.load)
                for kind in self.site.kinds
            ),
        )
        traffic = Traffic(site, self._rng)
        for arrival in traffic.arrivals(spec.seconds, spec.bursts):
            self.queue.at(arrival.at, PromptRun(self, arrival).begin)
        for crasher in spec.crashers:
            for arrival in traffic.of_crasher(crasher):
                self.queue.at(arrival.at, PromptRun(self, arrival).begin)
        for fault in spec.faults:
            self._plan_fault(fault)
        self.queue.run(spec.seconds + TAIL_SECONDS)
        again = sum(engine.again_tokens for engine in self.engines.values())
        return summarize(self.ends, again, self.crash_count)

    # Prompts that end engines

    def lives(self, replica: Replica) -> bool:
        """Return whether this very start of an engine is there."""
        engine = self.engines[replica.address]
        return engine.alive and engine.replica is replica

    def end_engine(self, replica: Replica) -> None:
        """End an engine under a prompt; it is back after some seconds."""
        if not self.lives(replica):
            return
        self.crash_count.ended += 1
        number = list(self.engines).index(replica.address)
        fault = Fault(self.queue.monotonic(), number, BACK_SECONDS)
        self._crash(replica.address, fault)
        self.queue.after(BACK_SECONDS, lambda: self._restart(replica.address))

    def note_held(self, arrival: Arrival) -> None:
        """Count a prompt that a host holds back."""
        self.crash_count.held_others += not arrival.crashes

    def note_send(self, arrival: Arrival) -> None:
        """Count a send of a prompt that ends engines."""
        self.crash_count.sends += arrival.crashes

    # Faults

    def _plan_fault(self, fault: Fault) -> None:
        address = f"10.0.0.{fault.engine % self.site.engines}:80"
        begin, end = self._crash, self._restart
        if fault.slowness:
            begin, end = self._slow, self._quick
        self.queue.at(fault.at, lambda: begin(address, fault))
        self.queue.at(fault.at + fault.seconds, lambda: end(address))

    def _slow(self, address: str, fault: Fault) -> None:
        self.engines[address].slowness = fault.slowness

    def _quick(self, address: str) -> None:
        self.engines[address].slowness = 1.0

    def _crash(self, address: str, fault: Fault) -> None:
        gone = self.engines[address].replica
        self.engines[address].crash()
        lapses = min(LAPSE_SECONDS, fault.seconds)
        self.queue.after(lapses, lambda: self._lapse(address, gone))

    def _lapse(self, address: str, gone: Replica) -> None:
        if self._listed.get(address) is gone:
            del self._listed[address]
            self._list()

    def _restart(self, address: str) -> None:
        engine = self.engines[address]
        number = list(self.engines).index(address)
        replica = self._replica(number, engine.replica.phase)
        engine.restart(replica)
        self._listed[address] = replica
        self._list()

    def _list(self) -> None:
        self.pool = Pool(list(self._listed.values()))


def play(spec: PlaySpec) -> PlayResult:
    """Return the result of one play."""
    return ModelFleet(spec).play()
