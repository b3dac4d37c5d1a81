"""Freshness of the table version that a process holds."""

import unittest

from berylshift.version.freshness import Freshness, PeerConfirmation, View

LIMIT = 3.0


def confirmation(
    peer: int, asked_at: float, version=5, store_age=1000.0, plan=0
) -> PeerConfirmation:
    """Return a peer's confirmation; by default the peer has lost the store too."""
    return PeerConfirmation(f"host-{peer}", asked_at, version, store_age, plan)


class FreshnessTest(unittest.TestCase):
    """Nine hosts; this one holds version 5."""

    def setUp(self):
        self.fresh = Freshness(LIMIT, version=5, host_count=9)

    def ask(self, peers: range, at: float) -> None:
        for peer in peers:
            self.fresh.note_peer_query(f"host-{peer}", at)

    def test_without_a_table_there_is_no_view(self):
        self.assertIs(Freshness(LIMIT).view(0.0), View.NONE)

    def test_store_confirmation_counts_from_its_request(self):
        self.fresh.note_store_confirmation(10.0, 5)
        self.assertIs(self.fresh.view(13.0), View.FRESH)
        self.assertIs(self.fresh.view(13.1), View.STALE)

    def test_newer_head_does_not_confirm_the_view(self):
        self.fresh.note_store_confirmation(10.0, 6)
        self.assertIs(self.fresh.view(10.0), View.STALE)

    def test_majority_of_peers_confirms_while_the_store_is_down(self):
        # The store is down for all hosts. Requests must still be served, and no new
        # version can be committed meanwhile.
        self.ask(range(2, 10), 100.0)
        for peer in range(2, 7):
            self.fresh.note_peer_confirmation(confirmation(peer, 100.0))
        self.assertIs(self.fresh.view(101.0), View.FRESH)

    def test_small_partition_becomes_stale(self):
        # Three hosts reach each other, but neither the store nor the other six hosts,
        # which may already know that a target is draining. The three must not send work
        # to it.
        self.ask(range(2, 10), 100.0)
        for peer in (2, 3):
            self.fresh.note_peer_confirmation(confirmation(peer, 100.0))
        self.assertIs(self.fresh.view(101.0), View.STALE)

    def test_one_peer_that_reads_the_store_is_enough(self):
        self.ask(range(2, 10), 100.0)
        self.fresh.note_peer_confirmation(confirmation(2, 100.0, store_age=0.5))
        self.assertIs(self.fresh.view(101.0), View.FRESH)
        self.assertIs(self.fresh.view(103.0), View.STALE)

    def test_peer_with_a_newer_version_or_plan_makes_the_view_stale(self):
        self.ask(range(2, 10), 100.0)
        for peer in range(2, 9):
            self.fresh.note_peer_confirmation(confirmation(peer, 100.0))
        self.fresh.note_peer_confirmation(confirmation(9, 100.0, version=6))
        self.assertIs(self.fresh.view(101.0), View.STALE)
        self.fresh.note_peer_confirmation(confirmation(9, 100.5, plan=1))
        self.assertIs(self.fresh.view(101.0), View.STALE)

    def test_confirmations_from_before_a_pause_are_too_old(self):
        # The process was paused for a minute. The datagrams in its receive buffer
        # answer queries from before the pause and confirm nothing.
        self.ask(range(2, 10), 100.0)
        for peer in range(2, 10):
            self.fresh.note_peer_confirmation(confirmation(peer, 100.0))
        self.assertIs(self.fresh.view(160.0), View.STALE)

    def test_partitioned_region_of_a_large_system_becomes_stale(self):
        # 53 of 370 hosts are partitioned from the others. The hosts that are asked are
        # a sample of all hosts, so few respond: the region must stop routing by an old
        # table.
        self.fresh.host_count = 370
        self.ask(range(2, 14), 100.0)
        for peer in (2, 3):
            self.fresh.note_peer_confirmation(confirmation(peer, 100.0))
        self.assertIs(self.fresh.view(101.0), View.STALE)

    def test_too_small_a_sample_confirms_nothing(self):
        self.ask(range(2, 4), 100.0)
        for peer in (2, 3):
            self.fresh.note_peer_confirmation(confirmation(peer, 100.0))
        self.assertIs(self.fresh.view(101.0), View.STALE)
