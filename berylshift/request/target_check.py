"""Checks whether a target accepts connections."""

import trio

from berylshift.request.crash_watch import PROBE_TIMEOUT_SECONDS
from berylshift.targets import EngineClient, ServiceClient, TargetNotReachedError


async def accepts_connections(
    client: EngineClient | ServiceClient, address: str
) -> bool:
    """Return whether a target accepts a connection in ``PROBE_TIMEOUT_SECONDS``.

    A busy process does, however slowly it responds; one that has exited does not.
    """
    with trio.move_on_after(PROBE_TIMEOUT_SECONDS):
        try:
            await client.connect(address)
        except TargetNotReachedError:
            return False
        return True
    return False
