"""Replicas that want nothing of this host for a while."""

import unittest

from berylshift.ids import InstanceId
from berylshift.process.targets.backoffs import Backoffs

TARGET = InstanceId("i-1")


class BackoffsTest(unittest.TestCase):
    """One host's knowledge of back-offs."""

    def setUp(self):
        self.backoffs = Backoffs()
        self.backoffs.back_off(TARGET, 3.0, 10.0)

    def test_it_lasts_as_long_as_was_asked_for(self):
        self.assertEqual(self.backoffs.wait(TARGET, 11.0), 2.0)
        self.assertEqual(self.backoffs.active(12.9), [TARGET])
        self.assertEqual(self.backoffs.wait(TARGET, 13.0), 0)
        self.assertEqual(self.backoffs.active(13.0), [])

    def test_a_later_word_does_not_shorten_it(self):
        """Guards against refusals that were on their way together."""
        self.backoffs.back_off(TARGET, 0.5, 10.1)
        self.assertAlmostEqual(self.backoffs.wait(TARGET, 11.0), 2.0)

    def test_what_is_over_or_gone_is_not_kept(self):
        self.backoffs.active(20.0)
        self.assertEqual(len(self.backoffs), 0)
        self.backoffs.back_off(TARGET, 3.0, 20.0)
        self.backoffs.forget(TARGET)
        self.assertEqual(self.backoffs.wait(TARGET, 20.0), 0)
