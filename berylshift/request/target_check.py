"""Asks a target whether it is there."""

import trio

from berylshift.request.crash_watch import PROBE_TIMEOUT_SECONDS
from berylshift.targets import EngineClient, ServiceClient, TargetNotReachedError


async def takes_connections(client: EngineClient | ServiceClient, address: str) -> bool:
    """Return whether a target takes a new connection soon.

    A busy one does, however late it answers; a process that has ended does not.
    """
    with trio.move_on_after(PROBE_TIMEOUT_SECONDS):
        try:
            await client.connect(address)
        except TargetNotReachedError:
            return False
        return True
    return False
