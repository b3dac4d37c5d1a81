"""Replicas that state a limit in their responses: what all hosts send together."""

import unittest
from fractions import Fraction

import trio

from berylshift.messages.replicas import EnginePhase
from berylshift.tests.entry_world import PLAIN, run_entry
from berylshift.tests.limit_load import LimitLoad, max_allowed, max_from_informed

UNEVEN = (8, 8, 4, 2, 2, 1, 1, 1, 1)


class SomeLimitedTest(unittest.TestCase):
    """Some replicas state a limit, others do not."""

    def test_all_hosts_together_keep_a_replicas_limit(self):
        """Guards against hosts that place requests by load alone."""

        async def play(world):
            limited = world.replicas["10.0.0.1:80"]
            load = LimitLoad(world, UNEVEN)
            await load.run("/look/", 30, 2)
            limited.rate_limit = 2.6
            await load.run("/look/", 30, 14)
            return limited, load

        limited, load = run_entry(play, hosts=9, plain=3)
        self.assertLessEqual(max_from_informed(limited), max_allowed(2.6))
        self.assertEqual(load.served, len(load.replies))

    def test_streams_keep_the_limits_of_two_engines_of_three(self):
        """Guards against separate counts of prefills, streams and cache releases."""

        async def play(world):
            engines = list(world.replicas.values())[-3:]
            load = LimitLoad(world, UNEVEN)
            await load.run("/note/", 25, 2)
            for engine in engines[:2]:
                engine.rate_limit = 2.6
            await load.run("/note/", 25, 14)
            return engines, load

        engines, load = run_entry(play, hosts=9, engines="ppddd")
        for engine in engines[:2]:
            self.assertLessEqual(max_from_informed(engine), max_allowed(2.6))
        self.assertEqual(load.served, len(load.replies))


class MovingLoadTest(unittest.TestCase):
    """Most requests come to one host, then to another one."""

    def test_all_hosts_together_keep_the_limits(self):
        """Guards against a share that two hosts use while it moves between them."""

        async def play(world):
            replicas = list(world.replicas.values())
            for replica in replicas:
                replica.rate_limit = 10.0
            await LimitLoad(world, (1, 1, 1, 1)).run("/look/", 40, 4)
            for host in (0, 2, 1, 0):
                shares = [19 if number == host else 1 for number in range(4)]
                await LimitLoad(world, shares).run(f"/look/{host}", 60, 4)
            return replicas

        for replica in run_entry(play, hosts=4, plain=2):
            self.assertLessEqual(max_from_informed(replica), max_allowed(10.0))


class AllLimitedTest(unittest.TestCase):
    """All replicas state a limit."""

    def run_limited(self, path: str, **world):
        """Send requests for 12 s to replicas with limits of 2.6 requests a second."""

        async def play(world):
            replicas = [
                rep
                for rep in world.replicas.values()
                if rep.phase is not EnginePhase.PREFILL
            ]
            for replica in replicas:
                replica.rate_limit = 2.6
            load = LimitLoad(world, UNEVEN)
            await load.run(path, 25, 12)
            return replicas, load

        return run_entry(play, hosts=9, **world)

    def test_requests_beyond_the_limits_are_refused_at_once(self):
        """Guards against requests that wait for a send slot until their deadline."""
        replicas, load = self.run_limited("/look/", plain=3)
        for replica in replicas:
            self.assertLessEqual(max_from_informed(replica), max_allowed(2.6))
        refused = [reply for reply in load.replies if reply.status != 200]
        self.assertEqual({reply.status for reply in refused}, {503})
        self.assertTrue(all(0 < reply.retry_after_seconds < 1.0 for reply in refused))
        self.assertLess(load.longest_refusal_seconds, 0.05)

    def test_requests_within_the_limits_are_served(self):
        """Guards against limits that are kept by sending next to nothing."""
        _, load = self.run_limited("/look/", plain=3)
        self.assertGreater(load.served, 0.6 * 3 * 2.6 * 12)

    def test_no_prefill_without_a_decode_engine(self):
        """Guards against wasted prefills before a request is refused."""
        replicas, load = self.run_limited("/note/", plain=0, engines="ppddd")
        for replica in replicas:
            self.assertLessEqual(max_from_informed(replica), max_allowed(2.6))
        prefill_count = sum(len(rep.prefills) for rep in load.world.replicas.values())
        self.assertLessEqual(prefill_count, load.served)


class LiftedTest(unittest.TestCase):
    """A limit is in force for as long as the replica states it."""

    def test_replica_with_a_lifted_limit_gets_its_share_again(self):
        async def play(world):
            limited = world.replicas["10.0.0.1:80"]
            limited.rate_limit = 2.6
            load = LimitLoad(world, UNEVEN)
            await load.run("/look/", 30, 10)
            limited.rate_limit = None
            await load.run("/look/", 30, 20)
            before = len(limited.calls)
            await load.run("/look/", 30, 5)
            return len(limited.calls) - before

        self.assertGreater(run_entry(play, hosts=9, plain=3), 5 * 30 / 3 / 2)

    def test_limit_of_a_prefill_engine_is_kept(self):
        """Guards against a code path to replicas that bypasses the limit."""

        async def play(world):
            prefill_engine = list(world.replicas.values())[-4]
            prefill_engine.rate_limit = 2.6
            load = LimitLoad(world, UNEVEN)
            await load.run("/note/", 25, 12)
            return prefill_engine, load

        prefill_engine, load = run_entry(play, hosts=9, engines="ppdd")
        self.assertLessEqual(max_from_informed(prefill_engine), max_allowed(2.6))
        self.assertEqual(load.served, len(load.replies))

    def test_response_of_another_replica_sets_no_limit(self):
        """Guards against addresses that another replica has taken over."""

        async def play(world):
            replica = world.replicas["10.0.0.1:80"]
            replica.instance, replica.rate_limit = "someone-else", 2.6
            for number in range(4):
                await world.ask(f"/look/{number}", f"r{number}")
            return len(world.hosts[0].throttle)

        self.assertEqual(run_entry(play, plain=1), 0)


class PrefillEnginesTest(unittest.TestCase):
    """All decode engines state a limit, the prefill engines do not."""

    def test_prefill_engines_decode_in_their_place(self):
        """Guards against refusals while the prefill engines could decode."""

        async def play(world):
            load = LimitLoad(world, UNEVEN)
            await load.run("/note/", 25, 2)
            for engine in list(world.replicas.values())[-3:]:
                engine.rate_limit = 2.6
            await load.run("/note/", 25, 7)
            load.replies.clear()
            await load.run("/note/", 25, 5)
            return load

        load = run_entry(play, hosts=9, engines="ppppppddd", reading_share=0.65)
        self.assertGreater(load.served, 0.9 * len(load.replies))


class SharingHostsTest(unittest.TestCase):
    """Which hosts a host counts as sharing the limits."""

    def count_sharing(self, cut: int) -> tuple[int, int]:
        """Partition hosts for 20 s; return the counts of the first and the last one."""

        async def play(world):
            await trio.sleep(3)
            for link in world.links[:cut]:
                world.links.remove(link)
                link._links = []
            await trio.sleep(20)
            first, last = world.hosts[0], world.hosts[-1]
            return [len(host.load_loop.sharing_hosts()) for host in (first, last)]

        return run_entry(play, hosts=5)

    def test_partitioned_host_counts_the_others(self):
        """Guards against partitioned hosts that each use the whole limit."""
        self.assertEqual(self.count_sharing(cut=1), [5, 4])

    def test_hosts_count_each_other_when_most_are_partitioned(self):
        self.assertEqual(self.count_sharing(cut=4), [5, 5])

    def test_partitioned_host_shares_the_retry_budget(self):
        """Guards against partitioned hosts that each use the whole burst of retries."""

        async def play(world):
            await trio.sleep(3)
            for link in list(world.links):
                world.links.remove(link)
                link._links = []
            await trio.sleep(20)
            return [host.retry_budget(PLAIN).host_count for host in world.hosts]

        self.assertEqual(run_entry(play, hosts=5), [5] * 5)

    def test_halves_of_the_hosts_share_the_retry_budget(self):
        """Guards against parts of a split fleet that use more than one burst."""
        for hosts, cut in ((4, 2), (5, 2), (9, 4)):

            async def play(world, cut=cut):
                await trio.sleep(3)
                world.island = {f"10.1.0.{host + 1}" for host in range(cut)}
                await trio.sleep(20)
                return [host.retry_budget(PLAIN).host_count for host in world.hosts]

            with self.subTest(hosts=hosts, cut=cut):
                counts = run_entry(play, hosts=hosts)
                self.assertLessEqual(sum(Fraction(1, count) for count in counts), 1)
