"""Whole path of streams: prompts read apart, cuts, resumed streams."""

import unittest

import trio

from berylshift.stand_ins.entry_replica import Fault
from berylshift.tests.entry_world import (
    prompt_headers,
    run_entry,
    stream_body,
)


class StreamTest(unittest.TestCase):
    """Streams of events."""

    def test_events_come_as_they_are_made(self):
        async def task(world):
            link = world.connect()
            await link.send("/note/x", headers=prompt_headers(pieces=6))
            start = trio.current_time()
            with trio.move_on_after(0.35):
                await link.read()
            return link.body, trio.current_time() - start

        body, _ = run_entry(task, engines="pd")
        self.assertTrue(body.startswith(stream_body(1, 3)))
        self.assertFalse(body.endswith(stream_body(6, 6)))

    def test_cut_stream_never_looks_whole(self):
        """A stream that may not be repeated is cut after two events.

        What came is passed on; the connection then breaks without the end mark, so that
        the caller knows the answer is not whole.
        """

        async def task(world):
            for replica in world.replicas.values():
                replica.faults = [Fault.CUT]
            engine = [rep for rep in world.replicas.values() if rep.phase == "decode"]
            reply = await world.ask("/note/x", headers=prompt_headers(0 + 4, 1000, 0))
            return reply, len(engine[0].runs)

        reply, runs = run_entry(task, engines="d")
        self.assertEqual((reply.body, reply.whole, runs), (stream_body(1, 2), False, 1))

    def test_resumable_stream_goes_on_elsewhere_without_gap_or_repeat(self):
        """A replica breaks off in the middle of the third event.

        Half an event can't be taken back: it is held until whole. Another replica goes
        on after the second, and the caller sees one stream.
        """

        async def task(world):
            engines = [rep for rep in world.replicas.values() if rep.phase == "decode"]
            for engine in engines:
                engine.faults = [Fault.HALF_EVENT]
            for engine in engines[1:]:
                engine.faults = []
            replies = [
                await world.ask("/brief/x", f"r{i}", headers=prompt_headers(5, 1000, 0))
                for i in range(4)
            ]
            return [(reply.body, reply.whole) for reply in replies]

        for body, whole in run_entry(task, engines="dd"):
            self.assertEqual((body, whole), (stream_body(1, 5), True))

    def test_prompt_is_read_apart_and_its_cache_is_used(self):
        async def task(world):
            reply = await world.ask("/note/x", headers=prompt_headers())
            return reply, [len(rep.runs) for rep in world.replicas.values()], world.kept

        reply, runs, kept = run_entry(task, plain=0, engines="pd")
        self.assertEqual(reply.body, stream_body(1, 4))
        self.assertEqual(runs, [0, 1])
        self.assertEqual(kept.handles, {})

    def test_cache_of_a_caller_that_left_is_freed(self):
        """The prompt is read, the answering engine is dark, and the caller leaves.

        The cache would hold the engine's memory for seconds that others need.
        """

        async def task(world):
            world.dark.add("10.0.0.2:80")
            link = world.connect()
            await link.send("/note/x", headers=prompt_headers())
            await trio.sleep(0.15)
            await link.close()
            await trio.sleep(0.5)
            return world.kept.handles

        self.assertEqual(run_entry(task, plain=0, engines="pd"), {})

    def test_prompt_that_no_engine_reads_in_time_is_refused_at_once(self):
        """The queue before the only reading engine is longer than callers wait.

        Holding the request until its caller leaves would serve nobody; it is told at
        once, truly, that it was not run, and when the queue will have room.
        """

        async def task(world):
            loads = world.hosts[0].loads
            loads.note_sent("engine-1", 400_000, 0)
            start = trio.current_time()
            reply = await world.ask("/note/x", headers=prompt_headers())
            return reply, trio.current_time() - start

        reply, seconds = run_entry(task, plain=0, engines="pd")
        self.assertEqual(reply.status, 503)
        self.assertLess(seconds, 0.05)
        self.assertGreater(reply.again, 1)

    def test_a_hopeless_second_send_is_not_called_not_run(self):
        """An engine takes a stream and stays silent; the queues grow meanwhile.

        Sending once more would be too late. But the first engine may have run the
        request: the caller must not hear a status that promises the opposite.
        """

        async def task(world):
            engines = [rep for rep in world.replicas.values() if rep.phase == "decode"]
            for engine in engines:
                engine.faults = [Fault.MUTE]
            link = world.connect()
            await link.send("/brief/x", headers=prompt_headers())
            await trio.sleep(0.5)
            world.hosts[0].loads.note_sent("engine-1", 400_000, 0)
            reply = await link.read()
            return reply.status, sum(len(engine.runs) for engine in engines)

        self.assertEqual(run_entry(task, plain=0, engines="pdd"), (502, 1))

    def test_prompt_is_not_read_for_answering_engines_that_are_full(self):
        async def task(world):
            for _ in range(200):
                world.hosts[0].loads.note_sent("engine-2", 0, 1)
            reply = await world.ask("/note/x", headers=prompt_headers())
            return reply.status, world.replicas["10.0.0.1:80"].arrivals

        self.assertEqual(run_entry(task, plain=0, engines="pd"), (503, []))


if __name__ == "__main__":
    unittest.main()
