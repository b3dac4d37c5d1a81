"""Logs delays of the event loop, during which a host accepts and answers nothing."""

import logging

import trio

from berylshift.clock import Clock

logger = logging.getLogger(__name__)

CHECK_INTERVAL_SECONDS = 0.25
# Shorter delays are usual on a small host while it takes over a large configuration.
LOGGED_DELAY_SECONDS = 0.25


class LoopMonitor:
    """Compares the time that a sleep took with the time that it should take."""

    def __init__(self, clock: Clock):
        """Measure by ``clock``."""
        self._clock = clock

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            before = self._clock.monotonic()
            await trio.sleep(CHECK_INTERVAL_SECONDS)
            delay = self._clock.monotonic() - before - CHECK_INTERVAL_SECONDS
            if delay >= LOGGED_DELAY_SECONDS:
                logger.info("event loop delayed", extra={"seconds": round(delay, 2)})
