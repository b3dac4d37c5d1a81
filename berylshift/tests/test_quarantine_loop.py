"""What the store keeps of requests under which replicas ended."""

import unittest

import trio

from berylshift.clock import LoopClock
from berylshift.ids import InstanceId
from berylshift.messages.fingerprint import joined
from berylshift.process.directory.store_watch import StoreClock
from berylshift.process.quarantine.crash_ledger import (
    MOST_IN_ONE,
    MOST_WAITING,
    CrashLedger,
)
from berylshift.process.quarantine.crash_record import PROVEN_SECONDS
from berylshift.process.quarantine.quarantine import Quarantine
from berylshift.process.quarantine.quarantine_loop import (
    RETRY_SECONDS,
    WRITE_SECONDS,
    QuarantineLoop,
)
from berylshift.stand_ins.fake_directory import (
    STORE_CLOCK_AHEAD_SECONDS,
    FakeCrashRows,
)
from berylshift.tests.support import run_virtual

BAD = joined(7, 1)
# Until a host has written what it has to, at the latest.
WRITTEN_SECONDS = WRITE_SECONDS + 2 * RETRY_SECONDS


class World:
    """Hosts that share nothing but the store's rows."""

    def __init__(self, nursery: trio.Nursery):
        """Start without hosts."""
        self._nursery = nursery
        self.rows = FakeCrashRows()

    def add_host(self) -> Quarantine:
        """Start a host's loop."""
        quarantine = Quarantine(1.2)
        clock = StoreClock(trio.current_time)
        clock.record(int((trio.current_time() + STORE_CLOCK_AHEAD_SECONDS) * 1000))
        loop = QuarantineLoop(quarantine, self.rows, clock, LoopClock())
        self._nursery.start_soon(loop.run)
        return quarantine


def run_world(task):
    """Run ``task(world)`` on a virtual clock."""

    async def main():
        async with trio.open_nursery() as nursery:
            found = await task(World(nursery))
            nursery.cancel_scope.cancel()
        return found

    return run_virtual(main)


def crash(quarantine: Quarantine, *engines: int) -> None:
    """Have a host see replicas end under the request."""
    for number in engines:
        now = trio.current_time()
        quarantine.broke_off(BAD, InstanceId(f"engine-{number}"), now)


def wait(quarantine: Quarantine) -> float:
    """Return for how many seconds the request is held back."""
    return quarantine.wait(BAD, trio.current_time())


class QuarantineRowsTest(unittest.TestCase):
    """Hosts that end take with them what they know of a request.

    All hosts are killed together and start again. The caller comes again too, and what
    it sends would end two more replicas until a host knows it once more.
    """

    def test_hosts_that_all_start_again_know_it_still(self):
        async def task(world):
            crash(world.add_host(), 1, 2, 3)
            await trio.sleep(WRITTEN_SECONDS)
            again = world.add_host()
            await trio.sleep(0.1)
            return wait(again)

        left = run_world(task)
        self.assertAlmostEqual(left, PROVEN_SECONDS - WRITTEN_SECONDS - 0.1, 1)

    def test_one_end_is_not_worth_a_write(self):
        async def task(world):
            crash(world.add_host(), 1)
            await trio.sleep(WRITTEN_SECONDS)
            return world.rows.writes, len(world.rows)

        self.assertEqual(run_world(task), (0, 0))

    def test_rows_are_written_once_the_store_is_back(self):
        async def task(world):
            host = world.add_host()
            await trio.sleep(0.1)
            world.rows.down = True
            crash(host, 1, 2)
            await trio.sleep(10)
            world.rows.down = False
            await trio.sleep(WRITTEN_SECONDS)
            again = world.add_host()
            await trio.sleep(0.1)
            return wait(again) > 0

        self.assertTrue(run_world(task))

    def test_a_host_that_finds_the_store_down_reads_it_later(self):
        async def task(world):
            crash(world.add_host(), 1, 2)
            await trio.sleep(WRITTEN_SECONDS)
            world.rows.down = True
            again = world.add_host()
            await trio.sleep(5)
            world.rows.down = False
            await trio.sleep(RETRY_SECONDS + 0.1)
            return wait(again) > 0

        self.assertTrue(run_world(task))

    def test_what_finishes_leaves_no_row(self):
        async def task(world):
            host = world.add_host()
            crash(host, 1, 2)
            await trio.sleep(WRITTEN_SECONDS)
            written = len(world.rows)
            host.finished(BAD, trio.current_time())
            await trio.sleep(WRITTEN_SECONDS)
            return written, len(world.rows)

        self.assertEqual(run_world(task), (2, 0))

    def test_rows_that_an_older_copy_lacks_are_written_again(self):
        async def task(world):
            host = world.add_host()
            crash(host, 1, 2)
            await trio.sleep(WRITTEN_SECONDS)
            world.rows.lose_all()
            host.ledger.write_again()
            await trio.sleep(WRITTEN_SECONDS)
            return len(world.rows)

        self.assertEqual(run_world(task), 2)

    def test_rows_of_hosts_long_gone_are_removed(self):
        async def task(world):
            crash(world.add_host(), 1, 2)
            await trio.sleep(WRITTEN_SECONDS)
            await trio.sleep(PROVEN_SECONDS)
            again = world.add_host()
            await trio.sleep(WRITTEN_SECONDS)
            return wait(again), len(world.rows)

        self.assertEqual(run_world(task), (0.0, 0))


class CrashLedgerTest(unittest.TestCase):
    """Which rows are due."""

    def setUp(self):
        self.ledger = CrashLedger()

    def test_a_row_is_written_once(self):
        self.ledger.put((BAD, 1))
        due = self.ledger.due()
        self.ledger.done(due)
        self.ledger.put((BAD, 1))
        self.assertEqual((due.put, self.ledger.due().empty), (((BAD, 1),), True))

    def test_what_another_host_wrote_is_its_to_remove(self):
        self.ledger.drop((BAD, 1))
        self.assertTrue(self.ledger.due().empty)

    def test_a_row_that_was_dropped_while_it_was_written_is_removed(self):
        self.ledger.put((BAD, 1))
        due = self.ledger.due()
        self.ledger.drop((BAD, 1))
        self.ledger.done(due)
        self.assertEqual(self.ledger.due().drop, ((BAD, 1),))

    def test_many_rows_go_in_several_transactions(self):
        for target in range(2 * MOST_WAITING):
            self.ledger.put((BAD, target))
        written = 0
        while not (due := self.ledger.due()).empty:
            self.assertLessEqual(len(due.put), MOST_IN_ONE)
            written += len(due.put)
            self.ledger.done(due)
        self.assertEqual(written, MOST_WAITING)
