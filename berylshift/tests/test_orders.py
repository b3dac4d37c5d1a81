"""Tests of leases and orders under kills, pauses, lost answers and late messages."""

import unittest

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from berylshift.process.control.orders import (
    DEAD_SENDER_WAIT_SECONDS,
    JournalState,
    role_order,
)
from berylshift.targets import Role
from berylshift.tests.order_simulation import MARGIN, TERM, OrderWorld
from berylshift.tests.support import EXPLORE

ROLES = st.sampled_from([None, Role.PREFILL, Role.DECODE, Role.MIXED])
CHANGES = st.sampled_from([Role.PREFILL, Role.DECODE])
PROCESS = st.integers(0, 2)
GENERATE = settings(EXPLORE, phases=[Phase.generate])


class OrdersMachine(RuleBasedStateMachine):
    """Three processes, one engine; any of them may fail at any step."""

    refuses = False
    naive = False

    def __init__(self):
        super().__init__()
        self.world = OrderWorld(self.refuses, self.naive)

    @rule(process=PROCESS, desired=ROLES)
    def tick(self, process, desired):
        self.world.tick(process, desired)

    @rule(process=PROCESS, desired=CHANGES)
    def whole_round(self, process, desired):
        self.world.tick(process, desired)
        self.world.put_on_wire(process)
        self.world.deliver(0, False)

    @rule(process=PROCESS, desired=CHANGES)
    def take_over_and_order(self, process, desired):
        for _ in range(2):
            self.world.tick(process, None)
            self.world.advance(TERM + MARGIN)
        self.world.tick(process, desired)

    @rule(process=PROCESS, desired=CHANGES)
    def order_and_pause(self, process, desired):
        self.take_over_and_order(process, desired)
        self.world.paused.add(self.world.contenders[process].host)

    @rule(process=PROCESS, lose_answer=st.booleans())
    def send_and_deliver(self, process, lose_answer):
        self.world.put_on_wire(process)
        self.world.deliver(0, lose_answer)

    @rule(process=PROCESS)
    def wake_and_send(self, process):
        self.world.paused.discard(self.world.contenders[process].host)
        self.world.put_on_wire(process)

    @rule(place=st.integers(0, 5), lose_answer=st.booleans())
    def deliver_late(self, place, lose_answer):
        self.world.deliver(place, lose_answer)

    @rule(
        seconds=st.sampled_from([0.5, 2.0, TERM + MARGIN, DEAD_SENDER_WAIT_SECONDS + 1])
    )
    def advance(self, seconds):
        self.world.advance(seconds)

    @rule(process=PROCESS)
    def kill(self, process):
        self.world.kill(process)

    @rule(process=PROCESS, desired=ROLES)
    def tick_with_a_lost_answer(self, process, desired):
        self.world.platform.script.lose_answers = 1
        self.world.tick(process, desired)
        self.world.platform.script.lose_answers = 0

    @rule(process=PROCESS, desired=ROLES)
    def tick_with_the_store_down(self, process, desired):
        self.world.platform.script.down = True
        self.world.tick(process, desired)
        self.world.platform.script.down = False

    @rule()
    def engine_crashes(self):
        self.world.crash_engine()
        self.world.restart_engine()

    @invariant()
    def invariants_hold(self):
        self.world.check()


class RefusingMachine(OrdersMachine):
    """An engine that refuses outdated numbers."""

    refuses = True


class NaiveMachine(OrdersMachine):
    """The naive protocol: check the lease, then send."""

    naive = True


class IgnoringEngineTest(OrdersMachine.TestCase):
    """The implemented protocol on an engine that ignores outdated numbers."""

    settings = EXPLORE


class RefusingEngineTest(RefusingMachine.TestCase):
    """The implemented protocol on an engine that refuses outdated numbers."""

    settings = EXPLORE


class PausedSenderTest(unittest.TestCase):
    """A holder is paused between checking its lease and sending an order."""

    def play(self, world: OrderWorld) -> None:
        # The first holder journals "prefill", checks its lease and is paused. Its
        # lease expires; the second process takes over and orders "decode". Then the
        # first one resumes and sends its outdated order.
        world.tick(0, Role.PREFILL)
        world.paused.add("host-1")
        world.rounds(20, 1, Role.DECODE)
        world.paused.discard("host-1")
        world.put_on_wire(0)
        world.deliver(0, False)
        world.check()

    def test_naive_protocol_fails_on_an_engine_that_ignores_old_numbers(self):
        # "prefill" arrives while the engine executes "decode" for the second holder.
        with self.assertRaises(AssertionError) as caught:
            self.play(OrderWorld(refuses=False, naive=True))
        self.assertIn("two conflicting orders at once", str(caught.exception))

    def test_protocol_waits_until_the_copy_is_accounted_for(self):
        world = OrderWorld(refuses=False)
        self.play(world)
        self.assertEqual(
            [order.role for order in world.engine.accepted_orders], ["prefill"]
        )

    def test_next_order_is_sent_once_the_paused_process_has_settled(self):
        world = OrderWorld(refuses=False)
        self.play(world)
        for _ in range(20):
            world.advance(1.0)
            world.tick(0, None)
            world.tick(1, Role.DECODE)
            world.put_on_wire(1)
            world.deliver(0, False)
        self.assertIs(world.engine.role, Role.DECODE)
        self.assertEqual(world.engine.conflicts, 0)

    def test_refusing_engine_needs_no_wait(self):
        # Order numbers fence: the second holder proceeds at once, the old order fails.
        world = OrderWorld(refuses=True)
        self.play(world)
        self.assertIs(world.engine.role, Role.DECODE)

    def test_copy_of_a_killed_sender_is_settled_after_the_wait(self):
        world = OrderWorld(refuses=False)
        world.tick(0, Role.PREFILL)
        world.kill(0)
        world.rounds(40, 1, Role.DECODE)
        self.assertIs(world.engine.role, Role.DECODE)

    def test_naive_protocol_fails_within_the_explored_steps(self):
        with self.assertRaises(AssertionError):
            run_state_machine_as_test(NaiveMachine, settings=GENERATE)


class EngineCrashTest(unittest.TestCase):
    """An engine crashes in the middle of a change."""

    def test_unknown_role_is_ordered_again(self):
        for refuses in (True, False):
            with self.subTest(refuses=refuses):
                world = OrderWorld(refuses=refuses)
                world.tick(0, Role.PREFILL)
                world.put_on_wire(0)
                world.deliver(0, False)
                world.advance(1.0)
                world.crash_engine()
                world.restart_engine()
                self.assertIs(world.engine.role, Role.UNKNOWN)
                world.rounds(30, 0, Role.PREFILL)
                self.assertIs(world.engine.role, Role.PREFILL)


class LeaseTest(unittest.TestCase):
    """Leases that do not rely on synchronized clocks."""

    def test_lease_has_expired_when_a_paused_holder_resumes(self):
        world = OrderWorld(refuses=True)
        world.tick(0, None)
        first = world.contenders[0]
        self.assertIsNotNone(first.lease.holds(world.now))
        world.paused.add("host-1")
        world.advance(TERM - MARGIN)
        self.assertIsNone(first.lease.holds(world.now))

    def test_contender_observes_an_unchanged_row_for_a_full_term(self):
        # The second process starts late and can't know how old the row is, so it
        # must observe the row unchanged itself.
        world = OrderWorld(refuses=True)
        world.tick(0, None)
        world.advance(100.0)
        world.tick(1, None)
        second = world.contenders[1]
        self.assertIsNone(second.lease.holds(world.now))
        world.advance(TERM + MARGIN)
        world.tick(1, None)
        self.assertIsNotNone(second.lease.holds(world.now))

    def test_lost_renewal_counts_from_when_it_was_sent_once_it_is_seen(self):
        world = OrderWorld(refuses=True)
        world.tick(0, None)
        world.advance(4.0)
        world.platform.script.lose_answers = 1
        world.tick(0, None)
        first = world.contenders[0]
        world.advance(2.0)
        self.assertIsNone(first.lease.holds(world.now))
        world.tick(0, None)
        self.assertIsNotNone(first.lease.holds(world.now))

    def test_store_down_means_that_nobody_holds(self):
        world = OrderWorld(refuses=True)
        world.tick(0, None)
        world.platform.script.down = True
        for _ in range(30):
            world.advance(1.0)
            for index in range(3):
                world.tick(index, Role.PREFILL)
        self.assertFalse([p for p in world.contenders if p.lease.holds(world.now)])
        self.assertEqual(world.engine.accepted_orders, [])

    def test_stale_holder_can_not_journal(self):
        world = OrderWorld(refuses=True)
        world.tick(0, None)
        first = world.contenders[0]
        epoch = first.lease.holds(world.now)
        world.advance(TERM + MARGIN + 1)
        world.tick(1, None)
        world.advance(TERM + MARGIN + 1)
        world.tick(1, None)
        stored = world.platform.read(["order/engine-1"])[0]
        view = first._view(stored, world.now)
        row = first.reconciler.next_row(view, role_order(Role.PREFILL), epoch)
        self.assertFalse(first._write_journal(view, stored, row))
        self.assertIsNone(world.platform.read(["order/engine-1"])[0])

    def test_released_lease_is_held_by_nobody_and_free_at_once(self):
        # A stopping process releases its lease and must not act on it any more,
        # since a successor need not wait for the term.
        world = OrderWorld(refuses=False)
        world.tick(0, None)
        first = world.contenders[0]
        first.release(world.now)
        self.assertIsNone(first.lease.holds(world.now))
        world.tick(1, None)
        self.assertIsNotNone(world.contenders[1].lease.holds(world.now))
        world.check()

    def test_release_whose_answer_is_lost_still_ends_the_lease(self):
        world = OrderWorld(refuses=False)
        world.tick(0, None)
        world.platform.script.lose_answers = 1
        world.contenders[0].release(world.now)
        self.assertIsNone(world.contenders[0].lease.holds(world.now))
        world.contenders[0]._read_lease(world.now)
        self.assertIsNone(world.contenders[0].lease.holds(world.now))

    def test_order_is_closed_once_the_engine_reports_it(self):
        world = OrderWorld(refuses=True)
        for _ in range(20):
            world.tick(0, Role.PREFILL if world.engine.role_changes == 0 else None)
            world.put_on_wire(0)
            world.deliver(0, False)
            world.advance(1.0)
        stored = world.platform.read(["order/engine-1"])[0]
        view = world.contenders[0]._view(stored, world.now)
        self.assertIs(view.journal.state, JournalState.IDLE)
        self.assertEqual(world.engine.role_changes, 1)
