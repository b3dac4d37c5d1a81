"""Tests when a window's report is due, and the clock that windows are based on."""

import unittest
from datetime import UTC, datetime, timedelta

from berylshift.process.usage.filtered_clock import MAX_SAMPLES, FilteredClock
from berylshift.process.usage.windows import MAX_RANK, UsageSchedule, UsageWindows

WINDOW = 100
END = 505.0
EARLY = 0.0


class UsageWindowsTest(unittest.TestCase):
    """Windows of five seconds whose reports are due within ten seconds."""

    def setUp(self):
        self.windows = UsageWindows(UsageSchedule(5.0, 10.0))

    def due(self, after, last_done=WINDOW - 1, rank=0, started_at=EARLY):
        return self.windows.due(END + after, last_done, rank, started_at)

    def test_windows_by_number(self):
        self.assertEqual(self.windows.window_at(500.0), WINDOW)
        self.assertEqual(self.windows.window_at(504.999), WINDOW)
        self.assertEqual(
            (self.windows.start_of(WINDOW), self.windows.end_of(WINDOW)), (500, END)
        )

    def test_a_window_is_settled_some_time_after_its_end(self):
        """Guards against a report without the last counts, still in transit."""
        self.assertEqual(self.due(1.9), [])
        self.assertEqual(self.due(2.1), [WINDOW])

    def test_lower_ranks_go_first_and_all_are_in_time(self):
        waits = []
        for rank in range(MAX_RANK + 1):
            wait = next(t / 10 for t in range(200) if self.due(t / 10, rank=rank))
            waits.append(wait)
        self.assertEqual(waits, sorted(set(waits)))
        self.assertLess(waits[-1], 9.0)
        self.assertEqual(self.due(9.0, rank=MAX_RANK + 1), [])

    def test_done_windows_are_not_due_and_missed_ones_are(self):
        self.assertEqual(self.due(3.1, last_done=WINDOW), [])
        self.assertEqual(self.due(3.1, last_done=WINDOW - 2), [WINDOW - 1, WINDOW])

    def test_a_host_that_started_within_a_window_leaves_it_to_others(self):
        """Guards against a report without the requests that started before its host."""
        self.assertEqual(self.due(3.1, started_at=501.0), [])
        self.assertEqual(self.due(8.1, started_at=501.0), [WINDOW + 1])

    def test_reports_are_late_before_the_platform_rejects_them(self):
        self.assertFalse(self.windows.is_late(WINDOW, END + 9.7))
        self.assertTrue(self.windows.is_late(WINDOW, END + 9.9))


class SteppedClock:
    """A wall clock that can be stepped, next to a steady clock."""

    def __init__(self):
        self.time = 1000.0
        self.step = 0.0

    def now(self):
        return datetime(2026, 1, 1, tzinfo=UTC) + timedelta(
            seconds=self.time + self.step
        )

    def run(self, filtered_clock, seconds):
        for _ in range(seconds):
            self.time += 1.0
            filtered_clock.sample()


class FilteredClockTest(unittest.TestCase):
    """The filtered time under steps of the host's wall clock."""

    def setUp(self):
        self.clock = SteppedClock()
        self.filtered = FilteredClock(self.clock, lambda: self.clock.time)

    def error(self) -> float:
        actual = datetime(2026, 1, 1, tzinfo=UTC).timestamp() + self.clock.time
        return self.filtered.now() - actual

    def test_a_short_step_has_no_effect(self):
        """Guards against counting requests in earlier or later windows."""
        self.clock.run(self.filtered, 20)
        self.clock.step = 2.0
        self.clock.run(self.filtered, 10)
        self.assertAlmostEqual(self.error(), 0.0, places=3)
        self.clock.step = 0.0
        self.clock.run(self.filtered, 20)
        self.assertAlmostEqual(self.error(), 0.0, places=3)

    def test_a_persistent_step_takes_effect(self):
        self.clock.step = 2.0
        self.clock.run(self.filtered, MAX_SAMPLES)
        self.assertAlmostEqual(self.error(), 2.0, places=3)


if __name__ == "__main__":
    unittest.main()
