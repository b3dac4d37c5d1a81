"""Requests that end each replica that runs them."""

import unittest

import trio

from berylshift.tests.crash_play import (
    BACK_SECONDS,
    LAPSE_SECONDS,
    MOST_CRASHES,
    MOST_SENDS_AFTER,
    CrashPlay,
)
from berylshift.tests.entry_world import prompt_headers, run_entry

PLAY_SECONDS = 20.0


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
    An engine ends 50 ms after it begins to run that caller's request; the hosts hold
    that against the engine and forget the request with its try. It comes again, at
    another host, and is read and sent to the next engine; ten end one after the other,
    each with all that runs there.
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
