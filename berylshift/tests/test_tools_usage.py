"""Tests of the usage command on hosts' logs."""

import tempfile
import unittest
from pathlib import Path

from cleo.testers.command_tester import CommandTester

from berylshift.tests.test_tools_log_reader import line
from berylshift.tools.log_reader import read_lines
from berylshift.tools.session import Exit
from berylshift.tools.usage_command import UsageCommand, read_windows

DONE = [
    line("10:00:02,000", "h1", "usage settled", window=7, requests=95, customers=16),
    line("10:00:02,100", "h1", "usage sent", window=7, answer="unknown"),
    line("10:00:02,500", "h1", "usage sent", window=7, answer="done"),
]
GIVEN_UP = line("10:00:19,000", "h2", "usage given up", window=8, reason="too late")


class UsageCommandTest(unittest.TestCase):
    """``berylshift usage --log``."""

    def run_command(self, lines: list[str]) -> CommandTester:
        with tempfile.TemporaryDirectory() as name:
            path = Path(name) / "hosts.log"
            path.write_text("\n".join(lines), encoding="utf-8")
            tester = CommandTester(UsageCommand())
            tester.execute(f"--log={path}")
        return tester

    def test_window_is_read_from_its_lines(self):
        window = read_windows(read_lines(reversed(DONE)))[0]
        self.assertEqual((window.requests, window.customers), (95, 16))
        self.assertEqual((window.answer, window.sends), ("done", 2))

    def test_unreported_window_fails_the_command(self):
        tester = self.run_command([*DONE, GIVEN_UP])
        self.assertEqual(tester.status_code, Exit.FAILED)
        self.assertIn("given up: too late", tester.io.fetch_output())
        self.assertEqual(self.run_command(DONE).status_code, Exit.OK)

    def test_reported_window_that_another_host_gives_up_is_reported(self):
        """Guards against "given up" for a window that the platform has accepted."""
        for later in (
            line("10:00:19,000", "h2", "usage given up", window=7, reason="too late"),
            line("10:00:19,000", "h2", "usage sent", window=7, answer="unknown"),
        ):
            tester = self.run_command([*DONE, later])
            self.assertEqual(tester.status_code, Exit.OK)

    def test_unanswered_report_that_is_given_up_may_have_arrived(self):
        """Guards against "given up" alone for a report that got no answer."""
        sent = line("10:00:18,000", "h1", "usage sent", window=8, answer="unknown")
        tester = self.run_command([sent, GIVEN_UP])
        self.assertEqual(tester.status_code, Exit.FAILED)
        self.assertIn(
            "given up: too late; may have been reported", tester.io.fetch_output()
        )

    def test_logs_without_a_window_fail_the_command(self):
        self.assertEqual(self.run_command(["nothing"]).status_code, Exit.FAILED)


if __name__ == "__main__":
    unittest.main()
