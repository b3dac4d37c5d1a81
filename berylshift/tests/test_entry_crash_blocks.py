"""Tests prompt blocks that crash each engine that decodes them."""

import unittest

import trio

from berylshift.tests.crash_block_scenario import (
    ENTRY_TTL_SECONDS,
    MAX_SENDS_AFTER,
    RESTART_SECONDS,
    STABLE_SECONDS,
    CrashBlockScenario,
    headers_for,
    sound_blocks,
)
from berylshift.tests.entry_world import EntryWorld, run_entry

BEGIN_SECONDS = 5.0
DEADLY_SECONDS = 20.0
HOSTS = 4
# A stream of one event ends in half of the time until its engine crashes.
SHORT_EVENT_SECONDS = 0.025
ENGINES = "ppdddddd"


async def play(world: EntryWorld, scenario: CrashBlockScenario, *faults) -> None:
    """Play sound requests throughout, deadly ones and ``faults`` after a while."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(scenario.watch_sends)
        nursery.start_soon(world.restart_crashed, RESTART_SECONDS, ENTRY_TTL_SECONDS)
        async with trio.open_nursery() as callers:
            callers.start_soon(scenario.sound_callers, BEGIN_SECONDS + DEADLY_SECONDS)
            await trio.sleep(BEGIN_SECONDS)
            for fault in faults:
                callers.start_soon(fault, world, scenario)
            if scenario.blocks:
                callers.start_soon(scenario.deadly_callers, DEADLY_SECONDS)
        nursery.cancel_scope.cancel()


def run(*faults, **options) -> CrashBlockScenario:
    """Run a scenario with ``faults`` and its ``options``."""

    async def task(world):
        scenario = CrashBlockScenario(world, **options)
        await play(world, scenario, *faults)
        return scenario

    return run_entry(task, hosts=HOSTS, plain=0, engines=ENGINES)


async def start_hosts(world: EntryWorld, scenario: CrashBlockScenario) -> None:
    """Start two hosts, one after the other, while the requests come."""
    for _ in range(2):
        await trio.sleep(5.0)
        number = len(world.host_nurseries)
        scenario.out_until[number] = trio.current_time() + STABLE_SECONDS
        await world.add_host()


async def cut_hosts(world: EntryWorld, scenario: CrashBlockScenario) -> None:
    """Cut one host after the other off from the others for some seconds."""
    for number in range(HOSTS):
        world.links[number].is_cut = True
        scenario.out_until[number] = float("inf")
        await trio.sleep(3.0)
        world.links[number].is_cut = False
        scenario.out_until[number] = trio.current_time() + STABLE_SECONDS


async def crash_engines(world: EntryWorld, scenario: CrashBlockScenario) -> None:
    """Crash an engine every 1.5 s, for no reason that lies in its requests."""
    for _ in range(12):
        alive = [rep for rep in world.replicas.values() if rep.alive]
        decoding = [rep for rep in alive if rep.phase.value == "decode"]
        if decoding:
            await scenario.rng.choice(decoding).crash("outside")
        await trio.sleep(1.5)


class CrashBlockTest(unittest.TestCase):
    """Guards against a block that crashes engine after engine in ever new requests."""

    def check(self, scenario: CrashBlockScenario) -> None:
        for block in scenario.blocks:
            with self.subTest(block=block):
                self.assertLessEqual(scenario.sends_after(block), MAX_SENDS_AFTER)
        begin = scenario.decided_at + 2 * STABLE_SECONDS
        before = scenario.served_share(0.0, BEGIN_SECONDS)
        after = scenario.served_share(begin, BEGIN_SECONDS + DEADLY_SECONDS)
        self.assertGreaterEqual(after, before / 2)

    def test_block_at_any_place_but_the_last_is_not_sent_forever(self):
        """Guards against counting crashes by whole requests."""
        for place in (0, 2, None):
            with self.subTest(place=place):
                self.check(run(place=place))

    def test_two_such_blocks_are_not_sent_forever(self):
        """Guards against a decision that allows for one cause only."""
        self.check(run(place=None, blocks=("dead", "beef")))

    def test_hosts_that_start_or_are_cut_off_meanwhile_do_not_send_it(self):
        """Guards against hosts that learn of a block by their own crashes alone."""
        for fault in (start_hosts, cut_hosts):
            with self.subTest(fault=fault.__name__):
                self.check(run(fault, place=None))

    def test_block_whose_short_answers_end_before_the_crash(self):
        """Guards against completions that clear the block that is the cause."""

        async def task(world):
            world.fleet_state.background = world.nursery
            for replica in world.replicas.values():
                replica.event_seconds = SHORT_EVENT_SECONDS
            scenario = CrashBlockScenario(world, place=None, deadly_pieces=1)
            await play(world, scenario)
            return scenario

        self.check(run_entry(task, hosts=HOSTS, plain=0, engines=ENGINES))


class SoundBlockTest(unittest.TestCase):
    """Engines crash for other reasons."""

    def test_no_sound_block_is_blamed(self):
        """Guards against refusals of sound requests beside crashes."""

        async def task(world):
            scenario = CrashBlockScenario(world, blocks=())
            await play(world, scenario, crash_engines)
            replies = [
                await world.ask(
                    "/note/x", f"last-{number}", headers=headers_for(blocks, number)
                )
                for number in range(12)
                for blocks in [sound_blocks(number)]
            ]
            return scenario, [reply.status for reply in replies]

        scenario, statuses = run_entry(task, hosts=HOSTS, plain=0, engines=ENGINES)
        self.assertEqual(len(scenario.crashes), 12)
        self.assertEqual(scenario.refused, 0)
        self.assertGreaterEqual(scenario.served_share(0.0, 99.0), 0.95)
        self.assertEqual(set(statuses), {200})
