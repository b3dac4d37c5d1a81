"""What hosts tell each other of replicas' rate limits."""

import unittest

import trio

from berylshift.ids import InstanceId
from berylshift.messages.load_digest import LimitUpdate, target_hash
from berylshift.messages.routed import FlowControl
from berylshift.process.targets.limit_gossip import (
    AGAIN_SECONDS,
    MOST_TOLD,
    TOLD_SECONDS,
    LimitNews,
)
from berylshift.tests.entry_world import run_entry
from berylshift.tests.multi_host_world import GatheredHost
from berylshift.tests.test_gossip_collectors import SETTLED_SECONDS, run_world

TARGET = 77
NAME = InstanceId("plain-1")
# Hosts in touch know of a limit by then, by the platform's bound.
STABLE_SECONDS = 3.0


class LimitNewsTest(unittest.TestCase):
    """One host's news."""

    def setUp(self):
        self.news = LimitNews()
        self.news.given(TARGET, 2.5, 10.0)

    def rates(self, now: float, own_alone: bool = True) -> list[float | None]:
        return [told.requests_per_second for told in self.news.to_tell(now, own_alone)]

    def test_a_limit_is_told_for_a_while_and_again(self):
        self.assertEqual(self.rates(10.1), [2.5])
        self.news.given(TARGET, 2.6, 11.0)
        self.assertEqual(self.rates(11.0), [])
        self.news.given(TARGET, 2.6, 10.0 + AGAIN_SECONDS)
        self.assertEqual(self.rates(10.1 + AGAIN_SECONDS), [2.6])

    def test_its_end_is_told_at_once(self):
        self.news.given(TARGET, None, 11.0)
        self.assertEqual(self.rates(11.1), [None])

    def test_what_others_told_is_told_on_by_those_that_gather_alone(self):
        """Guards against words that go round among hosts for good."""
        told = LimitUpdate(TARGET + 1, 1.0, 0.2)
        self.assertTrue(self.news.heard(told, 11.0))
        self.assertEqual(self.rates(11.0), [])
        self.assertEqual(self.rates(11.0, own_alone=False), [1.0])
        self.assertEqual(self.rates(11.0 + TOLD_SECONDS, own_alone=False), [])

    def test_an_older_word_is_no_news(self):
        """Guards against a limit that comes back by a datagram that was held up."""
        self.news.given(TARGET, None, 12.0)
        self.assertFalse(self.news.heard(LimitUpdate(TARGET, 2.5, 0.5), 12.2))
        self.assertTrue(self.news.heard(LimitUpdate(TARGET, 2.5, 0.1), 13.0))

    def test_a_digest_holds_few(self):
        for number in range(2 * MOST_TOLD):
            self.news.given(number, 1.0, 20.0)
        self.assertEqual(len(self.news.to_tell(20.0, own_alone=True)), MOST_TOLD)

    def test_a_replica_that_is_gone_is_not_told_of(self):
        self.news.forget(TARGET)
        self.assertEqual(self.rates(10.0), [])


class SpreadTest(unittest.TestCase):
    """Hosts that have sent nothing to the replica themselves."""

    def hear(self, host: GatheredHost, rate: float | None) -> None:
        now = trio.current_time()
        host.throttle.heard(NAME, FlowControl(rate_limit=rate), now, now)

    def test_many_hosts_know_of_a_limit_and_of_its_end(self):
        """Guards against hundreds of hosts that each find out by themselves."""

        async def task(world):
            world.put_replica(NAME)
            await trio.sleep(2)
            self.hear(world.hosts[9], 2.5)
            await trio.sleep(STABLE_SECONDS / 2)
            named = [len(host.throttle) for host in world.hosts]
            self.hear(world.hosts[9], None)
            await trio.sleep(STABLE_SECONDS / 2)
            return named, [len(host.throttle) for host in world.hosts]

        named, lifted = run_world(task)
        self.assertEqual(set(named), {1})
        self.assertEqual(set(lifted), {0})

    def test_a_host_that_starts_again_hears_of_it(self):
        async def task(world):
            world.put_replica(NAME)
            await trio.sleep(2)
            again = world.restart(world.hosts[9])
            for _ in range(int(SETTLED_SECONDS)):
                self.hear(world.hosts[3], 2.5)
                await trio.sleep(1)
            return len(again.throttle)

        self.assertEqual(run_world(task), 1)

    def test_few_hosts_know_of_it(self):
        async def play(world):
            world.replicas["10.0.0.1:80"].rate_limit = 2.5
            await world.ask("/look/1")
            await trio.sleep(1)
            return [len(host.throttle) for host in world.hosts]

        self.assertEqual(run_entry(play, hosts=3, plain=1), [1, 1, 1])

    def test_a_word_of_an_unknown_replica_is_passed_over(self):
        async def play(world):
            throttle = world.hosts[0].throttle
            throttle.heard_of([LimitUpdate(5, 1.0, 0.0)], trio.current_time())
            listed = LimitUpdate(target_hash(NAME), 1.0, 0.0)
            throttle.heard_of([listed], trio.current_time())
            return len(throttle)

        self.assertEqual(run_entry(play, plain=1), 1)
