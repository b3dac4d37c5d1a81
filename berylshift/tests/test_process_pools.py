"""Tests of plans, moves and role planning, as units and through whole hosts."""

import unittest

import trio

from berylshift.ids import Epoch, Incarnation, OrderNumber
from berylshift.process.control.orders import (
    InFlightOrders,
    OrderReconciler,
    role_order,
)
from berylshift.process.control.plans import Move, PlanRow, Plans, is_idle_since
from berylshift.process.control.pool_reconciler import (
    MAX_MOVE_SECONDS,
    EngineSnapshot,
    ObservationTimes,
    PoolReconciler,
)
from berylshift.process.control.roles import (
    MIN_CONSECUTIVE_DECISIONS,
    EngineState,
    FixedRoles,
    HysteresisRoles,
    Loads,
    PoolState,
    RoleChange,
    ThresholdRoles,
    utilization,
)
from berylshift.process.membership.digest import Mix
from berylshift.settings import HostSettings, PolicySettings, Settings
from berylshift.targets import LoadReport, Role
from berylshift.tests.support import engine_row
from berylshift.tests.world import (
    complete,
    expected_text,
    model_call,
    run_world,
    small_rows,
)
from berylshift.version.rows import RowState

ME = Incarnation("host-1/1/1")
EPOCH = Epoch(3)
NO_DEMAND = Mix("match-note", 0.0, 0.0)
CFG = Settings(host=HostSettings(name="host-1", domain="domain-1"))


def report(role=Role.MIXED, running=0, changing=False, order=0) -> LoadReport:
    """Return an engine's report."""
    return LoadReport(
        Incarnation("e/1"),
        0.0,
        role,
        running=running,
        changing=changing,
        order=OrderNumber(order),
    )


def snapshot(
    name="engine-1", found=None, taken=100.0, journal=None, **row
) -> EngineSnapshot:
    """Return an engine's rows and report as read by the lease holder."""
    return EngineSnapshot(
        engine_row(name, **row), journal, 0, 0.0, found or report(), taken
    )


class OneChangePlanner:
    """Returns one change, once."""

    def __init__(self, change=None):
        self.change = change

    def decide(self, state, now):
        change, self.change = self.change, None
        return change


class PoolReconcilerTest(unittest.TestCase):
    """The lease holder's next steps."""

    def setUp(self):
        self.observed = ObservationTimes()

    def reconciler(self, change=None) -> PoolReconciler:
        orders = OrderReconciler(ME, InFlightOrders(), lambda incarnation: False)
        return PoolReconciler(CFG, orders, OneChangePlanner(change))

    def decide(self, reconciler, plan, snapshots, now):
        self.observed.observe_plan(
            plan, now if plan.version != self.observed.plan_version else 0
        )
        return reconciler.decide(plan, self.observed, snapshots, NO_DEMAND, EPOCH, now)

    def test_change_begins_with_a_plan_and_no_order(self):
        change = RoleChange("engine-1", Role.PREFILL, "test")
        steps = self.decide(self.reconciler(change), PlanRow(0, []), [snapshot()], 10.0)
        self.assertEqual([step.plan.version for step in steps], [1])
        self.assertIsNone(steps[0].journal)

    def test_no_order_before_the_freshness_limit_is_over(self):
        # A host may still send work by the older plan; an order would interrupt it.
        plan = PlanRow(1, [Move("engine-1", role_order(Role.PREFILL))])
        reconciler = self.reconciler()
        self.assertEqual(self.decide(reconciler, plan, [snapshot(taken=9.9)], 10.0), [])
        early = 10.0 + CFG.table.freshness_limit
        self.assertEqual(
            self.decide(reconciler, plan, [snapshot(taken=early)], early), []
        )
        steps = self.decide(
            reconciler, plan, [snapshot(taken=early + 0.1)], early + 0.2
        )
        self.assertEqual(steps[0].journal.order.number, 1)
        self.assertTrue(steps[0].send)

    def test_no_order_while_the_engine_has_work(self):
        plan = PlanRow(1, [Move("engine-1", role_order(Role.PREFILL))])
        busy = snapshot(found=report(running=1), taken=50.0)
        self.decide(self.reconciler(), plan, [snapshot(taken=0.0)], 10.0)
        self.assertEqual(self.decide(self.reconciler(), plan, [busy], 50.0), [])

    def test_move_is_abandoned_if_its_engine_never_becomes_idle(self):
        plan = PlanRow(1, [Move("engine-1", role_order(Role.PREFILL))])
        busy = snapshot(found=report(running=1), taken=50.0)
        self.decide(self.reconciler(), plan, [busy], 10.0)
        steps = self.decide(self.reconciler(), plan, [busy], 11.0 + MAX_MOVE_SECONDS)
        self.assertEqual(steps[0].plan.moves, [])

    def test_finished_move_leaves_the_plan(self):
        plan = PlanRow(1, [Move("engine-1", role_order(Role.PREFILL))])
        done = snapshot(found=report(Role.PREFILL))
        steps = self.decide(self.reconciler(), plan, [done], 10.0)
        self.assertEqual(steps[0].plan.moves, [])

    def test_withdrawn_engine_leaves_the_plan(self):
        plan = PlanRow(1, [Move("engine-1", role_order(Role.PREFILL))])
        gone = snapshot(state=RowState.WITHDRAWN)
        steps = self.decide(self.reconciler(), plan, [gone], 10.0)
        self.assertEqual(steps[0].reason, "engine is withdrawn")

    def test_engine_in_an_unknown_role_gets_one(self):
        roleless = snapshot(found=report(Role.UNKNOWN))
        steps = self.decide(self.reconciler(), PlanRow(0, []), [roleless], 10.0)
        self.assertIs(steps[0].plan.moves[0].aim.role, Role.MIXED)

    def test_idle_report_must_be_newer_than_the_given_time(self):
        self.assertFalse(is_idle_since(report(), 10.0, 10.0))
        self.assertTrue(is_idle_since(report(), 10.1, 10.0))
        self.assertFalse(is_idle_since(None, 10.1, 10.0))


class PlansTest(unittest.TestCase):
    """Versions of plans in force."""

    def test_versions_never_decrease(self):
        plans = Plans()
        plans.apply_if_newer(
            "p", PlanRow(2, [Move("engine-1", role_order(Role.MIXED))]), 1.0
        )
        plans.apply_if_newer("p", PlanRow(1, []), 2.0)
        self.assertTrue(plans.is_moving("engine-1"))
        self.assertEqual(plans.total, 2)


def state(
    prefill=0.0,
    decode=0.0,
    roles=(Role.MIXED,) * 10,
    seconds_since_change=1e6,
    moving=0,
):
    """Return a pool under a demand, in engines."""
    policy = PolicySettings()
    engines = tuple(
        EngineState(f"engine-{i}", role, seconds_since_change, True)
        for i, role in enumerate(roles)
    )
    step = policy.step_base + policy.step_per_stream * 64
    return PoolState(engines, prefill * 8000, decode * 64 / step, moving)


class HysteresisTest(unittest.TestCase):
    """A role changes only if the gain exceeds the cost, and rarely."""

    def setUp(self):
        self.planner = HysteresisRoles(PolicySettings())

    def decide(self, found: PoolState, start=0.0, times=10):
        changes = [self.planner.decide(found, start + 5.0 * i) for i in range(times)]
        return [change for change in changes if change is not None]

    def test_mixed_engines_absorb_a_swing(self):
        self.assertEqual(self.decide(state(prefill=6, decode=2)), [])
        self.assertEqual(self.decide(state(prefill=2, decode=6), 50.0), [])

    def test_specialized_engines_of_the_wrong_kind_become_mixed(self):
        roles = (Role.DECODE,) * 8 + (Role.MIXED,) * 2
        changes = self.decide(state(prefill=6, decode=1, roles=roles))
        self.assertTrue(changes)
        self.assertEqual({change.role for change in changes}, {Role.MIXED})

    def test_a_change_must_pay_in_consecutive_decisions(self):
        roles = (Role.DECODE,) * 8 + (Role.MIXED,) * 2
        found = state(prefill=6, decode=1, roles=roles)
        self.assertEqual(self.decide(found, times=MIN_CONSECUTIVE_DECISIONS - 1), [])

    def test_short_swing_does_not_pay_by_the_slow_average(self):
        roles = (Role.DECODE,) * 5 + (Role.PREFILL,) * 5
        self.decide(state(prefill=3, decode=3, roles=roles), times=60)
        swing = state(prefill=7, decode=1, roles=roles)
        self.assertEqual(self.decide(swing, 300.0, times=6), [])

    def test_engine_keeps_its_role_for_the_dwell_time(self):
        roles = (Role.DECODE,) * 8 + (Role.MIXED,) * 2
        found = state(prefill=6, decode=1, roles=roles, seconds_since_change=10.0)
        self.assertEqual(self.decide(found), [])

    def test_high_price_forbids_a_small_gain(self):
        roles = (Role.DECODE,) * 8 + (Role.MIXED,) * 2
        self.planner = HysteresisRoles(PolicySettings(churn_price=1000.0))
        self.assertEqual(self.decide(state(prefill=6, decode=1, roles=roles)), [])

    def test_number_of_moving_engines_is_bounded(self):
        roles = (Role.DECODE,) * 8 + (Role.MIXED,) * 2
        found = state(prefill=6, decode=1, roles=roles, moving=2)
        self.assertEqual(self.decide(found), [])

    def test_utilization_of_roles(self):
        mixed = {Role.MIXED: 4, Role.PREFILL: 0, Role.DECODE: 0}
        split = {Role.MIXED: 0, Role.PREFILL: 2, Role.DECODE: 2}
        self.assertAlmostEqual(utilization(Loads(1, 1), mixed), 0.5, 3)
        self.assertAlmostEqual(utilization(Loads(1, 1), split), 0.5, 3)
        self.assertAlmostEqual(utilization(Loads(2, 0), split), 1.0, 3)


class BaselinesTest(unittest.TestCase):
    """The baseline planners."""

    def test_threshold_follows_the_mix_at_once(self):
        planner = ThresholdRoles(PolicySettings())
        change = planner.decide(state(prefill=6, decode=2), 0.0)
        self.assertIs(change.role, Role.PREFILL)

    def test_fixed_never_changes(self):
        self.assertIsNone(FixedRoles().decide(state(prefill=6, decode=2), 0.0))


class WholePathTest(unittest.TestCase):
    """Role changes in whole hosts interrupt no response."""

    def test_change_waits_for_responses_in_progress(self):
        # Engines are generating responses when the planner changes the role of one.
        # The order is sent only once that engine is idle, so no response is cut.
        async def task(world):
            found = []

            async def ask(number):
                await trio.sleep(number * 0.2)
                call = model_call(number, output=150)
                host = world.hosts[f"host-{number % 2 + 1}"]
                _, text = await complete(host, call)
                found.append(text == expected_text(call))

            async with trio.open_nursery() as nursery:
                for number in range(120):
                    nursery.start_soon(ask, number)
                await trio.sleep(12)
                for host in world.hosts.values():
                    for pool in host.app.pool_loop._pools.values():
                        pool.reconciler.planner = OneChangePlanner(
                            RoleChange("engine-1", Role.PREFILL, "test")
                        )
                await trio.sleep(60)
            return found, world.engines

        found, engines = run_world(task, small_rows(engines=3))
        self.assertEqual(found, [True] * 120)
        self.assertGreaterEqual(engines["engine-1"].role_changes, 1)
        self.assertEqual(sum(engine.cut_by_change for engine in engines.values()), 0)
        self.assertEqual(sum(engine.conflicts for engine in engines.values()), 0)

    def test_prefill_and_decode_engines_serve_together(self):
        async def task(world):
            world.engines["engine-1"].role = Role.PREFILL
            world.engines["engine-2"].role = Role.DECODE
            await trio.sleep(3)
            found = []
            for number in range(5):
                call = model_call(number, prompt=2000)
                _, text = await complete(world.hosts["host-1"], call)
                found.append(text == expected_text(call))
            made = world.engines["engine-2"].tokens_made
            return found, made, world.engines["engine-1"].tokens_prefilled

        found, made, prefilled = run_world(task)
        self.assertEqual(found, [True] * 5)
        self.assertGreaterEqual(made, 495)
        self.assertGreater(prefilled, 2000)

    def test_successor_finishes_a_change_whose_holder_was_killed(self):
        # The holder sends an order and is killed. Its successor acquires the lease,
        # finds the order in the journal and completes the move.
        async def task(world):
            await trio.sleep(15)
            holder = next(
                host for host in world.hosts.values() if host.app.pool_loop.held_pools()
            )
            for pool in holder.app.pool_loop._pools.values():
                pool.reconciler.planner = OneChangePlanner(
                    RoleChange("engine-1", Role.PREFILL, "test")
                )
            while not world.engines["engine-1"].accepted_orders:
                await trio.sleep(0.1)
            holder.kill()
            await trio.sleep(60)
            rest = [host for host in world.hosts.values() if host.app is not None]
            plans = [
                plan.moves for host in rest for plan in host.app.plans.rows.values()
            ]
            return world.engines["engine-1"], plans

        engine, plans = run_world(task, small_rows(engines=3), hosts=3)
        self.assertIs(engine.role, Role.PREFILL)
        self.assertEqual(plans, [[], []])
        self.assertEqual(engine.conflicts, 0)
