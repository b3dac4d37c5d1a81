"""In-memory links between hosts: datagrams and table views."""

import math
from dataclasses import dataclass, field

import trio

from berylshift.process.membership.digest import Digest
from berylshift.process.table.follower import PeerView
from berylshift.stand_ins.network import Network


@dataclass
class PeerHub:
    """All hosts' datagram inboxes, names and table views, by address."""

    network: Network
    inboxes: dict[str, trio.MemorySendChannel] = field(default_factory=dict)
    host_names: dict[str, str] = field(default_factory=dict)
    views: dict[str, object] = field(default_factory=dict)


class MemoryPeerLink:
    """One host's datagram socket."""

    def __init__(self, hub: PeerHub, host: str, address: str):
        """Listen on ``address`` of ``hub``."""
        self._hub = hub
        self._host = host
        send, self._receive = trio.open_memory_channel[Digest](math.inf)
        hub.inboxes[address] = send
        hub.host_names[address] = host

    async def send(self, address: str, digest: Digest) -> None:
        """Send a digest; it is lost if the link is cut."""
        network = self._hub.network
        await network.wait_resumed(self._host)
        name = self._hub.host_names.get(address, address)
        if address in self._hub.inboxes and not network.is_cut(self._host, name):
            self._hub.inboxes[address].send_nowait(digest)

    async def receive(self, on_message) -> None:
        """Pass each received digest to ``on_message``."""
        async for digest in self._receive:
            await self._hub.network.wait_resumed(self._host)
            on_message(digest)


class MemoryPeerTables:
    """Fetches table views from peers' admin addresses."""

    def __init__(self, hub: PeerHub, host: str):
        """Fetch through ``hub`` as ``host``."""
        self._hub = hub
        self._host = host

    async def fetch(self, address: str) -> PeerView | None:
        """Return a peer's view, or ``None`` if it cannot be reached."""
        name = self._hub.host_names.get(address, address)
        make_view = self._hub.views.get(address)
        if not await self._hub.network.hop(self._host, name) or make_view is None:
            return None
        return make_view()
