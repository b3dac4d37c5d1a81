"""Tests of malformed heads of responses, over real sockets."""

import unittest
from collections.abc import Awaitable, Callable

import trio

from berylshift.connection.errors import ConnectionLayerError
from berylshift.connection.http_client import HttpClient, Outgoing
from berylshift.connection.target_client import TargetClient
from berylshift.connection.target_request import TargetRequest
from berylshift.ids import InstanceId
from berylshift.tests.tcp_world import (
    LIMIT_SECONDS,
    OK,
    WHOLE,
    Peer,
    answer,
    connect,
    listen,
)

LENGTH = b"content-length: %d" % len(WHOLE)
CHUNKED = b"transfer-encoding: chunked"
CHUNKS = b"%x\r\n%s\r\n" % (len(WHOLE), WHOLE)
TOKEN = b"!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
# Bytes that no name of a field holds; a colon ends the name.
FORBIDDEN = bytes(byte for byte in range(256) if byte not in TOKEN + b":")
# Statuses beyond those that a response can have.
BAD_STATUSES = (b"000", b"001", b"099", b"00", b"0", b"-01", b"0200", b"2 0")

Ask = Callable[[str], Awaitable[bytes]]


def lines_with(byte: bytes) -> tuple[bytes, bytes, bytes]:
    """Return fields whose names begin with a byte, hold it, and end with it."""
    names = (b"%scontent-length", b"content%s-length", b"content-length%s")
    return tuple(name % byte + b": 3" for name in names)


class HeadTestCase(unittest.TestCase):
    """Test case with responses that are read by each of the clients."""

    def replies(self, *messages: bytes) -> list[list[bytes | None]]:
        """Return the bodies that each client takes from ``messages``.

        Each message is the answer to a request on a connection of its own, which ends
        in order after it; ``None``: the client refused it.
        """

        async def main() -> list[list[bytes | None]]:
            left: list[bytes] = []

            async def send_next(peer: Peer) -> None:
                await peer.read_head()
                await peer.stream.send_all(left.pop(0))
                await peer.end()

            async with trio.open_nursery() as nursery:
                address = await listen(nursery, send_next)
                found = []
                for new_client in (target_client, http_client):
                    left[:] = messages
                    bodies = [await body_of(new_client(), address) for _ in messages]
                    found.append(bodies)
                nursery.cancel_scope.cancel()
            return found

        return trio.run(main)


class BrokenHeadTest(HeadTestCase):
    """Heads that are no HTTP."""

    def check_refused(self, *messages: bytes) -> None:
        """Check that no client takes one of ``messages`` for a response."""
        for bodies in self.replies(*messages):
            taken = [
                message
                for message, body in zip(messages, bodies, strict=True)
                if body is not None
            ]
            self.assertEqual(taken, [])

    def test_statuses_that_no_response_has(self):
        """Guards against a status that is no status and reaches a caller."""
        self.check_refused(
            *(
                b"HTTP/1.1 %s X\r\n%s\r\n\r\n%s" % (status, LENGTH, WHOLE)
                for status in BAD_STATUSES
            ),
            *(b"HTTP/1.1 %s X\r\n\r\n%s" % (status, WHOLE) for status in BAD_STATUSES),
        )

    def test_bad_status_before_a_response(self):
        """Guards against a status 000 that counts as an informational response."""
        self.check_refused(
            *(
                b"HTTP/1.1 %s X\r\n\r\n" % status + message(LENGTH)
                for status in BAD_STATUSES
            )
        )

    def test_names_with_bytes_that_no_name_holds(self):
        """Guards against a blank or control byte in a name, wherever it is.

        Without a length besides, the field decides where the body ends.
        """
        for byte in FORBIDDEN:
            for others in ((b"x: 1",), (LENGTH, b"x: 1")):
                with self.subTest(byte=byte, others=others):
                    lines = lines_with(bytes([byte]))
                    self.check_refused(*(message(*others, line) for line in lines))

    def test_bad_name_in_an_informational_response(self):
        """Guards against a malformed head before the one that counts."""
        for byte in b" \t\x00\x01\n\x0b\r\x7f":
            with self.subTest(byte=byte):
                self.check_refused(
                    *(
                        b"HTTP/1.1 103 X\r\nx: 1\r\n%s\r\n\r\n" % line + message(LENGTH)
                        for line in lines_with(bytes([byte]))
                    )
                )

    def test_bad_name_in_a_trailer(self):
        """Guards against a malformed end of a body that counts as its end."""
        for byte in b" \t\x00\x01\x0b\r\x7f":
            with self.subTest(byte=byte):
                self.check_refused(
                    *(
                        message(CHUNKED, body=CHUNKS)
                        + b"0\r\nx: 1\r\n%s\r\n\r\n" % line
                        for line in lines_with(bytes([byte]))
                    )
                )

    def test_folded_lines_split_between_two_reads(self):
        """Guards against a line whose blank arrives apart from what precedes it."""

        async def main(head: bytes, tail: bytes) -> list[bytes | None]:
            async def send_parts(peer: Peer) -> None:
                await peer.read_head()
                await peer.stream.send_all(head)
                await trio.sleep(0.02)
                await peer.stream.send_all(tail)
                await peer.end()

            async with trio.open_nursery() as nursery:
                address = await listen(nursery, send_parts)
                asks = (target_client(), http_client())
                found = [await body_of(ask, address) for ask in asks]
                nursery.cancel_scope.cancel()
            return found

        whole = message(LENGTH, b" folded: 1")
        trailer = message(CHUNKED, body=CHUNKS) + b"0\r\nx: 1\r\n y: 1\r\n\r\n"
        for data, mark in ((whole, b" folded"), (trailer, b" y: 1")):
            at = data.index(mark)
            for cut in (at - 1, at, at + 1):
                with self.subTest(mark=mark, cut=cut - at):
                    found = trio.run(main, data[:cut], data[cut:])
                    self.assertEqual(found, [None, None])

    def test_second_response_on_a_connection(self):
        """Guards against a head that is checked only on new connections."""

        async def main(bad: bytes) -> list[bytes | None]:
            async def serve(peer: Peer) -> None:
                await peer.read_head()
                await peer.read_body()
                await peer.send(OK, LENGTH, body=WHOLE)
                await peer.read_head()
                await peer.stream.send_all(bad)
                await peer.end()

            async with trio.open_nursery() as nursery:
                address = await listen(nursery, serve)
                found = []
                for ask in (target_client(), http_client()):
                    found += [await body_of(ask, address) for _ in range(2)]
                nursery.cancel_scope.cancel()
            return found

        for line in (b" folded: 1", b"a b: 1", b"a\x01: 1"):
            with self.subTest(line=line):
                found = trio.run(main, message(LENGTH, line))
                self.assertEqual(found, [WHOLE, None, WHOLE, None])
        found = trio.run(main, b"HTTP/1.1 000 X\r\n" + message(LENGTH)[17:])
        self.assertEqual(found, [WHOLE, None, WHOLE, None])

    def test_connection_with_a_bad_trailer_is_not_used_again(self):
        """Guards against a connection in an unknown state in the pool."""
        served = []

        async def serve(peer: Peer) -> None:
            served.append(peer)
            await peer.read_head()
            bad = message(CHUNKED, body=CHUNKS) + b"0\r\nx: 1\r\n y: 1\r\n\r\n"
            await peer.stream.send_all(bad)
            await answer(peer)

        async def main() -> list[bytes | None]:
            async with trio.open_nursery() as nursery:
                address = await listen(nursery, serve)
                ask = http_client()
                found = [await body_of(ask, address) for _ in range(2)]
                nursery.cancel_scope.cancel()
            return found

        self.assertEqual(trio.run(main), [None, None])
        self.assertEqual(len(served), 2)


class WholeHeadTest(HeadTestCase):
    """Unusual heads of whole responses."""

    def test_unusual_heads_arrive(self):
        """Guards against whole responses that are taken for malformed ones."""
        messages = (
            message(LENGTH),
            message(LENGTH, b"x:1", b"y:", b"z:  \t 1 \t"),
            message(LENGTH).replace(b"\r\n", b"\n"),
            message(CHUNKED, body=CHUNKS) + b"0\r\nx: 1\r\n\r\n",
            b"HTTP/1.1 103 X\r\nx: 1\r\n\r\n" + message(LENGTH),
            b"HTTP/1.1 200\r\n%s\r\n\r\n%s" % (LENGTH, WHOLE),
            message(),
        )
        for bodies in self.replies(*messages):
            self.assertEqual(bodies, [WHOLE] * len(messages))

    def test_bodies_that_look_like_folded_lines(self):
        """Guards against a check of heads that looks at bodies, too."""
        text = b"a: 1\r\n b: 2\n\tc: 3\r\n\r\n d" * 9000
        size = b"%d" % len(text)
        chunk = b"%x\r\n%s\r\n" % (len(text), text)
        messages = (
            message(b"content-length: " + size, body=text),
            message(body=text),
            message(CHUNKED, body=2 * chunk) + b"0\r\n\r\n",
            message(CHUNKED, body=chunk) + b"0\r\nx: 1\r\n\r\n",
        )
        for bodies in self.replies(*messages):
            self.assertEqual(bodies, [text, text, 2 * text, text])


def message(*lines: bytes, body: bytes = WHOLE) -> bytes:
    """Return a response with status 200, ``lines`` in its head and ``body``."""
    return b"\r\n".join([OK, *lines]) + b"\r\n\r\n" + body


def target_client() -> Ask:
    """Return a function that asks a replica."""
    client = TargetClient(1.0, connect)

    async def ask(address: str) -> bytes:
        instance, headers = InstanceId("i"), [(b"host", b"x")]
        out = TargetRequest(instance, address, b"GET", b"/", headers)
        async with client.exchange(out) as found:
            return await found.read(1 << 20)

    return ask


def http_client() -> Ask:
    """Return a function that asks an engine, a plain service or the store."""
    client = HttpClient(connect)

    async def ask(address: str) -> bytes:
        async with client.request(Outgoing(address, "GET", "/", {})) as found:
            return await found.read()

    return ask


async def body_of(ask: Ask, address: str) -> bytes | None:
    """Return the body of a response; ``None`` if it is refused."""
    try:
        with trio.fail_after(LIMIT_SECONDS):
            return await ask(address)
    except ConnectionLayerError:
        return None


if __name__ == "__main__":
    unittest.main()
