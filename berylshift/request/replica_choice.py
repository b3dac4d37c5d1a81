"""Which replicas one request may still go to."""

from berylshift.ids import InstanceId, ServiceName
from berylshift.messages.replicas import Replica
from berylshift.messages.routed import Prompt
from berylshift.process.directory.pools import Pool
from berylshift.request.placement import Placement
from berylshift.request.relay_parts import RelayParts
from berylshift.request.relay_result import NoRoomError
from berylshift.request.routed_watch import RoutedWatch


class ReplicaChoice:
    """The replicas of a service, as they are left for one request.

    Those that it was sent to are left out, those that take nothing now by their own
    word, and those that its crash watch keeps it from.
    """

    def __init__(self, parts: RelayParts, service: ServiceName, watch: RoutedWatch):
        """Choose for a request to ``service`` that is watched by ``watch``."""
        self._parts = parts
        self._service = service
        self._watch = watch
        self._tried: list[InstanceId] = []
        self._reserved: InstanceId | None = None

    def pool(self) -> Pool:
        """Return the service's replicas that take new work."""
        return self._parts.replicas.pool(self._service)

    def plain(self, begun: bool) -> Placement | None:
        """Return where a request without a prompt should go.

        ``begun``: its caller has a part of the answer.
        """
        return self._parts.placer.plain(self.pool(), self.avoided(begun), self._now())

    def answerer(
        self, prompt: Prompt, reader: Replica | None, begun: bool
    ) -> Placement | None:
        """Return the engine that should answer what ``reader`` has read."""
        return self._parts.placer.answerer(
            self.pool(), prompt, reader, self.avoided(begun), self._now()
        )

    def avoided(self, begun: bool) -> list[InstanceId]:
        """Return the replicas that the request may not go to."""
        closed = self._parts.throttle.blocked(self._now())
        avoided = [*self._tried, *(name for name in closed if name != self._reserved)]
        return self._watch.avoided(self.pool(), avoided, begun)

    def reserve(self, instance: InstanceId) -> None:
        """Keep a throttled replica's turn while the prompt is read elsewhere.

        Other requests would use it meanwhile, and this one be refused after a reading
        in vain.
        """
        if self._parts.throttle.reserve(instance, self._now()):
            self._reserved = instance

    def use(self, instance: InstanceId) -> bool:
        """Note a send to a replica; return whether its turn was kept for it."""
        self._tried.append(instance)
        reserved, self._reserved = self._reserved, None
        return instance == reserved

    def check_room(self) -> None:
        """Raise ``NoRoomError`` if those that are left are throttled, all of them."""
        throttle, now = self._parts.throttle, self._now()
        closed = set(throttle.blocked(now)).difference(self._tried)
        answerers = [rep.instance for rep in self.pool().answerers]
        waits = [
            throttle.retry_after(name, now) for name in answerers if name in closed
        ]
        if waits:
            raise NoRoomError(min(waits))

    def _now(self) -> float:
        return self._parts.clock.monotonic()
