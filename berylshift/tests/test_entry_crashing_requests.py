"""Requests that end each replica that runs them."""

import unittest

import trio

from berylshift.process.fleet.quarantine import LAPSE_HEARTBEATS
from berylshift.settings import DirectorySettings
from berylshift.stand_ins.entry_replica import Fault
from berylshift.tests.crash_play import (
    BACK_SECONDS,
    LAPSE_SECONDS,
    MOST_CRASHES,
    MOST_SENDS_AFTER,
    CrashPlay,
)
from berylshift.tests.entry_world import prompt_headers, run_entry

PLAY_SECONDS = 20.0
HEARTBEAT_SECONDS = DirectorySettings().heartbeat_ms / 1000


async def play_stream(world, path: str, pause: float = 0.5) -> CrashPlay:
    """Play a stream that crashes engines, among other streams."""
    play = CrashPlay(world, path, headers=prompt_headers(part="bad"))
    world.kept.crashing.add(path)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(play.watch_sends)
        nursery.start_soon(world.restart_crashed, BACK_SECONDS, LAPSE_SECONDS)
        async with trio.open_nursery() as callers:
            callers.start_soon(play.bad_caller, pause, PLAY_SECONDS, len(world.hosts))
            callers.start_soon(play.other_callers, "/note/", 0.1, PLAY_SECONDS)
        nursery.cancel_scope.cancel()
    return play


class CrashingStreamTest(unittest.TestCase):
    """Three hosts, seven engines, of which three answer.

    Callers of all streams are cut or get 502 for as long as one caller comes again.
    An engine ends 50 ms after it begins to run that caller's request; the hosts held
    that against the engine and forgot the request with its try. It came again, at
    another host, was read and sent to the next engine; ten ended one after the other,
    each with all that ran there. Evidence: prompts of the same size were under way, at
    seven hosts, under each of ten ends, and no host held one back.
    """

    def test_it_is_not_sent_out_for_ever(self):
        async def task(world):
            return await play_stream(world, "/note/bad")

        play = run_entry(task, hosts=3, engines="ppppddd")
        self.assertGreater(play.crashes, 0)
        self.assertLessEqual(play.sends_after, MOST_SENDS_AFTER)

    def test_it_ends_no_more_than_three_engines(self):
        async def task(world):
            return await play_stream(world, "/brief/bad")

        play = run_entry(task, hosts=3, engines="ppppddd")
        self.assertLessEqual(play.crashes, MOST_CRASHES)


class InnocentTest(unittest.TestCase):
    """Requests that only seem to end replicas."""

    def test_out_again_once_replicas_turn_out_to_live(self):
        """All engines break off for seconds: their connections are reset.

        One caller comes again and again meanwhile. Once other callers are answered by
        engines whose entries would have lapsed, none of them has ended.
        """

        async def task(world):
            for replica in world.replicas.values():
                replica.faults = [Fault.RESET] * 40
            for number in range(4):
                await world.ask("/note/x", f"r{number}", headers=prompt_headers())
            held = await world.ask("/note/x", "held", headers=prompt_headers())
            await trio.sleep(LAPSE_HEARTBEATS * HEARTBEAT_SECONDS)
            for replica in world.replicas.values():
                replica.faults = []
            for number in range(20):
                other = f"/note/{number}"
                await world.ask(other, f"o{number}", headers=prompt_headers())
            again = await world.ask("/note/x", "again", headers=prompt_headers())
            return held.status, again.status

        found = run_entry(task, engines="ppdd")
        self.assertEqual(found, (503, 200))
