"""Tests replicas that send bytes without end which are no answer."""

import re
import unittest

import trio

from berylshift.platform import names
from berylshift.stand_ins.pipes import Pipe
from berylshift.tests.entry_world import (
    EntryWorld,
    Reply,
    prompt_headers,
    run_entry,
    stream_body,
)

EVENTS = 5
PROMPT = prompt_headers(EVENTS, 1000, 0)
LEFT_SECONDS = 3.0
# The largest response that is buffered, and what lies in the pipe.
MAX_TAKEN_BYTES = (8 << 20) + (1 << 17)
OK = b"HTTP/1.1 200 OK\r\n"
ID = names.ATTEMPT_ID + b": %b\r\n"
SIGNED = names.SIGNATURE + b": signed\r\n"
NOT_RUN = b"HTTP/1.1 503 X\r\n" + names.NOT_RUN + b": 1\r\n"
STREAM_HEAD = OK + ID + SIGNED + b"\r\n"
# Bytes that certainly are no answer, by name: the first ones, and those that follow.
NO_HEADS = {
    "informational responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "blank lines": (b"", b"\r\n"),
    "header fields": (OK, b"a: b\r\n"),
    "one header field": (OK + b"a: ", b"b"),
}
# Parts of responses that never end.
NO_ENDS = {
    "late response": (OK + names.ATTEMPT_ID + b": other\r\n\r\n", b"x"),
    "refusal": (NOT_RUN + ID + b"\r\n", b"x"),
    "error": (b"HTTP/1.1 500 X\r\n" + ID + SIGNED + b"\r\n", b"x"),
    "unavailable": (b"HTTP/1.1 503 X\r\n" + ID + SIGNED + b"\r\n", b"x"),
    "body": (STREAM_HEAD, b"x"),
    "small chunks": (
        OK + ID + SIGNED + b"transfer-encoding: chunked\r\n\r\n",
        b"1\r\nx\r\n",
    ),
}
NO_EVENTS = {
    "event": (STREAM_HEAD, b"x"),
    "comments": (STREAM_HEAD, b": comment\n\n"),
    "blank lines": (STREAM_HEAD, b"\n\n"),
    "comments after an event": (
        STREAM_HEAD + stream_body(1, 1),
        b": comment\n\n",
    ),
}


class EndlessReplica:
    """Sends some bytes, then repeats others until its peer closes the connection."""

    alive = True

    def __init__(self, start: bytes, repeated: bytes, is_fast: bool):
        """Repeat ``repeated`` in 64 KiB pieces, or byte by byte."""
        self._start = start
        self._repeated = repeated
        self._is_fast = is_fast
        self.open = 0
        self.connections = 0
        self.taken_bytes = 0

    async def serve(self, stream: Pipe, host: str) -> None:
        """Serve one connection."""
        data = await stream.receive_some(65536)
        if not data:
            return
        found = re.search(names.ATTEMPT_ID + rb": *(\S+)", data, re.IGNORECASE)
        request_id = found[1] if found else b"none"
        self.open += 1
        self.connections += 1
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send, stream, request_id)
                while await stream.receive_some(65536):
                    pass
                nursery.cancel_scope.cancel()
        finally:
            self.open -= 1

    async def _send(self, stream: Pipe, request_id: bytes) -> None:
        start = self._start
        taken = 0
        try:
            await stream.send_all(start % request_id if b"%b" in start else start)
            while True:
                if self._is_fast:
                    piece = self._repeated * (65536 // len(self._repeated))
                    await stream.send_all(piece)
                    taken += len(piece)
                    self.taken_bytes = max(self.taken_bytes, taken)
                    await trio.sleep(0.02)
                    continue
                for offset in range(len(self._repeated)):
                    await stream.send_all(self._repeated[offset : offset + 1])
                    await trio.sleep(0.02)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass


def make_endless(
    world: EntryWorld, case: tuple[bytes, bytes], is_fast: bool
) -> EndlessReplica:
    """Let the first replica that runs requests send ``case``."""
    address = next(
        address for address, rep in world.replicas.items() if rep.phase != "prefill"
    )
    world.replicas[address] = EndlessReplica(*case, is_fast)
    return world.replicas[address]


async def ask_many(world: EntryWorld, path: str, **more) -> list[tuple[Reply, float]]:
    """Return the replies to three requests, and the seconds that each took."""
    found = []

    async def ask(number: int) -> None:
        start = trio.current_time()
        left_ms = int(LEFT_SECONDS * 1000)
        reply = await world.ask(path, f"r{number}", left_ms=left_ms, **more)
        found.append((reply, trio.current_time() - start))

    async with trio.open_nursery() as nursery:
        for number in range(3):
            nursery.start_soon(ask, number)
    return found


class EndlessBytesCase(unittest.TestCase):
    """Plays each case fast and slow."""

    def play(self, cases, path: str, check, fleet: dict, **more) -> None:
        for name, case in cases.items():
            for is_fast in (True, False):
                with self.subTest(case=name, fast=is_fast):

                    async def task(world, case=case, is_fast=is_fast):
                        endless = make_endless(world, case, is_fast)
                        found = await ask_many(world, path, **more)
                        await trio.sleep(0.05)
                        return endless, endless.open, found

                    endless, still_open, found = run_entry(task, **fleet)
                    self.assertGreater(endless.connections, 0)
                    self.assertEqual(still_open, 0)
                    self.assertLessEqual(endless.taken_bytes, MAX_TAKEN_BYTES)
                    for reply, seconds in found:
                        self.assertLess(seconds, LEFT_SECONDS + 0.1)
                        check(reply, seconds, is_fast)


class PlainRequestTest(EndlessBytesCase):
    """Guards against requests held by a replica whose answer never ends."""

    def check_answered(self, reply: Reply, seconds: float, is_fast: bool) -> None:
        self.assertEqual((reply.status, reply.whole), (200, True))
        self.assertLess(seconds, LEFT_SECONDS / 2)

    def test_repeatable_request_is_answered_by_another_replica(self):
        """Guards against a repeatable request that isn't repeated in time."""
        cases = {**NO_HEADS, **NO_ENDS}
        self.play(cases, "/look/x", self.check_answered, {"plain": 2})

    def test_other_request_fails_at_once_after_bytes_that_are_no_answer(self):
        """Guards against a caller that waits while it is certain to get no answer."""

        def check(reply, seconds, is_fast):
            self.assertNotEqual(reply.status, 200)
            if is_fast:
                self.assertLess(seconds, 0.1)

        self.play(NO_HEADS, "/book/x", check, {"plain": 1})

    def test_other_request_ends_by_its_deadline(self):
        """Guards against a caller that is held beyond its deadline."""

        def check(reply, seconds, is_fast):
            self.assertFalse(reply.status == 200 and reply.whole)

        self.play(NO_ENDS, "/book/x", check, {"plain": 1})

    def test_status_that_is_not_forwarded_needs_no_body(self):
        """Guards against a caller that waits for a body that it does not get."""

        def check(reply, seconds, is_fast):
            self.assertGreaterEqual(reply.status, 500)
            self.assertLess(seconds, 0.5)

        cases = {"unavailable": NO_ENDS["unavailable"]}
        self.play(cases, "/book/x", check, {"plain": 1})

    def test_declared_length_that_is_too_large_fails_at_once(self):
        """Guards against reading a body that is certainly too large to forward."""

        def check(reply, seconds, is_fast):
            self.assertNotEqual(reply.status, 200)
            self.assertLess(seconds, 0.1)

        head = OK + ID + SIGNED + b"content-length: 99999999999\r\n\r\n"
        self.play({"body": (head, b"x")}, "/book/x", check, {"plain": 1})

    def test_body_of_unknown_length_counts_as_memory(self):
        """Guards against responses that are held but not counted."""

        async def task(world):
            make_endless(world, NO_ENDS["body"], True)
            pool = world.hosts[0].request_memory.responses
            async with trio.open_nursery() as nursery:
                nursery.start_soon(world.ask, "/book/x")
                await trio.sleep(0.5)
                held = pool.held_bytes
            return held, pool.held_bytes

        held, after = run_entry(task, plain=1)
        self.assertGreater(held, 1 << 20)
        self.assertEqual(after, 0)


class SlowAnswerTest(unittest.TestCase):
    """Guards against valid slow answers that are taken for endless bytes."""

    def test_answer_after_informational_responses(self):
        """Guards against a limit on valid informational responses."""

        async def task(world):
            start = b"HTTP/1.1 102 Processing\r\n\r\n" * 8 + OK + ID + SIGNED
            start += b"content-length: 20\r\n\r\n"
            make_endless(world, (start, b"x"), False)
            return await world.ask("/book/x")

        reply = run_entry(task, plain=1)
        self.assertEqual((reply.status, reply.body), (200, b"x" * 20))

    def test_stream_with_comments(self):
        """Guards against lost bytes of a stream, and one that looks broken."""
        body = b": begin\n\n" + stream_body(1, 2) + b"\n: end\n\n"

        async def task(world):
            start = OK + ID + SIGNED + b"content-length: %d\r\n\r\n" % len(body)
            make_endless(world, (start, body), False)
            return await world.ask("/note/x", headers=PROMPT)

        reply = run_entry(task, plain=0, engines="d")
        self.assertEqual((reply.body, reply.whole), (body, True))


class StreamTest(EndlessBytesCase):
    """Guards against streams held by an engine that sends no events."""

    def test_resumable_stream_goes_on_elsewhere(self):
        """Guards against bytes without an event that count as the next event."""

        def check(reply, seconds, is_fast):
            expected = (stream_body(1, EVENTS), True)
            body = reply.body.replace(b": comment\n\n", b"")
            self.assertEqual((body, reply.whole), expected)

        fleet = {"plain": 0, "engines": "dd"}
        self.play(NO_EVENTS, "/brief/x", check, fleet, headers=PROMPT)

    def test_other_stream_ends_by_its_deadline(self):
        """Guards against a caller that is held beyond its deadline."""

        def check(reply, seconds, is_fast):
            self.assertFalse(reply.status == 200 and reply.whole)

        fleet = {"plain": 0, "engines": "d"}
        self.play(NO_EVENTS, "/note/x", check, fleet, headers=PROMPT)


class PrefillTest(EndlessBytesCase):
    """Guards against streams held by an engine whose prefill answer never ends."""

    def test_stream_is_answered_without_the_prefill(self):
        """Guards against a stream that waits for a prefill that fails."""
        for name, case in {**NO_HEADS, **NO_ENDS}.items():
            for is_fast in (True, False):
                with self.subTest(case=name, fast=is_fast):

                    async def task(world, case=case, is_fast=is_fast):
                        address = next(iter(world.replicas))
                        endless = EndlessReplica(*case, is_fast)
                        world.replicas[address] = endless
                        found = await ask_many(world, "/brief/x", headers=PROMPT)
                        await trio.sleep(0.5)
                        return endless.open, found

                    still_open, found = run_entry(task, plain=0, engines="pdd")
                    self.assertEqual(still_open, 0)
                    for reply, seconds in found:
                        self.assertEqual(reply.body, stream_body(1, EVENTS))
                        self.assertLess(seconds, LEFT_SECONDS)
