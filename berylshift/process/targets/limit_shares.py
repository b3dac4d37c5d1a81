"""Which share of a replica's rate limit this host may use.

A replica states one limit for all hosts together. If a limit of a few requests per
second were split evenly among hundreds of hosts, each could send one request in
minutes. Send slots of idle hosts would be lost or, if saved, cause a burst of many
times the limit. So a few hosts, the main senders, share most of the limit. They are
chosen by rendezvous hashing, hosts of the replica's own failure domain first, since
these send there most.
"""

import heapq
from collections.abc import Callable, Sequence

import msgspec
import xxhash

from berylshift.ids import DomainName, HostName, InstanceId
from berylshift.store.host_rows import HostRecord

# Main senders of a limit below one request per second; each further request per second
# adds one. Each of them may send once at any moment, so there are few.
MIN_MAIN_SENDERS = 3
# The fraction of a limit that the main senders use together. The rest is for the other
# hosts, which otherwise would not notice that the limit is lifted while no main sender
# has callers.
MAIN_SENDERS_FRACTION = 0.8


class LimitShare(msgspec.Struct, frozen=True):
    """A fraction of a limit, from 0 to 1, and whether this host is a main sender.

    ``other_hosts``: how many hosts share what the main senders leave.
    """

    fraction: float
    is_main_sender: bool
    other_hosts: int = 0


class LimitShares:
    """Shares of one host; ``hosts`` lists all that send, ``None``: not known yet."""

    def __init__(
        self,
        host: HostName,
        hosts: Callable[[], Sequence[HostRecord] | None],
        assumed_hosts: int,
        fraction_of: Callable[[Sequence[HostRecord]], float] = lambda hosts: (
            1 / max(1, len(hosts))
        ),
    ):
        """Compute shares of ``host``, of ``assumed_hosts`` while none are known.

        ``fraction_of`` returns this host's share of a limit that few hosts divide.
        """
        self._host = host
        self._hosts = hosts
        self._assumed_hosts = assumed_hosts
        self._fraction_of = fraction_of

    def share(
        self,
        instance: InstanceId,
        domain: DomainName | None,
        requests_per_second: float,
    ) -> LimitShare:
        """Return this host's share of the limit of a replica in ``domain``."""
        hosts = self._hosts()
        if hosts is None:
            return _share_of_others(self._assumed_hosts)
        count = MIN_MAIN_SENDERS + int(requests_per_second)
        if len(hosts) <= count:
            return LimitShare(self._fraction_of(hosts), True)
        near = [rec for rec in hosts if rec.domain == domain]
        main_senders = heapq.nsmallest(
            count,
            near if len(near) >= count else hosts,
            key=lambda rec: (rec.domain != domain, _order_key(rec.host, instance)),
        )
        if any(rec.host == self._host for rec in main_senders):
            return LimitShare(MAIN_SENDERS_FRACTION / count, True)
        return _share_of_others(len(hosts) - count)


def _order_key(host: str, instance: InstanceId) -> int:
    """Return the key by which every host sorts a replica's hosts alike."""
    return xxhash.xxh64_intdigest(f"{instance}/{host}".encode())


def _share_of_others(count: int) -> LimitShare:
    return LimitShare((1 - MAIN_SENDERS_FRACTION) / count, False, count)
