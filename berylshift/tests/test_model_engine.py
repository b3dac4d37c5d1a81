"""The simulated engine has the timing that its parameters give."""

import unittest

import msgspec

from berylshift.messages.replicas import EnginePhase, Replica
from berylshift.messages.routed import Prompt, PromptBlock
from berylshift.model.engine import ModelEngine, Stream
from berylshift.model.event_queue import EventQueue
from berylshift.model.parameters import EngineParameters
from berylshift.model.prefix_block_cache import PrefixBlockCache

PARAMETERS = EngineParameters(
    attention_pair_seconds=0.0,
    prefill_latency_seconds=0.0,
    kv_transfer_setup_seconds=0.0,
)


def prompt(block: str, prefix_tokens: int = 4000, suffix_tokens: int = 2140) -> Prompt:
    """Return a prompt of 6,140 tokens, prefilled in 0.1 s when nothing is cached."""
    blocks = (
        PromptBlock(block, prefix_tokens),
        PromptBlock(f"own-{block}", suffix_tokens),
    )
    return Prompt(blocks, prefix_tokens + suffix_tokens, 80)


def engine(queue: EventQueue, phase: EnginePhase, parameters=PARAMETERS) -> ModelEngine:
    """Return an idle engine."""
    replica = Replica("i", "s", "10.0.0.1:80", "d1", parameters.slots, False, phase)
    return ModelEngine(queue, parameters, replica)


class EventQueueTest(unittest.TestCase):
    """Callbacks run in the order of their times."""

    def test_order(self):
        queue, seen = EventQueue(), []
        queue.call_at(2.0, lambda: seen.append("late"))
        queue.call_at(1.0, lambda: seen.append("early"))
        queue.call_at(1.0, lambda: seen.append("early too"))
        queue.run(1.5)
        self.assertEqual(seen, ["early", "early too"])
        self.assertEqual(queue.monotonic(), 1.5)

    def test_callback_may_schedule_another(self):
        queue, seen = EventQueue(), []
        queue.call_after(1.0, lambda: queue.call_after(1.0, lambda: seen.append(1)))
        queue.run(2.0)
        self.assertEqual(seen, [1])


class PrefillTest(unittest.TestCase):
    """Prompts at a prefill engine."""

    def setUp(self):
        self.queue = EventQueue()
        self.engine = engine(self.queue, EnginePhase.PREFILL)
        self.ends: list[tuple[str, float, bool]] = []

    def prefill(self, submitted: Prompt, rank: int = 1) -> None:
        name = submitted.blocks[0].id

        def on_done(succeeded: bool) -> None:
            self.ends.append((name, round(self.queue.monotonic(), 3), succeeded))

        self.engine.prefill(submitted, rank, on_done)

    def test_cached_prefix_blocks_are_not_prefilled_again(self):
        self.prefill(prompt("a"))
        self.queue.run(1.0)
        self.prefill(prompt("a"))
        self.queue.run(2.0)
        self.assertEqual(self.ends, [("a", 0.1, True), ("a", 1.035, True)])
        self.assertEqual(self.engine.again_tokens, 4000)

    def test_more_urgent_prompt_is_prefilled_first(self):
        for name, rank in (("first", 2), ("patient", 2), ("urgent", 0)):
            self.prefill(prompt(name), rank)
        self.queue.run(1.0)
        self.assertEqual([name for name, _, _ in self.ends[1:]], ["urgent", "patient"])

    def test_crash_fails_running_prefills_and_clears_the_cache(self):
        self.prefill(prompt("a"))
        self.queue.run(1.0)
        self.prefill(prompt("b"))
        self.prefill(prompt("c"))
        self.queue.run(1.05)
        self.engine.crash()
        self.queue.run(2.0)
        self.assertEqual(
            {end for end in self.ends[1:]},
            {
                ("b", 1.05, False),
                ("c", 1.05, False),
            },
        )
        self.assertEqual(self.engine.cache.cached_prefix_tokens(prompt("a")), 0)

    def test_slow_engine_takes_longer(self):
        self.engine.slowdown = 4.0
        self.prefill(prompt("a"))
        self.queue.run(1.0)
        self.assertEqual(self.ends, [("a", 0.4, True)])


class DecodeTest(unittest.TestCase):
    """Streams at a decode engine."""

    def setUp(self):
        self.queue = EventQueue()
        parameters = msgspec.structs.replace(PARAMETERS, slots=2)
        self.engine = engine(self.queue, EnginePhase.DECODE, parameters)
        self.events: list[float] = []
        self.ends: list[float] = []

    def stream(self, events: int) -> Stream:
        return Stream(
            prompt("a"),
            events,
            lambda: self.events.append(self.queue.monotonic()),
            lambda succeeded: self.ends.append(self.queue.monotonic()),
        )

    def test_each_event_takes_tokens_per_event_steps(self):
        self.engine.decode(self.stream(3), self.engine.replica, 1)
        self.queue.run(5.0)
        self.assertEqual(len(self.events), 3)
        step = 0.00455 + 0.000181 + 6140 * 3.66e-9
        self.assertAlmostEqual(self.events[2] - self.events[1], 7 * step, places=4)

    def test_a_third_stream_waits_for_a_slot(self):
        for _ in range(3):
            self.engine.decode(self.stream(2), self.engine.replica, 1)
        self.queue.run(0.02)
        self.assertEqual(self.engine.report().waiting, 1)
        self.queue.run(5.0)
        self.assertEqual(len(self.ends), 3)

    def test_kv_transfers_over_one_link_are_serialized(self):
        slow = msgspec.structs.replace(
            PARAMETERS, link_bits_per_second=6140 * 35_136 * 8 / 0.5
        )
        self.engine = engine(self.queue, EnginePhase.DECODE, slow)
        for _ in range(2):
            self.engine.decode(self.stream(1), self.engine.replica, 1)
        self.queue.run(5.0)
        self.assertAlmostEqual(self.ends[1] - self.ends[0], 0.5, delta=0.02)


class PrefixBlockCacheTest(unittest.TestCase):
    """Prefix blocks cached in an engine's memory."""

    def test_least_recently_used_blocks_are_evicted(self):
        cache = PrefixBlockCache(9000)
        for name in ("a", "b"):
            cache.store(prompt(name))
        cache.store(prompt("a"))
        cache.store(prompt("c"))
        self.assertEqual(cache.cached_prefix_tokens(prompt("a")), 4000)
        self.assertEqual(cache.cached_prefix_tokens(prompt("b")), 0)


if __name__ == "__main__":
    unittest.main()
