"""The leader lease: orders of two holders are never close to each other."""

import random
import unittest

import trio
from hypothesis import given
from hypothesis import strategies as st

from berylshift.ids import StoreEra
from berylshift.process.directory.store_era_tracker import EraSource, StoreEraTracker
from berylshift.process.leader_tasks.leader_lease import (
    CLOCK_MARGIN_SECONDS,
    USABLE_SECONDS,
    Grant,
    LeaderLease,
    Refused,
)
from berylshift.stand_ins.fake_directory import FakeLeaseRows
from berylshift.store.interfaces import PlatformError
from berylshift.store.lease_rows import LeaseRecord
from berylshift.tests.support import EXPLORE

HOLDER_GAP_SECONDS = 3.0
FOREIGN = LeaseRecord("another", "g", 2**63 - 1)
STEPS = [
    *("acquire", "order", "wait", "sleep", "down", "lose", "restore", "hear"),
    "overwrite",
]


class Holders:
    """Processes that compete for the lease, on one clock that the test sets."""

    def __init__(self, count: int = 2):
        self.time = 100.0
        self.rows = FakeLeaseRows(lambda: self.time)
        self.eras = [StoreEraTracker(lambda: self.time) for _ in range(count)]
        self.leases = [
            LeaderLease(
                self.rows,
                "pool",
                f"h{n}",
                HOLDER_GAP_SECONDS,
                random.Random(n),
                lambda: self.time,
                self.eras[n],
            )
            for n in range(count)
        ]
        self.orders: list[tuple[float, int, int]] = []

    @property
    def exclusive_seconds(self) -> float:
        """Return for how long a row excludes other holders."""
        return USABLE_SECONDS + HOLDER_GAP_SECONDS + CLOCK_MARGIN_SECONDS

    def acquire(self, number: int) -> Grant | Refused | None:
        """Try to acquire the lease; ``None`` if the store fails."""
        try:
            return trio.run(self.leases[number].acquire)
        except PlatformError:
            return None

    def order(self, number: int) -> None:
        """Send an order if the lease is currently held."""
        grant = self.leases[number].held()
        if grant is not None:
            self.orders.append((self.time, number, grant.fence))

    def apply(self, what: str, number: int, seconds: float) -> None:
        """Execute one of ``STEPS``."""
        if what == "acquire":
            self.acquire(number)
        elif what == "order":
            self.order(number)
        elif what == "lose":
            self.rows.lose_answers = 1
            self.rows.delayed_write_seconds = seconds if number else None
        elif what == "restore":
            self.rows.restore(seconds)
        elif what == "hear":
            self.eras[number].observe(self.rows.era, EraSource.ANOTHER_HOST)
        elif what == "overwrite":
            self.rows.overwrite("pool", FOREIGN if number else None)
        elif what == "down":
            self.rows.down = not self.rows.down
        else:
            self.time += seconds


class LeaderLeaseTest(unittest.TestCase):
    """One holder at a time, and increasing fencing tokens."""

    def test_another_host_is_refused_until_the_lease_has_expired(self):
        world = Holders()
        self.assertIsInstance(world.acquire(0), Grant)
        refused = world.acquire(1)
        self.assertIsInstance(refused, Refused)
        self.assertAlmostEqual(
            refused.seconds, USABLE_SECONDS + HOLDER_GAP_SECONDS + CLOCK_MARGIN_SECONDS
        )
        world.time += refused.seconds + 0.01
        self.assertIsInstance(world.acquire(1), Grant)

    def test_a_holder_that_was_suspended_does_not_order(self):
        """A holder acquires the lease, is suspended for seconds, and resumes.

        Its own timers did not count the suspend; another host may hold the lease now.
        The clock that runs during a suspend shows that the lease has expired.
        """
        world = Holders()
        world.acquire(0)
        world.time += USABLE_SECONDS + 5
        world.order(0)
        self.assertEqual(world.orders, [])

    def test_two_processes_that_read_the_same_row_do_not_both_acquire_it(self):
        """Another process acquires the lease between a process's read and write."""
        world = Holders()
        world.rows.after_read = world.leases[1].acquire
        self.assertIsInstance(world.acquire(0), Refused)
        world.order(0)
        world.order(1)
        self.assertEqual([number for _, number, _ in world.orders], [1])

    def test_unreadable_row_is_replaced_once_no_lease_can_be_held(self):
        """Guards against a task that stops for good, and against two holders."""
        world = Holders()
        self.assertIsInstance(world.acquire(0), Grant)
        world.rows.overwrite("pool")
        refused = world.acquire(1)
        self.assertIsInstance(refused, Refused)
        world.time += refused.seconds - 0.01
        self.assertIsInstance(world.acquire(1), Refused)
        world.time += 0.02
        self.assertIsInstance(world.acquire(1), Grant)

    def test_row_that_excludes_others_for_years_is_replaced(self):
        """Guards against a task that stops for good, even if the row is removed."""
        world = Holders()
        world.rows.overwrite("pool", FOREIGN)
        refused = world.acquire(0)
        self.assertIsInstance(refused, Refused)
        self.assertLessEqual(refused.seconds, world.exclusive_seconds)
        world.time += refused.seconds - 0.01
        self.assertIsInstance(world.acquire(0), Refused)
        world.time += 0.02
        self.assertIsInstance(world.acquire(0), Grant)

    def test_row_of_another_writer_that_a_restored_store_has_again(self):
        """Guards against two holders: one was granted the lease before the restore."""
        world = Holders()
        world.time += 20
        world.rows.overwrite("pool", FOREIGN)
        self.assertIsInstance(world.acquire(0), Refused)
        self.assertIsInstance(world.acquire(1), Refused)
        world.time += world.exclusive_seconds + 0.01
        self.assertIsInstance(world.acquire(1), Grant)
        world.time += 0.5
        world.rows.restore(1.0)
        self.assertIsInstance(world.acquire(0), Refused)

    def test_lost_answer_grants_nothing(self):
        world = Holders()
        world.rows.lose_answers = 1
        self.assertIsNone(world.acquire(0))
        world.order(0)
        self.assertEqual(world.orders, [])
        self.assertIsInstance(world.acquire(1), Refused)

    def test_late_write_does_not_displace_the_next_holder(self):
        """A write gets no answer and would be applied seconds later.

        Meanwhile another host acquires the lease. The condition of the late write then
        fails, so the row still names the second host.
        """
        world = Holders()
        world.rows.lose_answers, world.rows.delayed_write_seconds = 1, 3.0
        self.assertIsNone(world.acquire(0))
        first = world.acquire(1)
        world.time += 4
        self.assertIsInstance(world.acquire(0), Refused)
        self.assertGreater(first.fence, 0)

    def test_a_store_that_lost_the_row_grants_nothing_for_a_while(self):
        """The store is restored from a copy that is older than the holder's row.

        The holder does not know that yet and keeps ordering; the row looks free to all.
        """
        world = Holders()
        world.time += 20
        self.assertIsInstance(world.acquire(0), Grant)
        world.time += 0.5
        world.rows.restore(10)
        world.order(0)
        self.assertIsInstance(world.acquire(1), Refused)
        world.time += USABLE_SECONDS + HOLDER_GAP_SECONDS + CLOCK_MARGIN_SECONDS
        self.assertIsInstance(world.acquire(1), Grant)

    def test_a_host_that_starts_in_the_new_era_waits_too(self):
        world = Holders()
        world.acquire(0)
        world.rows.restore(10)
        self.assertIsInstance(world.acquire(1), Refused)

    def start_with_first_settings(
        self, world: Holders, first_era: int | None
    ) -> LeaderLease:
        """Return the lease of a host that starts now and still says first start."""
        return LeaderLease(
            world.rows,
            "pool",
            "h9",
            HOLDER_GAP_SECONDS,
            random.Random(9),
            lambda: world.time,
            is_first_start=lambda era: None if first_era is None else first_era >= era,
        )

    def test_a_later_start_with_the_settings_of_the_first_one_waits(self):
        """Guards against two holders: one was granted the lease before a restore."""
        world = Holders()
        world.acquire(0)
        world.time += 0.5
        world.rows.restore(10)
        later = self.start_with_first_settings(world, first_era=0)
        self.assertIsInstance(trio.run(later.acquire), Refused)
        self.assertIsNotNone(world.leases[0].held())
        world.time += world.exclusive_seconds + 0.01
        self.assertIsInstance(trio.run(later.acquire), Grant)

    def test_the_first_start_is_not_delayed_in_a_later_era_of_the_store(self):
        """Guards against engines that wait for orders as a system starts."""
        world = Holders()
        world.rows.restore(10)
        first = self.start_with_first_settings(world, first_era=1)
        self.assertIsInstance(trio.run(first.acquire), Grant)

    def test_a_start_that_is_not_known_to_be_the_first_one_asks_again_soon(self):
        """Guards against a first start that waits as a later one has to."""
        world = Holders()
        world.rows.restore(10)
        unknown = self.start_with_first_settings(world, first_era=None)
        refused = trio.run(unknown.acquire)
        self.assertIsInstance(refused, Refused)
        self.assertLessEqual(refused.seconds, 0.1)

    def test_a_holder_that_learns_of_the_new_era_stops(self):
        world = Holders()
        world.acquire(0)
        world.eras[0].observe(StoreEra(1), EraSource.ANOTHER_HOST)
        world.order(0)
        self.assertEqual(world.orders, [])

    def test_a_condition_on_a_reused_revision_grants_nothing(self):
        """The store is restored between a process's read and its write.

        The revision that it has read was assigned again, to another row.
        """
        world = Holders()
        world.time += 20

        async def come_back():
            world.rows.restore(60)

        world.rows.after_read = come_back
        self.assertIsInstance(world.acquire(0), Refused)
        world.order(0)
        self.assertEqual(world.orders, [])

    def test_fencing_tokens_increase_across_eras(self):
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
                st.sampled_from(STEPS),
                st.integers(0, 2),
                st.floats(0.1, 9.0),
            ),
            max_size=40,
        )
    )
    def test_orders_of_two_holders_are_never_close(self, steps):
        world = Holders(3)
        for what, number, seconds in steps:
            world.apply(what, number, seconds)
        for before, after in zip(world.orders, world.orders[1:], strict=False):
            if before[1] != after[1]:
                self.assertGreaterEqual(after[0] - before[0], HOLDER_GAP_SECONDS)
                self.assertGreater(after[2], before[2])
            else:
                self.assertGreaterEqual(after[2], before[2])
