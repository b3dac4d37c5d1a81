"""End-to-end tests of requests that no well-behaved caller sends."""

import unittest

import trio

from berylshift.connection.errors import BadResponseError
from berylshift.connection.target_client import TargetClient
from berylshift.connection.target_request import TargetRequest
from berylshift.ids import InstanceId
from berylshift.stand_ins.pipes import pipe_pair
from berylshift.tests.entry_world import HOST, run_entry
from berylshift.tests.support import run_virtual
from berylshift.version.routes import CallerLimits

PROMPT_SECONDS = 0.1


def head(start: str, *lines: str) -> bytes:
    """Return the head of a request with an id."""
    fixed = (f"host: {HOST}", "berylshift-attempt-id: u1")
    return "\r\n".join((start, *fixed, *lines, "", "")).encode("latin-1")


def ask_raw(data: bytes, path: str = "/book/x"):
    """Send bytes; return the status, whether it came at once, and the next status.

    The last is that of a usual request of another caller. Also return how many requests
    ran before it.
    """

    async def task(world):
        link = world.connect()
        start = trio.current_time()
        await link.stream.send_all(data)
        received = await link.stream.receive_some(65536)
        seconds = trio.current_time() - start
        runs = sum(len(rep.runs) for rep in world.replicas.values())
        usual = await world.ask(path, "r1")
        return int(received.split(b" ")[1]), seconds, runs, usual.status

    return run_entry(task, plain=1)


class ConnectTest(unittest.TestCase):
    """Guards against one request that keeps a host busy for ever."""

    def test_connect_is_refused_at_once(self):
        for path in ("/book/x", "/look/x", "/note/x"):
            status, seconds, runs, usual = ask_raw(head(f"CONNECT {path} HTTP/1.1"))
            self.assertEqual((status, runs, usual), (501, 0, 200))
            self.assertLess(seconds, PROMPT_SECONDS)

    def test_protocol_switch_by_a_replica_is_an_error(self):
        """Guards against a parser that is asked for its next event for ever."""

        async def main():
            near, far = pipe_pair()

            async def dial(address):
                return near

            out = TargetRequest(
                InstanceId("i"), "10.0.0.1:80", b"CONNECT", b"/x", [(b"host", b"x")]
            )
            await far.send_all(b"HTTP/1.1 200 OK\r\n\r\nabc")
            with self.assertRaises(BadResponseError):
                async with TargetClient(1.0, dial).exchange(out) as answer:
                    await answer.read(100)

        run_virtual(main)


class MalformedAfterHeadTest(unittest.TestCase):
    """A malformed request on a connection whose last one was a HEAD request."""

    def test_refusal_has_its_body(self):
        """Guards against a connection that closes without its refusal."""

        async def task(world):
            link = world.connect()
            await link.stream.send_all(head("HEAD /none/x HTTP/1.1"))
            first = await link.stream.receive_some(65536)
            await link.stream.send_all(b"no request\r\n\r\n")
            second = b""
            while data := await link.stream.receive_some(65536):
                second += data
            return first[:12], second

        first, second = run_entry(task, plain=1)
        self.assertEqual(first, b"HTTP/1.1 404")
        self.assertEqual(second[:12], b"HTTP/1.1 400")
        self.assertTrue(second.endswith(b"}"))


class NumberTest(unittest.TestCase):
    """Guards against numbers that make the handler of a request fail."""

    def test_time_left_that_is_no_time(self):
        for digits in (400, 5000):
            lines = (f"berylshift-deadline-ms: {'9' * digits}", "content-length: 0")
            status, seconds, runs, usual = ask_raw(
                head("POST /book/x HTTP/1.1", *lines)
            )
            self.assertEqual((status, runs, usual), (400, 0, 200))
            self.assertLess(seconds, PROMPT_SECONDS)

    def test_prompt_that_no_engine_can_read(self):
        """The announcement only guides placement: without it the request runs."""
        for count in ("9" * 400, "9" * 5000, "-5", "1_000", "1e3"):
            lines = (
                f"berylshift-token-count: {count},80",
                "berylshift-prefix-hash: 5c1e07a2:800",
                "content-length: 0",
            )
            status, _, runs, usual = ask_raw(head("POST /book/x HTTP/1.1", *lines))
            self.assertEqual((status, runs, usual), (200, 1, 200), count[:8])

    def test_declared_length_that_is_no_length(self):
        for digits in (21, 400, 5000):
            line = f"content-length: {'9' * digits}"
            status, seconds, runs, usual = ask_raw(head("POST /book/x HTTP/1.1", line))
            self.assertIn(status, (400, 413))
            self.assertEqual((runs, usual), (0, 200))
            self.assertLess(seconds, PROMPT_SECONDS)


class HeadSizeTest(unittest.TestCase):
    """Guards against heads over the limit that arrive in one piece."""

    def head_of(self, size: int) -> bytes:
        """Return a head of exactly ``size`` bytes."""
        start = "POST /book/x HTTP/1.1"
        empty = len(head(start, "content-length: 0", "x-more: "))
        filling = "y" * (size - empty)
        return head(start, "content-length: 0", f"x-more: {filling}")

    def test_head_at_the_limit_is_accepted_and_one_over_it_is_not(self):
        limit = CallerLimits().header_bytes
        self.assertEqual(ask_raw(self.head_of(limit))[0], 200)
        status, seconds, runs, usual = ask_raw(self.head_of(limit + 1))
        self.assertEqual((status, runs, usual), (431, 0, 200))
        self.assertLess(seconds, PROMPT_SECONDS)


if __name__ == "__main__":
    unittest.main()
