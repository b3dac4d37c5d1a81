"""The test runner: a hanging test fails and the run goes on."""

import io
import subprocess
import sys
import unittest

from berylshift.tools.run_tests import NamingResult

SCRIPT = """
import io, unittest
from berylshift.tools.run_tests import NamingResult

class Hanging(unittest.TestCase):
    def test_a_hangs(self):
        while True:
            pass
    def test_b_passes(self):
        pass

class Quick(NamingResult):
    seconds = 0.3

suite = unittest.TestLoader().loadTestsFromTestCase(Hanging)
result = unittest.TextTestRunner(io.StringIO(), resultclass=Quick).run(suite)
print(sorted(result.failed), result.passed)
"""


class TimeoutTest(unittest.TestCase):
    """Each test has its time."""

    def test_a_hanging_test_fails_and_the_next_one_runs(self):
        # A real fault once made a wait round to nothing: the loop spun, the run hung,
        # and ten minutes went by before anyone knew which test it was.
        out = subprocess.run(
            [sys.executable, "-c", SCRIPT], capture_output=True, text=True, check=True
        )
        self.assertEqual(
            out.stdout.strip(),
            "['__main__.Hanging.test_a_hangs'] ['__main__.Hanging.test_b_passes']",
        )

    def test_failures_of_parts_are_named(self):
        class Parts(unittest.TestCase):
            def test_parts(self):
                with self.subTest(part=1):
                    self.fail()

        result = NamingResult(unittest.runner._WritelnDecorator(io.StringIO()), True, 1)
        Parts("test_parts").run(result)
        self.assertEqual(len(result.failed), 1)
        # This run's own alarm goes on after the inner one's end.
        result._alarm.start()


if __name__ == "__main__":
    unittest.main()
