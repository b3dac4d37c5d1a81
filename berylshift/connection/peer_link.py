"""UDP transport for datagrams between entry hosts."""

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
    """Encodes messages as datagrams and decodes them."""

    def encode(self, message: Message, max_bytes: int) -> bytes:
        """Return a datagram of up to ``max_bytes``."""

    def decode(self, data: bytes) -> Message:
        """Return the message; raise ``BadDatagramError``."""


class UdpPeerLink(Generic[Message]):
    """Sends and receives messages; invalid datagrams are counted and dropped."""

    def __init__(
        self,
        codec: Codec[Message],
        max_bytes: int,
        sock: trio.socket.SocketType | None = None,
    ):
        """Use ``codec``; datagrams are limited to ``max_bytes``."""
        self._codec = codec
        self._max_bytes = max_bytes
        self._socket = sock or trio.socket.socket(
            trio.socket.AF_INET, trio.socket.SOCK_DGRAM
        )
        self.bad_datagrams = 0

    async def bind(self, address: str) -> str:
        """Bind to ``IP:PORT``; return the address with the actual port."""
        await self._socket.bind(split_address(address))
        host, port = self._socket.getsockname()
        return f"{host}:{port}"

    async def send(self, address: str, message: Message) -> None:
        """Send a message; a datagram that cannot be sent is dropped."""
        await self._send(address, self._codec.encode(message, self._max_bytes))

    async def _send(self, address: str, data: bytes) -> None:
        try:
            await self._socket.sendto(data, split_address(address))
        except (OSError, OverflowError):
            # Ports out of range are no OSError.
            logger.debug("cannot send datagram")

    async def send_to_all(self, addresses: list[str], message: Message) -> None:
        """Send a message, encoded once, to each address."""
        data = self._codec.encode(message, self._max_bytes)
        for address in addresses:
            await self._send(address, data)

    async def receive(self, on_message: Callable[[Message], None]) -> None:
        """Pass each message to ``on_message`` until cancelled."""
        while True:
            try:
                data, _ = await self._socket.recvfrom(READ_BYTES)
                message = self._codec.decode(data)
            except BadDatagramError:
                self.bad_datagrams += 1
                continue
            except OSError:
                continue
            try:
                on_message(message)
            except Exception:
                # One message must not end the exchange with all other hosts.
                logger.exception("message not handled")

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()
