"""Replicas that want no request of this host for a while, by their own word."""

from berylshift.ids import InstanceId


class Backoffs:
    """Times in seconds on the monotonic clock."""

    def __init__(self) -> None:
        """Start with no replica to back off from."""
        self._until: dict[InstanceId, float] = {}

    def back_off(self, instance: InstanceId, seconds: float, now: float) -> None:
        """Leave a replica alone for ``seconds``; an earlier word may last longer."""
        until = max(now + seconds, self._until.get(instance, now))
        self._until[instance] = until

    def wait(self, instance: InstanceId, now: float) -> float:
        """Return the seconds until a replica may be sent to; 0: now."""
        return max(0.0, self._until.get(instance, now) - now)

    def active(self, now: float) -> list[InstanceId]:
        """Return the replicas that want nothing now."""
        self._until = {name: at for name, at in self._until.items() if at > now}
        return list(self._until)

    def forget(self, instance: InstanceId) -> None:
        """Drop a replica that is gone."""
        self._until.pop(instance, None)

    def __len__(self) -> int:
        """Return how many replicas are kept."""
        return len(self._until)
