"""The limits of the configuration on callers, just under and just over each."""

import unittest

import trio

from berylshift.connection.server_limits import LINGER_SECONDS
from berylshift.entry_application import IDLE_SLACK_SECONDS
from berylshift.tests.entry_world import HOST, routes
from berylshift.tests.socket_world import run_socket_world, start_process
from berylshift.version.routes import CallerLimits

LIMITS = CallerLimits(
    header_bytes=2000, body_bytes=1000, header_seconds=2.0, idle_seconds=5.0
)
# Longer than what is read before a request is forwarded.
LONG_BODY_BYTES = 150_000
PROMPT_SECONDS = 0.1
STEP_SECONDS = 0.05


def head(*lines: bytes, size: int = 0, fill: bytes = b"y") -> bytes:
    """Return a head, of ``size`` bytes if that is given."""
    fixed = (b"POST /book/x HTTP/1.1", b"host: " + HOST.encode())
    data = b"\r\n".join((*fixed, b"berylshift-attempt-id: r1", *lines, b"x-more: "))
    return data + fill * (size - len(data) - 5) + b"z\r\n\r\n"


def chunk(size: int) -> bytes:
    """Return a chunk of a body."""
    return b"%x\r\n%s\r\n" % (size, b"x" * size)


def ask(*parts: bytes | float, limits: CallerLimits = LIMITS):
    """Send parts and wait between them; return status, seconds, runs and whether whole.

    The time runs from the last part. The number of runs is that at all replicas.
    """

    async def task(world):
        process = await start_process(world)
        table = routes(2)
        table.limits = limits
        world.directory.put_routes(table)
        await trio.sleep(0.1)
        caller = process.connect()
        replies = []
        async with trio.open_nursery() as nursery:

            async def read():
                replies.append(await caller.read())
                replies.append(trio.current_time())

            nursery.start_soon(read)
            start = trio.current_time()
            for part in parts:
                if isinstance(part, float):
                    await trio.sleep(part)
                    continue
                start = trio.current_time()
                try:
                    await caller.stream.send_all(part)
                except trio.BrokenResourceError:
                    break
        reply, ended = replies
        await trio.sleep(1)
        runs = sum(len(rep.runs) for rep in world.replicas.values())
        return reply.status, ended - start, runs, reply.whole

    return run_socket_world(task)


class CallerLimitsCase(unittest.TestCase):
    """Compares what is within a limit and what is over it."""

    def check_within(self, *parts: bytes | float, **more) -> None:
        status, _, runs, is_whole = ask(*parts, **more)
        self.assertEqual((status, runs, is_whole), (200, 1, True))

    def check_over(self, expected: int, *parts: bytes | float, **more) -> None:
        status, seconds, runs, is_whole = ask(*parts, **more)
        self.assertEqual((status, runs, is_whole), (expected, 0, True))
        self.assertLess(seconds, PROMPT_SECONDS)


class HeadSizeTest(CallerLimitsCase):
    """Guards against heads over the limit that are forwarded, in one piece or two."""

    def heads(self, size: int) -> list[tuple[bytes | float, ...]]:
        """Return heads of a size: in one piece, in two, and with odd spaces."""
        whole = head(b"content-length: 0", size=size)
        padded = head(b"content-length: 0", size=size, fill=b" ")
        return [
            (whole,),
            (whole[:100], STEP_SECONDS, whole[100:]),
            (whole[:-1], STEP_SECONDS, whole[-1:]),
            (padded,),
        ]

    def test_heads_at_the_limit(self):
        for parts in self.heads(LIMITS.header_bytes):
            self.check_within(*parts)

    def test_heads_over_the_limit(self):
        for parts in self.heads(LIMITS.header_bytes + 1):
            self.check_over(431, *parts)


class EndlessTest(CallerLimitsCase):
    """Guards against lines without end, which are held until their time is over."""

    def test_head(self):
        self.check_within(head(size=LIMITS.header_bytes))
        for start in (b"x", b"POST /book/x HTTP/1.1\r\nx: "):
            self.check_over(431, start.ljust(LIMITS.header_bytes + 1, b"y"))

    def test_chunk_line_and_trailers(self):
        start = head(b"transfer-encoding: chunked")
        endless = b"5;".ljust(LIMITS.header_bytes + 1, b"y")
        self.check_over(431, start, endless)
        self.check_over(431, start, b"0\r\n" + endless)


class ChangedLimitTest(unittest.TestCase):
    """Guards against open connections that keep a limit of an earlier version."""

    def ask_after_change(self, limit: int, size: int) -> int:
        """Return the status of a head in two pieces on a connection from before."""

        async def task(world):
            process = await start_process(world)
            caller = process.connect()
            await caller.ask("/book/x", "r0")
            table = routes(2)
            table.limits = CallerLimits(header_bytes=limit)
            world.directory.put_routes(table)
            await trio.sleep(0.1)
            data = head(b"content-length: 0", size=size)
            await caller.stream.send_all(data[:-1])
            await trio.sleep(STEP_SECONDS)
            await caller.stream.send_all(data[-1:])
            return (await caller.read()).status

        return run_socket_world(task)

    def test_raised_limit(self):
        limit = 2 * CallerLimits().header_bytes
        self.assertEqual(self.ask_after_change(limit, limit), 200)
        self.assertEqual(self.ask_after_change(limit, limit + 1), 431)

    def test_lowered_limit(self):
        self.assertEqual(self.ask_after_change(1000, 1000), 200)
        self.assertEqual(self.ask_after_change(1000, 1001), 431)


class BodySizeTest(CallerLimitsCase):
    """Guards against bodies over the limit that run, or are read to their end."""

    def test_declared_bodies(self):
        for limit in (1000, LONG_BODY_BYTES):
            limits = CallerLimits(body_bytes=limit)
            for size in (limit - 1, limit):
                start = head(b"content-length: %d" % size)
                self.check_within(start + b"x" * size, limits=limits)
            for rest in (b"", b"x" * (limit + 1)):
                start = head(b"content-length: %d" % (limit + 1))
                self.check_over(413, start + rest, limits=limits)

    def test_chunked_bodies(self):
        start = head(b"transfer-encoding: chunked")
        for limit in (1000, LONG_BODY_BYTES):
            limits = CallerLimits(body_bytes=limit)
            parts = (chunk(limit - 100), STEP_SECONDS, chunk(100), b"0\r\n\r\n")
            self.check_within(start, *parts, limits=limits)
            self.check_over(413, start + chunk(limit + 1), limits=limits)
            parts = (chunk(limit - 100), STEP_SECONDS, chunk(101))
            self.check_over(413, start, *parts, limits=limits)

    def test_chunks_that_declare_too_much(self):
        """Guards against a wait for a body that can't be accepted."""
        start = head(b"transfer-encoding: chunked")
        for rest in (
            b"3e9\r\n",
            b"3e9\r\nx",
            chunk(900) + b"65\r\n",
            b"f" * 20 + b"\r\n",
        ):
            self.check_over(413, start + rest)


class TimeTest(CallerLimitsCase):
    """Guards against callers that keep a connection open beyond its limits."""

    def test_head_that_takes_just_less_than_the_limit(self):
        data = head(b"content-length: 1")
        wait = LIMITS.header_seconds - STEP_SECONDS
        self.check_within(data[:1], wait, data[1:] + b"x")
        self.check_within(data[:-1], wait, data[-1:] + b"x")

    def test_head_that_takes_more_than_the_limit(self):
        data = head(b"content-length: 0")
        wait = LIMITS.header_seconds
        for size in (1, len(data) - 1):
            self.check_over(408, data[:size], wait, b"")
        slow = [part for n in range(60) for part in (data[n : n + 1], STEP_SECONDS)]
        status, _, runs, is_whole = ask(*slow)
        self.assertEqual((status, runs, is_whole), (408, 0, True))

    def test_body_may_take_longer_than_the_head(self):
        data = head(b"content-length: 1")
        self.check_within(data, LIMITS.header_seconds + STEP_SECONDS, b"x")

    def test_idle_connections(self):
        """A host waits a little longer than callers reuse their connections."""
        data = head(b"content-length: 0")
        limit = LIMITS.idle_seconds
        self.check_within(limit - STEP_SECONDS, data)
        over = limit + IDLE_SLACK_SECONDS + STEP_SECONDS
        self.assertEqual(ask(over, data)[::2], (0, 0))
        status, seconds, _, _ = ask(b"", over + LINGER_SECONDS)
        self.assertEqual(status, 0)
        self.assertAlmostEqual(seconds, limit + IDLE_SLACK_SECONDS, delta=0.1)


if __name__ == "__main__":
    unittest.main()
