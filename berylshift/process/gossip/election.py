"""Elects the few hosts of a group that perform a role on behalf of all.

There is no voting and no consensus: a host that hears from enough other holders, all of
them before it in an order that every host computes alike, gives the role up. Two extra
holders cost a few datagrams or calls. A missing one is replaced within two seconds;
until then hosts use a fallback that does not need the role.
"""

import functools

import xxhash

# A holder sends five times a second; after this time without a digest all five were
# lost, or the host is suspended or gone.
HOLDER_TIMEOUT_SECONDS = 1.0
# How much longer a host waits for each one before it in the order: the first ones take
# the role, and the others hear from them before their own delay ends.
SECONDS_PER_RANK = 0.15
# Hosts long gone stay listed; the delay counts no more hosts than this.
MAX_DELAYED_RANKS = 10


@functools.lru_cache(8192)
def order_key(host: str) -> int:
    """Return the key by which every host sorts the hosts in the same order."""
    return xxhash.xxh32_intdigest(host.encode())


class Election:
    """One role, seen from one host; times in seconds on the monotonic clock."""

    def __init__(self, host: str, holder_count: int):
        """Decide for ``host``; about ``holder_count`` hosts hold the role."""
        self._host = host
        self._holder_count = holder_count
        self._heard_at: dict[str, float] = {}
        self._vacant_since: float | None = None
        self.is_holder = False

    def record_holder(self, host: str, now: float) -> None:
        """Record a digest of another host that holds the role."""
        if host != self._host:
            self._heard_at[host] = now

    def holders(self, now: float) -> list[str]:
        """Return the other hosts that held the role recently, in order."""
        self._heard_at = {
            host: at
            for host, at in self._heard_at.items()
            if now - at < HOLDER_TIMEOUT_SECONDS
        }
        return sorted(self._heard_at, key=order_key)

    def decide(self, rank: int, now: float) -> bool:
        """Return whether this host holds the role now.

        ``rank``: how many listed hosts of the group come before it in the order.
        """
        own = order_key(self._host)
        before = sum(order_key(host) < own for host in self.holders(now))
        if self._vacant_since is None or before >= self._holder_count:
            self._vacant_since = now
        if before >= self._holder_count:
            self.is_holder = False
        elif now - self._vacant_since >= self._takeover_delay(rank):
            self.is_holder = True
        return self.is_holder

    def resign(self) -> None:
        """Give up the role, and restart the delay before it is taken again."""
        self.is_holder = False
        self._vacant_since = None

    def _takeover_delay(self, rank: int) -> float:
        return HOLDER_TIMEOUT_SECONDS + SECONDS_PER_RANK * min(rank, MAX_DELAYED_RANKS)
