"""Whole path of engines that start again under their names."""

import unittest

import trio

from berylshift.ids import InstanceId, PartId
from berylshift.messages.engine_control import OrderAnswer
from berylshift.messages.replicas import EnginePhase
from berylshift.process.targets.target_load import SEVERE_FAILURE
from berylshift.tests.entry_world import ENGINES, prompt_headers, run_entry

FIRST, SECOND = 1_700_000_000_000, 1_700_000_009_000
SEEN_SECONDS = 1.0
ROOM = 400_000


class StartAgainTest(unittest.TestCase):
    """An engine crashes and is back under its name before its entry lapses.

    It keeps nothing. A host that goes by the name alone sends it prompts for parts
    that it no longer keeps, holds its old failures against it, counts work that died
    with it, and uses connections that lead nowhere.
    """

    def test_nothing_of_the_former_start_is_believed_of_the_new_one(self):
        async def task(world):
            host, engine = world.hosts[0], world.replicas["10.0.0.1:80"]
            await self.start(world, engine, FIRST)
            await world.ask("/note/x", headers=prompt_headers())
            former = InstanceId(f"engine-1@{FIRST}")
            now = host.ports.clock.monotonic()
            kept_before = host.warm.is_cached(PartId("a1"), former, ROOM)
            host.loads.note_failure(former, SEVERE_FAILURE, now)
            host.phases.record_order(former, EnginePhase.DECODE, now)
            await self.start(world, engine, SECOND)
            reply = await world.ask("/note/x", "r2", headers=prompt_headers(part="b2"))
            return kept_before, host, reply

        kept_before, host, reply = run_entry(task, plain=0, engines="pd")
        (reader,) = host.replicas.pool(ENGINES).prefill_engines
        now = 0.0
        self.assertTrue(kept_before)
        self.assertEqual(reader.instance, f"engine-1@{SECOND}")
        self.assertFalse(host.warm.is_cached(PartId("a1"), reader.instance, ROOM))
        self.assertEqual(host.loads.of(reader.instance).failures(now), 0.0)
        self.assertFalse(host.phases.has_pending_order(reader.instance, now))
        self.assertEqual((reply.status, reply.whole), (200, True))

    def test_a_connection_to_the_former_start_is_not_used_again(self):
        async def task(world):
            engine = world.replicas["10.0.0.1:80"]
            await self.start(world, engine, FIRST)
            await world.ask("/note/x", headers=prompt_headers(shared=0))
            before = world.dials
            await self.start(world, engine, SECOND)
            await world.ask("/note/x", "r2", headers=prompt_headers(shared=0))
            return world.dials - before, world.hosts[0].ports.client.kept_targets

        self.assertEqual(run_entry(task, plain=0, engines="d"), (1, 1))

    def test_no_order_goes_to_another_start_than_the_one_it_was_meant_for(self):
        """An engine is to change phase; it has started again, its entry has not.

        The plan counts on what the former start was. Carried out by the new one, it
        could take the last engine of a phase away.
        """

        async def task(world):
            engines = list(world.replicas.values())
            for engine in engines:
                await self.start(world, engine, FIRST)
            for engine in engines:
                engine.restart(SECOND)
            with self.assertLogs("berylshift.process.leader_tasks.phase_loop") as logs:
                world.list_replica(engines[-1], ENGINES, draining=True)
                await trio.sleep(10)
            answers = {rec.answer for rec in logs.records if hasattr(rec, "answer")}
            return answers, [engine.orders for engine in engines]

        answers, orders = run_entry(task, plain=0, engines="pppdd", reading_share=0.6)
        self.assertEqual(answers, {OrderAnswer.REFUSED})
        self.assertEqual(orders, [[]] * 5)

    async def start(self, world, engine, started_ms: int) -> None:
        """Start an engine, list it, and let the host see it."""
        engine.restart(started_ms)
        world.list_replica(engine, ENGINES)
        await trio.sleep(SEEN_SECONDS)


if __name__ == "__main__":
    unittest.main()
