"""Replicas that name a limit in their answers: what all hosts send them together."""

import unittest

from berylshift.tests.entry_world import run_entry
from berylshift.tests.limit_play import LimitPlay, most_allowed, most_from_told

UNEVEN = (8, 8, 4, 2, 2, 1, 1, 1, 1)


class KeptTest(unittest.TestCase):
    """Some replicas name a limit, others have room."""

    def test_all_hosts_together_keep_a_replicas_limit(self):
        """Guards against hosts that each go by load alone."""

        async def play(world):
            limited = world.replicas["10.0.0.1:80"]
            callers = LimitPlay(world, UNEVEN)
            await callers.callers("/look/", 30, 2)
            limited.rate_limit = 2.6
            await callers.callers("/look/", 30, 14)
            return limited, callers

        limited, callers = run_entry(play, hosts=9, plain=3)
        self.assertLessEqual(most_from_told(limited), most_allowed(2.6))
        self.assertEqual(callers.served, len(callers.replies))

    def test_streams_keep_the_limits_of_two_engines_of_three(self):
        """Guards against readings, streams and freed caches that count apart."""

        async def play(world):
            engines = list(world.replicas.values())[-3:]
            callers = LimitPlay(world, UNEVEN)
            await callers.callers("/note/", 25, 2)
            for engine in engines[:2]:
                engine.rate_limit = 2.6
            await callers.callers("/note/", 25, 14)
            return engines, callers

        engines, callers = run_entry(play, hosts=9, engines="ppddd")
        for engine in engines[:2]:
            self.assertLessEqual(most_from_told(engine), most_allowed(2.6))
        self.assertEqual(callers.served, len(callers.replies))
