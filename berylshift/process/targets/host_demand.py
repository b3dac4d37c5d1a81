"""How many requests each host gets, by which replicas' limits are divided.

While replicas state limits, hosts announce their rates of requests to each other. A
share may grow only once the others have left room for it: a host counts itself at the
lowest rate that it announced within ``SETTLE_SECONDS``, and the others at the highest
that it heard of. Then the shares of all hosts add up to one at most, although they
learn of each other's rates at different times.
"""

import math
from collections import deque
from collections.abc import Callable, Sequence

from berylshift.messages.load_digest import LoadDigest, Scope
from berylshift.store.host_rows import HostRecord

# Half-life of the requests counted.
HALF_LIFE_SECONDS = 1.0
WINDOW_SECONDS = HALF_LIFE_SECONDS / math.log(2)
# Two repetitions of a digest, and the time for which a share is used.
SETTLE_SECONDS = 1.2
# A host with requests sends digests more often than this, an idle one every 3 s.
SILENT_SECONDS = 4.0
# Announced in place of no request at all.
MIN_RATE = 0.01
# The part of a limit that is divided evenly, so that each host can begin.
EVEN_FRACTION = 0.2


class _Announced:
    """The rates that one host announced lately, in requests a second."""

    def __init__(self) -> None:
        # Time and rate; the first one was in force as the window began.
        self._rates: deque[tuple[float, float]] = deque()

    def add(self, rate: float, now: float) -> None:
        """Add an announcement."""
        self._rates.append((now, rate))

    def is_settled(self, now: float) -> bool:
        """Return whether a rate has been in force for the whole window."""
        return bool(self._rates) and self._rates[0][0] <= now - SETTLE_SECONDS

    def is_silent(self, now: float) -> bool:
        """Return whether the last announcement is too old."""
        return not self._rates or now - self._rates[-1][0] >= SILENT_SECONDS

    def in_force(self, now: float) -> list[float]:
        """Return the rates in force within the window; without requests they decay."""
        start = now - SETTLE_SECONDS
        while len(self._rates) > 1 and self._rates[1][0] <= start:
            self._rates.popleft()
        return [rate * _decay(at, max(at, start)) for at, rate in self._rates]


class HostDemand:
    """Rates of this host and of the others; times on the monotonic clock."""

    def __init__(self, host: str = "", has_limits: Callable[[], bool] = lambda: False):
        """Announce the rate of ``host`` while ``has_limits`` returns ``True``."""
        self._host = host
        self._has_limits = has_limits
        self._count = 0.0
        self._counted_at = 0.0
        self._own = _Announced()
        self._others: dict[str, _Announced] = {}

    def record_request(self, now: float) -> None:
        """Count a request that a caller sent to this host."""
        self._count = self._count * _decay(self._counted_at, now) + 1
        self._counted_at = now

    def rate_to_send(self, now: float) -> float:
        """Return this host's rate for a digest; 0: none is announced."""
        if not self._has_limits():
            return 0.0
        rate = max(MIN_RATE, self._rate(now))
        self._own.add(rate, now)
        return rate

    def receive(self, digest: LoadDigest, now: float) -> None:
        """Store the rate that another host announces."""
        if digest.request_rate and digest.scope is Scope.HOST:
            known = self._others.setdefault(digest.host, _Announced())
            known.add(digest.request_rate, now)

    def fraction(self, hosts: Sequence[HostRecord], now: float) -> float:
        """Return this host's share of a limit that ``hosts`` divide among them.

        It is even at first, and no more than that while others are not heard of.
        """
        even = 1 / max(1, len(hosts))
        others = [rec.host for rec in hosts if rec.host != self._host]
        self._others = {
            name: self._others[name] for name in others if name in self._others
        }
        if not self._own.is_settled(now):
            return even
        own = min(self._own.in_force(now))
        known = sum(max(other.in_force(now)) for other in self._others.values())
        fraction = EVEN_FRACTION * even + (1 - EVEN_FRACTION) * own / (own + known)
        is_complete = len(self._others) == len(others) and all(
            other.is_settled(now) and not other.is_silent(now)
            for other in self._others.values()
        )
        return fraction if is_complete else min(even, fraction)

    def _rate(self, now: float) -> float:
        return self._count * _decay(self._counted_at, now) / WINDOW_SECONDS


def _decay(start: float, end: float) -> float:
    """Return the factor by which a count decays from ``start`` to ``end``."""
    return 0.5 ** (max(0.0, end - start) / HALF_LIFE_SECONDS)
