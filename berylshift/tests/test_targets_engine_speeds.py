"""Learning the speeds of engines that no setting states."""

import random
import unittest

from berylshift.process.targets.engine_speeds import (
    MAX_SAMPLES,
    PRIOR_PREFILL_RATE,
    EngineSpeeds,
)
from berylshift.version.routes import EngineFacts

# Prompts of one host a second, and the time to adapt to a change of the engines.
PROMPTS_PER_SECOND = 14
ADAPTATION_SECONDS = 6.0
FACTORS = (1 / 8, 1 / 2, 2, 8)
MAX_RELATIVE_ERROR = 0.3


class PrefillRateTest(unittest.TestCase):
    """A host starts with engines of unknown speed; prompts vary by a factor of 20.

    With the speed of other engines it would reject requests that could be served, or
    accept eight times the work that can be done and serve all of it late.
    """

    def setUp(self):
        self.rng = random.Random(1)
        self.speeds = EngineSpeeds()

    def prefill(self, rate: float, prompts: int) -> None:
        """Record prefills at ``rate``, some of them behind an unknown queue."""
        for _ in range(prompts):
            tokens = int(min(40_000, self.rng.lognormvariate(8.3, 0.8)))
            ahead = self.rng.choice((0, 0, 1_000, 30_000))
            hidden = self.rng.choice((0, 0, 0, 5_000))
            seconds = 0.0015 + (tokens + ahead + hidden) / rate
            self.speeds.record_prefill("s", tokens, ahead, seconds)

    def check(self, rate: float) -> None:
        found = self.speeds.prefill_rate("s")
        self.assertLess(abs(found - rate), MAX_RELATIVE_ERROR * rate)

    def test_speed_is_learned_within_seconds(self):
        for factor in FACTORS:
            with self.subTest(factor=factor):
                self.setUp()
                self.prefill(factor * PRIOR_PREFILL_RATE, int(3 * PROMPTS_PER_SECOND))
                self.check(factor * PRIOR_PREFILL_RATE)

    def test_change_of_speed_is_followed(self):
        self.prefill(PRIOR_PREFILL_RATE, 10 * MAX_SAMPLES)
        for factor in (1 / 2, 2):
            with self.subTest(factor=factor):
                prompts = int(ADAPTATION_SECONDS * PROMPTS_PER_SECOND)
                self.prefill(factor * PRIOR_PREFILL_RATE, prompts)
                self.check(factor * PRIOR_PREFILL_RATE)

    def test_one_slow_second_does_not_change_the_estimate(self):
        self.prefill(PRIOR_PREFILL_RATE, 10 * MAX_SAMPLES)
        self.prefill(PRIOR_PREFILL_RATE / 8, PROMPTS_PER_SECOND)
        self.check(PRIOR_PREFILL_RATE)

    def test_prefills_behind_a_long_queue_are_no_samples(self):
        for _ in range(MAX_SAMPLES):
            self.speeds.record_prefill("s", 5_000, 100_000, 0.1)
        self.assertEqual(self.speeds.prefill_rate("s"), PRIOR_PREFILL_RATE)

    def test_services_have_separate_estimates(self):
        self.prefill(4 * PRIOR_PREFILL_RATE, MAX_SAMPLES)
        self.assertEqual(self.speeds.prefill_rate("other"), PRIOR_PREFILL_RATE)


class OtherTimesTest(unittest.TestCase):
    """KV cache transfers, running requests and slots."""

    def test_transfer_time_follows_the_configuration(self):
        slow_link = EngineSpeeds(lambda name: EngineFacts(64, 1, 35_136, 370_000.0))
        fast_link = EngineSpeeds(lambda name: EngineFacts(64, 1, 163_840, 12_000_000.0))
        self.assertAlmostEqual(
            slow_link.kv_transfer_seconds("s", 17_000), 0.016, delta=0.001
        )
        self.assertAlmostEqual(
            fast_link.kv_transfer_seconds("s", 17_000), 0.005, delta=0.001
        )

    def test_first_tokens_show_the_delay_per_running_request(self):
        speeds = EngineSpeeds()
        for running in range(30):
            speeds.record_first_token("s", 0, running, 0.003 + 0.0005 * (running + 1))
        self.assertAlmostEqual(
            speeds.seconds_per_running_request("s"), 0.0005, delta=0.0001
        )

    def test_slot_time_follows_the_response_time(self):
        speeds = EngineSpeeds()
        for _ in range(MAX_SAMPLES):
            speeds.record_response("s", 0.32)
        self.assertAlmostEqual(speeds.slot_seconds("s", 64), 0.005)

    def test_change_is_logged_once(self):
        speeds = EngineSpeeds()
        with self.assertLogs("berylshift.process.targets.engine_speeds") as logs:
            for _ in range(MAX_SAMPLES):
                speeds.record_response("s", 0.3)
        self.assertEqual(len(logs.records), 1)
        self.assertEqual(logs.records[0].value, 0.3)


if __name__ == "__main__":
    unittest.main()
