"""Replicas that send nothing for a while and then go on."""

import unittest

import trio

from berylshift.stand_ins.entry_replica import EntryReplica, Fault
from berylshift.tests.entry_world import (
    ENGINES,
    CallerLink,
    EntryWorld,
    Reply,
    prompt_headers,
    run_entry,
    stream_body,
)

EVENTS = 20
# When the replicas fall silent: streams have about eight events then.
SILENT_AT = 0.45
# Longer than the pause after which an event is overdue.
SILENCE_SECONDS = 1.3


def all_engines(world: EntryWorld) -> list[EntryReplica]:
    """Return the engines that decode."""
    return [rep for rep in world.replicas.values() if rep.phase == "decode"]


async def run_streams(
    world: EntryWorld,
    count: int,
    silence: dict[int, float],
    silent_at: float = SILENT_AT,
    headers: tuple = prompt_headers(EVENTS, 1000, 0),
) -> list[Reply]:
    """Return the replies to ``count`` streams.

    ``silence`` has the seconds for which engines are silent, by number, from
    ``silent_at`` on.
    """
    replies: list[Reply] = []

    async def ask(number: int) -> None:
        more = {"headers": headers, "left_ms": 4000}
        replies.append(await world.ask("/brief/x", f"r{number}", **more))

    async with trio.open_nursery() as nursery:
        for number in range(count):
            nursery.start_soon(ask, number)
        await trio.sleep(silent_at)
        for number, seconds in silence.items():
            all_engines(world)[number].silent_until = trio.current_time() + seconds
    return replies


def runs_of(world: EntryWorld) -> list[str]:
    """Return the requests that ran, once for each run."""
    return [run.request for rep in world.replicas.values() for run in rep.runs]


async def read_until_silent(link: CallerLink) -> bytes:
    """Return what arrives on a link until nothing more has come for 0.3 s."""
    got = b""
    while True:
        with trio.move_on_after(0.3):
            got += await link.stream.receive_some(65536)
            continue
        return got


class AllSilentTest(unittest.TestCase):
    """Guards against streams that are given up although no other engine answers."""

    def check(self, **more):
        async def task(world):
            silence = dict.fromkeys(range(3), SILENCE_SECONDS)
            replies = await run_streams(world, 24, silence, **more)
            return replies, runs_of(world)

        replies, runs = run_entry(task, plain=0, engines="ddd")
        for reply in replies:
            self.assertEqual((reply.status, reply.whole), (200, True))
            self.assertEqual(reply.body, stream_body(1, EVENTS))
        self.assertEqual(len(runs), 24)

    def test_started_streams(self):
        self.check()

    def test_streams_without_an_event(self):
        self.check(silent_at=0.02)

    def test_plain_requests(self):
        async def task(world):
            replies = []

            async def ask(number):
                replies.append(await world.ask("/look/x", f"r{number}", left_ms=4000))

            for replica in world.replicas.values():
                replica.silent_until = trio.current_time() + SILENCE_SECONDS
            async with trio.open_nursery() as nursery:
                for number in range(24):
                    nursery.start_soon(ask, number)
            return [(reply.status, reply.whole) for reply in replies]

        self.assertEqual(run_entry(task, plain=3), [(200, True)] * 24)


class SpentBudgetTest(unittest.TestCase):
    """Guards against a stream that is given up while no retry is allowed."""

    def test_stream_waits_for_its_engine(self):
        async def task(world):
            world.hosts[0].retry_budget(ENGINES).set_limits(0.0, 10.0, 0.0)
            replies = await run_streams(world, 6, {0: SILENCE_SECONDS})
            return replies, len(runs_of(world))

        replies, runs = run_entry(task, plain=0, engines="ddd")
        for reply in replies:
            self.assertEqual((reply.body, reply.whole), (stream_body(1, EVENTS), True))
        self.assertEqual(runs, 6)


class OneSilentTest(unittest.TestCase):
    """Guards against streams that stay with an engine that is silent for long."""

    def test_streams_go_on_elsewhere(self):
        async def task(world):
            start = trio.current_time()
            replies = await run_streams(world, 9, {0: 10.0})
            return replies, trio.current_time() - start

        replies, seconds = run_entry(task, plain=0, engines="ddd")
        for reply in replies:
            self.assertEqual((reply.body, reply.whole), (stream_body(1, EVENTS), True))
        self.assertLess(seconds, 3.5)

    def test_attempt_ends_at_the_silent_engine_once_another_one_answers(self):
        async def task(world):
            await run_streams(world, 9, {0: 10.0})
            return len(all_engines(world)[0].open_sessions)

        self.assertEqual(run_entry(task, plain=0, engines="ddd"), 0)

    def test_engine_that_would_answer_too_late_gets_no_attempt(self):
        async def task(world):
            link = world.connect()
            headers = prompt_headers(EVENTS, 1000, 0)
            await link.send("/brief/x", headers=headers, left_ms=4000)
            await trio.sleep(SILENT_AT)
            for engine in all_engines(world):
                if engine.runs:
                    engine.silent_until = trio.current_time() + 10.0
                else:
                    loads = world.hosts[0].loads
                    loads.record_sent(engine.instance, 400_000, 0)
            await trio.sleep(1.5)
            return len(runs_of(world))

        self.assertEqual(run_entry(task, plain=0, engines="dd"), 1)

    def test_caller_that_leaves_ends_both_attempts(self):
        async def task(world):
            link = world.connect()
            headers = prompt_headers(EVENTS, 1000, 0)
            await link.send("/brief/x", headers=headers, left_ms=4000)
            await trio.sleep(SILENT_AT)
            for engine in all_engines(world):
                engine.silent_until = trio.current_time() + 10.0
            await trio.sleep(1.4)
            attempts = len(runs_of(world))
            await link.close()
            await trio.sleep(0.1)
            return attempts, [
                len(engine.open_sessions) for engine in all_engines(world)
            ]

        self.assertEqual(run_entry(task, plain=0, engines="dd"), (2, [0, 0]))


class TwoAnswersTest(unittest.TestCase):
    """Guards against events that are missing or doubled where two engines answer."""

    def run_with_silence(self, seconds: float) -> tuple[bytes, bool]:
        async def task(world):
            headers = prompt_headers(EVENTS, 1000, 0)
            link = world.connect()
            await link.send("/brief/x", headers=headers, left_ms=4000)
            await trio.sleep(SILENT_AT)
            for engine in all_engines(world):
                if engine.runs:
                    engine.silent_until = trio.current_time() + seconds
            reply = await link.read()
            return reply.body, reply.whole

        return run_entry(task, plain=0, engines="dd")

    def test_every_end_of_the_silence_around_the_second_answer(self):
        for ms in range(1150, 1450, 4):
            with self.subTest(ms=ms):
                found = self.run_with_silence(ms / 1000)
                self.assertEqual(found, (stream_body(1, EVENTS), True))

    def test_plain_answers(self):
        for ms in range(740, 800, 2):

            async def task(world, ms=ms):
                for replica in world.replicas.values():
                    replica.silent_until = trio.current_time() + ms / 1000
                link = world.connect()
                reply = await link.ask("/look/x", "r1", left_ms=4000)
                rest = await read_until_silent(link)
                return reply.status, reply.whole, rest

            with self.subTest(ms=ms):
                self.assertEqual(run_entry(task), (200, True, b""))


class LateHostTest(unittest.TestCase):
    """Guards against further attempts by a host that was stopped itself."""

    def test_responses_that_have_arrived_are_read_first(self):
        async def task(world):
            link = world.connect()
            headers = prompt_headers(EVENTS, 1000, 0)
            await link.send("/brief/x", headers=headers, left_ms=4000)
            await trio.sleep(SILENT_AT)
            trio.lowlevel.current_clock().jump(1.4)
            reply = await link.read()
            return reply.body, reply.whole

        with self.assertLogs("berylshift.request.routed_handler", "INFO") as logs:
            found = run_entry(task, plain=0, engines="ddd")
        self.assertEqual(found, (stream_body(1, EVENTS), True))
        [ended] = [rec for rec in logs.records if rec.message == "request ended"]
        self.assertEqual(len(ended.sends), 1)


class SlowCallerTest(unittest.TestCase):
    """Guards against a further attempt for a caller that reads slowly."""

    def test_time_of_a_write_is_no_silence(self):
        async def task(world):
            for engine in all_engines(world):
                engine.event_seconds = 0.0002
            link = world.connect()
            headers = prompt_headers(6000, 1000, 0)
            await link.send("/brief/x", headers=headers, left_ms=4000)
            await trio.sleep(2.2)
            reply = await link.read()
            return reply.body == stream_body(1, 6000), len(runs_of(world))

        self.assertEqual(run_entry(task, plain=0, engines="dd"), (True, 1))


class LateFailureTest(unittest.TestCase):
    """Guards against a failure that is reported while another attempt may answer."""

    def test_failed_first_attempt_beside_a_hedge(self):
        async def task(world):
            first, second = world.replicas.values()
            for replica in (first, second):
                replica.faults = [Fault.ERROR]
                replica.silent_until = trio.current_time() + 0.9
            link = world.connect()
            await link.send("/look/x", left_ms=4000)
            await trio.sleep(0.5)
            other = first if second.runs else second
            other.faults = []
            other.silent_until = trio.current_time() + 0.7
            reply = await link.read()
            return reply.status, len(runs_of(world))

        self.assertEqual(run_entry(task), (200, 2))


if __name__ == "__main__":
    unittest.main()
