"""Replicas that asked this host to send no requests for a while."""

import unittest

from berylshift.ids import InstanceId
from berylshift.process.targets.backoffs import Backoffs

TARGET = InstanceId("i-1")


class BackoffsTest(unittest.TestCase):
    """The back-offs of one host."""

    def setUp(self):
        self.backoffs = Backoffs()
        self.backoffs.back_off(TARGET, 3.0, 10.0)

    def test_backoff_lasts_as_long_as_requested(self):
        self.assertEqual(self.backoffs.wait(TARGET, 11.0), 2.0)
        self.assertEqual(self.backoffs.active(12.9), [TARGET])
        self.assertEqual(self.backoffs.wait(TARGET, 13.0), 0)
        self.assertEqual(self.backoffs.active(13.0), [])

    def test_later_shorter_backoff_does_not_shorten_it(self):
        """Guards against refusals that arrive shortly after one another."""
        self.backoffs.back_off(TARGET, 0.5, 10.1)
        self.assertAlmostEqual(self.backoffs.wait(TARGET, 11.0), 2.0)

    def test_expired_and_removed_backoffs_are_not_kept(self):
        self.backoffs.active(20.0)
        self.assertEqual(len(self.backoffs), 0)
        self.backoffs.back_off(TARGET, 3.0, 20.0)
        self.backoffs.forget(TARGET)
        self.assertEqual(self.backoffs.wait(TARGET, 20.0), 0)
