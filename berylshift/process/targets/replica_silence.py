"""Which replicas send nothing although responses to this host are open."""

from dataclasses import dataclass

from berylshift.ids import InstanceId

# Events of a stream are far closer together.
SILENT_SECONDS = 0.5


@dataclass
class _Awaited:
    """A replica with ``open`` responses; ``heard_at`` in monotonic seconds."""

    open: int
    heard_at: float


class ReplicaSilence:
    """When replicas with open responses were last heard from."""

    def __init__(self) -> None:
        """Start without open responses."""
        self._awaited: dict[InstanceId, _Awaited] = {}

    def begin(self, instance: InstanceId, now: float) -> None:
        """Record that a request was sent to a replica."""
        awaited = self._awaited.get(instance)
        if awaited is None:
            self._awaited[instance] = _Awaited(1, now)
        else:
            awaited.open += 1

    def record_heard(self, instance: InstanceId, now: float) -> None:
        """Record that a replica sent a part of a response."""
        awaited = self._awaited.get(instance)
        if awaited is not None:
            awaited.heard_at = now

    def end(self, instance: InstanceId) -> None:
        """Record the end of a response, or that it is no longer waited for."""
        awaited = self._awaited[instance]
        awaited.open -= 1
        if not awaited.open:
            del self._awaited[instance]

    def silent(self, now: float) -> list[InstanceId]:
        """Return the replicas that have sent nothing for ``SILENT_SECONDS``."""
        return [
            instance
            for instance, awaited in self._awaited.items()
            if now - awaited.heard_at >= SILENT_SECONDS
        ]
