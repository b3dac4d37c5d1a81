"""Tests of the native API with targets that are silent, and go on later."""

import unittest

import trio

from berylshift.request.messages import Outcome
from berylshift.tests.world import (
    call_service,
    complete,
    expected_text,
    model_call,
    plain_call,
    run_world,
)

HOST = "host-1"
# Longer than the timeouts before the first token, between tokens and of services.
FIRST_TOKEN_PAUSE_SECONDS = 22.0
TOKEN_PAUSE_SECONDS = 7.0
SLOW_SERVICE_SECONDS = 8.0
SILENT_SERVICE_SECONDS = 100.0


def spend_retry_budget(world) -> None:
    """Leave no budget for retries, now and later."""
    budget = world.hosts[HOST].app.handler._deps.completions.retry_budget
    budget.try_acquire = lambda now: False


class EngineLog:
    """The attempts that the engines of a world began, and those cut short."""

    def __init__(self, world):
        self.begun: list[str] = []
        self.cancelled: list[str] = []
        for engine in world.engines.values():
            self._watch(engine)

    def _watch(self, engine) -> None:
        submit, cancel = engine.submit, engine.cancel

        def logged_submit(call, now, wake):
            self.begun.append(call.attempt)
            return submit(call, now, wake)

        def logged_cancel(attempt, now):
            if attempt in engine._streams:
                self.cancelled.append(attempt)
            cancel(attempt, now)

        engine.submit, engine.cancel = logged_submit, logged_cancel


class SilentEnginesTest(unittest.TestCase):
    """Completions whose engines are silent for longer than the timeouts."""

    def complete_with(self, disturb, after: float, **call):
        """Complete a call, ``disturb(world, engine)`` ``after`` it began."""

        async def task(world):
            log, results = EngineLog(world), []
            request = model_call(1, **call)

            async def ask():
                results.append(await complete(world.hosts[HOST], request))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await trio.sleep(after)
                load = world.hosts[HOST].app.load
                name = next(n for n in world.engines if load.open_here(n))
                await disturb(world, world.engines[name])
            (ending, text) = results[0]
            self.assertIs(ending.outcome, Outcome.COMPLETE, ending)
            self.assertEqual(text, expected_text(request))
            return log

        return run_world(task)

    async def pause_all(self, world, seconds: float) -> None:
        for name in world.engines:
            world.network.pause(name)
        await trio.sleep(seconds)
        for name in world.engines:
            world.network.resume(name)

    def test_all_engines_pause_amid_their_tokens(self):
        """Guards against a response whose sound engine is given up for a pause."""

        async def disturb(world, engine):
            await self.pause_all(world, TOKEN_PAUSE_SECONDS)

        log = self.complete_with(disturb, 1.0, output=400, seconds=60.0)
        self.assertNotIn("r1.1", log.cancelled)

    def test_all_engines_pause_before_their_first_token(self):
        """Guards against a response that fails since no other engine can be placed."""

        async def disturb(world, engine):
            await self.pause_all(world, FIRST_TOKEN_PAUSE_SECONDS)

        log = self.complete_with(disturb, 0.01, seconds=60.0)
        self.assertNotIn("r1.1", log.cancelled)

    def test_pause_with_a_spent_retry_budget(self):
        """Guards against an attempt that is given up without budget for another."""

        async def disturb(world, engine):
            spend_retry_budget(world)
            await self.pause_all(world, FIRST_TOKEN_PAUSE_SECONDS)

        log = self.complete_with(disturb, 0.01, seconds=60.0)
        self.assertEqual((log.begun, log.cancelled), (["r1.1"], []))

    def test_one_engine_pauses_before_its_first_token(self):
        """Guards against a call that waits for a silent engine beside a sound one."""

        async def disturb(world, engine):
            world.network.pause(engine.name)

        log = self.complete_with(disturb, 0.01, output=1500, seconds=90.0)
        self.assertEqual((log.begun, log.cancelled), (["r1.1", "r1.2"], ["r1.1"]))

    def test_one_engine_pauses_amid_its_tokens_and_goes_on_too_late(self):
        """Guards against tokens of two engines in one response."""

        async def disturb(world, engine):
            world.network.pause(engine.name)
            await trio.sleep(TOKEN_PAUSE_SECONDS)
            world.network.resume(engine.name)

        log = self.complete_with(disturb, 1.0, output=600, seconds=60.0)
        self.assertEqual((log.begun, log.cancelled), (["r1.1", "r1.2"], ["r1.1"]))

    def test_first_engine_goes_on_before_the_second_one_answers(self):
        """Guards against an engine that works on although another one answers."""

        async def disturb(world, engine):
            other = next(e for e in world.engines.values() if e is not engine)
            world.network.pause(engine.name)
            # Its tokens do not arrive, but it takes the call.
            begin = other.submit

            def submit(call, now, wake):
                world.network.pause(other.name)
                return begin(call, now, wake)

            other.submit = submit
            await trio.sleep(TOKEN_PAUSE_SECONDS)
            world.network.resume(engine.name)
            await trio.sleep(0.5)
            world.network.resume(other.name)

        log = self.complete_with(disturb, 1.0, output=600, seconds=60.0)
        self.assertEqual((log.begun, log.cancelled), (["r1.1", "r1.2"], ["r1.2"]))


class SilentServicesTest(unittest.TestCase):
    """Calls to services that answer later than ``service_timeout``."""

    def call(self, key="", prepare=lambda world: None, **services):
        """Return a call's outcome, duration and runs; ``services``: their seconds."""

        async def task(world):
            for name, service in world.services.items():
                default = SLOW_SERVICE_SECONDS
                service.script.seconds = services.get(name.replace("-", "_"), default)
            prepare(world)
            start = trio.current_time()
            call = plain_call(key, seconds=30.0)
            found = await call_service(world.hosts[HOST], call)
            seconds = trio.current_time() - start
            runs = sum(service.calls for service in world.services.values())
            return found.result.outcome, seconds, runs

        return run_world(task)

    def test_lookup_that_all_replicas_answer_late(self):
        """Guards against a lookup that is cut at each replica in turn."""
        outcome, seconds, _ = self.call()
        self.assertIs(outcome, Outcome.COMPLETE)
        self.assertLess(seconds, SLOW_SERVICE_SECONDS + 0.1)

    def test_lookup_with_a_spent_retry_budget(self):
        """Guards against a lookup that is cut without budget for another attempt."""
        outcome, _, runs = self.call(prepare=spend_retry_budget)
        self.assertEqual((outcome, runs), (Outcome.COMPLETE, 1))

    def test_lookup_goes_on_at_another_replica(self):
        """Guards against a lookup that waits for a silent replica only."""
        for silent in ("booking_1", "booking_2"):
            other = "booking_2" if silent == "booking_1" else "booking_1"
            seconds = {silent: SILENT_SERVICE_SECONDS, other: 0.02}
            outcome, took, _ = self.call(**seconds)
            with self.subTest(silent=silent):
                self.assertIs(outcome, Outcome.COMPLETE)
                self.assertLess(took, SLOW_SERVICE_SECONDS)

    def test_lookup_without_any_answer_ends_at_its_deadline(self):
        """Guards against a lookup that is never answered."""
        silent = SILENT_SERVICE_SECONDS
        outcome, seconds, _ = self.call(booking_1=silent, booking_2=silent)
        self.assertIs(outcome, Outcome.UNKNOWN)
        self.assertLess(seconds, 36.0)

    def test_confirmation_answered_late_but_in_time_for_its_caller(self):
        """Guards against "unknown" while the service still works on a confirmation."""
        outcome, _, runs = self.call("k")
        self.assertEqual((outcome, runs), (Outcome.COMPLETE, 1))


if __name__ == "__main__":
    unittest.main()
