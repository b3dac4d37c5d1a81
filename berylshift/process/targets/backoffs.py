"""Targets that asked this host to send no requests for a while."""

from typing import Generic, TypeVar

Target = TypeVar("Target", bound=str)


class Backoffs(Generic[Target]):
    """Targets by name or instance; times in seconds on the monotonic clock."""

    def __init__(self) -> None:
        """Start with no target to back off from."""
        self._until: dict[Target, float] = {}

    def back_off(self, target: Target, seconds: float, now: float) -> None:
        """Send nothing to a target for ``seconds``, or longer if asked to before."""
        until = max(now + seconds, self._until.get(target, now))
        self._until[target] = until

    def wait(self, target: Target, now: float) -> float:
        """Return the seconds until a target may be sent to; 0: now."""
        return max(0.0, self._until.get(target, now) - now)

    def active(self, now: float) -> list[Target]:
        """Return the targets that may not be sent to now."""
        self._until = {name: at for name, at in self._until.items() if at > now}
        return list(self._until)

    def forget(self, target: Target) -> None:
        """Remove a target that is gone."""
        self._until.pop(target, None)

    def __len__(self) -> int:
        """Return the number of targets with a back-off."""
        return len(self._until)
