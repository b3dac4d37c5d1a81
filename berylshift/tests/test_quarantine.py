"""Tests which requests are quarantined after replica crashes."""

import unittest

from berylshift.ids import Fingerprint, InstanceId
from berylshift.messages.fingerprint import combine_hashes
from berylshift.messages.load_digest import CrashReport, target_hash
from berylshift.messages.replicas import ENTRY_TTL_HEARTBEATS
from berylshift.process.gossip.protocol import SEND_SECONDS
from berylshift.process.quarantine.crash_gossip import (
    GOSSIP_SECONDS,
    MAX_CRASHES_PER_DIGEST,
    RESEND_SECONDS,
)
from berylshift.process.quarantine.crash_record import (
    PROVEN_QUARANTINE_SECONDS,
    SUSPECT_QUARANTINE_SECONDS,
)
from berylshift.process.quarantine.quarantine import (
    COMPLETED_EXEMPT_SECONDS,
    MAX_OBSERVED,
    MAX_QUARANTINED,
    SURVIVED_SECONDS,
    Quarantine,
)

BAD = combine_hashes(7, 1)
HEARTBEAT = 1.2


def engine(number: int) -> InstanceId:
    """Return the instance ID of an engine."""
    return InstanceId(f"engine-{number}")


class QuarantineCase(unittest.TestCase):
    """The quarantine of one host, without a network or a clock."""

    def setUp(self):
        self.quarantine = Quarantine(HEARTBEAT)

    def crash(self, request: Fingerprint, *engines: int, at: float = 0.0) -> None:
        for number in engines:
            self.quarantine.record_crash(request, engine(number), at)

    def is_quarantined(self, now: float, request: Fingerprint = BAD) -> bool:
        return self.quarantine.remaining_seconds(request, now) > 0


class ThresholdTest(QuarantineCase):
    """How many replicas may crash before a request is quarantined."""

    def test_one_crash_does_not_quarantine(self):
        self.crash(BAD, 1)
        self.assertFalse(self.is_quarantined(0.0))

    def test_second_crash_quarantines_for_a_minute(self):
        self.crash(BAD, 1, 2)
        self.assertTrue(self.is_quarantined(SUSPECT_QUARANTINE_SECONDS - 1))
        self.assertFalse(self.is_quarantined(SUSPECT_QUARANTINE_SECONDS))

    def test_third_crash_quarantines_for_much_longer(self):
        self.crash(BAD, 1, 2)
        self.crash(BAD, 3, at=70.0)
        self.assertTrue(self.is_quarantined(70.0 + PROVEN_QUARANTINE_SECONDS - 1))
        self.assertFalse(self.is_quarantined(70.0 + PROVEN_QUARANTINE_SECONDS))

    def test_attempts_that_break_at_one_replica_count_once(self):
        self.crash(BAD, 1, 1, 1)
        self.assertFalse(self.is_quarantined(0.0))

    def test_other_requests_are_not_quarantined(self):
        self.crash(BAD, 1, 2)
        self.assertFalse(self.is_quarantined(1.0, combine_hashes(7, 2)))

    def test_a_request_with_the_same_head_may_be_quarantined(self):
        self.crash(BAD, 1)
        self.assertFalse(self.quarantine.may_be_quarantined(7))
        self.crash(BAD, 2)
        self.assertTrue(self.quarantine.may_be_quarantined(7))
        self.assertFalse(self.quarantine.may_be_quarantined(8))


class FalseSuspicionTest(QuarantineCase):
    """Requests that ran beside the cause, and replicas that did not crash."""

    def test_completed_request_is_cleared(self):
        self.crash(BAD, 1, 2)
        self.quarantine.record_completion(BAD, 1.0)
        self.assertFalse(self.is_quarantined(1.0))

    def test_recently_completed_request_is_not_suspected(self):
        """Guards against refusing a common request for crashes that it didn't cause.

        Many callers ask for the same page, and these calls complete all the time. Two
        replicas crash, each with such a call in flight.
        """
        self.quarantine.record_completion(BAD, 0.0)
        self.crash(BAD, 1, 2, at=COMPLETED_EXEMPT_SECONDS - 1)
        self.assertFalse(self.is_quarantined(COMPLETED_EXEMPT_SECONDS - 1))
        self.crash(BAD, 1, 2, at=COMPLETED_EXEMPT_SECONDS)
        self.assertTrue(self.is_quarantined(COMPLETED_EXEMPT_SECONDS))

    def test_a_replica_that_keeps_responding_has_not_crashed(self):
        """Guards against taking the connection resets of a live replica for crashes."""
        self.crash(BAD, 1, 2)
        self.quarantine.record_response(engine(2), 0.2, 0.0)
        self.assertFalse(self.is_quarantined(0.3))

    def test_a_replica_that_accepts_a_new_connection_has_not_crashed(self):
        self.crash(BAD, 1, 2)
        self.quarantine.record_reconnect(engine(2), 0.01)
        self.assertFalse(self.is_quarantined(0.01))
        self.assertEqual(len(self.quarantine.take_reports(0.01)), 1)

    def test_response_to_an_earlier_request_proves_nothing(self):
        """It may have left the replica just before the crash."""
        self.crash(BAD, 1, 2, at=1.0)
        self.quarantine.record_response(engine(2), 0.9, 1.0)
        self.assertTrue(self.is_quarantined(1.1))

    def test_response_seconds_later_may_be_of_the_next_start(self):
        self.crash(BAD, 1, 2)
        self.quarantine.record_response(engine(2), SURVIVED_SECONDS + 0.1, 1.0)
        self.assertTrue(self.is_quarantined(2.0))

    def test_a_replica_listed_past_its_entry_ttl_has_not_crashed(self):
        """All connections are reset for seconds, so no earlier response shows it."""
        entry_ttl_seconds = ENTRY_TTL_HEARTBEATS * HEARTBEAT
        self.crash(BAD, 1, 2)
        self.quarantine.record_response(engine(2), entry_ttl_seconds + 0.1, None)
        self.assertTrue(self.is_quarantined(entry_ttl_seconds + 0.2))
        self.quarantine.record_response(
            engine(2), entry_ttl_seconds + 0.1, entry_ttl_seconds + 0.1
        )
        self.assertFalse(self.is_quarantined(entry_ttl_seconds + 0.2))

    def test_a_replica_that_survived_may_crash_later(self):
        self.crash(BAD, 1, 2)
        self.quarantine.record_response(engine(2), 0.2, 0.0)
        self.crash(BAD, 2, at=5.0)
        self.assertTrue(self.is_quarantined(5.0))


class GossipTest(QuarantineCase):
    """Updates that hosts send each other."""

    def setUp(self):
        super().setUp()
        self.other = Quarantine(HEARTBEAT)

    def send(self, now: float, is_own_domain: bool = False) -> None:
        updates = (
            self.quarantine.take_reports(now),
            self.quarantine.pending_completions(now),
        )
        self.other.merge(*updates, now, is_own_domain)

    def test_crashes_observed_by_two_hosts_add_up(self):
        self.crash(BAD, 1)
        self.other.record_crash(BAD, engine(2), 0.0)
        self.send(0.1)
        self.assertGreater(self.other.remaining_seconds(BAD, 0.1), 0)

    def test_one_crash_observed_by_two_hosts_counts_once(self):
        self.crash(BAD, 1)
        self.other.record_crash(BAD, engine(1), 0.0)
        self.send(0.1)
        self.assertEqual(self.other.crash_count(BAD), 1)

    def test_a_crash_is_sent_for_a_limited_time(self):
        self.crash(BAD, 1)
        self.assertEqual(len(self.quarantine.take_reports(GOSSIP_SECONDS / 2)), 1)
        self.assertEqual(self.quarantine.take_reports(GOSSIP_SECONDS), ())

    def test_a_host_that_starts_later_receives_the_quarantine(self):
        self.crash(BAD, 1, 2)
        self.send(RESEND_SECONDS + 10)
        left = SUSPECT_QUARANTINE_SECONDS - RESEND_SECONDS - 10
        self.assertAlmostEqual(
            self.other.remaining_seconds(BAD, RESEND_SECONDS + 10), left
        )

    def test_completed_request_is_cleared_at_all_hosts(self):
        self.crash(BAD, 1, 2)
        self.send(0.1)
        self.quarantine.record_completion(BAD, 0.2)
        self.send(0.3)
        self.assertEqual(self.other.remaining_seconds(BAD, 0.3), 0.0)

    def test_a_retracted_crash_stays_retracted(self):
        self.crash(BAD, 1, 2)
        self.send(0.1)
        self.other.record_response(engine(2), 0.2, 0.0)
        self.send(0.3)
        self.assertEqual(self.other.remaining_seconds(BAD, 0.4), 0.0)

    def test_a_collector_forwards_only_new_updates(self):
        self.crash(BAD, 1)
        self.send(0.0, is_own_domain=True)
        self.assertEqual(len(self.other.take_reports(0.1, own_domain_only=True)), 1)
        self.send(0.4, is_own_domain=True)
        self.assertEqual(
            self.other.take_reports(GOSSIP_SECONDS, own_domain_only=True), ()
        )

    def test_updates_of_another_domain_go_to_own_hosts_only(self):
        self.crash(BAD, 1)
        self.send(0.0)
        self.assertEqual(self.other.take_reports(0.1, own_domain_only=True), ())
        self.assertEqual(len(self.other.take_reports(0.1)), 1)

    def test_an_expired_report_is_not_merged(self):
        report = CrashReport(BAD, target_hash(engine(1)), PROVEN_QUARANTINE_SECONDS)
        self.other.merge((report,), (), 1000.0, False)
        self.assertEqual(self.other.crash_count(BAD), 0)

    def test_a_digest_holds_a_limited_number_of_reports(self):
        for number in range(100):
            self.crash(combine_hashes(number, 1), 1)
        self.assertEqual(len(self.quarantine.take_reports(0.0)), MAX_CRASHES_PER_DIGEST)

    def test_all_reports_are_sent_in_turn(self):
        """Guards against digests that always hold the newest reports.

        An engine crashes with forty requests of this host in flight, one of which is
        the cause. A digest holds fewer, so the other hosts would never learn of the
        cause, and each of them would send it out once more.
        """
        bad = [combine_hashes(number, 1) for number in range(40)]
        for request in bad:
            self.crash(request, 1)
        for step in range(int(GOSSIP_SECONDS / SEND_SECONDS)):
            now = step * SEND_SECONDS
            self.quarantine.has_updates(now)
            self.send(now)
        self.assertEqual({self.other.crash_count(request) for request in bad}, {1})


class MemoryBoundTest(QuarantineCase):
    """Memory bounds under many different requests."""

    def test_harmless_requests_do_not_evict_quarantined_ones(self):
        self.crash(BAD, 1, 2)
        for number in range(2 * MAX_OBSERVED):
            self.crash(combine_hashes(number, 2), 3)
        self.assertTrue(self.is_quarantined(1.0))
        self.assertLessEqual(len(self.quarantine._observed), MAX_OBSERVED)

    def test_quarantined_requests_are_bounded(self):
        for number in range(2 * MAX_QUARANTINED):
            self.crash(combine_hashes(number, 2), 1, 2)
        self.assertEqual(len(self.quarantine), MAX_QUARANTINED)

    def test_all_records_expire(self):
        self.crash(BAD, 1, 2, 3)
        self.crash(combine_hashes(8, 1), 1)
        self.quarantine.take_reports(PROVEN_QUARANTINE_SECONDS)
        self.assertEqual(len(self.quarantine), 0)
        self.assertEqual(self.quarantine._requests_by_target, {})
