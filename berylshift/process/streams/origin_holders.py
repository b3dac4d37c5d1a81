"""Which hosts hold the record of a stream's origin."""

from collections.abc import Callable, Iterable

import xxhash

from berylshift.messages.stream_origins import StreamKey
from berylshift.store.host_rows import HostRecord

# How often the list of hosts is looked at, in seconds.
REFRESH_SECONDS = 1.0
# Streams are ranked by bucket, so that each ranking is computed once.
BUCKETS = 1024
# Hosts of a ranking that are kept.
MAX_RANKED = 17


class OriginHolders:
    """Holders by stream, by rendezvous hashing over the listed hosts.

    The first two are in different failure domains, so that no domain's loss takes both.
    Hosts that list different hosts agree on most streams.
    """

    def __init__(self, hosts: Callable[[], Iterable[HostRecord] | None]):
        """Choose among ``hosts``, this one included; ``None``: not known yet."""
        self._hosts = hosts
        self._records: tuple[HostRecord, ...] = ()
        self._ranked: dict[int, list[HostRecord]] = {}
        self._refreshed_at = float("-inf")

    def of(self, stream: StreamKey, count: int, now: float) -> list[HostRecord]:
        """Return the ``count`` first holders of a stream, best first."""
        self._refresh(now)
        bucket = stream % BUCKETS
        ranked = self._ranked.get(bucket)
        if ranked is None:
            ranked = self._ranked[bucket] = self._rank(bucket)
        return ranked[:count]

    def _rank(self, bucket: int) -> list[HostRecord]:
        ranked = sorted(
            self._records,
            key=lambda rec: xxhash.xxh64_intdigest(f"{bucket}/{rec.host}".encode()),
        )
        second = next(
            (rec for rec in ranked[1:] if rec.domain != ranked[0].domain), None
        )
        if second is not None:
            ranked.remove(second)
            ranked.insert(1, second)
        return ranked[:MAX_RANKED]

    def record(self, host: str, now: float) -> HostRecord | None:
        """Return a listed host."""
        self._refresh(now)
        return next((rec for rec in self._records if rec.host == host), None)

    def _refresh(self, now: float) -> None:
        if now - self._refreshed_at >= REFRESH_SECONDS:
            self._refreshed_at = now
            found = tuple(self._hosts() or ())
            if found != self._records:
                self._records = found
                self._ranked.clear()
