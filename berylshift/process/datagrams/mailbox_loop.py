"""Sends and receives datagrams of one kind under the key that all hosts share."""

from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

import trio

from berylshift.utils import split_address

# Messages that wait to be sent; more are dropped.
MAX_PENDING = 256

Message = TypeVar("Message")


class MessageLink(Protocol[Message]):
    """Sends and receives messages of one kind."""

    async def send(self, address: str, message: Message) -> None:
        """Send a message; it may be lost."""

    async def receive(self, on_message: Callable[[Message], None]) -> None:
        """Pass each message to ``on_message`` until cancelled."""


class MailboxLoop(Generic[Message]):
    """The messages of one host; nothing is sent before there is a key."""

    def __init__(
        self,
        make_link: Callable[[str], MessageLink[Message]],
        on_message: Callable[[Message], None],
        max_pending: int = MAX_PENDING,
    ):
        """Make a link for each key; pass received messages to ``on_message``."""
        self._make_link = make_link
        self._on_message = on_message
        self._send, self._pending = trio.open_memory_channel[tuple[str, Message]](
            max_pending
        )
        self._key: str | None = None
        self._key_changed = trio.Event()

    @property
    def has_key(self) -> bool:
        """Return whether messages can be sent."""
        return self._key is not None

    def use_key(self, key: str) -> None:
        """Authenticate messages with a key that all hosts share."""
        self._key = key
        self._key_changed.set()

    def post(self, address: str, message: Message) -> bool:
        """Queue a message; return ``False`` if too many wait."""
        try:
            self._send.send_nowait((address, message))
        except trio.WouldBlock:
            return False
        return True

    async def run(self) -> None:
        """Send and receive until cancelled."""
        if self._key is None:
            await self._key_changed.wait()
        while True:
            self._key_changed = trio.Event()
            link = self._make_link(self._key or "")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(link.receive, self._on_message)
                nursery.start_soon(self._send_pending, link)
                await self._key_changed.wait()
                nursery.cancel_scope.cancel()

    async def _send_pending(self, link: MessageLink[Message]) -> None:
        async for address, message in self._pending:
            await link.send(address, message)


def address_beside(peer_address: str, offset: int) -> str:
    """Return a host's address ``offset`` ports after the one for digests."""
    host, port = split_address(peer_address)
    return f"{host}:{port + offset}"
