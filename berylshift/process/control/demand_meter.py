"""Measures each pool's prefill and decode demand, on this host and its peers."""

import math
from collections import defaultdict
from dataclasses import dataclass, field

from berylshift.ids import HostName, PoolName
from berylshift.process.membership.digest import Mix

RATE_TIME_CONSTANT_SECONDS = 20.0
PEER_EXPIRY_SECONDS = 10.0
MIN_RATE_TOKENS_PER_SECOND = 0.5
TOTAL_CACHE_SECONDS = 0.25


class DecayingRate:
    """An exponentially decaying rate; the time constant is in seconds."""

    def __init__(self, time_constant_seconds: float):
        """Start at zero."""
        self._time_constant = time_constant_seconds
        self._sum = 0.0
        self._updated_at = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add an amount."""
        self._decay(now)
        self._sum += amount

    def rate(self, now: float) -> float:
        """Return the amount per second."""
        self._decay(now)
        return self._sum / self._time_constant

    def _decay(self, now: float) -> None:
        self._sum *= math.exp(-max(0.0, now - self._updated_at) / self._time_constant)
        self._updated_at = max(self._updated_at, now)


@dataclass
class _PoolMeter:
    prefill: DecayingRate = field(
        default_factory=lambda: DecayingRate(RATE_TIME_CONSTANT_SECONDS)
    )
    decode: DecayingRate = field(
        default_factory=lambda: DecayingRate(RATE_TIME_CONSTANT_SECONDS)
    )
    peers: dict[HostName, tuple[float, Mix]] = field(default_factory=dict)


class DemandMeter:
    """Token rates by pool; ``Mix`` holds the prefill and the decode rate."""

    def __init__(self) -> None:
        """Start with zero demand."""
        self._pools: dict[PoolName, _PoolMeter] = defaultdict(_PoolMeter)
        self._peer_scale = 1.0
        self._totals: dict[PoolName, tuple[float, Mix]] = {}

    def prefill(self, pool: PoolName, tokens: int, now: float) -> None:
        """Count tokens that were sent to be prefilled."""
        self._pools[pool].prefill.add(tokens, now)

    def decode(self, pool: PoolName, tokens: int, now: float) -> None:
        """Count tokens that were decoded."""
        self._pools[pool].decode.add(tokens, now)

    def set_hosts(self, hosts: int, peers_seen: int) -> None:
        """Set the number of live hosts and of the peers that report to this host.

        The rates of the reporting peers are scaled up to all other hosts.
        """
        self._peer_scale = (hosts - 1) / peers_seen if peers_seen else 1.0

    def local_rates(self, now: float) -> list[Mix]:
        """Return the rates measured by this process, for its peers."""
        found = []
        for pool, meter in self._pools.items():
            mix = Mix(pool, meter.prefill.rate(now), meter.decode.rate(now))
            if mix.prefill_rate + mix.decode_rate >= MIN_RATE_TOKENS_PER_SECOND:
                found.append(mix)
        return found

    def update_peer(self, peer: HostName, mixes: list[Mix], now: float) -> None:
        """Store the rates that a peer reported."""
        for mix in mixes:
            self._pools[mix.pool].peers[peer] = (now, mix)

    def total(self, pool: PoolName, now: float) -> Mix:
        """Return the pool's estimated total demand.

        The sum takes time in proportion to the number of peers and is needed by every
        decision, so it is cached for ``TOTAL_CACHE_SECONDS``.
        """
        cached = self._totals.get(pool)
        if cached is not None and 0 <= now - cached[0] < TOTAL_CACHE_SECONDS:
            return cached[1]
        found = self._sum(pool, now)
        self._totals[pool] = (now, found)
        return found

    def _sum(self, pool: PoolName, now: float) -> Mix:
        meter = self._pools[pool]
        mixes = [
            mix for at, mix in meter.peers.values() if now - at <= PEER_EXPIRY_SECONDS
        ]
        prefill = self._peer_scale * sum(mix.prefill_rate for mix in mixes)
        decode = self._peer_scale * sum(mix.decode_rate for mix in mixes)
        return Mix(
            pool,
            meter.prefill.rate(now) + prefill,
            meter.decode.rate(now) + decode,
        )
