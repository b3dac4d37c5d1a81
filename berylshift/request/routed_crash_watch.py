"""Attributes replica crashes to a routed request."""

from collections.abc import Iterable

from berylshift.ids import Fingerprint, InstanceId, ServiceName
from berylshift.messages.replicas import Replica
from berylshift.messages.routed import RoutedRequest
from berylshift.process.directory.pools import Pool
from berylshift.request.crash_watch import (
    PROBE_TIMEOUT_SECONDS,
    CrashWatch,
    QuarantinedError,
)
from berylshift.request.fingerprint import MAX_HASHED_BODY_BYTES
from berylshift.request.isolation import (
    is_last_remaining,
    isolation_replicas,
    remaining_replicas,
)
from berylshift.request.relay_dependencies import RelayDependencies

# Retry-After of a suspect request for which only the last replica is left. Crashed
# replicas have restarted by then.
LAST_REPLICA_RETRY_SECONDS = 2.0


class RoutedCrashWatch:
    """Reports what a relay observes to the request's crash watch."""

    def __init__(
        self, deps: RelayDependencies, req: RoutedRequest, service: ServiceName
    ):
        """Watch ``req``, which goes to ``service``."""
        self._deps = deps
        self._req = req
        self._watch = CrashWatch(deps.quarantine, deps.clock, req.id)
        self._watch.block_keys = deps.fingerprints.block_keys(req, service)
        if req.prompt is not None:
            self._watch.blocks = tuple(block.id for block in req.prompt.prefix_blocks)

    @property
    def fingerprint(self) -> Fingerprint | None:
        """Return the fingerprint, which is the same in each retry by the caller.

        ``None``: too little of the body has arrived.
        """
        self._update_fingerprint()
        return self._watch.fingerprint

    def _update_fingerprint(self) -> None:
        """Compute the fingerprint once enough of the body has arrived."""
        if self._watch.fingerprint is None:
            self._watch.fingerprint = self._deps.fingerprints.hash_request(self._req)

    async def wait_for_fingerprint(self) -> None:
        """Wait for enough of the body if its start matches a quarantined request."""
        quarantine = self._deps.quarantine
        if self.fingerprint is not None or not len(quarantine):
            return
        if quarantine.may_be_quarantined(self._deps.fingerprints.head_hash(self._req)):
            await self._req.body.wait_for_start(MAX_HASHED_BODY_BYTES)

    def check(self) -> None:
        """Raise ``QuarantinedError`` if the request is quarantined."""
        self._update_fingerprint()
        self._watch.check()

    def avoided(
        self, pool: Pool, tried: Iterable[InstanceId], response_started: bool
    ) -> list[InstanceId]:
        """Return the replicas that the request must not be sent to.

        Crashed replicas are excluded at once, long before their entries expire. A
        suspect request is isolated on a few of the others. If only the last replica is
        left and the response has not started, raise ``QuarantinedError``.
        """
        quarantine = self._deps.quarantine
        if not quarantine.has_suspects:
            return list(tried)
        now = self._deps.clock.monotonic()
        listed = [rep.instance for rep in pool.replicas]
        crashed = [name for name in listed if quarantine.has_crashed(name, now)]
        found = [*tried, *crashed]
        crashes = self._watch.crash_count
        if not crashes:
            return found
        left = remaining_replicas(pool.decode_engines, found)
        is_suspect = crashes > 1 or bool(self._own_crashes)
        is_last = is_last_remaining(left, pool.decode_engines)
        if is_suspect and is_last and not response_started:
            raise QuarantinedError(crashes, LAST_REPLICA_RETRY_SECONDS)
        allowed = isolation_replicas(left)
        return found + [rep.instance for rep in left if rep not in allowed]

    @property
    def _own_crashes(self) -> int:
        """Return how many replicas crashed during this very request."""
        request = self.fingerprint
        return 0 if request is None else self._deps.quarantine.crash_count(request)

    async def on_connection_lost(
        self, replica: Replica, decoded_seconds: float
    ) -> None:
        """Record that the connection to a replica broke while it had the request.

        The replica had been sending events for ``decoded_seconds``. A draining one
        stops on purpose, so it is not recorded as a crash.
        """
        if self.fingerprint is None or self._deps.replicas.is_leaving(replica):
            return
        client, instance = self._deps.client, replica.instance
        await self._watch.on_connection_lost(
            instance,
            lambda: client.accepts_connections(
                instance, replica.address, PROBE_TIMEOUT_SECONDS
            ),
            decoded_seconds,
        )

    def on_response(self, replica: Replica, sent_at: float) -> None:
        """Record that a replica responded to an attempt sent at ``sent_at``."""
        replicas = self._deps.replicas
        is_listed = not replicas.is_leaving(replica)
        listed_at = replicas.confirmed_at if is_listed else None
        self._watch.on_response(replica.instance, sent_at, listed_at)

    def on_completed(self, replica: Replica) -> None:
        """Record that the request ran to completion at ``replica``."""
        self._update_fingerprint()
        self._watch.on_completed(replica.instance)
