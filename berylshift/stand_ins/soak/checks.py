"""What a soak run must not show."""

from collections import Counter
from collections.abc import Iterable, Sequence

import msgspec

from berylshift.stand_ins.soak.callers import Request

STATUS_OK = 200
# Statuses that tell a caller that its request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# A process may need this long beyond its grace period to exit.
EXIT_SLACK_SECONDS = 1.0


class Disturbance(msgspec.Struct, frozen=True):
    """A time in which a host may close connections without an answer."""

    host: int
    begin: float
    end: float


def find_violations(
    requests: Sequence[Request],
    runs: Iterable[str],
    disturbances: Sequence[Disturbance],
) -> list[str]:
    """Return a line for each broken promise to a caller."""
    counts = Counter(runs)
    found = []
    for req in requests:
        ran = counts[req.id]
        if ran > 1 and not req.kind.may_run_twice:
            found.append(f"{req.id}: ran {ran} times")
        if req.status in NOT_RUN_STATUSES and ran:
            found.append(f"{req.id}: status {req.status}, but it ran")
        if req.status == STATUS_OK and not req.is_whole:
            found.append(f"{req.id}: not the whole answer to this request")
        if req.status in NOT_RUN_STATUSES and req.retry_after is None:
            found.append(f"{req.id}: not told when to come back")
        is_lost = not req.status and req.ended_at is not None and ran
        if is_lost and not _is_excused(req, disturbances):
            found.append(f"{req.id}: ran, and its caller got no answer")
    return found


def _is_excused(req: Request, disturbances: Sequence[Disturbance]) -> bool:
    end = req.ended_at or float("inf")
    return any(
        found.host == req.host and found.begin <= end and req.sent_at <= found.end
        for found in disturbances
    )
