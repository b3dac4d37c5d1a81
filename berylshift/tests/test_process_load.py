"""Tests the load view, target health, retry and store budgets, customer limits."""

import random
import unittest

from berylshift.ids import Incarnation
from berylshift.process.engine_state.health import FAILURES_UNTIL_SUSPENDED, Health
from berylshift.process.engine_state.load_view import LoadView, Share
from berylshift.process.limits.customer_limits import CustomerLimits, Demand
from berylshift.process.limits.retry_budget import RetryBudget
from berylshift.process.limits.store_budget import Priority, StoreBudget
from berylshift.targets import LoadReport, Role

RATE = 8000.0


def report(age=1.0, running=0, waiting=0, prefill=0, role=Role.MIXED, generation=1):
    """Return a load report."""
    return LoadReport(
        Incarnation(f"engine-1/{generation}"), age, role, running, waiting, prefill
    )


class LoadViewTest(unittest.TestCase):
    """Reports describe a moment in the past."""

    def setUp(self):
        self.load = LoadView(RATE)

    def test_requests_sent_since_the_report_are_added(self):
        # The report shows an idle engine, but it is a second old. Without the requests
        # sent since, the busiest engine appears idle and attracts all requests.
        self.load.record_report("engine-1", report(age=1.0), asked_at=10.0)
        for number in range(5):
            self.load.record_sent("engine-1", f"a{number}", "nestwatch", 2000, 9.5)
        estimate = self.load.estimate("engine-1", 10.0)
        self.assertEqual(estimate.streams, 5)
        self.assertEqual(estimate.prefill_tokens, 10000)

    def test_requests_in_the_report_are_not_added_twice(self):
        self.load.record_sent("engine-1", "a1", "nestwatch", 2000, 5.0)
        self.load.record_first_token("engine-1", "a1", 5.5)
        self.load.record_report("engine-1", report(running=1), asked_at=10.0)
        self.assertEqual(self.load.estimate("engine-1", 10.0).streams, 1)

    def test_open_attempts_of_peers_are_added(self):
        self.load.record_report("engine-1", report(), asked_at=10.0)
        shares = [Share("engine-1", "nestwatch", 7, 3000)]
        self.load.record_peer_shares("host-2", shares, 10.0)
        self.assertEqual(self.load.estimate("engine-1", 11.0).streams, 7)

    def test_old_shares_of_peers_expire(self):
        shares = [Share("engine-1", "nestwatch", 7, 3000)]
        self.load.record_peer_shares("host-2", shares, 10.0)
        self.assertEqual(self.load.estimate("engine-1", 30.0).streams, 0)

    def test_prefill_backlog_shrinks_with_time(self):
        self.load.record_report(
            "engine-1", report(age=0.0, prefill=16000), asked_at=10.0
        )
        self.assertEqual(self.load.estimate("engine-1", 11.0).prefill_tokens, 8000)
        self.assertEqual(self.load.estimate("engine-1", 13.0).prefill_tokens, 0)

    def test_late_report_does_not_replace_a_newer_one(self):
        self.load.record_report("engine-1", report(age=0.0, running=9), asked_at=10.0)
        self.load.record_report("engine-1", report(age=5.0, running=1), asked_at=10.5)
        self.assertEqual(self.load.report("engine-1").running, 9)

    def test_engine_that_is_changing_has_no_role(self):
        changing = LoadReport(Incarnation("e/1"), 0.0, Role.PREFILL, changing=True)
        self.load.record_report("engine-1", changing, asked_at=10.0)
        self.assertIs(self.load.role("engine-1"), Role.UNKNOWN)

    def test_load_is_zero_after_all_attempts_ended(self):
        for number in range(4):
            self.load.record_sent("engine-1", f"a{number}", "nestwatch", 100, 1.0)
        self.load.record_first_token("engine-1", "a0", 1.1)
        for number in range(4):
            self.load.record_ended("engine-1", f"a{number}", 2.0)
            self.load.record_ended("engine-1", f"a{number}", 2.0)
        estimate = self.load.estimate("engine-1", 2.0)
        self.assertEqual((estimate.streams, estimate.prefill_tokens), (0, 0))


class HealthTest(unittest.TestCase):
    """A target that fails fast must not appear cheap."""

    def setUp(self):
        self.health = Health()

    def fail(self, now: float) -> None:
        self.health.record_failure("engine-1", now)

    def test_consecutive_failures_suspend(self):
        self.fail(1.0)
        self.assertTrue(self.health.is_usable("engine-1", 1.0))
        self.fail(1.0)
        self.assertFalse(self.health.is_usable("engine-1", 1.1))

    def test_one_call_probes_a_suspended_target(self):
        for _ in range(FAILURES_UNTIL_SUSPENDED):
            self.fail(1.0)
        self.assertTrue(self.health.is_usable("engine-1", 2.0))
        self.health.record_start("engine-1")
        self.assertFalse(self.health.is_usable("engine-1", 2.0))

    def test_each_failure_suspends_for_longer(self):
        for _ in range(6):
            self.fail(1.0)
        self.assertFalse(self.health.is_usable("engine-1", 5.0))

    def test_success_ends_a_suspension(self):
        for _ in range(6):
            self.fail(1.0)
        self.health.record_success("engine-1")
        self.assertTrue(self.health.is_usable("engine-1", 1.0))

    def test_cancelled_probe_allows_another(self):
        for _ in range(FAILURES_UNTIL_SUSPENDED):
            self.fail(1.0)
        self.health.record_start("engine-1")
        self.health.record_cancelled("engine-1")
        self.assertTrue(self.health.is_usable("engine-1", 2.0))


class RetryBudgetTest(unittest.TestCase):
    """Failures must not multiply the load."""

    def test_retries_are_a_share_of_first_attempts(self):
        budget = RetryBudget(share=0.2, floor=0.0)
        for number in range(1000):
            budget.record_first_attempt(number / 100)
        allowed = sum(budget.try_acquire(10.0) for _ in range(1000))
        self.assertLessEqual(allowed, 10)

    def test_a_total_outage_adds_at_most_the_share(self):
        budget = RetryBudget(share=0.2, floor=1.0)
        retries = 0
        for number in range(2000):
            now = number / 100
            budget.record_first_attempt(now)
            retries += budget.try_acquire(now)
        self.assertLessEqual(retries, 0.2 * 2000 + 20 + 10)

    def test_the_floor_allows_retries_on_an_idle_host(self):
        budget = RetryBudget(share=0.2, floor=2.0)
        self.assertTrue(budget.try_acquire(0.0))


class StoreBudgetTest(unittest.TestCase):
    """Leases and confirmations take precedence over other calls."""

    def setUp(self):
        self.budget = StoreBudget(10.0, random.Random(1))

    def test_low_priority_leaves_tokens_for_leases(self):
        taken = sum(
            self.budget.wait_seconds(Priority.UPKEEP, 0.0) == 0 for _ in range(20)
        )
        self.assertLessEqual(taken, 5)
        self.assertEqual(self.budget.wait_seconds(Priority.LEASE, 0.0), 0)

    def test_failures_block_all_calls_but_leases(self):
        self.budget.record_failure(0.0)
        self.assertGreater(self.budget.wait_seconds(Priority.CONFIRMATION, 0.0), 0)
        self.assertEqual(self.budget.wait_seconds(Priority.LEASE, 0.0), 0)

    def test_backoff_grows_and_differs_between_processes(self):
        waits = set()
        for seed in range(20):
            budget = StoreBudget(10.0, random.Random(seed))
            for _ in range(6):
                budget.record_failure(0.0)
            waits.add(round(budget.wait_seconds(Priority.TABLE, 0.0), 3))
        self.assertGreater(len(waits), 15)
        self.assertGreaterEqual(min(waits), 1.5)

    def test_success_unblocks_calls(self):
        self.budget.record_failure(0.0)
        self.budget.record_success()
        self.assertEqual(self.budget.wait_seconds(Priority.TABLE, 0.0), 0)


class CustomerLimitsTest(unittest.TestCase):
    """A customer's limit holds across hosts without coordination."""

    def run_hosts(self, count, rates, limit, seconds, is_connected=True) -> int:
        """Offer ``rates`` requests a second at each host; return those admitted."""
        hosts = [CustomerLimits() for _ in range(count)]
        for host in hosts:
            host.set_limits({"hobart": limit})
            host.set_hosts(count, is_connected, count - 1 if is_connected else 0)
        admitted = 0
        step = 0.01
        for tick in range(int(seconds / step)):
            now = tick * step
            if is_connected and tick % 100 == 0:
                for number, host in enumerate(hosts):
                    for other in hosts:
                        if other is not host:
                            other.record_peer_demand(
                                f"h{number}", host.demands(now), now
                            )
            for number, host in enumerate(hosts):
                if random.Random(tick * 100 + number).random() < rates[number] * step:
                    admitted += host.admit("hobart", now) == 0
        return admitted

    def test_even_demand_over_nine_hosts(self):
        admitted = self.run_hosts(9, [10] * 9, limit=30, seconds=30)
        self.assertLessEqual(admitted, 30 * 30 * 1.15 + 30)
        self.assertGreaterEqual(admitted, 30 * 30 * 0.8)

    def test_all_demand_at_one_host_may_use_nearly_all_of_it(self):
        admitted = self.run_hosts(9, [90] + [0] * 8, limit=30, seconds=30)
        self.assertLessEqual(admitted, 30 * 30 * 1.15 + 30)
        self.assertGreaterEqual(admitted, 30 * 30 * 0.8)

    def test_partitioned_hosts_stay_within_the_limit(self):
        # No host hears from another. Each keeps to an equal share, so that all together
        # don't exceed the limit, however the requests are distributed.
        admitted = self.run_hosts(9, [90] * 9, limit=27, seconds=30, is_connected=False)
        self.assertLessEqual(admitted, 27 * 30 * 1.1 + 27)

    def test_a_sample_of_the_peers_is_scaled_up(self):
        # With 40 hosts, each hears from a few others. Unless their demand is scaled up
        # to all hosts, each host takes a share of the limit that is several times too
        # large.
        hosts = [CustomerLimits() for _ in range(40)]
        rng = random.Random(2)
        for host in hosts:
            host.set_limits({"hobart": 40})
            host.set_hosts(40, is_connected=True, live_peers=8)
        admitted = 0
        for tick in range(2000):
            now = tick * 0.01
            for own, host in enumerate(hosts):
                if tick % 100 == 0:
                    for step in range(1, 9):
                        number = (own + 4 * step) % 40
                        demands = hosts[number].demands(now)
                        host.record_peer_demand(f"h{number}", demands, now)
                if rng.random() < 0.05:
                    admitted += host.admit("hobart", now) == 0
        self.assertLessEqual(admitted, 1.3 * 40 * 20)
        self.assertGreaterEqual(admitted, 0.5 * 40 * 20)

    def test_customer_without_a_limit_is_admitted(self):
        limits = CustomerLimits()
        self.assertEqual(limits.admit("hobart", 0.0), 0.0)

    def test_refusal_says_when_to_retry(self):
        limits = CustomerLimits()
        limits.set_limits({"hobart": 1})
        limits.admit("hobart", 0.0)
        self.assertGreater(limits.admit("hobart", 0.0), 0.0)

    def test_old_demands_of_peers_expire(self):
        limits = CustomerLimits()
        limits.set_limits({"hobart": 10})
        limits.set_hosts(2, is_connected=True, live_peers=1)
        limits.record_peer_demand("h2", [Demand("hobart", 1000.0)], 0.0)
        admitted = sum(limits.admit("hobart", 10 + i / 100) == 0 for i in range(1000))
        self.assertGreater(admitted, 80)
