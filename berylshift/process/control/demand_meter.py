"""Measures the demand of each pool in both currencies, here and at the peers."""

import math
from collections import defaultdict
from dataclasses import dataclass, field

from berylshift.ids import HostName, PoolName
from berylshift.process.membership.digest import Mix

FAST_SECONDS = 20.0
PEER_SECONDS = 10.0
LEAST_RATE = 0.5
KEPT_SECONDS = 0.25


class DecayingRate:
    """An exponentially weighted rate; forgets with a time constant in seconds."""

    def __init__(self, constant: float):
        """Start at nothing."""
        self._constant = constant
        self._sum = 0.0
        self._at = 0.0

    def add(self, amount: float, now: float) -> None:
        """Count an amount."""
        self._decay(now)
        self._sum += amount

    def rate(self, now: float) -> float:
        """Return the amount a second."""
        self._decay(now)
        return self._sum / self._constant

    def _decay(self, now: float) -> None:
        self._sum *= math.exp(-max(0.0, now - self._at) / self._constant)
        self._at = max(self._at, now)


@dataclass
class _PoolMeter:
    prefill: DecayingRate = field(default_factory=lambda: DecayingRate(FAST_SECONDS))
    decode: DecayingRate = field(default_factory=lambda: DecayingRate(FAST_SECONDS))
    peers: dict[HostName, tuple[float, Mix]] = field(default_factory=dict)


class MixMeter:
    """Token rates by pool."""

    def __init__(self) -> None:
        """Start with no demand."""
        self._pools: dict[PoolName, _PoolMeter] = defaultdict(_PoolMeter)
        self._scale = 1.0
        self._totals: dict[PoolName, tuple[float, Mix]] = {}

    def prefill(self, pool: PoolName, tokens: int, now: float) -> None:
        """Count tokens that were sent to be prefilled."""
        self._pools[pool].prefill.add(tokens, now)

    def decode(self, pool: PoolName, tokens: int, now: float) -> None:
        """Count tokens that were decoded."""
        self._pools[pool].decode.add(tokens, now)

    def set_hosts(self, hosts: int, in_sight: int) -> None:
        """Take the number of live hosts, and how many peers are in sight."""
        self._scale = (hosts - 1) / in_sight if in_sight else 1.0

    def own(self, now: float) -> list[Mix]:
        """Return this process's own rates, for its peers."""
        found = []
        for pool, meter in self._pools.items():
            mix = Mix(pool, meter.prefill.rate(now), meter.decode.rate(now))
            if mix.prefill_rate + mix.decode_rate >= LEAST_RATE:
                found.append(mix)
        return found

    def peer_mixes(self, peer: HostName, mixes: list[Mix], now: float) -> None:
        """Take a peer's rates."""
        for mix in mixes:
            self._pools[mix.pool].peers[peer] = (now, mix)

    def total(self, pool: PoolName, now: float) -> Mix:
        """Return the pool's whole demand, as far as known.

        The sum over peers grows with their number, and every decision asks for it:
        it is kept for a moment.
        """
        kept = self._totals.get(pool)
        if kept is not None and 0 <= now - kept[0] < KEPT_SECONDS:
            return kept[1]
        found = self._sum(pool, now)
        self._totals[pool] = (now, found)
        return found

    def _sum(self, pool: PoolName, now: float) -> Mix:
        meter = self._pools[pool]
        mixes = [mix for at, mix in meter.peers.values() if now - at <= PEER_SECONDS]
        prefill = self._scale * sum(mix.prefill_rate for mix in mixes)
        decode = self._scale * sum(mix.decode_rate for mix in mixes)
        return Mix(
            pool,
            meter.prefill.rate(now) + prefill,
            meter.decode.rate(now) + decode,
        )
