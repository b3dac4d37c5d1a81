"""Bounds how long the other end may be silent, and nothing else."""

from collections.abc import Awaitable
from typing import TypeVar

import trio

Word = TypeVar("Word")

NEVER = float("inf")


class SilentError(Exception):
    """The other end said nothing within its time."""


class SilenceLimit:
    """The time by which the next word is due, on the loop's clock in seconds.

    It covers the wait for the other end alone. Where the word comes at the very moment
    at which the time ends, a limit that also covered what is done with the word
    would end the write to the caller: the head counts as sent without a byte of it
    having left, and the next target's chunks reach the caller without a head. A word
    that has come is always taken, so no write is ever within the limit.
    """

    def __init__(self, until: float):
        """Wait until ``until``; ``NEVER``: without a limit."""
        self._until = until

    def allow(self, seconds: float) -> None:
        """Let the next word take ``seconds`` from now; ``NEVER``: any time."""
        self._until = trio.current_time() + seconds

    async def bound(self, wait: Awaitable[Word]) -> Word:
        """Return what ``wait`` gives; raise ``SilentError`` at the time's end."""
        with trio.move_on_at(self._until):
            return await wait
        raise SilentError
