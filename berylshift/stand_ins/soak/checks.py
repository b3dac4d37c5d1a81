"""What a soak run must not show."""

from collections import Counter
from collections.abc import Sequence

import msgspec

from berylshift.stand_ins.soak.callers import (
    EVENT_COUNTS,
    OVERTIME_SECONDS,
    STATUS_OK,
    TIMEOUT_SECONDS,
    Kind,
    Request,
)

STATUS_BAD_GATEWAY = 502
# Statuses that tell a caller that its request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# A process may need this long beyond its grace period to exit.
EXIT_SLACK_SECONDS = 1.0
# Clocks of callers start before those of hosts, which may end a stream this early.
DEADLINE_SLACK_SECONDS = 0.2


class Disturbance(msgspec.Struct, frozen=True):
    """A time in which a host may close connections without an answer."""

    host: int
    begin: float
    end: float


class Silence(msgspec.Struct, frozen=True):
    """A time in which a replica sends nothing, so that streams may take too long.

    With ``is_stall``, the soak's own process did nothing: no replica and no caller.
    """

    begin: float
    end: float
    is_stall: bool = False


def find_violations(
    requests: Sequence[Request],
    runs: Counter[str],
    disturbances: Sequence[Disturbance],
    silences: Sequence[Silence] = (),
) -> list[str]:
    """Return a line for each broken promise to a caller; ``runs`` by request."""
    found = []
    for req in requests:
        ran = runs[req.id]
        found += _false_answers(req, ran)
        if req.kind in EVENT_COUNTS:
            end = stream_outcome(req, ran, disturbances, silences)
            if end in ("cut", "late without cause"):
                found.append(f"{req.id}: {end}, status {req.status}")
        elif not req.status and req.ended_at is not None and ran:
            if not _is_excused(req, disturbances):
                found.append(f"{req.id}: ran, and its caller got no answer")
    return found


def _false_answers(req: Request, ran: int) -> list[str]:
    found = []
    if ran > 1 and not req.kind.may_run_twice:
        found.append(f"{req.id}: ran {ran} times")
    if req.status in NOT_RUN_STATUSES and ran:
        found.append(f"{req.id}: status {req.status}, but it ran")
    if req.status == STATUS_OK and not req.is_whole:
        found.append(f"{req.id}: not the whole answer to this request")
    elif req.is_wrong:
        found.append(f"{req.id}: events are missing or come twice")
    if req.status in NOT_RUN_STATUSES and req.retry_after is None:
        found.append(f"{req.id}: not told when to come back")
    return found


def stream_outcome(
    req: Request,
    ran: int,
    disturbances: Sequence[Disturbance],
    silences: Sequence[Silence],
) -> str:
    """Return how a stream ended; "cut": its caller still waited for more of it."""
    if req.ended_at is None:
        return "open"
    if req.has_left:
        return "left"
    if req.status == STATUS_OK and req.is_whole:
        return "whole"
    is_failed = req.kind is Kind.BRIEF and req.status == STATUS_BAD_GATEWAY
    if req.status and not is_failed:
        return f"status {req.status}"
    if not req.status and not ran:
        return "not run"
    if _is_excused(req, disturbances):
        return "excused"
    seconds = req.ended_at - req.sent_at - TIMEOUT_SECONDS
    if seconds < -DEADLINE_SLACK_SECONDS:
        return "cut"
    causes = [
        found
        for found in silences
        if found.begin <= req.ended_at and req.sent_at <= found.end
        if found.is_stall or seconds < OVERTIME_SECONDS
    ]
    return "late" if causes else "late without cause"


def _is_excused(req: Request, disturbances: Sequence[Disturbance]) -> bool:
    end = req.ended_at or float("inf")
    return any(
        found.host == req.host and found.begin <= end and req.sent_at <= found.end
        for found in disturbances
    )
