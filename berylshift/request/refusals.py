"""Refusals: responses of the host itself, sent instead of a replica's response."""

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
# Statuses that tell a caller that its request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, STATUS_UNAVAILABLE})
# The authentication scheme for keys (RFC 9110, section 11.6.1).
AUTH_CHALLENGE: Header = (b"www-authenticate", b"Bearer")
PROBLEM_TYPE: Header = (b"content-type", b"application/problem+json")
# Retry delay for a request that was not run: replicas free their slots within tens of
# milliseconds, and the spread keeps the retries of many callers apart.
MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 0.4


class Refusal(msgspec.Struct, frozen=True):
    """A refusal; ``retry_after`` is the delay in seconds before a retry."""

    status: int
    title: str
    retry_after: float | None = None


def retry_later(title: str, rng: random.Random, wait: float = 0.0) -> Refusal:
    """Return the refusal of a request that has not run.

    Its caller may retry after ``wait`` seconds plus a short random delay.
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
