"""Prefill work that each customer asks for, at this host and at the others.

Each host counts the prefill tokens of arriving prompts by service and customer, with a
half-life of two seconds, and sends the largest counts and each service's total to the
other hosts. Counts replace the former ones of their sender, so a repeated digest counts
once, and after a lost digest the former counts only decay.
"""

import functools
import math
from dataclasses import dataclass, field

import msgspec
import xxhash

from berylshift.ids import CustomerName, ServiceName
from berylshift.messages.load_digest import CustomerTokens, LoadDigest, Scope
from berylshift.messages.usage import customer_hash

# Long enough for a customer with a prompt or two a second, short enough that a burst
# shows within a second.
HALF_LIFE_SECONDS = 2.0
# Seconds of steady demand that a count amounts to.
WINDOW_SECONDS = HALF_LIFE_SECONDS / math.log(2)
# Customers in one digest, of all services; their services' totals are added.
MAX_CUSTOMERS = 12
# Totals in one digest.
MAX_SERVICES = 4
# How often counts are sent. By way of two collectors a burst is known to all hosts
# within three of these intervals and three of the digests'.
SEND_SECONDS = 0.15
# A digest with a lower number is an older one, unless its sender was silent for this
# long: a restarted process numbers its digests from the beginning.
REORDER_SECONDS = 0.6
# By then counts have decayed to a 256th.
MEMORY_SECONDS = 8 * HALF_LIFE_SECONDS
# Smaller counts are neither sent nor kept.
MIN_TOKENS = 64.0
# The sum over all senders is computed again after this time.
SUM_SECONDS = 0.2
# Stands for all customers of a service, and for prompts without one.
TOTAL = 0
MAX_CACHED_SERVICES = 1024

# The short hashes of service and customer.
Key = tuple[int, int]


@dataclass
class _Count:
    """Tokens as of ``at``."""

    tokens: float
    at: float

    def current(self, now: float) -> float:
        """Return the tokens after decay."""
        return self.tokens * _decay(self.at, now)


@dataclass
class _Sender:
    """The counts in the newest digest of one sender that had any."""

    sequence: int = 0
    received_at: float = float("-inf")
    counts: dict[Key, float] = field(default_factory=dict)


class ServiceDemand(msgspec.Struct, frozen=True):
    """Decayed tokens of one service: in total, and of the largest customers."""

    total: float = 0.0
    customers: dict[int, float] = {}

    def of(self, customer: CustomerName) -> float:
        """Return the tokens of one customer."""
        return self.customers.get(customer_hash(customer), 0.0)

    def others(self, customer: CustomerName) -> list[float]:
        """Return the tokens of the other customers."""
        own = customer_hash(customer)
        return [count for key, count in self.customers.items() if key != own]


class CustomerDemand:
    """Counts by service and customer, of this host and of others; times in seconds."""

    def __init__(self, host: str = "", domain: str = ""):
        """Leave out digests of ``host`` itself, which is in ``domain``."""
        self._host = host
        self._domain = domain
        self._own: dict[Key, _Count] = {}
        self._recorded_at = float("-inf")
        self._hosts: dict[str, _Sender] = {}
        self._domains: dict[str, _Sender] = {}
        self._total = _Sender()
        self._sent_at: dict[Scope, float] = {}
        self._sums: dict[int, ServiceDemand] = {}
        self._summed_at = float("-inf")
        self._dropped_at = float("-inf")

    def record(
        self,
        service: ServiceName,
        customer: CustomerName | None,
        tokens: int,
        now: float,
    ) -> None:
        """Count the prefill tokens of a prompt that arrived."""
        self._recorded_at = now
        hashed = service_hash(service)
        self._add((hashed, TOTAL), tokens, now)
        if customer is not None:
            self._add((hashed, customer_hash(customer)), tokens, now)
        if now - self._dropped_at >= MEMORY_SECONDS:
            self._drop_decayed(now)

    def _add(self, key: Key, tokens: int, now: float) -> None:
        known = self._own.get(key)
        before = 0.0 if known is None else known.current(now)
        self._own[key] = _Count(before + tokens, now)

    def receive(self, digest: LoadDigest, uses_collectors: bool, now: float) -> None:
        """Replace the counts of a digest's sender, unless a newer digest is known.

        Not every digest has counts: one without leaves the former ones.
        """
        if digest.host == self._host or not digest.demand:
            return
        if digest.scope is Scope.ALL_HOSTS:
            _replace(self._total, digest, now)
        elif digest.scope is Scope.DOMAIN:
            if digest.domain != self._domain:
                sender = self._domains.setdefault(digest.domain, _Sender())
                _replace(sender, digest, now)
        elif not (uses_collectors and digest.domain != self._domain):
            _replace(self._hosts.setdefault(digest.host, _Sender()), digest, now)
        if now - self._dropped_at >= MEMORY_SECONDS:
            self._drop_decayed(now)

    def has_updates(self, now: float) -> bool:
        """Return whether own work is new and must be sent with the next digest."""
        sent_at = self._sent_at.get(Scope.HOST, float("-inf"))
        return self._recorded_at > sent_at and self.is_due(Scope.HOST, now)

    def is_due(self, scope: Scope, now: float) -> bool:
        """Return whether the next digest of a scope is to have counts."""
        if not (self._own or self._hosts or self._domains):
            return False
        return now - self._sent_at.get(scope, float("-inf")) >= SEND_SECONDS

    def take_counts(self, scope: Scope, now: float) -> tuple[CustomerTokens, ...]:
        """Return the totals and largest counts for a digest of a scope, if due."""
        if not self.is_due(scope, now):
            return ()
        self._sent_at[scope] = now
        found = self._sum(scope, now)
        largest = sorted(found.items(), key=lambda item: item[1], reverse=True)
        kept = [item for item in largest if item[1] >= MIN_TOKENS]
        totals = [item for item in kept if item[0][1] == TOTAL][:MAX_SERVICES]
        customers = [item for item in kept if item[0][1] != TOTAL][:MAX_CUSTOMERS]
        return tuple(
            CustomerTokens(service, customer, round(tokens))
            for (service, customer), tokens in (*totals, *customers)
        )

    def of(self, service: ServiceName, now: float) -> ServiceDemand:
        """Return the demand for a service at all hosts, as of a short time ago."""
        if now - self._summed_at >= SUM_SECONDS:
            self._sums, self._summed_at = self._all_demand(now), now
        return self._sums.get(service_hash(service), ServiceDemand())

    def _all_demand(self, now: float) -> dict[int, ServiceDemand]:
        """Return the demand by service.

        A collector's total includes this host's counts and those of hosts that this
        host hears from, as of a short time ago: the higher figure is used.
        """
        found = self._sum(Scope.ALL_HOSTS, now)
        factor = _decay(self._total.received_at, now)
        for key, tokens in self._total.counts.items():
            found[key] = max(found.get(key, 0.0), tokens * factor)
        totals: dict[int, float] = {}
        customers: dict[int, dict[int, float]] = {}
        for (service, customer), tokens in found.items():
            if tokens < MIN_TOKENS:
                continue
            if customer == TOTAL:
                totals[service] = tokens
            else:
                customers.setdefault(service, {})[customer] = tokens
        return {
            service: ServiceDemand(total, customers.get(service, {}))
            for service, total in totals.items()
        }

    def _sum(self, scope: Scope, now: float) -> dict[Key, float]:
        """Return the counts of this host and, by scope, of those it hears from."""
        found = {key: count.current(now) for key, count in self._own.items()}
        senders: list[_Sender] = []
        if scope is not Scope.HOST:
            senders += self._hosts.values()
        if scope is Scope.ALL_HOSTS:
            senders += self._domains.values()
        for sender in senders:
            factor = _decay(sender.received_at, now)
            for key, tokens in sender.counts.items():
                found[key] = found.get(key, 0.0) + tokens * factor
        return found

    def _drop_decayed(self, now: float) -> None:
        """Remove what has decayed: memory must not grow with customers and hosts."""
        self._dropped_at = now
        self._own = {
            key: count
            for key, count in self._own.items()
            if count.current(now) >= MIN_TOKENS
        }
        oldest = now - MEMORY_SECONDS
        for senders in (self._hosts, self._domains):
            for name, sender in list(senders.items()):
                if sender.received_at < oldest:
                    del senders[name]

    def __len__(self) -> int:
        """Return how many counts this host has of its own."""
        return len(self._own)


@functools.lru_cache(MAX_CACHED_SERVICES)
def service_hash(service: ServiceName) -> int:
    """Return the 16-bit hash that stands for a service in digests."""
    return xxhash.xxh32_intdigest(service.encode()) & 0xFFFF


def _replace(sender: _Sender, digest: LoadDigest, now: float) -> None:
    """Store the counts of a digest, unless it is older than the known one."""
    is_recent = now - sender.received_at < REORDER_SECONDS
    if is_recent and digest.sequence <= sender.sequence:
        return
    sender.sequence, sender.received_at = digest.sequence, now
    sender.counts = {
        (entry.service, entry.customer): entry.tokens for entry in digest.demand
    }


def _decay(since: float, now: float) -> float:
    """Return what is left of a count after a time."""
    return 0.5 ** (max(0.0, now - since) / HALF_LIFE_SECONDS)
