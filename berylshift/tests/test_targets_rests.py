"""Replicas that want nothing of this host for a while."""

import unittest

from berylshift.ids import InstanceId
from berylshift.process.targets.rests import Rests

TARGET = InstanceId("i-1")


class RestsTest(unittest.TestCase):
    """One host's knowledge of rests."""

    def setUp(self):
        self.rests = Rests()
        self.rests.asked(TARGET, 3.0, 10.0)

    def test_a_rest_lasts_as_long_as_was_asked_for(self):
        self.assertEqual(self.rests.wait(TARGET, 11.0), 2.0)
        self.assertEqual(self.rests.resting(12.9), [TARGET])
        self.assertEqual(self.rests.wait(TARGET, 13.0), 0)
        self.assertEqual(self.rests.resting(13.0), [])

    def test_a_later_word_does_not_shorten_it(self):
        """Guards against refusals that were on their way together."""
        self.rests.asked(TARGET, 0.5, 10.1)
        self.assertAlmostEqual(self.rests.wait(TARGET, 11.0), 2.0)

    def test_what_is_over_or_gone_is_not_kept(self):
        self.rests.resting(20.0)
        self.assertEqual(len(self.rests), 0)
        self.rests.asked(TARGET, 3.0, 20.0)
        self.rests.forget(TARGET)
        self.assertEqual(self.rests.wait(TARGET, 20.0), 0)
