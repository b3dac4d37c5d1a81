"""Serves tunnels: carries other hosts' connections to replicas."""

import contextlib
import logging
from collections.abc import Callable

import trio

from berylshift.connection.datagram_tag import BadDatagramError
from berylshift.connection.http_client import Dial
from berylshift.connection.sending_half import SendingHalf
from berylshift.connection.tunnel_codec import TunnelCodec
from berylshift.connection.tunnel_stream import (
    END_FRAME,
    READ_BYTES,
    FrameReader,
    frame,
)
from berylshift.messages.tunnel import TunnelRequest, TunnelStatus

logger = logging.getLogger(__name__)

REQUEST_SECONDS = 1.0
# Many times the round trip to a replica, and short for a caller that waits.
DIAL_SECONDS = 0.1
# Tunnels at one time; own callers' requests keep the rest of the descriptors.
MAX_TUNNELS = 256
IDLE_CHECK_SECONDS = 0.05
# A tunnel is closed if nothing passes for this long: either host may have lost power.
IDLE_SECONDS = 60.0
# How long the other host may take to close a tunnel whose replica has ended it.
LINGER_SECONDS = 1.0

# Decides on a request; ``None``: the replica may be dialed.
Admit = Callable[[TunnelRequest], TunnelStatus | None]


class TunnelServer:
    """Accepts requests for tunnels; each is one connection to one replica.

    A tunnel always ends at a direct connection: it never leads to a third host.
    """

    def __init__(
        self,
        dial: Dial,
        admit: Admit,
        on_dialed: Callable[[str], None],
        on_not_reached: Callable[[TunnelRequest, bool], TunnelStatus],
    ):
        """Connect to replicas by ``dial`` if ``admit`` allows.

        ``on_dialed`` is called with the address of each replica that was reached;
        ``on_not_reached`` returns the status for one that was not, and is told whether
        it refused the connection.
        """
        self._dial = dial
        self._admit = admit
        self._on_dialed = on_dialed
        self._on_not_reached = on_not_reached
        self._codec: TunnelCodec | None = None
        self.open_count = 0
        self.opened = 0

    def use_key(self, key: str) -> None:
        """Authenticate with the key that all hosts share."""
        self._codec = TunnelCodec(key)

    async def serve(self, listener: trio.SocketListener) -> None:
        """Accept connections until cancelled."""
        await trio.serve_listeners(self.serve_stream, [listener])

    async def wait_until_idle(self) -> None:
        """Wait until no tunnel is open."""
        while self.open_count:
            await trio.sleep(IDLE_CHECK_SECONDS)

    async def serve_stream(self, stream: trio.abc.Stream) -> None:
        """Serve one connection of another host; a failure ends this tunnel only."""
        try:
            await self._serve(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except Exception:
            logger.exception("tunnel failed")
        finally:
            await trio.aclose_forcefully(stream)

    async def _serve(self, stream: trio.abc.Stream) -> None:
        codec, reader = self._codec, FrameReader(stream)
        if codec is None:
            return
        with trio.move_on_after(REQUEST_SECONDS) as scope:
            try:
                request = codec.decode_request(await reader.read_message())
            except BadDatagramError as exc:
                logger.warning("tunnel request refused", extra={"reason": str(exc)})
                return
        if scope.cancelled_caught:
            return
        status, replica = await self._connect(request)
        if replica is None:
            await stream.send_all(frame(codec.encode_status(status)))
            return
        self.open_count += 1
        self.opened += 1
        try:
            await stream.send_all(frame(codec.encode_status(status)))
            await _Carrier(stream, reader, replica).run()
        finally:
            self.open_count -= 1
            await trio.aclose_forcefully(replica)

    async def _connect(
        self, request: TunnelRequest
    ) -> tuple[TunnelStatus, trio.abc.Stream | None]:
        if self.open_count >= MAX_TUNNELS:
            return TunnelStatus.FULL, None
        refusal = self._admit(request)
        if refusal is not None:
            return refusal, None
        with trio.move_on_after(DIAL_SECONDS):
            try:
                replica = await self._dial(request.address)
            except OSError:
                return self._on_not_reached(request, True), None
            self._on_dialed(request.address)
            return TunnelStatus.OPEN, replica
        return self._on_not_reached(request, False), None


class _Carrier:
    """Carries bytes both ways until either side closes its connection.

    A replica drops the request of a connection that closes, so the connection to it
    must not outlive the one to the other host.
    """

    def __init__(
        self, stream: trio.abc.Stream, reader: FrameReader, replica: trio.abc.Stream
    ):
        """Carry between ``stream``, read by ``reader`` so far, and ``replica``."""
        self._stream = stream
        self._reader = reader
        self._replica = replica
        self._sending = SendingHalf(replica)
        self._scope = trio.CancelScope()

    async def run(self) -> None:
        """Carry until the tunnel ends, or nothing has passed for too long."""
        self._on_bytes()
        with self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._carry_up)
                if await self._carry_down():
                    # Closed with unread bytes of a request, the connection would be
                    # reset, and the end of the response lost.
                    self._scope.deadline = trio.current_time() + LINGER_SECONDS
                else:
                    self._scope.cancel()

    def _on_bytes(self) -> None:
        self._scope.deadline = trio.current_time() + IDLE_SECONDS

    async def _carry_up(self) -> None:
        """Carry a request; end the tunnel once the other host closes it.

        The rest of a request that the replica no longer takes is discarded: its
        response may still arrive.
        """
        data, takes_more = self._reader.take_rest(), True
        with contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            while data or (data := await self._stream.receive_some(READ_BYTES)):
                if takes_more:
                    self._on_bytes()
                    takes_more = await self._try_send(data)
                data = b""
        self._scope.cancel()

    async def _carry_down(self) -> bool:
        """Carry a response; return whether the replica closed its connection."""
        try:
            while data := await self._replica.receive_some(READ_BYTES):
                self._on_bytes()
                await self._stream.send_all(frame(data))
            if await self._sending.hides_reset():
                return False
            await self._stream.send_all(END_FRAME)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        return True

    async def _try_send(self, data: bytes) -> bool:
        """Send bytes of a request; return whether the replica takes more."""
        try:
            await self._sending.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        return True
