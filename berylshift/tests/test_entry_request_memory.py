"""End-to-end tests of the memory that a host holds for its callers' requests."""

import gc
import unittest

import trio

from berylshift.stand_ins.entry_replica import Fault
from berylshift.tests.entry_world import prompt_headers, run_entry
from berylshift.tests.test_request_bodies import PART, Upload, only

BODY = b"d" * 300_000
MEBIBYTE = 1 << 20


def bodies_after(task, **more) -> int:
    """Return the bytes of bodies in memory after ``task``, without the collector."""

    async def main(world):
        gc.collect()
        gc.disable()
        try:
            await task(world)
            await trio.sleep(2)
            return world.hosts[0].request_memory.body_bytes_in_memory
        finally:
            gc.enable()

    return run_entry(main, **more)


class ReferenceCycleTest(unittest.TestCase):
    """Guards against ended requests that are freed by a garbage collection only."""

    def check(self, path: str, **more) -> None:
        async def task(world):
            link = world.connect()
            for number in range(30):
                await link.ask(path, f"w{number}", **more)
            gc.collect()
            gc.disable()
            try:
                for number in range(20):
                    await link.ask(path, f"r{number}", **more)
                return gc.collect()
            finally:
                gc.enable()

        self.assertLess(run_entry(task, engines="pd"), 20)

    def test_plain_requests(self):
        self.check("/look/x")

    def test_streams(self):
        self.check("/brief/x", headers=prompt_headers())


class EndedRequestTest(unittest.TestCase):
    """Guards against bodies that outlive their requests until a full collection."""

    def check_freed(self, path: str, *faults: Fault, **more) -> None:
        async def task(world):
            for rep in world.replicas.values():
                rep.faults = list(faults)
            for number in range(3):
                await world.ask(path, f"r{number}", body=BODY, **more)

        self.assertEqual(bodies_after(task, engines="pd"), 0)

    def test_plain_requests(self):
        self.check_freed("/book/x")
        self.check_freed("/look/x")

    def test_streams(self):
        self.check_freed("/note/x", headers=prompt_headers())

    def test_failed_requests(self):
        self.check_freed("/book/x", Fault.ERROR, Fault.RESET, Fault.CUT)
        self.check_freed("/look/x", *[Fault.ERROR] * 4)

    def test_refused_requests(self):
        self.check_freed("/book/x", *[Fault.REFUSE] * 4)
        self.check_freed("/nowhere/x")

    def test_caller_that_leaves(self):
        async def task(world):
            for part_count in (1, 4):
                upload = Upload(world.connect())
                await upload.begin("/book/x", 9 * len(PART))
                for _ in range(part_count):
                    await upload.part()
                await trio.sleep(0.1)
                await upload.link.stream.aclose()

        self.assertEqual(bodies_after(task, plain=1), 0)


class RunningRequestTest(unittest.TestCase):
    """Bodies that can't be sent again."""

    def test_body_of_a_running_stream_is_freed(self):
        """Guards against prompts held while their streams are decoded."""

        async def task(world):
            link = world.connect()
            headers = prompt_headers()
            await link.send("/note/x", body=BODY, headers=headers)
            await trio.sleep(0.15)
            streaming = world.hosts[0].handler.in_flight
            held = world.hosts[0].request_memory.large_bodies.held_bytes
            reply = await link.read()
            return streaming, held, reply.whole

        self.assertEqual(run_entry(task, engines="pd"), (1, 0, True))


class BoundTest(unittest.TestCase):
    """More callers with long bodies than a host has memory for."""

    def upload_all(self, count: int, body: bytes, limit_bytes: int):
        """Send ``count`` bodies at once; return replies, peak and runs."""

        async def task(world):
            replies, peak = [], 0
            for rep in world.replicas.values():
                rep.work_seconds = 1.0

            async def upload(number):
                replies.append(await world.ask("/book/x", f"r{number}", body=body))

            world.hosts[0].request_memory.large_bodies.limit_bytes = limit_bytes
            async with trio.open_nursery() as nursery:
                for number in range(count):
                    nursery.start_soon(upload, number)
                for _ in range(30):
                    await trio.sleep(0.05)
                    in_memory = world.hosts[0].request_memory.body_bytes_in_memory
                    peak = max(peak, in_memory)
            runs = [run for rep in world.replicas.values() for run in rep.runs]
            return replies, peak, len(runs)

        return run_entry(task)

    def test_bodies_stay_within_the_limit(self):
        """Guards against a host that is killed for its memory with all its callers."""
        limit_bytes = 10 * MEBIBYTE
        body = b"d" * 1_500_000
        replies, peak, runs = self.upload_all(20, body, limit_bytes)
        self.assertLessEqual(peak, limit_bytes)
        statuses = [reply.status for reply in replies]
        self.assertEqual(set(statuses), {200, 503})
        self.assertEqual(statuses.count(200), runs)
        self.assertGreaterEqual(runs, limit_bytes // len(body))

    def test_refusal_comes_at_once_and_says_when_to_return(self):
        """Guards against callers that wait for memory until their deadline."""

        async def task(world):
            pool = world.hosts[0].request_memory.large_bodies
            pool.record_hold(60.0)
            hold = pool.take_now(int(pool.limit_bytes))
            start = trio.current_time()
            reply = await world.ask("/book/x", body=b"d" * 1_500_000)
            seconds = trio.current_time() - start
            hold.release()
            later = await world.ask("/book/x", "r2", body=b"d" * 1_500_000)
            return reply, seconds, later.status

        reply, seconds, later = run_entry(task, plain=1)
        self.assertEqual((reply.status, later), (503, 200))
        self.assertLess(seconds, 0.1)
        self.assertGreater(reply.retry_after_seconds, 0)

    def test_small_requests_are_served_beside_long_ones(self):
        """Guards against callers with long bodies that lock out all others."""

        async def task(world):
            pool = world.hosts[0].request_memory.large_bodies
            pool.take_now(int(pool.limit_bytes))
            return (await world.ask("/book/x")).status

        self.assertEqual(run_entry(task, plain=1), 200)

    def test_body_of_unknown_length_is_admitted_for_the_longest(self):
        """Guards against chunked bodies that wait for each other half received."""

        async def task(world):
            pool = world.hosts[0].request_memory.large_bodies
            hold = pool.take_now(int(pool.limit_bytes) - MEBIBYTE)
            pool.record_hold(60.0)
            upload = Upload(world.connect())
            await upload.begin("/book/x")
            for _ in range(3):
                await upload.part()
            reply = await upload.link.read()
            hold.release()
            return reply.status, len(only(world).runs), pool.held_bytes

        self.assertEqual(run_entry(task, plain=1), (503, 0, 0))

    def test_reserved_memory_of_a_chunked_body_is_what_it_took(self):
        """Guards against a few chunked bodies that reserve the whole memory."""

        async def task(world):
            only(world).work_seconds = 0.5
            pool = world.hosts[0].request_memory.large_bodies
            upload = Upload(world.connect())
            await upload.begin("/book/x")
            for _ in range(4):
                await upload.part()
            await trio.sleep(0.1)
            reserved = pool.held_bytes
            async with trio.open_nursery() as nursery:
                nursery.start_soon(upload.end)
                await trio.sleep(0.2)
                held = pool.held_bytes
            return reserved, held

        reserved, held = run_entry(task, plain=1)
        self.assertEqual(held, 4 * len(PART))
        self.assertGreater(reserved, held)
