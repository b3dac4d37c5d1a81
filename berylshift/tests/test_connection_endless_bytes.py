"""Tests peers that send bytes without end which are no response."""

import tracemalloc
from contextlib import aclosing

import h11
import outcome
import trio

from berylshift.connection.engine_client import HttpEngineClient
from berylshift.connection.errors import BadResponseError
from berylshift.connection.http_client import (
    MAX_INFORMATIONAL_RESPONSES,
    MAX_SMALL_CHUNKS,
    ClientConnection,
    HttpClient,
    Outgoing,
)
from berylshift.connection.service_client import HttpServiceClient
from berylshift.connection.tunnel_stream import FrameReader, TunnelStream, frame
from berylshift.stand_ins.pipes import pipe_pair
from berylshift.store.client import StoreClient
from berylshift.store.interfaces import ResponseLostError
from berylshift.targets import EngineCall, ServiceCall, TargetBrokenError
from berylshift.tests.support import VirtualTestCase

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"transfer-encoding: chunked\r\n\r\n"
CLOSING = OK + b"connection: close\r\ntransfer-encoding: chunked\r\n\r\n"
INFORMATIONAL = b"HTTP/1.1 102 Processing\r\n\r\n"
OUT = Outgoing("10.0.0.1:80", "GET", "/x", {})
PIECE_BYTES = 65536
# What any of the clients may take before it gives up: 32 MiB, and the pipe's window.
MAX_TAKEN_BYTES = (32 << 20) + 4 * PIECE_BYTES


class EndlessPeer:
    """Answers each connection with some bytes, then with others without end."""

    def __init__(self, nursery, start: bytes, repeated: bytes, is_slow: bool = False):
        """Repeat ``repeated`` in pieces of 64 KiB, or byte by byte."""
        self._nursery = nursery
        self._start = start
        self._piece = repeated * (PIECE_BYTES // len(repeated) or 1)
        self._is_slow = is_slow
        self.open = 0
        self.sent_bytes = 0

    async def dial(self, address: str) -> trio.abc.Stream:
        """Return a new connection."""
        near, far = pipe_pair()
        self._nursery.start_soon(self._serve, far)
        return near

    async def _serve(self, stream) -> None:
        self.open += 1
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send, stream)
            while await stream.receive_some(PIECE_BYTES):
                pass
            nursery.cancel_scope.cancel()
        self.open -= 1

    async def _send(self, stream) -> None:
        step = 1 if self._is_slow else PIECE_BYTES
        try:
            await stream.send_all(self._start)
            while True:
                for offset in range(0, len(self._piece), step):
                    part = self._piece[offset : offset + step]
                    await stream.send_all(part)
                    self.sent_bytes += len(part)
                    await trio.sleep(0.01)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass


async def read_response(client: HttpClient) -> bytes:
    """Return the body of a response."""
    async with client.request(OUT) as response:
        return await response.read()


class EndlessCase(VirtualTestCase):
    """Plays a call against an endless peer."""

    def play(self, call, start: bytes, repeated: bytes, is_slow: bool = False):
        """Return the result of ``call(client)``; check that its connection ended."""

        async def task():
            async with trio.open_nursery() as nursery:
                peer = EndlessPeer(nursery, start, repeated, is_slow)
                with trio.move_on_after(60.0):
                    result = await outcome.acapture(call, HttpClient(peer.dial))
                await trio.sleep(0.1)
                ends = peer.open, peer.sent_bytes
                nursery.cancel_scope.cancel()
            return result, *ends

        result, still_open, sent_bytes = self.run_virtual(task)
        self.assertEqual(still_open, 0)
        self.assertLessEqual(sent_bytes, MAX_TAKEN_BYTES)
        return result.unwrap()


class HeadTest(EndlessCase):
    """Guards against a response that never gets a head."""

    def test_bytes_that_are_no_head(self):
        """Guards against heads, and lines before them, of unlimited size."""
        cases = {
            "informational": (b"", INFORMATIONAL),
            "blank lines": (b"", b"\r\n"),
            "fields": (OK, b"a: b\r\n"),
            "one field": (OK + b"a: ", b"b"),
        }
        for name, (start, repeated) in cases.items():
            with self.subTest(case=name), self.assertRaises(BadResponseError):
                self.play(read_response, start, repeated)

    def test_slow_informational_responses(self):
        """Guards against a caller that is held by one informational byte at a time."""
        with self.assertRaises(BadResponseError):
            self.play(read_response, b"", INFORMATIONAL, is_slow=True)

    def test_few_informational_responses_are_valid(self):
        """Guards against a limit on valid responses."""
        start = INFORMATIONAL * MAX_INFORMATIONAL_RESPONSES + OK
        start += b"content-length: 4\r\n\r\n"
        self.assertEqual(self.play(read_response, start, b"x"), b"xxxx")


class BodyTest(EndlessCase):
    """Guards against bodies that take more memory or work than their bound."""

    def test_body_without_end(self):
        """Guards against a body that fills the memory."""
        for repeated in (b"10000\r\n" + b"x" * 65536 + b"\r\n", b"1\r\nx\r\n"):
            with self.subTest(repeated[:5]), self.assertRaises(BadResponseError):
                self.play(read_response, CHUNKED, repeated)

    def test_body_in_small_chunks_takes_little_memory(self):
        """Guards against chunks of few bytes that each take the memory of an object."""
        body = (b"2\r\nxx\r\n" * MAX_SMALL_CHUNKS) + b"0\r\n\r\n"

        async def read(client):
            tracemalloc.start()
            async with client.request(OUT) as response:
                before = tracemalloc.get_traced_memory()[0]
                tracemalloc.reset_peak()
                data = await response.read()
                peak = tracemalloc.get_traced_memory()[1] - before
            tracemalloc.stop()
            return len(data), peak

        # The peer's bytes in the pipe count, too.
        size, peak = self.play(read, CLOSING + body, b"x")
        self.assertEqual(size, 2 * MAX_SMALL_CHUNKS)
        self.assertLess(peak, 4 * PIECE_BYTES)

    def test_other_tasks_run_between_small_chunks(self):
        """Guards against a piece of many chunks that stops the event loop."""

        async def read(client):
            turns = 0
            async with trio.open_nursery() as nursery:

                async def count():
                    nonlocal turns
                    while True:
                        await trio.lowlevel.checkpoint()
                        turns += 1

                async with client.request(OUT) as response:
                    nursery.start_soon(count)
                    async with aclosing(response.chunks()) as chunks:
                        for _ in range(8192):
                            await anext(chunks)
                nursery.cancel_scope.cancel()
            return turns

        self.assertGreaterEqual(self.play(read, CHUNKED, b"1\r\nx\r\n"), 100)

    def test_other_tasks_run_between_small_frames_of_a_tunnel(self):
        """Guards against a tunnel of many small frames that stops the event loop."""

        async def task():
            near, far = pipe_pair()
            stream = TunnelStream(near, FrameReader(near), "host-2")
            connection = ClientConnection(stream)
            connection.conn.send(
                h11.Request(method="GET", target="/x", headers=[("host", "x")])
            )
            turns = 0

            async def count():
                nonlocal turns
                while True:
                    await trio.lowlevel.checkpoint()
                    turns += 1

            async with trio.open_nursery() as nursery:
                data = frame(OK + b"a: ") + frame(b"b") * 8192
                nursery.start_soon(far.send_all, data + frame(b"\r\n\r\n"))
                nursery.start_soon(count)
                await connection.read_head()
                nursery.cancel_scope.cancel()
            return turns

        self.assertGreaterEqual(self.run_virtual(task), 100)


class ClientsTest(EndlessCase):
    """Guards against responses without end to calls of other kinds."""

    def test_service(self):
        """Guards against a service's response that fills the memory."""

        async def call(client):
            service = HttpServiceClient(client, "")
            await service.call(
                OUT.address, ServiceCall("a", "s", "POST", "/x", {}, b"", False)
            )

        with self.assertRaises(TargetBrokenError):
            self.play(call, OK + b"\r\n", b"x")

    def test_engine_calls(self):
        """Guards against an engine's report that fills the memory."""

        async def call(client):
            await HttpEngineClient(client, "").report(OUT.address)

        for is_slow in (True, False):
            with self.subTest(slow=is_slow), self.assertRaises(TargetBrokenError):
                self.play(call, OK + b"\r\n", b"x", is_slow)

    def test_engine_stream(self):
        """Guards against a line without end of an engine's stream."""

        async def call(client):
            engine = HttpEngineClient(client, "")
            async with engine.generate(
                OUT.address, EngineCall("a", "m", "p", 1)
            ) as batches:
                async for _ in batches:
                    pass

        for repeated in (b"x" * 65536, b"1\r\nx\r\n"):
            start = OK + b"\r\n" if repeated[:1] == b"x" else CHUNKED
            with self.subTest(repeated[:5]), self.assertRaises(TargetBrokenError):
                self.play(call, start, repeated)

    def test_store(self):
        """Guards against a response of the store that fills the memory."""

        async def call(client):
            await StoreClient(client, OUT.address, 0.5).get("/x")

        for is_slow in (True, False):
            with self.subTest(slow=is_slow), self.assertRaises(ResponseLostError):
                self.play(call, OK + b"\r\n", b"x", is_slow)
