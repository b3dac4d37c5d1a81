"""How long requests take just now."""

import unittest

from berylshift.clock import ManualClock
from berylshift.ids import RouteName
from berylshift.process.targets.recent_durations import (
    KEPT_SECONDS,
    LEAST_SAMPLES,
    SAFETY,
    UNKNOWN,
    RecentTimes,
)

NOTES = RouteName("notes")


class RecentTimesTest(unittest.TestCase):
    """A host that stops asks in what time requests end all but surely."""

    def setUp(self):
        self.clock = ManualClock()
        self.times = RecentTimes(self.clock)

    def last(self, *seconds: float, tells: bool = True) -> None:
        """Have requests last ``seconds`` each, one after the other."""
        for length in seconds:
            req = self.times.begin(NOTES)
            self.clock.advance(length)
            self.times.end(req, tells)

    def test_too_few_requests_tell_nothing(self):
        self.last(*[0.5] * (LEAST_SAMPLES - 1))
        self.assertEqual(self.times.likely(NOTES), UNKNOWN)

    def test_the_longest_counts_and_more(self):
        self.last(*[0.5] * LEAST_SAMPLES, 2.0, 0.1)
        self.assertEqual(self.times.likely(NOTES), 2.0 * SAFETY)

    def test_refused_requests_tell_nothing(self):
        self.last(*[0.001] * 20, tells=False)
        self.assertEqual(self.times.likely(NOTES), UNKNOWN)

    def test_requests_of_a_while_ago_tell_nothing(self):
        self.last(*[0.5] * LEAST_SAMPLES)
        self.clock.advance(KEPT_SECONDS)
        self.assertEqual(self.times.likely(NOTES), UNKNOWN)

    def test_a_request_that_hangs_counts_by_its_age(self):
        """Engines stand still just as a host stops: nothing ends, and nothing would."""
        self.last(*[0.5] * LEAST_SAMPLES)
        self.times.begin(NOTES)
        self.clock.advance(6.0)
        self.assertEqual(self.times.likely(NOTES), 6.0 * SAFETY)

    def test_routes_of_former_versions_take_no_memory(self):
        for number in range(1000):
            req = self.times.begin(RouteName(f"route-{number}"))
            self.times.end(req, True)
            self.clock.advance(1.0)
        self.assertLess(len(self.times._routes), 2 * KEPT_SECONDS + 3)

    def test_each_route_has_its_own(self):
        self.last(*[0.5] * LEAST_SAMPLES)
        self.assertEqual(self.times.likely(RouteName("other")), UNKNOWN)


if __name__ == "__main__":
    unittest.main()
