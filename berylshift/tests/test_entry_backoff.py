"""Tests of replicas that refuse requests with a Retry-After."""

import unittest

from berylshift.stand_ins.entry_replica import EntryReplica
from berylshift.tests.entry_world import run_entry
from berylshift.tests.limit_load import LimitLoad

EQUAL_SHARES = (1, 1, 1)
RETRY_AFTER_SECONDS = 3.0
# The platform's limit: from half a second after the refusal until the end of the
# Retry-After, a host sends no more than two requests.
NOTICE_SECONDS = 0.5
MAX_CALLS = 2


def max_calls(replica: EntryReplica) -> int:
    """Return the highest number of calls that a host made during a backoff."""
    return max(
        sum(
            call.host == backoff.host
            and backoff.at + NOTICE_SECONDS <= call.at <= backoff.at + backoff.seconds
            for call in replica.calls
        )
        for backoff in replica.backoffs
    )


class BackoffTest(unittest.TestCase):
    """Some replicas refuse requests for 7 s, starting after 2 s of traffic."""

    def run_scenario(self, path: str, refusing: slice, **world):
        """Return the replicas that refused, and the callers."""

        async def task(world):
            replicas = list(world.replicas.values())[refusing]
            callers = LimitLoad(world, EQUAL_SHARES)
            await callers.run(path, 20, 2)
            for replica in replicas:
                replica.retry_after = RETRY_AFTER_SECONDS
            await callers.run(path, 20, 7)
            for replica in replicas:
                replica.retry_after = None
            await callers.run(path, 20, 4)
            return replicas, callers

        return run_entry(task, hosts=3, **world)

    def test_prefill_engine_is_not_called_before_its_retry_after(self):
        """Guards against refusing callers because one prefill engine refuses."""
        replicas, callers = self.run_scenario("/note/", slice(-5, -4), engines="ppddd")
        self.assertLessEqual(max_calls(replicas[0]), MAX_CALLS)
        self.assertEqual(callers.served, len(callers.replies))

    def test_replicas_are_not_called_before_their_retry_after(self):
        """Guards against sending each caller's request to each of the replicas."""
        replicas, callers = self.run_scenario("/look/", slice(3), plain=3)
        for replica in replicas:
            self.assertLessEqual(max_calls(replica), MAX_CALLS)
        refused = [reply for reply in callers.replies if reply.status == 503]
        self.assertGreater(
            max(reply.retry_after_seconds for reply in refused), RETRY_AFTER_SECONDS - 1
        )
        self.assertLess(callers.longest_refusal_seconds, 0.05)

    def test_an_engine_is_used_again_after_its_retry_after(self):
        replicas, callers = self.run_scenario(
            "/brief/", slice(-1, None), engines="ppddd"
        )
        self.assertLessEqual(max_calls(replicas[0]), MAX_CALLS)
        self.assertGreater(replicas[0].calls[-1].at, replicas[0].backoffs[-1].at + 3)
        self.assertEqual(callers.served, len(callers.replies))
