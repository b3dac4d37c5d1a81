"""End-to-end tests of replicas that send a response a second time, late."""

import unittest

from berylshift.platform import names
from berylshift.tests.test_entry_lost_handles import (
    WHOLE,
    ask_staggered,
    engines_of,
    run_tracked,
)


def run_ids(world) -> list[str]:
    """Return the requests that replicas began to run, in order of their ids."""
    return sorted(run.request for rep in world.replicas.values() for run in rep.runs)


def send_late_copies(world) -> None:
    """Have all replicas send each short response a second time."""
    for rep in world.replicas.values():
        rep.sends_late_copies = True


class LateRefusalTest(unittest.TestCase):
    """A decode engine refuses a lost handle and sends its refusal again."""

    def run_streams(self, engines: str):
        """Return the replies to six streams and the requests that ran."""

        async def task(world):
            source, preferred, *others = world.replicas.values()
            preferred.load_suffix = b",70"
            for engine in others:
                engine.load_suffix = b",600"
            # Hosts learn how long work takes at each engine.
            await ask_staggered(world, 8, 0.02, first=900)
            send_late_copies(world)
            source.drops_kv_caches = True
            replies = await ask_staggered(world, 6, 0.5)
            return replies, [name for name in run_ids(world) if name < "r9"]

        return run_tracked(task, engines)

    def test_stream_does_not_run_at_a_second_engine(self):
        """Guards against a late refusal that is taken for that of a second sending."""
        replies, runs = self.run_streams("pdd")
        self.assertEqual(replies, [WHOLE] * 6)
        self.assertEqual(runs, [f"r{number}" for number in range(6)])

    def test_stream_is_served_by_the_only_engine(self):
        """Guards against a caller that is told "not run" while its stream runs."""
        replies, runs = self.run_streams("pd")
        self.assertEqual(replies, [WHOLE] * 6)
        self.assertEqual(runs, [f"r{number}" for number in range(6)])


class LatePrefillTest(unittest.TestCase):
    """A prefill engine sends its responses again."""

    def test_prefill_response_of_another_request_is_skipped(self):
        """Guards against prefills in vain behind another prompt's late response."""

        async def task(world):
            send_late_copies(world)
            replies = await ask_staggered(world, 4, 0.3)
            runs = [run for rep in engines_of(world, "decode") for run in rep.runs]
            return replies, [names.KV_SOURCE in run.headers for run in runs]

        replies, used_handles = run_tracked(task, "pd")
        self.assertEqual(replies, [WHOLE] * 4)
        self.assertEqual(used_handles, [True] * 4)
