"""Runs a host that can be partitioned from others: datagrams to and from it are lost.

It lies outside the package, so that hosts of another source tree can run it.
"""

import os
import socket
from pathlib import Path

import trio

from berylshift.daemon import main

# Names the file that lists the other side's IP addresses, separated by spaces.
BLOCKED_VARIABLE = "SOAK_BLOCKED"


def drop_datagrams(path: Path) -> None:
    """Drop datagrams to and from the addresses that a file lists."""
    with socket.socket() as sock:
        kind = type(trio.socket.from_stdlib_socket(sock))
    send, receive = kind.sendto, kind.recvfrom

    def is_blocked(address: tuple[str, int]) -> bool:
        return path.exists() and address[0] in path.read_text().split()

    async def sendto(self, data: bytes, address: tuple[str, int]) -> int:
        if is_blocked(address):
            await trio.lowlevel.checkpoint()
            return len(data)
        return await send(self, data, address)

    async def recvfrom(self, *args: int) -> tuple[bytes, tuple[str, int]]:
        while True:
            data, address = await receive(self, *args)
            if not is_blocked(address):
                return data, address

    kind.sendto, kind.recvfrom = sendto, recvfrom


if __name__ == "__main__":
    drop_datagrams(Path(os.environ[BLOCKED_VARIABLE]))
    main()
