"""Predictions from the durations of recent requests."""

import unittest

from berylshift.clock import ManualClock
from berylshift.ids import RouteName
from berylshift.process.targets.recent_durations import (
    MIN_SAMPLES,
    SAFETY_FACTOR,
    SAMPLE_TTL_SECONDS,
    UNKNOWN,
    RecentDurations,
)

NOTES = RouteName("notes")


class RecentDurationsTest(unittest.TestCase):
    """A host that shuts down asks by when requests have almost certainly ended."""

    def setUp(self):
        self.clock = ManualClock()
        self.durations = RecentDurations(self.clock)

    def run_requests(self, *seconds: float, is_sample: bool = True) -> None:
        """Run requests of ``seconds`` each, one after the other."""
        for duration in seconds:
            req = self.durations.begin(NOTES)
            self.clock.advance(duration)
            self.durations.end(req, is_sample)

    def test_too_few_requests_predict_nothing(self):
        self.run_requests(*[0.5] * (MIN_SAMPLES - 1))
        self.assertEqual(self.durations.upper_bound(NOTES), UNKNOWN)

    def test_bound_is_the_longest_duration_and_a_margin(self):
        self.run_requests(*[0.5] * MIN_SAMPLES, 2.0, 0.1)
        self.assertEqual(self.durations.upper_bound(NOTES), 2.0 * SAFETY_FACTOR)

    def test_refused_requests_are_no_samples(self):
        self.run_requests(*[0.001] * 20, is_sample=False)
        self.assertEqual(self.durations.upper_bound(NOTES), UNKNOWN)

    def test_old_requests_are_no_samples(self):
        self.run_requests(*[0.5] * MIN_SAMPLES)
        self.clock.advance(SAMPLE_TTL_SECONDS)
        self.assertEqual(self.durations.upper_bound(NOTES), UNKNOWN)

    def test_hanging_request_counts_by_its_age(self):
        """Guards against shutdown bounds that ignore engines which hang."""
        self.run_requests(*[0.5] * MIN_SAMPLES)
        self.durations.begin(NOTES)
        self.clock.advance(6.0)
        self.assertEqual(self.durations.upper_bound(NOTES), 6.0 * SAFETY_FACTOR)

    def test_routes_of_former_versions_are_dropped(self):
        for number in range(1000):
            req = self.durations.begin(RouteName(f"route-{number}"))
            self.durations.end(req, True)
            self.clock.advance(1.0)
        self.assertLess(len(self.durations._routes), 2 * SAMPLE_TTL_SECONDS + 3)

    def test_routes_have_separate_samples(self):
        self.run_requests(*[0.5] * MIN_SAMPLES)
        self.assertEqual(self.durations.upper_bound(RouteName("other")), UNKNOWN)


if __name__ == "__main__":
    unittest.main()
