"""Where requests go: homes of prompts, queues, and who answers."""

import random
import unittest
from collections import Counter

from berylshift.messages.load_digest import LoadDigest, LoadEntry, Urgency, target_hash
from berylshift.messages.replicas import EnginePhase, Replica
from berylshift.messages.routed import Prompt, PromptPart, ReportedLoad
from berylshift.process.directory.pools import Pool
from berylshift.process.gossip.peer_loads import PeerLoads
from berylshift.process.targets.engine_speeds import PRIOR_PREFILL_RATE, EngineSpeeds
from berylshift.process.targets.prefix_cache_index import PrefixCacheIndex
from berylshift.process.targets.target_load import SEVERE_FAILURE, TargetLoads
from berylshift.request.placement import (
    BEGUN_TOKENS,
    DIRECT_TOKENS,
    LOOKED_AT,
    Placer,
    Reason,
    reading_work,
)


def replica(number: int, phase=EnginePhase.NONE, domain: str = "d1") -> Replica:
    """Return a replica of the one service."""
    return Replica(f"i-{number}", "s", f"10.0.0.{number}:80", domain, 8, False, phase)


def prompt(part: str = "p1", shared: int = 13_000, own: int = 3_000) -> Prompt:
    """Return a prompt of one shared part and one of its own."""
    parts = (PromptPart(part, shared), PromptPart("own", own))
    return Prompt(parts, shared + own, 80)


READERS = [replica(n, EnginePhase.PREFILL) for n in range(1, 7)]
DECODERS = [replica(n, EnginePhase.DECODE) for n in range(11, 14)]
ENGINES = READERS + DECODERS

LEAST = Reason.LEAST_LOADED


def home_of(of: Prompt, readers: list[Replica]) -> Replica:
    """Return the first home of a prompt's shared parts."""
    return Pool(readers).homes(of.shared[-1].part)[0]


class PlacerCase(unittest.TestCase):
    """A placer with its knowledge."""

    def setUp(self):
        self.loads = TargetLoads()
        self.peers = PeerLoads("me")
        self.warm = PrefixCacheIndex()
        self.placer = self.make_placer(1)

    def make_placer(self, seed: int) -> Placer:
        rng = random.Random(seed)
        speeds = EngineSpeeds()
        return Placer(self.loads, self.peers, self.warm, speeds, "d1", rng)

    def reader(self, of: Prompt, engines=None, avoid=(), now: float = 0.0):
        pool = Pool(ENGINES if engines is None else engines)
        return self.placer.reader(pool, of, Urgency.USUAL, avoid, now)


class HomesTest(PlacerCase):
    """Homes that all hosts compute alike."""

    def test_all_hosts_agree(self):
        shuffled = list(ENGINES)
        random.Random(5).shuffle(shuffled)
        for number in range(50):
            wanted = prompt(f"p{number}")
            here = self.reader(wanted).target
            there = self.make_placer(number).reader(
                Pool(shuffled), wanted, Urgency.USUAL, (), 0.0
            )
            self.assertEqual(here, there.target)

    def test_a_leaving_engine_moves_only_its_own_parts(self):
        parts = [prompt(f"p{number}") for number in range(300)]
        before = {p.shared[0].part: home_of(p, READERS) for p in parts}
        left = READERS[:-1]
        moved = [p for p in parts if home_of(p, left) != before[p.shared[0].part]]
        held = Counter(rep.instance for rep in before.values())[READERS[-1].instance]
        self.assertEqual(len(moved), held)

    def test_parts_spread_over_all_engines(self):
        homes = Counter(home_of(prompt(f"p{n}"), READERS) for n in range(600))
        self.assertEqual(len(homes), len(READERS))
        self.assertLess(max(homes.values()), 2 * 600 / len(READERS))

    def test_small_shared_parts_have_no_home(self):
        self.assertIs(self.reader(prompt(shared=300, own=9000)).reason, LEAST)


class SpillTest(PlacerCase):
    """A home that is busy."""

    def busy(self, instance: str, tokens: int) -> None:
        entry = LoadEntry(target_hash(instance), 3, (0, tokens, 0), 0.0)
        self.peers.receive(LoadDigest("other", 1, (entry,)), 0.0)

    def warm_home(self) -> Replica:
        """Send a prompt to its home; return it."""
        place = self.reader(prompt())
        self.placer.note_sent(place, prompt(), 0.0)
        return place.target

    def test_a_part_that_nobody_keeps_goes_to_its_home(self):
        place = self.reader(prompt())
        self.assertEqual(place.target, home_of(prompt(), READERS))
        self.assertEqual(place.tokens, reading_work(16_000, 0))

    def test_a_part_that_was_sent_counts_as_kept(self):
        """Also at a home: an engine that has just taken one over keeps nothing."""
        home = self.warm_home()
        again = self.reader(prompt())
        self.assertEqual((again.target, again.reason), (home, Reason.HOME))
        self.assertEqual(again.tokens, reading_work(16_000, 13_000))

    def test_a_usual_queue_does_not_move_a_prompt(self):
        """Reading the shared part anew elsewhere costs 13,000 tokens for all."""
        home = self.warm_home()
        self.busy(home.instance, 30_000)
        self.assertEqual(self.reader(prompt()).target, home)

    def test_a_queue_of_seconds_does(self):
        home = self.warm_home()
        self.busy(home.instance, 200_000)
        place = self.reader(prompt())
        self.assertNotEqual(place.target, home)
        self.assertIs(place.reason, Reason.SECOND_HOME)

    def test_spilled_parts_are_known_where_they_went(self):
        home = self.warm_home()
        self.busy(home.instance, 200_000)
        place = self.reader(prompt())
        self.placer.note_sent(place, prompt(), 0.0)
        again = self.reader(prompt())
        self.assertEqual((again.target, again.reason), (place.target, Reason.WARM))
        self.assertLess(again.tokens, place.tokens / 2)

    def test_leading_parts_alone_are_kept_too(self):
        root = PromptPart("root", 2_500)
        one = Prompt((root, PromptPart("a", 4_000), PromptPart("x", 1_000)), 7_500, 80)
        two = Prompt((root, PromptPart("b", 4_000), PromptPart("y", 1_000)), 7_500, 80)
        place = self.reader(one)
        self.placer.note_sent(place, one, 0.0)
        beside = self.placer.reader(Pool([place.target]), two, Urgency.USUAL, (), 0.0)
        self.assertEqual(beside.tokens, reading_work(7_500, 2_500))

    def test_a_leading_part_alone_does_not_draw_a_prompt_from_its_home(self):
        """All prompts begin with one of a few large parts; every engine keeps them.

        The home is a little busier than the others. The rest of the shared parts is
        there alone: anywhere else it is read anew, for this prompt and its next ones.
        """
        root, branch = PromptPart("root", 2_500), PromptPart("branch", 4_000)
        of = Prompt((root, branch, PromptPart("x", 1_000)), 7_500, 80)
        home = home_of(of, READERS)
        for engine in READERS:
            self.warm.note_sent("root", 2_500, engine.instance, 0.0)
        self.busy(home.instance, 5_000)
        place = self.reader(of)
        self.assertEqual((place.target, place.reason), (home, Reason.HOME))

    def test_others_work_is_forgotten_when_they_fall_silent(self):
        home = self.warm_home()
        self.busy(home.instance, 200_000)
        self.assertEqual(self.reader(prompt(), now=1.0).target, home)

    def test_more_urgent_work_waits_less(self):
        home = self.warm_home()
        self.loads.note_sent(home.instance, 60_000, Urgency.PATIENT)
        pool = Pool([home])
        urgent = self.placer.reader(pool, prompt(), Urgency.URGENT, (), 0.0)
        patient = self.placer.reader(pool, prompt(), Urgency.PATIENT, (), 0.0)
        skipped = (60_000 - BEGUN_TOKENS) / PRIOR_PREFILL_RATE
        self.assertAlmostEqual(patient.seconds - urgent.seconds, skipped, delta=0.005)

    def test_an_urgent_prompt_avoids_an_engine_that_reads_a_long_one(self):
        # An engine finishes the prompt that it reads. A short note that went there
        # would wait up to 0.3 s for it, half of the time in which it is on time.
        engines = READERS[:2]
        self.loads.note_sent(engines[0].instance, 20_000, Urgency.PATIENT)
        short = prompt("p9", shared=200, own=2_500)
        place = self.placer.reader(Pool(engines), short, Urgency.URGENT, (), 0.0)
        self.assertIs(place.target, engines[1])


class LargePoolTest(PlacerCase):
    """Pools of which a decision looks at a part only."""

    MANY = [replica(n, EnginePhase.PREFILL) for n in range(1, 1201)]

    def test_homes_are_among_those_looked_at(self):
        pool = Pool(self.MANY)
        for number in range(50):
            wanted = prompt(f"p{number}")
            place = self.placer.reader(pool, wanted, Urgency.USUAL, (), 0.0)
            self.assertIs(place.reason, Reason.HOME)

    def test_engines_that_keep_the_parts_are_too(self):
        home = home_of(prompt(), self.MANY)
        keeper = next(rep for rep in self.MANY if rep != home)
        self.warm.note_sent("p1", 13_000, keeper.instance, 0.0)
        place = self.reader(prompt(), engines=self.MANY)
        self.assertEqual((place.target, place.reason), (keeper, Reason.WARM))

    def test_of_the_others_a_few_are_drawn(self):
        looked = self.placer._candidates(Pool(self.MANY), prompt(), ())
        self.assertEqual(len(looked), LOOKED_AT)


class DirectTest(PlacerCase):
    """Prompts that the answering engine reads itself."""

    def test_short_prompts_are_read_by_the_answering_engine(self):
        self.assertIsNone(self.reader(prompt(shared=300, own=1000)))

    def test_long_ones_never(self):
        """Each piece read stops the engine's streams for 33 ms."""
        self.assertIsNotNone(self.reader(prompt(shared=0, own=DIRECT_TOKENS + 1)))

    def test_not_where_answering_engines_have_a_queue(self):
        for engine in DECODERS:
            self.loads.note_sent(engine.instance, 20_000, Urgency.URGENT)
        self.assertIsNotNone(self.reader(prompt(shared=300, own=1000)))

    def test_without_reading_engines_the_answering_one_reads(self):
        self.assertIsNone(self.reader(prompt(), engines=DECODERS))
        place = self.placer.answerer(Pool(DECODERS), prompt(), None, (), 0.0)
        self.assertEqual(place.tokens, reading_work(16_000, 0))


class AnswererTest(PlacerCase):
    """The engine that answers."""

    def test_least_loaded(self):
        for engine in DECODERS[:-1]:
            for _ in range(10):
                self.loads.note_sent(engine.instance, 0, Urgency.USUAL)
        place = self.placer.answerer(Pool(ENGINES), prompt(), READERS[0], (), 0.0)
        self.assertEqual(place.target, DECODERS[-1])

    def test_near_the_cache(self):
        far = replica(21, EnginePhase.DECODE, "d2")
        near = replica(22, EnginePhase.DECODE, "d1")
        place = self.placer.answerer(Pool([far, near]), prompt(), READERS[0], (), 0.0)
        self.assertEqual(place.target, near)

    def test_engines_that_were_tried_are_left_out(self):
        tried = [engine.instance for engine in DECODERS]
        place = self.placer.answerer(Pool(ENGINES), prompt(), READERS[0], tried, 0.0)
        self.assertIsNone(place)


class DistanceTest(PlacerCase):
    """Bytes between domains are dear; the longer the prompt, the more there are."""

    def answerer(self, of: Prompt, running: int):
        near = replica(1, EnginePhase.DECODE, "d1")
        far = replica(2, EnginePhase.DECODE, "d2")
        for _ in range(running):
            self.loads.note_sent(near.instance, 0, Urgency.USUAL)
        reader = replica(3, EnginePhase.PREFILL, "d3")
        place = self.placer.answerer(Pool([near, far]), of, reader, (), 0.0)
        return place, place.target is near

    def test_a_long_prompt_stays_in_its_domain_where_a_short_one_goes_away(self):
        short, stays_short = self.answerer(prompt(shared=100, own=100), 7)
        self.setUp()
        long, stays_long = self.answerer(prompt(), 7)
        self.assertEqual((stays_short, stays_long), (False, True))
        # Distance orders engines; it is not time that a caller waits.
        self.assertLess(short.seconds, 0.02)
        self.assertGreater(long.weight, long.seconds)

    def test_a_long_queue_outweighs_the_distance(self):
        _, stays = self.answerer(prompt(), 70)
        self.assertFalse(stays)


class PlainTest(PlacerCase):
    """Requests without a prompt."""

    def test_own_domain_first(self):
        far, near = replica(1, domain="d2"), replica(2, domain="d1")
        self.assertEqual(self.placer.plain(Pool([far, near]), (), 0.0).target, near)

    def test_a_busy_neighbour_is_passed_by(self):
        far, near = replica(1, domain="d2"), replica(2, domain="d1")
        self.loads.note_report(near.instance, ReportedLoad(8, 6, 8), 0.0)
        self.assertEqual(self.placer.plain(Pool([far, near]), (), 0.0).target, far)

    def test_a_failing_replica_is_avoided_and_tried_again(self):
        one, two = replica(1), replica(2)
        self.loads.note_failure(one.instance, SEVERE_FAILURE, 0.0)
        self.assertEqual(self.placer.plain(Pool([one, two]), (), 0.1).target, two)
        for _ in range(3):
            self.loads.note_sent(two.instance, 0, Urgency.USUAL)
        self.assertEqual(self.placer.plain(Pool([one, two]), (), 15.0).target, one)

    def test_one_cut_off_host_does_not_condemn_a_replica_for_all(self):
        """A host that is cut off finds every replica failing and says so."""
        one, two = replica(1), replica(2, domain="d2")
        entry = LoadEntry(target_hash(one.instance), 0, (0, 0, 0), 5.0)
        self.peers.receive(LoadDigest("cut-off", 1, (entry,)), 0.0)
        self.assertEqual(self.placer.plain(Pool([one, two]), (), 0.1).target, one)
        self.peers.receive(LoadDigest("another", 1, (entry,)), 0.0)
        self.assertEqual(self.placer.plain(Pool([one, two]), (), 0.1).target, two)


class WorkTest(unittest.TestCase):
    """The work of reading."""

    def test_kept_tokens_are_not_read(self):
        self.assertLess(reading_work(16_000, 13_000), reading_work(16_000, 0) / 3)

    def test_reading_slows_with_the_context(self):
        self.assertGreater(reading_work(50_000, 0), 1.5 * 50_000)
        self.assertLess(reading_work(1_000, 0), 1.05 * 1_000)
