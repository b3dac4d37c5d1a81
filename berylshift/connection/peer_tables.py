"""Fetches the operators' table from a peer, for when the store is down."""

import msgspec
import trio

from berylshift.connection.errors import ConnectionLayerError
from berylshift.connection.http_client import HttpClient, Outgoing
from berylshift.process.table.follower import PeerView

FETCH_SECONDS = 2.0
STATUS_OK = 200


class HttpPeerTables:
    """Asks a peer's admin address."""

    def __init__(self, client: HttpClient, cluster_key: str):
        """Prove to be a peer by ``cluster_key``."""
        self._client = client
        self._headers = {"authorization": f"Bearer {cluster_key}"}

    async def fetch(self, address: str) -> PeerView | None:
        """Return the peer's view, or ``None`` where it gives none."""
        out = Outgoing(address, "GET", "/peer/table", self._headers)
        with trio.move_on_after(FETCH_SECONDS):
            try:
                async with self._client.request(out) as resp:
                    data = await resp.read()
                    if resp.status != STATUS_OK:
                        return None
                return msgspec.json.decode(data, type=PeerView)
            except (ConnectionLayerError, msgspec.DecodeError):
                return None
        return None
