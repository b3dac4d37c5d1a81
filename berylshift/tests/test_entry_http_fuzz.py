"""Seeded malformed and odd requests of callers, beside sound ones of others."""

import logging
import os
import random
import unittest

import trio

from berylshift.stand_ins.fuzz.odd_callers import (
    OddCallers,
    runs_of_odd,
    use_stream_script,
)
from berylshift.tests.entry_world import EntryWorld, run_entry

EXAMPLES = int(os.environ.get("HTTP_EXAMPLES", "150"))
SEED = int(os.environ.get("HTTP_SEED", "63"))
# Odd connections that are open at the same time, and for how long at most.
WORKERS, PATIENCE_SECONDS = 8, 20.0
SOUND_INTERVAL_SECONDS = 0.05


class SoundCaller:
    """Sends sound requests, each on a connection of its own."""

    def __init__(self, world: EntryWorld):
        self.world = world
        self.answers: list[tuple[int, bool]] = []

    async def run(self) -> None:
        while True:
            name = f"sound-{len(self.answers)}"
            reply = await self.world.ask("/book/x", name, body=name.encode())
            is_whole = reply.whole and reply.body == b"body of " + name.encode()
            self.answers.append((reply.status, is_whole))
            await trio.sleep(SOUND_INTERVAL_SECONDS)


class HttpFuzzTest(unittest.TestCase):
    """Guards sound callers and replicas against what others send."""

    def test_odd_requests_beside_sound_ones(self):
        async def task(world):
            rng = random.Random(SEED)
            replicas = list(world.replicas.values())
            use_stream_script(replicas)

            async def connect():
                return world.connect().stream

            odd = OddCallers(connect, lambda number: rng, PATIENCE_SECONDS)
            sound = SoundCaller(world)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(sound.run)
                async with trio.open_nursery() as workers:
                    for _ in range(WORKERS):
                        workers.start_soon(odd.run, EXAMPLES)
                nursery.cancel_scope.cancel()
            ran = runs_of_odd(replicas, "sound-")
            return odd, sound.answers, ran, world.hosts[0].is_ready()

        with self.assertNoLogs("berylshift", logging.ERROR):
            odd, answers, ran, is_ready = run_entry(task, engines="pdd")
        self.assertTrue(is_ready)
        self.assertGreater(len(answers), 20)
        self.assertEqual(set(answers), {(200, True)})
        self.assertEqual(odd.violations(ran), [])
        self.assertGreater(len(ran), EXAMPLES / 10)


if __name__ == "__main__":
    unittest.main()
