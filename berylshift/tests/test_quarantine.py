"""Which requests are held back after replicas ended, and which are not."""

import unittest

from berylshift.ids import Fingerprint, InstanceId
from berylshift.messages.fingerprint import joined
from berylshift.messages.load_digest import CrashReport, target_hash
from berylshift.messages.replicas import LAPSE_HEARTBEATS
from berylshift.process.gossip.protocol import SEND_SECONDS
from berylshift.process.quarantine.crash_news import (
    AGAIN_SECONDS,
    MOST_CRASHES_TOLD,
    TOLD_SECONDS,
)
from berylshift.process.quarantine.crash_record import PROVEN_SECONDS, SUSPECT_SECONDS
from berylshift.process.quarantine.quarantine import (
    ALIVE_SECONDS,
    FINISHED_SECONDS,
    MOST_HELD,
    MOST_NOTED,
    Quarantine,
)

BAD = joined(7, 1)
HEARTBEAT = 1.2


def engine(number: int) -> InstanceId:
    """Return the name of an engine."""
    return InstanceId(f"engine-{number}")


class QuarantineCase(unittest.TestCase):
    """One host's knowledge, without a network or a clock."""

    def setUp(self):
        self.quarantine = Quarantine(HEARTBEAT)

    def crash(self, request: Fingerprint, *engines: int, at: float = 0.0) -> None:
        for number in engines:
            self.quarantine.broke_off(request, engine(number), at)

    def is_held(self, now: float, request: Fingerprint = BAD) -> bool:
        return self.quarantine.wait(request, now) > 0


class HoldTest(QuarantineCase):
    """How often a replica may end under a request."""

    def test_one_end_says_nothing_of_a_request(self):
        self.crash(BAD, 1)
        self.assertFalse(self.is_held(0.0))

    def test_a_second_replica_has_it_held_back_for_a_minute(self):
        self.crash(BAD, 1, 2)
        self.assertTrue(self.is_held(SUSPECT_SECONDS - 1))
        self.assertFalse(self.is_held(SUSPECT_SECONDS))

    def test_a_third_one_for_much_longer(self):
        self.crash(BAD, 1, 2)
        self.crash(BAD, 3, at=70.0)
        self.assertTrue(self.is_held(70.0 + PROVEN_SECONDS - 1))
        self.assertFalse(self.is_held(70.0 + PROVEN_SECONDS))

    def test_tries_that_break_together_at_one_replica_count_once(self):
        self.crash(BAD, 1, 1, 1)
        self.assertFalse(self.is_held(0.0))

    def test_others_are_not_held_back(self):
        self.crash(BAD, 1, 2)
        self.assertFalse(self.is_held(1.0, joined(7, 2)))

    def test_a_request_that_begins_alike_is_looked_at_closely(self):
        self.crash(BAD, 1)
        self.assertFalse(self.quarantine.may_hold(7))
        self.crash(BAD, 2)
        self.assertTrue(self.quarantine.may_hold(7))
        self.assertFalse(self.quarantine.may_hold(8))


class InnocentTest(QuarantineCase):
    """What stands beside the cause, or seems to."""

    def test_what_finishes_is_cleared(self):
        self.crash(BAD, 1, 2)
        self.quarantine.finished(BAD, 1.0)
        self.assertFalse(self.is_held(1.0))

    def test_what_finished_a_short_time_ago_is_not_suspected(self):
        """Many callers ask for the same page: it finishes all the time.

        Two replicas end, each with such a call under way. The call is not the cause,
        and all its callers would be refused.
        """
        self.quarantine.finished(BAD, 0.0)
        self.crash(BAD, 1, 2, at=FINISHED_SECONDS - 1)
        self.assertFalse(self.is_held(FINISHED_SECONDS - 1))
        self.crash(BAD, 1, 2, at=FINISHED_SECONDS)
        self.assertTrue(self.is_held(FINISHED_SECONDS))

    def test_a_replica_that_goes_on_answering_has_not_ended(self):
        """Connections are reset while their replicas live."""
        self.crash(BAD, 1, 2)
        self.quarantine.answered(engine(2), 0.2, 0.0)
        self.assertFalse(self.is_held(0.3))

    def test_a_replica_that_takes_a_new_connection_has_not_ended(self):
        self.crash(BAD, 1, 2)
        self.quarantine.lives(engine(2), 0.01)
        self.assertFalse(self.is_held(0.01))
        self.assertEqual(len(self.quarantine.reports(0.01)), 1)

    def test_an_answer_to_what_was_sent_before_proves_nothing(self):
        """It may have left the replica just before its end."""
        self.crash(BAD, 1, 2, at=1.0)
        self.quarantine.answered(engine(2), 0.9, 1.0)
        self.assertTrue(self.is_held(1.1))

    def test_an_answer_seconds_later_may_be_of_its_next_start(self):
        self.crash(BAD, 1, 2)
        self.quarantine.answered(engine(2), ALIVE_SECONDS + 0.1, 1.0)
        self.assertTrue(self.is_held(2.0))

    def test_a_replica_that_is_still_listed_after_its_entry_would_lapse_has_not(self):
        """All connections are reset for seconds, so that nothing proves it before."""
        lapsed = LAPSE_HEARTBEATS * HEARTBEAT
        self.crash(BAD, 1, 2)
        self.quarantine.answered(engine(2), lapsed + 0.1, None)
        self.assertTrue(self.is_held(lapsed + 0.2))
        self.quarantine.answered(engine(2), lapsed + 0.1, lapsed + 0.1)
        self.assertFalse(self.is_held(lapsed + 0.2))

    def test_a_replica_that_lived_may_end_later(self):
        self.crash(BAD, 1, 2)
        self.quarantine.answered(engine(2), 0.2, 0.0)
        self.crash(BAD, 2, at=5.0)
        self.assertTrue(self.is_held(5.0))


class ToldTest(QuarantineCase):
    """What hosts tell each other."""

    def setUp(self):
        super().setUp()
        self.other = Quarantine(HEARTBEAT)

    def tell(self, now: float, near: bool = False) -> None:
        told = self.quarantine.reports(now), self.quarantine.finishes(now)
        self.other.heard(*told, now, near)

    def test_hosts_that_saw_one_end_each_know_of_two(self):
        self.crash(BAD, 1)
        self.other.broke_off(BAD, engine(2), 0.0)
        self.tell(0.1)
        self.assertGreater(self.other.wait(BAD, 0.1), 0)

    def test_the_same_end_told_twice_counts_once(self):
        self.crash(BAD, 1)
        self.other.broke_off(BAD, engine(1), 0.0)
        self.tell(0.1)
        self.assertEqual(self.other.crashes(BAD), 1)

    def test_one_end_is_told_for_a_while(self):
        self.crash(BAD, 1)
        self.assertEqual(len(self.quarantine.reports(TOLD_SECONDS / 2)), 1)
        self.assertEqual(self.quarantine.reports(TOLD_SECONDS), ())

    def test_a_host_that_starts_later_hears_of_what_is_held_back(self):
        self.crash(BAD, 1, 2)
        self.tell(AGAIN_SECONDS + 10)
        left = SUSPECT_SECONDS - AGAIN_SECONDS - 10
        self.assertAlmostEqual(self.other.wait(BAD, AGAIN_SECONDS + 10), left)

    def test_what_finished_is_cleared_at_all_hosts(self):
        self.crash(BAD, 1, 2)
        self.tell(0.1)
        self.quarantine.finished(BAD, 0.2)
        self.tell(0.3)
        self.assertEqual(self.other.wait(BAD, 0.3), 0.0)

    def test_a_replica_that_was_seen_to_live_stays_cleared(self):
        self.crash(BAD, 1, 2)
        self.tell(0.1)
        self.other.answered(engine(2), 0.2, 0.0)
        self.tell(0.3)
        self.assertEqual(self.other.wait(BAD, 0.4), 0.0)

    def test_a_collector_tells_on_what_is_news_alone(self):
        self.crash(BAD, 1)
        self.tell(0.0, near=True)
        self.assertEqual(len(self.other.reports(0.1, near_alone=True)), 1)
        self.tell(0.4, near=True)
        self.assertEqual(self.other.reports(TOLD_SECONDS, near_alone=True), ())

    def test_another_domains_news_goes_to_the_own_hosts_alone(self):
        self.crash(BAD, 1)
        self.tell(0.0)
        self.assertEqual(self.other.reports(0.1, near_alone=True), ())
        self.assertEqual(len(self.other.reports(0.1)), 1)

    def test_what_is_over_is_not_told_round_for_ever(self):
        report = CrashReport(BAD, target_hash(engine(1)), PROVEN_SECONDS)
        self.other.heard((report,), (), 1000.0, False)
        self.assertEqual(self.other.crashes(BAD), 0)

    def test_a_digest_holds_a_part_of_many(self):
        for number in range(100):
            self.crash(joined(number, 1), 1)
        self.assertEqual(len(self.quarantine.reports(0.0)), MOST_CRASHES_TOLD)

    def test_all_of_many_are_told_in_turn(self):
        """An engine ends under forty requests of this host; one of them did it.

        A digest holds fewer. Were always the newest told, the others would never hear
        of the cause, and each host would send it out once more.
        """
        bad = [joined(number, 1) for number in range(40)]
        for request in bad:
            self.crash(request, 1)
        for step in range(int(TOLD_SECONDS / SEND_SECONDS)):
            now = step * SEND_SECONDS
            self.quarantine.has_news(now)
            self.tell(now)
        self.assertEqual({self.other.crashes(request) for request in bad}, {1})


class BoundTest(QuarantineCase):
    """Many different requests."""

    def test_harmless_ones_push_out_none_that_is_held_back(self):
        self.crash(BAD, 1, 2)
        for number in range(2 * MOST_NOTED):
            self.crash(joined(number, 2), 3)
        self.assertTrue(self.is_held(1.0))
        self.assertLessEqual(len(self.quarantine._noted), MOST_NOTED)

    def test_those_that_are_held_back_are_bounded(self):
        for number in range(2 * MOST_HELD):
            self.crash(joined(number, 2), 1, 2)
        self.assertEqual(len(self.quarantine), MOST_HELD)

    def test_all_is_forgotten_in_time(self):
        self.crash(BAD, 1, 2, 3)
        self.crash(joined(8, 1), 1)
        self.quarantine.reports(PROVEN_SECONDS)
        self.assertEqual(len(self.quarantine), 0)
        self.assertEqual(self.quarantine._under, {})
