"""Attempts at one connection, of which the first to succeed is used."""

from collections.abc import Awaitable, Callable, Iterable

import trio

from berylshift.connection.errors import ConnectFailedError
from berylshift.connection.http_client import close_now

# A host that takes longer to open a tunnel is joined by the next one: several round
# trips between regions.
STAGGER_SECONDS = 0.05

Attempt = Callable[[], Awaitable[trio.abc.Stream]]


class ConnectionRace:
    """Starts each attempt when the one before has failed or is slow."""

    def __init__(
        self,
        is_hopeless: Callable[[], bool] = lambda: False,
        head_start_seconds: float = STAGGER_SECONDS,
    ):
        """Give up once ``is_hopeless()`` after a failure.

        The first attempt is slow after ``head_start_seconds``.
        """
        self._is_hopeless = is_hopeless
        self._head_start_seconds = head_start_seconds
        self._winner: trio.abc.Stream | None = None
        self._error: Exception = ConnectFailedError("no attempt")

    async def run(self, attempts: Iterable[Attempt]) -> trio.abc.Stream:
        """Return the first connection; each attempt is asked for when it is due.

        Raises the last ``OSError`` or ``ConnectFailedError`` if there is none.
        """
        seconds = self._head_start_seconds
        try:
            async with trio.open_nursery() as nursery:
                for attempt in attempts:
                    failed = trio.Event()
                    nursery.start_soon(self._try, attempt, failed, nursery.cancel_scope)
                    with trio.move_on_after(seconds):
                        await failed.wait()
                    seconds = STAGGER_SECONDS
        except BaseException:
            if self._winner is not None:
                close_now(self._winner)
            raise
        if self._winner is None:
            raise self._error
        return self._winner

    async def _try(
        self, attempt: Attempt, failed: trio.Event, scope: trio.CancelScope
    ) -> None:
        try:
            stream = await attempt()
        except (OSError, ConnectFailedError) as exc:
            self._error = exc
            failed.set()
            if self._is_hopeless():
                scope.cancel()
            return
        if self._winner is not None:
            close_now(stream)
            return
        self._winner = stream
        scope.cancel()
