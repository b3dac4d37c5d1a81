"""Encoding of messages on streams' origins: capnp with an authentication tag."""

from pathlib import Path

import capnp

from berylshift.connection.datagram_tag import BadDatagramError, DatagramTagger
from berylshift.ids import Revision, StoreEra, TableVersion
from berylshift.messages.addresses import is_endpoint
from berylshift.messages.stream_origins import (
    OriginMessage,
    OriginQuery,
    OriginReply,
    ServiceKey,
    StreamKey,
    StreamOrigin,
    Variant,
)

MAX_U16 = 0xFFFF

_schema = capnp.load(str(Path(__file__).with_name("stream_origin.capnp")))


class OriginCodec:
    """Encodes and decodes messages on streams' origins."""

    def __init__(self, key: str):
        """Authenticate datagrams with ``key``, which all hosts of the system share."""
        self._tagger = DatagramTagger(key)

    def encode(self, message: OriginMessage, max_bytes: int) -> bytes:
        """Return a datagram; the sender keeps messages below ``max_bytes``."""
        return self._tagger.seal(_pack(message))

    def decode(self, data: bytes) -> OriginMessage:
        """Return the message; raise ``BadDatagramError``."""
        body = self._tagger.open(data)
        try:
            return _unpack(_schema.OriginMessage.from_bytes_packed(body))
        except Exception as exc:
            raise BadDatagramError(f"cannot be decoded: {exc}") from exc


def _pack(message: OriginMessage) -> bytes:
    packed = _schema.OriginMessage.new_message(host=message.host)
    if message.address:
        packed.address = message.address
    if message.told:
        packed.streams = [origin.stream for origin in message.told]
        packed.variants = [origin.variant for origin in message.told]
    if message.query is not None:
        packed.number = message.query.number
        packed.asked = message.query.stream
        packed.service = message.query.service
        packed.deciseconds = min(MAX_U16, round(message.query.seconds * 10))
    if message.reply is not None:
        packed.isReply = True
        packed.number = message.reply.number
        packed.isKnown = message.reply.variant is not None
        packed.hasSeveral = message.reply.has_several
        packed.variant = message.reply.variant or 0
        packed.soleVariant = message.reply.sole_variant or 0
        packed.until = message.reply.until
        packed.era = message.reply.era
        packed.routes = message.reply.routes
    return packed.to_bytes_packed()


def _unpack(packed) -> OriginMessage:
    told = tuple(
        StreamOrigin(StreamKey(stream), Variant(variant))
        for stream, variant in zip(packed.streams, packed.variants, strict=True)
    )
    query = reply = None
    if packed.number and packed.isReply:
        reply = OriginReply(
            packed.number,
            Variant(packed.variant) if packed.isKnown else None,
            Variant(packed.soleVariant) or None,
            packed.hasSeveral,
            Revision(packed.until),
            StoreEra(packed.era),
            TableVersion(packed.routes),
        )
    elif packed.number:
        query = OriginQuery(
            packed.number,
            StreamKey(packed.asked),
            ServiceKey(packed.service),
            packed.deciseconds / 10,
        )
    address = packed.address if is_endpoint(packed.address) else ""
    return OriginMessage(packed.host, told, query, reply, address)
