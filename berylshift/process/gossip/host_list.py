"""The other hosts' addresses and failure domains, as their rows say."""

from collections.abc import Iterable

from berylshift.process.gossip.election import rank
from berylshift.store.host_rows import HostRecord


class HostList:
    """Hosts by name, without this one; times in seconds."""

    def __init__(self, host: str, domain: str):
        """List others for ``host`` in ``domain``."""
        self._host = host
        self._domain = domain
        self._records: dict[str, HostRecord] = {}
        self._listed_since: dict[str, float] = {}
        self._by_domain: dict[str, list[HostRecord]] = {}
        self.was_read = False
        # How many hosts come before this one in the order of ``rank``: of this domain,
        # and of all.
        self.place_in_domain = 0
        self.place = 0

    def replace(self, records: Iterable[HostRecord], now: float) -> bool:
        """Take over all rows; return whether other hosts are listed than before."""
        found = {rec.host: rec for rec in records if rec.host != self._host}
        changed = found != self._records
        self._records = found
        self._by_domain = {}
        for rec in sorted(found.values(), key=lambda rec: rank(rec.host)):
            self._by_domain.setdefault(rec.domain, []).append(rec)
        for host in found:
            self._listed_since.setdefault(host, now)
        self.was_read = True
        self.place_in_domain = self._place(self.neighbours())
        self.place = self._place(found.values())
        return changed

    def __len__(self) -> int:
        """Return how many other hosts are listed."""
        return len(self._records)

    def __contains__(self, host: str) -> bool:
        """Return whether a host is known: listed, or this one."""
        return host in self._records or host == self._host

    def names(self) -> list[str]:
        """Return the other hosts' names."""
        return sorted(self._records)

    def records(self) -> list[HostRecord]:
        """Return the other hosts."""
        return list(self._records.values())

    def address(self, host: str) -> str | None:
        """Return where a host's datagrams arrive."""
        rec = self._records.get(host)
        return None if rec is None else rec.address

    def neighbours(self) -> list[HostRecord]:
        """Return the other hosts of this domain, in the order of ``rank``."""
        return self._by_domain.get(self._domain, [])

    def other_domains(self) -> dict[str, list[HostRecord]]:
        """Return the hosts of each other domain, in the order of ``rank``."""
        return {
            domain: records
            for domain, records in self._by_domain.items()
            if domain != self._domain
        }

    def _place(self, records: Iterable[HostRecord]) -> int:
        own = rank(self._host)
        return sum(rank(rec.host) < own for rec in records)

    def young(self, now: float, seconds: float) -> list[str]:
        """Return the hosts that have been listed for less than ``seconds``."""
        return [
            host for host in self._records if now - self._listed_since[host] < seconds
        ]
