"""Tests of responses to requests that are still being sent, over real sockets."""

import unittest
from contextlib import asynccontextmanager

import trio

from berylshift.connection.errors import ConnectionLayerError
from berylshift.connection.http_client import HttpClient, Outgoing
from berylshift.connection.request_body import RequestBody
from berylshift.connection.target_client import DirectDialer, TargetClient
from berylshift.connection.target_request import TargetRequest
from berylshift.connection.tunnel_client import TunnelClient
from berylshift.connection.tunnel_codec import TunnelCodec
from berylshift.connection.tunnel_server import TunnelServer
from berylshift.connection.tunnel_stream import END_FRAME, FrameReader, frame
from berylshift.ids import InstanceId, RequestId
from berylshift.messages.tunnel import TunnelRequest, TunnelStatus
from berylshift.platform.codec import PlatformCodec
from berylshift.store.host_rows import HostRecord
from berylshift.tests.tcp_world import (
    LIMIT_SECONDS,
    LONG_BYTES,
    OK,
    PAUSE_SECONDS,
    WHOLE,
    Order,
    Peer,
    connect,
    listen,
    reset_without_length,
)

KEY = "shared"
BROKEN = "ConnectionBrokenError"


async def reset_after_length(peer: Peer) -> None:
    """Send a whole body with its length, and reset the connection."""
    await peer.read_head()
    await peer.send(OK, b"content-length: %d" % len(WHOLE), body=WHOLE)
    await peer.reset_after_pause()


async def reset_after_chunks(peer: Peer) -> None:
    """Send a whole body in chunks, and reset the connection."""
    await peer.read_head()
    body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(WHOLE), WHOLE)
    await peer.send(OK, b"transfer-encoding: chunked", body=body)
    await peer.reset_after_pause()


async def reset_within_length(peer: Peer) -> None:
    """Send a part of a body with its length, and reset the connection."""
    await peer.read_head()
    await peer.send(OK, b"content-length: %d" % len(WHOLE), body=WHOLE[:6])
    await peer.reset_after_pause()


async def end_then_reset(peer: Peer) -> None:
    """End a body without length in order; the rest of the request is not read."""
    await peer.read_head()
    await peer.send(OK, body=WHOLE)
    await peer.stream.send_eof()
    await trio.sleep(PAUSE_SECONDS)
    peer.stream.socket.close()


async def end_and_stay(peer: Peer) -> None:
    """End a body without length in order; the connection stays open."""
    await peer.read_head()
    await peer.send(OK, body=WHOLE)
    await peer.stream.send_eof()
    await trio.sleep_forever()


class Ends:
    """A client of one peer, direct or through a tunnel.

    ``order`` holds for the connection to the peer, ``host_order`` for the client's
    connection to the host that carries the tunnel.
    """

    def __init__(self, script, order: Order | None, tunnel: bool = False):
        """Answer each request by ``script``."""
        self.script = script
        self.order = order
        self.tunnel = tunnel
        self.host_order: Order | None = None
        self.host_streams: list[trio.SocketStream] = []
        self.server = TunnelServer(
            self.dial,
            lambda request: None,
            lambda address: None,
            lambda request, was_refused: TunnelStatus.UNSURE,
        )
        self.server.use_key(KEY)
        # How the host serves connections for tunnels.
        self.carry = self.serve_tunnel

    @asynccontextmanager
    async def client(self):
        """Yield a client and the peer's address."""
        async with trio.open_nursery() as nursery:
            address = await listen(nursery, self.script)
            client = TargetClient(1.0, self.dial, PlatformCodec().response_id)
            if self.tunnel:
                client.set_dialer(DirectDialer(await self.tunnels(nursery)))
            nursery.start_soon(client.run)
            await trio.testing.wait_all_tasks_blocked()
            yield client, address
            nursery.cancel_scope.cancel()

    async def dial(self, address: str) -> trio.abc.Stream:
        """Connect to the peer."""
        return await connect(address, self.order)

    async def dial_host(self, address: str) -> trio.abc.Stream:
        """Connect to the host that carries tunnels."""
        return await connect(address, self.host_order)

    async def serve_tunnel(self, peer: Peer) -> None:
        """Serve a connection for a tunnel."""
        self.host_streams.append(peer.stream)
        await self.server.serve_stream(peer.stream)

    async def tunnels(self, nursery: trio.Nursery):
        """Start a host that carries tunnels, and return what dials through it."""
        host = HostRecord("host-2", await listen(nursery, self.carry))
        tunnels = TunnelClient(self.dial_host)
        tunnels.use_key(KEY)

        async def dial(address: str) -> trio.abc.Stream:
            return await tunnels.open(host, TunnelRequest(InstanceId("i"), address))

        return dial

    async def ask(self) -> bytes | str:
        """Return the body of a response to a long request, or its error's name."""
        with trio.fail_after(LIMIT_SECONDS):
            async with self.client() as (client, address):
                out = TargetRequest(
                    InstanceId("i"),
                    address,
                    b"POST",
                    b"/",
                    [(b"host", b"x")],
                    RequestBody.of(b"x" * LONG_BYTES),
                    RequestId("r1"),
                )
                try:
                    async with client.exchange(out) as answer:
                        return await answer.read(LONG_BYTES)
                except ConnectionLayerError as exc:
                    return type(exc).__name__


def ask(script, order: Order | None = None, tunnel: bool = False) -> bytes | str:
    """Return the body of a response, or the name of its error."""
    return trio.run(Ends(script, order, tunnel).ask)


class ResetTest(unittest.TestCase):
    """A peer that resets its connection while the request is sent."""

    def test_part_without_length_is_no_whole_response(self):
        """Guards against a part of a body that counts as all of it."""
        for order in Order:
            with self.subTest(order=order):
                self.assertEqual(ask(reset_without_length, order), BROKEN)

    def test_part_through_a_tunnel_is_no_whole_response(self):
        """Guards against a carrying host that turns a reset into an end."""
        for order in Order:
            with self.subTest(order=order):
                found = ask(reset_without_length, order, tunnel=True)
                self.assertEqual(found, BROKEN)

    def test_carrying_host_that_dies_ends_no_response(self):
        """Guards against a lost tunnel that looks like the end of a body."""

        async def stay(peer: Peer) -> None:
            await peer.read_head()
            await peer.send(OK, body=WHOLE[:6])
            await trio.sleep(PAUSE_SECONDS)
            Peer(ends.host_streams[0]).reset()
            await trio.sleep_forever()

        for order in (None, Order.SENDER_FIRST, Order.SENDER_LATE):
            with self.subTest(order=order):
                ends = Ends(stay, None, tunnel=True)
                ends.host_order = order
                self.assertEqual(trio.run(ends.ask), BROKEN)

    def test_part_with_length_is_no_whole_response(self):
        """Guards against a body shorter than its length that counts as whole."""
        for order in Order:
            with self.subTest(order=order):
                self.assertEqual(ask(reset_within_length, order), BROKEN)

    def test_request_that_one_task_sends_and_reads(self):
        """Guards against a part that engines' or the store's client takes for all."""

        async def main(body: bytes):
            async with trio.open_nursery() as nursery:
                address = await listen(nursery, reset_without_length)
                client = HttpClient(connect)
                out = Outgoing(address, "POST", "/", {}, body)
                try:
                    with trio.fail_after(LIMIT_SECONDS):
                        async with client.request(out) as resp:
                            return await resp.read()
                except ConnectionLayerError as exc:
                    return type(exc).__name__
                finally:
                    nursery.cancel_scope.cancel()

        for body in (b"short", b"x" * LONG_BYTES):
            with self.subTest(size=len(body)):
                self.assertEqual(trio.run(main, body), BROKEN)


class WholeTest(unittest.TestCase):
    """Whole responses that come before the request was sent."""

    def test_early_response_before_a_reset(self):
        """Guards against a whole early response that is lost by a reset."""
        for script in (reset_after_length, reset_after_chunks):
            for order in Order:
                with self.subTest(script=script.__name__, order=order):
                    self.assertEqual(ask(script, order), WHOLE)

    def test_orderly_end_before_a_reset(self):
        """Guards against an orderly end that the later reset turns into a break."""
        for order in Order:
            with self.subTest(order=order):
                self.assertEqual(ask(end_then_reset, order), WHOLE)

    def test_orderly_end_while_the_request_is_stuck(self):
        """Guards against a whole response that waits for a peer that reads no more."""
        for tunnel in (False, True):
            with self.subTest(tunnel=tunnel):
                self.assertEqual(ask(end_and_stay, tunnel=tunnel), WHOLE)

    def test_early_response_through_a_tunnel(self):
        """Guards against a carrying host that loses a whole early response."""
        for script in (reset_after_length, reset_after_chunks, end_then_reset):
            for order in Order:
                with self.subTest(script=script.__name__, order=order):
                    self.assertEqual(ask(script, order, tunnel=True), WHOLE)

    def test_marked_end_before_the_carrying_host_closes(self):
        """Guards against a marked end that the tunnel's reset turns into a break."""
        codec = TunnelCodec(KEY)

        async def carry(peer: Peer) -> None:
            reader = FrameReader(peer.stream)
            codec.decode_request(await reader.read_message())
            await peer.stream.send_all(frame(codec.encode_status(TunnelStatus.OPEN)))
            await peer.read_head()
            await peer.stream.send_all(frame(OK + b"\r\n\r\n" + WHOLE) + END_FRAME)
            await peer.reset_after_pause()

        for order in (None, Order.SENDER_FIRST, Order.SENDER_LATE):
            with self.subTest(order=order):
                ends = Ends(end_and_stay, None, tunnel=True)
                ends.carry, ends.host_order = carry, order
                self.assertEqual(trio.run(ends.ask), WHOLE)


if __name__ == "__main__":
    unittest.main()
