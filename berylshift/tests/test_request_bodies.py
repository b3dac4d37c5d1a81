"""Tests of streamed request bodies and their flow control."""

import unittest
from contextlib import aclosing

import h11
import trio

from berylshift.connection.errors import ConnectionLayerError
from berylshift.connection.http_server import ServerLimits
from berylshift.connection.request_body import (
    CHUNK_BYTES,
    MAX_AHEAD_BYTES,
    BodyBrokenError,
    RequestBody,
)
from berylshift.connection.target_client import TargetClient, TargetRequest
from berylshift.platform import names
from berylshift.stand_ins.entry_replica import EntryReplica, Fault
from berylshift.stand_ins.pipes import WINDOW_BYTES, Pipe, pipe_pair
from berylshift.tests.entry_world import HOST, CallerLink, Reply, run_entry
from berylshift.tests.support import run_virtual

PART = b"x" * 32_768


class Upload:
    """A caller that sends a body in parts."""

    def __init__(self, link: CallerLink):
        """Send on ``link``."""
        self.link = link

    async def begin(self, path: str, length: int | None = None) -> None:
        """Send the head; ``length`` ``None``: use chunked transfer encoding."""
        framing = (b"transfer-encoding", b"chunked")
        if length is not None:
            framing = (b"content-length", b"%d" % length)
        lines = [
            (b"host", HOST.encode()),
            (names.ATTEMPT_ID, b"r1"),
            (names.TIME_LEFT_MS, b"3000"),
            framing,
        ]
        head = h11.Request(method="POST", target=path, headers=lines)
        await self.link.stream.send_all(self.link.conn.send(head))

    async def part(self, data: bytes = PART) -> None:
        """Send a part of the body."""
        await self.link.stream.send_all(self.link.conn.send(h11.Data(data=data)))

    async def end(self) -> Reply:
        """End the body and return the reply."""
        await self.link.stream.send_all(self.link.conn.send(h11.EndOfMessage()))
        return await self.link.read()


def only(world):
    """Return the only replica of a world."""
    (replica,) = world.replicas.values()
    return replica


class StreamedBodyTest(unittest.TestCase):
    """Bodies that are forwarded while they arrive."""

    def test_long_body_is_streamed_to_the_replica(self):
        for length in (None, 8 * len(PART)):
            with self.subTest(length=length):

                async def task(world, length=length):
                    upload = Upload(world.connect())
                    await upload.begin("/book/x", length)
                    for _ in range(6):
                        await upload.part()
                    await trio.sleep(0.2)
                    early = only(world).body_bytes
                    for _ in range(2):
                        await upload.part()
                    reply = await upload.end()
                    return early, reply, only(world).runs[0].body

                early, reply, body = run_entry(task, plain=1)
                self.assertEqual(early, 6 * len(PART))
                self.assertEqual((reply.status, reply.whole), (200, True))
                self.assertEqual(body, 8 * PART)

    def test_short_body_is_buffered_before_connecting(self):
        # A caller sends a few bytes and pauses. A replica that was called now would
        # hold a slot that other callers' requests need.
        async def task(world):
            upload = Upload(world.connect())
            await upload.begin("/book/x")
            await upload.part(b"few")
            await trio.sleep(0.5)
            asked = only(world).connections
            reply = await upload.end()
            return asked, reply.status

        self.assertEqual(run_entry(task, plain=1), (0, 200))

    def test_slow_replica_applies_backpressure_to_its_caller(self):
        # Without backpressure, a host would buffer the bodies of all such callers.
        async def task(world):
            only(world).body_read_delay_seconds = 10.0
            upload = Upload(world.connect())
            await upload.begin("/book/x")
            sent = 0
            with trio.move_on_after(1.0):
                for _ in range(64):
                    await upload.part()
                    sent += len(PART)
            return sent

        sent = run_entry(task, plain=1)
        # The pipes on both sides buffer some data too.
        self.assertLess(sent, 2 * MAX_AHEAD_BYTES + 4 * WINDOW_BYTES)

    def test_early_response_is_forwarded_at_once(self):
        # The replica rejects a body before it has arrived; the caller must receive the
        # response while it is still sending.
        async def task(world):
            only(world).faults = [Fault.EARLY]
            upload = Upload(world.connect())
            await upload.begin("/book/x")
            for _ in range(4):
                await upload.part()
            start = trio.current_time()
            reply = await upload.link.read()
            return reply.status, trio.current_time() - start

        status, seconds = run_entry(task, plain=1)
        self.assertEqual(status, 413)
        self.assertLess(seconds, 0.1)


class BrokenBodyTest(unittest.TestCase):
    """Bodies that don't arrive completely."""

    def test_truncated_body_is_not_run(self):
        # The caller disconnects in mid-body. A replica that took the received part for
        # the complete body would run a booking that nobody requested.
        async def task(world):
            upload = Upload(world.connect())
            await upload.begin("/book/x")
            for _ in range(4):
                await upload.part()
            await trio.sleep(0.1)
            await upload.link.close()
            await trio.sleep(1)
            return only(world).body_bytes, only(world).runs

        self.assertEqual(run_entry(task, plain=1), (4 * len(PART), []))

    def test_a_body_with_broken_chunks_is_a_bad_request(self):
        async def task(world):
            upload = Upload(world.connect())
            await upload.begin("/book/x")
            for _ in range(4):
                await upload.part()
            await upload.link.stream.send_all(b"not a chunk\r\n")
            reply = await upload.link.read()
            await trio.sleep(1)
            return reply.status, only(world).runs

        self.assertEqual(run_entry(task, plain=1), (400, []))

    def test_unfinished_body_times_out(self):
        async def task(world):
            upload = Upload(world.connect())
            await upload.begin("/book/x")
            for _ in range(4):
                await upload.part()
            reply = await upload.link.read()
            return reply.status, only(world).runs

        status, runs = run_entry(task, plain=1)
        self.assertIn(status, (408, 503, 504))
        self.assertEqual(runs, [])

    def test_unfinished_body_that_was_forwarded_is_not_reported_as_not_run(self):
        """Guards against 408 for a request that a replica was sent in part."""
        self.assertEqual(self.reply_to_forwarded(b""), (504, b"unknown"))

    def test_broken_body_that_was_forwarded_is_not_reported_as_not_run(self):
        """Guards against "not run" for a request that a replica was sent in part."""
        found = self.reply_to_forwarded(b"not a chunk\r\n")
        self.assertEqual(found, (400, b"unknown"))

    def reply_to_forwarded(self, rest: bytes) -> tuple[int, bytes]:
        """Return status and outcome if ``rest`` follows forwarded parts of a body."""

        async def task(world):
            world.hosts[0].server.limits = ServerLimits(request_seconds=1.0)
            upload = Upload(world.connect())
            await upload.begin("/book/x")
            for _ in range(4):
                await upload.part()
            await trio.sleep(0.1)
            if rest:
                await upload.link.stream.send_all(rest)
            reply = await upload.link.read()
            return reply.status, reply.headers[b"berylshift-outcome"]

        return run_entry(task, plain=1)

    def test_content_length_over_the_limit_is_refused_at_once(self):
        async def task(world):
            upload = Upload(world.connect())
            await upload.begin("/book/x", 1 << 30)
            reply = await upload.link.read()
            return reply.status, only(world).connections

        self.assertEqual(run_entry(task, plain=1), (413, 0))

    def test_chunked_body_over_the_limit_is_refused(self):
        async def task(world):
            upload = Upload(world.connect())
            bound = world.hosts[0].server.limits.body_bytes
            await upload.begin("/book/x")
            with trio.move_on_after(2):
                for _ in range(bound // len(PART) + 1):
                    await upload.part()
            reply = await upload.link.read()
            await trio.sleep(1)
            return reply.status, only(world).runs

        self.assertEqual(run_entry(task, plain=1), (413, []))

    def test_retry_sends_the_body_from_its_start(self):
        # The first replica resets its connection after most of the body has arrived.
        # The request is repeatable, and the second replica must get the complete body.
        async def task(world):
            for replica in world.replicas.values():
                replica.faults = [Fault.RESET_EARLY]
            upload = Upload(world.connect())
            await upload.begin("/look/x")
            for _ in range(4):
                await upload.part()
            while all(rep.faults for rep in world.replicas.values()):
                await trio.sleep(0.0005)
            for replica in world.replicas.values():
                replica.faults = []
            for _ in range(3):
                await upload.part()
            reply = await upload.end()
            runs = [run for rep in world.replicas.values() for run in rep.runs]
            asked = sum(rep.connections > 0 for rep in world.replicas.values())
            return reply.status, asked, [run.body for run in runs]

        self.assertEqual(run_entry(task), (200, 2, [7 * PART]))


class ClientWorld:
    """A target client with one replica."""

    def __init__(self, nursery: trio.Nursery):
        """Start both."""
        self.replica = EntryReplica("plain-1", "10.0.0.1:80")
        self.client = TargetClient(0.3, self.dial)
        self._nursery = nursery
        nursery.start_soon(self.client.run)

    async def dial(self, address: str) -> Pipe:
        """Connect to the replica."""
        near, far = pipe_pair()
        self._nursery.start_soon(self.replica.serve, far)
        return near

    def request(self, request: bytes, body: RequestBody) -> TargetRequest:
        """Return a request for the replica."""
        headers = [
            (b"host", b"x"),
            (names.TARGET_INSTANCE, b"plain-1"),
            (names.ATTEMPT_ID, request),
        ]
        address = self.replica.address
        return TargetRequest("plain-1", address, b"POST", b"/x/", headers, body)


def run_client(task):
    """Run ``task(world)`` on a virtual clock."""

    async def main():
        async with trio.open_nursery() as nursery:
            world = ClientWorld(nursery)
            await trio.sleep(0.01)
            result = await task(world)
            nursery.cancel_scope.cancel()
        return result

    return run_virtual(main)


class FreedBodyTest(unittest.TestCase):
    """Bodies whose request has ended while they are still being sent."""

    def test_rest_of_a_freed_body_does_not_look_sent(self):
        """Guards against a target that takes the sent part for the whole body."""

        async def task():
            body = RequestBody.of(b"x" * (CHUNK_BYTES + 1))
            sent = []
            with self.assertRaises(BodyBrokenError):
                async with aclosing(body.chunks()) as chunks:
                    async for data in chunks:
                        sent.append(len(data))
                        body.free()
            return sent

        self.assertEqual(run_virtual(task), [CHUNK_BYTES])


class ClientTest(unittest.TestCase):
    """The target client alone."""

    def test_truncated_body_is_not_sent_as_complete(self):
        # The caller's body is truncated. The replica must not receive an end marker,
        # or it would run a truncated request.
        async def task(world):
            body = RequestBody()
            body.add(PART)

            async def break_off():
                await trio.sleep(0.1)
                body.abort()

            broken = False
            async with trio.open_nursery() as nursery:
                nursery.start_soon(break_off)
                try:
                    async with world.client.exchange(world.request(b"r1", body)):
                        pass
                except ConnectionLayerError:
                    broken = True
            await trio.sleep(1)
            return broken, world.replica.body_bytes, world.replica.runs

        self.assertEqual(run_client(task), (True, len(PART), []))

    def test_connection_with_an_unsent_chunk_is_not_reused(self):
        # The replica responds before it reads, and the last chunk is blocked by a full
        # window. On a reused connection, the next request would be read as that chunk.
        async def task(world):
            world.replica.faults = [Fault.EARLY]
            body = RequestBody()

            async def fill():
                await trio.sleep(0.01)
                body.add(b"x" * (WINDOW_BYTES - 16))
                await trio.sleep(0.01)
                body.add(b"x" * 10)
                body.end()

            async with trio.open_nursery() as nursery:
                nursery.start_soon(fill)
                async with world.client.exchange(world.request(b"r1", body)) as early:
                    await trio.sleep(0.05)
                    await early.read(100)
            out = world.request(b"r2", RequestBody.of(b"y"))
            async with world.client.exchange(out) as answer:
                await answer.read(100)
            return early.status, answer.status, world.replica.connections

        self.assertEqual(run_client(task), (413, 200, 2))


if __name__ == "__main__":
    unittest.main()
