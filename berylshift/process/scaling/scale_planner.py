"""Plans which replicas to order: interruptible if available, otherwise on-demand ones.

Interruptible replicas are reclaimed by whole domains, and for a while no new ones are
available there. Each domain gets so many that the others still have what the service
needs when one is lost. On-demand replicas make up for what is missing and are released
once interruptible ones are running.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from berylshift.ids import DomainName, ServiceName
from berylshift.messages.leader_calls import CallResult
from berylshift.messages.replicas import Replica
from berylshift.messages.scaling import ReplicaKind, ScaleOrder
from berylshift.version.routes import Scaling

# While a system starts, replicas are listed one by one: they are counted once their
# number has not changed for this long, in seconds.
STABLE_COUNT_SECONDS = 1.2
# How long replicas may be missing before others are ordered, in seconds: longer than a
# crashed one needs to come back. Draining replicas are replaced at once.
MAX_MISSING_SECONDS = 3.0
# How long after its start a replica may take to be listed, in seconds.
LISTING_DELAY_SECONDS = 2.0
# How long to wait where no interruptible replicas were available, in seconds.
UNAVAILABLE_RETRY_SECONDS = 2.0
# While there is traffic, on-demand replicas are released in one domain at a time, with
# this interval in seconds, because their replacements have no cached prompts yet.
RELEASE_INTERVAL_SECONDS = 3.0
# Minimum number of domains among which to spread interruptible replicas: with fewer, a
# reclaim loses too large a share at once.
MIN_DOMAINS = 2


@dataclass
class DomainCount:
    """The listed replicas of one domain; ``draining``: only interruptible ones."""

    on_demand: int = 0
    interruptible: int = 0
    # Interruptible replicas that state that they are draining.
    draining: int = 0

    @property
    def total(self) -> int:
        """Return the number of replicas including draining ones."""
        return self.on_demand + self.interruptible + self.draining


@dataclass
class _SentOrder:
    desired: int
    at: float


class ScalePlanner:
    """Plans one service's orders; times in seconds on the monotonic clock."""

    def __init__(self, service: ServiceName, scaling: Scaling):
        """Plan within the bounds of ``scaling``."""
        self._service = service
        self.scaling = scaling
        self._prices = {found.domain: found.price for found in scaling.prices}
        # The replicas that the service needs; 0: not known yet.
        self.needed = 0
        # How many the service is estimated to need, from the running replicas.
        self.estimate = 0
        self._ordered: dict[tuple[DomainName, ReplicaKind], _SentOrder] = {}
        self._unavailable_until: dict[DomainName, float] = {}
        self._missing_since: float | None = None
        self._listed_count = -1
        self._listed_count_since = 0.0
        self._released_at = float("-inf")

    def plan(
        self, replicas: Iterable[Replica], now: float, is_idle: bool
    ) -> tuple[ScaleOrder, ...]:
        """Return the orders due; ``is_idle``: no traffic needs the replicas."""
        counts = self._counts(replicas)
        if not self._is_worthwhile(counts):
            return ()
        if not self.needed:
            self._estimate_needed(counts, now)
            return ()
        interruptible = [
            order
            for domain in sorted(counts)
            for order in self._interruptible_orders(domain, counts, now)
        ]
        return (*interruptible, *self._on_demand_orders(counts, now, is_idle))

    def record_result(self, order: ScaleOrder, answer: CallResult, now: float) -> None:
        """Record the result of an order."""
        if answer is CallResult.UNAVAILABLE:
            self._unavailable_until[order.domain] = now + UNAVAILABLE_RETRY_SECONDS
        elif answer in (CallResult.DONE, CallResult.UNKNOWN):
            self._ordered[order.domain, order.kind] = _SentOrder(order.desired, now)

    def _counts(self, replicas: Iterable[Replica]) -> dict[DomainName, DomainCount]:
        found = {domain: DomainCount() for domain in self._prices}
        for replica in replicas:
            count = found.setdefault(replica.domain, DomainCount())
            if replica.draining:
                count.draining += replica.interruptible
            elif replica.interruptible:
                count.interruptible += 1
            else:
                count.on_demand += 1
        return found

    def _estimate_needed(
        self, counts: dict[DomainName, DomainCount], now: float
    ) -> None:
        """Estimate what is needed from the replicas once their number is steady.

        One domain's share of the interruptible replicas is spare and not counted.
        """
        total = sum(count.total for count in counts.values())
        if total != self._listed_count:
            self._listed_count, self._listed_count_since = total, now
        if not total or now - self._listed_count_since < STABLE_COUNT_SECONDS:
            return
        on_demand = sum(count.on_demand for count in counts.values())
        spare = math.ceil((total - on_demand) / len(counts))
        self.estimate = total - spare

    def _is_worthwhile(self, counts: dict[DomainName, DomainCount]) -> bool:
        """Return whether scaling can save cost; otherwise operators' numbers stay.

        Interruptible replicas that are already running are managed in any case.
        """
        if any(count.interruptible or count.draining for count in counts.values()):
            return True
        price, domains = self.scaling.interruptible_price, len(counts)
        if price is None or domains < MIN_DOMAINS:
            return False
        return price * domains / (domains - 1) < 1.0

    # Interruptible replicas

    def _interruptible_per_domain(self, counts: dict[DomainName, DomainCount]) -> int:
        """Return how many interruptible replicas each domain should have.

        0 if they would cost more than the on-demand replicas that they replace.
        """
        price, domains = self.scaling.interruptible_price, len(counts)
        if price is None or domains < MIN_DOMAINS:
            return 0
        per_domain = math.ceil(self.needed / (domains - 1))
        return per_domain if price * per_domain * domains < self.needed else 0

    def _interruptible_orders(
        self, domain: DomainName, counts: dict[DomainName, DomainCount], now: float
    ) -> list[ScaleOrder]:
        if now < self._unavailable_until.get(domain, 0.0):
            return []
        count = counts[domain]
        room = self.scaling.max_replicas - count.on_demand
        desired = max(0, min(self._interruptible_per_domain(counts), room))
        if desired == count.interruptible:
            return []
        return self._order_once(domain, ReplicaKind.INTERRUPTIBLE, desired, now)

    # On-demand replicas

    def _on_demand_orders(
        self, counts: dict[DomainName, DomainCount], now: float, is_idle: bool
    ) -> list[ScaleOrder]:
        desired = self._on_demand_targets(counts, now, is_idle)
        changed = [name for name in counts if desired[name] != counts[name].on_demand]
        more = [name for name in changed if desired[name] > counts[name].on_demand]
        if more and self._is_shortage_lasting(counts, now):
            return self._on_demand_orders_in(more, desired, now)
        if not more:
            self._missing_since = None
        fewer = [name for name in changed if name not in more]
        if not fewer or (
            not is_idle and now - self._released_at < RELEASE_INTERVAL_SECONDS
        ):
            return []
        found = self._on_demand_orders_in(fewer if is_idle else fewer[:1], desired, now)
        if found:
            self._released_at = now
        return found

    def _on_demand_orders_in(
        self, domains: list[DomainName], desired: dict[DomainName, int], now: float
    ) -> list[ScaleOrder]:
        return [
            order
            for domain in domains
            for order in self._order_once(
                domain, ReplicaKind.ON_DEMAND, desired[domain], now
            )
        ]

    def _is_shortage_lasting(
        self, counts: dict[DomainName, DomainCount], now: float
    ) -> bool:
        """Return whether replicas are missing that will not be back soon."""
        if self._missing_since is None:
            self._missing_since = now
        if any(count.draining for count in counts.values()):
            return True
        return now - self._missing_since >= MAX_MISSING_SECONDS

    def _on_demand_targets(
        self, counts: dict[DomainName, DomainCount], now: float, is_idle: bool
    ) -> dict[DomainName, int]:
        """Return how many on-demand replicas each domain should have.

        Running ones stay as far as they are needed; additional ones are placed in the
        cheapest domains, and those in the most expensive domains are released first.
        """
        starting = self._starting(counts, now) if is_idle else {}
        interruptible = sum(
            max(count.interruptible, starting.get(name, 0))
            for name, count in counts.items()
        )
        missing = max(0, self.needed - interruptible)
        found = {
            name: max(0, self.scaling.min_replicas - count.interruptible)
            for name, count in counts.items()
        }
        missing -= sum(found.values())
        domains_by_price = sorted(
            counts, key=lambda name: (self._prices.get(name, 1.0), name)
        )
        for name in domains_by_price:
            retained = min(missing, max(0, counts[name].on_demand - found[name]))
            found[name] += max(0, retained)
            missing -= max(0, retained)
        for name in domains_by_price:
            room = self.scaling.max_replicas - counts[name].interruptible - found[name]
            added = max(0, min(missing, room))
            found[name] += added
            missing -= added
        return found

    def _starting(
        self, counts: dict[DomainName, DomainCount], now: float
    ) -> dict[DomainName, int]:
        """Return the ordered interruptible replicas that may still start."""
        start_seconds = self.scaling.boot_seconds + LISTING_DELAY_SECONDS
        found = {}
        for name in counts:
            ordered = self._ordered.get((name, ReplicaKind.INTERRUPTIBLE))
            if ordered is not None and now - ordered.at < start_seconds:
                found[name] = ordered.desired
        return found

    def _order_once(
        self, domain: DomainName, kind: ReplicaKind, desired: int, now: float
    ) -> list[ScaleOrder]:
        """Return the order unless an equal one may still take effect."""
        former = self._ordered.get((domain, kind))
        if former is not None and former.desired == desired:
            start_seconds = self.scaling.boot_seconds + LISTING_DELAY_SECONDS
            if now - former.at < start_seconds:
                return []
        return [ScaleOrder(self._service, domain, kind, desired)]
