"""Opens tunnels to replicas through other hosts."""

import trio

from berylshift.connection.datagram_tag import BadDatagramError
from berylshift.connection.errors import ConnectFailedError
from berylshift.connection.http_client import Dial, close_now
from berylshift.connection.tunnel_codec import TunnelCodec
from berylshift.connection.tunnel_stream import FrameReader, TunnelStream, frame
from berylshift.messages.tunnel import TunnelRequest, TunnelStatus
from berylshift.store.host_rows import HostRecord


class TunnelRefusedError(ConnectFailedError):
    """A host did not open a tunnel; no byte has reached the replica."""

    def __init__(self, status: TunnelStatus):
        """Keep the host's answer."""
        super().__init__(status.name)
        self.status = status


class TunnelClient:
    """Asks hosts for tunnels; callers bound the duration by cancel scopes."""

    def __init__(self, dial: Dial):
        """Connect to other hosts by ``dial``."""
        self._dial = dial
        self._codec: TunnelCodec | None = None

    def use_key(self, key: str) -> None:
        """Authenticate with the key that all hosts share."""
        self._codec = TunnelCodec(key)

    async def open(self, host: HostRecord, request: TunnelRequest) -> TunnelStream:
        """Return a tunnel through ``host``.

        Raises ``TunnelRefusedError`` with the host's answer, and other
        ``ConnectFailedError`` if there was none.
        """
        if self._codec is None:
            raise ConnectFailedError("no key for tunnels yet")
        try:
            stream = await self._dial(host.address)
        except OSError as exc:
            raise ConnectFailedError(f"{host.host}: {exc}") from exc
        try:
            return await self._ask(self._codec, stream, host, request)
        except BaseException:
            close_now(stream)
            raise

    async def _ask(
        self,
        codec: TunnelCodec,
        stream: trio.abc.Stream,
        host: HostRecord,
        request: TunnelRequest,
    ) -> TunnelStream:
        reader = FrameReader(stream)
        try:
            await stream.send_all(frame(codec.encode_request(request)))
            status = codec.decode_status(await reader.read_message())
        except (trio.BrokenResourceError, BadDatagramError) as exc:
            raise ConnectFailedError(f"{host.host}: {exc}") from exc
        if status is not TunnelStatus.OPEN:
            raise TunnelRefusedError(status)
        return TunnelStream(stream, reader, host.host)
