"""What follows a failed attempt: the same target again, another, or the end."""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from berylshift.ids import TargetName

ATTEMPTS_ALLOWED = 5
SAME_TARGET_ATTEMPTS = 2


class Fault(Enum):
    """How an attempt failed."""

    NOT_REACHED = "not reached"
    REFUSED = "refused by the target"
    BROKEN = "broken off"
    SILENT = "no answer in time"
    NONSENSE = "answer in nonsense"


@dataclass
class AttemptLog:
    """The attempts of one request; says where the next one may go."""

    failures: list[tuple[TargetName, Fault]] = field(default_factory=list)
    may_have_run: bool = False

    def failed(self, target: TargetName, fault: Fault) -> None:
        """Note a failed attempt."""
        self.failures.append((target, fault))
        if fault not in (Fault.NOT_REACHED, Fault.REFUSED):
            self.may_have_run = True

    @property
    def spent(self) -> bool:
        """Return whether no further attempt is allowed."""
        return len(self.failures) >= ATTEMPTS_ALLOWED

    @property
    def exclude(self) -> frozenset[TargetName]:
        """Return the targets that are not to be tried again.

        A broken stream is resumed on its own engine first: the prompt is in its
        cache. Any other fault, or a second one, rules the target out.
        """
        counts = Counter(target for target, _ in self.failures)
        return frozenset(
            target
            for target, fault in self.failures
            if fault is not Fault.BROKEN or counts[target] >= SAME_TARGET_ATTEMPTS
        )

    @property
    def prefer(self) -> TargetName | None:
        """Return the target to be tried again first."""
        if not self.failures or self.failures[-1][1] is not Fault.BROKEN:
            return None
        target = self.failures[-1][0]
        return None if target in self.exclude else target
