"""Which hosts are the registrars of an engine's queue."""

from collections.abc import Callable, Iterable

import xxhash

from berylshift.store.host_rows import HostRecord

# Hosts that register an engine's prefills, in an order that all hosts compute alike.
# The first one that is not suspected is asked: a small host may be busy for longer than
# a decision waits.
REGISTRARS = 2
# A host that did not reply is not asked again for this long, in seconds.
SUSPECT_SECONDS = 1.0
# How often the list of hosts is looked at, in seconds.
REFRESH_SECONDS = 1.0


class Registrars:
    """Registrars by engine, by rendezvous hashing over the listed hosts.

    Hosts that list different hosts, or suspect different ones, use different registrars
    for a while and then know fewer open prefills, as with digests alone.
    """

    def __init__(self, hosts: Callable[[], Iterable[HostRecord] | None]):
        """Choose among ``hosts``, this one included; ``None``: not known yet."""
        self._hosts = hosts
        self._records: dict[str, HostRecord] = {}
        self._ranked: dict[int, tuple[HostRecord, ...]] = {}
        self._refreshed_at = float("-inf")
        self._suspected_until: dict[str, float] = {}

    def of(self, target: int, now: float) -> tuple[HostRecord, ...]:
        """Return the hosts that register an engine's prefills."""
        self._refresh(now)
        found = self._ranked.get(target)
        if found is None:
            found = self._ranked[target] = self._rank(target)
        return found

    def to_ask(self, target: int, now: float) -> HostRecord | None:
        """Return the registrar to ask; ``None``: none is known or answers."""
        for record in self.of(target, now):
            if now >= self._suspected_until.get(record.host, 0.0):
                return record
        return None

    def record(self, host: str, now: float) -> HostRecord | None:
        """Return a listed host."""
        self._refresh(now)
        return self._records.get(host)

    def suspect(self, host: str, now: float) -> None:
        """Record that a host did not reply in time."""
        self._suspected_until[host] = now + SUSPECT_SECONDS

    def _refresh(self, now: float) -> None:
        if now - self._refreshed_at < REFRESH_SECONDS:
            return
        self._refreshed_at = now
        found = {rec.host: rec for rec in self._hosts() or ()}
        if found != self._records:
            self._records = found
            self._ranked.clear()

    def _rank(self, target: int) -> tuple[HostRecord, ...]:
        ranked = sorted(
            self._records.values(),
            key=lambda rec: xxhash.xxh32_intdigest(f"{target}/{rec.host}".encode()),
        )
        return tuple(ranked[:REGISTRARS])
