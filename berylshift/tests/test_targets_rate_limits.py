"""A replica's limit, kept by many hosts without a message between them."""

import random
import unittest

from berylshift.ids import DomainName, HostName, InstanceId
from berylshift.process.targets.limit_shares import LEAST_HOLDERS, LimitShares
from berylshift.process.targets.rate_limits import MOST_SAVED_TURNS, RateLimits
from berylshift.store.host_rows import HostRecord
from berylshift.tests.limit_load import WINDOW_SECONDS, most_allowed

TARGET = InstanceId("i-1")
SIZES = (1, 2, 3, 4, 9, 22, 79, 195, 370)
LIMITS = (0.5, 2.6, 20.0)
DOMAINS = 4
ASSUMED = 32


def host_rows(count: int) -> list[HostRecord]:
    """Return hosts in a few failure domains."""
    return [
        HostRecord(f"host-{number}", "a:1", f"domain-{number % DOMAINS}")
        for number in range(count)
    ]


class Fleet:
    """Hosts that each keep one replica's limit."""

    def __init__(self, count: int, limit: float, seed: int = 1):
        """Have all hosts told of the limit at time 0."""
        rows = host_rows(count)
        domain = DomainName("domain-0")
        self.rng = random.Random(seed)
        self.hosts = []
        for row in rows:
            shares = LimitShares(HostName(row.host), lambda: rows, ASSUMED)
            limits = RateLimits(
                lambda name, rate, shares=shares: shares.share(name, domain, rate),
                random.Random(self.rng.random()),
            )
            limits.set_limit(TARGET, limit, 0.0)
            self.hosts.append(limits)
        self.sent: list[float] = []

    def load(self, per_second: float, start: float, end: float) -> None:
        """Have callers come; half of them to a tenth of the hosts."""
        busy = self.hosts[: max(1, len(self.hosts) // 10)]
        now = start
        while (now := now + self.rng.expovariate(per_second)) < end:
            hosts = busy if self.rng.random() < 0.5 else self.hosts
            host = self.rng.choice(hosts)
            if host.wait(TARGET, now) == 0:
                host.sent(TARGET, now)
                self.sent.append(now)

    def most_in_window(self) -> int:
        """Return the most requests in a window."""
        most, first = 0, 0
        for last, at in enumerate(self.sent):
            while self.sent[first] <= at - WINDOW_SECONDS:
                first += 1
            most = max(most, last - first + 1)
        return most


class SumTest(unittest.TestCase):
    """What all hosts send together."""

    def test_the_limit_is_kept_by_few_hosts_and_by_many(self):
        """Guards against shares whose sum grows with the hosts."""
        for count in SIZES:
            for limit in LIMITS:
                fleet = Fleet(count, limit)
                fleet.load(min(3 * count, 100), 0, 60)
                with self.subTest(hosts=count, limit=limit):
                    self.assertLessEqual(fleet.most_in_window(), most_allowed(limit))

    def test_most_of_the_limit_is_used_where_callers_come(self):
        """Guards against replicas that stand idle though their limit has room."""
        for count in SIZES:
            for limit in LIMITS:
                if limit > count:
                    continue
                fleet = Fleet(count, limit)
                fleet.load(3 * count, 0, 20)
                with self.subTest(hosts=count, limit=limit):
                    self.assertGreater(len(fleet.sent) / 20, limit / 2)

    def test_turns_are_not_saved_up_while_no_callers_come(self):
        """Guards against a burst of all hosts at the first swing after a rest."""
        for count in SIZES:
            for limit in LIMITS:
                fleet = Fleet(count, limit)
                fleet.load(0.01, 0, 600)
                fleet.load(max(20 * count, 100), 600, 602)
                with self.subTest(hosts=count, limit=limit):
                    self.assertLessEqual(fleet.most_in_window(), most_allowed(limit))

    def test_a_named_limit_that_changes_with_each_answer_is_kept(self):
        """Guards against turns that begin anew with each change of a limit."""
        fleet = Fleet(9, 2.6)
        for second in range(40):
            for host in fleet.hosts:
                host.set_limit(TARGET, 2.6 - 0.01 * (second % 2), second)
            fleet.load(30, second, second + 1)
        self.assertLessEqual(fleet.most_in_window(), most_allowed(2.6))


class LimitTest(unittest.TestCase):
    """One host's knowledge of a limit."""

    def setUp(self):
        shares = LimitShares(HostName("host-0"), lambda: host_rows(1), ASSUMED)
        domain = DomainName("domain-0")
        self.limits = RateLimits(
            lambda name, rate: shares.share(name, domain, rate), random.Random(1)
        )
        self.limits.set_limit(TARGET, 2.0, 10.0)

    def test_what_is_closed_follows_turns_and_words(self):
        """Guards against an answer that is kept for longer than it holds."""
        self.limits.sent(TARGET, 20.0)
        self.limits.sent(TARGET, 20.0)
        self.assertEqual(self.limits.closed(20.1), [TARGET])
        self.assertEqual(self.limits.closed(20.49), [TARGET])
        self.assertEqual(self.limits.closed(20.5), [])
        self.limits.sent(TARGET, 20.5)
        self.assertEqual(self.limits.closed(20.6), [TARGET])
        self.limits.set_limit(TARGET, 20.0, 20.6)
        self.assertEqual(self.limits.closed(20.61), [])
        self.limits.sent(TARGET, 20.61)
        self.limits.lift(TARGET, 20.62)
        self.assertEqual(self.limits.closed(20.62), [])

    def test_an_answer_that_names_none_lifts_it(self):
        self.assertTrue(self.limits.lift(TARGET, 10.1))
        self.assertEqual(self.limits.wait(TARGET, 10.2), 0)

    def test_an_answer_to_an_older_request_lifts_nothing(self):
        """Guards against answers that overtake each other."""
        self.assertFalse(self.limits.lift(TARGET, 9.9))
        self.limits.sent(TARGET, 10.2)
        self.assertGreater(self.limits.wait(TARGET, 10.3), 0)

    def test_turns_come_at_the_limits_pace(self):
        self.limits.sent(TARGET, 20.0)
        self.limits.sent(TARGET, 20.0)
        self.assertAlmostEqual(self.limits.wait(TARGET, 20.1), 0.4)
        self.assertEqual(self.limits.wait(TARGET, 20.5), 0)
        self.assertEqual(self.limits.closed(20.1), [TARGET])

    def test_a_turn_that_is_used_late_puts_off_the_next_one_by_less(self):
        """Guards against shares that are half used since callers come at random."""
        saved = MOST_SAVED_TURNS * 0.5
        self.limits.sent(TARGET, 20.0)
        self.assertAlmostEqual(self.limits.wait(TARGET, 20.0), 0.5 - saved)
        self.limits.sent(TARGET, 20.5 - saved)
        self.assertAlmostEqual(self.limits.wait(TARGET, 20.5 - saved), 0.5)

    def test_callers_come_back_when_some_host_may_send(self):
        self.limits.sent(TARGET, 20.0)
        self.limits.sent(TARGET, 20.0)
        self.assertAlmostEqual(self.limits.retry_after(TARGET, 20.1), 0.4)
        self.assertEqual(self.limits.retry_after(InstanceId("other"), 20.1), 0)

    def test_a_limit_of_nothing_is_tried_again(self):
        self.limits.set_limit(TARGET, 0.0, 30.0)
        self.limits.sent(TARGET, 30.0)
        self.assertGreater(self.limits.wait(TARGET, 40.0), 0)
        self.assertEqual(self.limits.wait(TARGET, 100.0), 0)

    def test_a_replica_that_is_gone_leaves_nothing(self):
        self.limits.forget(TARGET)
        self.assertEqual(len(self.limits), 0)


class ShareTest(unittest.TestCase):
    """Which hosts hold a limit."""

    def test_hosts_of_the_replicas_domain_hold_it_first(self):
        rows = host_rows(40)
        holders = [
            row
            for row in rows
            if LimitShares(HostName(row.host), lambda: rows, ASSUMED)
            .share(TARGET, DomainName("domain-1"), 2.6)
            .is_held
        ]
        self.assertEqual(len(holders), LEAST_HOLDERS + 2)
        self.assertEqual({row.domain for row in holders}, {"domain-1"})

    def test_all_shares_together_are_the_whole(self):
        for count in SIZES:
            rows = host_rows(count)
            parts = [
                LimitShares(HostName(row.host), lambda rows=rows: rows, ASSUMED)
                .share(TARGET, None, 2.6)
                .part
                for row in rows
            ]
            with self.subTest(hosts=count):
                self.assertAlmostEqual(sum(parts), 1.0)

    def test_a_host_that_knows_no_others_takes_little(self):
        """Guards against hosts that start while the store is away."""
        found = LimitShares(HostName("host-0"), lambda: None, ASSUMED).share(
            TARGET, None, 2.6
        )
        self.assertFalse(found.is_held)
        self.assertLess(found.part, 0.01)
