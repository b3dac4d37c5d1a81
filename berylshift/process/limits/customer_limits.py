"""Rate limits of customers, enforced across all hosts without coordination.

Each host may use a share of a customer's rate: its part of the demand that it and its
peers have observed recently. A host that hears from too few peers falls back to an
equal share among the hosts it last knew, so that partitioned hosts don't exceed the
limit together.
"""

from collections import defaultdict, deque
from dataclasses import dataclass, field

import msgspec

from berylshift.ids import CustomerName, HostName

WINDOW_SECONDS = 5.0
PEER_EXPIRY_SECONDS = 6.0
MAX_ARRIVALS_KEPT = 4096
MIN_BURST_TOKENS = 1.0


class Demand(msgspec.Struct, frozen=True):
    """The demand of one customer at a host, in requests a second."""

    customer: CustomerName
    rate: float


@dataclass
class _Customer:
    arrivals: deque[float] = field(
        default_factory=lambda: deque(maxlen=MAX_ARRIVALS_KEPT)
    )
    peers: dict[HostName, tuple[float, float]] = field(default_factory=dict)
    tokens: float = MIN_BURST_TOKENS
    filled_at: float | None = None
    admitted: int = 0
    refused: int = 0


class CustomerLimits:
    """Token buckets by customer; limits in requests a second, 0 for none."""

    def __init__(self) -> None:
        """Start without limits, as the only host."""
        self._limits: dict[CustomerName, int] = {}
        self._customers: dict[CustomerName, _Customer] = defaultdict(_Customer)
        self._host_count = 1
        self._is_connected = True
        self._scale = 1.0

    def set_limits(self, limits: dict[CustomerName, int]) -> None:
        """Set the limits of a table version."""
        self._limits = limits

    def set_hosts(self, host_count: int, is_connected: bool, live_peers: int) -> None:
        """Set the number of hosts, and of the peers that are live.

        ``is_connected``: enough of the asked peers are live to be a representative
        sample of all peers.
        """
        self._host_count = max(1, host_count)
        self._is_connected = is_connected
        self._scale = (self._host_count - 1) / live_peers if live_peers else 1.0

    def record_peer_demand(
        self, peer: HostName, demands: list[Demand], at: float
    ) -> None:
        """Record a peer's demands, received at ``at``."""
        for demand in demands:
            self._customers[demand.customer].peers[peer] = (at, demand.rate)

    def demands(self, now: float) -> list[Demand]:
        """Return this host's own demands, for its peers."""
        demands = []
        for customer, state in self._customers.items():
            if customer in self._limits:
                rate = _own_rate(state, now)
                if rate:
                    demands.append(Demand(customer, rate))
        return demands

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
        equal_share = 1 / self._host_count
        if not self._is_connected:
            return equal_share
        own_rate = _own_rate(state, now)
        peer_rate = self._scale * sum(
            rate for at, rate in state.peers.values() if now - at <= PEER_EXPIRY_SECONDS
        )
        if own_rate + peer_rate <= 0:
            return equal_share
        return max(own_rate / (own_rate + peer_rate), equal_share / 2)

    def _refill(self, state: _Customer, rate: float, now: float) -> None:
        if state.filled_at is not None:
            state.tokens += rate * (now - state.filled_at)
        state.tokens = min(state.tokens, max(MIN_BURST_TOKENS, rate))
        state.filled_at = now


def _own_rate(state: _Customer, now: float) -> float:
    while state.arrivals and state.arrivals[0] < now - WINDOW_SECONDS:
        state.arrivals.popleft()
    return len(state.arrivals) / WINDOW_SECONDS
