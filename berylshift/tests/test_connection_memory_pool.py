"""Tests of a pool of memory, on a virtual clock."""

import random
import unittest

import trio

from berylshift.connection.memory_pool import MAX_WAIT_SECONDS, MemoryPool, NoRoomError
from berylshift.connection.request_memory import (
    MEBIBYTE,
    MIN_TOTAL_BYTES,
    RequestMemory,
    request_bytes,
)
from berylshift.tests.support import run_virtual


def make_pool(limit: int = 100) -> MemoryPool:
    """Return an empty pool."""
    return MemoryPool(limit, random.Random(1))


class MemoryPoolTest(unittest.TestCase):
    """Reservations of one pool."""

    def test_reservations_wait_in_order(self):
        """Guards against small reservations that overtake a long one for ever."""

        async def main():
            pool, order = make_pool(), []
            first = pool.take_now(90)

            async def take(name: str, size: int):
                await pool.take(size)
                order.append((name, trio.current_time()))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(take, "long", 60)
                await trio.sleep(0.01)
                nursery.start_soon(take, "short", 5)
                await trio.sleep(0.1)
                waiting = pool.waiting_bytes
                first.release()
            return [name for name, _ in order], waiting, pool.held_bytes

        self.assertEqual(run_virtual(main), (["long", "short"], 65, 65))

    def test_reservation_that_gives_up_lets_the_next_one_in(self):
        """Guards against room that nobody gets behind one that has given up."""

        async def main():
            pool = make_pool()
            pool.take_now(90)
            refused = []

            async def take(size: int, seconds: float):
                try:
                    await pool.take(size, seconds)
                except NoRoomError:
                    refused.append(size)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(take, 60, 0.1)
                await trio.sleep(0.01)
                nursery.start_soon(take, 5, 0.2)
            return refused, pool.held_bytes, pool.waiting_bytes

        self.assertEqual(run_virtual(main), ([60], 95, 0))

    def test_cancelled_reservation_holds_nothing(self):
        """Guards against memory that is lost with a caller that left while waiting."""

        async def main():
            pool = make_pool()
            hold = pool.take_now(100)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(pool.take, 50)
                await trio.sleep(0.01)
                nursery.cancel_scope.cancel()
                hold.release()
            return pool.held_bytes, pool.waiting_bytes

        self.assertEqual(run_virtual(main), (0, 0))

    def test_long_waits_are_not_begun(self):
        """Guards against callers that are held and then refused all the same."""

        async def main():
            pool = make_pool()
            pool.record_hold(10.0)
            pool.take_now(100)
            start = trio.current_time()
            with self.assertRaises(NoRoomError) as caught:
                await pool.take(50)
            return trio.current_time() - start, caught.exception.retry_after_seconds

        waited, retry_after = run_virtual(main)
        self.assertEqual(waited, 0)
        self.assertGreater(retry_after, MAX_WAIT_SECONDS)

    def test_hold_is_released_once(self):
        """Guards against a pool that counts less than what is held."""

        async def main():
            pool = make_pool()
            hold = pool.take_now(10)
            hold.resize(40)
            hold.release()
            hold.release()
            return pool.held_bytes

        self.assertEqual(run_virtual(main), 0)


class RequestMemoryTest(unittest.TestCase):
    """What a process holds for requests."""

    def test_limit_follows_the_process_memory(self):
        """Guards against one limit for hosts of unequal memory."""
        self.assertLess(request_bytes(160), request_bytes(300))
        for memory_mb in (160, 300, 552):
            self.assertLess(request_bytes(memory_mb), 0.7 * memory_mb * MEBIBYTE)
        self.assertEqual(request_bytes(64), MIN_TOTAL_BYTES)

    def test_responses_wait_for_each_other(self):
        """Guards against buffered responses that exceed the memory together."""

        async def main():
            memory, order = RequestMemory(100 * MEBIBYTE), []
            hold = await memory.hold_response(15 * MEBIBYTE)

            async def next_response():
                await memory.hold_response(8 * MEBIBYTE)
                order.append("held")

            async with trio.open_nursery() as nursery:
                nursery.start_soon(next_response)
                await trio.sleep(1)
                before = list(order)
                (await memory.hold_response(1000)).release()
                hold.release()
            return before, order

        self.assertEqual(run_virtual(main), ([], ["held"]))
