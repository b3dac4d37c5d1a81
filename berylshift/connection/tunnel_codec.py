"""Encoding of the messages that open a tunnel: capnp with an authentication tag."""

from pathlib import Path

import capnp

from berylshift.connection.datagram_tag import BadDatagramError, DatagramTagger
from berylshift.ids import InstanceId
from berylshift.messages.tunnel import TunnelRequest, TunnelStatus

_schema = capnp.load(str(Path(__file__).with_name("tunnel.capnp")))


class TunnelCodec:
    """Encodes and decodes the messages; decoding raises ``BadDatagramError``."""

    def __init__(self, key: str):
        """Authenticate messages with ``key``, which all hosts of the system share."""
        self._tagger = DatagramTagger(key)

    def encode_request(self, request: TunnelRequest) -> bytes:
        """Return a request as bytes."""
        packed = _schema.TunnelRequest.new_message(
            instance=request.instance, address=request.address
        )
        return self._tagger.seal(packed.to_bytes_packed())

    def decode_request(self, data: bytes) -> TunnelRequest:
        """Return the request."""
        packed = self._open(_schema.TunnelRequest, data)
        return TunnelRequest(InstanceId(packed.instance), packed.address)

    def encode_status(self, status: TunnelStatus) -> bytes:
        """Return a reply as bytes."""
        packed = _schema.TunnelReply.new_message(status=int(status))
        return self._tagger.seal(packed.to_bytes_packed())

    def decode_status(self, data: bytes) -> TunnelStatus:
        """Return the status of a reply."""
        packed = self._open(_schema.TunnelReply, data)
        try:
            return TunnelStatus(packed.status)
        except ValueError as exc:
            raise BadDatagramError(f"unknown status {packed.status}") from exc

    def _open(self, kind, data: bytes):
        body = self._tagger.open(data)
        try:
            return kind.from_bytes_packed(body)
        except Exception as exc:
            raise BadDatagramError(f"cannot be decoded: {exc}") from exc
