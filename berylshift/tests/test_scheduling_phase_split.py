"""Which engines should decode, by their speeds, gaps and load; single decisions."""

import unittest
from collections import Counter

from berylshift.ids import DomainName, InstanceId, RouteName, ServiceName, TableVersion
from berylshift.messages.load_digest import LoadDigest, LoadEntry, Scope, target_hash
from berylshift.messages.replicas import EnginePhase, Replica
from berylshift.process.gossip.peer_loads import PeerLoads
from berylshift.process.leader_tasks.phase_planner import (
    ChangeReason,
    PhasePlanner,
    PhaseTargets,
    PoolView,
    min_decode_engines,
)
from berylshift.process.targets.target_load import TargetLoads
from berylshift.scheduling.capacity import EvenCapacity
from berylshift.scheduling.phase_split import (
    LEARNING_SECONDS,
    LOAD_WINDOW_SECONDS,
    ObservedStreams,
    PhaseSplit,
    smallest_event_gap,
)
from berylshift.version.routes import (
    CallerLimits,
    Route,
    RouteKind,
    RouteTable,
    ServiceShare,
)

SERVICE, OTHER = ServiceName("writer"), ServiceName("desk")
LIMIT = 0.2
FAST, SLOW = 0.7, 1.7


def engine(number: int, phase: str, domain: int | None = None) -> Replica:
    """Return an engine; its phase by the first letter."""
    found = EnginePhase.DECODE if phase == "d" else EnginePhase.PREFILL
    place = DomainName(f"domain-{number % 3 if domain is None else domain}")
    name = InstanceId(f"engine-{number:02}")
    return Replica(name, SERVICE, "10.0.0.1:80", place, 64, phase=found)


class Capacity:
    """Factors and gaps by number of the engine; no gap where it has none."""

    def __init__(self, factors: list[float], gaps: dict[int, float] | None = None):
        self.factors = factors
        self.gaps = gaps or {}

    def lasting_factor(self, replica: Replica) -> float:
        return self.factors[int(replica.instance[-2:])]

    def time_factor(self, replica: Replica, now: float) -> float:
        return self.lasting_factor(replica)

    def event_gap(self, replica: Replica, now: float) -> float | None:
        return self.gaps.get(int(replica.instance[-2:]))


class SplitTestCase(unittest.TestCase):
    def split(self, capacity, limit=LIMIT, running=0.0, used=True) -> PhaseSplit:
        return PhaseSplit(
            capacity,
            lambda: used,
            lambda: limit,
            lambda engines, now: running,
            lambda seconds: True,
        )

    def decide(
        self,
        split: PhaseSplit,
        engines: list[Replica],
        seconds: float = 12.0,
        begin: float = 0.0,
    ) -> PhaseTargets | None:
        """Return the decision after ``seconds``, counted from ``begin``."""
        count = len(engines)
        prefill = PhasePlanner(0.65).desired_prefill_engines(count)
        view = PoolView(engines, count - prefill, min_decode_engines(count))
        times = [begin + 0.25 * step for step in range(int(seconds / 0.25) + 1)]
        return [split.targets(view, at) for at in times][-1]

    def numbers(self, changes) -> list[int]:
        return sorted(int(change.replica.instance[-2:]) for change in changes)


def pool(phases: str) -> list[Replica]:
    """Return engines in the phases of the letters."""
    return [engine(number, phase) for number, phase in enumerate(phases)]


class DecisionTest(SplitTestCase):
    """Ten engines: 0 to 3 decode, 0 and 1 are slow."""

    PHASES = "ddddpppppp"

    def test_slow_decode_engines_are_swapped_for_the_fastest(self):
        factors = [SLOW, SLOW, 0.9, 0.9, 0.9, 0.6, SLOW, 0.9, 0.9, 0.6]
        gaps = {0: 0.34, 1: 0.34, 2: 0.15, 3: 0.15}
        found = self.decide(self.split(Capacity(factors, gaps)), pool(self.PHASES))
        self.assertEqual(self.numbers(found.to_prefill), [0, 1])
        self.assertLessEqual({5}, set(self.numbers(found.to_decode)))
        self.assertLessEqual(set(self.numbers(found.to_decode)), {5, 9})
        reasons = {change.reason for change in found.changes}
        self.assertEqual(reasons, {ChangeReason.GAP})

    def test_an_unknown_gap_is_predicted_from_the_others(self):
        """Guards against engines that stay since no stream has run there lately."""
        factors = [SLOW, SLOW, FAST, FAST, FAST, FAST, FAST, FAST, SLOW, FAST]
        late = self.split(Capacity(factors, {2: 0.14, 3: 0.14}))
        found = self.decide(late, pool(self.PHASES))
        self.assertEqual(self.numbers(found.to_prefill), [0, 1])
        quick = self.split(Capacity(factors, {2: 0.04, 3: 0.04}))
        found = self.decide(quick, pool(self.PHASES))
        self.assertEqual(found.to_prefill, ())

    def test_without_any_gap_clearly_slow_engines_are_late(self):
        factors = [SLOW, SLOW, FAST, FAST, FAST, FAST, FAST, FAST, SLOW, FAST]
        found = self.decide(self.split(Capacity(factors)), pool(self.PHASES))
        self.assertEqual(self.numbers(found.to_prefill), [0, 1])
        found = self.decide(self.split(Capacity(factors), limit=0), pool(self.PHASES))
        self.assertEqual(found.to_prefill, ())

    def test_late_engines_that_are_not_clearly_slower_stay(self):
        """Guards against orders that gain less than the seconds they cost."""
        factors = [0.9, 0.9, 0.9, 0.9, 0.7, 0.7, 0.7, 0.7, 1.7, 1.7]
        gaps = dict.fromkeys(range(4), 0.4)
        found = self.decide(self.split(Capacity(factors, gaps)), pool(self.PHASES))
        self.assertEqual(found.changes, ())

    def test_a_late_engine_in_excess_is_as_good_as_the_others(self):
        """Guards against orders to equal engines since all of them are late."""
        factors = [0.7] * 8 + [1.7] * 2
        gaps = dict.fromkeys(range(5), 0.4)
        found = self.decide(self.split(Capacity(factors, gaps)), pool("dddddppppp"))
        self.assertEqual(found.changes, ())

    def test_replacements_are_clearly_faster(self):
        """Guards against swaps that gain little once the fast engines are in use."""
        factors = [SLOW, SLOW, SLOW, SLOW, 0.7, 1.3, 1.3, 1.3, 1.3, 1.3]
        gaps = dict.fromkeys(range(4), 0.4)
        found = self.decide(self.split(Capacity(factors, gaps)), pool(self.PHASES))
        self.assertEqual(self.numbers(found.to_decode), [4])

    def test_a_gap_that_is_too_long_for_a_moment_moves_nothing(self):
        factors = [SLOW, FAST, FAST, FAST, FAST, FAST, FAST, SLOW, SLOW, FAST]
        capacity = Capacity(factors, {0: 0.1, 1: 0.05, 2: 0.05, 3: 0.05})
        split, engines = self.split(capacity), pool(self.PHASES)
        view = PoolView(engines, 4, 2)
        for step in range(400):
            capacity.gaps[0] = 0.3 if step % 56 < 8 else 0.1
            found = split.targets(view, 0.25 * step)
            self.assertFalse(found is not None and found.to_prefill)

    def test_only_slow_engines_are_left(self):
        """Guards against a pool that gives up decode since all engines are late."""
        factors = [SLOW, SLOW, SLOW, SLOW, SLOW, SLOW, SLOW, SLOW, SLOW, FAST]
        gaps = dict.fromkeys(range(4), 0.4)
        found = self.decide(self.split(Capacity(factors, gaps)), pool(self.PHASES))
        self.assertEqual(self.numbers(found.to_decode), [9])
        self.assertLessEqual(len(found.to_prefill), 2)

    def test_unknown_engines_are_not_swapped(self):
        """Guards against an engine taken for a mean one since nothing is known."""
        factors = [SLOW, SLOW, FAST, FAST, 1.0, 1.0, FAST, FAST, SLOW, FAST]
        gaps = {0: 0.34, 1: 0.34, 2: 0.14, 3: 0.14}
        split = self.split(Capacity(factors, gaps))
        found = self.decide(split, pool(self.PHASES), 9.5)
        self.assertEqual(self.numbers(found.to_prefill), [0, 1])
        self.assertLessEqual(set(self.numbers(found.to_decode)), {6, 7, 9})

    def test_a_factor_of_one_that_lasts_is_the_mean(self):
        """Guards against a pool in which learned factors near 1.0 never count."""
        factors = [2.4, 2.4, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 2.4, 1.0]
        gaps = {0: 0.34, 1: 0.34, 2: 0.14, 3: 0.14}
        split = self.split(Capacity(factors, gaps))
        found = self.decide(split, pool(self.PHASES), 16.0)
        self.assertEqual(self.numbers(found.to_prefill), [0, 1])
        self.assertLessEqual(set(self.numbers(found.to_decode)), {4, 5, 6, 7, 9})

    def test_known_factors_survive_a_gap_in_what_is_known(self):
        """Guards against slow engines that count as mean ones once digests are lost."""
        factors = [FAST] * 6 + [SLOW] * 4
        capacity = Capacity(factors, dict.fromkeys(range(4), 0.14))
        split, view = self.split(capacity), PoolView(pool(self.PHASES), 4, 2)
        for step in range(200):
            capacity.factors = [1.0] * 10 if 60 <= step < 80 else factors
            found = split.targets(view, 0.25 * step)
            if step > 40:
                self.assertEqual(found.changes, ())

    def test_a_slow_engine_with_few_streams_is_late(self):
        """Guards against an engine that stays since its streams met no disturbance."""
        factors = [SLOW, FAST, FAST, FAST, FAST, FAST, FAST, SLOW, SLOW, FAST]
        gaps = {0: 0.12, 1: 0.14, 2: 0.14, 3: 0.14}
        found = self.decide(self.split(Capacity(factors, gaps)), pool(self.PHASES))
        self.assertEqual(self.numbers(found.to_prefill), [0])

    def test_load_of_the_time_in_which_others_fell_silent_does_not_count(self):
        """Guards against a mean of all hosts' streams and of one host's.

        The others are silent for 5 s, time and again; after 4 s that is noticed.
        """
        engines = pool("d" * 9 + "p" * 11)
        running, hears = [260.0], [True]
        split = PhaseSplit(
            Capacity([FAST] * 9 + [SLOW] * 11),
            lambda: True,
            lambda: LIMIT,
            lambda engines, now: running[0],
            lambda seconds: hears[0],
        )
        seconds = LOAD_WINDOW_SECONDS + 10
        self.assertEqual(self.decide(split, engines, seconds).to_prefill, ())
        found = []
        for second in range(1, 61):
            running[0] = 20.0 if second % 8 < 5 else 260.0
            hears[0] = second % 8 != 4
            later = self.decide(split, engines, 0.0, begin=seconds + second)
            found += later.to_prefill
        self.assertEqual(found, [])

    def test_nothing_before_the_factors_have_lasted(self):
        factors = [SLOW, SLOW, FAST, FAST, FAST, FAST, FAST, FAST, SLOW, FAST]
        split = self.split(Capacity(factors))
        self.assertIsNone(self.decide(split, pool(self.PHASES), 3.5))

    def test_both_phases_are_spread_over_the_domains(self):
        """Guards against a domain whose loss ends decode."""
        factors = [SLOW] * 6 + [FAST] * 12
        engines = [engine(number, "d", 0) for number in range(6)]
        engines += [engine(number, "p", number % 3) for number in range(6, 18)]
        found = self.decide(self.split(Capacity(factors)), engines)
        domains = Counter(change.replica.domain for change in found.to_decode)
        self.assertGreaterEqual(len(domains), 3)
        self.assertLessEqual(max(domains.values()) - min(domains.values()), 1)

    def test_many_streams_need_more_engines(self):
        factors = [FAST] * 8 + [SLOW] * 12
        engines = pool("d" * 5 + "p" * 15)
        seconds = LOAD_WINDOW_SECONDS + 10
        few = self.split(Capacity(factors), running=20.0)
        self.assertEqual(self.decide(few, engines, seconds).to_decode, ())
        many = self.split(Capacity(factors), running=260.0)
        found = self.decide(many, engines, seconds)
        # 260 streams take half of the slots of 8.1 engines.
        self.assertEqual(len(found.to_decode), 4)
        self.assertEqual(found.decode_engines, 9)
        far_too_many = self.split(Capacity(factors), running=10_000.0)
        found = self.decide(far_too_many, engines, seconds)
        self.assertEqual(found.decode_engines, 10)


class ModeTest(SplitTestCase):
    """Where nothing is known or engines are equal, the share decides."""

    def test_the_share_decides(self):
        engines = pool("ddddpppppp")
        for capacity in (
            EvenCapacity(),
            Capacity([0.9] * 5 + [1.2] * 5),
            Capacity([1.0] * 5 + [1.2] * 5),
        ):
            self.assertIsNone(self.decide(self.split(capacity), engines, 30.0))
        unused = self.split(Capacity([0.7] * 5 + [1.7] * 5), used=False)
        self.assertIsNone(self.decide(unused, engines, 30.0))
        self.assertFalse(unused.is_learning(0.0))

    def test_speeds_are_awaited_for_a_while_only(self):
        """Guards against a service without speeds whose split is never corrected."""
        split = self.split(EvenCapacity())
        engines = pool("dd" + "p" * 10)
        planner = PhasePlanner(0.65, split)
        changed_at = []
        for step in range(80):
            now = 0.25 * step
            if planner.plan(engines, now, False):
                changed_at.append(now)
        # Two decode engines of twelve are fewer than the minimum: that is urgent.
        self.assertEqual(changed_at[0], 0.0)
        planner = PhasePlanner(0.65, self.split(EvenCapacity()))
        engines = pool("ddd" + "p" * 11)
        found = [0.25 * s for s in range(80) if planner.plan(engines, s / 4, False)]
        self.assertGreater(found[0], 0.75 * LEARNING_SECONDS)
        self.assertLessEqual(found[0], LEARNING_SECONDS)

    def test_speeds_do_not_matter_before_there_are_callers(self):
        split = self.split(Capacity([SLOW] * 4 + [FAST] * 6))
        planner, plain = PhasePlanner(0.65, split), PhasePlanner(0.65)
        engines = pool("d" * 10)
        for step in range(40):
            now = 0.25 * step
            found = planner.plan(engines, now, True)
            self.assertEqual(found, plain.plan(engines, now, True))

    def test_speeds_that_become_equal_end_the_comparison(self):
        capacity = Capacity([0.7] * 5 + [1.7] * 5)
        split, view = self.split(capacity), PoolView(pool("ddddpppppp"), 4, 2)
        for step in range(200):
            if step == 80:
                capacity.factors = [0.9] * 5 + [1.1] * 5
            found = split.targets(view, 0.25 * step)
            if step == 79:
                self.assertIsNotNone(found)
        self.assertIsNone(found)


class InputTest(unittest.TestCase):
    """What the decision is based on."""

    def test_the_smallest_gap_of_the_routes_of_the_service(self):
        def route(name: str, service: ServiceName, gap: float) -> Route:
            return Route(
                name=RouteName(name),
                host="shop.example",
                prefix=f"/{name}/",
                kind=RouteKind.STREAM,
                timeout_seconds=4.0,
                objective_seconds=0.5,
                rank=1,
                shares=(ServiceShare(service, 1),),
                max_attempts=1,
                event_gap_seconds=gap,
            )

        routes = (
            route("a", SERVICE, 0.3),
            route("b", SERVICE, 0.2),
            route("c", SERVICE, 0.0),
            route("d", OTHER, 0.1),
        )
        table = RouteTable(TableVersion(1), routes, (), CallerLimits())
        self.assertEqual(smallest_event_gap(table, SERVICE), 0.2)
        self.assertEqual(smallest_event_gap(table, ServiceName("none")), 0.0)
        self.assertEqual(smallest_event_gap(None, SERVICE), 0.0)

    def test_streams_of_all_hosts_are_counted(self):
        loads, peers, rep = TargetLoads(), PeerLoads("host-1"), engine(1, "d")
        loads.record_sent(rep.instance, 0, 0)
        entry = LoadEntry(target_hash(rep.instance), 5, (0, 0, 0), 0.0)
        digest = LoadDigest("host-2", 1, (entry,), scope=Scope.HOST)
        peers.receive(digest, 0.0)
        streams = ObservedStreams(loads, peers)
        self.assertEqual(streams.running([rep, engine(2, "d")], 0.1), 6)


if __name__ == "__main__":
    unittest.main()
