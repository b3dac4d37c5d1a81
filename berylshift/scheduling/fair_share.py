"""Fair shares of prefill capacity: who waits while a service is short of it.

Pure decisions. Work is compared in prefill tokens by customer. While a service is short
of prefill capacity, customers get max-min fair shares: one that asks for less than the
others gets all it asks for, and what it leaves goes to the others. Only the part of a
customer's prompts that exceeds its share waits, behind the other prompts that can be on
time and before those that are late. Which prompts these are is drawn at random, in
proportion to the excess, so that hosts need to exchange demands only (core-stateless
fair queueing).
"""

from collections.abc import Iterable

import msgspec

from berylshift.scheduling.slo_status import (
    LAST_RANK,
    ON_TIME_SHARE,
    RouteObjective,
    SloStatus,
)

# A customer's demand may exceed its share by this factor before any of its prompts
# wait: demand that is counted over seconds varies with single prompts.
SHARE_MARGIN = 1.25
# A customer with this part of a service's work or more is alone there.
ALONE_SHARE = 0.98
# Share of the known work that is served at most while a service is short. The prefill
# rate is an estimate: while queues are too long, demand exceeds capacity, even if the
# estimate says otherwise.
MAX_SERVED_SHARE = 0.9
# Share of the capacity that is divided among customers. At full use, queues of prompts
# that don't wait would still be too long. Those that wait get what is left, most of it
# too late, so a smaller share wastes more than it protects.
DIVIDED_SHARE = 0.92

# A service is short while new prompts, queued behind all known work, would miss the
# shortest objective. It no longer is once queues have been below the second share of
# that objective for ``CALM_SECONDS``: longer than demand takes to swing between routes.
SHORT_SHARE = ON_TIME_SHARE
CALM_SHARE = 0.25
CALM_SECONDS = 6.0
# A single long queue that is gone by the next look is not a shortage.
SHORT_SECONDS = 0.25
# Objectives of routes without prompts for this long are left out.
OBJECTIVE_SECONDS = 15.0

# Engine ranks while a service is short: two for each of three route ranks, two for
# prompts that wait for their customer's share, two for late prompts.
ROUTE_RANKS = 3
WAITING_RANK = 6
LATE_RANK = 8
# A prompt whose first token is predicted later than this share of its objective has
# little slack and goes first.
LITTLE_SLACK_SHARE = 0.5

# Callers wait for a Retry-After of up to a third of the time they have left.
HONOURED_SHARE = 1 / 3
# Every refusal adds a random delay of up to this to its Retry-After.
ADDED_SECONDS = 0.4


def fair_level(demands: Iterable[float], rest: float, capacity: float) -> float:
    """Return the max-min fair share; infinite if ``capacity`` serves all demand.

    ``demands`` are those of the largest customers. ``rest`` is the demand of all
    others: as many customers as it makes at least, as large as the smallest listed one.
    """
    sizes = sorted(demand for demand in demands if demand > 0)
    if not sizes:
        return float("inf")
    parts = [(size, 1.0) for size in sizes]
    if rest > 0:
        parts.insert(0, (sizes[0], rest / sizes[0]))
    customers = sum(count for _, count in parts)
    left = max(0.0, capacity)
    for size, count in parts:
        if size * customers > left:
            return left / customers
        left -= size * count
        customers -= count
    return float("inf")


def wait_share(
    demand: float, others: Iterable[float], total: float, capacity: float
) -> float:
    """Return the share of a customer's prompts that wait while a service is short.

    ``others`` are the other customers that are known by size; ``total`` is the demand
    of all, ``capacity`` what the service prefills in the same time.
    """
    if demand <= 0 or demand >= ALONE_SHARE * total:
        return 0.0
    listed = [demand, *others]
    served = min(DIVIDED_SHARE * capacity, MAX_SERVED_SHARE * total)
    level = fair_level(listed, total - sum(listed), served)
    if demand <= SHARE_MARGIN * level:
        return 0.0
    return 1.0 - level / demand


class ShortageDetector:
    """Whether one service is short of prefill capacity; times in seconds."""

    def __init__(self) -> None:
        """Start with a service that is not short."""
        self.is_short = False
        self._long_since: float | None = None
        self._calm_since: float | None = None
        self._objectives: dict[float, float] = {}

    def update(self, queue_seconds: float, objective: float, now: float) -> bool:
        """Return whether the service is short.

        ``queue_seconds`` is the prefill work known to be queued, divided by the
        service's rate; ``objective`` that of a prompt's route, 0: none.
        """
        if objective:
            self._objectives[objective] = now
        known = self._objectives.items()
        self._objectives = {
            found: at for found, at in known if now - at < OBJECTIVE_SECONDS
        }
        shortest = min(self._objectives, default=float("inf"))
        if queue_seconds <= SHORT_SHARE * shortest:
            self._long_since = None
        elif self._long_since is None:
            self._long_since = now
        if queue_seconds >= CALM_SHARE * shortest:
            self._calm_since = None
        elif self._calm_since is None:
            self._calm_since = now
        if self._long_since is not None and now - self._long_since >= SHORT_SECONDS:
            self.is_short = True
        if self._calm_since is not None and now - self._calm_since >= CALM_SECONDS:
            self.is_short = False
        return self.is_short


class QueuePosition(msgspec.Struct, frozen=True):
    """What a prompt's rank depends on while its service is short.

    ``seconds`` is the predicted time from its arrival to its first token.
    """

    slo_status: SloStatus
    seconds: float
    waits_for_share: bool = False


def short_rank(route: RouteObjective, position: QueuePosition) -> int:
    """Return the rank to send to an engine of a service that is short.

    Prompts of one route rank are ordered by slack. A prompt that waits for its
    customer's share goes behind all prompts that don't, whatever their routes' ranks:
    otherwise urgent prompts of one customer's burst would delay others' usual ones.
    """
    low = min(1, route.rank)
    if position.slo_status is SloStatus.LATE:
        return min(LAST_RANK, LATE_RANK + low)
    if position.waits_for_share:
        return WAITING_RANK + low
    limit = LITTLE_SLACK_SHARE * route.objective_seconds
    has_slack = not route.objective_seconds or position.seconds <= limit
    return 2 * min(ROUTE_RANKS - 1, route.rank) + has_slack


def retry_delay(
    wait_seconds: float, spread_seconds: float, seconds_left: float, draw: float
) -> float:
    """Return after how long a refused caller may retry.

    Capacity is predicted to be available after ``wait_seconds``; serving all that is
    refused takes ``spread_seconds`` more. The caller has ``seconds_left``, and ``draw``
    is a random number from 0 to 1. Delays that the caller would not wait for are
    shortened, but remain spread.
    """
    limit = max(0.0, HONOURED_SHARE * seconds_left - ADDED_SECONDS)
    earliest = min(max(0.0, wait_seconds), limit / 2)
    latest = min(max(0.0, wait_seconds) + spread_seconds, limit)
    return earliest + draw * max(0.0, latest - earliest)
