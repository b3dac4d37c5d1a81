"""Tests of the modules that a starting daemon imports."""

import subprocess
import sys
import unittest

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


if __name__ == "__main__":
    unittest.main()
