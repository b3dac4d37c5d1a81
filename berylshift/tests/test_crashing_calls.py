"""Tests of native API calls that crash each target that runs them."""

import itertools
import os.path
import unittest
from collections.abc import Awaitable, Callable

import msgspec
import trio

from berylshift.request.messages import NativeResult, Outcome, Reason
from berylshift.stand_ins.text import make_prompt
from berylshift.tests.world import (
    call_service,
    complete,
    expected_text,
    model_call,
    plain_call,
    run_world,
    small_rows,
)

MAX_CRASHES = 3
SCENARIO_SECONDS = 20.0
# Time from the start of a run to its target's crash, and from there to the restart.
CRASH_DELAY_SECONDS = 0.02
RESTART_SECONDS = 3.0
BAD_BODY = b"ends what runs it"


async def retry_repeatedly(
    ask: Callable[[int], Awaitable[NativeResult]],
) -> list[NativeResult]:
    """Have one caller retry every half second, at each host in turn."""
    endings = []
    end = trio.current_time() + SCENARIO_SECONDS
    for number in itertools.count():
        if trio.current_time() >= end:
            return endings
        endings.append(await ask(number))
        await trio.sleep(0.5)


class CrashingCompletionTest(unittest.TestCase):
    """Guards against a prompt that crashes engine after engine.

    The prompt crashes each engine that decodes it, and its caller retries. If hosts
    forget the prompt after each call, or keep resuming a started response at further
    engines, all callers wait for engines to restart. Without a quarantine, 88 crashes
    were seen in 20 s, with four engines that restart after 3 s each.
    """

    def run_scenario(self):
        async def task(world):
            bad = model_call(1)
            crashes = []

            async def crash_engines():
                while True:
                    await trio.sleep(CRASH_DELAY_SECONDS)
                    for engine in world.engines.values():
                        if engine.alive and engine.is_decoding(bad.prompt):
                            crashes.append(engine.name)
                            engine.crash(trio.current_time())
                            nursery.start_soon(restart, engine)

            async def restart(engine):
                await trio.sleep(RESTART_SECONDS)
                engine.restart(trio.current_time())

            async def ask(number):
                host = world.hosts[f"host-{number % 2 + 1}"]
                ending, _ = await complete(host, model_call(1, seconds=5.0))
                return ending

            async with trio.open_nursery() as nursery:
                nursery.start_soon(crash_engines)
                endings = await retry_repeatedly(ask)
                await trio.sleep(RESTART_SECONDS)
                other = model_call(2)
                answer = await complete(world.hosts["host-1"], other)
                nursery.cancel_scope.cancel()
            return crashes, endings, answer, expected_text(other)

        return run_world(task, small_rows(engines=4))

    def test_prompt_crashes_no_more_than_three_engines(self):
        crashes, endings, (ending, text), answer = self.run_scenario()
        self.assertGreater(len(crashes), 0)
        self.assertLessEqual(len(crashes), MAX_CRASHES)
        self.assertEqual((ending.outcome, text), (Outcome.COMPLETE, answer))
        last = endings[-1]
        self.assertEqual(last.reason, Reason.QUARANTINED)
        self.assertIs(last.outcome, Outcome.NOT_RUN)


class _PrefixScenario:
    """Calls whose prompts begin alike and crash engines, beside sound ones."""

    def __init__(self, world):
        self.world = world
        self.crashes, self.endings, self.sound = [], [], []
        prompts = [self._prompt(number) for number in range(2)]
        self.prefix = os.path.commonprefix(prompts)

    def _prompt(self, number: int) -> str:
        return make_prompt("deadly", str(number), 2000, 100)

    async def crash_engines(self, nursery):
        while True:
            await trio.sleep(CRASH_DELAY_SECONDS)
            for engine in self.world.engines.values():
                running = engine.decoding_prompts() if engine.alive else []
                if any(prompt.startswith(self.prefix) for prompt in running):
                    self.crashes.append(engine.name)
                    engine.crash(trio.current_time())
                    nursery.start_soon(self._restart, engine)

    async def _restart(self, engine):
        await trio.sleep(RESTART_SECONDS)
        engine.restart(trio.current_time())

    async def ask(self, number):
        host = self.world.hosts[f"host-{number % 2 + 1}"]
        call = model_call(number, seconds=10.0)
        call = msgspec.structs.replace(call, prompt=self._prompt(number))
        ending, _ = await complete(host, call)
        self.endings.append(ending)

    async def ask_soundly(self):
        for number in itertools.count(1000):
            host = self.world.hosts[f"host-{number % 2 + 1}"]
            ending, _ = await complete(host, model_call(number, seconds=10.0))
            self.sound.append((trio.current_time(), ending.outcome))
            await trio.sleep(0.2)


class CrashingPrefixTest(unittest.TestCase):
    """Guards against a common prefix of new prompts that crashes engine after engine.

    Each call has an end of its own, so no prompt comes twice.
    """

    def run_scenario(self):
        async def task(world):
            scenario = _PrefixScenario(world)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(scenario.crash_engines, nursery)
                nursery.start_soon(scenario.ask_soundly)
                for number in range(40):
                    nursery.start_soon(scenario.ask, number)
                    await trio.sleep(0.5)
                nursery.cancel_scope.cancel()
            return scenario.crashes, scenario.endings, scenario.sound

        return run_world(task, small_rows(engines=4))

    def test_prefix_crashes_no_more_than_six_engines(self):
        """Two engines may be running it when the third one crashes."""
        crashes, endings, sound = self.run_scenario()
        self.assertGreaterEqual(len(crashes), MAX_CRASHES)
        self.assertLessEqual(len(crashes), 6)
        self.assertEqual(endings[-1].reason, Reason.QUARANTINED)
        late = [outcome for at, outcome in sound if at >= SCENARIO_SECONDS / 2]
        self.assertEqual(set(late), {Outcome.COMPLETE})


class LiveTargetTest(unittest.TestCase):
    """Targets that lose responses, but have not crashed."""

    def test_lookup_with_lost_responses_is_not_quarantined(self):
        async def task(world):
            for replica in world.replicas.values():
                replica.script.lose_answers = 2
            first = await call_service(world.hosts["host-1"], plain_call())
            for replica in world.replicas.values():
                replica.script.lose_answers = 0
            again = await call_service(world.hosts["host-2"], plain_call())
            return first.result.outcome, again.result.outcome

        found = run_world(task, small_rows(replicas=3))
        self.assertEqual(found, (Outcome.UNKNOWN, Outcome.COMPLETE))


class CrashingPlainCallTest(unittest.TestCase):
    """The same for service calls; each crashes the replica that runs it."""

    def run_scenario(self, keys: Callable[[int], str]):
        async def task(world):
            for replica in world.replicas.values():
                replica.script.crashes_on = BAD_BODY

            async def ask(number):
                host = world.hosts[f"host-{number % 2 + 1}"]
                call = plain_call(keys(number), BAD_BODY)
                return (await call_service(host, call)).result

            endings = await retry_repeatedly(ask)
            crashed = sum(not replica.alive for replica in world.replicas.values())
            return crashed, endings

        return run_world(task, small_rows(replicas=6))

    def test_a_lookup(self):
        crashed, endings = self.run_scenario(lambda number: "")
        self.assertLessEqual(crashed, MAX_CRASHES)
        self.assertEqual(endings[-1].reason, Reason.QUARANTINED)

    def test_a_confirmation_under_a_new_key_each_time(self):
        crashed, endings = self.run_scenario(lambda number: f"key-{number}")
        self.assertLessEqual(crashed, MAX_CRASHES)
        self.assertEqual(endings[-1].reason, Reason.QUARANTINED)
        self.assertIs(endings[-1].outcome, Outcome.NOT_RUN)
