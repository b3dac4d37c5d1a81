"""Tests of the import rules between the packages of ``process/``."""

import ast
import unittest
from pathlib import Path

import berylshift

PACKAGE = Path(berylshift.__file__).parent
# Packages that each package may import. Those of the native API still depend on each
# other and are left out.
ALLOWED_IMPORTS = {
    "targets": set(),
    "datagrams": set(),
    "queues": {"datagrams"},
    "streams": {"datagrams"},
    "directory": set(),
    "quarantine": {"directory"},
    "leader_tasks": {"directory"},
    "usage": {"leader_tasks", "directory"},
    "scaling": {"leader_tasks", "directory", "targets"},
    "gossip": {"directory", "quarantine", "targets", "usage"},
}
PREFIX = "berylshift.process."
# What decision modules under load may import, besides each other: typed messages, the
# state they read, and the routes. They neither perform I/O nor know who calls them.
SCHEDULING = "berylshift.scheduling"
SCHEDULING_MAY_IMPORT = (
    "berylshift.ids",
    "berylshift.messages",
    "berylshift.process",
    "berylshift.targets",
    "berylshift.version",
)


def packages_imported(path: Path) -> set[str]:
    """Return the packages of ``process/`` that a module imports."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    modules = [node.module for node in ast.walk(tree) if _is_from_import(node)]
    found = [name.removeprefix(PREFIX) for name in modules if name.startswith(PREFIX)]
    return {name.partition(".")[0] for name in found}


def modules_imported(path: Path) -> set[str]:
    """Return the project's modules that a module imports."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    found = {node.module for node in ast.walk(tree) if _is_from_import(node)}
    return {name for name in found if name.startswith("berylshift.")}


def _is_from_import(node: ast.AST) -> bool:
    return isinstance(node, ast.ImportFrom) and node.module is not None


class LayoutTest(unittest.TestCase):
    """Imports follow the allowed dependencies."""

    def test_packages_import_only_what_is_allowed(self):
        """Guards against import cycles between packages."""
        for package, allowed in ALLOWED_IMPORTS.items():
            for path in (PACKAGE / "process" / package).glob("*.py"):
                with self.subTest(module=f"{package}/{path.name}"):
                    self.assertLessEqual(packages_imported(path) - {package}, allowed)

    def test_process_packages_do_not_import_connection_or_platform(self):
        """Guards against decision logic that can't be simulated without a network."""
        for package in ALLOWED_IMPORTS:
            for path in (PACKAGE / "process" / package).glob("*.py"):
                text = path.read_text(encoding="utf-8")
                with self.subTest(module=f"{package}/{path.name}"):
                    self.assertNotIn("berylshift.platform", text)
                    self.assertNotIn("berylshift.connection", text)

    def test_scheduling_imports_state_and_messages_only(self):
        """Guards against decisions that can't be tested without a network."""
        for path in (PACKAGE / "scheduling").glob("*.py"):
            for name in modules_imported(path):
                with self.subTest(module=path.name, imported=name):
                    self.assertTrue(
                        name.startswith((SCHEDULING, *SCHEDULING_MAY_IMPORT))
                    )

    def test_process_packages_do_not_import_scheduling(self):
        """Guards against state that depends on the decisions that read it."""
        for package in ("targets", "gossip", "quarantine", "usage"):
            for path in (PACKAGE / "process" / package).glob("*.py"):
                with self.subTest(module=f"{package}/{path.name}"):
                    text = path.read_text(encoding="utf-8")
                    self.assertNotIn(SCHEDULING, text)


if __name__ == "__main__":
    unittest.main()
