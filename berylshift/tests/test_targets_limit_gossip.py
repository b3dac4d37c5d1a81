"""Which updates on replicas' rate limits hosts send each other."""

import unittest

import trio

from berylshift.ids import InstanceId
from berylshift.messages.load_digest import LimitUpdate, target_hash
from berylshift.messages.routed import FlowControl
from berylshift.process.targets.limit_gossip import (
    MAX_UPDATES,
    RESEND_SECONDS,
    SEND_SECONDS,
    LimitGossip,
)
from berylshift.tests.entry_world import run_entry
from berylshift.tests.multi_host_world import WorldHost
from berylshift.tests.test_gossip_collectors import SETTLED_SECONDS, run_world

TARGET = 77
NAME = InstanceId("plain-1")
# The platform's bound for all connected hosts to know of a limit.
SPREAD_SECONDS = 3.0


class LimitGossipTest(unittest.TestCase):
    """The updates of one host."""

    def setUp(self):
        self.gossip = LimitGossip()
        self.gossip.record_own(TARGET, 2.5, 10.0)

    def rates(self, now: float, own_only: bool = True) -> list[float | None]:
        return [
            update.requests_per_second
            for update in self.gossip.updates_to_send(now, own_only)
        ]

    def test_limit_is_sent_for_a_while_and_resent(self):
        self.assertEqual(self.rates(10.1), [2.5])
        self.gossip.record_own(TARGET, 2.6, 11.0)
        self.assertEqual(self.rates(11.0), [])
        self.gossip.record_own(TARGET, 2.6, 10.0 + RESEND_SECONDS)
        self.assertEqual(self.rates(10.1 + RESEND_SECONDS), [2.6])

    def test_lifted_limit_is_sent_at_once(self):
        self.gossip.record_own(TARGET, None, 11.0)
        self.assertEqual(self.rates(11.1), [None])

    def test_only_collectors_forward_updates(self):
        """Guards against updates that circulate among hosts forever."""
        update = LimitUpdate(TARGET + 1, 1.0, 0.2)
        self.assertTrue(self.gossip.receive(update, 11.0))
        self.assertEqual(self.rates(11.0), [])
        self.assertEqual(self.rates(11.0, own_only=False), [1.0])
        self.assertEqual(self.rates(11.0 + SEND_SECONDS, own_only=False), [])

    def test_older_update_is_ignored(self):
        """Guards against a lifted limit set again by a delayed datagram."""
        self.gossip.record_own(TARGET, None, 12.0)
        self.assertFalse(self.gossip.receive(LimitUpdate(TARGET, 2.5, 0.5), 12.2))
        self.assertTrue(self.gossip.receive(LimitUpdate(TARGET, 2.5, 0.1), 13.0))

    def test_updates_in_a_digest_are_bounded(self):
        for number in range(2 * MAX_UPDATES):
            self.gossip.record_own(number, 1.0, 20.0)
        self.assertEqual(
            len(self.gossip.updates_to_send(20.0, own_only=True)), MAX_UPDATES
        )

    def test_removed_replica_is_not_sent(self):
        self.gossip.forget(TARGET)
        self.assertEqual(self.rates(10.0), [])


class PropagationTest(unittest.TestCase):
    """Hosts that have sent no request to the replica themselves."""

    def state_limit(self, host: WorldHost, rate: float | None) -> None:
        now = trio.current_time()
        host.throttle.apply_flow_control(NAME, FlowControl(rate_limit=rate), now, now)

    def test_many_hosts_learn_of_a_limit_and_of_its_end(self):
        """Guards against hundreds of hosts that each have to find out by themselves."""

        async def task(world):
            world.put_replica(NAME)
            await trio.sleep(2)
            self.state_limit(world.hosts[9], 2.5)
            await trio.sleep(SPREAD_SECONDS / 2)
            named = [len(host.throttle) for host in world.hosts]
            self.state_limit(world.hosts[9], None)
            await trio.sleep(SPREAD_SECONDS / 2)
            return named, [len(host.throttle) for host in world.hosts]

        named, lifted = run_world(task)
        self.assertEqual(set(named), {1})
        self.assertEqual(set(lifted), {0})

    def test_restarted_host_learns_of_it(self):
        async def task(world):
            world.put_replica(NAME)
            await trio.sleep(2)
            restarted = world.restart(world.hosts[9])
            for _ in range(int(SETTLED_SECONDS)):
                self.state_limit(world.hosts[3], 2.5)
                await trio.sleep(1)
            return len(restarted.throttle)

        self.assertEqual(run_world(task), 1)

    def test_few_hosts_learn_of_it(self):
        async def task(world):
            world.replicas["10.0.0.1:80"].rate_limit = 2.5
            await world.ask("/look/1")
            await trio.sleep(1)
            return [len(host.throttle) for host in world.hosts]

        self.assertEqual(run_entry(task, hosts=3, plain=1), [1, 1, 1])

    def test_update_on_an_unknown_replica_is_ignored(self):
        async def task(world):
            throttle = world.hosts[0].throttle
            throttle.apply_updates([LimitUpdate(5, 1.0, 0.0)], trio.current_time())
            listed = LimitUpdate(target_hash(NAME), 1.0, 0.0)
            throttle.apply_updates([listed], trio.current_time())
            return len(throttle)

        self.assertEqual(run_entry(task, plain=1), 1)
