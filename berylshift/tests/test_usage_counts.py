"""Tests that usage counts are exact however digests arrive."""

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from berylshift.connection.load_codec import LoadCodec
from berylshift.ids import CustomerName
from berylshift.messages.load_digest import LoadDigest
from berylshift.messages.usage import CustomerCount, RunCount, customer_hash
from berylshift.process.usage.counter_gossip import (
    MAX_COUNTS_PER_DIGEST,
    RESEND_SECONDS,
)
from berylshift.process.usage.usage_counts import WINDOWS_KEPT, UsageCounts
from berylshift.tests.support import EXPLORE
from berylshift.tests.usage_support import no_usage, usage_counts

LARGE, SMALL = CustomerName("large"), CustomerName("small")
WINDOW = 100
# A time within that window, in seconds.
DURING = WINDOW * 5.0 + 1.0


def counts_of(counts: UsageCounts, window: int = WINDOW) -> dict[str, int]:
    """Return a report's counts by customer."""
    return {item.customer: item.count for item in counts.report(window).counts}


def send(
    sender: UsageCounts, receiver: UsageCounts, host: str, domain: str, now: float
):
    """Send the counts of one host to another."""
    receiver.merge_host(host, domain, sender.start, sender.take_own_counts(now))


class UsageCountsTest(unittest.TestCase):
    """The counts of one host."""

    def setUp(self):
        self.counts = usage_counts("h1")
        self.counts.add_names([LARGE, SMALL])

    def test_counts_by_customer_and_window(self):
        for at in (DURING, DURING, DURING + 5):
            self.counts.record_start(LARGE, at)
        self.counts.record_start(SMALL, DURING)
        self.assertEqual(counts_of(self.counts), {LARGE: 2, SMALL: 1})
        self.assertEqual(counts_of(self.counts, WINDOW + 1), {LARGE: 1})

    def test_a_digest_received_twice_counts_once(self):
        """Guards against doubled usage: counts are resent until a window is done."""
        other = usage_counts("h2", start=7)
        other.record_start(LARGE, DURING)
        sent = other.take_own_counts(1.0)
        for _ in range(3):
            self.counts.merge_host("h2", "z1", 7, sent)
        self.assertEqual(counts_of(self.counts), {LARGE: 1})

    def test_counts_of_a_restarted_host_add_up(self):
        """Guards against losing the counts that a host sent before it stopped."""
        for start, many in ((7, 3), (8, 2)):
            other = usage_counts("h2", start=start)
            for _ in range(many):
                other.record_start(LARGE, DURING)
            send(other, self.counts, "h2", "z1", 1.0)
        self.assertEqual(counts_of(self.counts), {LARGE: 5})

    def test_a_domains_sum_and_the_counts_of_its_hosts_are_not_added(self):
        """Guards against doubled usage when hosts start to use collectors."""
        other = usage_counts("h2", "z2", 7)
        other.record_start(LARGE, DURING)
        send(other, self.counts, "h2", "z2", 1.0)
        self.counts.merge_domain("z2", (RunCount(WINDOW, customer_hash(LARGE), 4),))
        self.assertEqual(counts_of(self.counts), {LARGE: 4})

    def test_a_collector_sends_its_domains_sum(self):
        other = usage_counts("h2", "z1", 7)
        other.record_start(LARGE, DURING)
        send(other, self.counts, "h2", "z1", 1.0)
        self.counts.record_start(LARGE, DURING)
        sent = self.counts.take_domain_counts(1.0)
        self.assertEqual([item.count for item in sent], [2])

    def test_a_removed_customer_is_still_reported(self):
        self.counts.record_start(LARGE, DURING)
        self.counts.add_names([SMALL])
        self.assertEqual(counts_of(self.counts), {LARGE: 1})

    def test_late_counts_of_a_done_window_are_dropped(self):
        other = usage_counts("h2", start=7)
        other.record_start(LARGE, DURING)
        sent = other.take_own_counts(1.0)
        self.counts.mark_done(WINDOW)
        self.counts.merge_host("h2", "z1", 7, sent)
        self.assertEqual(counts_of(self.counts), {})

    def test_old_unreported_windows_are_dropped_but_not_done(self):
        """Guards against a host with a wrong clock that marks all windows as done."""
        self.counts.record_start(LARGE, DURING)
        self.counts.drop_old(DURING + 5 * (WINDOWS_KEPT + 1))
        self.assertEqual((counts_of(self.counts), self.counts.last_done), ({}, 0))

    def test_only_the_reporter_announces_a_done_window(self):
        self.counts.mark_reported(WINDOW, 1.0)
        self.assertEqual(
            (self.counts.done_to_announce(1.5), self.counts.done_to_announce(9.0)),
            (100, 0),
        )
        self.assertTrue(self.counts.reported_last)
        self.counts.mark_done(WINDOW + 1)
        self.assertFalse(self.counts.reported_last)

    def test_without_a_window_nothing_is_counted(self):
        disabled = no_usage()
        disabled.record_start(LARGE, DURING)
        self.assertFalse(disabled.has_updates(1.0))

    def test_changed_counts_are_sent_at_once_and_resent_later(self):
        self.counts.record_start(LARGE, DURING)
        self.assertTrue(self.counts.has_updates(1.0))
        self.assertEqual(len(self.counts.take_own_counts(1.0)), 1)
        self.assertFalse(self.counts.has_updates(1.1))
        self.assertEqual(self.counts.take_own_counts(1.1), ())
        self.assertEqual(len(self.counts.take_own_counts(1.0 + RESEND_SECONDS)), 1)

    def test_a_new_collector_receives_all_counts(self):
        """Guards against losing usage together with its collector."""
        self.counts.record_start(LARGE, DURING)
        self.counts.take_own_counts(1.0)
        self.counts.resend_own_counts()
        self.assertEqual(len(self.counts.take_own_counts(1.1)), 1)

    def test_many_counts_are_sent_in_turn(self):
        for number in range(3 * MAX_COUNTS_PER_DIGEST):
            self.counts.record_start(CustomerName(f"c{number}"), DURING)
        sent = set()
        for turn in range(3):
            sent |= {
                item.customer for item in self.counts.take_own_counts(1.0 + turn / 10)
            }
        self.assertEqual(len(sent), 3 * MAX_COUNTS_PER_DIGEST)

    @EXPLORE
    @given(st.integers(0, 2**32))
    def test_counts_converge_under_reordering_loss_and_repeats(self, seed):
        """Guards against counts that depend on how datagrams arrive."""
        rng = random.Random(seed)
        hosts = [usage_counts(f"h{n}", f"z{n % 2}", n + 1) for n in range(4)]
        expected: dict[str, int] = {}
        in_flight: list[tuple[int, tuple[RunCount, ...]]] = []
        for step in range(60):
            number = rng.randrange(4)
            customer = CustomerName(rng.choice("abc"))
            if rng.random() < 0.6:
                hosts[number].record_start(customer, DURING)
                expected[customer] = expected.get(customer, 0) + 1
            in_flight.append((number, hosts[number].take_own_counts(step * 0.5)))
            rng.shuffle(in_flight)
            self.deliver(hosts, in_flight, rng)
        for number, host in enumerate(hosts):
            host.resend_own_counts()
            in_flight = [(number, host.take_own_counts(1000.0))]
            self.deliver(hosts, in_flight, None)
        for host in hosts:
            host.add_names([CustomerName(name) for name in "abc"])
            self.assertEqual(counts_of(host), expected)

    def deliver(self, hosts, in_flight, rng) -> None:
        for number, sent in list(in_flight):
            for at, receiver in enumerate(hosts):
                if at != number and (rng is None or rng.random() < 0.3):
                    sender = hosts[number]
                    receiver.merge_host(
                        f"h{number}", f"z{number % 2}", sender.start, sent
                    )


class DigestTest(unittest.TestCase):
    """Counts in encoded digests."""

    def test_round_trip(self):
        runs = (RunCount(353_445_120, 7, 3), RunCount(353_445_121, 2**32 - 1, 70_000))
        message = LoadDigest(
            "h1", 3, (), started_ms=1_764_748_800_123, runs=runs, usage_done=353_445_119
        )
        codec = LoadCodec("key")
        self.assertEqual(codec.decode(codec.encode(message, 1400)), message)

    def test_a_report_lists_customers_in_order(self):
        counts = usage_counts()
        for name in ("b", "a"):
            counts.record_start(CustomerName(name), DURING)
        self.assertEqual(
            counts.report(WINDOW).counts, (CustomerCount("a", 1), CustomerCount("b", 1))
        )


if __name__ == "__main__":
    unittest.main()
