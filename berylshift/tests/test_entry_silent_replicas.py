"""Replicas that send nothing for a while and then go on."""

import unittest
import unittest.mock

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

    def test_event_in_the_moment_of_the_decision(self):
        for ticks in range(4):
            for seed in range(6):
                with self.subTest(ticks=ticks, seed=seed):
                    found = self.run_with_late_event(ticks, seed)
                    self.assertEqual(found, (stream_body(1, EVENTS), True))

    def run_with_late_event(self, ticks: int, seed: int) -> tuple[bytes, bool]:
        """Let an event come ``ticks`` turns of the event loop before it is overdue.

        Its engine is silent for long after it.
        """
        sent: list[float] = []

        async def send(session, data):
            if b"id: " in data and len(sent) < 10:
                sent.append(trio.current_time())
                if len(sent) == 9:
                    await trio.sleep_until(sent[7] + 1.195)
                    await session.stream.send_all(data)
                    for _ in range(ticks):
                        await trio.lowlevel.checkpoint()
                    trio.lowlevel.current_clock().jump(0.005)
                    return
                if len(sent) == 10:
                    await trio.sleep(10)
            await session.stream.send_all(data)

        async def task(world):
            link = world.connect()
            headers = prompt_headers(EVENTS, 1000, 0)
            await link.send("/brief/x", headers=headers, left_ms=4000)
            reply = await link.read()
            return reply.body, reply.whole

        target = "berylshift.stand_ins.entry_replica._Session._send_unless_silent"
        with (
            unittest.mock.patch(target, send),
            unittest.mock.patch("berylshift.tests.support.SEED", seed),
        ):
            return run_entry(task, plain=0, engines="dd")

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


class LostPathTest(unittest.TestCase):
    """Guards against prompts broken off at a lost path that none can take over."""

    def reply_after_loss(self, engines: str, **more) -> tuple[int, bool]:
        """Lose the paths of a prompt's host for a moment while it is prefilled."""

        async def task(world):
            link = world.connect()
            await link.send("/brief/x", headers=prompt_headers(EVENTS), left_ms=4000)
            for replica in world.replicas.values():
                replica.silent_until = trio.current_time() + 0.8
            await trio.sleep(0.5)
            for address in world.replicas:
                world.hosts[0].ports.client.break_silent(address)
            reply = await link.read()
            return reply.status, reply.whole

        return run_entry(task, plain=0, engines=engines)

    def test_only_prefill_engine(self):
        self.assertEqual(self.reply_after_loss("pd"), (200, True))

    def test_one_of_two_prefill_engines(self):
        self.assertEqual(self.reply_after_loss("ppd"), (200, True))


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

    def test_next_request_does_not_wait_for_a_further_attempt(self):
        async def send_plain(session, headers, fault):
            await trio.sleep(session.replica.work_seconds)
            await session._send_response(200, b"x" * 400_000, headers)

        async def task(world):
            link = world.connect()
            await link.send("/look/x", left_ms=3000)
            await trio.sleep(0.3)
            for replica in world.replicas.values():
                replica.silent_until = trio.current_time() + 60
            await trio.sleep(0.7)
            await link.read()
            for replica in world.replicas.values():
                replica.silent_until = 0.0
            begin = trio.current_time()
            reply = await link.ask("/book/x", "r2")
            return reply.status, trio.current_time() - begin < 0.5

        target = "berylshift.stand_ins.entry_replica._Session._send_plain"
        with unittest.mock.patch(target, send_plain):
            self.assertEqual(run_entry(task), (200, True))


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
