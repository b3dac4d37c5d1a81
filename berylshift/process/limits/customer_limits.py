"""Customers' limits, held across all hosts without asking anyone.

Each host spends a share of a customer's rate: its part of the demand that it and
its peers have lately seen. A host that hears of no peer falls back to an even
share of the hosts it last knew, so hosts cut off from each other do not together
exceed the limit.
"""

from collections import defaultdict, deque
from dataclasses import dataclass, field

import msgspec

from berylshift.ids import CustomerName, HostName

WINDOW_SECONDS = 5.0
PEER_SECONDS = 6.0
SEEN_KEPT = 4096
FEWEST_TOKENS = 1.0


class Demand(msgspec.Struct, frozen=True):
    """A host's demand of one customer, in requests a second."""

    customer: CustomerName
    rate: float


@dataclass
class _Customer:
    arrivals: deque[float] = field(default_factory=lambda: deque(maxlen=SEEN_KEPT))
    peers: dict[HostName, tuple[float, float]] = field(default_factory=dict)
    tokens: float = FEWEST_TOKENS
    filled_at: float | None = None
    admitted: int = 0
    refused: int = 0


class CustomerLimits:
    """Token buckets by customer; limits in requests a second, 0 for none."""

    def __init__(self) -> None:
        """Start with no limits and alone."""
        self._limits: dict[CustomerName, int] = {}
        self._customers: dict[CustomerName, _Customer] = defaultdict(_Customer)
        self._hosts = 1
        self._connected = True
        self._scale = 1.0

    def set_limits(self, limits: dict[CustomerName, int]) -> None:
        """Take the limits of a table version."""
        self._limits = limits

    def set_hosts(self, hosts: int, connected: bool, in_sight: int) -> None:
        """Take the number of live hosts, and how many peers are in sight.

        ``connected`` says whether these are as many as were asked, so that they
        are a fair sample of the others.
        """
        self._hosts = max(1, hosts)
        self._connected = connected
        self._scale = (self._hosts - 1) / in_sight if in_sight else 1.0

    def peer_demand(self, peer: HostName, demands: list[Demand], at: float) -> None:
        """Take a peer's demands, heard at ``at``."""
        for demand in demands:
            self._customers[demand.customer].peers[peer] = (at, demand.rate)

    def demands(self, now: float) -> list[Demand]:
        """Return this host's own demands, for its peers."""
        found = []
        for customer, state in self._customers.items():
            if customer in self._limits:
                rate = _own_rate(state, now)
                if rate:
                    found.append(Demand(customer, rate))
        return found

    def admit(self, customer: CustomerName, now: float) -> float:
        """Admit a request and return 0, or return the seconds to wait."""
        state = self._customers[customer]
        state.arrivals.append(now)
        limit = self._limits.get(customer, 0)
        if not limit:
            state.admitted += 1
            return 0.0
        rate = limit * self._share(state, now)
        self._refill(state, rate, now)
        if state.tokens < 1:
            state.refused += 1
            return max(0.05, (1 - state.tokens) / rate)
        state.tokens -= 1
        state.admitted += 1
        return 0.0

    def counts(self) -> dict[CustomerName, tuple[int, int]]:
        """Return admitted and refused requests by customer."""
        return {
            name: (state.admitted, state.refused)
            for name, state in self._customers.items()
        }

    def _share(self, state: _Customer, now: float) -> float:
        even = 1 / self._hosts
        if not self._connected:
            return even
        own = _own_rate(state, now)
        others = self._scale * sum(
            rate for at, rate in state.peers.values() if now - at <= PEER_SECONDS
        )
        if own + others <= 0:
            return even
        return max(own / (own + others), even / 2)

    def _refill(self, state: _Customer, rate: float, now: float) -> None:
        if state.filled_at is not None:
            state.tokens += rate * (now - state.filled_at)
        state.tokens = min(state.tokens, max(FEWEST_TOKENS, rate))
        state.filled_at = now


def _own_rate(state: _Customer, now: float) -> float:
    while state.arrivals and state.arrivals[0] < now - WINDOW_SECONDS:
        state.arrivals.popleft()
    return len(state.arrivals) / WINDOW_SECONDS
