"""Tests of the HTTP server and client: limits, failing peers, connection pooling."""

import outcome
import trio
import trio.testing

from berylshift.connection.errors import (
    BadResponseError,
    ConnectFailedError,
    ConnectionBrokenError,
)
from berylshift.connection.http_client import HttpClient, Outgoing
from berylshift.connection.http_server import HttpServer, ServerLimits
from berylshift.tests.support import VirtualTestCase

TEXT = {"content-type": "text/plain"}


async def echo(req, responder) -> None:
    """Respond with the request body."""
    await responder.full(200, TEXT, req.body)


class Harness:
    """A server with in-memory connections."""

    def __init__(self, nursery, handler=echo, limits=None):
        self.server = HttpServer(handler, limits)
        self.nursery = nursery
        self.dial_count = 0
        self.refuse_dials = False

    async def dial(self, address: str):
        if self.refuse_dials:
            raise OSError("refused")
        self.dial_count += 1
        client_end, server_end = trio.testing.memory_stream_pair()
        self.nursery.start_soon(self.server.serve_stream, server_end)
        return client_end

    async def raw(self, data: bytes) -> bytes:
        """Send raw bytes; return everything received in response."""
        stream = await self.dial("")
        await stream.send_all(data)
        received = b""
        with trio.move_on_after(100):
            while data_part := await stream.receive_some():
                received += data_part
        return received


class ServerTest(VirtualTestCase):
    """Limits and lifetime of callers' connections."""

    def raw(self, data: bytes, **limits) -> bytes:
        async def task():
            async with trio.open_nursery() as nursery:
                harness = Harness(nursery, limits=ServerLimits(**limits))
                received = await harness.raw(data)
                nursery.cancel_scope.cancel()
            return received

        return self.run_virtual(task)

    def test_garbage_gets_400_and_not_run(self):
        received = self.raw(b"not http at all\r\n\r\n")
        self.assertTrue(received.startswith(b"HTTP/1.1 400"))
        self.assertIn(b"berylshift-outcome: not-run", received)

    def test_headers_over_the_limit_get_431(self):
        data = b"GET / HTTP/1.1\r\nHost: h\r\nA: " + b"x" * 5000
        self.assertTrue(self.raw(data, header_bytes=1000).startswith(b"HTTP/1.1 431"))

    def test_body_over_the_limit_gets_413(self):
        data = (
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n" + b"x" * 2000
        )
        self.assertTrue(self.raw(data, body_bytes=1000).startswith(b"HTTP/1.1 413"))

    def test_request_sent_too_slowly_gets_408(self):
        data = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc"
        received = self.raw(data, request_seconds=2.0)
        self.assertTrue(received.startswith(b"HTTP/1.1 408"))

    def test_connection_over_the_limit_gets_503_and_retry_after(self):
        received = self.raw(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n", connections=0)
        self.assertTrue(received.startswith(b"HTTP/1.1 503"))
        self.assertIn(b"retry-after: 1", received)

    def test_idle_connection_is_closed(self):
        self.assertEqual(self.raw(b"", idle_seconds=5.0), b"")

    def test_pipelined_requests_are_answered_in_order(self):
        head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n"
        received = self.raw(head + b"abc" + head + b"def", idle_seconds=5.0)
        self.assertEqual(received.count(b"HTTP/1.1 200"), 2)
        self.assertLess(received.index(b"abc"), received.index(b"def"))

    def test_handler_error_affects_only_its_own_request(self):
        async def handler(req, responder):
            if req.path == "/bad":
                raise ValueError("scripted")
            await echo(req, responder)

        async def task():
            async with trio.open_nursery() as nursery:
                harness = Harness(nursery, handler)
                with self.assertLogs("berylshift.connection", "ERROR"):
                    bad = await harness.raw(b"GET /bad HTTP/1.1\r\nHost: h\r\n\r\n")
                client = HttpClient(harness.dial)
                async with client.request(Outgoing("a", "GET", "/", {})) as resp:
                    status = resp.status
                nursery.cancel_scope.cancel()
            return bad, status

        bad, status = self.run_virtual(task)
        self.assertTrue(bad.startswith(b"HTTP/1.1 500"))
        self.assertEqual(status, 200)

    def test_caller_disconnect_cancels_its_handler(self):
        # The caller closes its connection during a long request. The handler must be
        # cancelled, so that no engine keeps working for it.
        ended = []

        async def handler(req, responder):
            try:
                await trio.sleep(1000)
            finally:
                ended.append(trio.current_time())

        async def task():
            async with trio.open_nursery() as nursery:
                harness = Harness(nursery, handler)
                stream = await harness.dial("")
                await stream.send_all(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
                await trio.sleep(5)
                await stream.aclose()
                await trio.sleep(1)
                nursery.cancel_scope.cancel()
            return ended

        self.assertEqual(len(self.run_virtual(task)), 1)
        self.assertLess(ended[0], 10)

    def test_unfinished_stream_has_no_end_marker(self):
        # A stream that ends early must not look complete to its caller.
        async def handler(req, responder):
            await responder.start(200, TEXT)
            await responder.send(b"half")

        async def task():
            async with trio.open_nursery() as nursery:
                received = await Harness(nursery, handler).raw(
                    b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
                )
                nursery.cancel_scope.cancel()
            return received

        received = self.run_virtual(task)
        self.assertIn(b"half", received)
        self.assertNotIn(b"0\r\n\r\n", received)


class ClientTest(VirtualTestCase):
    """Reuse of connections and errors of requests."""

    def with_client(self, handler, use):
        async def task():
            async with trio.open_nursery() as nursery:
                harness = Harness(nursery, handler)
                result = await outcome.acapture(use, HttpClient(harness.dial), harness)
                nursery.cancel_scope.cancel()
            return result

        return self.run_virtual(task).unwrap()

    def test_connection_is_reused_after_a_complete_response(self):
        async def use(client, harness):
            for _ in range(3):
                async with client.request(Outgoing("a", "GET", "/", {})) as resp:
                    await resp.read()
            return harness.dial_count

        self.assertEqual(self.with_client(echo, use), 1)

    def test_connection_is_not_reused_after_a_partly_read_response(self):
        # The rest of the first response would be read as the start of the second.
        async def handler(req, responder):
            await responder.start(200, TEXT)
            await responder.send(req.path.encode())
            await responder.send(b" rest")
            await responder.end()

        async def use(client, harness):
            async with client.request(Outgoing("a", "GET", "/one", {})) as resp:
                async for _ in resp.chunks():
                    break
            async with client.request(Outgoing("a", "GET", "/two", {})) as resp:
                return await resp.read(), harness.dial_count

        self.assertEqual(self.with_client(handler, use), (b"/two rest", 2))

    def test_request_on_a_stale_pooled_connection_is_retried(self):
        async def use(client, harness):
            async with client.request(Outgoing("a", "GET", "/", {})) as resp:
                await resp.read()
            await trio.sleep(1)
            harness.server.close_idle()
            await trio.sleep(1)
            async with client.request(Outgoing("a", "GET", "/", {})) as resp:
                return resp.status, harness.dial_count

        self.assertEqual(self.with_client(echo, use), (200, 2))

    def test_request_that_a_closed_peer_may_have_read_is_not_unreached(self):
        """Guards against "not reached" for a request whose first copy was read."""

        async def handler(req, responder):
            if req.path == "/crash":
                raise trio.BrokenResourceError

        async def use(client, harness):
            await client.connect("a")
            harness.refuse_dials = True
            async with client.request(Outgoing("a", "GET", "/crash", {})):
                pass

        with self.assertRaises(ConnectionBrokenError):
            self.with_client(handler, use)

    def test_non_repeatable_request_gets_a_new_connection(self):
        # The peer may close a pooled connection just as the request is sent, and it
        # would be unknown whether the request ran.
        async def use(client, harness):
            for _ in range(2):
                out = Outgoing("a", "POST", "/", {}, reuse=False)
                async with client.request(out) as resp:
                    await resp.read()
            return harness.dial_count

        self.assertEqual(self.with_client(echo, use), 2)

    def test_refused_connection_raises_connect_failed(self):
        async def dial(address):
            raise OSError("refused")

        async def task():
            async with HttpClient(dial).request(Outgoing("a", "GET", "/", {})):
                pass

        with self.assertRaises(ConnectFailedError):
            self.run_virtual(task)

    def test_truncated_response_raises_connection_broken(self):
        async def handler(req, responder):
            await responder.start(200, TEXT)
            await responder.send(b"half")

        async def use(client, harness):
            async with client.request(Outgoing("a", "GET", "/", {})) as resp:
                return await resp.read()

        with self.assertRaises(ConnectionBrokenError):
            self.with_client(handler, use)

    def test_malformed_response_raises_bad_response(self):
        async def task():
            client_end, server_end = trio.testing.memory_stream_pair()

            async def dial(address):
                return client_end

            async def respond():
                await server_end.receive_some()
                await server_end.send_all(b"nonsense\r\n\r\n")

            async with trio.open_nursery() as nursery:
                nursery.start_soon(respond)
                async with HttpClient(dial).request(Outgoing("a", "GET", "/", {})):
                    pass

        with self.assertRaises(BaseExceptionGroup) as caught:
            self.run_virtual(task)
        self.assertIsInstance(caught.exception.exceptions[0], BadResponseError)
