"""Where requests go on that ran on a replica as it ended."""

import unittest

import trio

from berylshift.ids import DomainName, Fingerprint, InstanceId, ServiceName
from berylshift.messages.replicas import Replica
from berylshift.process.quarantine.quarantine import CRASHED_HEARTBEATS, Quarantine
from berylshift.request.isolation import (
    REPLICAS_PER_ISOLATION_REPLICA,
    is_last_remaining,
    isolation_replicas,
    remaining_replicas,
)
from berylshift.request.routed_crash_watch import LAST_REPLICA_RETRY_SECONDS
from berylshift.tests.entry_world import prompt_headers, run_entry

HEARTBEAT_SECONDS = 1.2


def replicas(count: int) -> list[Replica]:
    """Return some replicas."""
    return [
        Replica(InstanceId(f"i{n}"), ServiceName("s"), "a:1", DomainName("z"), 8)
        for n in range(count)
    ]


class SetAsideTest(unittest.TestCase):
    """Which replicas suspects may go to."""

    def test_they_are_few_and_never_all(self):
        """Guards against several suspects that end all replicas at once."""
        for count in range(2, 81):
            aside = isolation_replicas(replicas(count))
            self.assertLessEqual(
                len(aside), max(1, count // REPLICAS_PER_ISOLATION_REPLICA)
            )
            self.assertLess(len(aside), count)
            self.assertTrue(aside)

    def test_all_hosts_choose_alike(self):
        found = replicas(20)
        self.assertEqual(isolation_replicas(found), isolation_replicas(found[::-1]))

    def test_the_last_of_several_is_known(self):
        found = replicas(3)
        left = remaining_replicas(found, [found[0].instance, found[1].instance])
        self.assertTrue(is_last_remaining(left, found))
        self.assertFalse(is_last_remaining(found[:1], found[:1]))
        self.assertFalse(is_last_remaining(found[:2], found))


class EndedTest(unittest.TestCase):
    """What is known of a replica that broke off."""

    def setUp(self):
        self.quarantine = Quarantine(HEARTBEAT_SECONDS)
        self.target = InstanceId("i1")

    def test_one_broken_connection_is_no_end(self):
        """Guards against a replica given up for one connection that was reset."""
        self.quarantine.record_crash(Fingerprint(1), self.target, 1.0)
        self.assertFalse(self.quarantine.has_crashed(self.target, 1.1))
        self.quarantine.record_crash(Fingerprint(2), self.target, 1.0)
        self.assertTrue(self.quarantine.has_crashed(self.target, 1.1))

    def test_a_replica_that_is_back_under_its_name_gets_work_again(self):
        """Guards against a replica that nobody asks, and so never clears itself."""
        for number in (1, 2):
            self.quarantine.record_crash(Fingerprint(number), self.target, 1.0)
        back_at = 1.0 + CRASHED_HEARTBEATS * HEARTBEAT_SECONDS
        self.assertFalse(self.quarantine.has_crashed(self.target, back_at))

    def test_a_replica_that_answers_has_not_ended(self):
        for number in (1, 2):
            self.quarantine.record_crash(Fingerprint(number), self.target, 1.0)
        self.quarantine.record_reconnect(self.target, 1.1)
        self.assertFalse(self.quarantine.has_crashed(self.target, 1.2))


class SuspectsTest(unittest.TestCase):
    """Whole path: engines that end under their streams."""

    def end(self, world, number: int):
        """Return the engine that is to end."""
        return list(world.replicas.values())[-number]

    async def streams(self, world, count: int):
        """Open streams that last for seconds; return their links."""
        links = []
        for number in range(count):
            link = world.connect()
            headers = prompt_headers(pieces=60, part=f"a{number}", shared=0)
            path = f"/brief/{number}"
            await link.send(path, f"r{number}", headers=headers, left_ms=3900)
            links.append(link)
        await trio.sleep(0.3)
        return links

    def test_streams_of_an_ended_engine_go_on_at_one_engine(self):
        """Guards against one end that puts all other engines under suspects."""

        async def task(world):
            await self.streams(world, 12)
            engines = list(world.replicas.values())[-4:]
            ended = max(engines, key=lambda engine: len(engine.runs))
            others = [engine for engine in engines if engine is not ended]
            before = {engine.instance: len(engine.runs) for engine in others}
            await ended.crash("/brief/0")
            await trio.sleep(0.4)
            return [len(e.runs) - before[e.instance] for e in others], len(ended.runs)

        more, broken = run_entry(task, engines="dddd")
        self.assertGreater(broken, 1)
        self.assertEqual(sorted(more), [0, 0, broken])

    def test_a_new_request_does_not_go_to_an_engine_that_has_ended(self):
        """Guards against sends to what is listed for seconds after its end.

        Another host saw it end.
        """

        async def task(world):
            await self.streams(world, 8)
            ended = list(world.replicas.values())[-1]
            await ended.crash("/brief/0")
            await trio.sleep(0.3)
            world.dialed.clear()
            for number in range(6):
                headers = prompt_headers(pieces=2, shared=0)
                path = f"/note/{number}"
                await world.ask(path, f"n{number}", host=1, headers=headers)
            return ended.address in world.dialed

        self.assertFalse(run_entry(task, hosts=2, engines="dd"))

    def test_a_suspect_that_has_not_begun_leaves_the_last_engine_alone(self):
        """Guards against the loss of all engines of a service to the same requests."""

        async def task(world):
            for engine in list(world.replicas.values())[-2:]:
                engine.piece_seconds = 1.0
            links = await self.streams(world, 8)
            ended, last = list(world.replicas.values())[-2:]
            before = len(last.runs)
            await ended.crash("/brief/0")
            await trio.sleep(0.3)
            replies = [await links[0].read()]
            return len(last.runs) - before, replies[0]

        more, reply = run_entry(task, engines="dd")
        self.assertEqual(more, 0)
        if reply.status == 503:
            self.assertGreaterEqual(reply.again, LAST_REPLICA_RETRY_SECONDS)


if __name__ == "__main__":
    unittest.main()
