"""Targets of the own interface that refuse a call and ask to back off."""

import unittest

import trio

from berylshift.ids import TargetName
from berylshift.messages.retry_after import seconds_of
from berylshift.process.engine_state.health import Health
from berylshift.request.messages import Outcome
from berylshift.tests.world import call_service, plain_call, run_world, small_rows

RETRY_AFTER_SECONDS = 10.0
TARGET = TargetName("engine-1")


class RefusingServiceTest(unittest.TestCase):
    """One of three replicas refuses for the whole time."""

    def test_a_replica_is_left_alone_until_its_retry_after(self):
        """Guards against a refusal that weighs the same whatever it asks for."""

        async def task(world):
            refusing = next(iter(world.replicas.values()))
            refusing.script.refuse = True
            refusing.script.retry_after = RETRY_AFTER_SECONDS
            outcomes = []
            for _ in range(90):
                end = await call_service(world.hosts["host-1"], plain_call())
                outcomes.append(end.ending.outcome)
                await trio.sleep(0.08)
            return refusing.refused, set(outcomes)

        refused, outcomes = run_world(task, small_rows(replicas=3))
        self.assertLessEqual(refused, 1)
        self.assertEqual(outcomes, {Outcome.COMPLETE})


class HealthBackoffTest(unittest.TestCase):
    """What is kept of a target's word."""

    def setUp(self):
        self.health = Health()
        self.health.back_off(TARGET, 3.0, 10.0)

    def test_it_holds_whatever_else_ends_well(self):
        self.health.note_success(TARGET)
        self.assertFalse(self.health.is_usable(TARGET, 12.9))
        self.assertEqual(self.health.suspended_targets(12.9), [TARGET])
        self.assertTrue(self.health.is_usable(TARGET, 13.0))

    def test_a_later_word_does_not_shorten_it(self):
        self.health.back_off(TARGET, 0.5, 10.5)
        self.assertFalse(self.health.is_usable(TARGET, 12.9))

    def test_a_refusal_without_one_asks_for_none(self):
        health = Health()
        health.back_off(TARGET, 0.0, 10.0)
        self.assertTrue(health.is_usable(TARGET, 10.0))


class RetryAfterTest(unittest.TestCase):
    """The header's values."""

    def test_seconds(self):
        self.assertEqual(seconds_of("2.5"), 2.5)
        for value in (None, "", "-1", "nan", "inf", "Thu, 03 Dec 2026 10:00:00 GMT"):
            self.assertEqual(seconds_of(value), 0)
