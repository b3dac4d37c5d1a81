"""SLO status: whether a prompt can still meet its latency objective.

The status decides the order of prefills: prompts that can still meet their objective
go first.

When the request mix shifts, more prompts arrive than the engines can prefill. In FIFO
order all of them wait equally long and nearly all miss their objective. Prompts that
have missed their objective, or are predicted to, are therefore queued behind those
that can meet it, and are prefilled when there is spare capacity.
"""

from enum import StrEnum
from typing import Protocol

from berylshift.messages.load_digest import Urgency, urgency_of

# Share of the objective within which the first token must be predicted for a prompt to
# count as on time. The margin covers prompts that other hosts have placed and this host
# does not know of yet.
ON_TIME_SHARE = 0.75
# Added to the rank of a late prompt. It exceeds the difference between any two ranks in
# use, so that late prompts of every route queue behind all prompts that are on time.
LATE_RANKS = 5
# The least urgent rank that an engine accepts.
LAST_RANK = 9
# Minimum share of engine time that late prompts are assumed to get: load data from
# other hosts lags, and a shift of the mix lasts only seconds.
LEAST_LATE_SHARE = 0.5


class RouteObjective(Protocol):
    """What a route asks for: a time to first token, and a rank (0 is most urgent)."""

    @property
    def objective_seconds(self) -> float:
        """Return the time to first token in seconds; 0 means no objective."""

    @property
    def rank(self) -> int:
        """Return the rank."""


class SloStatus(StrEnum):
    """Whether a prompt can still meet its route's latency objective."""

    ON_TIME = "on-time"
    LATE = "late"


def slo_status_of(route: RouteObjective, seconds: float) -> SloStatus:
    """Return the status of a prompt.

    ``seconds`` is the time from its arrival to its first token. A route without an
    objective is always on time.
    """
    if route.objective_seconds and seconds > ON_TIME_SHARE * route.objective_seconds:
        return SloStatus.LATE
    return SloStatus.ON_TIME


def engine_rank(route: RouteObjective, slo_status: SloStatus) -> int:
    """Return the rank to send to an engine."""
    penalty = LATE_RANKS if slo_status is SloStatus.LATE else 0
    return min(LAST_RANK, route.rank + penalty)


def urgency_for(
    route: RouteObjective,
    slo_status: SloStatus,
    is_short: bool = False,
    waits_for_share: bool = False,
) -> Urgency:
    """Return the urgency class under which hosts report a prompt to each other.

    A prompt that ``waits_for_share`` goes behind all that don't. While a service
    ``is_short``, the last class holds only such prompts and late ones: the wait of a
    route with a high rank would otherwise be predicted as if it queued behind them.
    """
    if slo_status is SloStatus.LATE or waits_for_share:
        return Urgency.PATIENT
    if is_short:
        return min(Urgency.USUAL, urgency_of(route.rank))
    return urgency_of(route.rank)


def late_prefill_seconds(seconds: float, on_time_share: float) -> float:
    """Return the expected wait of a late prompt for ``seconds`` of prefill work.

    ``on_time_share`` is the share of engine time taken by prompts that are on time,
    which keep overtaking it. Don't underestimate the wait: a request that is refused
    only after waiting in vain is refused too late, since its caller disconnects after
    two seconds or more (``Route.caller_patience_seconds``).
    """
    return seconds / max(LEAST_LATE_SHARE, 1.0 - on_time_share)
