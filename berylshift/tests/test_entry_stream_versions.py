"""Tests that a stream goes on only at the software version that began it."""

import unittest

from berylshift.tests.stream_version_world import (
    FirstHost,
    Stream,
    run_versions,
)

TWO_VERSIONS = {"v1": 3, "v1.1": 3}
STREAMS = 24
# A request that is known not to be served is refused within this time.
REFUSAL_SECONDS = 0.5
RESUMED = 'berylshift_streams_resumed_total{by="%s",service="writer",version="%s"} 1.0'
RESUMED_BY_HOST = RESUMED % ("host", "same")
RESUMED_BY_CALLER = RESUMED % ("caller", "unknown")


def mixed(streams: list[Stream]) -> int:
    """Return how many streams hold events of several versions."""
    return sum(stream.is_mixed for stream in streams)


class LogTest(unittest.TestCase):
    """What the log tells of streams that are resumed."""

    def test_log_tells_the_versions_of_attempts_and_what_a_caller_resumes(self):
        """Guards against a log that can't tell where a stream changed its version."""

        async def task(world, rng):
            world.fleet_state.breaks["r1-again"] = 5
            await world.take_up("r1", 0, 1, FirstHost.LIVES)
            return world.hosts[1].telemetry.text().decode()

        with self.assertLogs("berylshift", "INFO") as logs:
            metrics = run_versions(task, {"v1": 3})
        ended = [rec for rec in logs.records if rec.message == "request ended"]
        again = next(rec for rec in ended if rec.request == "r1-again")
        self.assertEqual(
            (again.resumes, again.after, again.began_at), ("r1", "4", "v1")
        )
        self.assertTrue(all(" version=v1 " in text for text in again.sends))
        changed = next(rec for rec in logs.records if hasattr(rec, "versions"))
        self.assertEqual(changed.versions, {"writer": {"v1": 4}})
        self.assertIn(RESUMED_BY_HOST, metrics)
        self.assertIn(RESUMED_BY_CALLER, metrics)


if __name__ == "__main__":
    unittest.main()
