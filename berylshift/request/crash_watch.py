"""Ties one request to the replicas that end under it."""

import logging

from berylshift.clock import Clock
from berylshift.connection.target_client import TargetClient
from berylshift.ids import Fingerprint, InstanceId
from berylshift.messages.fingerprint import shown
from berylshift.messages.replicas import Replica
from berylshift.messages.routed import RoutedRequest
from berylshift.process.fleet.quarantine import Quarantine
from berylshift.process.fleet.replica_set import ReplicaSet
from berylshift.request.fingerprint import BODY_BYTES, Fingerprints

# How long a replica that broke off gets to take a new connection: many times the way
# to another region, and short for the caller, who waits for the next send meanwhile.
CONNECT_SECONDS = 0.1

logger = logging.getLogger(__name__)


class QuarantinedError(Exception):
    """Replicas ended under a request; it is held back for ``seconds``."""

    def __init__(self, crashes: int, seconds: float):
        """Keep for how long."""
        super().__init__(f"{crashes} replicas ended under it")
        self.seconds = seconds


class CrashWatch:
    """One request, from the host's first look at it to its end."""

    def __init__(
        self,
        quarantine: Quarantine,
        fingerprints: Fingerprints,
        replicas: ReplicaSet,
        client: TargetClient,
        clock: Clock,
        req: RoutedRequest,
    ):
        """Watch ``req``."""
        self._quarantine = quarantine
        self._fingerprints = fingerprints
        self._replicas = replicas
        self._client = client
        self._clock = clock
        self._req = req
        self._fingerprint: Fingerprint | None = None

    @property
    def fingerprint(self) -> Fingerprint | None:
        """Return what the tries of one request share, once the body is there."""
        if self._fingerprint is None:
            self._fingerprint = self._fingerprints.of(self._req)
        return self._fingerprint

    async def identify(self) -> None:
        """Wait for enough of the body, if a request that begins alike is held back."""
        if self.fingerprint is not None or not len(self._quarantine):
            return
        if self._quarantine.may_hold(self._fingerprints.head_of(self._req)):
            await self._req.body.wait_for_start(BODY_BYTES)

    def check(self) -> None:
        """Raise ``QuarantinedError`` if the request may not go out now."""
        request = self.fingerprint
        if request is None:
            return
        wait = self._quarantine.wait(request, self._clock.monotonic())
        if wait > 0:
            raise QuarantinedError(self._quarantine.crashes(request), wait)

    async def broke_off(self, replica: Replica) -> None:
        """Note that a replica broke off while it had the request.

        One that leaves ends on purpose, and what it still runs breaks with it. One that
        takes a new connection has reset another, and lives: what it breaks off is not
        the request's fault. It counts as ended meanwhile, should this be cancelled.
        """
        request = self.fingerprint
        if request is None or self._replicas.is_leaving(replica):
            return
        self._quarantine.broke_off(request, replica.instance, self._clock.monotonic())
        lives = await self._client.takes_connections(
            replica.instance, replica.address, CONNECT_SECONDS
        )
        now = self._clock.monotonic()
        if lives:
            self._quarantine.lives(replica.instance, now)
        self._log(request, replica.instance, lives, now)

    def _log(
        self, request: Fingerprint, instance: InstanceId, lives: bool, now: float
    ) -> None:
        logger.info(
            "replica broke off",
            extra={
                "request": self._req.id,
                "same": shown(request),
                "instance": instance,
                "lives": lives,
                "crashes": self._quarantine.crashes(request),
                "held_for": round(self._quarantine.wait(request, now), 1),
            },
        )

    def answered(self, replica: Replica, sent_at: float) -> None:
        """Note that a replica answered what was sent to it at ``sent_at``."""
        is_listed = not self._replicas.is_leaving(replica)
        listed_at = self._replicas.confirmed_at if is_listed else None
        self._quarantine.answered(replica.instance, sent_at, listed_at)

    def finished(self) -> None:
        """Note that the request ran to its end."""
        if self.fingerprint is not None:
            self._quarantine.finished(self.fingerprint, self._clock.monotonic())
