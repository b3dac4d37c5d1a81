"""Tests of the table's freshness."""

import unittest

from berylshift.version.freshness import Freshness, PeerWord, View

LIMIT = 3.0


def word(peer: int, asked_at: float, version=5, store_age=1000.0, plan=0) -> PeerWord:
    """Return a peer's word; by default one that has lost the store too."""
    return PeerWord(f"host-{peer}", asked_at, version, store_age, plan)


class FreshnessTest(unittest.TestCase):
    """Nine hosts; this one holds version 5."""

    def setUp(self):
        self.fresh = Freshness(LIMIT, version=5, hosts=9)

    def ask(self, peers: range, at: float) -> None:
        for peer in peers:
            self.fresh.peer_asked(f"host-{peer}", at)

    def test_no_table_is_no_view(self):
        self.assertIs(Freshness(LIMIT).view(0.0), View.NONE)

    def test_store_confirms_from_when_it_was_asked(self):
        self.fresh.store_confirmed(10.0, 5)
        self.assertIs(self.fresh.view(13.0), View.FRESH)
        self.assertIs(self.fresh.view(13.1), View.STALE)

    def test_a_newer_head_confirms_nothing(self):
        self.fresh.store_confirmed(10.0, 6)
        self.assertIs(self.fresh.view(10.0), View.STALE)

    def test_store_down_for_all_is_carried_by_most_of_the_peers(self):
        # The store is down for everyone. Callers must still be served, and no
        # new version can be accepted meanwhile.
        self.ask(range(2, 10), 100.0)
        for peer in range(2, 7):
            self.fresh.peer_confirmed(word(peer, 100.0))
        self.assertIs(self.fresh.view(101.0), View.FRESH)

    def test_a_host_cut_off_with_few_others_turns_stale(self):
        # Three hosts see each other, but neither the store nor the other six, for
        # whom a target may be leaving. They must not send it work.
        self.ask(range(2, 10), 100.0)
        for peer in (2, 3):
            self.fresh.peer_confirmed(word(peer, 100.0))
        self.assertIs(self.fresh.view(101.0), View.STALE)

    def test_one_peer_that_sees_the_store_is_enough(self):
        self.ask(range(2, 10), 100.0)
        self.fresh.peer_confirmed(word(2, 100.0, store_age=0.5))
        self.assertIs(self.fresh.view(101.0), View.FRESH)
        self.assertIs(self.fresh.view(103.0), View.STALE)

    def test_a_peer_with_a_newer_version_or_plan_makes_the_view_stale(self):
        self.ask(range(2, 10), 100.0)
        for peer in range(2, 9):
            self.fresh.peer_confirmed(word(peer, 100.0))
        self.fresh.peer_confirmed(word(9, 100.0, version=6))
        self.assertIs(self.fresh.view(101.0), View.STALE)
        self.fresh.peer_confirmed(word(9, 100.5, plan=1))
        self.assertIs(self.fresh.view(101.0), View.STALE)

    def test_words_from_before_a_pause_are_old_ones(self):
        # The process was paused for a minute. The datagrams that lay in its
        # buffer answer questions of before, and confirm nothing.
        self.ask(range(2, 10), 100.0)
        for peer in range(2, 10):
            self.fresh.peer_confirmed(word(peer, 100.0))
        self.assertIs(self.fresh.view(160.0), View.STALE)

    def test_a_region_cut_off_from_a_large_system_turns_stale(self):
        # 53 of 370 hosts lose all others. Those asked are a sample of all hosts,
        # so few answer: the region must not go on by an old table.
        self.fresh.hosts = 370
        self.ask(range(2, 14), 100.0)
        for peer in (2, 3):
            self.fresh.peer_confirmed(word(peer, 100.0))
        self.assertIs(self.fresh.view(101.0), View.STALE)

    def test_too_small_a_sample_confirms_nothing(self):
        self.ask(range(2, 4), 100.0)
        for peer in (2, 3):
            self.fresh.peer_confirmed(word(peer, 100.0))
        self.assertIs(self.fresh.view(101.0), View.STALE)
