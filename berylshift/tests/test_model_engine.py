"""The modelled engine keeps to its figures."""

import unittest

import msgspec

from berylshift.messages.replicas import EnginePhase, Replica
from berylshift.messages.routed import Prompt, PromptBlock
from berylshift.model.engine import ModelEngine, Stream
from berylshift.model.event_queue import EventQueue
from berylshift.model.parameters import EngineFigures
from berylshift.model.prefix_block_cache import KeptParts

FIGURES = EngineFigures(pair_seconds=0.0, read_latency=0.0, move_setup=0.0)


def prompt(part: str, shared: int = 4000, own: int = 2140) -> Prompt:
    """Return a prompt of 6,140 tokens, read in 0.1 s where nothing is kept."""
    parts = (PromptBlock(part, shared), PromptBlock(f"own-{part}", own))
    return Prompt(parts, shared + own, 80)


def engine(queue: EventQueue, phase: EnginePhase, figures=FIGURES) -> ModelEngine:
    """Return an idle engine."""
    replica = Replica("i", "s", "10.0.0.1:80", "d1", figures.slots, False, phase)
    return ModelEngine(queue, figures, replica)


class EventQueueTest(unittest.TestCase):
    """Calls come in the order of their times."""

    def test_order(self):
        queue, seen = EventQueue(), []
        queue.at(2.0, lambda: seen.append("late"))
        queue.at(1.0, lambda: seen.append("early"))
        queue.at(1.0, lambda: seen.append("early too"))
        queue.run(1.5)
        self.assertEqual(seen, ["early", "early too"])
        self.assertEqual(queue.monotonic(), 1.5)

    def test_a_call_may_plan_another(self):
        queue, seen = EventQueue(), []
        queue.after(1.0, lambda: queue.after(1.0, lambda: seen.append(1)))
        queue.run(2.0)
        self.assertEqual(seen, [1])


class ReadingTest(unittest.TestCase):
    """Prompts at an engine that reads."""

    def setUp(self):
        self.queue = EventQueue()
        self.engine = engine(self.queue, EnginePhase.PREFILL)
        self.ends: list[tuple[str, float, bool]] = []

    def read(self, of: Prompt, rank: int = 1) -> None:
        name = of.blocks[0].id

        def done(good: bool) -> None:
            self.ends.append((name, round(self.queue.monotonic(), 3), good))

        self.engine.read(of, rank, done)

    def test_kept_parts_are_not_read_again(self):
        self.read(prompt("a"))
        self.queue.run(1.0)
        self.read(prompt("a"))
        self.queue.run(2.0)
        self.assertEqual(self.ends, [("a", 0.1, True), ("a", 1.035, True)])
        self.assertEqual(self.engine.again_tokens, 4000)

    def test_the_more_urgent_begins_first(self):
        for name, rank in (("first", 2), ("patient", 2), ("urgent", 0)):
            self.read(prompt(name), rank)
        self.queue.run(1.0)
        self.assertEqual([name for name, _, _ in self.ends[1:]], ["urgent", "patient"])

    def test_a_crash_fails_what_is_under_way_and_forgets_what_was_kept(self):
        self.read(prompt("a"))
        self.queue.run(1.0)
        self.read(prompt("b"))
        self.read(prompt("c"))
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
        self.assertEqual(self.engine.kept.begins(prompt("a")), 0)

    def test_a_slow_engine_takes_longer(self):
        self.engine.slowness = 4.0
        self.read(prompt("a"))
        self.queue.run(1.0)
        self.assertEqual(self.ends, [("a", 0.4, True)])


class AnsweringTest(unittest.TestCase):
    """Streams at an engine that answers."""

    def setUp(self):
        self.queue = EventQueue()
        figures = msgspec.structs.replace(FIGURES, slots=2)
        self.engine = engine(self.queue, EnginePhase.DECODE, figures)
        self.events: list[float] = []
        self.ends: list[float] = []

    def stream(self, events: int) -> Stream:
        return Stream(
            prompt("a"),
            events,
            lambda: self.events.append(self.queue.monotonic()),
            lambda good: self.ends.append(self.queue.monotonic()),
        )

    def test_each_event_takes_so_many_steps(self):
        self.engine.answer(self.stream(3), self.engine.replica, 1)
        self.queue.run(5.0)
        self.assertEqual(len(self.events), 3)
        step = 0.00455 + 0.000181 + 6140 * 3.66e-9
        self.assertAlmostEqual(self.events[2] - self.events[1], 7 * step, places=4)

    def test_a_third_stream_waits_for_a_slot(self):
        for _ in range(3):
            self.engine.answer(self.stream(2), self.engine.replica, 1)
        self.queue.run(0.02)
        self.assertEqual(self.engine.report().waiting, 1)
        self.queue.run(5.0)
        self.assertEqual(len(self.ends), 3)

    def test_moves_over_one_link_follow_each_other(self):
        slow = msgspec.structs.replace(FIGURES, link_bits=6140 * 35_136 * 8 / 0.5)
        self.engine = engine(self.queue, EnginePhase.DECODE, slow)
        for _ in range(2):
            self.engine.answer(self.stream(1), self.engine.replica, 1)
        self.queue.run(5.0)
        self.assertAlmostEqual(self.ends[1] - self.ends[0], 0.5, delta=0.02)


class KeptTest(unittest.TestCase):
    """What an engine's memory holds."""

    def test_the_least_lately_used_go(self):
        kept = KeptParts(9000)
        for name in ("a", "b"):
            kept.hold(prompt(name))
        kept.hold(prompt("a"))
        kept.hold(prompt("c"))
        self.assertEqual(kept.begins(prompt("a")), 4000)
        self.assertEqual(kept.begins(prompt("b")), 0)


if __name__ == "__main__":
    unittest.main()
