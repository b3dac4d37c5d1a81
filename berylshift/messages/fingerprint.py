"""Fingerprints of requests: the hash of all but the body, then that of the body."""

from berylshift.ids import Fingerprint

HASH_BYTES = 4


def combine_hashes(head: int, body: int) -> Fingerprint:
    """Return the fingerprint of a head's and a body's hash, 32 bits each."""
    return Fingerprint(head << 8 * HASH_BYTES | body)


def head_hash_of(fingerprint: Fingerprint) -> int:
    """Return the head's hash."""
    return fingerprint >> 8 * HASH_BYTES


def fingerprint_hex(fingerprint: Fingerprint | None) -> str | None:
    """Return a fingerprint as log lines have it."""
    return None if fingerprint is None else f"{fingerprint:016x}"
