"""Retries of suspect requests, which ran on a replica when it crashed."""

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


class IsolationReplicasTest(unittest.TestCase):
    """The replicas that suspect requests may be sent to."""

    def test_isolation_replicas_are_few_and_never_all(self):
        """Guards against several suspects that crash all replicas at once."""
        for count in range(2, 81):
            isolated = isolation_replicas(replicas(count))
            self.assertLessEqual(
                len(isolated), max(1, count // REPLICAS_PER_ISOLATION_REPLICA)
            )
            self.assertLess(len(isolated), count)
            self.assertTrue(isolated)

    def test_all_hosts_choose_alike(self):
        listed = replicas(20)
        self.assertEqual(isolation_replicas(listed), isolation_replicas(listed[::-1]))

    def test_the_last_of_several_is_detected(self):
        listed = replicas(3)
        remaining = remaining_replicas(listed, [listed[0].instance, listed[1].instance])
        self.assertTrue(is_last_remaining(remaining, listed))
        self.assertFalse(is_last_remaining(listed[:1], listed[:1]))
        self.assertFalse(is_last_remaining(listed[:2], listed))


class CrashedReplicaTest(unittest.TestCase):
    """When a replica that broke connections counts as crashed."""

    def setUp(self):
        self.quarantine = Quarantine(HEARTBEAT_SECONDS)
        self.target = InstanceId("i1")

    def test_one_broken_connection_is_not_a_crash(self):
        """Guards against excluding a replica because one connection was reset."""
        self.quarantine.record_crash(Fingerprint(1), self.target, 1.0)
        self.assertFalse(self.quarantine.has_crashed(self.target, 1.1))
        self.quarantine.record_crash(Fingerprint(2), self.target, 1.0)
        self.assertTrue(self.quarantine.has_crashed(self.target, 1.1))

    def test_a_restarted_replica_of_the_same_name_gets_work_again(self):
        """Guards against excluding a restarted replica for good.

        Only a response clears it, and an excluded replica gets no requests.
        """
        for number in (1, 2):
            self.quarantine.record_crash(Fingerprint(number), self.target, 1.0)
        back_at = 1.0 + CRASHED_HEARTBEATS * HEARTBEAT_SECONDS
        self.assertFalse(self.quarantine.has_crashed(self.target, back_at))

    def test_a_replica_that_responds_has_not_crashed(self):
        for number in (1, 2):
            self.quarantine.record_crash(Fingerprint(number), self.target, 1.0)
        self.quarantine.record_reconnect(self.target, 1.1)
        self.assertFalse(self.quarantine.has_crashed(self.target, 1.2))


class SuspectsTest(unittest.TestCase):
    """End to end: engines that crash while they stream responses."""

    def engine_to_crash(self, world, number: int):
        """Return the engine that is to crash."""
        return list(world.replicas.values())[-number]

    async def streams(self, world, count: int):
        """Open streams that last for seconds; return their connections."""
        links = []
        for number in range(count):
            link = world.connect()
            headers = prompt_headers(pieces=60, block=f"a{number}", prefix_tokens=0)
            path = f"/brief/{number}"
            await link.send(path, f"r{number}", headers=headers, left_ms=3900)
            links.append(link)
        await trio.sleep(0.3)
        return links

    def test_streams_of_a_crashed_engine_resume_on_one_engine(self):
        """Guards against one crash that spreads suspects over all other engines."""

        async def task(world):
            await self.streams(world, 12)
            engines = list(world.replicas.values())[-4:]
            crashed = max(engines, key=lambda engine: len(engine.runs))
            others = [engine for engine in engines if engine is not crashed]
            before = {engine.instance: len(engine.runs) for engine in others}
            await crashed.crash("/brief/0")
            await trio.sleep(0.4)
            return [len(e.runs) - before[e.instance] for e in others], len(crashed.runs)

        new_runs, crashed_streams = run_entry(task, engines="dddd")
        self.assertGreater(crashed_streams, 1)
        self.assertEqual(sorted(new_runs), [0, 0, crashed_streams])

    def test_a_new_request_is_not_sent_to_a_crashed_engine(self):
        """Guards against sends to an engine that is still listed after its crash.

        Its entry stays for seconds. The crash was seen by another host.
        """

        async def task(world):
            await self.streams(world, 8)
            crashed = list(world.replicas.values())[-1]
            await crashed.crash("/brief/0")
            await trio.sleep(0.3)
            world.dialed.clear()
            for number in range(6):
                headers = prompt_headers(pieces=2, prefix_tokens=0)
                path = f"/note/{number}"
                await world.ask(path, f"n{number}", host=1, headers=headers)
            return crashed.address in world.dialed

        self.assertFalse(run_entry(task, hosts=2, engines="dd"))

    def test_a_suspect_without_output_is_not_sent_to_the_last_engine(self):
        """Guards against losing all engines of a service to the same requests."""

        async def task(world):
            for engine in list(world.replicas.values())[-2:]:
                engine.event_seconds = 1.0
            links = await self.streams(world, 8)
            crashed, last = list(world.replicas.values())[-2:]
            before = len(last.runs)
            await crashed.crash("/brief/0")
            await trio.sleep(0.3)
            replies = [await links[0].read()]
            return len(last.runs) - before, replies[0]

        new_runs, reply = run_entry(task, engines="dd")
        self.assertEqual(new_runs, 0)
        if reply.status == 503:
            self.assertGreaterEqual(
                reply.retry_after_seconds, LAST_REPLICA_RETRY_SECONDS
            )


if __name__ == "__main__":
    unittest.main()
