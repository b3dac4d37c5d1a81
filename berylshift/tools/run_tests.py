"""Runs all tests; prints each name, the known red ones, and the run's own count.

A test listed in KNOWN-RED.txt may fail; any other failure, an unlisted name there,
or a run without tests makes the run fail. A test that hangs is ended and fails.
"""

import faulthandler
import logging
import signal
import sys
import unittest
from pathlib import Path

KNOWN_RED = Path("KNOWN-RED.txt")
MOST_KNOWN_RED = 3
TESTS = "berylshift.tests"
# The slowest test takes 3 s on an idle computer; one that takes 40 times as long hangs.
TEST_SECONDS = 120.0
# What a test that swallows its time-out gets on top, before the run itself is ended.
LAST_SECONDS = 30.0


class TestTimeoutError(Exception):
    """A test did not end in time."""


class TestAlarm:
    """Ends a test that hangs, so that the run names it instead of hanging too.

    A loop that never waits can't be cancelled from inside: the signal interrupts it
    wherever it is. Should the test go on all the same, all stacks are printed and the
    process ends.
    """

    def __init__(self, seconds: float):
        """Give each test so many seconds."""
        self._seconds = seconds
        signal.signal(signal.SIGALRM, self._ring)

    def start(self) -> None:
        """Begin a test."""
        signal.setitimer(signal.ITIMER_REAL, self._seconds)
        faulthandler.dump_traceback_later(self._seconds + LAST_SECONDS, exit=True)

    def stop(self) -> None:
        """End a test."""
        signal.setitimer(signal.ITIMER_REAL, 0)
        faulthandler.cancel_dump_traceback_later()

    def _ring(self, signum, frame) -> None:
        raise TestTimeoutError(f"not over after {self._seconds} s")


class NamingResult(unittest.TextTestResult):
    """Keeps the names of what passed and failed; bounds each test."""

    seconds = TEST_SECONDS

    def __init__(self, *args, **kwargs):
        """Start with nothing run."""
        super().__init__(*args, **kwargs)
        self._alarm = TestAlarm(self.seconds)
        self.passed: list[str] = []
        self.failed: set[str] = set()

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Start the test's time."""
        super().startTest(test)
        self._alarm.start()

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Stop the test's time."""
        self._alarm.stop()
        super().stopTest(test)

    def addSuccess(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Keep a pass."""
        super().addSuccess(test)
        self.passed.append(test.id())

    def addFailure(self, test: unittest.TestCase, err) -> None:  # noqa: N802
        """Keep a failure."""
        super().addFailure(test, err)
        self.failed.add(test.id())

    def addError(self, test: unittest.TestCase, err) -> None:  # noqa: N802
        """Keep an error."""
        super().addError(test, err)
        self.failed.add(test.id())

    def addSubTest(self, test, subtest, err) -> None:  # noqa: N802
        """Keep the failure of a part."""
        super().addSubTest(test, subtest, err)
        if err is not None:
            self.failed.add(test.id())


def known_red() -> list[str]:
    """Return the lines of KNOWN-RED.txt: test, cause, issue."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return [line for line in lines if line.strip()]


def main() -> int:
    """Run the tests and return the exit status."""
    logging.getLogger().addHandler(logging.NullHandler())
    loader = unittest.TestLoader()
    suite = loader.discover(TESTS.replace(".", "/"), top_level_dir=".")
    runner = unittest.TextTestRunner(sys.stdout, verbosity=2, resultclass=NamingResult)
    result = runner.run(suite)
    listed = known_red()
    for line in listed:
        sys.stdout.write(f"known red: {line}\n")
    excused = {line.split(",")[0].strip() for line in listed}
    failed = result.failed - excused
    sys.stdout.write(f"{len(result.passed)} passed, {len(result.failed)} failed\n")
    if not result.testsRun or len(listed) > MOST_KNOWN_RED:
        return 1
    return 1 if failed or loader.errors else 0


if __name__ == "__main__":
    sys.exit(main())
