"""Fetches the operators' table from a peer, for when the store is down."""

import msgspec
import trio

from berylshift.connection.errors import ConnectionLayerError
from berylshift.connection.http_client import HttpClient, Outgoing
from berylshift.version.changelog import Snapshot
from berylshift.version.table import Table

FETCH_SECONDS = 2.0
STATUS_OK = 200


class HttpPeerTables:
    """Asks a peer's admin address."""

    def __init__(self, client: HttpClient, cluster_key: str):
        """Prove to be a peer by ``cluster_key``."""
        self._client = client
        self._headers = {"authorization": f"Bearer {cluster_key}"}

    async def fetch(self, address: str) -> Table | None:
        """Return the peer's table, or ``None`` where it gives none."""
        out = Outgoing(address, "GET", "/peer/table", self._headers)
        with trio.move_on_after(FETCH_SECONDS):
            try:
                async with self._client.request(out) as resp:
                    data = await resp.read()
                    if resp.status != STATUS_OK:
                        return None
                found = msgspec.json.decode(data, type=Snapshot)
                return Table(found.version, found.rows)
            except (ConnectionLayerError, msgspec.DecodeError):
                return None
        return None
