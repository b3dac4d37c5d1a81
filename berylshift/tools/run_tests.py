"""Runs all tests; prints each test's name, the known failures and the totals.

A test listed in KNOWN-RED.txt may fail; any other failure, more than
MAX_KNOWN_FAILURES entries there, or a run without tests makes the run fail. A test that
hangs is interrupted and fails.
"""

import faulthandler
import logging
import signal
import sys
import unittest
from pathlib import Path

KNOWN_FAILURES_FILE = Path("KNOWN-RED.txt")
MAX_KNOWN_FAILURES = 3
TESTS = "berylshift.tests"
# 40 times the slowest test, which takes 3 s on an idle machine.
TEST_SECONDS = 120.0
# Extra time for a test that swallows its timeout error, before the process exits.
EXIT_DELAY_SECONDS = 30.0


class TestTimeoutError(Exception):
    """A test exceeded its time limit."""


class TestTimeout:
    """Interrupts a test that hangs, so that the run reports it and goes on.

    A signal is used, since a loop that never awaits can't be cancelled by the event
    loop. If the test still does not return, all stacks are printed and the process
    exits.
    """

    def __init__(self, seconds: float):
        """Limit each test to ``seconds``."""
        self._seconds = seconds
        signal.signal(signal.SIGALRM, self._on_alarm)

    def start(self) -> None:
        """Start the timer of a test."""
        signal.setitimer(signal.ITIMER_REAL, self._seconds)
        faulthandler.dump_traceback_later(self._seconds + EXIT_DELAY_SECONDS, exit=True)

    def stop(self) -> None:
        """Stop the timer of a test."""
        signal.setitimer(signal.ITIMER_REAL, 0)
        faulthandler.cancel_dump_traceback_later()

    def _on_alarm(self, signum, frame) -> None:
        raise TestTimeoutError(f"test exceeded its time limit of {self._seconds} s")


class RecordingResult(unittest.TextTestResult):
    """Records which tests passed and failed; limits the time of each test."""

    seconds = TEST_SECONDS

    def __init__(self, *args, **kwargs):
        """Start with no test recorded."""
        super().__init__(*args, **kwargs)
        self._timeout = TestTimeout(self.seconds)
        self.passed: list[str] = []
        self.failed: set[str] = set()

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Start the test and its timer."""
        super().startTest(test)
        self._timeout.start()

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Stop the test and its timer."""
        self._timeout.stop()
        super().stopTest(test)

    def addSuccess(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Record a pass."""
        super().addSuccess(test)
        self.passed.append(test.id())

    def addFailure(self, test: unittest.TestCase, err) -> None:  # noqa: N802
        """Record a failure."""
        super().addFailure(test, err)
        self.failed.add(test.id())

    def addError(self, test: unittest.TestCase, err) -> None:  # noqa: N802
        """Record an error."""
        super().addError(test, err)
        self.failed.add(test.id())

    def addSubTest(self, test, subtest, err) -> None:  # noqa: N802
        """Record the failure of a subtest."""
        super().addSubTest(test, subtest, err)
        if err is not None:
            self.failed.add(test.id())


def read_known_failures() -> list[str]:
    """Return the lines of KNOWN-RED.txt: test, cause, issue."""
    if not KNOWN_FAILURES_FILE.exists():
        return []
    lines = KNOWN_FAILURES_FILE.read_text(encoding="utf-8").splitlines()
    return [line for line in lines if line.strip()]


def main() -> int:
    """Run the tests and return the exit status."""
    logging.getLogger().addHandler(logging.NullHandler())
    loader = unittest.TestLoader()
    suite = loader.discover(TESTS.replace(".", "/"), top_level_dir=".")
    runner = unittest.TextTestRunner(
        sys.stdout, verbosity=2, resultclass=RecordingResult
    )
    result = runner.run(suite)
    known = read_known_failures()
    for line in known:
        sys.stdout.write(f"known red: {line}\n")
    known_ids = {line.split(",")[0].strip() for line in known}
    unexpected = result.failed - known_ids
    sys.stdout.write(f"{len(result.passed)} passed, {len(result.failed)} failed\n")
    if not result.testsRun or len(known) > MAX_KNOWN_FAILURES:
        return 1
    return 1 if unexpected or loader.errors else 0


if __name__ == "__main__":
    sys.exit(main())
