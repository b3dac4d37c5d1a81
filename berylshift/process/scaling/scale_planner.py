"""Which replicas to order: interruptible ones where they are to be had, else standing.

Interruptible replicas go a whole domain at a time, and for a while no new ones are to
be had there. So many are ordered in each domain that the others still have what the
service needs when one is lost. Standing replicas fill up what is missing, and are given
up once interruptible ones are there.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from berylshift.ids import DomainName, ServiceName
from berylshift.messages.leader_calls import DutyAnswer
from berylshift.messages.replicas import Replica
from berylshift.messages.scaling import ReplicaKind, ScaleOrder
from berylshift.version.routes import Scaling

# While a system starts, replicas enter the list one by one: what stands is known once
# their number has not changed for this long, in seconds.
SETTLED_SECONDS = 1.2
# How long replicas may be missing before others are ordered, in seconds. Longer than
# one that crashed needs to come back; those that said that they leave are missed at
# once.
MISSING_SECONDS = 3.0
# How much longer than its start a replica may take until it is listed, in seconds.
LISTED_SECONDS = 2.0
# How long to wait where none were to be had, in seconds.
UNAVAILABLE_SECONDS = 2.0
# While there is traffic, standing replicas are given up in one domain at a time, in
# seconds from one to the next: those that take over have read no prompt yet.
GIVE_UP_SECONDS = 3.0
# Domains among which interruptible replicas have to be spread: fewer lose too much at
# once.
LEAST_DOMAINS = 2


@dataclass
class DomainCount:
    """The replicas listed of one domain, without those that leave."""

    standing: int = 0
    interruptible: int = 0
    # Interruptible ones that said that they leave.
    leaving: int = 0

    @property
    def total(self) -> int:
        """Return how many are or were lately there."""
        return self.standing + self.interruptible + self.leaving


@dataclass
class _Ordered:
    desired: int
    at: float


class ScalePlanner:
    """Plans one service's orders; times in seconds on the monotonic clock."""

    def __init__(self, service: ServiceName, scaling: Scaling):
        """Plan within the bounds of ``scaling``."""
        self._service = service
        self.scaling = scaling
        self._prices = {found.domain: found.price for found in scaling.prices}
        # Replicas that the service needs; 0: not known yet.
        self.needed = 0
        # What stands, as far as it is known: what the service is taken to need.
        self.found = 0
        self._ordered: dict[tuple[DomainName, ReplicaKind], _Ordered] = {}
        self._unavailable_until: dict[DomainName, float] = {}
        self._missing_since: float | None = None
        self._listed = -1
        self._listed_since = 0.0
        self._gave_up_at = float("-inf")

    def plan(
        self, replicas: Iterable[Replica], now: float, calm: bool
    ) -> tuple[ScaleOrder, ...]:
        """Return the orders due; ``calm``: no traffic needs the replicas."""
        counts = self._counts(replicas)
        if not self._orders_pay(counts):
            return ()
        if not self.needed:
            self._look(counts, now)
            return ()
        interruptible = [
            order
            for domain in sorted(counts)
            for order in self._interruptible_orders(domain, counts, now)
        ]
        return (*interruptible, *self._standing_orders(counts, now, calm))

    def answered(self, order: ScaleOrder, answer: DutyAnswer, now: float) -> None:
        """Note what an order came to."""
        if answer is DutyAnswer.UNAVAILABLE:
            self._unavailable_until[order.domain] = now + UNAVAILABLE_SECONDS
        elif answer in (DutyAnswer.DONE, DutyAnswer.UNKNOWN):
            self._ordered[order.domain, order.kind] = _Ordered(order.desired, now)

    def _counts(self, replicas: Iterable[Replica]) -> dict[DomainName, DomainCount]:
        found = {domain: DomainCount() for domain in self._prices}
        for replica in replicas:
            count = found.setdefault(replica.domain, DomainCount())
            if replica.draining:
                count.leaving += replica.interruptible
            elif replica.interruptible:
                count.interruptible += 1
            else:
                count.standing += 1
        return found

    def _look(self, counts: dict[DomainName, DomainCount], now: float) -> None:
        """Take what stands for what is needed, once their number is steady.

        Of interruptible ones there are more than are needed, by one domain's.
        """
        total = sum(count.total for count in counts.values())
        if total != self._listed:
            self._listed, self._listed_since = total, now
        if not total or now - self._listed_since < SETTLED_SECONDS:
            return
        standing = sum(count.standing for count in counts.values())
        spare = math.ceil((total - standing) / len(counts))
        self.found = total - spare

    def _orders_pay(self, counts: dict[DomainName, DomainCount]) -> bool:
        """Return whether there is anything to gain; else operators' numbers stay.

        Interruptible replicas that are there are looked after all the same.
        """
        if any(count.interruptible or count.leaving for count in counts.values()):
            return True
        price, domains = self.scaling.interruptible_price, len(counts)
        if price is None or domains < LEAST_DOMAINS:
            return False
        return price * domains / (domains - 1) < 1.0

    # Interruptible replicas

    def _interruptible_in_each(self, counts: dict[DomainName, DomainCount]) -> int:
        """Return how many interruptible replicas each domain should have.

        None where they would cost more than the standing ones that they replace.
        """
        price, domains = self.scaling.interruptible_price, len(counts)
        if price is None or domains < LEAST_DOMAINS:
            return 0
        each = math.ceil(self.needed / (domains - 1))
        return each if price * each * domains < self.needed else 0

    def _interruptible_orders(
        self, domain: DomainName, counts: dict[DomainName, DomainCount], now: float
    ) -> list[ScaleOrder]:
        if now < self._unavailable_until.get(domain, 0.0):
            return []
        count = counts[domain]
        room = self.scaling.most - count.standing
        desired = max(0, min(self._interruptible_in_each(counts), room))
        if desired == count.interruptible:
            return []
        return self._order_once(domain, ReplicaKind.INTERRUPTIBLE, desired, now)

    # Standing replicas

    def _standing_orders(
        self, counts: dict[DomainName, DomainCount], now: float, calm: bool
    ) -> list[ScaleOrder]:
        desired = self._standing_wanted(counts, now, calm)
        changed = [name for name in counts if desired[name] != counts[name].standing]
        more = [name for name in changed if desired[name] > counts[name].standing]
        if more and self._are_missing(counts, now):
            return self._standing_in(more, desired, now)
        if not more:
            self._missing_since = None
        fewer = [name for name in changed if name not in more]
        if not fewer or (not calm and now - self._gave_up_at < GIVE_UP_SECONDS):
            return []
        found = self._standing_in(fewer if calm else fewer[:1], desired, now)
        if found:
            self._gave_up_at = now
        return found

    def _standing_in(
        self, domains: list[DomainName], desired: dict[DomainName, int], now: float
    ) -> list[ScaleOrder]:
        return [
            order
            for domain in domains
            for order in self._order_once(
                domain, ReplicaKind.STANDING, desired[domain], now
            )
        ]

    def _are_missing(self, counts: dict[DomainName, DomainCount], now: float) -> bool:
        """Return whether replicas are missing that will not soon be back."""
        if self._missing_since is None:
            self._missing_since = now
        if any(count.leaving for count in counts.values()):
            return True
        return now - self._missing_since >= MISSING_SECONDS

    def _standing_wanted(
        self, counts: dict[DomainName, DomainCount], now: float, calm: bool
    ) -> dict[DomainName, int]:
        """Return how many standing replicas each domain should have.

        Those that stand stay as far as they are needed; further ones come where they
        are cheapest, and the dearest go first.
        """
        coming = self._coming(counts, now) if calm else {}
        interruptible = sum(
            max(count.interruptible, coming.get(name, 0))
            for name, count in counts.items()
        )
        missing = max(0, self.needed - interruptible)
        found = {
            name: max(0, self.scaling.least - count.interruptible)
            for name, count in counts.items()
        }
        missing -= sum(found.values())
        by_price = sorted(counts, key=lambda name: (self._prices.get(name, 1.0), name))
        for name in by_price:
            kept = min(missing, max(0, counts[name].standing - found[name]))
            found[name] += max(0, kept)
            missing -= max(0, kept)
        for name in by_price:
            room = self.scaling.most - counts[name].interruptible - found[name]
            added = max(0, min(missing, room))
            found[name] += added
            missing -= added
        return found

    def _coming(
        self, counts: dict[DomainName, DomainCount], now: float
    ) -> dict[DomainName, int]:
        """Return the interruptible replicas that were ordered and may still start."""
        takes = self.scaling.boot_seconds + LISTED_SECONDS
        found = {}
        for name in counts:
            ordered = self._ordered.get((name, ReplicaKind.INTERRUPTIBLE))
            if ordered is not None and now - ordered.at < takes:
                found[name] = ordered.desired
        return found

    def _order_once(
        self, domain: DomainName, kind: ReplicaKind, desired: int, now: float
    ) -> list[ScaleOrder]:
        """Return the order, unless the same one may still take effect."""
        former = self._ordered.get((domain, kind))
        if former is not None and former.desired == desired:
            takes = self.scaling.boot_seconds + LISTED_SECONDS
            if now - former.at < takes:
                return []
        return [ScaleOrder(self._service, domain, kind, desired)]
