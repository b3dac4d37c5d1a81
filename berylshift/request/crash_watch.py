"""Attributes target crashes to a request."""

import logging
from collections.abc import Awaitable, Callable

from berylshift.clock import Clock
from berylshift.ids import BlockId, Fingerprint, InstanceId, RequestId
from berylshift.messages.fingerprint import fingerprint_hex
from berylshift.process.quarantine.quarantine import Quarantine

# How long a target whose connection broke gets to accept a new one: many times the
# round trip to another region, and short for a caller that waits for the next attempt.
PROBE_TIMEOUT_SECONDS = 0.1

logger = logging.getLogger(__name__)


class QuarantinedError(Exception):
    """The request crashed targets and is quarantined for ``seconds``."""

    def __init__(self, crashes: int, seconds: float):
        """Keep the seconds of the quarantine."""
        super().__init__(f"{crashes} replicas ended under it")
        self.seconds = seconds


class CrashWatch:
    """Watches one request for crashes of its targets.

    ``fingerprint`` is ``None`` until the request can be distinguished from others;
    until then it is neither blamed for crashes nor quarantined.
    """

    def __init__(self, quarantine: Quarantine, clock: Clock, request: RequestId):
        """Watch ``request``."""
        self._quarantine = quarantine
        self._clock = clock
        self._request = request
        self.fingerprint: Fingerprint | None = None
        # The blocks of its prompt that other requests may share.
        self.blocks: tuple[BlockId, ...] = ()

    def check(self, response_started: bool = False) -> None:
        """Raise ``QuarantinedError`` if the request is quarantined.

        ``response_started``: a request that is only suspect continues, since its caller
        would lose the part that it has received.
        """
        if self.fingerprint is None:
            return
        now = self._clock.monotonic()
        wait = self._quarantine.remaining_seconds(
            self.fingerprint, now, response_started
        )
        if wait > 0:
            crashes = self._quarantine.crash_count(self.fingerprint)
            raise QuarantinedError(crashes, wait)

    async def on_connection_lost(
        self, instance: InstanceId, accepts_connections: Callable[[], Awaitable[bool]]
    ) -> None:
        """Record that the connection to a target broke while it had the request.

        A target that accepts a new connection is alive and has only reset the old one,
        which is not the request's fault. It counts as crashed while it is probed, in
        case this task is cancelled.
        """
        request = self.fingerprint
        if request is None:
            return
        self._quarantine.record_crash(request, instance, self._clock.monotonic())
        is_alive = await accepts_connections()
        now = self._clock.monotonic()
        if is_alive:
            self._quarantine.record_reconnect(instance, now)
        logger.info(
            "connection to replica lost",
            extra={
                "request": self._request,
                "same": fingerprint_hex(request),
                "blocks": self.blocks,
                "instance": instance,
                "lives": is_alive,
                "crashes": self._quarantine.crash_count(request),
                "held_for": round(self._quarantine.remaining_seconds(request, now), 1),
            },
        )

    def on_response(
        self, instance: InstanceId, sent_at: float, listed_at: float | None = None
    ) -> None:
        """Record that a target responded to an attempt sent at ``sent_at``.

        ``listed_at``: when this instance was last confirmed as listed.
        """
        self._quarantine.record_response(instance, sent_at, listed_at)

    def on_completed(self) -> None:
        """Record that the request ran to completion."""
        if self.fingerprint is None:
            return
        crashes = self._quarantine.crash_count(self.fingerprint)
        self._quarantine.record_completion(self.fingerprint, self._clock.monotonic())
        if crashes:
            logger.info(
                "crash record cleared",
                extra={
                    "request": self._request,
                    "same": fingerprint_hex(self.fingerprint),
                    "blocks": self.blocks,
                    "crashes": crashes,
                },
            )
