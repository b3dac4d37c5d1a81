"""Which part of a replica's rate limit this host may use.

A replica names one limit for all hosts together. Split evenly among hundreds of hosts,
a limit of a few requests a second leaves each host with one request in minutes, and a
host whose turn passes unused wastes it; saved up, the turns of all hosts are a burst
many times the limit. So a few hosts hold most of the limit. Which ones follows from
names alone, the replica's own failure domain first: its hosts send there most.
"""

import heapq
from collections.abc import Callable, Sequence

import msgspec
import xxhash

from berylshift.ids import DomainName, HostName, InstanceId
from berylshift.store.host_rows import HostRecord

# Hosts that hold a limit of less than one request a second; each further request a
# second has one more. Each may send once at any moment, so they are few.
LEAST_HOLDERS = 3
# The part of a limit that the holders use together. The rest is for the other hosts,
# which would not see otherwise that the limit is lifted while no holder has callers.
HELD_PART = 0.8


class LimitShare(msgspec.Struct, frozen=True):
    """A part of a limit, from 0 to 1, and whether this host holds it.

    ``others``: how many hosts share what the holders leave.
    """

    part: float
    is_held: bool
    others: int = 0


class LimitShares:
    """Shares of one host; ``hosts`` lists all that send, ``None``: not known yet."""

    def __init__(
        self,
        host: HostName,
        hosts: Callable[[], Sequence[HostRecord] | None],
        assumed: int,
    ):
        """Share for ``host``, among ``assumed`` others while none is known."""
        self._host = host
        self._hosts = hosts
        self._assumed = assumed

    def share(
        self, instance: InstanceId, domain: DomainName | None, per_second: float
    ) -> LimitShare:
        """Return this host's share of the limit of a replica in ``domain``.

        ``per_second`` is the limit in requests a second.
        """
        hosts = self._hosts()
        if hosts is None:
            return _among_others(self._assumed)
        count = LEAST_HOLDERS + int(per_second)
        if len(hosts) <= count:
            return LimitShare(1 / max(1, len(hosts)), True)
        near = [rec for rec in hosts if rec.domain == domain]
        holders = heapq.nsmallest(
            count,
            near if len(near) >= count else hosts,
            key=lambda rec: (rec.domain != domain, _place_of(rec.host, instance)),
        )
        if any(rec.host == self._host for rec in holders):
            return LimitShare(HELD_PART / count, True)
        return _among_others(len(hosts) - count)


def _place_of(host: str, instance: InstanceId) -> int:
    """Return a host's place in the order that all hosts compute alike."""
    return xxhash.xxh64_intdigest(f"{instance}/{host}".encode())


def _among_others(count: int) -> LimitShare:
    return LimitShare((1 - HELD_PART) / count, False, count)
