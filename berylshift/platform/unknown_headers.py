"""Logs unknown headers in responses of replicas."""

import logging

from berylshift.ids import RequestId
from berylshift.messages.routed import Header
from berylshift.platform import names

# Maximum number of names logged by a process: a replica may use a new one per response.
MAX_LOGGED_NAMES = 64
# Headers of the platform and of HTTP.
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
# Headers that describe the body are for the caller.
BODY_PREFIX = b"content-"

logger = logging.getLogger(__name__)


class UnknownHeaders:
    """Logs each header name once; values may be secret and are not logged."""

    def __init__(self) -> None:
        """Start without any name logged."""
        self._logged: set[bytes] = set()

    def note(self, headers: list[Header], request: RequestId | None) -> None:
        """Log the names of ``headers`` that are unknown and not logged yet.

        A header that is new on the platform would otherwise go unnoticed until a rule
        breaks.
        """
        unknown = {
            name
            for name, _ in headers
            if name not in KNOWN and not name.startswith(BODY_PREFIX)
        }
        new = sorted(unknown - self._logged)[: MAX_LOGGED_NAMES - len(self._logged)]
        if not new:
            return
        self._logged.update(new)
        decoded = [name.decode("latin-1") for name in new]
        logger.warning(
            "unknown headers ignored", extra={"request": request, "headers": decoded}
        )
