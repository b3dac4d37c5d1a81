"""Targets of the own interface that refuse a call and ask for rest."""

import unittest

import trio

from berylshift.ids import TargetName
from berylshift.messages.retry_after import seconds_of
from berylshift.process.knowledge.health import Health
from berylshift.request.messages import Outcome
from berylshift.tests.world import call_service, plain_call, run_world, small_rows

REST_SECONDS = 10.0
TARGET = TargetName("engine-1")


class RestingServiceTest(unittest.TestCase):
    """One of three replicas refuses for the whole time."""

    def test_a_replica_that_asks_for_rest_gets_it(self):
        """Guards against a refusal that weighs the same whatever it asks for."""

        async def task(world):
            resting = next(iter(world.replicas.values()))
            resting.script.refuse = True
            resting.script.rest_seconds = REST_SECONDS
            outcomes = []
            for _ in range(90):
                end = await call_service(world.hosts["host-1"], plain_call())
                outcomes.append(end.ending.outcome)
                await trio.sleep(0.08)
            return resting.refused, set(outcomes)

        refused, outcomes = run_world(task, small_rows(replicas=3))
        self.assertLessEqual(refused, 1)
        self.assertEqual(outcomes, {Outcome.COMPLETE})


class HealthRestTest(unittest.TestCase):
    """What is kept of a target's word."""

    def setUp(self):
        self.health = Health()
        self.health.asked_for_rest(TARGET, 3.0, 10.0)

    def test_it_holds_whatever_else_ends_well(self):
        self.health.succeeded(TARGET)
        self.assertFalse(self.health.usable(TARGET, 12.9))
        self.assertEqual(self.health.suspended(12.9), [TARGET])
        self.assertTrue(self.health.usable(TARGET, 13.0))

    def test_a_later_word_does_not_shorten_it(self):
        self.health.asked_for_rest(TARGET, 0.5, 10.5)
        self.assertFalse(self.health.usable(TARGET, 12.9))

    def test_a_refusal_without_one_asks_for_none(self):
        health = Health()
        health.asked_for_rest(TARGET, 0.0, 10.0)
        self.assertTrue(health.usable(TARGET, 10.0))


class RetryAfterTest(unittest.TestCase):
    """The header's values."""

    def test_seconds(self):
        self.assertEqual(seconds_of("2.5"), 2.5)
        for value in (None, "", "-1", "nan", "inf", "Thu, 03 Dec 2026 10:00:00 GMT"):
            self.assertEqual(seconds_of(value), 0)
