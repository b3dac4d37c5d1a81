"""Which hosts hold the record of a stream's origin."""

from collections.abc import Callable, Iterable

import xxhash

from berylshift.messages.stream_origins import StreamKey
from berylshift.store.host_rows import HostRecord

# How often the list of hosts is looked at, in seconds.
REFRESH_SECONDS = 1.0


class OriginHolders:
    """Holders by stream, by rendezvous hashing over the listed hosts.

    The first two are in different failure domains, so that no domain's loss takes both.
    Hosts that list different hosts agree on most streams.
    """

    def __init__(self, hosts: Callable[[], Iterable[HostRecord] | None]):
        """Choose among ``hosts``, this one included; ``None``: not known yet."""
        self._hosts = hosts
        self._records: tuple[HostRecord, ...] = ()
        self._refreshed_at = float("-inf")

    def of(self, stream: StreamKey, count: int, now: float) -> list[HostRecord]:
        """Return the ``count`` first holders of a stream, best first."""
        self._refresh(now)
        ranked = sorted(
            self._records,
            key=lambda rec: xxhash.xxh64_intdigest(f"{stream}/{rec.host}".encode()),
        )
        second = next(
            (rec for rec in ranked[1:] if rec.domain != ranked[0].domain), None
        )
        if second is not None:
            ranked.remove(second)
            ranked.insert(1, second)
        return ranked[:count]

    def record(self, host: str, now: float) -> HostRecord | None:
        """Return a listed host."""
        self._refresh(now)
        return next((rec for rec in self._records if rec.host == host), None)

    def _refresh(self, now: float) -> None:
        if now - self._refreshed_at >= REFRESH_SECONDS:
            self._refreshed_at = now
            self._records = tuple(self._hosts() or ())
