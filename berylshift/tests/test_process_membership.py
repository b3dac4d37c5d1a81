"""Tests membership and the codec of the peers' datagrams."""

import random
import unittest

from berylshift.connection.datagram_tag import DatagramTagger
from berylshift.connection.peer_codec import BadDatagramError, PeerCodec
from berylshift.ids import DomainName, HostName
from berylshift.messages.fingerprint import combine_hashes
from berylshift.messages.load_digest import CrashReport
from berylshift.process.engine_state.load_view import Share
from berylshift.process.limits.customer_limits import Demand
from berylshift.process.membership.digest import Digest, Echo, Mix
from berylshift.process.membership.members import Membership, host_of, make_incarnation
from berylshift.store.interfaces import HostEntry, HostState

ME = make_incarnation(HostName("host-1"), 1000, 1)


def incarnation(host: int, started: int = 1000):
    """Return an incarnation of a host."""
    return make_incarnation(HostName(f"host-{host}"), started, 7)


def entry(host: int, started: int = 1000, state=HostState.LIVE) -> HostEntry:
    """Return an entry of the host list."""
    name = f"host-{host}"
    return HostEntry(
        HostName(name),
        incarnation(host, started),
        DomainName("domain-1"),
        state,
        f"{name}:p",
        f"{name}:a",
    )


def digest(host: int, sequence: int, started: int = 1000, **values) -> Digest:
    """Return a datagram of a peer."""
    return Digest(
        HostName(f"host-{host}"), incarnation(host, started), sequence, 5, **values
    )


class MembershipTest(unittest.TestCase):
    """Peers that are added, removed and restarted."""

    def setUp(self):
        self.members = Membership(HostName("host-1"), ME, 5.0, random.Random(1))
        self.members.update_host_list([entry(1), entry(2), entry(3)])

    def test_old_sequence_is_dropped(self):
        # A datagram that arrives after a later one would restore an old version.
        self.members.receive(digest(2, 9), 1.0)
        self.members.receive(digest(2, 8), 2.0)
        self.assertEqual(self.members.peers["host-2"].sequence, 9)
        self.assertEqual(self.members.dropped_count, 1)

    def test_old_incarnation_is_dropped(self):
        # The process was replaced. The last datagram of its predecessor arrives after
        # the first one of its successor.
        self.members.receive(digest(2, 1, started=2000), 1.0)
        self.members.receive(digest(2, 500, started=1000), 2.0)
        self.assertEqual(self.members.peers["host-2"].incarnation, incarnation(2, 2000))

    def test_listed_successor_with_a_clock_behind_is_accepted(self):
        self.members.receive(digest(2, 5, started=2000), 1.0)
        self.members.update_host_list([entry(2, started=1500)])
        self.members.receive(digest(2, 1, started=1500), 2.0)
        self.assertEqual(self.members.peers["host-2"].incarnation, incarnation(2, 1500))

    def test_own_datagram_is_dropped(self):
        self.assertIsNone(self.members.receive(digest(1, 1), 1.0))
        self.assertNotIn("host-1", self.members.peers)

    def test_confirmation_dates_from_when_this_process_asked(self):
        self.members.record_send(HostName("host-2"), 7, 10.0)
        echo = Echo(HostName("host-1"), ME, 7)
        confirmation = self.members.receive(digest(2, 1, echoes=[echo]), 14.0)
        self.assertEqual(confirmation.asked_at, 10.0)

    def test_echo_for_a_past_incarnation_is_no_confirmation(self):
        self.members.record_send(HostName("host-2"), 7, 10.0)
        echo = Echo(HostName("host-1"), incarnation(1, 1), 7)
        self.assertIsNone(self.members.receive(digest(2, 1, echoes=[echo]), 14.0))

    def test_all_peers_are_sent_to_in_turn(self):
        targets = [item.host for _ in range(4) for item in self.members.next_peers(1)]
        self.assertEqual(sorted(targets), ["host-2", "host-2", "host-3", "host-3"])

    def test_silence_does_not_prove_that_a_process_is_replaced(self):
        self.members.receive(digest(2, 1), 1.0)
        self.assertNotIn("host-2", self.members.live_hosts(100.0))
        self.assertFalse(self.members.is_replaced(HostName("host-2"), incarnation(2)))

    def test_a_listed_successor_proves_that_a_process_is_replaced(self):
        self.members.update_host_list([entry(2, started=3000)])
        self.assertTrue(self.members.is_replaced(HostName("host-2"), incarnation(2)))
        self.assertFalse(
            self.members.is_replaced(HostName("host-2"), incarnation(2, 3000))
        )

    def test_hosts_removed_from_the_list_are_dropped(self):
        self.members.update_host_list([entry(2)])
        self.assertNotIn("host-3", self.members.peers)

    def test_leaving_hosts_are_not_counted(self):
        self.members.update_host_list([entry(2), entry(3, state=HostState.LEAVING)])
        self.assertEqual(self.members.host_count(), 2)

    def test_incarnation_names_its_host(self):
        self.assertEqual(host_of(ME), "host-1")


class CodecTest(unittest.TestCase):
    """Datagrams of unknown senders, and malformed ones."""

    def setUp(self):
        self.codec = PeerCodec("key")
        self.digest = digest(
            2,
            3,
            store_age_seconds=1.5,
            leaving=True,
            is_reply=True,
            echoes=[Echo(HostName("host-1"), ME, 4)],
            shares=[Share("engine-1", "nestwatch", 3, 512)],
            demands=[Demand("hobart", 2.5)],
            mixes=[Mix("match-note", 100.0, 50.0)],
            crashes=[CrashReport(combine_hashes(2**31, 5), 7, 0.5)],
            finished=[combine_hashes(2**31, 6)],
        )

    def test_round_trip(self):
        self.assertEqual(self.codec.decode(self.codec.encode(self.digest)), self.digest)

    def test_datagram_with_another_key_is_refused(self):
        with self.assertRaises(BadDatagramError):
            self.codec.decode(PeerCodec("other").encode(self.digest))

    def test_any_changed_byte_is_refused(self):
        data = self.codec.encode(self.digest)
        for position in range(len(data)):
            bad = bytearray(data)
            bad[position] ^= 1
            with self.assertRaises(BadDatagramError):
                self.codec.decode(bytes(bad))

    def test_malformed_and_truncated_datagrams_are_refused(self):
        data = self.codec.encode(self.digest)
        for bad in (b"", b"x", data[:20], data[:-1], bytes(64)):
            with self.assertRaises(BadDatagramError):
                self.codec.decode(bad)

    def test_malformed_body_with_a_valid_tag_is_refused(self):
        body = b"\xff" * 40
        with self.assertRaises(BadDatagramError):
            self.codec.decode(DatagramTagger("key").seal(body))

    def test_datagram_keeps_within_its_size_limit(self):
        shares = [Share(f"engine-{i}", "nestwatch", i, i) for i in range(500)]
        data = self.codec.encode(digest(2, 3, shares=shares), max_bytes=512)
        self.assertLessEqual(len(data), 512)
        self.assertGreater(len(self.codec.decode(data).shares), 0)
