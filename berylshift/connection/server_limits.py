"""Limits of an HTTP server, and helpers for closing its connections."""

from dataclasses import dataclass

import trio

READ_BYTES = 65536
# How long input is read after a response: closing the connection with input unread
# would reset it, and the response could be lost in transit.
LINGER_SECONDS = 1.0
# Timeout of the final read of a connection, which only fetches data already received.
FINAL_READ_SECONDS = 0.001


@dataclass(frozen=True)
class ServerLimits:
    """Limits of one server; sizes in bytes, times in seconds."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    # From the first byte of a request to the end of its head.
    header_seconds: float = float("inf")
    request_seconds: float = 10.0
    idle_seconds: float = 60.0
    write_seconds: float = 30.0
    connections: int = 2048


def final_read_deadline() -> float:
    """Return the deadline of a final read, on the event loop's clock."""
    return trio.current_time() + FINAL_READ_SECONDS


async def discard_input(stream: trio.abc.Stream) -> None:
    """Read to the end of the stream and discard the data."""
    while await stream.receive_some(READ_BYTES):
        pass
