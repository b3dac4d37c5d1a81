"""What hosts know of requests that began, however their digests come."""

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from berylshift.connection.load_codec import LoadCodec
from berylshift.ids import CustomerName
from berylshift.messages.load_digest import LoadDigest
from berylshift.messages.usage import CustomerCount, RunCount, customer_hash
from berylshift.process.usage.counter_gossip import MOST_TOLD, REPEAT_SECONDS
from berylshift.process.usage.usage_counts import WINDOWS_KEPT, UsageBook
from berylshift.tests.support import EXPLORE
from berylshift.tests.usage_support import book, no_usage

LARGE, SMALL = CustomerName("large"), CustomerName("small")
WINDOW = 100
# Within the window of that number.
DURING = WINDOW * 5.0 + 1.0


def counts_of(found: UsageBook, window: int = WINDOW) -> dict[str, int]:
    """Return a report's counts by customer."""
    return {item.customer: item.count for item in found.report(window).counts}


def tell(sender: UsageBook, hearer: UsageBook, host: str, domain: str, now: float):
    """Have a host hear what another one has to tell."""
    hearer.hear_host(host, domain, sender.start, sender.own_told(now))


class UsageBookTest(unittest.TestCase):
    """One host's knowledge."""

    def setUp(self):
        self.mine = book("h1")
        self.mine.learn_names([LARGE, SMALL])

    def test_counts_by_customer_and_window(self):
        for at in (DURING, DURING, DURING + 5):
            self.mine.began(LARGE, at)
        self.mine.began(SMALL, DURING)
        self.assertEqual(counts_of(self.mine), {LARGE: 2, SMALL: 1})
        self.assertEqual(counts_of(self.mine, WINDOW + 1), {LARGE: 1})

    def test_the_same_digest_heard_twice_counts_once(self):
        """Guards against usage doubled by repeats: counts are told again until done."""
        other = book("h2", start=7)
        other.began(LARGE, DURING)
        told = other.own_told(1.0)
        for _ in range(3):
            self.mine.hear_host("h2", "z1", 7, told)
        self.assertEqual(counts_of(self.mine), {LARGE: 1})

    def test_a_host_that_starts_again_counts_anew_and_loses_nothing(self):
        """Guards against usage lost with a host: what it told before its end counts."""
        for start, many in ((7, 3), (8, 2)):
            other = book("h2", start=start)
            for _ in range(many):
                other.began(LARGE, DURING)
            tell(other, self.mine, "h2", "z1", 1.0)
        self.assertEqual(counts_of(self.mine), {LARGE: 5})

    def test_a_domains_sum_and_its_hosts_are_not_added_up(self):
        """Guards against usage doubled where hosts change from direct to gathered."""
        other = book("h2", "z2", 7)
        other.began(LARGE, DURING)
        tell(other, self.mine, "h2", "z2", 1.0)
        self.mine.hear_domain("z2", (RunCount(WINDOW, customer_hash(LARGE), 4),))
        self.assertEqual(counts_of(self.mine), {LARGE: 4})

    def test_a_collector_tells_its_domains_sum(self):
        other = book("h2", "z1", 7)
        other.began(LARGE, DURING)
        tell(other, self.mine, "h2", "z1", 1.0)
        self.mine.began(LARGE, DURING)
        told = self.mine.domain_told(1.0)
        self.assertEqual([item.count for item in told], [2])

    def test_a_customer_that_left_is_reported_too(self):
        self.mine.began(LARGE, DURING)
        self.mine.learn_names([SMALL])
        self.assertEqual(counts_of(self.mine), {LARGE: 1})

    def test_what_is_done_is_forgotten_and_no_late_word_brings_it_back(self):
        other = book("h2", start=7)
        other.began(LARGE, DURING)
        told = other.own_told(1.0)
        self.mine.note_done(WINDOW)
        self.mine.hear_host("h2", "z1", 7, told)
        self.assertEqual(counts_of(self.mine), {})

    def test_windows_that_nobody_reports_are_forgotten_but_not_called_done(self):
        """Guards against a wrong clock that has all others believe nothing is left."""
        self.mine.began(LARGE, DURING)
        self.mine.forget_old(DURING + 5 * (WINDOWS_KEPT + 1))
        self.assertEqual((counts_of(self.mine), self.mine.done), ({}, 0))

    def test_only_the_reporter_tells_that_a_window_is_done(self):
        self.mine.reported(WINDOW, 1.0)
        self.assertEqual((self.mine.done_told(1.5), self.mine.done_told(9.0)), (100, 0))
        self.assertTrue(self.mine.reported_last)
        self.mine.note_done(WINDOW + 1)
        self.assertFalse(self.mine.reported_last)

    def test_without_a_window_nothing_is_counted(self):
        found = no_usage()
        found.began(LARGE, DURING)
        self.assertFalse(found.has_news(1.0))

    def test_changed_counts_go_at_once_and_all_again_after_a_while(self):
        self.mine.began(LARGE, DURING)
        self.assertTrue(self.mine.has_news(1.0))
        self.assertEqual(len(self.mine.own_told(1.0)), 1)
        self.assertFalse(self.mine.has_news(1.1))
        self.assertEqual(self.mine.own_told(1.1), ())
        self.assertEqual(len(self.mine.own_told(1.0 + REPEAT_SECONDS)), 1)

    def test_a_new_collector_is_told_everything(self):
        """Guards against usage lost with the collector that had gathered it."""
        self.mine.began(LARGE, DURING)
        self.mine.own_told(1.0)
        self.mine.tell_all_again()
        self.assertEqual(len(self.mine.own_told(1.1)), 1)

    def test_many_customers_are_told_in_turn(self):
        for number in range(3 * MOST_TOLD):
            self.mine.began(CustomerName(f"c{number}"), DURING)
        told = set()
        for turn in range(3):
            told |= {item.customer for item in self.mine.own_told(1.0 + turn / 10)}
        self.assertEqual(len(told), 3 * MOST_TOLD)

    @EXPLORE
    @given(st.integers(0, 2**32))
    def test_any_order_loss_and_repeat_of_digests_ends_in_the_truth(self, seed):
        """Guards against usage that depends on the way of datagrams."""
        rng = random.Random(seed)
        hosts = [book(f"h{n}", f"z{n % 2}", n + 1) for n in range(4)]
        truth: dict[str, int] = {}
        held: list[tuple[int, tuple[RunCount, ...]]] = []
        for step in range(60):
            number = rng.randrange(4)
            customer = CustomerName(rng.choice("abc"))
            if rng.random() < 0.6:
                hosts[number].began(customer, DURING)
                truth[customer] = truth.get(customer, 0) + 1
            held.append((number, hosts[number].own_told(step * 0.5)))
            rng.shuffle(held)
            self.deliver(hosts, held, rng)
        for number, found in enumerate(hosts):
            found.tell_all_again()
            held = [(number, found.own_told(1000.0))]
            self.deliver(hosts, held, None)
        for found in hosts:
            found.learn_names([CustomerName(name) for name in "abc"])
            self.assertEqual(counts_of(found), truth)

    def deliver(self, hosts, held, rng) -> None:
        for number, told in list(held):
            for at, hearer in enumerate(hosts):
                if at != number and (rng is None or rng.random() < 0.3):
                    sender = hosts[number]
                    hearer.hear_host(f"h{number}", f"z{number % 2}", sender.start, told)


class DigestTest(unittest.TestCase):
    """Counts on the wire."""

    def test_there_and_back(self):
        runs = (RunCount(353_445_120, 7, 3), RunCount(353_445_121, 2**32 - 1, 70_000))
        message = LoadDigest(
            "h1", 3, (), start=1_764_748_800_123, runs=runs, usage_done=353_445_119
        )
        codec = LoadCodec("key")
        self.assertEqual(codec.decode(codec.encode(message, 1400)), message)

    def test_a_report_names_customers_in_order(self):
        found = book()
        for name in ("b", "a"):
            found.began(CustomerName(name), DURING)
        self.assertEqual(
            found.report(WINDOW).counts, (CustomerCount("a", 1), CustomerCount("b", 1))
        )


if __name__ == "__main__":
    unittest.main()
