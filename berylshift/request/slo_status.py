"""In which order prompts are read: those that can still be on time go first.

In a swing of the mix more prompts come than engines read. Read in the order in which
they came, all wait alike and nearly all are late. Those that have missed their
objective, or will, therefore stand behind those that can meet it, and are read when
there is room.
"""

from enum import StrEnum
from typing import Protocol

from berylshift.messages.load_digest import Urgency, urgency_of

# The part of the objective within which a first piece must be predicted for a prompt
# to count as on time: other hosts place prompts that this one has not heard of yet.
ON_TIME_SHARE = 0.75
# Ranks that a late prompt stands behind its route's own: more than ranks in use differ
# by, so that late prompts of all of them stand behind those that are on time.
LATE_RANKS = 5
# The least urgent rank that an engine knows.
LAST_RANK = 9
# The part of the engines' time that late prompts are taken to get at least: what is
# known of the others' prompts lags, and a swing lasts seconds.
LEAST_LATE_SHARE = 0.5


class RouteObjective(Protocol):
    """What a route asks for: seconds to a first piece, and a rank, 0 first."""

    @property
    def objective(self) -> float:
        """Return the seconds; 0: none are asked for."""

    @property
    def rank(self) -> int:
        """Return the rank."""


class SloStatus(StrEnum):
    """Whether a prompt can still meet its route's objective."""

    ON_TIME = "on-time"
    LATE = "late"


def slo_status_of(route: RouteObjective, seconds: float) -> SloStatus:
    """Return the standing of a prompt; ``seconds``: from its arrival to a first piece.

    A route without an objective has nothing to miss.
    """
    if route.objective and seconds > ON_TIME_SHARE * route.objective:
        return SloStatus.LATE
    return SloStatus.ON_TIME


def engine_rank(route: RouteObjective, slo_status: SloStatus) -> int:
    """Return the rank that an engine is told."""
    behind = LATE_RANKS if slo_status is SloStatus.LATE else 0
    return min(LAST_RANK, route.rank + behind)


def urgency_for(route: RouteObjective, slo_status: SloStatus) -> Urgency:
    """Return the class of a prompt among those that hosts tell each other of."""
    if slo_status is SloStatus.LATE:
        return Urgency.PATIENT
    return urgency_of(route.rank)


def late_prefill_seconds(seconds: float, on_time_share: float) -> float:
    """Return the seconds that a late prompt waits for ``seconds`` of reading.

    ``on_time_share`` is the part of the engines' time that prompts which are on time
    take: they go on overtaking it. A caller that waits for nothing is told too late
    that its request was not run; it leaves after two seconds and more.
    """
    return seconds / max(LEAST_LATE_SHARE, 1.0 - on_time_share)
