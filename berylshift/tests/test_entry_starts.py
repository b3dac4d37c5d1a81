"""End-to-end tests of engines that restart under the same name."""

import unittest

import trio

from berylshift.ids import InstanceId, PartId
from berylshift.messages.engine_control import OrderAnswer
from berylshift.messages.replicas import EnginePhase
from berylshift.process.targets.target_load import SEVERE_FAILURE
from berylshift.tests.entry_world import ENGINES, prompt_headers, run_entry

FIRST_START_MS, SECOND_START_MS = 1_700_000_000_000, 1_700_000_009_000
FEED_DELAY_SECONDS = 1.0
KV_CAPACITY_TOKENS = 400_000


class RestartTest(unittest.TestCase):
    """An engine crashes and restarts under its name before its entry expires.

    It has lost its state. A host that identifies it by name alone would route prompts
    to it for blocks that are no longer cached, hold old failures against it, count
    requests that were lost, and reuse dead connections.
    """

    def test_state_of_the_old_instance_is_not_used(self):
        async def task(world):
            host, engine = world.hosts[0], world.replicas["10.0.0.1:80"]
            await self.start(world, engine, FIRST_START_MS)
            await world.ask("/note/x", headers=prompt_headers())
            old_instance = InstanceId(f"engine-1@{FIRST_START_MS}")
            now = host.ports.clock.monotonic()
            cached_before = host.prefix_cache.is_cached(
                PartId("a1"), old_instance, KV_CAPACITY_TOKENS
            )
            host.loads.note_failure(old_instance, SEVERE_FAILURE, now)
            host.phases.record_order(old_instance, EnginePhase.DECODE, now)
            await self.start(world, engine, SECOND_START_MS)
            reply = await world.ask("/note/x", "r2", headers=prompt_headers(block="b2"))
            return cached_before, host, reply

        cached_before, host, reply = run_entry(task, plain=0, engines="pd")
        (prefill_engine,) = host.replicas.pool(ENGINES).prefill_engines
        now = 0.0
        self.assertTrue(cached_before)
        self.assertEqual(prefill_engine.instance, f"engine-1@{SECOND_START_MS}")
        self.assertFalse(
            host.prefix_cache.is_cached(
                PartId("a1"), prefill_engine.instance, KV_CAPACITY_TOKENS
            )
        )
        self.assertEqual(host.loads.of(prefill_engine.instance).failures(now), 0.0)
        self.assertFalse(host.phases.has_pending_order(prefill_engine.instance, now))
        self.assertEqual((reply.status, reply.whole), (200, True))

    def test_connection_to_the_old_instance_is_not_reused(self):
        async def task(world):
            engine = world.replicas["10.0.0.1:80"]
            await self.start(world, engine, FIRST_START_MS)
            await world.ask("/note/x", headers=prompt_headers(prefix_tokens=0))
            before = world.dials
            await self.start(world, engine, SECOND_START_MS)
            await world.ask("/note/x", "r2", headers=prompt_headers(prefix_tokens=0))
            return world.dials - before, world.hosts[0].ports.client.pooled_targets

        self.assertEqual(run_entry(task, plain=0, engines="d"), (1, 1))

    def test_order_is_not_executed_by_another_instance(self):
        """Guards against an order that a restarted engine executes.

        An engine with an order to change phase has restarted, but its entry is still
        the old one. The plan is based on the old instance; executed by the new one, it
        could remove the last engine of a phase.
        """

        async def task(world):
            engines = list(world.replicas.values())
            for engine in engines:
                await self.start(world, engine, FIRST_START_MS)
            for engine in engines:
                engine.restart(SECOND_START_MS)
            with self.assertLogs("berylshift.process.leader_tasks.phase_loop") as logs:
                world.list_replica(engines[-1], ENGINES, draining=True)
                await trio.sleep(10)
            answers = {rec.answer for rec in logs.records if hasattr(rec, "answer")}
            return answers, [engine.orders for engine in engines]

        answers, orders = run_entry(task, plain=0, engines="pppdd", reading_share=0.6)
        self.assertEqual(answers, {OrderAnswer.REFUSED})
        self.assertEqual(orders, [[]] * 5)

    async def start(self, world, engine, started_ms: int) -> None:
        """Restart an engine, list it, and wait until the host sees it."""
        engine.restart(started_ms)
        world.list_replica(engine, ENGINES)
        await trio.sleep(FEED_DELAY_SECONDS)


if __name__ == "__main__":
    unittest.main()
