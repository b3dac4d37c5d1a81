"""Peers' datagrams: capnp messages behind a keyed tag."""

from pathlib import Path

import capnp

from berylshift.connection.datagram_tag import (
    LARGEST_DATAGRAM,
    TAG_BYTES,
    BadDatagramError,
    Tagger,
)
from berylshift.ids import Fingerprint, HostName, Incarnation, PoolName, TargetName
from berylshift.messages.load_digest import CrashReport
from berylshift.process.engine_state.load_view import Share
from berylshift.process.limits.customer_limits import Demand
from berylshift.process.membership.digest import Digest, Echo, Mix

MILLISECONDS = 1000

capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name("peer.capnp")))


class PeerCodec:
    """Encodes and decodes digests; a stranger without the key changes nothing."""

    def __init__(self, key: str):
        """Tag datagrams with ``key``, which all hosts of the system share."""
        self._tagger = Tagger(key)

    def encode(self, digest: Digest, most: int = LARGEST_DATAGRAM) -> bytes:
        """Return a datagram of at most ``most`` bytes; lists are cut to fit."""
        keep = max(len(digest.shares), len(digest.demands), len(digest.mixes), 1)
        while True:
            body = _pack(digest, keep)
            if len(body) + TAG_BYTES <= most or keep == 0:
                return self._tagger.seal(body)
            keep //= 2

    def decode(self, data: bytes) -> Digest:
        """Return the digest; raise ``BadDatagramError``."""
        body = self._tagger.open(data)
        try:
            return _unpack(body)
        except Exception as exc:
            raise BadDatagramError(f"can't be read: {exc}") from exc


def _pack(digest: Digest, keep: int) -> bytes:
    message = _schema.Digest.new_message(
        host=digest.host,
        incarnation=digest.incarnation,
        sequence=digest.sequence,
        tableVersion=digest.table_version,
        storeAgeMs=int(digest.store_age_seconds * MILLISECONDS),
        leaving=digest.leaving,
        isReply=digest.is_reply,
        echoes=[
            {"host": e.host, "incarnation": e.incarnation, "sequence": e.sequence}
            for e in digest.echoes
        ],
        shares=[
            {
                "target": s.target,
                "fleet": s.fleet,
                "streams": s.streams,
                "prefillTokens": s.prefill_tokens,
            }
            for s in digest.shares[:keep]
        ],
        demands=[
            {"customer": d.customer, "rate": d.rate} for d in digest.demands[:keep]
        ],
        planVersion=digest.plan_version,
        mixes=[
            {
                "pool": m.pool,
                "prefillRate": m.prefill_rate,
                "decodeRate": m.decode_rate,
            }
            for m in digest.mixes[:keep]
        ],
        crashes=[
            {
                "request": c.request,
                "target": c.target,
                "ageMs": int(c.age_seconds * MILLISECONDS),
            }
            for c in digest.crashes
        ],
        finished=digest.finished,
    )
    return message.to_bytes_packed()


def _unpack(body: bytes) -> Digest:
    message = _schema.Digest.from_bytes_packed(body)
    return Digest(
        host=HostName(message.host),
        incarnation=Incarnation(message.incarnation),
        sequence=message.sequence,
        table_version=message.tableVersion,
        store_age_seconds=message.storeAgeMs / MILLISECONDS,
        leaving=message.leaving,
        is_reply=message.isReply,
        echoes=[
            Echo(HostName(e.host), Incarnation(e.incarnation), e.sequence)
            for e in message.echoes
        ],
        shares=[
            Share(TargetName(s.target), s.fleet, s.streams, s.prefillTokens)
            for s in message.shares
        ],
        demands=[Demand(d.customer, d.rate) for d in message.demands],
        plan_version=message.planVersion,
        mixes=[
            Mix(PoolName(m.pool), m.prefillRate, m.decodeRate) for m in message.mixes
        ],
        crashes=[
            CrashReport(Fingerprint(c.request), c.target, c.ageMs / MILLISECONDS)
            for c in message.crashes
        ],
        finished=[Fingerprint(request) for request in message.finished],
    )
