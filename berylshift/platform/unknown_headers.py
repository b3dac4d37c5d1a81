"""Tells which headers of replicas' answers nobody here understands."""

import logging

from berylshift.ids import RequestId
from berylshift.messages.routed import Header
from berylshift.platform import names

# Names told in a process's life: a replica may make up a new one with each answer.
MAX_NAMES = 64
# Understood by name, here or by HTTP on the way.
KNOWN = names.RESPONSE_HEADERS | frozenset(
    {
        b"age",
        b"allow",
        b"cache-control",
        b"connection",
        b"date",
        b"etag",
        b"expires",
        b"keep-alive",
        b"last-modified",
        b"location",
        b"retry-after",
        b"server",
        b"set-cookie",
        b"transfer-encoding",
        b"vary",
        b"www-authenticate",
    }
)
# What describes a body is its caller's to understand.
OF_BODY = b"content-"

logger = logging.getLogger(__name__)


class UnknownHeaders:
    """Logs each name once; values may be secret."""

    def __init__(self) -> None:
        """Start with none told."""
        self._told: set[bytes] = set()

    def note(self, headers: list[Header], request: RequestId | None) -> None:
        """Log the names of ``headers`` that are new and unknown.

        A header that is new on the platform would otherwise go unseen until a rule
        breaks.
        """
        found = {
            name
            for name, _ in headers
            if name not in KNOWN and not name.startswith(OF_BODY)
        }
        new = sorted(found - self._told)[: MAX_NAMES - len(self._told)]
        if not new:
            return
        self._told.update(new)
        shown = [name.decode("latin-1") for name in new]
        logger.warning(
            "headers passed over", extra={"request": request, "headers": shown}
        )
