"""Tests of the HTTP server and client: limits, broken peers, the pool."""

import outcome
import trio
import trio.testing

from berylshift.connection.errors import (
    BadAnswerError,
    ConnectFailedError,
    ConnectionBrokenError,
)
from berylshift.connection.http_client import HttpClient, Outgoing
from berylshift.connection.http_server import HttpServer, ServerLimits
from berylshift.tests.support import VirtualTestCase

TEXT = {"content-type": "text/plain"}


async def echo(req, responder) -> None:
    """Answer with the body."""
    await responder.full(200, TEXT, req.body)


class Harness:
    """A server whose connections are in memory."""

    def __init__(self, nursery, handler=echo, limits=None):
        self.server = HttpServer(handler, limits)
        self.nursery = nursery
        self.dialled = 0

    async def dial(self, address: str):
        self.dialled += 1
        near, far = trio.testing.memory_stream_pair()
        self.nursery.start_soon(self.server.serve_stream, far)
        return near

    async def raw(self, data: bytes) -> bytes:
        """Send bytes as they are; return all that comes back."""
        stream = await self.dial("")
        await stream.send_all(data)
        got = b""
        with trio.move_on_after(100):
            while part := await stream.receive_some():
                got += part
        return got


class ServerTest(VirtualTestCase):
    """What a caller's connection may do."""

    def raw(self, data: bytes, **limits) -> bytes:
        async def task():
            async with trio.open_nursery() as nursery:
                harness = Harness(nursery, limits=ServerLimits(**limits))
                got = await harness.raw(data)
                nursery.cancel_scope.cancel()
            return got

        return self.run_virtual(task)

    def test_garbage_gets_400_and_not_run(self):
        got = self.raw(b"not http at all\r\n\r\n")
        self.assertTrue(got.startswith(b"HTTP/1.1 400"))
        self.assertIn(b"berylshift-outcome: not-run", got)

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
        got = self.raw(data, request_seconds=2.0)
        self.assertTrue(got.startswith(b"HTTP/1.1 408"))

    def test_connection_over_the_limit_gets_503_and_when_to_come_back(self):
        got = self.raw(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n", connections=0)
        self.assertTrue(got.startswith(b"HTTP/1.1 503"))
        self.assertIn(b"retry-after: 1", got)

    def test_idle_connection_is_closed(self):
        self.assertEqual(self.raw(b"", idle_seconds=5.0), b"")

    def test_two_requests_sent_at_once_are_answered_in_turn(self):
        one = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n"
        got = self.raw(one + b"abc" + one + b"def", idle_seconds=5.0)
        self.assertEqual(got.count(b"HTTP/1.1 200"), 2)
        self.assertLess(got.index(b"abc"), got.index(b"def"))

    def test_fault_in_a_handler_costs_its_own_request_only(self):
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

    def test_caller_that_leaves_cancels_its_handler(self):
        # The caller closes its connection in the middle of a long answer. The
        # handler must end then, not go on working an engine for nobody.
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

    def test_unended_stream_has_no_end_marker(self):
        # A stream that can't be finished must never look whole to its caller.
        async def handler(req, responder):
            await responder.start(200, TEXT)
            await responder.send(b"half")

        async def task():
            async with trio.open_nursery() as nursery:
                got = await Harness(nursery, handler).raw(
                    b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
                )
                nursery.cancel_scope.cancel()
            return got

        got = self.run_virtual(task)
        self.assertIn(b"half", got)
        self.assertNotIn(b"0\r\n\r\n", got)


class ClientTest(VirtualTestCase):
    """What becomes of requests and connections."""

    def with_client(self, handler, use):
        async def task():
            async with trio.open_nursery() as nursery:
                harness = Harness(nursery, handler)
                result = await outcome.acapture(use, HttpClient(harness.dial), harness)
                nursery.cancel_scope.cancel()
            return result

        return self.run_virtual(task).unwrap()

    def test_connection_is_used_again_after_a_whole_answer(self):
        async def use(client, harness):
            for _ in range(3):
                async with client.request(Outgoing("a", "GET", "/", {})) as resp:
                    await resp.read()
            return harness.dialled

        self.assertEqual(self.with_client(echo, use), 1)

    def test_connection_is_not_used_again_after_half_an_answer(self):
        # The rest of the first answer would come as the start of the second.
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
                return await resp.read(), harness.dialled

        self.assertEqual(self.with_client(handler, use), (b"/two rest", 2))

    def test_request_on_a_stale_pooled_connection_is_sent_again(self):
        async def use(client, harness):
            async with client.request(Outgoing("a", "GET", "/", {})) as resp:
                await resp.read()
            await trio.sleep(1)
            harness.server.close_idle()
            await trio.sleep(1)
            async with client.request(Outgoing("a", "GET", "/", {})) as resp:
                return resp.status, harness.dialled

        self.assertEqual(self.with_client(echo, use), (200, 2))

    def test_request_that_may_not_be_repeated_gets_a_connection_of_its_own(self):
        # On a pooled connection the peer may close just as the request goes out,
        # and nobody could say whether it ran.
        async def use(client, harness):
            for _ in range(2):
                out = Outgoing("a", "POST", "/", {}, reuse=False)
                async with client.request(out) as resp:
                    await resp.read()
            return harness.dialled

        self.assertEqual(self.with_client(echo, use), 2)

    def test_refused_connection_says_that_nothing_was_sent(self):
        async def dial(address):
            raise OSError("refused")

        async def task():
            async with HttpClient(dial).request(Outgoing("a", "GET", "/", {})):
                pass

        with self.assertRaises(ConnectFailedError):
            self.run_virtual(task)

    def test_answer_that_breaks_off_is_no_whole_answer(self):
        async def handler(req, responder):
            await responder.start(200, TEXT)
            await responder.send(b"half")

        async def use(client, harness):
            async with client.request(Outgoing("a", "GET", "/", {})) as resp:
                return await resp.read()

        with self.assertRaises(ConnectionBrokenError):
            self.with_client(handler, use)

    def test_answer_in_nonsense_is_told_apart(self):
        async def task():
            near, far = trio.testing.memory_stream_pair()

            async def dial(address):
                return near

            async def answer():
                await far.receive_some()
                await far.send_all(b"nonsense\r\n\r\n")

            async with trio.open_nursery() as nursery:
                nursery.start_soon(answer)
                async with HttpClient(dial).request(Outgoing("a", "GET", "/", {})):
                    pass

        with self.assertRaises(BaseExceptionGroup) as caught:
            self.run_virtual(task)
        self.assertIsInstance(caught.exception.exceptions[0], BadAnswerError)
