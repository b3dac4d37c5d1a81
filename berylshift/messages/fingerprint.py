"""Request fingerprints: the hash of the head, followed by that of the body.

The head is everything but the body.
"""

from berylshift.ids import Fingerprint

HASH_BYTES = 4


def combine_hashes(head: int, body: int) -> Fingerprint:
    """Return the fingerprint for the hashes of a head and a body, 32 bits each."""
    return Fingerprint(head << 8 * HASH_BYTES | body)


def head_hash_of(fingerprint: Fingerprint) -> int:
    """Return the hash of the head."""
    return fingerprint >> 8 * HASH_BYTES


def fingerprint_hex(fingerprint: Fingerprint | None) -> str | None:
    """Return a fingerprint in the format of log lines."""
    return None if fingerprint is None else f"{fingerprint:016x}"
