"""What a starting daemon loads."""

import subprocess
import sys
import unittest

# The applications of the two interfaces and what only one of them needs.
OWN_INTERFACE = ("berylshift.application", "berylshift.process.control.pool_loop")
PRINT_LOADED = "import sys, {module}; print(*sorted(sys.modules))"


def loaded_with(module: str) -> set[str]:
    """Return the modules of a fresh process that imports ``module``."""
    out = subprocess.run(
        [sys.executable, "-c", PRINT_LOADED.format(module=module)],
        capture_output=True,
        text=True,
        check=True,
    )
    return set(out.stdout.split())


class StartTest(unittest.TestCase):
    """Power comes back for all hosts at once; each has a tenth of a core.

    Callers find no host that answers until the interpreter has loaded the daemon.
    What a host on the platform never runs must not be loaded before it serves: it was
    0.2 s of 0.8 s of processor time.
    """

    def test_a_host_on_the_platform_loads_nothing_of_the_own_interface(self):
        loaded = loaded_with("berylshift.daemon, berylshift.serve_entry")
        self.assertIn("berylshift.entry_application", loaded)
        self.assertEqual([name for name in OWN_INTERFACE if name in loaded], [])

    def test_the_command_line_loads_neither_interface(self):
        loaded = loaded_with("berylshift.daemon")
        self.assertNotIn("berylshift.entry_application", loaded)
        self.assertNotIn("berylshift.application", loaded)


if __name__ == "__main__":
    unittest.main()
