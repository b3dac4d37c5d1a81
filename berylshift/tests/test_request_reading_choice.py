"""A rush of prompts before a few engines: who is read first, who is refused."""

import random
import unittest

from berylshift.messages.load_digest import Urgency
from berylshift.messages.replicas import EnginePhase
from berylshift.process.directory.pools import Pool
from berylshift.process.gossip.peer_loads import PeerLoads
from berylshift.process.targets.engine_speeds import PRIOR_PREFILL_RATE, EngineSpeeds
from berylshift.process.targets.prefix_cache_index import PrefixCacheIndex
from berylshift.process.targets.target_load import TargetLoads
from berylshift.request.placement import Placer
from berylshift.request.reading_choice import ReadingAsk, ReadingChoice, ReadingChooser
from berylshift.request.standing import LEAST_LATE_SHARE, Standing
from berylshift.tests.entry_world import route
from berylshift.tests.test_request_placement import prompt, replica
from berylshift.version.routes import RouteKind

WAY = route("x", RouteKind.STREAM, objective=0.8, rank=0, pause=0.3)
READER = replica(1, EnginePhase.PREFILL)
POOL = Pool([READER, replica(2, EnginePhase.DECODE)])
# What the engine reads in half a second.
HALF_A_SECOND = int(PRIOR_PREFILL_RATE / 2)


class RushTest(unittest.TestCase):
    """More prompts come in a second than their engine reads in three.

    Read in the order in which they came, the first few are on time and the others
    late, those of the next second too. Here each new prompt that can be on time goes
    before the late ones, and a late one that would wait for longer than its caller is
    told so at once.
    """

    def setUp(self):
        self.loads, speeds = TargetLoads(), EngineSpeeds()
        peers, warm, rng = PeerLoads("me"), PrefixCacheIndex(), random.Random(1)
        placer = Placer(self.loads, peers, warm, speeds, "d1", rng)
        self.chooser = ReadingChooser(placer, speeds, lambda: 1)
        self.now = 0.0

    def come(self, waited: float = 0.0):
        """Let a prompt of 16,000 tokens come and be sent; return its choice."""
        ask = ReadingAsk(WAY, "s", POOL, prompt(), waited)
        choice = self.chooser.choose(ask, self.now)
        if choice.seconds <= WAY.patience:
            urgency = Urgency.URGENT
            if choice.standing is Standing.LATE:
                urgency = Urgency.PATIENT
            self.chooser.sent(ask, choice, self.now)
            self.loads.note_sent(READER.instance, choice.place.tokens, urgency)
        return choice

    def test_of_a_rush_the_first_are_on_time_and_the_last_are_refused(self):
        rush = [self.come() for _ in range(60)]
        standings = [choice.standing for choice in rush]
        on_time = standings.count(Standing.ON_TIME)
        self.assertGreater(on_time, 1)
        self.assertEqual(standings[:on_time], [Standing.ON_TIME] * on_time)
        refused = [choice for choice in rush if choice.seconds > WAY.patience]
        self.assertGreater(len(refused), 10)
        self.assertNotIn(Standing.ON_TIME, {choice.standing for choice in refused})

    def test_who_comes_when_the_engine_has_read_on_passes_the_late_ones(self):
        for _ in range(60):
            self.come()
        self.loads.of(READER.instance).prefill_tokens[Urgency.URGENT] = 0
        choice = self.come()
        self.assertIs(choice.standing, Standing.ON_TIME)
        self.assertLess(choice.seconds, WAY.objective)

    def test_who_has_waited_too_long_is_late_at_an_idle_engine(self):
        self.assertIs(self.come(waited=0.5).standing, Standing.LATE)

    def late_wait_after(self, standing: Standing) -> float:
        """Return how long a late prompt waits after 40 others of a standing."""
        self.setUp()
        ask = ReadingAsk(WAY, "s", POOL, prompt(), 0.0)
        for _ in range(40):
            place = self.chooser.choose(ask, self.now).place
            self.chooser.sent(ask, ReadingChoice(place, standing, 0.0), self.now)
        self.loads.note_sent(READER.instance, 2 * HALF_A_SECOND, Urgency.URGENT)
        return self.come().seconds

    def test_late_ones_expect_to_be_overtaken(self):
        """The more prompts on time keep the engine, the longer a late one waits."""
        calm = self.late_wait_after(Standing.LATE)
        rush = self.late_wait_after(Standing.ON_TIME)
        self.assertGreater(rush, 1.5 * calm)
        self.assertLess(rush, calm / LEAST_LATE_SHARE + 0.1)

    def test_no_engine_reads_apart_where_none_is_there_to_read(self):
        ask = ReadingAsk(
            WAY, "s", Pool([replica(2, EnginePhase.DECODE)]), prompt(), 0.0
        )
        self.assertIsNone(self.chooser.choose(ask, 0.0))


if __name__ == "__main__":
    unittest.main()
