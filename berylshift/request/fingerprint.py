"""Request fingerprints, which identify the attempts that repeat one request.

Each attempt has its own id. A caller that retries sends the same method, address,
prompt and body with the same credentials; only ids and the remaining time differ.
"""

from collections.abc import Iterable
from hashlib import blake2b

from berylshift.ids import BlockKey, Fingerprint, ServiceName
from berylshift.messages.block_key import BlockHash, CustomerHash, join_key
from berylshift.messages.fingerprint import HASH_BYTES, combine_hashes
from berylshift.messages.routed import Prompt, RoutedRequest

# Headers that identify the resource and the caller.
IDENTITY_HEADERS = (b"host", b"authorization")
SEPARATOR = b"\0"
# Only the start of a longer body is hashed: waiting for its end would delay forwarding.
MAX_HASHED_BODY_BYTES = 65536


class RequestFingerprinter:
    """Hashes requests with a key that all hosts share.

    The key prevents a caller from forging a request with the fingerprint of another
    caller's request, which would then be blamed for a crash.
    """

    def __init__(self) -> None:
        """Start without a key; it is learned together with the other hosts."""
        self._key = b""

    def use_key(self, key: str) -> None:
        """Hash with ``key`` from now on."""
        self._key = key.encode()[: blake2b.MAX_KEY_SIZE]

    def head_hash(self, req: RoutedRequest) -> int:
        """Return the 32-bit hash of everything but the body."""
        return self._hash_fields(
            (req.method, req.target, *_identity_fields(req), _prompt_text(req.prompt))
        )

    def hash_request(self, req: RoutedRequest) -> Fingerprint | None:
        """Return the fingerprint; ``None`` until enough of the body has arrived."""
        start = req.body.start(MAX_HASHED_BODY_BYTES)
        if start is None:
            return None
        return combine_hashes(self.head_hash(req), self._hash_body(start))

    def hash_call(self, fields: Iterable[str], body: bytes) -> Fingerprint:
        """Return the fingerprint of a call that has been received completely."""
        head = self._hash_fields(field.encode() for field in fields)
        return combine_hashes(head, self._hash_body(body[:MAX_HASHED_BODY_BYTES]))

    def block_keys(
        self, req: RoutedRequest, service: ServiceName
    ) -> tuple[BlockKey, ...]:
        """Return the keys of the blocks that other requests to a service may share."""
        prompt = req.prompt
        if prompt is None:
            return ()
        customer = CustomerHash(0)
        if req.customer is not None:
            customer = CustomerHash(self._hash_fields((req.customer.encode(),)))
        # Ids are hexadecimal numbers, which callers may write in several ways.
        ids = {block.id.lower().lstrip("0") for block in prompt.prefix_blocks}
        return self._join_keys((service, prompt.model), sorted(ids), customer)

    def prefix_keys(
        self, fields: tuple[str, ...], prefixes: Iterable[int], customer: str
    ) -> tuple[BlockKey, ...]:
        """Return the keys of the hashed prefixes of a customer's prompt.

        ``fields`` tell what decodes it.
        """
        owner = CustomerHash(self._hash_fields((customer.encode(),)))
        return self._join_keys(fields, map(str, prefixes), owner)

    def _join_keys(
        self, fields: tuple[str, ...], names: Iterable[str], customer: CustomerHash
    ) -> tuple[BlockKey, ...]:
        head = [field.encode() for field in fields]
        hashes = [self._hash_fields((*head, name.encode())) for name in names]
        return tuple(join_key(BlockHash(found), customer) for found in hashes)

    def _hash_fields(self, fields: Iterable[bytes]) -> int:
        hasher = self._new_hasher()
        for field in fields:
            hasher.update(field)
            hasher.update(SEPARATOR)
        return int.from_bytes(hasher.digest())

    def _hash_body(self, start: bytes) -> int:
        hasher = self._new_hasher()
        hasher.update(start)
        return int.from_bytes(hasher.digest())

    def _new_hasher(self) -> blake2b:
        return blake2b(digest_size=HASH_BYTES, key=self._key)


def _identity_fields(req: RoutedRequest) -> list[bytes]:
    fields = [value for name, value in req.headers if name in IDENTITY_HEADERS]
    if req.customer is not None:
        fields.append(req.customer.encode())
    return fields


def _prompt_text(prompt: Prompt | None) -> bytes:
    if prompt is None:
        return b""
    blocks = ",".join(f"{block.id}:{block.tokens}" for block in prompt.blocks)
    return f"{prompt.tokens},{prompt.output_limit};{blocks}".encode()
