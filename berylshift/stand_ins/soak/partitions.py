"""Partitions between host processes, as files that tell each what not to reach."""

import random
from collections import Counter
from collections.abc import Sequence
from pathlib import Path

PROGRAM = "partitioned_host"
PROGRAM_DIRECTORY = Path(__file__).parent / "program"
BLOCKED_VARIABLE = "SOAK_BLOCKED"


class Partitions:
    """Partitions of hosts, by IP address; several may overlap."""

    def __init__(self, directory: Path):
        """Keep the hosts' files in ``directory``."""
        self._directory = directory
        self._blocked: dict[str, Counter[str]] = {}

    def environment(self, ip: str) -> dict[str, str]:
        """Return the variables with which a host's process starts."""
        return {
            "PYTHONPATH": str(PROGRAM_DIRECTORY),
            BLOCKED_VARIABLE: str(self._path(ip)),
        }

    def begin(self, island: Sequence[str], others: Sequence[str]) -> None:
        """Let no datagram pass between two groups of hosts."""
        self._add(island, others, 1)

    def end(self, island: Sequence[str], others: Sequence[str]) -> None:
        """End what ``begin`` began."""
        self._add(island, others, -1)

    def _add(self, island: Sequence[str], others: Sequence[str], change: int) -> None:
        for ips, far in ((island, others), (others, island)):
            for ip in ips:
                blocked = self._blocked.setdefault(ip, Counter())
                blocked.update(dict.fromkeys(far, change))
                found = [name for name, count in blocked.items() if count > 0]
                self._path(ip).write_text(" ".join(found), encoding="utf-8")

    def _path(self, ip: str) -> Path:
        return self._directory / f"{ip}.blocked"


def draw_island(rng: random.Random, ips: Sequence[str]) -> tuple[list[str], list[str]]:
    """Return two groups of hosts that are not empty."""
    count = rng.randint(1, max(1, len(ips) // 2))
    island = rng.sample(ips, count)
    return island, [ip for ip in ips if ip not in island]
