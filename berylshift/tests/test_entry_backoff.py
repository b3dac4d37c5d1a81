"""Replicas that turn a host away and ask it to send nothing for a while."""

import unittest

from berylshift.stand_ins.entry_replica import EntryReplica
from berylshift.tests.entry_world import run_entry
from berylshift.tests.limit_load import LimitLoad

EVEN = (1, 1, 1)
RETRY_AFTER_SECONDS = 3.0
# The platform's bound: from half a second after it was asked until the end of the time
# a host sends no more than two requests.
NOTICE_SECONDS = 0.5
MOST_CALLS = 2


def most_calls(replica: EntryReplica) -> int:
    """Return the most calls that a host made while it was to back off."""
    return max(
        sum(
            call.host == told.host
            and told.at + NOTICE_SECONDS <= call.at <= told.at + told.seconds
            for call in replica.calls
        )
        for told in replica.backoffs
    )


class BackoffTest(unittest.TestCase):
    """Some replicas turn hosts away for 7 s among callers, from the 3rd second on."""

    def play(self, path: str, refusing: slice, **world):
        """Return the replicas that did, and the callers."""

        async def play(world):
            replicas = list(world.replicas.values())[refusing]
            callers = LimitLoad(world, EVEN)
            await callers.run(path, 20, 2)
            for replica in replicas:
                replica.retry_after = RETRY_AFTER_SECONDS
            await callers.run(path, 20, 7)
            for replica in replicas:
                replica.retry_after = None
            await callers.run(path, 20, 4)
            return replicas, callers

        return run_entry(play, hosts=3, **world)

    def test_a_reading_engine_is_left_alone_until_its_retry_after(self):
        """Guards against callers that are refused since one reading engine refuses."""
        replicas, callers = self.play("/note/", slice(-5, -4), engines="ppddd")
        self.assertLessEqual(most_calls(replicas[0]), MOST_CALLS)
        self.assertEqual(callers.served, len(callers.replies))

    def test_all_replicas_are_left_alone_until_their_retry_after(self):
        """Guards against each caller's request being offered to each of them."""
        replicas, callers = self.play("/look/", slice(3), plain=3)
        for replica in replicas:
            self.assertLessEqual(most_calls(replica), MOST_CALLS)
        refused = [reply for reply in callers.replies if reply.status == 503]
        self.assertGreater(
            max(reply.again for reply in refused), RETRY_AFTER_SECONDS - 1
        )
        self.assertLess(callers.longest_refusal_seconds, 0.05)

    def test_an_engine_is_used_again_after_its_retry_after(self):
        replicas, callers = self.play("/brief/", slice(-1, None), engines="ppddd")
        self.assertLessEqual(most_calls(replicas[0]), MOST_CALLS)
        self.assertGreater(replicas[0].calls[-1].at, replicas[0].backoffs[-1].at + 3)
        self.assertEqual(callers.served, len(callers.replies))
