"""Prompts that can still be on time go before those that can't."""

import unittest

import msgspec

from berylshift.messages.load_digest import Urgency
from berylshift.process.targets.prefill_send_rate import DECAY_SECONDS, PrefillSendRate
from berylshift.request.standing import (
    LAST_RANK,
    LEAST_LATE_SHARE,
    ON_TIME_SHARE,
    Standing,
    late_wait,
    rank_of,
    standing_of,
    urgency_in,
)
from berylshift.tests.entry_world import route
from berylshift.version.routes import RouteKind

WAY = route("x", RouteKind.STREAM, objective=0.2, rank=0)
SLOW_WAY = route("y", RouteKind.STREAM, objective=0.2, rank=7)


class StandingTest(unittest.TestCase):
    """The decision alone."""

    def test_a_prompt_is_late_before_its_objective_is_over(self):
        limit = ON_TIME_SHARE * WAY.objective
        self.assertIs(standing_of(WAY, limit), Standing.ON_TIME)
        self.assertIs(standing_of(WAY, limit + 0.001), Standing.LATE)

    def test_a_route_without_an_objective_is_never_late(self):
        way = msgspec.structs.replace(WAY, objective=0.0)
        self.assertIs(standing_of(way, 100.0), Standing.ON_TIME)

    def test_late_prompts_stand_behind_all_that_are_on_time(self):
        on_time = route("z", RouteKind.STREAM, objective=0.2, rank=4)
        late = rank_of(WAY, Standing.LATE)
        self.assertGreater(late, rank_of(on_time, Standing.ON_TIME))
        self.assertEqual(urgency_in(WAY, Standing.LATE), Urgency.PATIENT)
        self.assertEqual(urgency_in(WAY, Standing.ON_TIME), Urgency.URGENT)

    def test_no_rank_is_beyond_the_last(self):
        self.assertEqual(rank_of(SLOW_WAY, Standing.LATE), LAST_RANK)

    def test_a_late_prompt_expects_to_be_overtaken(self):
        self.assertEqual(late_wait(0.3, 0.0), 0.3)
        self.assertAlmostEqual(late_wait(0.3, 0.5), 0.6)
        self.assertAlmostEqual(late_wait(0.3, 5.0), 0.3 / LEAST_LATE_SHARE)


class ReadingFlowTest(unittest.TestCase):
    """How much reading goes before late prompts."""

    def test_a_steady_flow_is_its_rate(self):
        flow = PrefillSendRate()
        for number in range(100):
            flow.note_sent("s", 500, number * 0.1)
        self.assertAlmostEqual(flow.rate("s", 10.0), 5_000, delta=500)
        self.assertEqual(flow.rate("other", 10.0), 0.0)

    def test_a_flow_that_ended_is_forgotten(self):
        flow = PrefillSendRate()
        flow.note_sent("s", 50_000, 0.0)
        self.assertLess(flow.rate("s", 10 * DECAY_SECONDS), 5)


if __name__ == "__main__":
    unittest.main()
