"""Encoding of queue messages: capnp with an authentication tag."""

from pathlib import Path

import capnp

from berylshift.connection.datagram_tag import BadDatagramError, DatagramTagger
from berylshift.messages.addresses import is_endpoint
from berylshift.messages.load_digest import Urgency
from berylshift.messages.prefill_queue import (
    ClosedPrefill,
    EngineQueue,
    OpenedPrefill,
    QueueMessage,
)

TOKENS_PER_UNIT = 16
MAX_U16 = 0xFFFF

_schema = capnp.load(str(Path(__file__).with_name("prefill_queue.capnp")))


class QueueCodec:
    """Encodes and decodes queue messages."""

    def __init__(self, key: str):
        """Authenticate datagrams with ``key``, which all hosts of the system share."""
        self._tagger = DatagramTagger(key)

    def encode(self, message: QueueMessage, max_bytes: int) -> bytes:
        """Return a datagram; the sender keeps messages far below ``max_bytes``."""
        return self._tagger.seal(_pack(message))

    def decode(self, data: bytes) -> QueueMessage:
        """Return the message; raise ``BadDatagramError``."""
        body = self._tagger.open(data)
        try:
            return _unpack(_schema.QueueMessage.from_bytes_packed(body))
        except Exception as exc:
            raise BadDatagramError(f"cannot be decoded: {exc}") from exc


def _pack(message: QueueMessage) -> bytes:
    packed = _schema.QueueMessage.new_message(
        host=message.host, query=message.query, incomplete=not message.complete
    )
    if message.address:
        packed.address = message.address
    if message.asked:
        packed.asked = list(message.asked)
    if message.queues:
        packed.targets = [queue.target for queue in message.queues]
        packed.urgent = [_units(queue.tokens[0]) for queue in message.queues]
        packed.usual = [_units(queue.tokens[1]) for queue in message.queues]
        packed.patient = [_units(queue.tokens[2]) for queue in message.queues]
    if message.opened:
        packed.openedTargets = [prefill.target for prefill in message.opened]
        packed.openedTickets = [prefill.ticket for prefill in message.opened]
        packed.openedUnits = [_units(prefill.tokens) for prefill in message.opened]
        packed.openedUrgencies = [int(prefill.urgency) for prefill in message.opened]
    if message.closed:
        packed.closedTargets = [prefill.target for prefill in message.closed]
        packed.closedTickets = [prefill.ticket for prefill in message.closed]
    return packed.to_bytes_packed()


def _unpack(packed) -> QueueMessage:
    queues = zip(
        packed.targets, packed.urgent, packed.usual, packed.patient, strict=True
    )
    opened = zip(
        packed.openedTargets,
        packed.openedTickets,
        packed.openedUnits,
        packed.openedUrgencies,
        strict=True,
    )
    closed = zip(packed.closedTargets, packed.closedTickets, strict=True)
    return QueueMessage(
        packed.host,
        packed.query,
        tuple(packed.asked),
        tuple(
            EngineQueue(target, (_tokens(urgent), _tokens(usual), _tokens(patient)))
            for target, urgent, usual, patient in queues
        ),
        not packed.incomplete,
        tuple(
            OpenedPrefill(target, ticket, _tokens(units), Urgency(urgency))
            for target, ticket, units, urgency in opened
        ),
        tuple(ClosedPrefill(target, ticket) for target, ticket in closed),
        packed.address if is_endpoint(packed.address) else "",
    )


def _units(tokens: int) -> int:
    return min(MAX_U16, -(-max(0, tokens) // TOKENS_PER_UNIT))


def _tokens(units: int) -> int:
    return units * TOKENS_PER_UNIT
