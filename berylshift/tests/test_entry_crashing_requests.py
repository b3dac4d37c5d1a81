"""Tests requests that crash each replica that runs them."""

import unittest

import trio

from berylshift.stand_ins.entry_replica import Fault
from berylshift.tests.crash_scenario import (
    ENTRY_TTL_SECONDS,
    MAX_CRASHES,
    MAX_SENDS_AFTER,
    RESTART_SECONDS,
    CrashScenario,
)
from berylshift.tests.entry_world import ENGINES, prompt_headers, run_entry

RUN_SECONDS = 20.0


async def run_stream(world, path: str, pause: float = 0.5) -> CrashScenario:
    """Run a stream that crashes engines, among other streams."""
    scenario = CrashScenario(world, path, headers=prompt_headers(block="bad"))
    world.fleet_state.crash_paths.add(path)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(scenario.watch_sends)
        nursery.start_soon(world.restart_crashed, RESTART_SECONDS, ENTRY_TTL_SECONDS)
        async with trio.open_nursery() as callers:
            callers.start_soon(
                scenario.bad_caller, pause, RUN_SECONDS, len(world.hosts)
            )
            callers.start_soon(scenario.other_callers, "/note/", 0.1, RUN_SECONDS)
        nursery.cancel_scope.cancel()
    return scenario


class CrashingStreamTest(unittest.TestCase):
    """Three hosts and seven engines, three of which decode.

    Guards against one caller that crashes engine after engine. An engine crashes 50 ms
    after it starts to run that caller's request, and everything that runs there fails.
    Hosts that blame the engine only, and forget the request after the attempt, send it
    to the next engine when the caller retries at another host: ten engines crashed one
    after the other, while prompts of the same size were in flight at seven hosts, and
    callers of all streams were cut off or got 502.
    """

    def test_it_is_not_sent_forever(self):
        async def task(world):
            return await run_stream(world, "/note/bad")

        scenario = run_entry(task, hosts=3, engines="ppppddd")
        self.assertGreater(scenario.crashes, 0)
        self.assertLessEqual(scenario.sends_after, MAX_SENDS_AFTER)

    def test_it_crashes_no_more_than_three_engines(self):
        async def task(world):
            return await run_stream(world, "/brief/bad")

        scenario = run_entry(task, hosts=3, engines="ppppddd")
        self.assertLessEqual(scenario.crashes, MAX_CRASHES)


class PrefillTest(unittest.TestCase):
    """Prefill takes 0.4 s, and the request may be quarantined in the meantime."""

    def test_it_is_quarantined_after_its_prefill(self):
        """Guards against checking the quarantine only when a request arrives.

        A caller sends four attempts within a second, to two hosts. Each is prefilled
        before the first one crashes an engine. The third and the fourth must not be
        sent on, although no crash was known when they arrived.
        """

        async def task(world):
            for replica in world.replicas.values():
                replica.prefill_seconds = 0.4
            world.fleet_state.crash_paths.add("/note/bad")
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
            return len(world.fleet_state.crashes), replies

        crashes, replies = run_entry(task, hosts=2, plain=0, engines="ppppdddd")
        self.assertEqual((crashes, replies), (2, [502, 502, 503, 503]))


class FalseSuspicionTest(unittest.TestCase):
    """Requests that only seem to crash replicas."""

    def test_a_caller_whose_connections_are_reset_is_served(self):
        """Guards against quarantining a request for connection resets.

        Replicas reset one connection after another and accept new ones at once. A
        quarantine would refuse the caller for a minute, although the next engine would
        respond.
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

    def test_a_stream_on_a_leaving_replica_is_not_suspect(self):
        """Two replicas shut down on purpose, each with a stream of the same caller."""

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

    def test_callers_of_a_common_page_are_served_despite_crashes(self):
        """Many callers ask for the same page; replicas crash for another reason.

        Each of them has some of these calls in flight. The page itself completes all
        the time.
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


class AllRouteKindsTest(unittest.TestCase):
    """Requests without a prompt, whether or not they may be retried."""

    def check(self, path: str, method: str) -> CrashScenario:
        async def task(world):
            scenario = CrashScenario(world, path, method)
            world.fleet_state.crash_paths.add(path)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(scenario.watch_sends)
                nursery.start_soon(
                    world.restart_crashed, RESTART_SECONDS, ENTRY_TTL_SECONDS
                )
                await scenario.bad_caller(0.3, RUN_SECONDS, len(world.hosts))
                nursery.cancel_scope.cancel()
            return scenario

        scenario = run_entry(task, hosts=3, plain=4)
        self.assertGreater(scenario.crashes, 0)
        self.assertLessEqual(scenario.crashes, MAX_CRASHES)
        self.assertLessEqual(scenario.sends_after, MAX_SENDS_AFTER)
        return scenario

    def test_a_retryable_call(self):
        self.check("/look/bad", "GET")

    def test_an_at_most_once_call(self):
        """The caller retries although it must not: each attempt runs at most once."""
        scenario = self.check("/book/bad", "POST")
        self.assertEqual(len(scenario.sends), scenario.crashes)
