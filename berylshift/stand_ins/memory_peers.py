"""Links between hosts in memory."""

import math
from dataclasses import dataclass, field

import trio

from berylshift.process.membership.digest import Digest
from berylshift.process.table.follower import PeerView
from berylshift.stand_ins.network import Network


@dataclass
class PeerHub:
    """All hosts' datagram inboxes and views, by address."""

    network: Network
    inboxes: dict[str, trio.MemorySendChannel] = field(default_factory=dict)
    names: dict[str, str] = field(default_factory=dict)
    views: dict[str, object] = field(default_factory=dict)


class MemoryPeerLink:
    """One host's datagrams."""

    def __init__(self, hub: PeerHub, host: str, address: str):
        """Listen on ``address`` of ``hub``."""
        self._hub = hub
        self._host = host
        send, self._receive = trio.open_memory_channel[Digest](math.inf)
        hub.inboxes[address] = send
        hub.names[address] = host

    async def send(self, address: str, digest: Digest) -> None:
        """Send a digest; over a cut link it is lost."""
        network = self._hub.network
        await network.awake(self._host)
        name = self._hub.names.get(address, address)
        if address in self._hub.inboxes and not network.is_cut(self._host, name):
            self._hub.inboxes[address].send_nowait(digest)

    async def receive(self, on_message) -> None:
        """Give each digest that comes to ``on_message``."""
        async for digest in self._receive:
            await self._hub.network.awake(self._host)
            on_message(digest)


class MemoryPeerTables:
    """Fetches views from peers' admin addresses."""

    def __init__(self, hub: PeerHub, host: str):
        """Ask through ``hub`` on behalf of ``host``."""
        self._hub = hub
        self._host = host

    async def fetch(self, address: str) -> PeerView | None:
        """Return a peer's view, or ``None``."""
        name = self._hub.names.get(address, address)
        make_view = self._hub.views.get(address)
        if not await self._hub.network.hop(self._host, name) or make_view is None:
            return None
        return make_view()
