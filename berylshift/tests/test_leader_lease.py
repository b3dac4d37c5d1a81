"""The right to order engines: never two holders' orders close to each other."""

import random
import unittest

import trio
from hypothesis import given
from hypothesis import strategies as st

from berylshift.ids import StoreEra
from berylshift.process.directory.store_era_tracker import EraSource, StoreEraTracker
from berylshift.process.leader_tasks.leader_lease import (
    MARGIN_SECONDS,
    USE_SECONDS,
    DutyLease,
    Grant,
    Refused,
)
from berylshift.stand_ins.fake_directory import FakeLeaseRows
from berylshift.store.interfaces import PlatformError
from berylshift.tests.support import EXPLORE

APART = 3.0
KINDS = ["acquire", "order", "wait", "sleep", "down", "lose", "restore", "hear"]


class Holders:
    """Some processes that want the lease, on one clock that is set by hand."""

    def __init__(self, count: int = 2):
        self.time = 100.0
        self.rows = FakeLeaseRows(lambda: self.time)
        self.eras = [StoreEraTracker(lambda: self.time) for _ in range(count)]
        self.leases = [
            DutyLease(
                self.rows,
                "pool",
                f"h{n}",
                APART,
                random.Random(n),
                lambda: self.time,
                self.eras[n],
            )
            for n in range(count)
        ]
        self.orders: list[tuple[float, int, int]] = []

    def acquire(self, number: int) -> Grant | Refused | None:
        """Try to take the lease; ``None`` where the store fails."""
        try:
            return trio.run(self.leases[number].acquire)
        except PlatformError:
            return None

    def order(self, number: int) -> None:
        """Order, if the lease is held at this moment."""
        grant = self.leases[number].held()
        if grant is not None:
            self.orders.append((self.time, number, grant.fence))


class OrderLeaseTest(unittest.TestCase):
    """One holder at a time, fences that rise."""

    def test_the_second_is_refused_until_the_first_is_long_over(self):
        world = Holders()
        self.assertIsInstance(world.acquire(0), Grant)
        refused = world.acquire(1)
        self.assertIsInstance(refused, Refused)
        self.assertAlmostEqual(refused.seconds, USE_SECONDS + APART + MARGIN_SECONDS)
        world.time += refused.seconds + 0.01
        self.assertIsInstance(world.acquire(1), Grant)

    def test_a_holder_that_slept_does_not_order(self):
        """A holder takes the lease, is frozen for seconds, and wakes.

        Its own timers did not count the freeze; another host holds the lease by now.
        The clock that runs on while a host stands still says that the lease is over.
        """
        world = Holders()
        world.acquire(0)
        world.time += USE_SECONDS + 5
        world.order(0)
        self.assertEqual(world.orders, [])

    def test_two_that_read_the_same_row_do_not_both_take_it(self):
        """A second process takes the lease between the first one's read and write."""
        world = Holders()
        world.rows.after_read = world.leases[1].acquire
        self.assertIsInstance(world.acquire(0), Refused)
        world.order(0)
        world.order(1)
        self.assertEqual([number for _, number, _ in world.orders], [1])

    def test_lost_answer_gives_no_right(self):
        world = Holders()
        world.rows.lose_answers = 1
        self.assertIsNone(world.acquire(0))
        world.order(0)
        self.assertEqual(world.orders, [])
        self.assertIsInstance(world.acquire(1), Refused)

    def test_write_that_applies_late_takes_nothing_from_the_next_holder(self):
        """A write gets no answer and would be applied seconds later.

        Meanwhile another host takes the lease. The late write's condition no longer
        holds, so the row still names the second host.
        """
        world = Holders()
        world.rows.lose_answers, world.rows.late_seconds = 1, 3.0
        self.assertIsNone(world.acquire(0))
        first = world.acquire(1)
        world.time += 4
        self.assertIsInstance(world.acquire(0), Refused)
        self.assertGreater(first.fence, 0)

    def test_a_store_that_lost_the_row_grants_nothing_for_a_while(self):
        """The store comes back from a copy that is older than the holder's row.

        The holder does not know that yet and orders on; the row looks free to all.
        """
        world = Holders()
        world.time += 20
        self.assertIsInstance(world.acquire(0), Grant)
        world.time += 0.5
        world.rows.restore(10)
        world.order(0)
        self.assertIsInstance(world.acquire(1), Refused)
        world.time += USE_SECONDS + APART + MARGIN_SECONDS
        self.assertIsInstance(world.acquire(1), Grant)

    def test_a_host_that_starts_in_the_new_era_waits_too(self):
        world = Holders()
        world.acquire(0)
        world.rows.restore(10)
        self.assertIsInstance(world.acquire(1), Refused)

    def test_a_holder_that_learns_of_the_new_era_stops(self):
        world = Holders()
        world.acquire(0)
        world.eras[0].observe(StoreEra(1), EraSource.ANOTHER_HOST)
        world.order(0)
        self.assertEqual(world.orders, [])

    def test_a_condition_that_holds_again_by_chance_grants_nothing(self):
        """The store comes back older between a holder's read and its write.

        The revision that it has read was given out again, to another row.
        """
        world = Holders()
        world.time += 20

        async def come_back():
            world.rows.restore(60)

        world.rows.after_read = come_back
        self.assertIsInstance(world.acquire(0), Refused)
        world.order(0)
        self.assertEqual(world.orders, [])

    def test_fences_rise_over_eras(self):
        world = Holders()
        first = world.acquire(0)
        world.time += 20
        world.rows.restore(60)
        world.acquire(1)
        world.time += 20
        second = world.acquire(1)
        self.assertGreater(second.fence, first.fence)
        self.assertLess(second.fence, 2**53)

    @EXPLORE
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(KINDS),
                st.integers(0, 2),
                st.floats(0.1, 9.0),
            ),
            max_size=40,
        )
    )
    def test_no_two_holders_orders_are_close(self, steps):
        world = Holders(3)
        for what, number, seconds in steps:
            if what == "acquire":
                world.acquire(number)
            elif what == "order":
                world.order(number)
            elif what == "lose":
                world.rows.lose_answers = 1
                world.rows.late_seconds = seconds if number else None
            elif what == "restore":
                world.rows.restore(seconds)
            elif what == "hear":
                world.eras[number].observe(world.rows.era, EraSource.ANOTHER_HOST)
            elif what == "down":
                world.rows.down = not world.rows.down
            else:
                world.time += seconds
        for before, after in zip(world.orders, world.orders[1:], strict=False):
            if before[1] != after[1]:
                self.assertGreaterEqual(after[0] - before[0], APART)
                self.assertGreater(after[2], before[2])
            else:
                self.assertGreaterEqual(after[2], before[2])
