"""Replicas that crashed while running one request, and how long to quarantine it."""

from dataclasses import dataclass, field

# Crashes until a request is quarantined. After one crash the request may merely have
# run beside the cause; that rarely happens again at a second replica.
MIN_SUSPECT_CRASHES = 2
MIN_PROVEN_CRASHES = 3
# How long a suspect request is quarantined: longer than its caller's retry interval,
# yet short for a request that ran beside the cause twice.
SUSPECT_QUARANTINE_SECONDS = 60.0
# The same after three crashes. The defect behind them isn't fixed within minutes.
PROVEN_QUARANTINE_SECONDS = 600.0


@dataclass
class Crash:
    """When a replica crashed; ``is_retracted``: it turned out to be alive."""

    at: float
    is_retracted: bool = False


@dataclass
class CrashRecord:
    """Crashes during one request, by the hashes of the replicas' names."""

    crashes: dict[int, Crash] = field(default_factory=dict)

    @property
    def crash_count(self) -> int:
        """Return how many replicas are known to have crashed."""
        return sum(not crash.is_retracted for crash in self.crashes.values())

    def has_crashed(self, target: int) -> bool:
        """Return whether a replica is known to have crashed during the request."""
        crash = self.crashes.get(target)
        return crash is not None and not crash.is_retracted

    @property
    def last_crash_at(self) -> float:
        """Return the time of the latest crash, retracted ones included."""
        return max(crash.at for crash in self.crashes.values())

    @property
    def is_proven(self) -> bool:
        """Return whether there are too many crashes for a coincidence."""
        return self.crash_count >= MIN_PROVEN_CRASHES

    @property
    def quarantined_until(self) -> float:
        """Return when the quarantine ends, ``-inf`` if there is none."""
        if self.is_proven:
            return self.last_crash_at + PROVEN_QUARANTINE_SECONDS
        if self.crash_count >= MIN_SUSPECT_CRASHES:
            return self.last_crash_at + SUSPECT_QUARANTINE_SECONDS
        return float("-inf")
