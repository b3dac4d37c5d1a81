"""Which hosts of a group take a role that a few of them hold for all.

Nobody is voted for and nothing is agreed: a host that hears enough others in the role,
all of them before it in an order that all compute alike, leaves it to them. Two too
many cost a few datagrams or calls; one too few is noticed within two seconds, and what
the role is for has a way without it.
"""

import functools

import xxhash

# A host in a role is heard five times a second; one that is silent for longer than
# this has lost all of five datagrams, stands still or is gone.
SILENT_SECONDS = 1.0
# How much longer a host waits for each one before it in the order: the first ones take
# the role, and the others hear them before their own time comes.
PLACE_SECONDS = 0.15
# Hosts long gone stay listed; however many stand before it, a host waits no longer
# than for so many of them.
MOST_PLACES = 10


@functools.lru_cache(8192)
def rank(host: str) -> int:
    """Return a host's place in the order that all hosts compute alike."""
    return xxhash.xxh32_intdigest(host.encode())


class Election:
    """One role, seen from one host; times in seconds on the monotonic clock."""

    def __init__(self, host: str, seats: int):
        """Decide for ``host``; about ``seats`` hosts hold the role."""
        self._host = host
        self._seats = seats
        self._heard: dict[str, float] = {}
        self._missing_since: float | None = None
        self.holds = False

    def heard(self, host: str, now: float) -> None:
        """Note that another host was heard in the role."""
        if host != self._host:
            self._heard[host] = now

    def holders(self, now: float) -> list[str]:
        """Return the other hosts heard in the role lately, in order."""
        self._heard = {
            host: at for host, at in self._heard.items() if now - at < SILENT_SECONDS
        }
        return sorted(self._heard, key=rank)

    def decide(self, place: int, now: float) -> bool:
        """Return whether this host holds the role now.

        ``place``: how many listed hosts of the group come before it in the order.
        """
        own = rank(self._host)
        before = sum(rank(host) < own for host in self.holders(now))
        if self._missing_since is None or before >= self._seats:
            self._missing_since = now
        if before >= self._seats:
            self.holds = False
        elif now - self._missing_since >= self._patience(place):
            self.holds = True
        return self.holds

    def resign(self) -> None:
        """Leave the role, and wait anew before it is taken again."""
        self.holds = False
        self._missing_since = None

    def _patience(self, place: int) -> float:
        return SILENT_SECONDS + PLACE_SECONDS * min(place, MOST_PLACES)
