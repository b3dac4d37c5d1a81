"""Ties one request to the targets that end under it."""

import logging
from collections.abc import Awaitable, Callable

from berylshift.clock import Clock
from berylshift.ids import Fingerprint, InstanceId, RequestId
from berylshift.messages.fingerprint import shown
from berylshift.process.quarantine.quarantine import Quarantine

# How long a target that broke off gets to take a new connection: many times the way to
# another region, and short for the caller, who waits for the next send meanwhile.
CONNECT_SECONDS = 0.1

logger = logging.getLogger(__name__)


class QuarantinedError(Exception):
    """Targets ended under a request; it is held back for ``seconds``."""

    def __init__(self, crashes: int, seconds: float):
        """Keep for how long."""
        super().__init__(f"{crashes} replicas ended under it")
        self.seconds = seconds


class CrashWatch:
    """One request, from the host's first look at it to its end.

    ``fingerprint`` is ``None`` until the request can be told from others; nothing is
    held against it, or back, till then.
    """

    def __init__(self, quarantine: Quarantine, clock: Clock, request: RequestId):
        """Watch ``request``."""
        self._quarantine = quarantine
        self._clock = clock
        self._request = request
        self.fingerprint: Fingerprint | None = None

    def check(self, begun: bool = False) -> None:
        """Raise ``QuarantinedError`` if the request may not go out now.

        One whose answer has ``begun`` goes on while it is only suspect: its caller
        holds a part that would be lost.
        """
        if self.fingerprint is None:
            return
        now = self._clock.monotonic()
        wait = self._quarantine.remaining_seconds(self.fingerprint, now, begun)
        if wait > 0:
            crashes = self._quarantine.crash_count(self.fingerprint)
            raise QuarantinedError(crashes, wait)

    async def broke_off(
        self, instance: InstanceId, takes_connections: Callable[[], Awaitable[bool]]
    ) -> None:
        """Note that a target broke off while it had the request.

        One that takes a new connection has reset another, and lives: what it breaks off
        is not the request's fault. It counts as ended meanwhile, should this be
        cancelled.
        """
        request = self.fingerprint
        if request is None:
            return
        self._quarantine.record_crash(request, instance, self._clock.monotonic())
        lives = await takes_connections()
        now = self._clock.monotonic()
        if lives:
            self._quarantine.record_reconnect(instance, now)
        logger.info(
            "replica broke off",
            extra={
                "request": self._request,
                "same": shown(request),
                "instance": instance,
                "lives": lives,
                "crashes": self._quarantine.crash_count(request),
                "held_for": round(self._quarantine.remaining_seconds(request, now), 1),
            },
        )

    def answered(
        self, instance: InstanceId, sent_at: float, listed_at: float | None = None
    ) -> None:
        """Note that a target answered what was sent to it at ``sent_at``.

        ``listed_at``: as of when it is known to be listed by this very start.
        """
        self._quarantine.record_response(instance, sent_at, listed_at)

    def finished(self) -> None:
        """Note that the request ran to its end."""
        if self.fingerprint is not None:
            self._quarantine.record_completion(
                self.fingerprint, self._clock.monotonic()
            )
