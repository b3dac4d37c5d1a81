"""The other hosts' addresses and failure domains, from their rows in the store."""

from collections.abc import Iterable

from berylshift.process.gossip.election import order_key
from berylshift.store.host_rows import HostRecord


class HostList:
    """Hosts by name, without this one; times in seconds."""

    def __init__(self, host: str, domain: str):
        """List others for ``host`` in ``domain``."""
        self._host = host
        self._domain = domain
        self._records: dict[str, HostRecord] = {}
        # When another host told of a record that was not read from the store yet.
        self._learned_at: dict[str, float] = {}
        self._listed_since: dict[str, float] = {}
        self._by_domain: dict[str, list[HostRecord]] = {}
        self.is_loaded = False
        # How many hosts come before this one in the election order: of this domain,
        # and of all.
        self.domain_rank = 0
        self.rank = 0

    def replace(
        self, records: Iterable[HostRecord], now: float, read_at: float | None = None
    ) -> bool:
        """Replace the list; return whether the set of other hosts has changed.

        ``read_at``: when the read of ``records`` began. What other hosts told since is
        kept, and so is the record of a later process than the one that is listed.
        """
        read_at = now if read_at is None else read_at
        self._learned_at = {
            host: at for host, at in self._learned_at.items() if at >= read_at
        }
        found = {host: self._records[host] for host in self._learned_at}
        for rec in records:
            if rec.host != self._host:
                known = self._records.get(rec.host)
                is_older = known is not None and rec.is_older_than(known)
                found[rec.host] = known if is_older else rec
        changed = found != self._records
        self._set(found, now)
        self.is_loaded = True
        return changed

    def learn(self, record: HostRecord, now: float) -> bool:
        """Take a record that another host sent; return whether it was news."""
        if record.host == self._host or not record.joined_ms:
            return False
        known = self._records.get(record.host)
        if known is not None and known.joined_ms and not known.is_older_than(record):
            return False
        self._learned_at[record.host] = now
        self._set({**self._records, record.host: record}, now)
        return True

    def _set(self, found: dict[str, HostRecord], now: float) -> None:
        self._records = found
        self._by_domain = {}
        for rec in sorted(found.values(), key=lambda rec: order_key(rec.host)):
            self._by_domain.setdefault(rec.domain, []).append(rec)
        for host in found:
            self._listed_since.setdefault(host, now)
        self.domain_rank = self._rank_among(self.domain_peers())
        self.rank = self._rank_among(found.values())

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
        """Return the address that a host receives datagrams at."""
        rec = self._records.get(host)
        return None if rec is None else rec.address

    def domain_peers(self) -> list[HostRecord]:
        """Return the other hosts of this domain, in the election order."""
        return self._by_domain.get(self._domain, [])

    def other_domains(self) -> dict[str, list[HostRecord]]:
        """Return the hosts of each other domain, in the election order."""
        return {
            domain: records
            for domain, records in self._by_domain.items()
            if domain != self._domain
        }

    def _rank_among(self, records: Iterable[HostRecord]) -> int:
        own = order_key(self._host)
        return sum(order_key(rec.host) < own for rec in records)

    def recently_listed(self, now: float, seconds: float) -> list[str]:
        """Return the hosts that have been listed for less than ``seconds``."""
        return [
            host for host in self._records if now - self._listed_since[host] < seconds
        ]
