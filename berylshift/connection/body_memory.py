"""Memory that a server holds for request bodies."""

import weakref
from collections.abc import Iterator
from contextlib import contextmanager

from berylshift.connection.request_body import RequestBody


class BodyMemory:
    """Counts the request bodies of one server."""

    def __init__(self) -> None:
        """Count no body yet."""
        self._open: set[RequestBody] = set()
        # Bodies of ended requests, too, for as long as something refers to them.
        self._in_memory: weakref.WeakSet[RequestBody] = weakref.WeakSet()

    @contextmanager
    def tracking(self, body: RequestBody) -> Iterator[None]:
        """Count ``body`` as that of an open request within the block."""
        self._open.add(body)
        self._in_memory.add(body)
        try:
            yield
        finally:
            self._open.discard(body)

    @property
    def open_bytes(self) -> int:
        """Return the bytes received of open requests' bodies."""
        return sum(body.size for body in self._open)

    @property
    def bytes_in_memory(self) -> int:
        """Return the bytes of all bodies that have not been freed."""
        return sum(body.size for body in self._in_memory)
