"""Tests of reloading settings while the process runs."""

import tempfile
import unittest
from pathlib import Path

import trio

from berylshift.reload import SettingsFile
from berylshift.settings import read_settings
from berylshift.tests.support import VirtualTestCase

TEXT = "[host]\nname = a\ndomain = b\n[entry]\nretry_ratio = {ratio}\n"


class SettingsFileTest(VirtualTestCase):
    """A settings file that changes while a process runs."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name, "host.ini")
        self.write(0.2)
        self.applied: list[float] = []
        cfg = read_settings(str(self.path)).unwrap()
        self.file = SettingsFile(str(self.path), cfg, self.apply)

    def apply(self, cfg) -> None:
        self.applied.append(cfg.entry.retry_ratio)

    def write(self, ratio: object) -> None:
        self.path.write_text(TEXT.format(ratio=ratio), encoding="utf-8")

    def test_signal_reloads_settings(self):
        self.write(0.35)
        self.file.reload("SIGHUP")
        self.assertEqual(self.applied, [0.35])

    def test_invalid_settings_keep_the_last_valid_ones(self):
        self.write("much")
        with self.assertLogs("berylshift.reload", "ERROR") as logs:
            self.file.reload("SIGHUP")
        self.assertEqual(self.applied, [])
        self.assertIn("retry_ratio", str(logs.records[0].reasons))

    def test_settings_that_cannot_be_applied(self):
        """Guards against a reload that ends the process as it takes effect."""
        cfg = read_settings(str(self.path)).unwrap()
        self.file = SettingsFile(str(self.path), cfg, lambda cfg: 1 // 0)
        self.write(0.35)
        with self.assertLogs("berylshift.reload", "ERROR") as logs:
            self.file.reload("SIGHUP")
        self.assertIn("ZeroDivisionError", str(logs.records[-1].reasons))

    def test_undecodable_file_keeps_the_last_valid_settings(self):
        """Guards against a reload that ends the process.

        The file is read while it is being written, or is corrupt. An exception would
        end the process, and cut all open requests.
        """
        corrupt = (b"[host]\nname = \xff\n", "[host]\naddress = 10.0.0.1:\u00b2\n")
        for data in corrupt:
            with self.subTest(data=data):
                text = TEXT.format(ratio=0.5).replace("[host]\n", "")
                start = data if isinstance(data, bytes) else data.encode()
                self.path.write_bytes(start + text.encode())
                with self.assertLogs("berylshift.reload", "ERROR"):
                    self.file.reload("SIGHUP")
                self.assertEqual(self.applied, [])

    def test_missing_file_keeps_the_last_valid_settings(self):
        self.path.unlink()
        with self.assertLogs("berylshift.reload", "ERROR"):
            self.file.reload("SIGHUP")
        self.assertEqual(self.applied, [])

    def test_change_without_signal_is_detected(self):
        async def task():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.file.watch)
                await trio.sleep(3)
                self.write(0.125)
                await trio.sleep(1.5)
                nursery.cancel_scope.cancel()

        self.run_virtual(task)
        self.assertEqual(self.applied, [0.125])

    def test_sections_that_need_a_restart_are_logged(self):
        text = TEXT.format(ratio=0.2).replace("domain = b", "domain = c")
        self.path.write_text(text, encoding="utf-8")
        with self.assertLogs("berylshift.reload", "INFO") as logs:
            self.file.reload("SIGHUP")
        self.assertEqual(logs.records[0].need_restart, ["host"])


if __name__ == "__main__":
    unittest.main()
