"""Tests streams without length and chunks, which end with their connection."""

import unittest

import trio

from berylshift.stand_ins.entry_replica import UNFRAMED_FAULTS, Fault
from berylshift.tests.entry_world import prompt_headers, run_entry, stream_body
from berylshift.tests.lost_paths_world import Cut, run_lost_paths

BREAKS = (Fault.UNFRAMED_RESET, Fault.UNFRAMED_CUT, Fault.UNFRAMED_EMPTY)
HEADERS = prompt_headers(5, 1000, 0)


def decode_engines(world) -> list:
    """Return the engines that decode."""
    return [rep for rep in world.replicas.values() if rep.phase == "decode"]


class UnframedStreamTest(unittest.TestCase):
    """Streams of which only the end of the connection shows the end."""

    def test_whole_stream_is_complete(self):
        """Guards against whole streams that are taken for broken ones."""

        async def task(world):
            decode_engines(world)[0].faults = [Fault.UNFRAMED]
            return await world.ask("/note/x", headers=HEADERS)

        reply = run_entry(task, engines="d")
        self.assertEqual((reply.body, reply.whole), (stream_body(1, 5), True))

    def test_stream_that_broke_off_does_not_look_complete(self):
        """Guards against a stream that ends within an event, or without any."""
        for fault in BREAKS:
            with self.subTest(fault=fault):

                async def task(world, fault=fault):
                    decode_engines(world)[0].faults = [fault]
                    reply = await world.ask("/note/x", headers=HEADERS)
                    return reply.status == 200 and reply.whole

                self.assertFalse(run_entry(task, engines="d"))

    def test_stream_that_broke_off_is_resumed(self):
        """Guards against missing and repeated events after a break."""
        for fault in BREAKS:
            with self.subTest(fault=fault):

                async def task(world, fault=fault):
                    first, second = decode_engines(world)
                    first.faults = [fault] * 9
                    second.faults = [Fault.UNFRAMED] * 9
                    return [
                        await world.ask("/brief/x", f"r{number}", headers=HEADERS)
                        for number in range(4)
                    ]

                for reply in run_entry(task, engines="dd"):
                    self.assertEqual(
                        (reply.body, reply.whole), (stream_body(1, 5), True)
                    )

    def test_connection_is_not_used_again(self):
        """Guards against a request on a connection that its replica has closed."""

        async def task(world):
            engine = decode_engines(world)[0]
            engine.faults = [Fault.UNFRAMED] * 5
            for number in range(5):
                await world.ask("/note/x", f"r{number}", headers=HEADERS)
            return len(engine.arrivals), len(engine.runs)

        self.assertEqual(run_entry(task, engines="d"), (5, 5))

    def test_stream_through_another_host_does_not_look_complete(self):
        """Guards against a tunnel that turns a break into an end."""
        for fault in UNFRAMED_FAULTS:
            with self.subTest(fault=fault):

                async def task(world, fault=fault):
                    await trio.sleep(3.0)
                    for replica in decode_engines(world):
                        replica.faults = [fault] * 20
                    world.cut("host-1", Cut.REFUSE_NEW)
                    reply = await world.ask("/note/x", headers=HEADERS)
                    return reply.status == 200 and reply.whole, reply.body

                whole, body = run_lost_paths(task, hosts=3)
                self.assertEqual(whole, fault is Fault.UNFRAMED)
                if whole:
                    self.assertEqual(body, stream_body(1, 5))
