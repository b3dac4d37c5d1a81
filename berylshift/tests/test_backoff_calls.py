"""Tests of native API targets that refuse a call with a Retry-After."""

import unittest

import trio

from berylshift.ids import TargetName
from berylshift.messages.retry_after import parse_retry_after
from berylshift.process.engine_state.health import Health
from berylshift.request.messages import Outcome
from berylshift.tests.world import call_service, plain_call, run_world, small_rows

RETRY_AFTER_SECONDS = 10.0
TARGET = TargetName("engine-1")


class RefusingServiceTest(unittest.TestCase):
    """One of three replicas refuses all calls."""

    def test_replica_is_not_called_before_its_retry_after(self):
        """Guards against ignoring the Retry-After of a refusal."""

        async def task(world):
            refusing = next(iter(world.replicas.values()))
            refusing.script.refuse = True
            refusing.script.retry_after = RETRY_AFTER_SECONDS
            outcomes = []
            for _ in range(90):
                end = await call_service(world.hosts["host-1"], plain_call())
                outcomes.append(end.result.outcome)
                await trio.sleep(0.08)
            return refusing.refused, set(outcomes)

        refused, outcomes = run_world(task, small_rows(replicas=3))
        self.assertLessEqual(refused, 1)
        self.assertEqual(outcomes, {Outcome.COMPLETE})


class HealthBackoffTest(unittest.TestCase):
    """How a target's Retry-After is stored."""

    def setUp(self):
        self.health = Health()
        self.health.back_off(TARGET, 3.0, 10.0)

    def test_backoff_outlasts_later_successes(self):
        self.health.record_success(TARGET)
        self.assertFalse(self.health.is_usable(TARGET, 12.9))
        self.assertEqual(self.health.suspended_targets(12.9), [TARGET])
        self.assertTrue(self.health.is_usable(TARGET, 13.0))

    def test_later_refusal_does_not_shorten_the_backoff(self):
        self.health.back_off(TARGET, 0.5, 10.5)
        self.assertFalse(self.health.is_usable(TARGET, 12.9))

    def test_refusal_without_retry_after_causes_no_backoff(self):
        health = Health()
        health.back_off(TARGET, 0.0, 10.0)
        self.assertTrue(health.is_usable(TARGET, 10.0))


class RetryAfterTest(unittest.TestCase):
    """Values of the Retry-After header."""

    def test_seconds(self):
        self.assertEqual(parse_retry_after("2.5"), 2.5)
        for value in (None, "", "-1", "nan", "inf", "Thu, 03 Dec 2026 10:00:00 GMT"):
            self.assertEqual(parse_retry_after(value), 0)
