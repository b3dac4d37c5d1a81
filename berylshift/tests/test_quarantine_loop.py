"""Tests the crash records that are persisted in the store."""

import unittest

import trio

from berylshift.clock import LoopClock
from berylshift.ids import InstanceId
from berylshift.messages.fingerprint import combine_hashes
from berylshift.process.directory.store_watch import StoreClock
from berylshift.process.quarantine.crash_record import PROVEN_QUARANTINE_SECONDS
from berylshift.process.quarantine.crash_row_queue import (
    MAX_PENDING_ROWS,
    MAX_ROWS_PER_TRANSACTION,
    CrashRowQueue,
)
from berylshift.process.quarantine.quarantine import Quarantine
from berylshift.process.quarantine.quarantine_loop import (
    RETRY_SECONDS,
    WRITE_SECONDS,
    QuarantineLoop,
)
from berylshift.stand_ins.fake_directory import STORE_CLOCK_AHEAD_SECONDS, FakeCrashRows
from berylshift.tests.support import run_virtual

BAD = combine_hashes(7, 1)
# The longest time until a host has written its queued rows.
WRITTEN_SECONDS = WRITE_SECONDS + 2 * RETRY_SECONDS


class World:
    """Hosts that share only the store's rows and exchange no digests."""

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
            result = await task(World(nursery))
            nursery.cancel_scope.cancel()
        return result

    return run_virtual(main)


def crash(quarantine: Quarantine, *engines: int) -> None:
    """Have a host observe replica crashes during the request."""
    for number in engines:
        now = trio.current_time()
        quarantine.record_crash(BAD, InstanceId(f"engine-{number}"), now)


def remaining_seconds(quarantine: Quarantine) -> float:
    """Return how many seconds the request stays quarantined."""
    return quarantine.remaining_seconds(BAD, trio.current_time())


class QuarantineLoopTest(unittest.TestCase):
    """Crash records survive a restart of all hosts.

    All hosts are killed together and start again. The caller retries its request, which
    would crash two more replicas until a host quarantines it again.
    """

    def test_quarantine_survives_a_restart_of_all_hosts(self):
        async def task(world):
            crash(world.add_host(), 1, 2, 3)
            await trio.sleep(WRITTEN_SECONDS)
            restarted = world.add_host()
            await trio.sleep(0.1)
            return remaining_seconds(restarted)

        left = run_world(task)
        self.assertAlmostEqual(
            left, PROVEN_QUARANTINE_SECONDS - WRITTEN_SECONDS - 0.1, 1
        )

    def test_a_single_crash_is_not_written(self):
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
            restarted = world.add_host()
            await trio.sleep(0.1)
            return remaining_seconds(restarted) > 0

        self.assertTrue(run_world(task))

    def test_a_host_that_starts_during_an_outage_reads_later(self):
        async def task(world):
            crash(world.add_host(), 1, 2)
            await trio.sleep(WRITTEN_SECONDS)
            world.rows.down = True
            restarted = world.add_host()
            await trio.sleep(5)
            world.rows.down = False
            await trio.sleep(RETRY_SECONDS + 0.1)
            return remaining_seconds(restarted) > 0

        self.assertTrue(run_world(task))

    def test_completed_request_leaves_no_row(self):
        async def task(world):
            host = world.add_host()
            crash(host, 1, 2)
            await trio.sleep(WRITTEN_SECONDS)
            written = len(world.rows)
            host.record_completion(BAD, trio.current_time())
            await trio.sleep(WRITTEN_SECONDS)
            return written, len(world.rows)

        self.assertEqual(run_world(task), (2, 0))

    def test_rows_lost_by_a_store_restore_are_written_again(self):
        async def task(world):
            host = world.add_host()
            crash(host, 1, 2)
            await trio.sleep(WRITTEN_SECONDS)
            world.rows.lose_all()
            host.row_queue.rewrite_all()
            await trio.sleep(WRITTEN_SECONDS)
            return len(world.rows)

        self.assertEqual(run_world(task), 2)

    def test_expired_rows_of_stopped_hosts_are_removed(self):
        async def task(world):
            crash(world.add_host(), 1, 2)
            await trio.sleep(WRITTEN_SECONDS)
            await trio.sleep(PROVEN_QUARANTINE_SECONDS)
            restarted = world.add_host()
            await trio.sleep(WRITTEN_SECONDS)
            return remaining_seconds(restarted), len(world.rows)

        self.assertEqual(run_world(task), (0.0, 0))


class CrashRowQueueTest(unittest.TestCase):
    """Which rows are in the next batch."""

    def setUp(self):
        self.queue = CrashRowQueue()

    def test_a_row_is_written_once(self):
        self.queue.put((BAD, 1))
        batch = self.queue.next_batch()
        self.queue.mark_committed(batch)
        self.queue.put((BAD, 1))
        self.assertEqual(
            (batch.put, self.queue.next_batch().is_empty), (((BAD, 1),), True)
        )

    def test_rows_of_other_hosts_are_not_dropped(self):
        self.queue.drop((BAD, 1))
        self.assertTrue(self.queue.next_batch().is_empty)

    def test_a_row_dropped_while_its_write_is_in_flight_is_removed(self):
        self.queue.put((BAD, 1))
        batch = self.queue.next_batch()
        self.queue.drop((BAD, 1))
        self.queue.mark_committed(batch)
        self.assertEqual(self.queue.next_batch().drop, ((BAD, 1),))

    def test_many_rows_are_split_into_transactions(self):
        for target in range(2 * MAX_PENDING_ROWS):
            self.queue.put((BAD, target))
        written = 0
        while not (batch := self.queue.next_batch()).is_empty:
            self.assertLessEqual(len(batch.put), MAX_ROWS_PER_TRANSACTION)
            written += len(batch.put)
            self.queue.mark_committed(batch)
        self.assertEqual(written, MAX_PENDING_ROWS)
