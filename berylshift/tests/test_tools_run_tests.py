"""Tests of the test runner's time limit and records."""

import io
import subprocess
import sys
import unittest

from berylshift.tools.run_tests import RecordingResult

SCRIPT = """
import io, unittest
from berylshift.tools.run_tests import RecordingResult

class HangTest(unittest.TestCase):
    def test_a_hangs(self):
        while True:
            pass
    def test_b_passes(self):
        pass

class ShortLimitResult(RecordingResult):
    seconds = 0.3

suite = unittest.TestLoader().loadTestsFromTestCase(HangTest)
result = unittest.TextTestRunner(io.StringIO(), resultclass=ShortLimitResult).run(suite)
print(sorted(result.failed), result.passed)
"""


class TimeoutTest(unittest.TestCase):
    """The time limit of each test, and failures of subtests."""

    def test_a_hanging_test_fails_and_the_next_one_runs(self):
        # A wait whose time is rounded down to zero makes an event loop spin without
        # end. Without a limit the whole run hangs and does not name the test.
        out = subprocess.run(
            [sys.executable, "-c", SCRIPT], capture_output=True, text=True, check=True
        )
        self.assertEqual(
            out.stdout.strip(),
            "['__main__.HangTest.test_a_hangs'] ['__main__.HangTest.test_b_passes']",
        )

    def test_failures_of_subtests_are_recorded(self):
        class Subtests(unittest.TestCase):
            def test_subtests(self):
                with self.subTest(number=1):
                    self.fail()

        result = RecordingResult(
            unittest.runner._WritelnDecorator(io.StringIO()), True, 1
        )
        Subtests("test_subtests").run(result)
        self.assertEqual(len(result.failed), 1)
        # The inner result's stopTest cancelled the timer of this test; restart it.
        result._timeout.start()


if __name__ == "__main__":
    unittest.main()
