"""Tests of the connections that lead to a replica through another host."""

import unittest

import trio

from berylshift.connection.errors import ConnectFailedError
from berylshift.connection.tunnel_client import TunnelClient, TunnelRefusedError
from berylshift.connection.tunnel_codec import TunnelCodec
from berylshift.connection.tunnel_server import (
    IDLE_SECONDS,
    MAX_TUNNELS,
    TunnelServer,
)
from berylshift.connection.tunnel_stream import END_FRAME, FrameReader, frame
from berylshift.ids import InstanceId
from berylshift.messages.tunnel import TunnelRequest, TunnelStatus
from berylshift.store.host_rows import HostRecord
from berylshift.tests.socket_world import SimulatedSocket, socket_pair
from berylshift.tests.support import VirtualTestCase

KEY = "shared"
REPLICA = "10.0.0.1:80"
REQUEST = TunnelRequest(InstanceId("plain-1"), REPLICA)
HOST = HostRecord("host-2", "10.1.0.2:7380")


class Ends:
    """A host that serves tunnels, and the far ends of its connections to replicas."""

    def __init__(self, nursery: trio.Nursery):
        """Reach the replica unless a test says otherwise."""
        self._nursery = nursery
        self.replicas: list[SimulatedSocket] = []
        self.host_ends: list[SimulatedSocket] = []
        self.refusal: TunnelStatus | None = None
        self.dial_error: OSError | None = None
        self.server = TunnelServer(
            self.dial_replica,
            lambda request: self.refusal,
            lambda address: None,
            lambda request, was_refused: TunnelStatus.UNSURE,
        )
        self.server.use_key(KEY)
        self.client = TunnelClient(self.dial_host)
        self.client.use_key(KEY)

    async def dial_replica(self, address: str) -> SimulatedSocket:
        """Connect the host to a replica."""
        if self.dial_error is not None:
            raise self.dial_error
        near, far = socket_pair()
        self.replicas.append(far)
        return near

    async def dial_host(self, address: str) -> SimulatedSocket:
        """Connect to the host."""
        near, far = socket_pair()
        self.host_ends.append(far)
        self._nursery.start_soon(self.server.serve_stream, far)
        return near


class TunnelTest(VirtualTestCase):
    """Bytes, ends and refusals of tunnels."""

    def run_ends(self, task):
        """Run ``task(ends)``."""

        async def main():
            async with trio.open_nursery() as nursery:
                result = await task(Ends(nursery))
                nursery.cancel_scope.cancel()
            return result

        return self.run_virtual(main)

    def test_bytes_pass_unchanged(self):
        """Guards against changed, missing or added bytes in either direction."""
        sent = [bytes([number % 256]) * (number * 977) for number in range(1, 40)]

        async def task(ends):
            stream = await ends.client.open(HOST, REQUEST)
            [replica] = ends.replicas
            got_up, got_down = b"", b""

            async def send(target):
                for data in sent:
                    await target.send_all(data)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, stream)
                nursery.start_soon(send, replica)
                while len(got_up) < len(b"".join(sent)):
                    got_up += await replica.receive_some()
                while len(got_down) < len(b"".join(sent)):
                    got_down += await stream.receive_some(1000)
            return got_up, got_down

        self.assertEqual(self.run_ends(task), (b"".join(sent), b"".join(sent)))

    def test_host_that_dies_is_no_end_of_a_response(self):
        """Guards against a cut response without a length that looks complete."""

        async def task(ends):
            stream = await ends.client.open(HOST, REQUEST)
            await ends.replicas[0].send_all(b"half of it")
            first = await stream.receive_some()
            ends.host_ends[0].close()
            with self.assertRaises(trio.BrokenResourceError):
                await stream.receive_some()
            return first

        self.assertEqual(self.run_ends(task), b"half of it")

    def test_reset_by_the_replica_is_no_end_of_a_response(self):
        """Guards against a reset that looks like a complete response."""

        async def task(ends):
            stream = await ends.client.open(HOST, REQUEST)
            await ends.replicas[0].send_all(b"half of it")
            await stream.receive_some()
            ends.replicas[0].peer.reset()
            with self.assertRaises(trio.BrokenResourceError):
                await stream.receive_some()

        self.run_ends(task)

    def test_end_of_the_replica_reaches_the_other_host(self):
        """Guards against a response that ends with its connection and never ends."""

        async def task(ends):
            stream = await ends.client.open(HOST, REQUEST)
            await ends.replicas[0].send_all(b"all of it")
            ends.replicas[0].close()
            return [await stream.receive_some() for _ in range(2)]

        self.assertEqual(self.run_ends(task), [b"all of it", b""])

    def test_early_response_to_a_long_request_arrives(self):
        """Guards against a response lost when its replica stops reading the request."""

        async def task(ends):
            stream = await ends.client.open(HOST, REQUEST)
            await stream.send_all(b"x" * 1000)
            await ends.replicas[0].receive_some()
            await ends.replicas[0].send_all(b"413")
            ends.replicas[0].close()
            await trio.sleep(0.1)
            await stream.send_all(b"x" * 1000)
            return [await stream.receive_some() for _ in range(2)]

        self.assertEqual(self.run_ends(task), [b"413", b""])

    def test_closed_tunnel_closes_the_connection_to_the_replica(self):
        """Guards against replicas that work on for a caller that has left."""

        async def task(ends):
            stream = await ends.client.open(HOST, REQUEST)
            await stream.aclose()
            with trio.fail_after(0.1):
                return await ends.replicas[0].receive_some()

        self.assertEqual(self.run_ends(task), b"")

    def test_refusals_say_why(self):
        """Guards against a refusal that is taken for another one."""

        async def task(ends):
            found = []
            for status in TunnelStatus:
                if status in (TunnelStatus.OPEN, TunnelStatus.UNSURE):
                    continue
                ends.refusal = status
                with self.assertRaises(TunnelRefusedError) as caught:
                    await ends.client.open(HOST, REQUEST)
                found.append(caught.exception.status is status)
            ends.refusal, ends.dial_error = None, OSError("refused")
            with self.assertRaises(TunnelRefusedError) as caught:
                await ends.client.open(HOST, REQUEST)
            return found, caught.exception.status, len(ends.replicas)

        found, status, dialed = self.run_ends(task)
        self.assertTrue(all(found))
        self.assertEqual((status, dialed), (TunnelStatus.UNSURE, 0))

    def test_tunnels_of_a_host_are_bounded(self):
        """Guards against other hosts' requests that starve a host's own callers."""

        async def task(ends):
            for _ in range(MAX_TUNNELS):
                await ends.client.open(HOST, REQUEST)
            with self.assertRaises(TunnelRefusedError) as caught:
                await ends.client.open(HOST, REQUEST)
            return caught.exception.status

        self.assertIs(self.run_ends(task), TunnelStatus.FULL)

    def test_strangers_get_no_tunnel(self):
        """Guards against connections to replicas for programs without the key."""

        async def task(ends):
            ends.client.use_key("another")
            with self.assertRaises(ConnectFailedError):
                await ends.client.open(HOST, REQUEST)
            for data in (b"GET / HTTP/1.1\r\n\r\n", frame(b"x" * 40), END_FRAME):
                near = await ends.dial_host(HOST.address)
                await near.send_all(data)
                self.assertEqual(await near.receive_some(), b"")
            return len(ends.replicas)

        self.assertEqual(self.run_ends(task), 0)

    def test_tunnel_without_bytes_is_closed(self):
        """Guards against tunnels that stay open for a host that lost power."""

        async def task(ends):
            await ends.client.open(HOST, REQUEST)
            await trio.sleep(IDLE_SECONDS - 1)
            opened = ends.server.open_count
            await trio.sleep(2)
            return opened, ends.server.open_count

        self.assertEqual(self.run_ends(task), (1, 0))

    def test_silent_client_is_closed(self):
        """Guards against connections that stay open without a request."""

        async def task(ends):
            near = await ends.dial_host(HOST.address)
            with trio.fail_after(1.5):
                return await near.receive_some()

        self.assertEqual(self.run_ends(task), b"")


class FrameTest(VirtualTestCase):
    """Frames that arrive in any pieces."""

    def test_frames_split_anywhere(self):
        """Guards against frames that are read wrong when they arrive in pieces."""
        data = frame(b"one") + frame(b"two" * 500) + END_FRAME

        async def task():
            for size in (1, 2, 3, 5, 7, 1000, len(data)):
                near, far = socket_pair()
                reader, got = FrameReader(far), b""
                for start in range(0, len(data), size):
                    await near.send_all(data[start : start + size])
                while part := await reader.read_some(700):
                    got += part
                self.assertEqual(got, b"one" + b"two" * 500)

        self.run_virtual(task)

    def test_messages_survive_encoding(self):
        """Guards against a request or reply that is decoded as another one."""
        codec = TunnelCodec(KEY)
        self.assertEqual(codec.decode_request(codec.encode_request(REQUEST)), REQUEST)
        for status in TunnelStatus:
            self.assertIs(codec.decode_status(codec.encode_status(status)), status)


if __name__ == "__main__":
    unittest.main()
