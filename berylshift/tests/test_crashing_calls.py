"""Calls of the own interface that end each target which runs them."""

import itertools
import unittest
from collections.abc import Awaitable, Callable

import trio

from berylshift.request.messages import Ending, Outcome, Reason
from berylshift.tests.world import (
    call_service,
    complete,
    model_call,
    plain_call,
    run_world,
    small_rows,
    wanted,
)

MOST_CRASHES = 3
PLAY_SECONDS = 20.0
# From the beginning of a run until it ends its target, and until that is back.
LOOK_SECONDS = 0.02
BACK_SECONDS = 3.0
BAD_BODY = b"ends what runs it"


async def come_again(ask: Callable[[int], Awaitable[Ending]]) -> list[Ending]:
    """Have one caller come again every half a second, at each host in turn."""
    endings = []
    end = trio.current_time() + PLAY_SECONDS
    for number in itertools.count():
        if trio.current_time() >= end:
            return endings
        endings.append(await ask(number))
        await trio.sleep(0.5)


class CrashingCompletionTest(unittest.TestCase):
    """A prompt ends each engine that decodes it; its caller comes again.

    Callers of all completions wait for engines that are back seconds later, and end
    again. The hosts forgot the prompt with its call, and within a call, once a token of
    the answer was there, waited for the next engine without end. Evidence: 88 ends in
    20 s, of four engines that are back after 3 s each time.
    """

    def play(self):
        async def task(world):
            bad = model_call(1)
            crashes = []

            async def end_engines():
                while True:
                    await trio.sleep(LOOK_SECONDS)
                    for engine in world.engines.values():
                        if engine.alive and engine.runs(bad.prompt):
                            crashes.append(engine.name)
                            engine.crash(trio.current_time())
                            nursery.start_soon(back, engine)

            async def back(engine):
                await trio.sleep(BACK_SECONDS)
                engine.restart(trio.current_time())

            async def ask(number):
                host = world.hosts[f"host-{number % 2 + 1}"]
                ending, _ = await complete(host, model_call(1, seconds=5.0))
                return ending

            async with trio.open_nursery() as nursery:
                nursery.start_soon(end_engines)
                endings = await come_again(ask)
                await trio.sleep(BACK_SECONDS)
                other = model_call(2)
                answer = await complete(world.hosts["host-1"], other)
                nursery.cancel_scope.cancel()
            return crashes, endings, answer, wanted(other)

        return run_world(task, small_rows(engines=4))

    def test_it_ends_no_more_than_three_engines(self):
        crashes, endings, (ending, text), answer = self.play()
        self.assertGreater(len(crashes), 0)
        self.assertLessEqual(len(crashes), MOST_CRASHES)
        self.assertEqual((ending.outcome, text), (Outcome.COMPLETE, answer))
        last = endings[-1]
        self.assertEqual(last.reason, Reason.QUARANTINED)
        self.assertIs(last.outcome, Outcome.NOT_RUN)


class LivingTargetTest(unittest.TestCase):
    """Targets that lose answers, and live."""

    def test_a_lookup_whose_answers_are_lost_is_not_held_back(self):
        async def task(world):
            for replica in world.replicas.values():
                replica.script.lose_answers = 2
            first = await call_service(world.hosts["host-1"], plain_call())
            for replica in world.replicas.values():
                replica.script.lose_answers = 0
            again = await call_service(world.hosts["host-2"], plain_call())
            return first.ending.outcome, again.ending.outcome

        found = run_world(task, small_rows(replicas=3))
        self.assertEqual(found, (Outcome.UNKNOWN, Outcome.COMPLETE))


class CrashingPlainCallTest(unittest.TestCase):
    """The same for plain calls; each ends the replica that runs it."""

    def play(self, keys: Callable[[int], str]):
        async def task(world):
            for replica in world.replicas.values():
                replica.script.crashes_on = BAD_BODY

            async def ask(number):
                host = world.hosts[f"host-{number % 2 + 1}"]
                call = plain_call(keys(number), BAD_BODY)
                return (await call_service(host, call)).ending

            endings = await come_again(ask)
            ended = sum(not replica.alive for replica in world.replicas.values())
            return ended, endings

        return run_world(task, small_rows(replicas=6))

    def test_a_lookup(self):
        ended, endings = self.play(lambda number: "")
        self.assertLessEqual(ended, MOST_CRASHES)
        self.assertEqual(endings[-1].reason, Reason.QUARANTINED)

    def test_a_confirmation_under_a_new_key_each_time(self):
        ended, endings = self.play(lambda number: f"key-{number}")
        self.assertLessEqual(ended, MOST_CRASHES)
        self.assertEqual(endings[-1].reason, Reason.QUARANTINED)
        self.assertIs(endings[-1].outcome, Outcome.NOT_RUN)
