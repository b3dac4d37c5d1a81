"""Tests of membership and of the peers' datagrams."""

import random
import unittest

from berylshift.connection.datagram_tag import Tagger
from berylshift.connection.peer_codec import BadDatagramError, PeerCodec
from berylshift.ids import DomainName, HostName
from berylshift.messages.fingerprint import joined
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
    """Return a line of the host list."""
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
    """Peers that come, go, and come back."""

    def setUp(self):
        self.members = Membership(HostName("host-1"), ME, 5.0, random.Random(1))
        self.members.listed([entry(1), entry(2), entry(3)])

    def test_old_sequence_changes_nothing(self):
        # A datagram overtaken by a later one would bring back an old version.
        self.members.received(digest(2, 9), 1.0)
        self.members.received(digest(2, 8), 2.0)
        self.assertEqual(self.members.peers["host-2"].sequence, 9)
        self.assertEqual(self.members.dropped, 1)

    def test_old_incarnation_changes_nothing(self):
        # The host was replaced. What its predecessor sent last arrives after the
        # successor's first word.
        self.members.received(digest(2, 1, started=2000), 1.0)
        self.members.received(digest(2, 500, started=1000), 2.0)
        self.assertEqual(self.members.peers["host-2"].incarnation, incarnation(2, 2000))

    def test_successor_whose_calendar_runs_behind_is_taken_by_the_host_list(self):
        self.members.received(digest(2, 5, started=2000), 1.0)
        self.members.listed([entry(2, started=1500)])
        self.members.received(digest(2, 1, started=1500), 2.0)
        self.assertEqual(self.members.peers["host-2"].incarnation, incarnation(2, 1500))

    def test_own_datagram_is_dropped(self):
        self.assertIsNone(self.members.received(digest(1, 1), 1.0))
        self.assertNotIn("host-1", self.members.peers)

    def test_word_counts_from_when_this_process_asked(self):
        self.members.note_sent(HostName("host-2"), 7, 10.0)
        echo = Echo(HostName("host-1"), ME, 7)
        word = self.members.received(digest(2, 1, echoes=[echo]), 14.0)
        self.assertEqual(word.asked_at, 10.0)

    def test_echo_for_a_former_incarnation_is_no_word(self):
        self.members.note_sent(HostName("host-2"), 7, 10.0)
        echo = Echo(HostName("host-1"), incarnation(1, 1), 7)
        self.assertIsNone(self.members.received(digest(2, 1, echoes=[echo]), 14.0))

    def test_all_peers_are_told_in_turn(self):
        told = [item.host for _ in range(4) for item in self.members.pick(1)]
        self.assertEqual(sorted(told), ["host-2", "host-2", "host-3", "host-3"])

    def test_silence_does_not_prove_that_a_process_is_gone(self):
        self.members.received(digest(2, 1), 1.0)
        self.assertNotIn("host-2", self.members.live(100.0))
        self.assertFalse(self.members.gone(HostName("host-2"), incarnation(2)))

    def test_a_listed_successor_proves_it(self):
        self.members.listed([entry(2, started=3000)])
        self.assertTrue(self.members.gone(HostName("host-2"), incarnation(2)))
        self.assertFalse(self.members.gone(HostName("host-2"), incarnation(2, 3000)))

    def test_hosts_that_left_the_list_are_forgotten(self):
        self.members.listed([entry(2)])
        self.assertNotIn("host-3", self.members.peers)

    def test_leaving_hosts_do_not_count(self):
        self.members.listed([entry(2), entry(3, state=HostState.LEAVING)])
        self.assertEqual(self.members.size(), 2)

    def test_incarnation_names_its_host(self):
        self.assertEqual(host_of(ME), "host-1")


class CodecTest(unittest.TestCase):
    """Datagrams of strangers, and malformed ones."""

    def setUp(self):
        self.codec = PeerCodec("key")
        self.digest = digest(
            2,
            3,
            store_age=1.5,
            leaving=True,
            is_reply=True,
            echoes=[Echo(HostName("host-1"), ME, 4)],
            shares=[Share("engine-1", "nestwatch", 3, 512)],
            demands=[Demand("hobart", 2.5)],
            mixes=[Mix("match-note", 100.0, 50.0)],
            crashes=[CrashReport(joined(2**31, 5), 7, 0.5)],
            finished=[joined(2**31, 6)],
        )

    def test_round_trip(self):
        self.assertEqual(self.codec.decode(self.codec.encode(self.digest)), self.digest)

    def test_stranger_without_the_key_is_refused(self):
        with self.assertRaises(BadDatagramError):
            self.codec.decode(PeerCodec("other").encode(self.digest))

    def test_every_single_changed_byte_is_refused(self):
        data = self.codec.encode(self.digest)
        for place in range(len(data)):
            bad = bytearray(data)
            bad[place] ^= 1
            with self.assertRaises(BadDatagramError):
                self.codec.decode(bytes(bad))

    def test_rubbish_and_cut_datagrams_are_refused(self):
        data = self.codec.encode(self.digest)
        for bad in (b"", b"x", data[:20], data[:-1], bytes(64)):
            with self.assertRaises(BadDatagramError):
                self.codec.decode(bad)

    def test_rubbish_with_a_right_tag_is_refused(self):
        body = b"\xff" * 40
        with self.assertRaises(BadDatagramError):
            self.codec.decode(Tagger("key").seal(body))

    def test_datagram_keeps_to_its_bytes(self):
        shares = [Share(f"engine-{i}", "nestwatch", i, i) for i in range(500)]
        data = self.codec.encode(digest(2, 3, shares=shares), most=512)
        self.assertLessEqual(len(data), 512)
        self.assertGreater(len(self.codec.decode(data).shares), 0)
