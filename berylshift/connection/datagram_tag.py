"""Authentication tags (keyed BLAKE2b) that reject datagrams of unknown senders."""

import hashlib
import hmac

from berylshift.connection.errors import ConnectionLayerError

TAG_BYTES = 16
MAX_DATAGRAM_BYTES = 1400


class BadDatagramError(ConnectionLayerError):
    """A datagram whose tag is wrong or whose content cannot be decoded."""


class DatagramTagger:
    """Adds and verifies tags under a key that all hosts of the system share."""

    def __init__(self, key: str):
        """Derive the tag key from ``key``."""
        self._key = hashlib.blake2b(key.encode(), digest_size=32).digest()

    def seal(self, body: bytes) -> bytes:
        """Return a datagram: the tag, then ``body``."""
        return self._tag(body) + body

    def open(self, data: bytes) -> bytes:
        """Return the body; raise ``BadDatagramError`` if the tag is wrong."""
        tag, body = data[:TAG_BYTES], data[TAG_BYTES:]
        if not hmac.compare_digest(tag, self._tag(body)):
            raise BadDatagramError("wrong tag")
        return body

    def _tag(self, body: bytes) -> bytes:
        return hashlib.blake2b(body, key=self._key, digest_size=TAG_BYTES).digest()
