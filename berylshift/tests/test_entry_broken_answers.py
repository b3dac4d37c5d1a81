"""Tests of broken answers of replicas, from a real socket to the caller."""

import unittest

from berylshift.tests.entry_world import Reply, prompt_headers, stream_body
from berylshift.tests.tcp_world import (
    LONG_BYTES,
    OK,
    WHOLE,
    Order,
    Peer,
    answer,
    field,
    reset_without_length,
    run_tcp,
)

STATUS_FAILED = 502
SENDER_ORDERS = (Order.SENDER_FIRST, Order.SENDER_LATE)
EVENTS = stream_body(1, 3)
LENGTH = b"content-length: %d" % len(EVENTS)
HANDLE = b'{"kv_handle":"h1","tokens":9000,"version":1}'
PROMPT = prompt_headers(3, 9000, 0)


async def reset_stream(peer: Peer) -> None:
    """Send whole events without length, and reset the connection."""
    await peer.read_head()
    await peer.send(OK, body=EVENTS)
    await peer.reset_after_pause()


async def answer_early(peer: Peer, *fields: bytes, body: bytes = WHOLE) -> None:
    """Answer before the request was read, and read the rest."""
    await peer.read_head()
    await peer.send(OK, *fields, body=body)
    await peer.end()


def upload(path: str, headers=()):
    """Return a task that sends a long request and returns the reply."""

    async def task(world) -> Reply:
        return await world.ask(path, body=b"x" * LONG_BYTES, headers=headers)

    return task


class ResetUploadTest(unittest.TestCase):
    """Replicas that reset their connection while a request is sent to them."""

    def test_request_that_may_run_once(self):
        """Guards against a part of an answer that its caller gets as a whole one."""
        for order in SENDER_ORDERS:
            with self.subTest(order=order):
                reply = run_tcp(upload("/book/x"), order, s1=reset_without_length)
                self.assertEqual(reply.status, STATUS_FAILED)

    def test_repeatable_request(self):
        """Guards against a part of an answer that keeps a request from its retry."""
        for order in SENDER_ORDERS:
            with self.subTest(order=order):
                asked = []

                async def reset_once(peer: Peer, asked=asked) -> None:
                    asked.append(peer)
                    broken = len(asked) == 1
                    await (reset_without_length(peer) if broken else answer(peer))

                scripts = {"s1": reset_once, "s2": reset_once}
                reply = run_tcp(upload("/look/x"), order, **scripts)
                self.assertEqual(
                    (reply.status, reply.body, reply.whole), (200, WHOLE, True)
                )

    def test_stream(self):
        """Guards against a stream that breaks off between events and looks whole."""
        for order in SENDER_ORDERS:
            with self.subTest(order=order):
                reply = run_tcp(upload("/note/x", PROMPT), order, d1=reset_stream)
                self.assertEqual((reply.body, reply.whole), (EVENTS, False))

    def test_prefill(self):
        """Guards against a handle that is used although its answer broke off."""
        sources = []

        async def reset_handle(peer: Peer) -> None:
            await peer.read_head()
            await peer.send(OK, body=HANDLE)
            await peer.reset_after_pause()

        async def decode(peer: Peer) -> None:
            sources.append(b"kv-source" in (await peer.read_head()).lower())
            await peer.read_body()
            await peer.send(OK, LENGTH, body=EVENTS)

        scripts = {"p1": reset_handle, "d1": decode}
        for order in SENDER_ORDERS:
            with self.subTest(order=order):
                run_tcp(upload("/note/x", PROMPT), order, **scripts)
                self.assertNotIn(True, sources)

    def test_stream_that_may_be_resumed(self):
        """Guards against a stream that is not resumed after its replica's reset."""
        asked = []

        async def reset_first(peer: Peer) -> None:
            asked.append(field(await peer.read_head(), b"last-event-id"))
            if len(asked) == 1:
                await peer.send(OK, body=stream_body(1, 2))
                await peer.reset_after_pause()
                return
            await peer.read_body()
            rest = stream_body(3, 3)
            await peer.send(OK, b"content-length: %d" % len(rest), body=rest)

        scripts = {"d1": reset_first, "d2": reset_first}
        reply = run_tcp(upload("/brief/x", PROMPT), Order.SENDER_FIRST, **scripts)
        self.assertEqual((reply.body, reply.whole), (EVENTS, True))
        self.assertEqual(asked, [None, b"2"])


class BrokenHeadTest(unittest.TestCase):
    """Replicas that send a head that is no HTTP."""

    def check_refused(self, *head: bytes) -> None:
        """Check that neither an answer nor a stream with this head is taken."""

        async def broken(peer: Peer) -> None:
            await peer.read_head()
            await peer.read_body()
            await peer.send(*head, body=EVENTS)
            await peer.end()

        async def task(world) -> list[int]:
            replies = [
                await world.ask("/book/x"),
                await world.ask("/look/x", "r2"),
                await world.ask("/note/x", "r3", headers=PROMPT),
            ]
            return [reply.status for reply in replies]

        with self.subTest(head=head):
            statuses = run_tcp(task, s1=broken, d1=broken)
            self.assertEqual(statuses, [STATUS_FAILED] * 3)

    def test_status_that_no_answer_has(self):
        """Guards against a status 000 that reaches the caller."""
        for status in (b"000", b"099"):
            self.check_refused(b"HTTP/1.1 " + status + b" X")
            self.check_refused(b"HTTP/1.1 " + status + b" X", LENGTH)

    def test_name_with_a_blank_or_a_control_byte(self):
        """Guards against a signature, or a body, that a malformed line changes."""
        for name in (b" a", b"\ta", b"a b", b"a ", b"a\x01", b"\x7fa"):
            self.check_refused(OK, name + b": 1", LENGTH)
        for byte in b" \t\x01\n":
            self.check_refused(OK, bytes([byte]) + b"content-length: 3")

    def test_repeatable_request(self):
        """Guards against a malformed head that keeps a request from its retry."""
        asked = []

        async def broken_first(peer: Peer) -> None:
            await peer.read_head()
            asked.append(peer)
            if len(asked) == 1:
                await peer.send(OK, b" a: 1", LENGTH, body=EVENTS)
            else:
                await peer.send(OK, LENGTH, body=EVENTS)
            await peer.end()

        async def task(world) -> Reply:
            return await world.ask("/look/x")

        reply = run_tcp(task, s1=broken_first, s2=broken_first)
        self.assertEqual((reply.status, reply.body), (200, EVENTS))
        self.assertEqual(len(asked), 2)

    def test_prefill(self):
        """Guards against a handle out of an answer with a malformed head."""
        sources = []

        async def prefill(peer: Peer) -> None:
            await peer.read_head()
            await peer.send(OK, b" a: 1", body=HANDLE)
            await peer.end()

        async def decode(peer: Peer) -> None:
            sources.append(b"kv-source" in (await peer.read_head()).lower())
            await peer.send(OK, LENGTH, body=EVENTS)

        async def task(world) -> Reply:
            return await world.ask("/note/x", headers=PROMPT)

        run_tcp(task, p1=prefill, d1=decode)
        self.assertNotIn(True, sources)


class EarlyAnswerTest(unittest.TestCase):
    """Whole answers that come while the request is still being sent."""

    def test_whole_answers_arrive(self):
        """Guards against whole early answers that are taken for broken ones."""
        chunks = b"%x\r\n%s\r\n0\r\n\r\n" % (len(WHOLE), WHOLE)
        cases = {
            "length": ((b"content-length: %d" % len(WHOLE),), WHOLE),
            "chunks": ((b"transfer-encoding: chunked",), chunks),
            "orderly end": ((), WHOLE),
        }
        for name, (fields, body) in cases.items():
            with self.subTest(name):

                async def early(peer: Peer, fields=fields, body=body) -> None:
                    await answer_early(peer, *fields, body=body)

                reply = run_tcp(upload("/book/x"), s1=early)
                self.assertEqual(
                    (reply.status, reply.body, reply.whole), (200, WHOLE, True)
                )


if __name__ == "__main__":
    unittest.main()
