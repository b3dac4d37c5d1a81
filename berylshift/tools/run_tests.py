"""Runs all tests; prints each name, the known red ones, and the run's own count.

A test listed in KNOWN-RED.txt may fail; any other failure, an unlisted name there,
or a run without tests makes the run fail.
"""

import logging
import sys
import unittest
from pathlib import Path

KNOWN_RED = Path("KNOWN-RED.txt")
MOST_KNOWN_RED = 3
TESTS = "berylshift.tests"


class NamingResult(unittest.TextTestResult):
    """Keeps the names of what passed and failed."""

    def __init__(self, *args, **kwargs):
        """Start with nothing run."""
        super().__init__(*args, **kwargs)
        self.passed: list[str] = []
        self.failed: set[str] = set()

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
