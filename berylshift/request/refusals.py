"""Answers of this process's own: what callers are told that get no replica's answer."""

import random

import msgspec

from berylshift.connection.responder import Responder
from berylshift.messages.routed import Header

STATUS_BAD_REQUEST = 400
STATUS_UNAUTHORIZED = 401
STATUS_NOT_FOUND = 404
STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_GATEWAY_TIMEOUT = 504
# Which scheme a key is shown by (RFC 9110, section 11.6.1).
AUTH_CHALLENGE: Header = (b"www-authenticate", b"Bearer")
PROBLEM_TYPE: Header = (b"content-type", b"application/problem+json")
# When a caller whose request was not run may come back, in seconds: replicas free
# their slots within tens of milliseconds, and the spread keeps returns apart.
MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 0.4


class Refusal(msgspec.Struct, frozen=True):
    """An answer of this process's own; ``again``: seconds after which to return."""

    status: int
    title: str
    retry_after: float | None = None


def retry_later(title: str, rng: random.Random, wait: float = 0.0) -> Refusal:
    """Return the refusal of a request that has not run.

    Its caller may come back after ``wait`` seconds and a little more.
    """
    retry_after = max(0.0, wait) + rng.uniform(
        MIN_RETRY_AFTER_SECONDS, MAX_RETRY_AFTER_SECONDS
    )
    return Refusal(STATUS_UNAVAILABLE, title, retry_after)


async def refuse(responder: Responder, refusal: Refusal) -> None:
    """Send a refusal as a problem document (RFC 9457)."""
    body = msgspec.json.encode({"title": refusal.title, "status": refusal.status})
    headers = [PROBLEM_TYPE]
    if refusal.retry_after is not None:
        headers.append((b"retry-after", b"%.2f" % refusal.retry_after))
    if refusal.status == STATUS_UNAUTHORIZED:
        headers.append(AUTH_CHALLENGE)
    await responder.full_raw(refusal.status, headers, body)
