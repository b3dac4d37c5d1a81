"""End-to-end tests of streams: disaggregated prefill, failures and resumption."""

import unittest

import trio

from berylshift.stand_ins.entry_replica import Fault
from berylshift.tests.entry_world import prompt_headers, run_entry, stream_body


class StreamTest(unittest.TestCase):
    """Streams of events."""

    def test_events_are_forwarded_as_they_arrive(self):
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

    def test_truncated_stream_has_no_end_marker(self):
        """Guards against a truncated stream that looks complete to the caller.

        A stream that is not resumable breaks after two events. They are forwarded, and
        the connection is closed without an end marker.
        """

        async def task(world):
            for replica in world.replicas.values():
                replica.faults = [Fault.CUT]
            engine = [rep for rep in world.replicas.values() if rep.phase == "decode"]
            reply = await world.ask("/note/x", headers=prompt_headers(0 + 4, 1000, 0))
            return reply, len(engine[0].runs)

        reply, runs = run_entry(task, engines="d")
        self.assertEqual((reply.body, reply.whole, runs), (stream_body(1, 2), False, 1))

    def test_resumed_stream_has_no_gap_or_repeat(self):
        """Guards against a gap or repeated events in a resumed stream.

        A replica fails in the middle of the third event. A partial event must not be
        forwarded; another replica resumes after the second event.
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

    def test_disaggregated_prefill_uses_the_kv_cache(self):
        async def task(world):
            reply = await world.ask("/note/x", headers=prompt_headers())
            return (
                reply,
                [len(rep.runs) for rep in world.replicas.values()],
                world.fleet_state,
            )

        reply, runs, kept = run_entry(task, plain=0, engines="pd")
        self.assertEqual(reply.body, stream_body(1, 4))
        self.assertEqual(runs, [0, 1])
        self.assertEqual(kept.handles, {})

    def test_kv_cache_is_freed_when_the_caller_disconnects(self):
        """Guards against a leaked KV cache that occupies engine memory for seconds.

        The prompt is prefilled, the decode engine is unreachable, and the caller
        disconnects.
        """

        async def task(world):
            world.unresponsive.add("10.0.0.2:80")
            link = world.connect()
            await link.send("/note/x", headers=prompt_headers())
            await trio.sleep(0.15)
            await link.close()
            await trio.sleep(0.5)
            return world.fleet_state.handles

        self.assertEqual(run_entry(task, plain=0, engines="pd"), {})

    def test_prompt_that_is_prefilled_too_late_is_refused_at_once(self):
        """Guards against requests that wait for a prefill they can't get in time.

        The queue of the only prefill engine is longer than callers wait. The request is
        refused at once as not run, with the time at which the queue will have room.
        """

        async def task(world):
            loads = world.hosts[0].loads
            loads.record_sent("engine-1", 400_000, 0)
            start = trio.current_time()
            reply = await world.ask("/note/x", headers=prompt_headers())
            return reply, trio.current_time() - start

        with self.assertLogs("berylshift", "INFO") as logs:
            reply, seconds = run_entry(task, plain=0, engines="pd")
        refused = [getattr(rec, "refused_placement", "") for rec in logs.records]
        self.assertIn("ahead=400000 factor=1.00 rate=prior", "".join(refused))
        self.assertEqual(reply.status, 503)
        self.assertLess(seconds, 0.05)
        self.assertGreater(reply.retry_after_seconds, 1)

    def test_late_retry_is_not_reported_as_not_run(self):
        """Guards against "not run" for a request that the first engine may have run.

        Two engines accept a stream and send nothing, while the queues grow so that no
        prefill could meet the deadline.
        """

        async def task(world):
            engines = [rep for rep in world.replicas.values() if rep.phase == "decode"]
            for engine in engines:
                engine.faults = [Fault.MUTE]
            link = world.connect()
            await link.send("/brief/x", headers=prompt_headers())
            await trio.sleep(0.5)
            world.hosts[0].loads.record_sent("engine-1", 400_000, 0)
            reply = await link.read()
            return reply.status, sum(len(engine.runs) for engine in engines)

        self.assertEqual(run_entry(task, plain=0, engines="pdd"), (504, 2))

    def test_late_retry_after_a_crash_is_not_reported_as_not_run(self):
        """Guards against "not run" where a retry after a crash would be too late."""

        async def task(world):
            engines = [rep for rep in world.replicas.values() if rep.phase == "decode"]
            for engine in engines:
                engine.faults = [Fault.MUTE]
            link = world.connect()
            await link.send("/brief/x", headers=prompt_headers())
            await trio.sleep(0.5)
            world.hosts[0].loads.record_sent("engine-1", 400_000, 0)
            for engine in engines:
                if engine.runs:
                    await engine.crash("/brief/x")
            reply = await link.read()
            return reply.status, sum(len(engine.runs) for engine in engines)

        self.assertEqual(run_entry(task, plain=0, engines="pdd"), (502, 1))

    def test_no_prefill_when_decode_engines_are_full(self):
        async def task(world):
            for _ in range(200):
                world.hosts[0].loads.record_sent("engine-2", 0, 1)
            reply = await world.ask("/note/x", headers=prompt_headers())
            return reply.status, world.replicas["10.0.0.1:80"].arrivals

        self.assertEqual(run_entry(task, plain=0, engines="pd"), (503, []))


if __name__ == "__main__":
    unittest.main()
