"""Who may import whom among the rooms of ``process/``."""

import ast
import unittest
from pathlib import Path

import berylshift

PACKAGE = Path(berylshift.__file__).parent
# What each room may import of the others. Those of the own interface still lean on each
# other and are left out.
ALLOWED = {
    "targets": set(),
    "directory": set(),
    "quarantine": {"directory"},
    "leader_tasks": {"directory"},
    "usage": {"leader_tasks", "directory"},
    "scaling": {"leader_tasks", "directory", "targets"},
    "gossip": {"directory", "quarantine", "targets", "usage"},
}
PREFIX = "berylshift.process."


def rooms_imported(path: Path) -> set[str]:
    """Return the rooms of ``process/`` that a module imports."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    modules = [node.module for node in ast.walk(tree) if _is_from(node)]
    found = [name.removeprefix(PREFIX) for name in modules if name.startswith(PREFIX)]
    return {name.partition(".")[0] for name in found}


def _is_from(node: ast.AST) -> bool:
    return isinstance(node, ast.ImportFrom) and node.module is not None


class LayoutTest(unittest.TestCase):
    """Imports follow the order of the rooms."""

    def test_rooms_import_only_what_they_may(self):
        """Guards against circles: a room could no longer be read or tested alone."""
        for room, allowed in ALLOWED.items():
            for path in (PACKAGE / "process" / room).glob("*.py"):
                with self.subTest(module=f"{room}/{path.name}"):
                    self.assertLessEqual(rooms_imported(path) - {room}, allowed)

    def test_decisions_in_process_know_no_connection_and_no_platform(self):
        """Guards against a decision that can't be played without a network."""
        for room in ALLOWED:
            for path in (PACKAGE / "process" / room).glob("*.py"):
                text = path.read_text(encoding="utf-8")
                with self.subTest(module=f"{room}/{path.name}"):
                    self.assertNotIn("berylshift.platform", text)
                    self.assertNotIn("berylshift.connection", text)


if __name__ == "__main__":
    unittest.main()
