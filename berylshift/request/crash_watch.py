"""Attributes target crashes to a request."""

import logging
from collections.abc import Awaitable, Callable

from berylshift.clock import Clock
from berylshift.ids import BlockId, BlockKey, Fingerprint, InstanceId, RequestId
from berylshift.messages.block_key import block_of
from berylshift.messages.fingerprint import fingerprint_hex
from berylshift.process.quarantine.quarantine import Quarantine

# How long a target whose connection broke gets to accept a new one: many times the
# round trip to another region, and short for a caller that waits for the next attempt.
PROBE_TIMEOUT_SECONDS = 0.1

logger = logging.getLogger(__name__)


class QuarantinedError(Exception):
    """The request crashed targets and is quarantined for ``seconds``."""

    def __init__(self, crashes: int, seconds: float, what: str = "it"):
        """Keep the seconds of the quarantine of ``what``."""
        super().__init__(f"{crashes} replicas ended under {what}")
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
        self.block_keys: tuple[BlockKey, ...] = ()

    def check(self, response_started: bool = False) -> None:
        """Raise ``QuarantinedError`` if the request is quarantined.

        ``response_started``: a request that is only suspect continues, since its caller
        would lose the part that it has received.
        """
        now = self._clock.monotonic()
        self._check_blocks(now)
        if self.fingerprint is None:
            return
        wait = self._quarantine.remaining_seconds(
            self.fingerprint, now, response_started
        )
        if wait > 0:
            crashes = self._quarantine.crash_count(self.fingerprint)
            raise QuarantinedError(crashes, wait)

    def _check_blocks(self, now: float) -> None:
        """Raise ``QuarantinedError`` if a block of the prompt is held.

        That holds for a response that has started as well: its next replica would crash
        with all that runs there.
        """
        held = self._quarantine.blocks.held_block(self.block_keys, self._request, now)
        if held is not None:
            what = f"prompt block {held.block:08x}"
            raise QuarantinedError(held.crashes, held.seconds, what)

    @property
    def crash_count(self) -> int:
        """Return how many replicas crashed during the request, or under a block."""
        request, quarantine = self.fingerprint, self._quarantine
        crashes = 0 if request is None else quarantine.crash_count(request)
        return max(crashes, quarantine.blocks.crash_count(self.block_keys))

    async def on_connection_lost(
        self,
        instance: InstanceId,
        accepts_connections: Callable[[], Awaitable[bool]],
        decoded_seconds: float = 0.0,
    ) -> None:
        """Record that the connection to a target broke while it had the request.

        A target that accepts a new connection is alive and has only reset the old one,
        which is not the request's fault. It counts as crashed while it is probed, in
        case this task is cancelled. The target had been sending events for
        ``decoded_seconds``.
        """
        request = self.fingerprint
        if request is None:
            return
        self._quarantine.record_crash(request, instance, self._clock.monotonic())
        is_alive = await accepts_connections()
        now = self._clock.monotonic()
        if is_alive:
            self._quarantine.record_reconnect(instance, now)
        elif self._quarantine.crash_count(request) <= 1:
            # A request that repeats a crash explains it by itself.
            self._quarantine.blocks.record_crash(
                self.block_keys, instance, now, decoded_seconds
            )
        logger.info(
            "connection to replica lost",
            extra={
                "request": self._request,
                "same": fingerprint_hex(request),
                "blocks": self.blocks,
                "keys": [f"{block_of(key):08x}" for key in self.block_keys],
                "block_crashes": self._quarantine.blocks.crash_count(self.block_keys),
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

    def on_completed(self, instance: InstanceId) -> None:
        """Record that the request ran to completion at a target."""
        now = self._clock.monotonic()
        self._quarantine.blocks.record_end(self.block_keys, instance, now)
        if self.fingerprint is None:
            return
        crashes = self._quarantine.crash_count(self.fingerprint)
        self._quarantine.record_completion(self.fingerprint, now)
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
