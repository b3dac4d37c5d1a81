"""A replica's limit, kept by many hosts without messages between them."""

import random
import unittest

from berylshift.ids import DomainName, HostName, InstanceId
from berylshift.process.targets.limit_shares import MIN_MAIN_SENDERS, LimitShares
from berylshift.process.targets.rate_limits import MAX_SAVED_SLOTS, RateLimits
from berylshift.store.host_rows import HostRecord
from berylshift.tests.limit_load import WINDOW_SECONDS, max_allowed

TARGET = InstanceId("i-1")
HOST_COUNTS = (1, 2, 3, 4, 9, 22, 79, 195, 370)
LIMITS = (0.5, 2.6, 20.0)
DOMAINS = 4
ASSUMED_HOSTS = 32


def host_rows(count: int) -> list[HostRecord]:
    """Return hosts in a few failure domains."""
    return [
        HostRecord(f"host-{number}", "a:1", f"domain-{number % DOMAINS}")
        for number in range(count)
    ]


class Fleet:
    """Hosts that share one replica's limit."""

    def __init__(self, count: int, limit: float, seed: int = 1):
        """Set the limit at all hosts at time 0."""
        rows = host_rows(count)
        domain = DomainName("domain-0")
        self.rng = random.Random(seed)
        self.hosts = []
        for row in rows:
            shares = LimitShares(HostName(row.host), lambda: rows, ASSUMED_HOSTS)
            limits = RateLimits(
                lambda name, rate, shares=shares: shares.share(name, domain, rate),
                random.Random(self.rng.random()),
            )
            limits.set_limit(TARGET, limit, 0.0)
            self.hosts.append(limits)
        self.sent_at: list[float] = []

    def send(self, requests_per_second: float, start: float, end: float) -> None:
        """Send requests at random times, half of them by a tenth of the hosts."""
        busy = self.hosts[: max(1, len(self.hosts) // 10)]
        now = start
        while (now := now + self.rng.expovariate(requests_per_second)) < end:
            hosts = busy if self.rng.random() < 0.5 else self.hosts
            host = self.rng.choice(hosts)
            if host.wait(TARGET, now) == 0:
                host.record_sent(TARGET, now)
                self.sent_at.append(now)

    def max_in_window(self) -> int:
        """Return the highest number of requests in a window."""
        highest, first = 0, 0
        for last, at in enumerate(self.sent_at):
            while self.sent_at[first] <= at - WINDOW_SECONDS:
                first += 1
            highest = max(highest, last - first + 1)
        return highest


class TotalTest(unittest.TestCase):
    """The requests of all hosts together."""

    def test_limit_is_kept_by_few_and_by_many_hosts(self):
        """Guards against shares whose total grows with the number of hosts."""
        for count in HOST_COUNTS:
            for limit in LIMITS:
                fleet = Fleet(count, limit)
                fleet.send(min(3 * count, 100), 0, 60)
                with self.subTest(hosts=count, limit=limit):
                    self.assertLessEqual(fleet.max_in_window(), max_allowed(limit))

    def test_most_of_the_limit_is_used_under_load(self):
        """Guards against idle replicas although their limit allows requests."""
        for count in HOST_COUNTS:
            for limit in LIMITS:
                if limit > count:
                    continue
                fleet = Fleet(count, limit)
                fleet.send(3 * count, 0, 20)
                with self.subTest(hosts=count, limit=limit):
                    self.assertGreater(len(fleet.sent_at) / 20, limit / 2)

    def test_slots_are_not_saved_up_without_load(self):
        """Guards against a burst of all hosts at the first load after an idle time."""
        for count in HOST_COUNTS:
            for limit in LIMITS:
                fleet = Fleet(count, limit)
                fleet.send(0.01, 0, 600)
                fleet.send(max(20 * count, 100), 600, 602)
                with self.subTest(hosts=count, limit=limit):
                    self.assertLessEqual(fleet.max_in_window(), max_allowed(limit))

    def test_limit_that_changes_with_each_response_is_kept(self):
        """Guards against slots that are reset with each change of a limit."""
        fleet = Fleet(9, 2.6)
        for second in range(40):
            for host in fleet.hosts:
                host.set_limit(TARGET, 2.6 - 0.01 * (second % 2), second)
            fleet.send(30, second, second + 1)
        self.assertLessEqual(fleet.max_in_window(), max_allowed(2.6))


class LimitTest(unittest.TestCase):
    """A limit at one host."""

    def setUp(self):
        shares = LimitShares(HostName("host-0"), lambda: host_rows(1), ASSUMED_HOSTS)
        domain = DomainName("domain-0")
        self.limits = RateLimits(
            lambda name, rate: shares.share(name, domain, rate), random.Random(1)
        )
        self.limits.set_limit(TARGET, 2.0, 10.0)

    def test_blocked_replicas_follow_slots_and_limits(self):
        """Guards against a cached list that is used for too long."""
        self.limits.record_sent(TARGET, 20.0)
        self.limits.record_sent(TARGET, 20.0)
        self.assertEqual(self.limits.blocked(20.1), [TARGET])
        self.assertEqual(self.limits.blocked(20.49), [TARGET])
        self.assertEqual(self.limits.blocked(20.5), [])
        self.limits.record_sent(TARGET, 20.5)
        self.assertEqual(self.limits.blocked(20.6), [TARGET])
        self.limits.set_limit(TARGET, 20.0, 20.6)
        self.assertEqual(self.limits.blocked(20.61), [])
        self.limits.record_sent(TARGET, 20.61)
        self.limits.lift(TARGET, 20.62)
        self.assertEqual(self.limits.blocked(20.62), [])

    def test_response_without_a_limit_lifts_it(self):
        self.assertTrue(self.limits.lift(TARGET, 10.1))
        self.assertEqual(self.limits.wait(TARGET, 10.2), 0)

    def test_response_to_an_older_request_does_not_lift_it(self):
        """Guards against responses that overtake each other."""
        self.assertFalse(self.limits.lift(TARGET, 9.9))
        self.limits.record_sent(TARGET, 10.2)
        self.assertGreater(self.limits.wait(TARGET, 10.3), 0)

    def test_slots_follow_the_limit(self):
        self.limits.record_sent(TARGET, 20.0)
        self.limits.record_sent(TARGET, 20.0)
        self.assertAlmostEqual(self.limits.wait(TARGET, 20.1), 0.4)
        self.assertEqual(self.limits.wait(TARGET, 20.5), 0)
        self.assertEqual(self.limits.blocked(20.1), [TARGET])

    def test_late_use_of_a_slot_delays_the_next_one_by_less(self):
        """Guards against shares half used because requests arrive at random times."""
        saved = MAX_SAVED_SLOTS * 0.5
        self.limits.record_sent(TARGET, 20.0)
        self.assertAlmostEqual(self.limits.wait(TARGET, 20.0), 0.5 - saved)
        self.limits.record_sent(TARGET, 20.5 - saved)
        self.assertAlmostEqual(self.limits.wait(TARGET, 20.5 - saved), 0.5)

    def test_retry_after_is_when_some_host_may_send(self):
        self.limits.record_sent(TARGET, 20.0)
        self.limits.record_sent(TARGET, 20.0)
        self.assertAlmostEqual(self.limits.retry_after(TARGET, 20.1), 0.4)
        self.assertEqual(self.limits.retry_after(InstanceId("other"), 20.1), 0)

    def test_limit_of_zero_is_tried_again(self):
        self.limits.set_limit(TARGET, 0.0, 30.0)
        self.limits.record_sent(TARGET, 30.0)
        self.assertGreater(self.limits.wait(TARGET, 40.0), 0)
        self.assertEqual(self.limits.wait(TARGET, 100.0), 0)

    def test_removed_replica_is_forgotten(self):
        self.limits.forget(TARGET)
        self.assertEqual(len(self.limits), 0)


class ShareTest(unittest.TestCase):
    """Which hosts are the main senders of a limit."""

    def test_holders_are_of_the_replicas_domain_first(self):
        rows = host_rows(40)
        main_senders = [
            row
            for row in rows
            if LimitShares(HostName(row.host), lambda: rows, ASSUMED_HOSTS)
            .share(TARGET, DomainName("domain-1"), 2.6)
            .is_main_sender
        ]
        self.assertEqual(len(main_senders), MIN_MAIN_SENDERS + 2)
        self.assertEqual({row.domain for row in main_senders}, {"domain-1"})

    def test_shares_of_all_hosts_add_up_to_one(self):
        for count in HOST_COUNTS:
            rows = host_rows(count)
            fractions = [
                LimitShares(HostName(row.host), lambda rows=rows: rows, ASSUMED_HOSTS)
                .share(TARGET, None, 2.6)
                .fraction
                for row in rows
            ]
            with self.subTest(hosts=count):
                self.assertAlmostEqual(sum(fractions), 1.0)

    def test_host_without_a_host_list_takes_a_small_share(self):
        """Guards against hosts that start while the store is unavailable."""
        found = LimitShares(HostName("host-0"), lambda: None, ASSUMED_HOSTS).share(
            TARGET, None, 2.6
        )
        self.assertFalse(found.is_main_sender)
        self.assertLess(found.fraction, 0.01)
