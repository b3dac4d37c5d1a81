"""The simple placings do what their names say, and no more."""

import random
import unittest

from berylshift.messages.load_digest import Urgency
from berylshift.messages.routed import ReportedLoad
from berylshift.process.directory.pools import Pool
from berylshift.process.gossip.peer_loads import PeerLoads
from berylshift.process.targets.engine_speeds import EngineSpeeds
from berylshift.process.targets.prefix_cache_index import PrefixCacheIndex
from berylshift.process.targets.target_load import TargetLoads
from berylshift.request.placing_policies import PLACINGS, PlacingParts
from berylshift.settings import CHOICES
from berylshift.tests.test_request_placement import DECODERS, ENGINES, READERS, prompt


class BaselineTest(unittest.TestCase):
    """Each placing over the same engines."""

    def setUp(self):
        self.loads = TargetLoads()
        self.parts = PlacingParts(
            self.loads,
            PeerLoads("me"),
            PrefixCacheIndex(),
            EngineSpeeds(),
            "d1",
            random.Random(1),
        )
        self.pool = Pool(ENGINES)

    def reader(self, name: str, of=None, avoid=()):
        placing = PLACINGS[name](self.parts)
        return placing.reader(self.pool, of or prompt(), Urgency.USUAL, avoid, 0.0)

    def test_settings_name_each(self):
        self.assertEqual(set(CHOICES["entry", "placing"]), set(PLACINGS))

    def test_round_robin_takes_each_in_turn(self):
        placing = PLACINGS["round-robin"](self.parts)
        found = [
            placing.reader(self.pool, prompt(), Urgency.USUAL, (), 0.0).target
            for _ in READERS
        ]
        self.assertEqual({rep.instance for rep in found}, {r.instance for r in READERS})

    def test_least_reported_goes_by_the_last_word(self):
        for number, rep in enumerate(DECODERS):
            self.loads.note_report(rep.instance, ReportedLoad(5 - number, 0, 64), 0.0)
        placing = PLACINGS["least-reported"](self.parts)
        place = placing.answerer(self.pool, prompt(), READERS[0], (), 0.0)
        self.assertIs(place.target, DECODERS[-1])

    def test_without_homes_a_kept_prompt_draws_nobody(self):
        placing = PLACINGS["no-homes"](self.parts)
        of = prompt()
        home = self.pool.homes(of.shared[-1].part)[0]
        for part in of.shared:
            self.parts.warm.note_sent(part.part, part.tokens, home.instance, 0.0)
        self.loads.note_sent(home.instance, 5_000, Urgency.USUAL)
        place = placing.reader(self.pool, of, Urgency.USUAL, (), 0.0)
        self.assertIsNot(place.target, home)
        self.assertIs(self.reader("warm", of).target, home)

    def test_tried_replicas_are_left_out(self):
        tried = [rep.instance for rep in READERS]
        for name in ("round-robin", "least-reported"):
            with self.subTest(name=name):
                self.assertIsNone(self.reader(name, avoid=tried))


if __name__ == "__main__":
    unittest.main()
