"""Settings that change while the process runs."""

import tempfile
import unittest
from pathlib import Path

import trio

from berylshift.reload import SettingsFile
from berylshift.settings import read_settings
from berylshift.tests.support import VirtualTestCase

TEXT = "[host]\nname = a\ndomain = b\n[entry]\nretry_ratio = {ratio}\n"


class SettingsFileTest(VirtualTestCase):
    """A file that is rewritten under a running process."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name, "host.ini")
        self.write(0.2)
        self.adopted: list[float] = []
        cfg = read_settings(str(self.path)).unwrap()
        self.file = SettingsFile(str(self.path), cfg, self.adopt)

    def adopt(self, cfg) -> None:
        self.adopted.append(cfg.entry.retry_ratio)

    def write(self, ratio: object) -> None:
        self.path.write_text(TEXT.format(ratio=ratio), encoding="utf-8")

    def test_signal(self):
        self.write(0.35)
        self.file.reload("SIGHUP")
        self.assertEqual(self.adopted, [0.35])

    def test_bad_settings_leave_the_last_good_ones(self):
        self.write("much")
        with self.assertLogs("berylshift.reload", "ERROR") as logs:
            self.file.reload("SIGHUP")
        self.assertEqual(self.adopted, [])
        self.assertIn("retry_ratio", str(logs.records[0].reasons))

    def test_a_file_that_is_no_text_leaves_the_last_good_ones(self):
        """A file of settings is read while it is written, or is damaged.

        The word to read it anew ends the process: all callers' connections close with
        their requests under way.
        """
        damaged = (b"[host]\nname = \xff\n", "[host]\naddress = 10.0.0.1:\u00b2\n")
        for data in damaged:
            with self.subTest(data=data):
                text = TEXT.format(ratio=0.5).replace("[host]\n", "")
                start = data if isinstance(data, bytes) else data.encode()
                self.path.write_bytes(start + text.encode())
                with self.assertLogs("berylshift.reload", "ERROR"):
                    self.file.reload("SIGHUP")
                self.assertEqual(self.adopted, [])

    def test_missing_file_leaves_the_last_good_ones(self):
        self.path.unlink()
        with self.assertLogs("berylshift.reload", "ERROR"):
            self.file.reload("SIGHUP")
        self.assertEqual(self.adopted, [])

    def test_change_without_a_signal_is_seen(self):
        async def task():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.file.watch)
                await trio.sleep(3)
                self.write(0.125)
                await trio.sleep(1.5)
                nursery.cancel_scope.cancel()

        self.run_virtual(task)
        self.assertEqual(self.adopted, [0.125])

    def test_what_needs_a_restart_is_named(self):
        text = TEXT.format(ratio=0.2).replace("domain = b", "domain = c")
        self.path.write_text(text, encoding="utf-8")
        with self.assertLogs("berylshift.reload", "INFO") as logs:
            self.file.reload("SIGHUP")
        self.assertEqual(logs.records[0].need_restart, ["host"])


if __name__ == "__main__":
    unittest.main()
