"""How a routed request ended."""

from dataclasses import dataclass, field
from enum import StrEnum

from berylshift.request.request_timeout import TimeoutSource


class Verdict(StrEnum):
    """What a caller is told."""

    ANSWERED = "answered"
    CUT = "cut"
    NOT_RUN = "not-run"
    HOPELESS = "hopeless"
    QUARANTINED = "quarantined"
    THROTTLED = "throttled"
    KEY_GONE = "key-gone"
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    CALLER_LEFT = "caller-left"
    GIVEN_UP = "given-up"


@dataclass
class Result:
    """How a request ended, for the log; ``again``: seconds until it may come back.

    ``bound`` is set if it ended for want of time, and says whose time that was.
    """

    verdict: Verdict
    detail: str = ""
    sends: list[str] = field(default_factory=list)
    again: float = 0.0
    bound: TimeoutSource | None = None


class KeyGoneError(Exception):
    """The caller's key was taken away while its request waited."""


class NoRoomError(Exception):
    """All replicas that are left take no request now, by their own word."""

    def __init__(self, seconds: float):
        """Keep the seconds until one of them may take one."""
        super().__init__(f"no replica takes a request for {seconds:.2f} s")
        self.seconds = seconds


class HopelessError(Exception):
    """No engine can begin to answer before the caller leaves."""

    def __init__(self, seconds: float):
        """Keep the seconds predicted until a first piece."""
        super().__init__(f"first piece in {seconds:.2f} s")
        self.seconds = seconds
