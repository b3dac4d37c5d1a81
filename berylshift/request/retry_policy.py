"""Whether a request may be sent once more after a send has ended.

One rule for all callers' interfaces: what may have run is repeated only where that is
allowed, and "not run" is said only of what no target can have run.
"""

from enum import StrEnum

import msgspec

from berylshift.request.messages import Outcome
from berylshift.targets import (
    TargetError,
    TargetNotReachedError,
    TargetRefusedError,
)
from berylshift.version.routes import Route

# Sends of one request at most, rejected ones included: a full service answers each
# at once, and a caller is better told to come back than passed round.
MOST_SENDS = 4


class SendEnd(StrEnum):
    """How one send of a request ended."""

    DONE = "done"
    NOT_REACHED = "not-reached"
    NOT_RUN = "not-run"
    THROTTLED = "throttled"
    BROKEN = "broken"
    SILENT = "silent"
    SPOILED = "spoiled"
    FAILED = "failed"

    @property
    def may_have_run(self) -> bool:
        """Return whether the target may have run the request.

        Only a request that never went out, or the target's own word, says that it did
        not: after a reset, silence or a time-out it may have.
        """
        return self not in (*NEVER_SENT, SendEnd.NOT_RUN)


# No byte of the request reached a target.
NEVER_SENT = (SendEnd.NOT_REACHED, SendEnd.THROTTLED)


def end_of(exc: TargetError) -> SendEnd:
    """Return how a send ended that raised ``exc``."""
    match exc:
        case TargetNotReachedError():
            return SendEnd.NOT_REACHED
        case TargetRefusedError():
            return SendEnd.NOT_RUN
        case _:
            return SendEnd.BROKEN


def retry_after_of(exc: TargetError) -> float:
    """Return the seconds for which a target wants no other call."""
    return exc.retry_after if isinstance(exc, TargetRefusedError) else 0.0


class Sent(msgspec.Struct, frozen=True):
    """One send that has ended, and the target it went to."""

    target: str
    end: SendEnd


class SendHistory:
    """What the sends of one request have come to so far."""

    def __init__(self) -> None:
        """Start before the first send."""
        self.sends: list[Sent] = []
        self.open = False
        self._ran_before = False

    def add(self, sent: Sent) -> None:
        """Note how a send ended."""
        self.sends.append(sent)

    def start_over(self) -> None:
        """Forget the sends, but not that one may have run.

        Targets that refused or failed may be back by the next try.
        """
        self._ran_before = self.may_have_run
        self.sends.clear()

    @property
    def runs(self) -> int:
        """Return how many sends may have run."""
        return sum(sent.end.may_have_run for sent in self.sends)

    @property
    def may_have_run(self) -> bool:
        """Return whether any send may have run, the open one included."""
        return self.open or self._ran_before or self.runs > 0

    @property
    def last(self) -> Sent | None:
        """Return the last send that ended."""
        return self.sends[-1] if self.sends else None

    @property
    def outcome(self) -> Outcome:
        """Return what is known of a request that no send has completed."""
        return Outcome.UNKNOWN if self.may_have_run else Outcome.NOT_RUN


class RetryBounds(msgspec.Struct, frozen=True):
    """Sends, and sends that may have run, of one request at most."""

    repeatable: bool
    most_runs: int
    most_sends: int = MOST_SENDS


def bounds_of(route: Route) -> RetryBounds:
    """Return the bounds of a routed request."""
    return RetryBounds(route.repeatable, route.most_attempts)


def may_send_again(bounds: RetryBounds, history: SendHistory) -> bool:
    """Return whether the request may go out again after its last send."""
    if len(history.sends) >= bounds.most_sends:
        return False
    if not history.may_have_run:
        return True
    return bounds.repeatable and history.runs < bounds.most_runs
