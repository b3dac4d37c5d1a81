"""Engines change phase by their speeds, step by step, whatever fails meanwhile."""

import math
import random
import unittest
from collections import Counter

import trio

from berylshift.messages.replicas import EnginePhase
from berylshift.process.directory.expected_phases import ORDER_PENDING_SECONDS
from berylshift.process.leader_tasks.phase_planner import (
    max_changing_engines,
    min_decode_engines,
)
from berylshift.tests.phase_world import (
    DOMAINS,
    FAST,
    SLOW,
    PhaseWorld,
    SimulatedEngine,
    capacity_of,
    mixed_engines,
    run_phases,
)

ENGINES = 45
DECODE_BY_SHARE = 16
# Fast engines with the capacity of 16 engines of all speeds.
FAST_NEEDED = 13
NEEDED_CAPACITY = DECODE_BY_SHARE / ENGINES * (30 / FAST + 15 / SLOW)
SEEDS = range(1, 4)


def slow_of(engines: list[SimulatedEngine]) -> list[SimulatedEngine]:
    """Return the engines that are slower than the mean."""
    return [engine for engine in engines if engine.factor > 1]


def settled_engines(seed: int = 1) -> dict[str, SimulatedEngine]:
    """Return engines of which the needed fast ones decode, spread over the domains."""
    engines = mixed_engines(seed=seed, decode=0)
    by_domain: dict[str, list[SimulatedEngine]] = {}
    for engine in engines.values():
        if engine.factor < 1:
            by_domain.setdefault(engine.domain, []).append(engine)
    for number in range(FAST_NEEDED):
        chosen = by_domain[f"domain-{number % DOMAINS}"].pop()
        chosen.phase = EnginePhase.DECODE
    return engines


def worst_engines(seed: int = 1) -> dict[str, SimulatedEngine]:
    """Return engines of which all slow ones decode, and one fast one."""
    engines = mixed_engines(seed=seed, decode=0)
    fast = [engine for engine in engines.values() if engine.factor < 1]
    for engine in [*slow_of(list(engines.values())), fast[0]]:
        engine.phase = EnginePhase.DECODE
    return engines


class PhaseTestCase(unittest.TestCase):
    def check_split(self, world: PhaseWorld) -> None:
        """Check that fast engines decode, with enough capacity and in all domains."""
        decoding = world.decoding()
        self.assertEqual(slow_of(decoding), [])
        self.assertGreaterEqual(capacity_of(decoding), NEEDED_CAPACITY - 1 / FAST)
        self.assertLessEqual(len(decoding), FAST_NEEDED + 1)
        domains = {engine.domain for engine in world.engines.values()}
        for engines in (decoding, world.in_phase(EnginePhase.PREFILL)):
            self.assertEqual({engine.domain for engine in engines}, domains)

    def check_not_ordered_twice(self, world: PhaseWorld) -> None:
        """Check that no engine is ordered while an earlier order may take effect."""
        last: dict[str, float] = {}
        for order in world.orders:
            at = last.get(order.name, -math.inf)
            self.assertGreaterEqual(order.at - at, ORDER_PENDING_SECONDS, order)
            last[order.name] = order.at


class SwapTest(PhaseTestCase):
    """Streams on engines of 1.7 of the usual time are late: fast ones take over."""

    def test_slow_engines_prefill_after_few_orders(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                engines = mixed_engines(seed=seed)
                decoding = [
                    engine
                    for engine in engines.values()
                    if engine.phase is EnginePhase.DECODE
                ]
                slow, before = len(slow_of(decoding)), capacity_of(decoding)
                world = run_phases(PhaseWorld(engines), 90.0)
                self.check_split(world)
                self.check_not_ordered_twice(world)
                # Each slow engine is ordered once, and one fast one for it at most.
                self.assertLessEqual(len(world.orders), 2 * slow)
                self.assertLess(world.orders[-1].at, 25.0)
                floor = min(before, NEEDED_CAPACITY)
                self.assertGreaterEqual(world.least_decode, floor - 1e-9)

    def test_decode_keeps_its_capacity_when_all_slow_engines_decode(self):
        """Guards against orders that take decode engines before others are up."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                engines = worst_engines(seed)
                before = capacity_of([*engines.values()])
                world = run_phases(PhaseWorld(engines), 120.0)
                self.check_split(world)
                self.check_not_ordered_twice(world)
                self.assertLessEqual(len(world.orders), 15 + FAST_NEEDED)
                self.assertLess(world.orders[-1].at, 45.0)
                self.assertLessEqual(world.most_changing, max_changing_engines(ENGINES))
                start = 15 / SLOW + 1 / FAST
                self.assertGreaterEqual(world.least_decode, start - 1e-9)
                floor = min_decode_engines(ENGINES)
                self.assertGreaterEqual(world.least_decode_engines, floor)
                # No more than a quarter of what prefill has at the end is away.
                at_end = before - capacity_of(world.decoding())
                self.assertGreaterEqual(world.least_prefill, 0.75 * at_end)

    def test_log_tells_why_and_the_factors(self):
        with self.assertLogs("berylshift.process.leader_tasks.phase_loop") as logs:
            run_phases(PhaseWorld(mixed_engines(seed=3)), 30.0)
        plans = [rec for rec in logs.records if rec.getMessage() == "phases planned"]
        self.assertEqual({plan.why for plan in plans}, {"gap"})
        for plan in plans:
            expected = FAST if plan.phase is EnginePhase.DECODE else SLOW
            self.assertEqual(plan.factors, dict.fromkeys(plan.engines, expected))

    def test_small_pools(self):
        """Guards against a pool whose only prefill engine is ordered away."""
        for fast, slow, decode in ((1, 2, 2), (3, 2, 2), (4, 4, 3), (1, 1, 1)):
            for seed in SEEDS:
                with self.subTest(fast=fast, slow=slow, seed=seed):
                    engines = mixed_engines(fast, slow, decode, seed)
                    world = run_phases(
                        PhaseWorld(engines, running=lambda now: 10.0), 60.0
                    )
                    self.assertLessEqual(len(world.orders), 2 * len(engines))
                    self.assertEqual(world.orders_since(45.0), [])
                    self.assertGreater(world.least_prefill, 0)


class StabilityTest(PhaseTestCase):
    """A pool that is divided well stays so, and engines of equal speed as before."""

    def check_no_orders(self, world: PhaseWorld, seconds: float = 120.0, script=None):
        run_phases(world, seconds, script)
        self.assertEqual(world.orders, [])

    def test_noise_and_swings_order_nothing(self):
        for period in (2.8, 14.0):
            with self.subTest(period=period):
                rng = random.Random(int(period))

                def swing(now: float, period=period) -> float:
                    return math.sin(2 * math.pi * now / period)

                self.check_no_orders(
                    PhaseWorld(
                        settled_engines(),
                        noise=lambda rng=rng: rng.uniform(0.85, 1.15),
                        gap_swing=lambda now: 1 + 0.3 * swing(now),
                        running=lambda now: 70 + 60 * swing(now),
                    )
                )

    def test_jumps_of_factors_order_nothing(self):
        """Disturbances of 2.5 times that are taken for the engines' speeds."""

        async def jump(world, nursery, rows):
            rng = random.Random(5)
            while True:
                await trio.sleep(0.1)
                for engine in world.engines.values():
                    disturbed = rng.random() < 0.15
                    engine.shown_factor = 2.5 * engine.factor if disturbed else None

        self.check_no_orders(PhaseWorld(settled_engines()), script=jump)

    def test_a_slow_spell_of_some_seconds_orders_nothing(self):
        async def slow_down(world, nursery, rows):
            engine = world.decoding()[0]
            for _ in range(3):
                await trio.sleep(15.0)
                engine.factor *= 4
                await trio.sleep(3.0)
                engine.factor /= 4

        self.check_no_orders(PhaseWorld(settled_engines()), script=slow_down)

    def test_a_slow_spell_of_many_engines_orders_nothing(self):
        """Guards against capacity that is missing only while a disturbance lasts."""

        async def slow_down(world, nursery, rows):
            for _ in range(3):
                await trio.sleep(15.0)
                for engine in world.decoding():
                    engine.shown_factor = 2.5 * engine.factor
                await trio.sleep(3.8)
                for engine in world.decoding():
                    engine.shown_factor = None

        self.check_no_orders(PhaseWorld(settled_engines()), script=slow_down)

    def test_load_of_many_streams_adds_engines_and_keeps_them(self):
        """Guards against engines that follow a swing of demand to and fro."""
        for period in (2.8, 14.0):
            with self.subTest(period=period):

                def running(now: float, period=period) -> float:
                    return 650 + 600 * math.sin(2 * math.pi * now / period)

                world = PhaseWorld(settled_engines(), running=running)
                run_phases(world, 150.0)
                self.assertEqual(world.orders_to(EnginePhase.PREFILL), [])
                self.assertEqual(world.orders_since(60.0), [])
                # 650 streams take half of the slots of 20.3 engines.
                self.assertAlmostEqual(len(world.decoding()), 21, delta=1)

    def test_partitioned_host_takes_no_engines_that_others_streams_need(self):
        """Guards against orders by the load of the host that holds the lease alone."""

        async def partition(world, nursery, rows):
            await trio.sleep(60.0)
            world.hosts[0].partitioned_since = trio.current_time()

        world = PhaseWorld(settled_engines(), running=lambda now: 650.0)
        run_phases(world, 200.0, partition)
        self.assertEqual(world.orders_since(60.0), [])
        self.assertAlmostEqual(len(world.decoding()), 21, delta=1)

    def test_host_that_is_left_alone_still_orders_by_capacity(self):
        """Guards against a pool that nobody divides once most hosts are gone."""

        async def kill(world, nursery, rows):
            for _ in range(2):
                world.kill_host(world.hosts[0].name)

        world = run_phases(PhaseWorld(mixed_engines(seed=3)), 90.0, kill)
        self.check_split(world)

    def test_slow_engines_that_keep_the_gap_stay(self):
        """Guards against orders that no caller gains from."""
        for limit in (2.0, 0.0):
            with self.subTest(limit=limit):
                engines = mixed_engines(seed=3)
                self.check_no_orders(PhaseWorld(engines, gap_limit=limit))

    def orders(self, factors: tuple[float, float], decode: int, **changes) -> list:
        engines = mixed_engines(decode=decode, factors=factors)
        world = run_phases(PhaseWorld(engines, **changes), 60.0)
        return [(round(order.at, 1), order.name, order.phase) for order in world.orders]

    def test_equal_speeds_order_as_today(self):
        """Guards against changed plans where engines are equally fast."""
        for decode in (4, 12, 15, 17, 18, 30):
            plain = self.orders((1.0, 1.0), decode, uses_speeds=False)
            for factors in ((1.0, 1.0), (0.99, 0.99), (0.9, 1.2)):
                with self.subTest(decode=decode, factors=factors):
                    expected = plain
                    found = self.orders(factors, decode, known_at=0.0)
                    if decode < DECODE_BY_SHARE:
                        # Put off until the speeds could be known.
                        expected = [order[1:] for order in expected]
                        found = [order[1:] for order in found]
                    self.assertEqual(sorted(found), sorted(expected))

    def test_nothing_changes_where_the_feature_is_not_used(self):
        for decode in (4, 16, 30):
            with self.subTest(decode=decode):
                expected = self.orders((1.0, 1.0), decode, uses_speeds=False)
                found = self.orders((FAST, SLOW), decode, uses_speeds=False)
                self.assertEqual(found, expected)


class FailureTest(PhaseTestCase):
    """Engines, hosts and answers are lost while engines change phase or before."""

    def test_a_lost_engine_comes_back_without_an_order(self):
        """Guards against orders for a loss that lasts only seconds."""
        for new_instance in (False, True):
            for phase in (EnginePhase.PREFILL, EnginePhase.DECODE):
                with self.subTest(new_instance=new_instance, phase=phase):

                    async def lose(world, nursery, rows, new=new_instance, of=phase):
                        await trio.sleep(15.0)
                        engine = world.in_phase(of)[0]
                        engine.alive = False
                        await trio.sleep(6.0)
                        engine.started_ms += new
                        engine.alive = True

                    world = run_phases(PhaseWorld(settled_engines()), 60.0, lose)
                    self.assertEqual(world.orders, [])

    def test_an_engine_that_restarts_in_a_swap_gets_no_order_for_its_former_self(self):
        async def restart(world, nursery, rows):
            while not world.orders:
                await trio.sleep(0.1)
            engine = world.engines[world.orders[0].name]
            engine.started_ms += 1
            engine.ready_at = trio.current_time() + 5.0
            engine.orders = 0

        for seed in SEEDS:
            with self.subTest(seed=seed):
                world = run_phases(PhaseWorld(worst_engines(seed)), 120.0, restart)
                self.check_split(world)
                self.assertGreaterEqual(world.least_decode, 15 / SLOW)

    def test_loss_of_a_domain(self):
        """The other domains go on; nothing goes to and fro when it comes back."""
        for new_instance in (False, True):
            for seed in SEEDS:
                with self.subTest(new_instance=new_instance, seed=seed):

                    async def lose(world, nursery, rows, new=new_instance):
                        await trio.sleep(15.0)
                        lost = [
                            engine
                            for engine in world.engines.values()
                            if engine.domain == "domain-0"
                        ]
                        for engine in lost:
                            engine.alive = False
                        await trio.sleep(20.0)
                        self.assertEqual(slow_of(world.decoding()), [])
                        for engine in lost:
                            engine.started_ms += new
                            engine.alive = True

                    world = run_phases(PhaseWorld(settled_engines(seed)), 90.0, lose)
                    self.check_split(world)
                    # A lost quarter of the decode engines is 3 or 4 of 13.
                    self.assertLessEqual(len(world.orders), 4)
                    self.assertGreaterEqual(
                        world.least_decode_engines, min_decode_engines(34)
                    )

    def test_unanswered_orders_are_not_sent_again(self):
        """Guards against a second order while the first may still take effect."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                world = PhaseWorld(mixed_engines(seed=seed))
                for engine in world.engines.values():
                    engine.lose_answers = 1
                run_phases(world, 90.0)
                self.check_split(world)
                self.check_not_ordered_twice(world)
                most = Counter(order.name for order in world.orders).most_common(1)
                self.assertEqual(most[0][1], 1)

    def test_lost_orders_cost_no_decode_capacity(self):
        """Guards against slow engines that leave for fast ones that never came."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                world = PhaseWorld(mixed_engines(seed=seed))
                before = capacity_of(world.decoding())
                for engine in world.engines.values():
                    engine.lose_orders = 1
                run_phases(world, 120.0)
                self.check_split(world)
                self.check_not_ordered_twice(world)
                floor = min(before, NEEDED_CAPACITY)
                self.assertGreaterEqual(world.least_decode, floor - 1e-9)

    def test_silent_engines_are_passed_over(self):
        """Guards against swaps that wait for an engine that does not answer."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                world = PhaseWorld(mixed_engines(seed=seed))
                silent = set(list(world.engines)[::3])
                for name in silent:
                    world.engines[name].silent = True
                run_phases(world, 90.0)
                left = slow_of(world.decoding())
                self.assertLessEqual({engine.name for engine in left}, silent)

    def test_a_new_leader_goes_on_in_the_middle_of_a_swap(self):
        """The leader ends before, while or after its orders reach the engines."""
        for delay in (0.0, 0.001, 0.003, 0.5, 3.5, 8.0):
            with self.subTest(delay=delay):

                async def kill(world, nursery, rows, delay=delay):
                    while "phases" not in rows._rows:
                        await trio.sleep(0.001)
                    await trio.sleep(delay)
                    world.kill_host(rows._rows["phases"][0].holder)

                world = run_phases(PhaseWorld(worst_engines()), 120.0, kill)
                self.check_split(world)
                self.check_not_ordered_twice(world)
                self.assertLessEqual(len(world.orders), 15 + FAST_NEEDED)

    def test_the_store_is_down_in_the_middle_of_a_swap(self):
        async def fail(world, nursery, rows):
            while not world.orders:
                await trio.sleep(0.1)
            rows.down = True
            sent = len(world.orders)
            await trio.sleep(20.0)
            self.assertEqual(len(world.orders), sent)
            rows.down = False

        world = run_phases(PhaseWorld(worst_engines()), 120.0, fail)
        self.check_split(world)
        self.check_not_ordered_twice(world)

    def test_a_host_that_is_cut_off_in_a_swap_orders_no_engine_twice(self):
        """A host without digests and entries sees the engines in their old phases."""

        async def cut(world, nursery, rows):
            while not world.orders:
                await trio.sleep(0.01)
            for host in world.hosts[1:]:
                host.cut_off = True
            await trio.sleep(30.0)
            for host in world.hosts:
                host.cut_off = False

        world = run_phases(PhaseWorld(worst_engines()), 150.0, cut)
        self.check_split(world)
        last: dict[str, EnginePhase] = {}
        for order in world.orders:
            self.assertIsNot(last.get(order.name), order.phase)
            last[order.name] = order.phase

    def test_new_hosts_order_nothing(self):
        """Hosts that have just started don't know yet why few engines decode."""

        async def replace(world, nursery, rows):
            await trio.sleep(20.0)
            for host in list(world.hosts):
                world.kill_host(host.name)
            world.known_at = trio.current_time() + 3.0
            for number in range(3):
                world.add_host(f"new-{number}", nursery, rows)

        world = run_phases(PhaseWorld(settled_engines()), 90.0, replace)
        self.assertEqual(world.orders, [])


if __name__ == "__main__":
    unittest.main()
