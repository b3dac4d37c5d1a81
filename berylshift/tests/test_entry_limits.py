"""Replicas that name a limit in their answers: what all hosts send them together."""

import unittest

import trio

from berylshift.messages.replicas import EnginePhase
from berylshift.tests.entry_world import run_entry
from berylshift.tests.limit_load import LimitPlay, most_allowed, most_from_told

UNEVEN = (8, 8, 4, 2, 2, 1, 1, 1, 1)


class KeptTest(unittest.TestCase):
    """Some replicas name a limit, others have room."""

    def test_all_hosts_together_keep_a_replicas_limit(self):
        """Guards against hosts that each go by load alone."""

        async def play(world):
            limited = world.replicas["10.0.0.1:80"]
            callers = LimitPlay(world, UNEVEN)
            await callers.callers("/look/", 30, 2)
            limited.rate_limit = 2.6
            await callers.callers("/look/", 30, 14)
            return limited, callers

        limited, callers = run_entry(play, hosts=9, plain=3)
        self.assertLessEqual(most_from_told(limited), most_allowed(2.6))
        self.assertEqual(callers.served, len(callers.replies))

    def test_streams_keep_the_limits_of_two_engines_of_three(self):
        """Guards against readings, streams and freed caches that count apart."""

        async def play(world):
            engines = list(world.replicas.values())[-3:]
            callers = LimitPlay(world, UNEVEN)
            await callers.callers("/note/", 25, 2)
            for engine in engines[:2]:
                engine.rate_limit = 2.6
            await callers.callers("/note/", 25, 14)
            return engines, callers

        engines, callers = run_entry(play, hosts=9, engines="ppddd")
        for engine in engines[:2]:
            self.assertLessEqual(most_from_told(engine), most_allowed(2.6))
        self.assertEqual(callers.served, len(callers.replies))


class NoRoomTest(unittest.TestCase):
    """All replicas name a limit."""

    def play(self, path: str, **world):
        """Have callers come for 12 s where each replica takes 2.6 requests a second."""

        async def play(world):
            replicas = [
                rep
                for rep in world.replicas.values()
                if rep.phase is not EnginePhase.PREFILL
            ]
            for replica in replicas:
                replica.rate_limit = 2.6
            callers = LimitPlay(world, UNEVEN)
            await callers.callers(path, 25, 12)
            return replicas, callers

        return run_entry(play, hosts=9, **world)

    def test_callers_beyond_the_limits_are_refused_at_once(self):
        """Guards against callers that wait for a turn until their time is over."""
        replicas, callers = self.play("/look/", plain=3)
        for replica in replicas:
            self.assertLessEqual(most_from_told(replica), most_allowed(2.6))
        refused = [reply for reply in callers.replies if reply.status != 200]
        self.assertEqual({reply.status for reply in refused}, {503})
        self.assertTrue(all(0 < reply.again < 1.0 for reply in refused))
        self.assertLess(callers.longest_refusal, 0.05)

    def test_what_the_replicas_take_is_served(self):
        """Guards against limits that are kept by sending next to nothing."""
        _, callers = self.play("/look/", plain=3)
        self.assertGreater(callers.served, 0.6 * 3 * 2.6 * 12)

    def test_no_prompt_is_read_that_no_engine_would_answer(self):
        """Guards against readings in vain before a request is refused."""
        replicas, callers = self.play("/note/", plain=0, engines="ppddd")
        for replica in replicas:
            self.assertLessEqual(most_from_told(replica), most_allowed(2.6))
        reads = sum(len(rep.reads) for rep in callers.world.replicas.values())
        self.assertLessEqual(reads, callers.served)


class LiftedTest(unittest.TestCase):
    """A limit holds for as long as the replica names it."""

    def test_a_replica_that_names_none_any_more_gets_its_share_again(self):
        async def play(world):
            limited = world.replicas["10.0.0.1:80"]
            limited.rate_limit = 2.6
            callers = LimitPlay(world, UNEVEN)
            await callers.callers("/look/", 30, 10)
            limited.rate_limit = None
            await callers.callers("/look/", 30, 20)
            before = len(limited.calls)
            await callers.callers("/look/", 30, 5)
            return len(limited.calls) - before

        self.assertGreater(run_entry(play, hosts=9, plain=3), 5 * 30 / 3 / 2)

    def test_a_reading_engine_keeps_its_limit_too(self):
        """Guards against a way to replicas that goes round the limit."""

        async def play(world):
            reader = list(world.replicas.values())[-4]
            reader.rate_limit = 2.6
            callers = LimitPlay(world, UNEVEN)
            await callers.callers("/note/", 25, 12)
            return reader, callers

        reader, callers = run_entry(play, hosts=9, engines="ppdd")
        self.assertLessEqual(most_from_told(reader), most_allowed(2.6))
        self.assertEqual(callers.served, len(callers.replies))

    def test_another_replicas_answer_sets_no_limit(self):
        """Guards against addresses that other replicas have taken over."""

        async def play(world):
            replica = world.replicas["10.0.0.1:80"]
            replica.instance, replica.rate_limit = "someone-else", 2.6
            for number in range(4):
                await world.ask(f"/look/{number}", f"r{number}")
            return len(world.hosts[0].throttle)

        self.assertEqual(run_entry(play, plain=1), 0)


class OtherEnginesTest(unittest.TestCase):
    """All engines that answer name a limit, those that read have room."""

    def test_reading_engines_answer_in_their_place(self):
        """Guards against callers refused for as long as the answering engines need."""

        async def play(world):
            callers = LimitPlay(world, UNEVEN)
            await callers.callers("/note/", 25, 2)
            for engine in list(world.replicas.values())[-3:]:
                engine.rate_limit = 2.6
            await callers.callers("/note/", 25, 7)
            callers.replies.clear()
            await callers.callers("/note/", 25, 5)
            return callers

        callers = run_entry(play, hosts=9, engines="ppppppddd", reading_share=0.65)
        self.assertGreater(callers.served, 0.9 * len(callers.replies))


class SharingHostsTest(unittest.TestCase):
    """Which hosts a host takes to share the limits."""

    def sharing(self, cut: int) -> tuple[int, int]:
        """Cut hosts off for 20 s; return how many the first and the last one count."""

        async def play(world):
            await trio.sleep(3)
            for link in world.links[:cut]:
                world.links.remove(link)
                link._links = []
            await trio.sleep(20)
            first, last = world.hosts[0], world.hosts[-1]
            return [len(host.load_loop.sharing_hosts()) for host in (first, last)]

        return run_entry(play, hosts=5)

    def test_a_host_that_is_cut_off_counts_the_others(self):
        """Guards against hosts that each take themselves for the only one."""
        self.assertEqual(self.sharing(cut=1), [5, 4])

    def test_all_count_each_other_where_most_are_cut_off(self):
        self.assertEqual(self.sharing(cut=4), [5, 5])
