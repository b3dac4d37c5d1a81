"""Bounds for one HTTP server, and times that its parts share."""

from dataclasses import dataclass

import trio

READ_BYTES = 65536
# How long the rest of a body is read after its answer: closing the connection before
# would reset it, and the answer could be lost on its way.
REST_SECONDS = 1.0
# What the last look at a connection may take: what has come is there without waiting.
LAST_LOOK_SECONDS = 0.001


@dataclass(frozen=True)
class ServerLimits:
    """Bounds for one server; sizes in bytes, times in seconds."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    request_seconds: float = 10.0
    idle_seconds: float = 60.0
    write_seconds: float = 30.0
    connections: int = 2048


def last_look() -> float:
    """Return when a look that begins now is over, on the loop's clock."""
    return trio.current_time() + LAST_LOOK_SECONDS


async def drop_rest(stream: trio.abc.Stream) -> None:
    """Read to the end, for nothing."""
    while await stream.receive_some(READ_BYTES):
        pass
