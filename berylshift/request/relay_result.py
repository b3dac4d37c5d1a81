"""Outcomes of routed requests."""

from dataclasses import dataclass, field
from enum import StrEnum

from berylshift.request.request_timeout import TimeoutSource


class RelayOutcome(StrEnum):
    """Outcome of a routed request."""

    ANSWERED = "answered"
    CUT = "cut"
    NOT_RUN = "not-run"
    DEADLINE_UNREACHABLE = "hopeless"
    QUARANTINED = "quarantined"
    THROTTLED = "throttled"
    KEY_REVOKED = "key-gone"
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    CALLER_LEFT = "caller-left"
    GIVEN_UP = "given-up"


@dataclass
class RelayResult:
    """Outcome of a request with the details for the log.

    ``retry_after_seconds`` is when the caller may retry. ``timeout_source`` is the time
    limit that ended the request; ``None``: it did not time out.
    """

    outcome: RelayOutcome
    detail: str = ""
    attempts: list[str] = field(default_factory=list)
    retry_after_seconds: float = 0.0
    timeout_source: TimeoutSource | None = None


class KeyRevokedError(Exception):
    """The caller's API key was revoked while its request waited."""


class AllThrottledError(Exception):
    """All remaining replicas have throttled this host."""

    def __init__(self, seconds: float):
        """Keep the seconds until one of them may accept a request."""
        super().__init__(f"no replica takes a request for {seconds:.2f} s")
        self.seconds = seconds


class DeadlineUnreachableError(Exception):
    """No engine is predicted to send a first chunk before the deadline."""

    def __init__(self, seconds: float):
        """Keep the seconds predicted until a first chunk."""
        super().__init__(f"first piece in {seconds:.2f} s")
        self.seconds = seconds
