"""Datagrams between entry hosts over UDP."""

import logging
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

import trio

from berylshift.connection.datagram_tag import BadDatagramError
from berylshift.utils import split_address

logger = logging.getLogger(__name__)

READ_BYTES = 65536
Message = TypeVar("Message")


class Codec(Protocol[Message]):
    """Turns messages into datagrams and back."""

    def encode(self, message: Message, most: int) -> bytes:
        """Return a datagram of at most ``most`` bytes."""

    def decode(self, data: bytes) -> Message:
        """Return the message; raise ``BadDatagramError``."""


class UdpPeerLink(Generic[Message]):
    """Sends and receives messages; what can't be read is counted and dropped."""

    def __init__(
        self,
        codec: Codec[Message],
        most: int,
        sock: trio.socket.SocketType | None = None,
    ):
        """Use ``codec``; a datagram has at most ``most`` bytes."""
        self._codec = codec
        self._most = most
        self._socket = sock or trio.socket.socket(
            trio.socket.AF_INET, trio.socket.SOCK_DGRAM
        )
        self.bad = 0

    async def bind(self, address: str) -> str:
        """Listen on ``IP:PORT``; return the address with the port in use."""
        await self._socket.bind(split_address(address))
        host, port = self._socket.getsockname()
        return f"{host}:{port}"

    async def send(self, address: str, message: Message) -> None:
        """Send a message; a datagram that can't go out is lost."""
        await self._send(address, self._codec.encode(message, self._most))

    async def _send(self, address: str, data: bytes) -> None:
        try:
            await self._socket.sendto(data, split_address(address))
        except OSError:
            logger.debug("datagram not sent")

    async def send_to_all(self, addresses: list[str], message: Message) -> None:
        """Send a message, encoded once, to each address."""
        data = self._codec.encode(message, self._most)
        for address in addresses:
            await self._send(address, data)

    async def receive(self, take: Callable[[Message], None]) -> None:
        """Give each message to ``take`` until cancelled."""
        while True:
            try:
                data, _ = await self._socket.recvfrom(READ_BYTES)
                message = self._codec.decode(data)
            except BadDatagramError:
                self.bad += 1
                continue
            except OSError:
                continue
            take(message)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()
