"""Encoding of peer datagrams: capnp messages with an authentication tag."""

from pathlib import Path

import capnp

from berylshift.connection.datagram_tag import (
    MAX_DATAGRAM_BYTES,
    TAG_BYTES,
    BadDatagramError,
    DatagramTagger,
)
from berylshift.ids import (
    BlockKey,
    Fingerprint,
    HostName,
    Incarnation,
    PoolName,
    TargetName,
)
from berylshift.messages.load_digest import BlockReport, CrashReport
from berylshift.process.engine_state.load_view import Share
from berylshift.process.limits.customer_limits import Demand
from berylshift.process.membership.digest import Digest, Echo, Mix

MS_PER_SECOND = 1000

capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name("peer.capnp")))


class PeerCodec:
    """Encodes and decodes digests; rejects datagrams of senders without the key."""

    def __init__(self, key: str):
        """Authenticate datagrams with ``key``, which all hosts of the system share."""
        self._tagger = DatagramTagger(key)

    def encode(self, digest: Digest, max_bytes: int = MAX_DATAGRAM_BYTES) -> bytes:
        """Return a datagram of up to ``max_bytes``; lists are truncated to fit."""
        item_count = max(len(digest.shares), len(digest.demands), len(digest.mixes), 1)
        while True:
            body = _pack(digest, item_count)
            if len(body) + TAG_BYTES <= max_bytes or item_count == 0:
                return self._tagger.seal(body)
            item_count //= 2

    def decode(self, data: bytes) -> Digest:
        """Return the digest; raise ``BadDatagramError``."""
        body = self._tagger.open(data)
        try:
            return _unpack(body)
        except Exception as exc:
            raise BadDatagramError(f"cannot be decoded: {exc}") from exc


def _pack(digest: Digest, item_count: int) -> bytes:
    message = _schema.Digest.new_message(
        host=digest.host,
        incarnation=digest.incarnation,
        sequence=digest.sequence,
        tableVersion=digest.table_version,
        storeAgeMs=int(digest.store_age_seconds * MS_PER_SECOND),
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
            for s in digest.shares[:item_count]
        ],
        demands=[
            {"customer": d.customer, "rate": d.rate}
            for d in digest.demands[:item_count]
        ],
        planVersion=digest.plan_version,
        mixes=[
            {
                "pool": m.pool,
                "prefillRate": m.prefill_rate,
                "decodeRate": m.decode_rate,
            }
            for m in digest.mixes[:item_count]
        ],
        crashes=[
            {
                "request": c.request,
                "target": c.target,
                "ageMs": int(c.age_seconds * MS_PER_SECOND),
            }
            for c in digest.crashes
        ],
        finished=digest.finished,
        blocks=[
            {
                "request": b.key,
                "target": b.target or 0,
                "ageMs": int(b.age_seconds * MS_PER_SECOND),
            }
            for b in digest.blocks
        ],
    )
    return message.to_bytes_packed()


def _unpack(body: bytes) -> Digest:
    message = _schema.Digest.from_bytes_packed(body)
    return Digest(
        host=HostName(message.host),
        incarnation=Incarnation(message.incarnation),
        sequence=message.sequence,
        table_version=message.tableVersion,
        store_age_seconds=message.storeAgeMs / MS_PER_SECOND,
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
            CrashReport(Fingerprint(c.request), c.target, c.ageMs / MS_PER_SECOND)
            for c in message.crashes
        ],
        finished=[Fingerprint(request) for request in message.finished],
        blocks=[
            BlockReport(BlockKey(b.request), b.target or None, b.ageMs / MS_PER_SECOND)
            for b in message.blocks
        ],
    )
