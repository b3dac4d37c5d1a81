"""When a window's usage is due, and the time that windows go by."""

import unittest
from datetime import UTC, datetime, timedelta

from berylshift.process.usage.filtered_clock import SAMPLES_KEPT, TrueTime
from berylshift.process.usage.windows import MOST_PLACES, UsageTerms, UsageWindows

WINDOW = 100
END = 505.0
EARLY = 0.0


class UsageWindowsTest(unittest.TestCase):
    """Windows of five seconds, due ten seconds after their end."""

    def setUp(self):
        self.windows = UsageWindows(UsageTerms(5.0, 10.0))

    def due(self, after, done=WINDOW - 1, place=0, started=EARLY):
        return self.windows.due(END + after, done, place, started)

    def test_windows_by_number(self):
        self.assertEqual(self.windows.at(500.0), WINDOW)
        self.assertEqual(self.windows.at(504.999), WINDOW)
        self.assertEqual(
            (self.windows.start(WINDOW), self.windows.end(WINDOW)), (500, END)
        )

    def test_a_window_is_settled_some_time_after_its_end(self):
        """Guards against a report without the last counts, which are on their way."""
        self.assertEqual(self.due(1.9), [])
        self.assertEqual(self.due(2.1), [WINDOW])

    def test_the_first_in_order_goes_first_and_all_are_in_time(self):
        waits = []
        for place in range(MOST_PLACES + 1):
            wait = next(t / 10 for t in range(200) if self.due(t / 10, place=place))
            waits.append(wait)
        self.assertEqual(waits, sorted(set(waits)))
        self.assertLess(waits[-1], 9.0)
        self.assertEqual(self.due(9.0, place=MOST_PLACES + 1), [])

    def test_what_is_done_is_not_due_and_what_was_missed_is(self):
        self.assertEqual(self.due(3.1, done=WINDOW), [])
        self.assertEqual(self.due(3.1, done=WINDOW - 2), [WINDOW - 1, WINDOW])

    def test_a_host_that_started_within_a_window_leaves_it_to_others(self):
        """Guards against a report that lacks what began before its host did."""
        self.assertEqual(self.due(3.1, started=501.0), [])
        self.assertEqual(self.due(8.1, started=501.0), [WINDOW + 1])

    def test_late_is_before_the_platform_says_so(self):
        self.assertFalse(self.windows.is_late(WINDOW, END + 9.7))
        self.assertTrue(self.windows.is_late(WINDOW, END + 9.9))


class SteppedClock:
    """A calendar that is stepped, beside a clock that runs evenly."""

    def __init__(self):
        self.time = 1000.0
        self.step = 0.0

    def now(self):
        return datetime(2026, 1, 1, tzinfo=UTC) + timedelta(
            seconds=self.time + self.step
        )

    def run(self, true_time, seconds):
        for _ in range(seconds):
            self.time += 1.0
            true_time.look()


class TrueTimeTest(unittest.TestCase):
    """The calendar time, whatever the host's own does."""

    def setUp(self):
        self.clock = SteppedClock()
        self.found = TrueTime(self.clock, lambda: self.clock.time)

    def error(self) -> float:
        true = datetime(2026, 1, 1, tzinfo=UTC).timestamp() + self.clock.time
        return self.found.now() - true

    def test_a_step_and_its_return_change_nothing(self):
        """Guards against requests counted in windows of seconds before or after."""
        self.clock.run(self.found, 20)
        self.clock.step = 2.0
        self.clock.run(self.found, 10)
        self.assertAlmostEqual(self.error(), 0.0, places=3)
        self.clock.step = 0.0
        self.clock.run(self.found, 20)
        self.assertAlmostEqual(self.error(), 0.0, places=3)

    def test_a_clock_that_is_set_right_is_believed_in_the_end(self):
        self.clock.step = 2.0
        self.clock.run(self.found, SAMPLES_KEPT)
        self.assertAlmostEqual(self.error(), 2.0, places=3)


if __name__ == "__main__":
    unittest.main()
