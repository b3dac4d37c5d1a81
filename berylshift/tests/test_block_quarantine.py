"""Tests which prompt blocks are held after replicas crashed under them."""

import random
import unittest

import trio

from berylshift.clock import LoopClock
from berylshift.connection.load_codec import LoadCodec
from berylshift.ids import CustomerName, InstanceId, RequestId, ServiceName
from berylshift.messages.block_key import BlockHash, CustomerHash, join_key
from berylshift.messages.load_digest import BlockReport, LoadDigest
from berylshift.messages.routed import Prompt, PromptBlock, RoutedRequest
from berylshift.process.directory.store_watch import StoreClock
from berylshift.process.quarantine.block_quarantine import (
    ANY_BLOCK,
    COMPLETED_SECONDS,
    MAX_CANDIDATES,
    MAX_OBSERVED,
    OBSERVED_SECONDS,
    TRIAL_SECONDS,
    TRIAL_STEP_SECONDS,
)
from berylshift.process.quarantine.block_record import HOLD_SECONDS, MIN_CRASHES
from berylshift.process.quarantine.quarantine import Quarantine
from berylshift.process.quarantine.quarantine_loop import WRITE_SECONDS, QuarantineLoop
from berylshift.process.quarantine.unsettled_completions import (
    CRASH_DELAY_SECONDS,
    SETTLE_SECONDS,
)
from berylshift.request.fingerprint import RequestFingerprinter
from berylshift.stand_ins.fake_directory import (
    STORE_CLOCK_OFFSET_SECONDS,
    FakeCrashRows,
)
from berylshift.tests.multi_host_world import MultiHostWorld, WorldHost
from berylshift.tests.support import run_virtual
from berylshift.tests.test_gossip_collectors import run_world
from berylshift.tests.test_quarantine_spread import (
    BYTE_BUDGET,
    FaultSchedule,
)

DEADLY = join_key(BlockHash(0xDEAD))
COMMON = join_key(BlockHash(0xC0))
COMPANION = join_key(BlockHash(0xCC))
SERVICE = ServiceName("writer")
# The platform's bounds: crashes by a block, and what hosts may send afterwards.
MAX_CRASHES = 5
MAX_SENDS_AFTER = 3
STABLE_SECONDS = 3.0


def engine(number: int) -> InstanceId:
    """Return the instance ID of an engine."""
    return InstanceId(f"engine-{number}")


class BlockCase(unittest.TestCase):
    """The block quarantine of one host, without a network or a clock."""

    def setUp(self):
        self.quarantine = Quarantine(1.2)
        self.blocks = self.quarantine.blocks

    def crash(self, *keys, engines=(1, 2, 3), at: float = 0.0) -> None:
        for number in engines:
            self.blocks.record_crash(keys, engine(number), at)

    def is_held(self, now: float, key=DEADLY, request: str = "r") -> bool:
        return self.blocks.held_block([key], request, now) is not None


class ThresholdTest(BlockCase):
    """How many crashes it takes."""

    def test_two_crashes_hold_nothing(self):
        """Guards against refusals after a coincidence."""
        self.crash(DEADLY, engines=(1, 2))
        self.assertFalse(self.is_held(0.1))

    def test_third_crash_holds_the_block(self):
        """Guards against a block that every new request carries on."""
        self.crash(DEADLY)
        self.assertTrue(self.is_held(0.1))

    def test_requests_that_break_at_one_replica_count_once(self):
        """Guards against a count of requests in place of replicas."""
        self.crash(DEADLY, engines=(1, 1, 1, 1))
        self.assertFalse(self.is_held(0.1))

    def test_crashes_at_once_hold_it_for_a_minute_at_most(self):
        """Guards against a coincidence, in an outage, that lasts for hours."""
        for crashes, seconds in ((3, 3.0), (4, 3.0), (5, 60.0), (20, 60.0)):
            self.setUp()
            self.crash(DEADLY, engines=range(crashes))
            held = self.blocks.held_block([DEADLY], "r", 0.0)
            self.assertEqual((held.crashes, held.seconds), (crashes, seconds))

    def test_each_trial_that_crashes_holds_it_longer(self):
        """Guards against trials that go on at a block that never completes."""
        self.crash(DEADLY)
        at = 0.0
        for number, seconds in enumerate(HOLD_SECONDS[:-1]):
            at += seconds + 0.1
            self.crash(DEADLY, engines=(10 + number,), at=at)
            held = self.blocks.held_block([DEADLY], "r", at)
            self.assertEqual(held.seconds, HOLD_SECONDS[number + 1])

    def test_replica_that_responds_has_not_crashed(self):
        """Guards against reset connections that count as crashes."""
        self.crash(DEADLY)
        self.quarantine.record_response(engine(2), 0.5, None)
        self.assertFalse(self.is_held(1.0))

    def test_crashes_are_forgotten_after_a_while(self):
        """Guards against three crashes within days that hold a block."""
        self.crash(DEADLY, engines=(1, 2))
        self.blocks.take_reports(OBSERVED_SECONDS)
        self.crash(DEADLY, engines=(3,), at=OBSERVED_SECONDS)
        self.assertFalse(self.is_held(OBSERVED_SECONDS + 0.1))


class BlameTest(BlockCase):
    """What tells the cause from the blocks beside it."""

    def test_completion_clears_a_block(self):
        """Guards against blame of what runs to its end."""
        self.crash(DEADLY, COMMON)
        self.blocks.record_completion([COMMON], 0.2)
        self.assertEqual((self.is_held(0.3), self.is_held(0.3, COMMON)), (True, False))

    def test_prompt_that_was_being_decoded_for_long_is_not_the_cause(self):
        """Guards against blame of all that runs at a replica that crashes."""
        self.crash(DEADLY)
        self.blocks.record_crash([DEADLY], engine(4), 0.1, decoded_seconds=1.0)
        self.assertFalse(self.is_held(0.2))

    def test_common_block_of_replicas_lost_together_is_not_held(self):
        """Guards against refusals of all when a failure domain is lost."""
        self.blocks.record_completion([COMMON], 0.0)
        self.crash(COMMON, engines=range(20), at=COMPLETED_SECONDS / 2)
        self.assertFalse(self.is_held(COMPLETED_SECONDS / 2 + 0.1, COMMON))

    def test_common_block_is_not_held_while_all_replicas_are_gone(self):
        """Guards against blame of what fails as everything else does."""
        self.blocks.record_completion([COMMON], 0.0)
        for number in range(30):
            self.crash(COMMON, engines=(number,), at=1.0 + number / 10)
            other = join_key(BlockHash(number))
            self.crash(other, engines=(number,), at=1.0 + number / 10)
        self.assertFalse(self.is_held(5.0, COMMON))

    def test_block_that_has_turned_deadly_is_held(self):
        """Guards against a completion before a release that protects for long."""
        self.blocks.record_completion([DEADLY], 0.0)
        for number in range(30):
            at = 1.0 + number / 10
            self.crash(DEADLY, engines=(number,), at=at)
            self.blocks.record_completion([COMMON], at)
        self.assertTrue(self.is_held(5.0))

    def test_companion_is_let_go_once_the_cause_shows(self):
        """Guards against blame of a rare block that came beside the cause."""
        self.crash(DEADLY, COMPANION)
        self.assertTrue(self.is_held(0.1, COMPANION))
        self.crash(DEADLY, engines=(4,))
        self.assertFalse(self.is_held(0.1, COMPANION))
        self.assertTrue(self.is_held(0.1))

    def test_companion_of_two_causes_is_let_go(self):
        """Guards against blame of a block that was under way whenever one ended."""
        self.crash(DEADLY, engines=(1, 2, 3, 4))
        second = join_key(BlockHash(0xBEEF))
        self.crash(second, engines=(5, 6, 7, 8))
        self.crash(COMPANION, engines=(1, 2, 5, 6))
        held = [self.is_held(0.1, key) for key in (DEADLY, second, COMPANION)]
        self.assertEqual(held, [True, True, False])

    def test_two_causes_at_the_same_replicas_are_both_held(self):
        """Guards against a cause that another one hides."""
        self.crash(DEADLY, engines=(1, 2, 3, 4, 5))
        self.crash(COMPANION, engines=(4, 5, 6))
        self.assertTrue(self.is_held(0.1) and self.is_held(0.1, COMPANION))


class ShortAnswerTest(BlockCase):
    """Answers that end before they crash their replica."""

    def end(self, *keys, at: float, number: int = 9) -> None:
        self.blocks.record_end(keys, engine(number), at)

    def test_completion_before_a_crash_clears_nothing(self):
        """Guards against short answers with the cause that clear it."""
        for number in range(MIN_CRASHES):
            self.end(DEADLY, at=number, number=number)
            self.crash(COMMON, engines=(number,), at=number + 0.1)
        self.assertTrue(self.is_held(MIN_CRASHES))

    def test_completion_that_is_told_after_the_crash_clears_nothing(self):
        """Guards against the order in which a host hears of both."""
        for number in range(MIN_CRASHES):
            self.crash(COMMON, engines=(number,), at=number)
            self.end(DEADLY, at=number + 0.1, number=number)
        self.assertTrue(self.is_held(MIN_CRASHES))

    def test_crash_that_another_host_saw_counts(self):
        """Guards against a cause that only completes at the host that sent it."""
        other = Quarantine(1.2).blocks
        for number in range(MIN_CRASHES):
            self.end(DEADLY, at=number, number=number)
            other.record_crash([COMMON], engine(number), number + 0.1)
            self.blocks.merge(other.take_reports(number + 0.2), number + 0.2, False)
        self.assertTrue(self.is_held(MIN_CRASHES))

    def test_completion_long_before_a_crash_counts(self):
        """Guards against blame of all that a replica completed in its last seconds."""
        for number in range(MIN_CRASHES):
            self.end(DEADLY, at=2.0 * number, number=number)
            self.crash(COMMON, engines=(number,), at=2.0 * number + 1.0)
        self.assertFalse(self.is_held(2.0 * MIN_CRASHES))

    def test_completion_counts_once_the_replica_responds_later(self):
        """Guards against sound blocks that are never cleared."""
        self.crash(DEADLY)
        self.end(DEADLY, at=1.0)
        self.assertTrue(self.is_held(1.1))
        self.quarantine.record_response(engine(9), 1.0 + CRASH_DELAY_SECONDS, None)
        self.assertFalse(self.is_held(1.5))

    def test_completion_of_a_block_without_crashes_counts_after_a_while(self):
        """Guards against common blocks that no one response confirms."""
        self.end(COMMON, at=0.0)
        self.blocks.take_reports(SETTLE_SECONDS)
        self.crash(COMMON, at=SETTLE_SECONDS)
        self.assertFalse(self.is_held(SETTLE_SECONDS, COMMON))


class CustomerTest(BlockCase):
    """Block ids are callers' words."""

    def key(self, customer: int):
        return join_key(BlockHash(0xDEAD), CustomerHash(customer))

    def test_customer_cannot_have_the_prompts_of_another_refused(self):
        """Guards against a customer who names others' blocks in deadly prompts."""
        self.crash(self.key(1), engines=range(9))
        self.assertTrue(self.is_held(0.1, self.key(1)))
        self.assertFalse(self.is_held(0.1, self.key(2)))

    def test_crashes_of_two_customers_hold_it_for_all(self):
        """Guards against three crashes for each customer."""
        self.crash(self.key(1), engines=(1, 2))
        self.crash(self.key(2), engines=(3,))
        self.assertTrue(self.is_held(0.1, self.key(3)))

    def test_keys_differ_by_what_runs_the_block(self):
        """Guards against blame across services and models, and evasion by spelling."""
        prints = RequestFingerprinter()

        def keys(block: str, model: str = "m", customer=None, service=SERVICE):
            blocks = (PromptBlock(block, 10), PromptBlock("ff", 10))
            req = RoutedRequest(
                RequestId("r"),
                b"POST",
                b"/",
                (),
                None,
                prompt=Prompt(blocks, 20, 5, model),
                customer=customer,
            )
            return prints.block_keys(req, service)

        self.assertEqual(len(keys("ab")), 1)
        self.assertEqual(keys("ab"), keys("00AB"))
        self.assertNotEqual(keys("ab"), keys("ab", "n"))
        self.assertNotEqual(keys("ab"), keys("ab", service=ServiceName("reader")))
        self.assertNotEqual(keys("ab"), keys("ab", customer=CustomerName("c")))


class TrialTest(BlockCase):
    """How a held block is lifted."""

    DUE = HOLD_SECONDS[0]

    def test_one_request_is_let_through(self):
        """Guards against all that waits being sent at the end of the time."""
        self.crash(DEADLY)
        held = [self.is_held(self.DUE, request=f"r{number}") for number in range(9)]
        self.assertEqual(held.count(False), 1)

    def test_trial_is_let_through_at_each_of_its_checks(self):
        """Guards against a trial that is prefilled and then refused."""
        self.crash(DEADLY)
        self.assertFalse(self.is_held(self.DUE, request="trial"))
        self.assertFalse(self.is_held(self.DUE + 1, request="trial"))

    def test_next_trial_waits_for_the_last_one(self):
        """Guards against a block that stays held since its trial was lost."""
        self.crash(DEADLY)
        self.assertFalse(self.is_held(self.DUE, request="lost"))
        later = self.DUE + TRIAL_SECONDS
        self.assertTrue(self.is_held(later - 0.1, request="next"))
        self.assertFalse(self.is_held(later, request="next"))

    def test_hosts_join_in_one_after_the_other(self):
        """Guards against a trial at each host, and at none that gets the prompts."""
        for rank, steps in ((0, 0), (1, 1), (2, 2), (5, 3), (369, 9)):
            self.setUp()
            self.blocks.trial_rank = lambda block, rank=rank: rank
            self.crash(DEADLY)
            begin = self.DUE + steps * TRIAL_STEP_SECONDS
            self.assertFalse(self.is_held(begin + 0.01))
            if steps:
                self.setUp()
                self.blocks.trial_rank = lambda block, rank=rank: rank
                self.crash(DEADLY)
                self.assertTrue(self.is_held(begin - 0.01))

    def test_trial_that_completes_lifts_it(self):
        """Guards against a block that stays held after a release mended it."""
        self.crash(DEADLY)
        self.blocks.record_completion([DEADLY], self.DUE)
        self.assertFalse(self.is_held(self.DUE))

    def test_trial_that_crashes_holds_it_longer(self):
        """Guards against trials in quick succession."""
        self.crash(DEADLY)
        self.is_held(self.DUE, request="trial")
        self.crash(DEADLY, engines=(4,), at=self.DUE + 0.1)
        self.assertTrue(self.is_held(self.DUE + HOLD_SECONDS[1]))


class BoundsTest(BlockCase):
    """Callers choose ids of blocks without bound."""

    def test_flood_of_blocks_evicts_no_held_one(self):
        """Guards against a deadly block that is forgotten among new ones."""
        self.crash(DEADLY)
        for number in range(MAX_OBSERVED + 100):
            self.crash(join_key(BlockHash(0x10000 + number)), engines=(9,))
        for number in range(MAX_CANDIDATES + 100):
            common = join_key(BlockHash(0x90000 + number))
            self.blocks.record_completion([common], 0.0)
            self.crash(common)
        self.assertTrue(self.is_held(0.1))

    def test_held_blocks_are_bounded(self):
        """Guards against memory without bound."""
        for number in range(MAX_CANDIDATES + 10):
            self.crash(join_key(BlockHash(0x10000 + number)))
        self.assertEqual(len(self.blocks), MAX_CANDIDATES)


class ExchangeTest(BlockCase):
    """What hosts tell each other."""

    def digest(self, now: float) -> tuple[BlockReport, ...]:
        """Return the reports of this host after a datagram."""
        codec = LoadCodec("key")
        digest = LoadDigest("h", 1, (), blocks=self.blocks.take_reports(now))
        return codec.decode(codec.encode(digest, 1400)).blocks

    def test_reports_hold_a_block_at_another_host(self):
        """Guards against a count that each host keeps for itself."""
        other = Quarantine(1.2).blocks
        self.crash(DEADLY)
        other.merge(self.digest(0.1), 0.1, is_own_domain=False)
        self.assertIsNotNone(other.held_block([DEADLY], "r", 0.2))

    def test_host_that_saw_it_complete_answers_a_report(self):
        """Guards against blame by hosts that rarely get a common block."""
        other = Quarantine(1.2).blocks
        other.record_completion([COMMON], 0.0)
        self.crash(COMMON, at=COMPLETED_SECONDS / 2)
        now = COMPLETED_SECONDS / 2 + 0.1
        other.merge(self.digest(now), now, is_own_domain=False)
        answers = other.take_reports(now)
        self.assertEqual(
            [report.target for report in answers if not report.target], [None]
        )
        self.blocks.merge(answers, now, is_own_domain=False)
        self.assertFalse(self.is_held(now, COMMON))

    def test_completion_clears_it_at_other_hosts(self):
        """Guards against a sound block that stays held elsewhere."""
        other = Quarantine(1.2).blocks
        self.crash(DEADLY)
        other.merge(self.digest(0.1), 0.1, is_own_domain=False)
        other.record_completion([DEADLY], 0.2)
        self.blocks.merge(other.take_reports(0.3), 0.3, is_own_domain=False)
        self.assertFalse(self.is_held(0.4))

    def test_common_blocks_take_no_room_in_digests(self):
        """Guards against reports of the cause that wait behind those of all others."""
        self.blocks.record_completion([COMMON], 0.0)
        self.crash(COMMON, DEADLY, at=1.0)
        keys = {report.key for report in self.digest(1.1)}
        self.assertEqual(keys, {DEADLY, join_key(ANY_BLOCK)})

    def test_host_that_was_cut_off_hears_of_each_of_many_held_blocks(self):
        """Guards against resending the newest ones alone."""
        other, keys = Quarantine(1.2).blocks, []
        other.trial_rank = lambda block: 1 << 30
        for number in range(20):
            keys.append(join_key(BlockHash(0x500 + number)))
            self.crash(keys[-1], engines=range(5 * number, 5 * number + 4))
        for number in range(60):
            now = 1.0 + number / 2
            other.merge(self.digest(now), now, is_own_domain=False)
        missing = [key for key in keys if other.held_block([key], "r", 31.0) is None]
        self.assertEqual(missing, [])

    def test_nothing_is_sent_while_nothing_crashes(self):
        """Guards against a cost of each request."""
        for number in range(100):
            self.blocks.record_completion([join_key(BlockHash(number))], 0.0)
        self.assertEqual(self.digest(0.1), ())
        self.assertFalse(self.quarantine.has_updates(0.1))


class StoreTest(unittest.TestCase):
    """All hosts stop at once."""

    def test_host_that_starts_reads_the_held_blocks(self):
        """Guards against as many crashes again after a restart of all hosts."""

        async def main():
            rows, found = FakeCrashRows(), []
            async with trio.open_nursery() as nursery:

                def start() -> Quarantine:
                    quarantine, clock = Quarantine(1.2), StoreClock(trio.current_time)
                    now = trio.current_time() + STORE_CLOCK_OFFSET_SECONDS
                    clock.record(int(now * 1000))
                    loop = QuarantineLoop(quarantine.blocks, rows, clock, LoopClock())
                    nursery.start_soon(loop.run)
                    return quarantine

                first = start()
                for number in range(5):
                    first.blocks.record_crash(
                        [DEADLY], engine(number), trio.current_time()
                    )
                await trio.sleep(2 * WRITE_SECONDS)
                second = start()
                await trio.sleep(WRITE_SECONDS)
                now = trio.current_time()
                found.append(second.blocks.held_block([DEADLY], "r", now))
                nursery.cancel_scope.cancel()
            return found[0], len(rows)

        held, rows = run_virtual(main)
        self.assertEqual((held.crashes, rows), (5, 5))


class BlockSchedule(FaultSchedule):
    """Requests with a deadly block at random hosts, which suffer random faults.

    Sound requests with rare blocks run at each replica that crashes, and are reported
    by other hosts.
    """

    BESIDE = 20

    def _send_request(self, host: WorldHost) -> None:
        now = trio.current_time()
        name = f"r-{self.rng.random()}"
        if host.quarantine.blocks.held_block([DEADLY], name, now) is not None:
            return
        self.crashes.append(now)
        if now >= self.faulty_until.get(host.name, 0.0):
            self.sends.append(now)
        # Each crash is that of a replica that has started since.
        instance = engine(len(self.crashes))
        host.quarantine.blocks.record_crash([DEADLY], instance, now)
        for _ in range(self.BESIDE):
            other = self.rng.choice(self.world.hosts)
            block = BlockHash(self.rng.randrange(1, 1 << 32))
            other.quarantine.blocks.record_crash([join_key(block)], instance, now)

    @property
    def sends_after(self) -> int:
        """Return the sends by connected hosts that should have held the block."""
        if len(self.crashes) < MAX_CRASHES:
            return 0
        bound = self.crashes[MAX_CRASHES - 1] + STABLE_SECONDS
        return sum(at > bound for at in self.sends)


def run_blocks(seed: int, hosts: int, domains: int, budget: int) -> BlockSchedule:
    """Run the schedule of one seed; trials are made as in the application."""

    async def task(world: MultiHostWorld):
        for host in world.hosts:
            order = random.Random(f"{host.name}").randrange(hosts)
            host.quarantine.blocks.trial_rank = lambda block, order=order: order
        schedule = BlockSchedule(world, seed)
        await schedule.run()
        return schedule

    return run_world(task, hosts, domains, budget)


class FaultyHostsTest(unittest.TestCase):
    """Hosts start again, are cut off and are suspended while the requests come."""

    def check(self, seeds, hosts: int, domains: int, budget: int) -> None:
        for seed in seeds:
            with self.subTest(seed=seed):
                schedule = run_blocks(seed, hosts, domains, budget)
                self.assertGreaterEqual(len(schedule.crashes), MIN_CRASHES)
                self.assertLessEqual(schedule.sends_after, MAX_SENDS_AFTER)

    def test_few_hosts(self):
        """Guards against reports that hosts with faults miss."""
        self.check(range(6), 9, 4, BYTE_BUDGET)

    def test_many_hosts(self):
        """Guards against reports that take long through collectors."""
        self.check(range(3), 30, 5, 4096)
