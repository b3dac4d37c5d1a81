"""Datagrams between entry hosts over UDP."""

import logging
from collections.abc import Callable

import trio

from berylshift.connection.peer_codec import BadDatagramError, PeerCodec
from berylshift.process.digest import Digest
from berylshift.utils import split_address

logger = logging.getLogger(__name__)

READ_BYTES = 65536
Receive = Callable[[Digest], None]


class UdpPeerLink:
    """Sends and receives digests; what can't be read is counted and dropped."""

    def __init__(self, codec: PeerCodec, most: int):
        """Use ``codec``; a datagram has at most ``most`` bytes."""
        self._codec = codec
        self._most = most
        self._socket = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        self.bad = 0

    async def bind(self, address: str) -> str:
        """Listen on ``IP:PORT``; return the address with the port in use."""
        await self._socket.bind(split_address(address))
        host, port = self._socket.getsockname()
        return f"{host}:{port}"

    async def send(self, address: str, digest: Digest) -> None:
        """Send a digest; a datagram that can't go out is lost."""
        data = self._codec.encode(digest, self._most)
        try:
            await self._socket.sendto(data, split_address(address))
        except OSError:
            logger.debug("datagram not sent")

    async def receive(self, take: Receive) -> None:
        """Give each digest to ``take`` until cancelled."""
        while True:
            try:
                data, _ = await self._socket.recvfrom(READ_BYTES)
                digest = self._codec.decode(data)
            except BadDatagramError:
                self.bad += 1
                continue
            except OSError:
                continue
            take(digest)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()
