"""Health of targets, by the ends of the calls sent to them.

A target that fails fast has short queues and looks cheap: it would draw all the
work. After failures in a row it is suspended, for longer each time, and one call
at a time tries it again.
"""

from dataclasses import dataclass

from berylshift.ids import TargetName
from berylshift.process.targets.backoffs import Backoffs

FAILURES_ALLOWED = 2
FIRST_SUSPENSION = 0.5
LONGEST_SUSPENSION = 15.0


@dataclass
class _Record:
    failures: int = 0
    until: float = 0.0
    trial: bool = False


class Health:
    """Suspends targets whose calls fail; times in seconds."""

    def __init__(self) -> None:
        """Start with all targets in good health."""
        self._records: dict[TargetName, _Record] = {}
        self._backoffs: Backoffs[TargetName] = Backoffs()

    def succeeded(self, target: TargetName) -> None:
        """Note a call that ended well."""
        self._records.pop(target, None)

    def failed(self, target: TargetName, now: float) -> None:
        """Note a call that failed by the target's fault."""
        record = self._records.setdefault(target, _Record())
        record.failures += 1
        record.trial = False
        over = record.failures - FAILURES_ALLOWED
        if over >= 0:
            seconds = min(LONGEST_SUSPENSION, FIRST_SUSPENSION * 2**over)
            record.until = now + seconds

    def back_off(self, target: TargetName, seconds: float, now: float) -> None:
        """Send nothing to a target for ``seconds``, by its own word."""
        if seconds > 0:
            self._backoffs.back_off(target, seconds, now)

    def started(self, target: TargetName) -> None:
        """Note that a call goes out; a suspended target is on trial by it."""
        record = self._records.get(target)
        if record is not None and record.failures >= FAILURES_ALLOWED:
            record.trial = True

    def cancelled(self, target: TargetName) -> None:
        """Note a call that ended by its caller's will: it says nothing."""
        record = self._records.get(target)
        if record is not None:
            record.trial = False

    def usable(self, target: TargetName, now: float) -> bool:
        """Return whether a call may go there now."""
        if self._backoffs.wait(target, now) > 0:
            return False
        record = self._records.get(target)
        if record is None or record.failures < FAILURES_ALLOWED:
            return True
        return now >= record.until and not record.trial

    def suspended(self, now: float) -> list[TargetName]:
        """Return the targets that take no call now."""
        known = self._records.keys() | self._backoffs.active(now)
        return sorted(name for name in known if not self.usable(name, now))
