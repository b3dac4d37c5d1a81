"""Asks a target whether it is there."""

from collections.abc import Awaitable, Callable

import trio

from berylshift.request.crash_watch import CONNECT_SECONDS
from berylshift.targets import TargetError, TargetNotReachedError


async def answers(call: Callable[[], Awaitable[object]]) -> bool:
    """Return whether a target takes a call soon, whatever it says."""
    with trio.move_on_after(CONNECT_SECONDS):
        try:
            await call()
        except TargetNotReachedError:
            return False
        except TargetError:
            return True
        return True
    return False
