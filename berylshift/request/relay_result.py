"""Outcomes of routed requests."""

from dataclasses import dataclass, field
from enum import StrEnum

from berylshift.request.request_timeout import TimeoutSource
from berylshift.scheduling.placement import Placement


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


def describe_refused(
    placement: Placement, prefill_engines: int, rate: float | None, queues: int | None
) -> str:
    """Return what the prediction rests on by which a request is refused, for the log.

    ``rate``: the learned prefill speed in tokens a second, ``None`` if it is the prior;
    ``queues``: how many engines' queues registrars have told.
    """
    learned = "prior" if rate is None else round(rate)
    return (
        f"{placement.target.instance} {placement.target.phase}"
        f" tokens={placement.tokens} ahead={placement.queued:.0f}"
        f" factor={placement.factor:.2f} rate={learned} queues={queues}"
        f" prefill_engines={prefill_engines}"
    )
