"""The simple placings do what their names say, and no more."""

import random
import unittest

from berylshift.messages.load_digest import Urgency
from berylshift.messages.routed import ReportedLoad
from berylshift.process.directory.pools import Pool
from berylshift.process.targets.engine_speeds import EngineSpeeds
from berylshift.process.targets.target_load import TargetLoads
from berylshift.process.targets.warm_parts import WarmParts
from berylshift.process.telling.peer_loads import PeerLoads
from berylshift.request.placement_policies import PLACEMENT_POLICIES, PlacementContext
from berylshift.settings import CHOICES
from berylshift.tests.test_request_placement import DECODERS, ENGINES, READERS, prompt


class BaselineTest(unittest.TestCase):
    """Each placing over the same engines."""

    def setUp(self):
        self.loads = TargetLoads()
        self.parts = PlacementContext(
            self.loads,
            PeerLoads("me"),
            WarmParts(),
            EngineSpeeds(),
            "d1",
            random.Random(1),
        )
        self.pool = Pool(ENGINES)

    def choose_prefill(self, name: str, of=None, avoid=()):
        placing = PLACEMENT_POLICIES[name](self.parts)
        return placing.choose_prefill(
            self.pool, of or prompt(), Urgency.USUAL, avoid, 0.0
        )

    def test_settings_name_each(self):
        self.assertEqual(set(CHOICES["entry", "placing"]), set(PLACEMENT_POLICIES))

    def test_round_robin_takes_each_in_turn(self):
        placing = PLACEMENT_POLICIES["round-robin"](self.parts)
        found = [
            placing.choose_prefill(self.pool, prompt(), Urgency.USUAL, (), 0.0).target
            for _ in READERS
        ]
        self.assertEqual({rep.instance for rep in found}, {r.instance for r in READERS})

    def test_least_reported_goes_by_the_last_word(self):
        for number, rep in enumerate(DECODERS):
            self.loads.heard(rep.instance, ReportedLoad(5 - number, 0, 64), 0.0)
        placing = PLACEMENT_POLICIES["least-reported"](self.parts)
        place = placing.choose_decode(self.pool, prompt(), READERS[0], (), 0.0)
        self.assertIs(place.target, DECODERS[-1])

    def test_without_homes_a_kept_prompt_draws_nobody(self):
        placing = PLACEMENT_POLICIES["no-homes"](self.parts)
        of = prompt()
        home = self.pool.homes(of.prefix_blocks[-1].id)[0]
        for part in of.prefix_blocks:
            self.parts.warm.sent(part.id, part.tokens, home.instance, 0.0)
        self.loads.sent(home.instance, 5_000, Urgency.USUAL)
        place = placing.choose_prefill(self.pool, of, Urgency.USUAL, (), 0.0)
        self.assertIsNot(place.target, home)
        self.assertIs(self.choose_prefill("warm", of).target, home)

    def test_tried_replicas_are_left_out(self):
        tried = [rep.instance for rep in READERS]
        for name in ("round-robin", "least-reported"):
            with self.subTest(name=name):
                self.assertIsNone(self.choose_prefill(name, avoid=tried))


if __name__ == "__main__":
    unittest.main()
