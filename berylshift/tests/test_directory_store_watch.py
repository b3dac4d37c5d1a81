"""When a host reads the store itself, and when another's word is enough."""

import unittest

from berylshift.messages.load_digest import FeedStatus, StoreStatus
from berylshift.process.directory.store_watch import (
    FEED_WAIT_SHARE,
    LONGEST_UNREAD_SECONDS,
    PATIENCE_SHARE,
    Feed,
    StoreWatch,
)

BOUND_SECONDS = 4.0
# The store's clock runs since its own start.
STORE_AHEAD_MS = 500_000


class StoreWatchTest(unittest.TestCase):
    """One host that has read both feeds at revision 10."""

    def setUp(self):
        self.now = 100.0
        self.watch = StoreWatch(BOUND_SECONDS, lambda: self.now)
        for feed in Feed:
            self.watch.takes(0, None)
            self.watch.read(feed, 10, self.store_ms(), True)

    def store_ms(self, ago: float = 0.0) -> int:
        return int((self.now - ago) * 1000) + STORE_AHEAD_MS

    def hear(self, changed: int, revision: int, ago: float = 0.0, back_ms: int = 0):
        feed = FeedStatus(changed, revision, self.store_ms(ago))
        return self.watch.hear(StoreStatus(feed, feed, back_ms))

    def test_fresh_word_of_nothing_new_is_enough_for_a_while(self):
        self.assertFalse(self.hear(changed=10, revision=10))
        wanted = PATIENCE_SHARE * BOUND_SECONDS
        self.assertAlmostEqual(self.watch.due_in(Feed.ROUTES), wanted, 2)

    def test_news_is_read_at_once_and_without_a_wait(self):
        self.assertTrue(self.hear(changed=12, revision=13))
        self.assertEqual(self.watch.due_in(Feed.REPLICAS), 0.0)
        self.assertEqual(self.watch.wait(Feed.REPLICAS), 0.0)

    def test_a_host_that_hears_nobody_follows_by_itself(self):
        self.assertEqual(self.watch.due_in(Feed.ROUTES), 0.0)
        wanted = FEED_WAIT_SHARE * BOUND_SECONDS
        self.assertAlmostEqual(self.watch.wait(Feed.ROUTES), wanted)

    def test_word_from_before_a_standstill_is_old_after_it(self):
        """A host stands still for a minute; then it takes the datagrams that waited.

        What they say was true a minute ago. On a clock that stopped with the host they
        would look fresh, and it would serve by what was in force then.
        """
        word = FeedStatus(10, 10, self.store_ms())
        self.now += 60.0
        self.watch.hear(StoreStatus(word, word))
        self.assertEqual(self.watch.due_in(Feed.ROUTES), 0.0)

    def test_the_next_read_begins_where_nothing_was_left_out(self):
        self.hear(changed=9, revision=40)
        self.assertEqual(self.watch.position(Feed.ROUTES), 40)

    def test_a_change_that_was_not_read_is_not_passed_over(self):
        """A follower says: the last change was at 12, nothing since, as of 40.

        A host that has read up to 10 lacks that change. Going on from 40 it would
        never hear of it.
        """
        self.hear(changed=12, revision=40)
        self.assertEqual(self.watch.position(Feed.ROUTES), 10)

    def test_overtaken_word_changes_nothing(self):
        self.hear(changed=10, revision=20)
        self.assertFalse(self.hear(changed=15, revision=15, ago=1.0))
        self.assertEqual(self.watch.position(Feed.ROUTES), 20)

    def test_a_whole_read_is_news_to_the_others(self):
        """What went before a whole read was not seen: others must not skip it."""
        self.watch.forget(Feed.ROUTES)
        self.watch.read(Feed.ROUTES, 30, self.store_ms(), True)
        self.assertEqual(self.watch.word().routes.last_change, 30)

    def test_a_quiet_answer_moves_the_word_on_and_not_the_change(self):
        self.now += 1.0
        self.watch.read(Feed.ROUTES, 25, self.store_ms(), False)
        self.assertEqual(self.watch.word().routes, FeedStatus(10, 25, self.store_ms()))

    def test_a_word_of_a_former_era_is_nothing(self):
        """The store came back older; a host that stood still tells of before.

        Its revision and its time are higher than all of the new era. Taken for news, or
        for what lies between, it would hide what changes next.
        """
        for feed in Feed:
            self.watch.takes(1, None)
            self.watch.read(feed, 5, self.store_ms(1.0), True)
        self.assertFalse(self.hear(changed=5, revision=40))
        self.assertEqual(self.watch.position(Feed.ROUTES), 5)
        self.assertEqual(self.watch.word().routes.era, 1)

    def test_a_word_of_a_new_era_has_all_read_anew(self):
        word = FeedStatus(5, 5, self.store_ms(), 1)
        self.assertTrue(self.watch.hear(StoreStatus(word, word)))
        self.assertIsNone(self.watch.position(Feed.ROUTES))
        self.assertEqual(self.watch.due_in(Feed.ROUTES), 0.0)

    def test_an_answer_of_a_former_era_is_dropped(self):
        """It was under way as the store came back older."""
        self.watch.takes(1, None)
        self.assertFalse(self.watch.takes(0, None))

    def test_an_answer_from_a_former_eras_position_is_dropped(self):
        self.assertFalse(self.watch.takes(1, 0))
        self.assertTrue(self.watch.takes(1, None))
        self.assertTrue(self.watch.takes(1, 1))

    def test_a_follower_always_reads(self):
        self.hear(changed=10, revision=10)
        self.watch.follows = True
        self.assertEqual(self.watch.due_in(Feed.ROUTES), 0.0)

    def test_each_host_reads_by_itself_now_and_then(self):
        self.now += LONGEST_UNREAD_SECONDS
        self.hear(changed=10, revision=10)
        self.assertEqual(self.watch.due_in(Feed.ROUTES), 0.0)

    def test_the_end_of_an_outage_is_passed_on(self):
        self.assertIsNone(self.watch.back_age())
        self.hear(changed=10, revision=10, back_ms=self.store_ms(0.5))
        self.assertAlmostEqual(self.watch.back_age(), 0.5, 2)
        self.assertEqual(self.watch.word().recovered_ms, self.store_ms(0.5))

    def test_what_is_held_is_as_old_as_the_best_word(self):
        self.now += 2.0
        self.assertAlmostEqual(self.watch.confirmed_age(Feed.ROUTES), 2.0, 2)
        self.hear(changed=10, revision=11, ago=0.25)
        self.assertAlmostEqual(self.watch.confirmed_age(Feed.ROUTES), 0.25, 2)
        self.hear(changed=12, revision=12)
        self.assertIsNone(self.watch.confirmed_age(Feed.ROUTES))


if __name__ == "__main__":
    unittest.main()
