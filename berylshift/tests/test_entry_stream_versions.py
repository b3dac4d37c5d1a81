"""Tests that a stream goes on only at the software version that began it."""

import unittest

from berylshift.tests.stream_version_world import (
    EVENTS,
    HOSTS,
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
RESUMED_BY_CALLER = RESUMED % ("caller", "same")


def mixed(streams: list[Stream]) -> int:
    """Return how many streams hold events of several versions."""
    return sum(stream.is_mixed for stream in streams)


class OneAnswerTest(unittest.TestCase):
    """Streams that break at a replica and are resumed by their host."""

    def test_stream_that_breaks_goes_on_at_the_version_that_began_it(self):
        """Guards against an answer that is joined from two software versions."""

        async def task(world, rng):
            streams = []
            for number in range(STREAMS):
                request = f"r{number}"
                world.fleet_state.breaks[request] = rng.randint(1, EVENTS - 1)
                streams.append(Stream())
                await world.stream(streams[-1], request, number % HOSTS)
            return streams

        streams = run_versions(task, TWO_VERSIONS)
        self.assertEqual(mixed(streams), 0)
        self.assertEqual(sum(stream.is_whole for stream in streams), STREAMS)


class LaterTryTest(unittest.TestCase):
    """Streams whose callers take them up at another host."""

    def test_stream_that_its_caller_takes_up_goes_on_at_its_version(self):
        """Guards against a stream joined from two versions over a caller's tries."""
        for first_host in FirstHost:
            with self.subTest(first_host.value):
                self.check_taken_up(first_host)

    def check_taken_up(self, first_host):
        """Take streams up at another host after their first host ended in a way."""

        async def task(world, rng):
            return await world.take_up("r1", 0, rng.randint(1, HOSTS - 1), first_host)

        streams = [run_versions(task, TWO_VERSIONS, seed) for seed in range(STREAMS)]
        self.assertEqual(mixed(streams), 0)
        went_on = sum(stream.went_on and stream.is_whole for stream in streams)
        self.assertGreaterEqual(2 * went_on, STREAMS)

    def test_stream_begun_at_a_host_that_is_cut_off_is_not_joined(self):
        """Guards against a guess where the host that began a stream reaches no other.

        A stream that can't go on is refused at once.
        """

        async def task(world, rng):
            await world.end_host(0, FirstHost.CUT_OFF)
            return [
                await world.take_up(f"r{number}", 0, 1, FirstHost.CUT_OFF)
                for number in range(STREAMS)
            ]

        streams = run_versions(task, TWO_VERSIONS)
        self.assertEqual(mixed(streams), 0)
        waits = [wait for stream in streams for wait in stream.refused_after]
        self.assertLess(max(waits, default=0.0), REFUSAL_SECONDS)


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
