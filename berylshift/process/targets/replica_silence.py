"""Which replicas send nothing although responses to this host are due."""

from dataclasses import dataclass, field

from berylshift.ids import InstanceId

# Events of a stream are far closer together.
SILENT_SECONDS = 0.5
# A single response may be slow by itself; more that are due together show a silence.
MIN_DUE_RESPONSES = 2


@dataclass
class _Awaited:
    """A replica's open responses; times in monotonic seconds.

    ``due``: when each is due, by a key of its own. ``streams``: the keys of those that
    have begun.
    """

    heard_at: float
    due: dict[object, float] = field(default_factory=dict)
    streams: set[object] = field(default_factory=set)

    def is_silent(self, now: float) -> bool:
        """Return whether nothing was heard although something was due."""
        if now - self.heard_at < SILENT_SECONDS:
            return False
        due = [key for key, at in self.due.items() if at <= now]
        return len(due) >= MIN_DUE_RESPONSES or not self.streams.isdisjoint(due)


class ReplicaSilence:
    """When replicas with open responses were last heard from, and were due to be."""

    def __init__(self) -> None:
        """Start without open responses."""
        self._awaited: dict[InstanceId, _Awaited] = {}

    def begin(self, instance: InstanceId, key: object, now: float, due: float) -> None:
        """Record that a response, named ``key``, is due at a time."""
        awaited = self._awaited.setdefault(instance, _Awaited(now))
        awaited.due[key] = due

    def record_heard(self, instance: InstanceId, now: float) -> None:
        """Record that a replica sent a part of a response."""
        self._awaited[instance].heard_at = now

    def record_event(self, instance: InstanceId, key: object, now: float) -> None:
        """Record an event of a stream: the next one is due soon."""
        awaited = self._awaited[instance]
        awaited.due[key] = now + SILENT_SECONDS
        awaited.streams.add(key)

    def end(self, instance: InstanceId, key: object) -> None:
        """Record the end of a response, or that it is no longer waited for."""
        awaited = self._awaited[instance]
        del awaited.due[key]
        awaited.streams.discard(key)
        if not awaited.due:
            del self._awaited[instance]

    def silent(self, now: float) -> list[InstanceId]:
        """Return the replicas that have sent nothing although something was due."""
        return [
            instance
            for instance, awaited in self._awaited.items()
            if awaited.is_silent(now)
        ]
