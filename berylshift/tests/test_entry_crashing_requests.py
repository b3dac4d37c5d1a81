"""Requests that end each replica that runs them."""

import unittest

import trio

from berylshift.stand_ins.entry_replica import Fault
from berylshift.tests.crash_play import (
    BACK_SECONDS,
    LAPSE_SECONDS,
    MOST_CRASHES,
    MOST_SENDS_AFTER,
    CrashPlay,
)
from berylshift.tests.entry_world import ENGINES, prompt_headers, run_entry

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


class ReadingTest(unittest.TestCase):
    """Prompts take 0.4 s to be read; what hosts know changes meanwhile."""

    def test_it_is_held_back_after_it_was_read(self):
        """A caller comes four times within a second, at two hosts.

        Each try is read before the first one ends an engine. The third and the fourth
        must not be sent on, although nothing was known when they came.
        """

        async def task(world):
            for replica in world.replicas.values():
                replica.read_seconds = 0.4
            world.kept.crashing.add("/note/bad")
            replies = []

            async def ask(number):
                reply = await world.ask(
                    "/note/bad", f"bad-{number}", number % 2, headers=prompt_headers()
                )
                replies.append(reply.status)

            async with trio.open_nursery() as nursery:
                for number in range(4):
                    nursery.start_soon(ask, number)
                    await trio.sleep(0.15)
            return len(world.kept.crashes), replies

        crashes, replies = run_entry(task, hosts=2, plain=0, engines="ppppdddd")
        self.assertEqual((crashes, replies), (2, [502, 502, 503, 503]))


class InnocentTest(unittest.TestCase):
    """Requests that only seem to end replicas."""

    def test_a_caller_whose_connections_are_reset_is_served(self):
        """Replicas reset one connection after the other, and live.

        They take new ones at once. Held back for it, the caller would be refused for a
        minute, although the next engine would answer.
        """

        async def task(world):
            for replica in world.replicas.values():
                replica.faults = [Fault.RESET] * 2
            for number in range(4):
                await world.ask("/note/x", f"r{number}", headers=prompt_headers())
            for replica in world.replicas.values():
                replica.faults = []
            return (
                await world.ask("/note/x", "again", headers=prompt_headers())
            ).status

        self.assertEqual(run_entry(task, engines="ppdd"), 200)

    def test_what_breaks_with_a_replica_that_leaves_is_not_suspect(self):
        """Two replicas leave on purpose, each with the same caller's stream open."""

        async def task(world):
            for number in range(2):
                answering = [r for r in world.replicas.values() if r.alive][1:]
                link = world.connect()
                await link.send("/note/x", f"r{number}", headers=prompt_headers(40))
                await trio.sleep(0.3)
                left = next(r for r in answering if r.runs and r.runs[-1].ended is None)
                world.list_replica(left, ENGINES, draining=True)
                await trio.sleep(0.2)
                await left.crash("on purpose")
                await link.read()
            return (
                await world.ask("/note/x", "again", headers=prompt_headers())
            ).status

        self.assertEqual(run_entry(task, plain=0, engines="pddd"), 200)

    def test_callers_of_one_page_are_served_although_replicas_end(self):
        """Many callers ask for the same page; replicas end for another reason.

        Each has some of these calls under way. The page itself finishes all the time.
        """

        async def task(world):
            await world.ask("/look/page", "before", method="GET", body=b"")
            for replica in list(world.replicas.values())[:2]:
                replica.work_seconds = 5.0
                link = world.connect()
                await link.send("/look/page", "under-way", method="GET", body=b"")
                await trio.sleep(0.05)
                await replica.crash("another reason")
            world.add_replica("plain-9")
            await trio.sleep(0.2)
            return (await world.ask("/look/page", "r", method="GET", body=b"")).status

        self.assertEqual(run_entry(task, plain=2), 200)


class EndsAllKindsTest(unittest.TestCase):
    """Requests without a prompt, whether or not they may be repeated."""

    def check(self, path: str, method: str) -> CrashPlay:
        async def task(world):
            play = CrashPlay(world, path, method)
            world.kept.crashing.add(path)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(play.watch_sends)
                nursery.start_soon(world.restart_crashed, BACK_SECONDS, LAPSE_SECONDS)
                await play.bad_caller(0.3, PLAY_SECONDS, len(world.hosts))
                nursery.cancel_scope.cancel()
            return play

        play = run_entry(task, hosts=3, plain=4)
        self.assertGreater(play.crashes, 0)
        self.assertLessEqual(play.crashes, MOST_CRASHES)
        self.assertLessEqual(play.sends_after, MOST_SENDS_AFTER)
        return play

    def test_a_lookup(self):
        self.check("/look/bad", "GET")

    def test_a_booking(self):
        """Its caller comes again although it must not: each try runs once at most."""
        play = self.check("/book/bad", "POST")
        self.assertEqual(len(play.sends), play.crashes)
