"""Tests of the modules that a starting daemon imports."""

import subprocess
import sys
import unittest

import trio

from berylshift.daemon import run_logged

# Modules that only the native API needs.
NATIVE_MODULES = ("berylshift.application", "berylshift.process.control.pool_loop")
PRINT_MODULES = "import sys, {module}; print(*sorted(sys.modules))"


def modules_loaded_by(module: str) -> set[str]:
    """Return the modules loaded in a new process that imports ``module``."""
    out = subprocess.run(
        [sys.executable, "-c", PRINT_MODULES.format(module=module)],
        capture_output=True,
        text=True,
        check=True,
    )
    return set(out.stdout.split())


class StartTest(unittest.TestCase):
    """Guards against a start delayed by imports that the host never uses.

    When power returns, all hosts start at once with a tenth of a core each, and no host
    responds until the interpreter has imported the daemon. Importing the other API as
    well took 0.2 s of 0.8 s of CPU time.
    """

    def test_platform_host_imports_nothing_of_the_native_api(self):
        loaded = modules_loaded_by("berylshift.daemon, berylshift.serve_entry")
        self.assertIn("berylshift.entry_application", loaded)
        self.assertEqual([name for name in NATIVE_MODULES if name in loaded], [])

    def test_command_line_imports_neither_api(self):
        loaded = modules_loaded_by("berylshift.daemon")
        self.assertNotIn("berylshift.entry_application", loaded)
        self.assertNotIn("berylshift.application", loaded)


class EndByErrorTest(unittest.TestCase):
    """An error that nothing handles ends the process."""

    def test_error_is_logged_with_its_place(self):
        """Guards against a process whose log does not show what ended it."""

        async def fail_in_task() -> None:
            raise RuntimeError("cause")

        async def serve() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(fail_in_task)

        with self.assertLogs("berylshift.daemon", "CRITICAL") as logs:
            with self.assertRaises(ExceptionGroup):
                run_logged(serve)
        self.assertIn("fail_in_task", logs.output[0])
        self.assertIn("RuntimeError: cause", logs.output[0])


if __name__ == "__main__":
    unittest.main()
