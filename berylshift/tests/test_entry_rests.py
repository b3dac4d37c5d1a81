"""Replicas that turn a host away and ask it to send nothing for a while."""

import unittest

from berylshift.stand_ins.entry_replica import EntryReplica
from berylshift.tests.entry_world import run_entry
from berylshift.tests.limit_play import LimitPlay

EVEN = (1, 1, 1)
REST_SECONDS = 3.0
# The platform's bound: from half a second after it was asked until the end of the time
# a host sends no more than two requests.
NOTICE_SECONDS = 0.5
MOST_CALLS = 2


def most_calls(replica: EntryReplica) -> int:
    """Return the most calls that a host made in a time of rest."""
    return max(
        sum(
            call.host == rest.host
            and rest.at + NOTICE_SECONDS <= call.at <= rest.at + rest.seconds
            for call in replica.calls
        )
        for rest in replica.rests
    )


class RestTest(unittest.TestCase):
    """Some replicas ask for rest for 7 s among callers, from the 3rd second on."""

    def play(self, path: str, resting: slice, **world):
        """Return the replicas that asked for rest, and the callers."""

        async def play(world):
            replicas = list(world.replicas.values())[resting]
            callers = LimitPlay(world, EVEN)
            await callers.callers(path, 20, 2)
            for replica in replicas:
                replica.rest_seconds = REST_SECONDS
            await callers.callers(path, 20, 7)
            for replica in replicas:
                replica.rest_seconds = None
            await callers.callers(path, 20, 4)
            return replicas, callers

        return run_entry(play, hosts=3, **world)

    def test_a_reading_engine_that_asks_for_rest_gets_it(self):
        """Guards against callers that are refused since one reading engine rests."""
        replicas, callers = self.play("/note/", slice(-5, -4), engines="ppddd")
        self.assertLessEqual(most_calls(replicas[0]), MOST_CALLS)
        self.assertEqual(callers.served, len(callers.replies))

    def test_all_replicas_that_ask_for_rest_get_it(self):
        """Guards against each caller's request being offered to each of them."""
        replicas, callers = self.play("/look/", slice(3), plain=3)
        for replica in replicas:
            self.assertLessEqual(most_calls(replica), MOST_CALLS)
        refused = [reply for reply in callers.replies if reply.status == 503]
        self.assertGreater(max(reply.again for reply in refused), REST_SECONDS - 1)
        self.assertLess(callers.longest_refusal, 0.05)

    def test_an_engine_that_asks_for_rest_is_used_again_after_it(self):
        replicas, callers = self.play("/brief/", slice(-1, None), engines="ppddd")
        self.assertLessEqual(most_calls(replicas[0]), MOST_CALLS)
        self.assertGreater(replicas[0].calls[-1].at, replicas[0].rests[-1].at + 3)
        self.assertEqual(callers.served, len(callers.replies))
