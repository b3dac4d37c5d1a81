"""Read timeouts that cover only the wait for a peer's data."""

from collections.abc import Awaitable
from typing import TypeVar

import trio

Value = TypeVar("Value")

NEVER = float("inf")


class ReadTimeoutError(Exception):
    """The peer sent nothing within the timeout."""


class ReadTimeout:
    """A deadline for the next data of a peer, on the event loop's clock in seconds.

    It covers only the wait for the peer. If data arrives just as the timeout expires,
    a timeout that also covered its processing would cancel the write to the caller:
    the response head would count as sent though no byte of it was, and the next
    target's chunks would reach the caller without a head. Data that has arrived is
    always returned, so no write is subject to the timeout.
    """

    def __init__(self, until: float):
        """Expire at ``until``; ``NEVER``: no timeout."""
        self._until = until

    def restart(self, seconds: float) -> None:
        """Expire ``seconds`` from now; ``NEVER``: no timeout."""
        self._until = trio.current_time() + seconds

    async def wait_for(self, operation: Awaitable[Value]) -> Value:
        """Return the result of ``operation``; raise ``ReadTimeoutError`` on expiry."""
        with trio.move_on_at(self._until):
            return await operation
        raise ReadTimeoutError
