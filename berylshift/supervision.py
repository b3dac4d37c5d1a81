"""Decides what an error ends: one task, one loop for a moment, or the process.

An error of a task that serves one request, reads one row or handles one message ends
that task alone. A loop that fails starts again after a pause. The process ends by what
it can't run without: settings and listeners at its start, a listener that takes no more
connections, and what is no ``Exception``.
"""

import logging
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Protocol

import trio

logger = logging.getLogger(__name__)

FIRST_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 5.0
# A loop that has run for this long starts again after the first pause.
STABLE_SECONDS = 10.0

Loop = Callable[[], Awaitable[None]]


class Supervisor(Protocol):
    """Runs the loops of a process."""

    @property
    def failures(self) -> Counter[str]:
        """Return how often each loop has failed."""

    async def run(self, name: str, loop: Loop) -> None:
        """Run a loop until it is cancelled or returns."""


class PropagatingSupervisor:
    """Lets errors of loops end the process, so that no test passes over one."""

    def __init__(self) -> None:
        """Start without failures."""
        self.failures: Counter[str] = Counter()

    async def run(self, name: str, loop: Loop) -> None:
        """Run a loop; raise its error."""
        await loop()


class RestartingSupervisor:
    """Starts a loop that fails again, after a pause that grows."""

    def __init__(self) -> None:
        """Start without failures."""
        self.failures: Counter[str] = Counter()

    async def run(self, name: str, loop: Loop) -> None:
        """Run a loop; log and count its errors."""
        pause = FIRST_PAUSE_SECONDS
        while True:
            started_at = trio.current_time()
            try:
                await loop()
                return
            except Exception:
                self.failures[name] += 1
                if trio.current_time() - started_at >= STABLE_SECONDS:
                    pause = FIRST_PAUSE_SECONDS
                logger.exception(
                    "loop failed", extra={"loop": name, "starts_again_in": pause}
                )
            await trio.sleep(pause)
            pause = min(2 * pause, MAX_PAUSE_SECONDS)
