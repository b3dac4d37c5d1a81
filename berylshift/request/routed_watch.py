"""Ties one routed request to the replicas that end under it."""

from collections.abc import Iterable

from berylshift.ids import Fingerprint, InstanceId
from berylshift.messages.replicas import Replica
from berylshift.messages.routed import RoutedRequest
from berylshift.process.directory.pools import Pool
from berylshift.request.crash_watch import (
    CONNECT_SECONDS,
    CrashWatch,
    QuarantinedError,
)
from berylshift.request.fingerprint import MAX_HASHED_BODY_BYTES
from berylshift.request.isolation import (
    is_last_remaining,
    isolation_replicas,
    remaining_replicas,
)
from berylshift.request.relay_parts import RelayParts

# When a suspect may come back that only the last replica could serve, in seconds: those
# that ended have started again by then.
LAST_SECONDS = 2.0


class RoutedWatch:
    """Tells a request's crash watch what a relay sees."""

    def __init__(self, parts: RelayParts, req: RoutedRequest):
        """Watch ``req``."""
        self._parts = parts
        self._req = req
        self._watch = CrashWatch(parts.quarantine, parts.clock, req.id)

    @property
    def fingerprint(self) -> Fingerprint | None:
        """Return what the tries of one request share, once the body is there."""
        if self._watch.fingerprint is None:
            self._watch.fingerprint = self._parts.fingerprints.hash_request(self._req)
        return self._watch.fingerprint

    async def identify(self) -> None:
        """Wait for enough of the body, if a request that begins alike is held back."""
        quarantine = self._parts.quarantine
        if self.fingerprint is not None or not len(quarantine):
            return
        if quarantine.may_hold(self._parts.fingerprints.head_hash(self._req)):
            await self._req.body.wait_for_start(MAX_HASHED_BODY_BYTES)

    def check(self) -> None:
        """Raise ``QuarantinedError`` if the request may not go out now."""
        if self.fingerprint is not None:
            self._watch.check()

    def avoided(
        self, pool: Pool, tried: Iterable[InstanceId], begun: bool
    ) -> list[InstanceId]:
        """Return the replicas that the request may not go to.

        Those that ended are known at once, long before their entries lapse. A suspect
        goes to few of the others; raise ``QuarantinedError`` if only the last one is
        left and its answer has not ``begun``.
        """
        quarantine = self._parts.quarantine
        if not quarantine.has_suspects:
            return list(tried)
        now = self._parts.clock.monotonic()
        listed = [rep.instance for rep in pool.replicas]
        ended = [name for name in listed if quarantine.has_ended(name, now)]
        found = [*tried, *ended]
        crashes = 0
        if self.fingerprint is not None:
            crashes = quarantine.crashes(self.fingerprint)
        if not crashes:
            return found
        left = remaining_replicas(pool.answerers, found)
        if is_last_remaining(left, pool.answerers) and not begun:
            raise QuarantinedError(crashes, LAST_SECONDS)
        aside = isolation_replicas(left)
        return found + [rep.instance for rep in left if rep not in aside]

    async def broke_off(self, replica: Replica) -> None:
        """Note that a replica broke off while it had the request.

        One that leaves ends on purpose, and what it still runs breaks with it.
        """
        if self.fingerprint is None or self._parts.replicas.is_leaving(replica):
            return
        client, instance = self._parts.client, replica.instance
        await self._watch.broke_off(
            instance,
            lambda: client.accepts_connections(
                instance, replica.address, CONNECT_SECONDS
            ),
        )

    def answered(self, replica: Replica, sent_at: float) -> None:
        """Note that a replica answered what was sent to it at ``sent_at``."""
        replicas = self._parts.replicas
        is_listed = not replicas.is_leaving(replica)
        listed_at = replicas.confirmed_at if is_listed else None
        self._watch.answered(replica.instance, sent_at, listed_at)

    def finished(self) -> None:
        """Note that the request ran to its end."""
        if self.fingerprint is not None:
            self._watch.finished()
