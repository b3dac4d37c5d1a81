"""Which hosts to ask for a tunnel, and in which order; times in monotonic seconds."""

import random
from collections.abc import Callable, Iterable

from berylshift.ids import HostName
from berylshift.store.host_rows import HostRecord

# A host that opened a tunnel is preferred for this long.
GOOD_SECONDS = 2.0
# A host that opened none is asked only after all others for this long.
AVOID_SECONDS = 2.0
# Hosts that are asked for one connection at most.
MAX_ASKED = 8


class TunnelHosts:
    """Remembers how each host answered."""

    def __init__(
        self,
        host: HostName,
        domain: str,
        hosts: Callable[[], Iterable[HostRecord] | None],
        rng: random.Random,
    ):
        """Choose for ``host`` in ``domain`` among ``hosts()``."""
        self._host = host
        self._domain = domain
        self._hosts = hosts
        self._rng = rng
        self._good_until: dict[str, float] = {}
        self._avoid_until: dict[str, float] = {}

    def record_opened(self, host: str, now: float) -> None:
        """Record that a host opened a tunnel."""
        self._good_until[host] = now + GOOD_SECONDS
        self._avoid_until.pop(host, None)

    def record_failed(self, host: str, now: float) -> None:
        """Record that a host did not open a tunnel for a reason of its own."""
        self._avoid_until[host] = now + AVOID_SECONDS
        self._good_until.pop(host, None)

    def candidates(self, now: float) -> list[HostRecord]:
        """Return the hosts to ask, in order.

        Hosts that have opened a tunnel come first, those of the same domain before the
        others. Unknown hosts of this domain and of others alternate: a whole domain may
        be cut off.
        """
        others = [rec for rec in self._hosts() or () if rec.host != self._host]
        self._rng.shuffle(others)
        usable = [rec for rec in others if not self._is_avoided(rec, now)] or others
        good = [rec for rec in usable if self._is_good(rec, now)]
        good.sort(key=lambda rec: rec.domain != self._domain)
        unknown = [rec for rec in usable if not self._is_good(rec, now)]
        near = [rec for rec in unknown if rec.domain == self._domain]
        far = [rec for rec in unknown if rec.domain != self._domain]
        return [*good, *_alternate(near, far)][:MAX_ASKED]

    def _is_good(self, rec: HostRecord, now: float) -> bool:
        return now < self._good_until.get(rec.host, float("-inf"))

    def _is_avoided(self, rec: HostRecord, now: float) -> bool:
        return now < self._avoid_until.get(rec.host, float("-inf"))


def _alternate(one: list[HostRecord], other: list[HostRecord]) -> list[HostRecord]:
    """Return the items of both lists in turn, then those left of the longer one."""
    paired = min(len(one), len(other))
    found = [rec for pair in zip(one, other, strict=False) for rec in pair]
    return found + one[paired:] + other[paired:]
