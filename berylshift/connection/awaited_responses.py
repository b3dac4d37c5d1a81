"""The requests whose responses a client waits for, and those that are overdue."""

import heapq
import itertools
import logging
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import trio

from berylshift.connection.http_client import ClientConnection
from berylshift.connection.target_request import TargetRequest

logger = logging.getLogger(__name__)


class AwaitedResponses:
    """Requests sent on direct connections that have no response yet."""

    def __init__(self, on_overdue: Callable[[TargetRequest], None]):
        """Call ``on_overdue`` with each request whose response is overdue."""
        self._on_overdue = on_overdue
        self._open: dict[int, tuple[ClientConnection, TargetRequest]] = {}
        self._numbers = itertools.count()
        # Times at which responses are overdue, and the numbers of their requests.
        self._due: list[tuple[float, int]] = []
        self._earlier = trio.Event()
        self._waits_until = float("inf")

    @contextmanager
    def awaiting(
        self, connection: ClientConnection, out: TargetRequest, is_direct: bool
    ) -> Iterator[None]:
        """Count the block as waiting for the response to ``out``."""
        if not is_direct:
            yield
            return
        number = next(self._numbers)
        self._open[number] = connection, out
        at = trio.current_time() + out.response_seconds
        if at < float("inf"):
            heapq.heappush(self._due, (at, number))
        if at < self._waits_until:
            self._earlier.set()
        try:
            yield
        finally:
            del self._open[number]
            while self._due and self._due[0][1] not in self._open:
                heapq.heappop(self._due)

    def open_at(self, address: str) -> list[tuple[ClientConnection, TargetRequest]]:
        """Return the connections to an address and the requests that wait on them."""
        return [pair for pair in self._open.values() if pair[1].address == address]

    async def run(self) -> None:
        """Report overdue requests until cancelled."""
        while True:
            self._earlier = trio.Event()
            self._waits_until = self._due[0][0] if self._due else float("inf")
            with trio.move_on_at(self._waits_until):
                await self._earlier.wait()
            now = trio.current_time()
            while self._due and self._due[0][0] <= now:
                _, number = heapq.heappop(self._due)
                if number in self._open:
                    self._report(self._open[number][1])

    def _report(self, out: TargetRequest) -> None:
        try:
            self._on_overdue(out)
        except Exception:
            # Other requests' responses are awaited here, too.
            logger.exception("overdue response not reported")
