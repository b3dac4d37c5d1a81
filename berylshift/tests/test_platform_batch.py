"""Tests of batched writes and of the platform's stand-in."""

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
    AnswerLostError,
    Condition,
    StoreThrottledError,
    Transaction,
    Write,
    as_raw,
)
from berylshift.tests.support import VirtualTestCase


class BatchTest(VirtualTestCase):
    """Rows of many confirmations share one write."""

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
        answers = {}

        async def put(place, key):
            write = Write(key, as_raw(place))
            answers[place] = await gate.put_row(Condition(key, ABSENT), write)

        async with trio.open_nursery() as nursery:
            for place, key in enumerate(keys):
                nursery.start_soon(put, place, key)
        return answers

    def test_rows_at_one_moment_share_a_write(self):
        async def use(gate, fake):
            answers = await self.put_all(gate, [f"k{i}" for i in range(40)])
            return all(a.committed for a in answers.values()), fake.commits

        self.assertEqual(self.with_gate(use), (True, 1))

    def test_one_conflict_does_not_fail_the_others(self):
        async def use(gate, fake):
            fake.transact(Transaction([], [Write("k3", as_raw(0))]))
            answers = await self.put_all(gate, [f"k{i}" for i in range(10)])
            return [place for place, answer in answers.items() if answer.failed]

        self.assertEqual(self.with_gate(use), [3])

    def test_two_arrivals_with_one_key_do_not_share_a_write(self):
        # In one transaction both conditions would hold, and both would send.
        async def use(gate, fake):
            answers = await self.put_all(gate, ["k", "k", "k"])
            return sum(answer.committed for answer in answers.values())

        self.assertEqual(self.with_gate(use), 1)

    def test_lost_answer_is_lost_for_all_rows_of_the_batch(self):
        async def use(gate, fake):
            fake.script.lose_answers = 1
            lost = []

            async def put(key):
                try:
                    await gate.put_row(Condition(key, ABSENT), Write(key, as_raw(1)))
                except AnswerLostError:
                    lost.append(key)

            async with trio.open_nursery() as nursery:
                for key in ("a", "b", "c"):
                    nursery.start_soon(put, key)
            return sorted(lost)

        self.assertEqual(self.with_gate(use), ["a", "b", "c"])

    def test_writes_keep_to_the_budget(self):
        async def use(gate, fake):
            start = trio.current_time()
            for number in range(60):
                await gate.put_row(
                    Condition(f"k{number}", ABSENT), Write(f"k{number}", as_raw(1))
                )
            return trio.current_time() - start

        self.assertGreater(self.with_gate(use, rate=20.0), 1.5)


class FakePlatformTest(VirtualTestCase):
    """The stand-in keeps to its script."""

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

    def test_weights_are_handed_out_as_far_as_the_quota_goes(self):
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
