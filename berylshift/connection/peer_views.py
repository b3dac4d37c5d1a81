"""Fetches the operators' table from a peer while the store is down."""

import trio

from berylshift.connection.errors import ConnectionLayerError
from berylshift.connection.http_client import HttpClient, Outgoing
from berylshift.messages.json_decoding import MalformedJsonError, decode_json
from berylshift.process.table.table_follower import PeerView

FETCH_TIMEOUT_SECONDS = 2.0
STATUS_OK = 200


class HttpPeerViews:
    """Fetches tables from the admin addresses of peers."""

    def __init__(self, client: HttpClient, cluster_key: str):
        """Authenticate as a peer with ``cluster_key``."""
        self._client = client
        self._headers = {"authorization": f"Bearer {cluster_key}"}

    async def fetch(self, address: str) -> PeerView | None:
        """Return the peer's view, or ``None`` on any failure."""
        out = Outgoing(address, "GET", "/peer/table", self._headers)
        with trio.move_on_after(FETCH_TIMEOUT_SECONDS):
            try:
                async with self._client.request(out) as resp:
                    data = await resp.read()
                    if resp.status != STATUS_OK:
                        return None
                return decode_json(data, PeerView)
            except (ConnectionLayerError, MalformedJsonError):
                return None
        return None
