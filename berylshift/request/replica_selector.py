"""The replicas that one request may still be sent to."""

from collections.abc import Iterable

from berylshift.ids import InstanceId, ServiceName
from berylshift.messages.replicas import Replica
from berylshift.messages.routed import Prompt
from berylshift.process.directory.pools import Pool
from berylshift.request.relay_dependencies import RelayDependencies
from berylshift.request.relay_result import AllThrottledError
from berylshift.request.routed_crash_watch import RoutedCrashWatch
from berylshift.request.stream_binding import StreamBinding
from berylshift.scheduling.placement import Placement


class ReplicaSelector:
    """Chooses among the replicas of a service that are left for one request.

    It leaves out replicas that the request was already sent to, replicas that are
    throttled, and those that the request's crash watch excludes.
    """

    def __init__(
        self,
        deps: RelayDependencies,
        service: ServiceName,
        watch: RoutedCrashWatch,
        binding: StreamBinding,
    ):
        """Choose for a request to ``service`` that ``watch`` tracks for crashes.

        A stream that has begun stays at the software version of its ``binding``.
        """
        self._deps = deps
        self._service = service
        self._watch = watch
        self._binding = binding
        self._tried: list[InstanceId] = []
        self._reserved: InstanceId | None = None

    def pool(self) -> Pool:
        """Return the replicas that take new work and may be sent the request."""
        return self._binding.narrow(self._deps.replicas.pool(self._service))

    def choose_plain(
        self, response_started: bool, avoid: Iterable[InstanceId] = ()
    ) -> Placement | None:
        """Return the placement of a request without a prompt; not on ``avoid``.

        ``response_started`` says whether its caller has received part of the response.
        """
        return self._deps.placer.choose_plain(
            self.pool(), [*self.excluded(response_started), *avoid], self._now()
        )

    def choose_decode(
        self,
        prompt: Prompt,
        prefill_engine: Replica | None,
        response_started: bool,
        event_gap_seconds: float = 0.0,
        avoid: Iterable[InstanceId] = (),
    ) -> Placement | None:
        """Return the engine that should decode after ``prefill_engine``.

        It is none of ``avoid``.
        ``event_gap_seconds`` is the longest acceptable gap between two events.
        """
        return self._deps.placer.choose_decode(
            self.pool(),
            prompt,
            prefill_engine,
            [*self.excluded(response_started), *avoid],
            self._now(),
            event_gap_seconds,
        )

    def excluded(self, response_started: bool) -> list[InstanceId]:
        """Return the replicas that the request may not be sent to."""
        throttled = self._deps.throttle.blocked(self._now())
        excluded = [
            *self._tried,
            *(name for name in throttled if name != self._reserved),
        ]
        return self._watch.avoided(self.pool(), excluded, response_started)

    def reserve(self, instance: InstanceId) -> None:
        """Reserve a throttled replica's send slot while another engine prefills.

        Otherwise another request could take the slot meanwhile, and this one would be
        refused after a wasted prefill.
        """
        if self._deps.throttle.reserve(instance, self._now()):
            self._reserved = instance

    def record_send(self, instance: InstanceId) -> bool:
        """Record a send to a replica; return whether a slot was reserved there."""
        self._tried.append(instance)
        reserved, self._reserved = self._reserved, None
        return instance == reserved

    def allow_again(self, instance: InstanceId) -> None:
        """Allow another send to a replica that refused for another engine's fault."""
        self._tried.remove(instance)

    def check_not_throttled(self) -> None:
        """Raise ``AllThrottledError`` if all remaining decode engines are throttled."""
        throttle, now = self._deps.throttle, self._now()
        throttled = set(throttle.blocked(now)).difference(self._tried)
        decode_instances = [rep.instance for rep in self.pool().decode_engines]
        waits = [
            throttle.retry_after(name, now)
            for name in decode_instances
            if name in throttled
        ]
        if waits:
            raise AllThrottledError(min(waits))

    def _now(self) -> float:
        return self._deps.clock.monotonic()
