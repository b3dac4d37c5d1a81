"""Health of targets, a circuit breaker for each by the outcomes of calls to it.

A target that fails fast has short queues and appears cheap, so it would attract all the
load. After consecutive failures it is suspended, for longer each time, and probed by
one call at a time.
"""

from dataclasses import dataclass

from berylshift.ids import TargetName
from berylshift.process.targets.backoffs import Backoffs

FAILURES_UNTIL_SUSPENDED = 2
FIRST_SUSPENSION_SECONDS = 0.5
MAX_SUSPENSION_SECONDS = 15.0


@dataclass
class _Record:
    failures: int = 0
    suspended_until: float = 0.0
    is_probing: bool = False


class Health:
    """Suspends targets whose calls fail; times in seconds."""

    def __init__(self) -> None:
        """Start with all targets healthy."""
        self._records: dict[TargetName, _Record] = {}
        self._backoffs: Backoffs[TargetName] = Backoffs()

    def record_success(self, target: TargetName) -> None:
        """Record a call that succeeded."""
        self._records.pop(target, None)

    def record_failure(self, target: TargetName, now: float) -> None:
        """Record a call that failed because of the target."""
        record = self._records.setdefault(target, _Record())
        record.failures += 1
        record.is_probing = False
        excess = record.failures - FAILURES_UNTIL_SUSPENDED
        if excess >= 0:
            seconds = min(MAX_SUSPENSION_SECONDS, FIRST_SUSPENSION_SECONDS * 2**excess)
            record.suspended_until = now + seconds

    def back_off(self, target: TargetName, seconds: float, now: float) -> None:
        """Send nothing to a target for ``seconds``, as it requested."""
        if seconds > 0:
            self._backoffs.back_off(target, seconds, now)

    def record_start(self, target: TargetName) -> None:
        """Record that a call is sent; it probes a target that was suspended."""
        record = self._records.get(target)
        if record is not None and record.failures >= FAILURES_UNTIL_SUSPENDED:
            record.is_probing = True

    def record_cancelled(self, target: TargetName) -> None:
        """Record a call that its caller cancelled; it says nothing about the target."""
        record = self._records.get(target)
        if record is not None:
            record.is_probing = False

    def is_usable(self, target: TargetName, now: float) -> bool:
        """Return whether a call may be sent to the target now."""
        if self._backoffs.wait(target, now) > 0:
            return False
        record = self._records.get(target)
        if record is None or record.failures < FAILURES_UNTIL_SUSPENDED:
            return True
        return now >= record.suspended_until and not record.is_probing

    def suspended_targets(self, now: float) -> list[TargetName]:
        """Return the targets that no call may be sent to now."""
        known = self._records.keys() | self._backoffs.active(now)
        return sorted(name for name in known if not self.is_usable(name, now))
