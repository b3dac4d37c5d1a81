"""Routes in force, loads, shares of limits, and what other hosts tell."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from berylshift.connection.datagram_tag import (
    LARGEST_DATAGRAM,
    BadDatagramError,
    Tagger,
)
from berylshift.connection.load_codec import LoadCodec
from berylshift.ids import Revision
from berylshift.messages.fingerprint import joined
from berylshift.messages.load_digest import (
    CrashReport,
    FeedWord,
    LimitTold,
    LoadDigest,
    LoadEntry,
    PartRead,
    PhaseTold,
    Scope,
    StoreWord,
    Urgency,
)
from berylshift.messages.replicas import EnginePhase
from berylshift.messages.routed import ReportedLoad
from berylshift.process.directory.expected_phases import (
    MAX_ORDERS_PER_DIGEST as MOST_PHASES,
)
from berylshift.process.directory.route_holder import RouteHolder
from berylshift.process.limits.arrival_budget import ArrivalBudget
from berylshift.process.quarantine.crash_news import MOST_CRASHES_TOLD
from berylshift.process.targets.limit_news import MOST_TOLD as MOST_LIMITS
from berylshift.process.targets.target_load import SEVERE, TargetLoads
from berylshift.process.targets.warm_parts import MOST_KEPT, SHARED_ROOM, WarmParts
from berylshift.process.telling.collecting import MOST_READS, READS_A_CRASH
from berylshift.process.telling.peer_loads import LIFE_SECONDS, PeerLoads
from berylshift.tests.entry_world import routes
from berylshift.tests.support import EXPLORE


class RouteHolderTest(unittest.TestCase):
    """Versions only rise."""

    @EXPLORE
    @given(st.lists(st.integers(1, 9), max_size=12))
    def test_whatever_is_read_no_version_goes_back(self, versions):
        holder, newest = RouteHolder(), 0
        for version in versions:
            holder.apply_if_newer(routes(version), 0.0)
            newest = max(newest, version)
            self.assertEqual(holder.table.version, newest)

    def test_nothing_new_still_confirms(self):
        holder = RouteHolder()
        holder.apply_if_newer(routes(3), 1.0)
        holder.apply_if_newer(None, 4.0)
        self.assertEqual(holder.age(5.0), 1.0)
        self.assertEqual(holder.table.version, 3)


class ArrivalBudgetTest(unittest.TestCase):
    """The share of a host."""

    def test_all_hosts_together_stay_below_the_bound(self):
        """Nine hosts use all they may, at uneven loads, without a word."""
        ratio, window, burst = 0.2, 10.0, 58.0
        loads = [1, 2, 3, 5, 8, 13, 21, 34, 55]
        budgets = [ArrivalBudget(ratio, window, burst) for _ in loads]
        extra: list[float] = []
        first: list[float] = []
        for tick in range(300):
            now = tick / 10
            for budget, load in zip(budgets, loads, strict=True):
                budget.hosts = len(loads)
                if tick % 60 < load:
                    budget.first(now)
                    first.append(now)
                while budget.take(now):
                    extra.append(now)
            asked = sum(now - window < at <= now for at in first)
            more = sum(now - window < at <= now for at in extra)
            self.assertLessEqual(more, ratio * asked + burst)

    def test_unknown_number_of_hosts_leaves_little_of_the_burst(self):
        budget = ArrivalBudget(0.2, 10.0, 58.0)
        self.assertTrue(budget.take(0.0))
        self.assertFalse(budget.take(0.0))

    def test_window_slides(self):
        budget = ArrivalBudget(0.0, 10.0, 10.0)
        budget.hosts = 1
        taken = sum(budget.take(0.0) for _ in range(20))
        self.assertEqual((taken, budget.take(9.9), budget.take(10.1)), (8, False, True))


class TargetLoadsTest(unittest.TestCase):
    """What this process knows of each replica."""

    def test_reports_age(self):
        loads = TargetLoads()
        loads.heard("i-1", ReportedLoad(4, 6, 8), 0.0)
        load = loads.of("i-1")
        self.assertEqual((load.waiting(0.0), load.running(0.0)), (6, 4))
        self.assertLess(load.waiting(1.0), 3)
        self.assertEqual(load.waiting(5.0), 0)

    def test_sends_since_the_report_count(self):
        loads = TargetLoads()
        loads.heard("i-1", ReportedLoad(4, 0, 8), 0.0)
        loads.sent("i-1", 100, Urgency.USUAL)
        self.assertEqual(loads.of("i-1").running(0.0), 5)

    def test_failures_fade_and_answers_outweigh_them(self):
        loads = TargetLoads()
        loads.failed("i-1", SEVERE, 0.0)
        load = loads.of("i-1")
        self.assertEqual(load.failures(2.0), 0.5)
        loads.succeeded("i-1", 2.0)
        self.assertEqual(load.failures(2.0), 0.25)

    def test_entries_name_open_work_only(self):
        loads = TargetLoads()
        loads.sent("i-1", 640, Urgency.PATIENT)
        loads.sent("i-2", 0, Urgency.USUAL)
        loads.ended("i-2")
        found = loads.entries(0.0)
        self.assertEqual([(e.in_flight, e.reading) for e in found], [(1, (0, 0, 640))])


class PeerLoadsTest(unittest.TestCase):
    """Other hosts' digests."""

    def digest(self, host: str, sequence: int, tokens: int) -> LoadDigest:
        loads = TargetLoads()
        loads.sent("i-1", tokens, Urgency.USUAL)
        return LoadDigest(host, sequence, loads.entries(0.0))

    def test_sum_over_hosts_without_this_one(self):
        peers = PeerLoads("me")
        for host in ("a", "b", "me"):
            peers.take(self.digest(host, 1, 160), 0.0)
        self.assertEqual(peers.reading("i-1", 0.1), (0, 320, 0))
        self.assertEqual(peers.in_flight("i-1", 0.1), 2)
        self.assertEqual(peers.members(0.1), 2)

    def test_an_overtaken_datagram_changes_nothing(self):
        peers = PeerLoads("me")
        peers.take(self.digest("a", 2, 160), 0.0)
        peers.take(self.digest("a", 1, 16), 0.1)
        self.assertEqual(peers.reading("i-1", 0.1)[1], 160)

    def test_a_restarted_host_is_heard_again(self):
        """Its numbers start anew; after a silence the lower one is taken."""
        peers = PeerLoads("me")
        peers.take(self.digest("a", 900, 160), 0.0)
        peers.take(self.digest("a", 1, 16), LIFE_SECONDS + 0.1)
        self.assertEqual(peers.reading("i-1", LIFE_SECONDS + 0.2)[1], 16)


class WarmPartsTest(unittest.TestCase):
    """Where parts were sent, and what engines still keep of them."""

    ROOM = 100_000

    def setUp(self):
        self.warm = WarmParts()
        self.kept = int(SHARED_ROOM * self.ROOM)

    def use(self, part: str, tokens: int, engine: str = "i-3") -> None:
        self.warm.sent(part, tokens, engine, 0.0)

    def keeps(self, part: str, engine: str = "i-3") -> bool:
        return self.warm.keeps(part, engine, self.ROOM)

    def test_told(self):
        there = WarmParts()
        self.use("p1", 4_000)
        there.heard(self.warm.to_tell(0.1))
        self.assertTrue(there.keeps("p1", "i-3", self.ROOM))
        self.assertFalse(there.keeps("p1", "i-4", self.ROOM))
        self.assertEqual(self.warm.to_tell(1.0), ())

    def test_what_is_beyond_the_memory_has_gone_the_longest_unused_first(self):
        """An engine reads more parts than it can keep.

        Prompts that go there for a part that it has let go wait behind each other
        while each of them reads it anew.
        """
        half = self.kept // 2
        self.use("p1", half)
        self.use("p2", half)
        self.use("p1", half)
        self.use("p3", half)
        self.assertEqual(
            [self.keeps(p) for p in ("p1", "p2", "p3")], [True, False, True]
        )
        self.assertEqual(self.warm.keepers("p2"), [])

    def test_an_engine_that_reads_nothing_else_keeps_a_part(self):
        self.use("p1", 4_000)
        for number in range(100):
            self.use(f"q{number}", 4_000, "i-4")
        self.assertTrue(self.keeps("p1"))

    def test_told_twice_is_kept_once(self):
        reads = (PartRead(1, 2, self.kept),)
        self.warm.heard(reads)
        self.warm.heard(reads)
        self.use("p1", 0)
        self.assertTrue(self.keeps("p1"))

    def test_an_engine_that_is_gone_is_forgotten(self):
        self.use("p1", 4_000)
        self.warm.forget("i-3")
        self.assertFalse(self.keeps("p1"))
        self.assertEqual(self.warm.keepers("p1"), [])

    def test_all_engines_together_are_bounded(self):
        for number in range(MOST_KEPT + 50):
            self.use(f"p{number}", 16, f"i-{number % 7}")
        held = sum(len(self.warm.keepers(f"p{n}")) for n in range(MOST_KEPT + 50))
        self.assertEqual(held, MOST_KEPT)


class LoadCodecTest(unittest.TestCase):
    """Datagrams between hosts."""

    DIGEST = LoadDigest(
        "host-1",
        7,
        (LoadEntry(123456, 3, (16, 32, 48), 0.5), LoadEntry(9, 1, (0, 0, 0), 0.0)),
        (PartRead(5, 6, 4000),),
        (PhaseTold(7, EnginePhase.DECODE, 1.5),),
        crashes=(CrashReport(joined(2**31, 5), 7, 0.5),),
        finished=(joined(2**31, 6),),
        limits=(LimitTold(9, 2.5, 0.5), LimitTold(7, None, 1.5)),
    )

    def test_round_trip(self):
        codec = LoadCodec("key")
        self.assertEqual(codec.decode(codec.encode(self.DIGEST, 1400)), self.DIGEST)

    def test_a_strangers_datagram_is_refused(self):
        data = LoadCodec("other").encode(self.DIGEST, 1400)
        with self.assertRaises(BadDatagramError):
            LoadCodec("key").decode(data)

    def test_rubbish_with_a_right_tag_is_refused(self):
        for body in (b"", b"\xff" * 40):
            with self.subTest(body=body), self.assertRaises(BadDatagramError):
                LoadCodec("key").decode(Tagger("key").seal(body))

    def test_a_long_digest_is_cut_to_fit(self):
        entries = tuple(LoadEntry(n * 9999, 1, (16, 16, 16), 0.0) for n in range(400))
        data = LoadCodec("key").encode(LoadDigest("h", 1, entries), 1400)
        self.assertLessEqual(len(data), 1400)
        self.assertGreater(len(LoadCodec("key").decode(data).entries), 20)

    def test_sums_of_all_hosts_fit_in_a_datagram(self):
        """A collector tells of fifty replicas, what was read, orders and the store.

        What does not fit is left out: the others would not know of work that is there.
        """
        self.check_sums_fit(MOST_READS, 0)

    def test_sums_fit_beside_replicas_that_broke_off(self):
        reads = MOST_READS - READS_A_CRASH * MOST_CRASHES_TOLD
        self.check_sums_fit(reads, MOST_CRASHES_TOLD)

    def check_sums_fit(self, reads: int, crashes: int) -> None:
        """Check that all entries of a usual sum are told beside the rest."""
        entries = tuple(
            LoadEntry(2**31 + n * 77_777, 12, (800, 40_000, 16_000), 0.5, 0.25)
            for n in range(50)
        )
        reads = tuple(
            PartRead(2**31 + n * 999_983, 2**31 + n * 77_777, 6_300)
            for n in range(reads)
        )
        reports = tuple(
            CrashReport(joined(2**31 + n * 999_983, 2**31 + n), 2**31 + n * 77_777, 9.5)
            for n in range(crashes)
        )
        phases = tuple(
            PhaseTold(2**31 + n * 77_777, EnginePhase.PREFILL, 2.5)
            for n in range(MOST_PHASES)
        )
        feed = FeedWord(Revision(123_456), Revision(123_999), 86_400_000)
        digest = LoadDigest(
            "frontend-derwent-b-17",
            123_456,
            entries,
            reads,
            phases,
            Scope.FLEET,
            "derwent-b",
            195,
            True,
            StoreWord(feed, feed, 86_300_000),
            reports,
            limits=tuple(
                LimitTold(2**31 + n * 77_777, 2.5, 1.5) for n in range(MOST_LIMITS)
            ),
        )
        data = LoadCodec("key").encode(digest, LARGEST_DATAGRAM)
        self.assertLessEqual(len(data), LARGEST_DATAGRAM)
        self.assertEqual(len(LoadCodec("key").decode(data).entries), 50)

    def test_nine_engines_fit_in_few_bytes(self):
        """Nine hosts tell each other 12 times a second; bytes between domains cost."""
        entries = tuple(LoadEntry(2**31 + n, 2, (0, 250, 0), 0.0) for n in range(9))
        data = LoadCodec("key").encode(LoadDigest("host-1", 99, entries), 1400)
        self.assertLess(len(data), 200)
