"""Weights of the replicas of a pool by their capacity, in coarse steps.

Samples of large pools are drawn by these weights. Home engines are not: what a home
provides is memory for prefixes, which a slow engine has as much of as a fast one.
"""

import math
import random
from dataclasses import dataclass, field

from berylshift.ids import DomainName, InstanceId, ServiceName
from berylshift.messages.replicas import Replica
from berylshift.process.directory.pools import Pool
from berylshift.scheduling.used_capacity import UsedCapacity

# Steps per doubling of the factor: a weight differs from the capacity by up to 14%, the
# distance at which a step is left.
STEPS_PER_DOUBLING = 4
# A step is kept until the factor is this far from it, in steps, so that the weights of
# a large pool are not computed anew for each small change of a factor.
KEEP_STEPS = 0.75
# How often the factors of a whole pool are read, which takes 1 µs per replica.
REFRESH_SECONDS = 2.0
# Draws per wanted replica of a weighted sample, which bound its cost. A replica that is
# drawn again is skipped.
DRAWS_PER_REPLICA = 2

Weights = dict[InstanceId, float]


@dataclass
class WeightedList:
    """A list of replicas with the running sums of their weights."""

    replicas: list[Replica]
    cumulative: list[float]

    def sample(self, rng: random.Random, count: int) -> list[Replica]:
        """Return up to ``count`` different replicas, those of large weight rather."""
        if len(self.replicas) <= count:
            return self.replicas
        drawn = rng.choices(
            self.replicas, cum_weights=self.cumulative, k=DRAWS_PER_REPLICA * count
        )
        found = {rep.instance: rep for rep in drawn}
        return list(found.values())[:count]


@dataclass
class PoolWeights:
    """The weights of one pool's replicas; ``is_even``: all are the same."""

    pool: Pool
    by_instance: Weights
    is_even: bool
    _lists: dict[str, WeightedList] = field(default_factory=dict)

    def replicas(self) -> WeightedList:
        """Return all replicas."""
        return self._list("all", self.pool.replicas)

    def prefill_engines(self) -> WeightedList:
        """Return the prefill engines."""
        return self._list("prefill", self.pool.prefill_engines)

    def decode_engines(self) -> WeightedList:
        """Return the decode engines."""
        return self._list("decode", self.pool.decode_engines)

    def decode_engines_in(self, domain: DomainName) -> WeightedList:
        """Return the decode engines of a failure domain."""
        key = f"decode {domain}"
        found = self._lists.get(key)
        if found is None:
            engines = self.pool.decode_engines
            near = [rep for rep in engines if rep.domain == domain]
            found = self._list(key, near)
        return found

    def _list(self, key: str, replicas: list[Replica]) -> WeightedList:
        found = self._lists.get(key)
        if found is None:
            total, cumulative = 0.0, []
            for rep in replicas:
                total += self.by_instance[rep.instance]
                cumulative.append(total)
            found = self._lists[key] = WeightedList(replicas, cumulative)
        return found


class CapacityWeights:
    """The weights of the current pool of each service."""

    def __init__(self, capacity: UsedCapacity):
        """Take the capacity of replicas from ``capacity``."""
        self._capacity = capacity
        self._services: dict[ServiceName, _ServiceWeights] = {}

    def of(self, pool: Pool, now: float) -> PoolWeights | None:
        """Return the weights of a pool; ``None``: its service doesn't use them."""
        if not self._capacity.applies_to(pool.replicas):
            return None
        service = pool.replicas[0].service
        found = self._services.get(service)
        if found is None:
            found = self._services[service] = _ServiceWeights(self._capacity)
        return found.of(pool, now)

    def uneven(self, pool: Pool, now: float) -> PoolWeights | None:
        """Return the weights of a pool; ``None``: all replicas have the same."""
        weights = self.of(pool, now)
        return None if weights is None or weights.is_even else weights


class _ServiceWeights:
    """The steps of one service's replicas, and the weights of its current pool."""

    def __init__(self, capacity: UsedCapacity):
        self._capacity = capacity
        self._steps: dict[InstanceId, int] = {}
        self._refreshed_at = float("-inf")
        self._pool: Pool | None = None
        self._weights: PoolWeights | None = None

    def of(self, pool: Pool, now: float) -> PoolWeights | None:
        is_due = now - self._refreshed_at >= REFRESH_SECONDS
        if pool is not self._pool or is_due:
            self._update(pool, is_due)
            if is_due:
                self._refreshed_at = now
        return self._weights

    def _update(self, pool: Pool, is_due: bool) -> None:
        """Read the factors again if that is due, else only those of new replicas."""
        previous, steps = self._steps, {}
        for rep in pool.replicas:
            step = previous.get(rep.instance)
            if step is None or is_due:
                step = _step(self._capacity.lasting_factor(rep), step)
            steps[rep.instance] = step
        self._steps = steps
        if pool is self._pool and steps == previous:
            return
        self._pool = pool
        weights = {name: _weight(step) for name, step in steps.items()}
        self._weights = PoolWeights(pool, weights, len(set(steps.values())) <= 1)


def _step(factor: float, previous: int | None) -> int:
    exact = STEPS_PER_DOUBLING * math.log2(factor)
    if previous is not None and abs(exact - previous) < KEEP_STEPS:
        return previous
    return round(exact)


def _weight(step: int) -> float:
    return 2.0 ** (-step / STEPS_PER_DOUBLING)
