"""What tells that two tries are of the same request.

Each try has an id of its own. A caller that comes again sends the same method, address,
prompt and body, with the same credentials; ids and the time left differ.
"""

from collections.abc import Iterable
from hashlib import blake2b

from berylshift.ids import Fingerprint
from berylshift.messages.fingerprint import HASH_BYTES, combine_hashes
from berylshift.messages.routed import Prompt, RoutedRequest

# Headers that say what is asked for and by whom.
IDENTITY_HEADERS = (b"host", b"authorization")
SEPARATOR = b"\0"
# Of a longer body the start has to do: to wait for its end would hold up its way.
MAX_HASHED_BODY_BYTES = 65536


class RequestFingerprinter:
    """Hashes requests under a key that all hosts share.

    Without the key nobody can make up a request that looks like another caller's, to
    have that one taken for the cause of a crash.
    """

    def __init__(self) -> None:
        """Start without a key: other hosts are not known yet either."""
        self._key = b""

    def use_key(self, key: str) -> None:
        """Hash under ``key`` from now on."""
        self._key = key.encode()[: blake2b.MAX_KEY_SIZE]

    def head_hash(self, req: RoutedRequest) -> int:
        """Return the 32-bit hash of all but the body."""
        return self._head(
            (req.method, req.target, *_telling(req), _prompt_text(req.prompt))
        )

    def of(self, req: RoutedRequest) -> Fingerprint | None:
        """Return the fingerprint; ``None`` while too little of the body has come."""
        start = req.body.start(MAX_HASHED_BODY_BYTES)
        if start is None:
            return None
        return combine_hashes(self.head_hash(req), self._body(start))

    def fingerprint_call(self, fields: Iterable[str], body: bytes) -> Fingerprint:
        """Return the fingerprint of a call that is there as a whole."""
        head = self._head(field.encode() for field in fields)
        return combine_hashes(head, self._body(body[:MAX_HASHED_BODY_BYTES]))

    def _head(self, fields: Iterable[bytes]) -> int:
        found = self._hash()
        for field in fields:
            found.update(field)
            found.update(SEPARATOR)
        return int.from_bytes(found.digest())

    def _body(self, start: bytes) -> int:
        found = self._hash()
        found.update(start)
        return int.from_bytes(found.digest())

    def _hash(self) -> blake2b:
        return blake2b(digest_size=HASH_BYTES, key=self._key)


def _telling(req: RoutedRequest) -> list[bytes]:
    found = [value for name, value in req.headers if name in IDENTITY_HEADERS]
    if req.customer is not None:
        found.append(req.customer.encode())
    return found


def _prompt_text(prompt: Prompt | None) -> bytes:
    if prompt is None:
        return b""
    blocks = ",".join(f"{block.id}:{block.tokens}" for block in prompt.blocks)
    return f"{prompt.tokens},{prompt.output_limit};{blocks}".encode()
