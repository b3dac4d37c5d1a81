"""Which of its tries a caller names in ``Resumes``, where one brought it nothing."""

import unittest

import trio

from berylshift.messages.stream_origins import stream_key, variant_of
from berylshift.tests.entry_world import ENGINES, prompt_headers
from berylshift.tests.stream_version_world import (
    EVENTS,
    RETURN_SECONDS,
    Stream,
    StreamVersionWorld,
    run_versions,
)

CALLERS = 20
# Events have been forwarded by then, but not all.
BEGUN_SECONDS = 0.22


async def leave_unread(world: StreamVersionWorld, request: str, host: int) -> None:
    """Make a try whose events are forwarded and never read by its caller."""
    link = world.connect(host)
    await link.send("/brief/x", request, headers=prompt_headers(EVENTS, 1000, 0))
    await trio.sleep(BEGUN_SECONDS)
    await link.close()


class NamedTryTest(unittest.TestCase):
    """A first try that brought nothing, a second one with events, and a third one."""

    def run_callers(self, name_in_second: bool, named_in_third: str) -> list[Stream]:
        """Return the streams of callers whose third try names the given one.

        ``first_variants`` are where their first tries began.
        """
        self.first_variants = []

        async def task(world, rng):
            streams = []
            for number in range(CALLERS):
                stream, first, second = (
                    Stream(),
                    f"r{number}-first",
                    f"r{number}-second",
                )
                await leave_unread(world, first, 0)
                await trio.sleep(RETURN_SECONDS)
                resumes = first if name_in_second else None
                await world.stream(
                    stream, second, 1, resumes=resumes, leave_after=BEGUN_SECONDS
                )
                await trio.sleep(RETURN_SECONDS)
                named = {"first": first, "second": second}[named_in_third]
                await world.stream(stream, f"r{number}-third", 2, resumes=named)
                streams.append(stream)
                records, now = world.hosts[0].origins.records, trio.current_time()
                self.first_variants.append(records.find(stream_key(first), now))
            return streams

        return run_versions(task, {"v1": 3, "v1.1": 3})

    def check_went_on(self, streams: list[Stream]) -> None:
        """Check that all streams went on at the version that began them."""
        self.assertEqual([s.is_mixed for s in streams], [False] * CALLERS)
        self.assertEqual([s.is_whole for s in streams], [True] * CALLERS)

    def test_try_that_brought_the_first_event_is_named(self):
        """Guards against the record of a try that brought nothing."""
        self.check_went_on(self.run_callers(False, "second"))

    def test_try_that_brought_nothing_is_named_from_the_second_try_on(self):
        """Guards against two records of one stream that differ."""
        self.check_went_on(self.run_callers(True, "first"))
        self.check_went_on(self.run_callers(True, "second"))

    def test_try_that_brought_nothing_is_named_late(self):
        """Guards against a named try that does not decide where a stream goes on.

        A host can't know which events reached the caller, so such a caller may get a
        stream of two versions.
        """
        streams = self.run_callers(False, "first")
        self.assertEqual([s.is_whole for s in streams], [True] * CALLERS)
        last = [variant_of(ENGINES, s.versions[-1]) for s in streams]
        self.assertEqual(last, self.first_variants)


if __name__ == "__main__":
    unittest.main()
