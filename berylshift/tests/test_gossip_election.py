"""Election of the few hosts of a group that hold a role for all."""

import unittest

from berylshift.process.gossip.election import (
    HOLDER_TIMEOUT_SECONDS,
    MAX_DELAYED_RANKS,
    SECONDS_PER_RANK,
    Election,
    order_key,
)

HOSTS = sorted((f"host-{number}" for number in range(5)), key=order_key)


class ElectionTest(unittest.TestCase):
    """One host's view, with or without digests of the hosts before it in the order."""

    def test_first_host_in_order_takes_the_role_first(self):
        first, second = Election(HOSTS[0], 1), Election(HOSTS[1], 1)
        for rank, election in enumerate((first, second)):
            election.decide(rank, 0.0)
        now = HOLDER_TIMEOUT_SECONDS + SECONDS_PER_RANK / 2
        self.assertTrue(first.decide(0, now))
        self.assertFalse(second.decide(1, now))

    def test_holder_resigns_when_it_hears_an_earlier_holder(self):
        election = Election(HOSTS[1], 1)
        election.decide(1, 0.0)
        self.assertTrue(election.decide(1, 2.0))
        election.record_holder(HOSTS[0], 2.1)
        self.assertFalse(election.decide(1, 2.2))

    def test_holder_stays_when_it_hears_only_later_holders(self):
        election = Election(HOSTS[1], 1)
        election.decide(1, 0.0)
        election.decide(1, 2.0)
        election.record_holder(HOSTS[3], 2.1)
        self.assertTrue(election.decide(1, 2.2))

    def test_silent_holder_is_replaced_by_the_next_host(self):
        election = Election(HOSTS[1], 1)
        election.record_holder(HOSTS[0], 0.0)
        self.assertFalse(election.decide(1, 0.5))
        self.assertFalse(election.decide(1, HOLDER_TIMEOUT_SECONDS + 0.1))
        later = 0.5 + 2 * HOLDER_TIMEOUT_SECONDS + 2 * SECONDS_PER_RANK
        self.assertTrue(election.decide(1, later))

    def test_listed_hosts_that_are_gone_do_not_keep_a_role_vacant(self):
        election = Election(HOSTS[0], 1)
        election.decide(500, 0.0)
        max_delay = HOLDER_TIMEOUT_SECONDS + SECONDS_PER_RANK * MAX_DELAYED_RANKS
        self.assertTrue(election.decide(500, max_delay + 0.01))

    def test_role_for_two_is_held_by_two_hosts(self):
        election = Election(HOSTS[2], 2)
        election.decide(2, 0.0)
        election.record_holder(HOSTS[0], 1.0)
        self.assertTrue(election.decide(2, 1.5))
        election.record_holder(HOSTS[0], 1.6)
        election.record_holder(HOSTS[1], 1.6)
        self.assertFalse(election.decide(2, 1.7))
        self.assertEqual(election.holders(1.7), HOSTS[:2])


if __name__ == "__main__":
    unittest.main()
