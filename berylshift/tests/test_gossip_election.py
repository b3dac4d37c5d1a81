"""Roles that few hosts of a group hold for all."""

import unittest

from berylshift.process.gossip.election import (
    MOST_PLACES,
    PLACE_SECONDS,
    SILENT_SECONDS,
    Election,
    rank,
)

HOSTS = sorted((f"host-{number}" for number in range(5)), key=rank)


class ElectionTest(unittest.TestCase):
    """One host's view; the first one in the order is heard or not."""

    def test_the_first_in_the_order_takes_the_role_first(self):
        first, second = Election(HOSTS[0], 1), Election(HOSTS[1], 1)
        for place, election in enumerate((first, second)):
            election.decide(place, 0.0)
        now = SILENT_SECONDS + PLACE_SECONDS / 2
        self.assertTrue(first.decide(0, now))
        self.assertFalse(second.decide(1, now))

    def test_a_holder_that_hears_one_before_it_leaves_the_role(self):
        election = Election(HOSTS[1], 1)
        election.decide(1, 0.0)
        self.assertTrue(election.decide(1, 2.0))
        election.heard(HOSTS[0], 2.1)
        self.assertFalse(election.decide(1, 2.2))

    def test_a_holder_stays_if_only_later_ones_are_heard(self):
        election = Election(HOSTS[1], 1)
        election.decide(1, 0.0)
        election.decide(1, 2.0)
        election.heard(HOSTS[3], 2.1)
        self.assertTrue(election.decide(1, 2.2))

    def test_a_holder_that_falls_silent_is_followed_by_the_next(self):
        election = Election(HOSTS[1], 1)
        election.heard(HOSTS[0], 0.0)
        self.assertFalse(election.decide(1, 0.5))
        self.assertFalse(election.decide(1, SILENT_SECONDS + 0.1))
        later = 0.5 + 2 * SILENT_SECONDS + 2 * PLACE_SECONDS
        self.assertTrue(election.decide(1, later))

    def test_many_hosts_long_gone_do_not_keep_a_role_empty(self):
        election = Election(HOSTS[0], 1)
        election.decide(500, 0.0)
        most = SILENT_SECONDS + PLACE_SECONDS * MOST_PLACES
        self.assertTrue(election.decide(500, most + 0.01))

    def test_two_seats_are_held_by_two(self):
        election = Election(HOSTS[2], 2)
        election.decide(2, 0.0)
        election.heard(HOSTS[0], 1.0)
        self.assertTrue(election.decide(2, 1.5))
        election.heard(HOSTS[0], 1.6)
        election.heard(HOSTS[1], 1.6)
        self.assertFalse(election.decide(2, 1.7))
        self.assertEqual(election.holders(1.7), HOSTS[:2])


if __name__ == "__main__":
    unittest.main()
