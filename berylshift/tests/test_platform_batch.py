"""Batched writes, and the platform's stand-in."""

import random

import trio

from berylshift.clock import LoopClock
from berylshift.process.limits.store_budget import StoreBudget
from berylshift.stand_ins.fake_platform import (
    FakePlatform,
    MemoryPlatform,
    PlatformScript,
)
from berylshift.store.batch import TableGate
from berylshift.store.interfaces import (
    ABSENT,
    Condition,
    ResponseLostError,
    StoreThrottledError,
    Transaction,
    Write,
    as_raw,
)
from berylshift.tests.support import VirtualTestCase


class BatchTest(VirtualTestCase):
    """Writes of rows are combined into transactions."""

    def with_gate(self, use, rate=1000.0):
        async def task():
            clock = LoopClock()
            fake = FakePlatform(clock)
            budgets = [StoreBudget(rate, random.Random(i)) for i in (1, 2)]
            gate = TableGate(MemoryPlatform(fake), clock, *budgets, 0.005, 50)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(gate.run)
                result = await use(gate, fake)
                nursery.cancel_scope.cancel()
            return result

        return self.run_virtual(task)

    async def put_all(self, gate, keys):
        results = {}

        async def put(index, key):
            write = Write(key, as_raw(index))
            results[index] = await gate.put_row(Condition(key, ABSENT), write)

        async with trio.open_nursery() as nursery:
            for index, key in enumerate(keys):
                nursery.start_soon(put, index, key)
        return results

    def test_concurrent_writes_share_a_transaction(self):
        async def use(gate, fake):
            results = await self.put_all(gate, [f"k{i}" for i in range(40)])
            return all(result.committed for result in results.values()), fake.commits

        self.assertEqual(self.with_gate(use), (True, 1))

    def test_one_conflict_does_not_fail_the_others(self):
        async def use(gate, fake):
            fake.transact(Transaction([], [Write("k3", as_raw(0))]))
            results = await self.put_all(gate, [f"k{i}" for i in range(10)])
            return [index for index, result in results.items() if result.failed]

        self.assertEqual(self.with_gate(use), [3])

    def test_writes_of_the_same_key_do_not_share_a_transaction(self):
        # In one transaction both conditions would hold, and both callers would send
        # their request.
        async def use(gate, fake):
            results = await self.put_all(gate, ["k", "k", "k"])
            return sum(result.committed for result in results.values())

        self.assertEqual(self.with_gate(use), 1)

    def test_lost_response_fails_all_writes_of_the_batch(self):
        async def use(gate, fake):
            fake.script.lose_answers = 1
            lost = []

            async def put(key):
                try:
                    await gate.put_row(Condition(key, ABSENT), Write(key, as_raw(1)))
                except ResponseLostError:
                    lost.append(key)

            async with trio.open_nursery() as nursery:
                for key in ("a", "b", "c"):
                    nursery.start_soon(put, key)
            return sorted(lost)

        self.assertEqual(self.with_gate(use), ["a", "b", "c"])

    def test_writes_stay_within_the_budget(self):
        async def use(gate, fake):
            start = trio.current_time()
            for number in range(60):
                await gate.put_row(
                    Condition(f"k{number}", ABSENT), Write(f"k{number}", as_raw(1))
                )
            return trio.current_time() - start

        self.assertGreater(self.with_gate(use, rate=20.0), 1.5)


class FakePlatformTest(VirtualTestCase):
    """The stand-in enforces the limits in its script."""

    def test_rate_limit_refuses_and_writes_nothing(self):
        async def task():
            fake = FakePlatform(LoopClock(), PlatformScript(writes_per_second=5))
            refused = 0
            for number in range(20):
                try:
                    fake.transact(Transaction([], [Write(f"k{number}", as_raw(1))]))
                except StoreThrottledError:
                    refused += 1
            return refused, len(fake.rows)

        self.assertEqual(self.run_virtual(task), (15, 5))

    def test_weights_are_limited_by_the_quota(self):
        async def task():
            script = PlatformScript(weight_bytes_per_minute=20_000_000_000)
            fake = FakePlatform(LoopClock(), script)
            fake.download_weights("m", "2")
            fake.download_weights("m", "2")
            with self.assertRaises(StoreThrottledError):
                fake.download_weights("m", "2")
            await trio.sleep(61)
            return fake.download_weights("m", "2").bytes_left

        self.assertEqual(self.run_virtual(task), 20_000_000_000)

    def test_scan_pages_through_a_prefix(self):
        async def task():
            fake = FakePlatform(LoopClock())
            for number in range(5):
                fake.transact(Transaction([], [Write(f"a/{number}", as_raw(1))]))
            fake.transact(Transaction([], [Write("b/0", as_raw(1))]))
            first = [row.key for row in fake.scan("a/", "", 3)]
            rest = [row.key for row in fake.scan("a/", first[-1], 3)]
            return first, rest

        self.assertEqual(
            self.run_virtual(task), (["a/0", "a/1", "a/2"], ["a/3", "a/4"])
        )
