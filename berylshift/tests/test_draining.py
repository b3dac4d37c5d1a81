"""End-to-end tests: draining targets and hosts, table changes, store outages."""

import unittest

import trio

from berylshift.ids import ChangeId
from berylshift.process.membership.readiness import DRAIN_NOTICE_SECONDS
from berylshift.replay.trace import EventKind, TraceEvent
from berylshift.replay.virtual import VirtualFleet
from berylshift.request.messages import Outcome, Reason
from berylshift.settings import TableSettings
from berylshift.tests.support import route_row
from berylshift.tests.world import (
    call_service,
    complete,
    expected_text,
    model_call,
    plain_call,
    run_world,
    small_rows,
)
from berylshift.version.diff import Edit

# A draining target gets no new work once each host has read the table again, after the
# poll interval, or has found its own too old, after the freshness limit.
MAX_DRAIN_SECONDS = TableSettings().freshness_limit + 0.5


class Traffic:
    """Calls at a steady rate; records when and where each one is sent."""

    def __init__(self, world, hosts):
        self.world = world
        self.hosts = hosts
        self.whole: list[bool] = []
        self.sent: list[tuple[float, str, str]] = []
        for name in hosts:
            self._watch(name)

    def _watch(self, name: str) -> None:
        load = self.world.hosts[name].app.load
        original = load.record_sent

        def sent(target, attempt, fleet, prefill, now):
            self.sent.append((now, name, target))
            original(target, attempt, fleet, prefill, now)

        load.record_sent = sent

    async def run(self, seconds: float) -> None:
        """Send calls to all hosts in turn and wait for their responses."""
        async with trio.open_nursery() as nursery:
            for number in range(int(seconds * 5)):
                host = self.world.hosts[self.hosts[number % len(self.hosts)]]
                nursery.start_soon(self._one, host, number)
                await trio.sleep(0.2)

    async def _one(self, host, number: int) -> None:
        call = model_call(number, output=80)
        ending, text = await complete(host, call)
        if ending.outcome is not Outcome.NOT_RUN:
            self.whole.append(text == expected_text(call))

    def last_sent_seconds(self, target: str, since: float) -> float:
        """Return the seconds from ``since`` to the last new work for a target."""
        times = [at - since for at, _, name in self.sent if name == target]
        return max(times, default=0.0)


async def mark(world, event: EventKind, who: str) -> float:
    """Apply a drain or withdrawal; return the time when it was accepted."""
    await VirtualFleet(world).apply_event(TraceEvent(0, event, who))
    return trio.current_time()


class DrainingTargetTest(unittest.TestCase):
    """A draining target receives no new work after a few seconds."""

    def drain_during(self, fault) -> tuple[float, list[bool]]:
        """Drain engine-1 under traffic, right after ``fault``.

        Return the seconds until its last new work, and whether each response was whole.
        """

        async def task(world):
            traffic = Traffic(world, ["host-1", "host-2", "host-3"])
            marked = []

            async def drain():
                await trio.sleep(5)
                await fault(world)
                marked.append(await mark(world, EventKind.DRAIN, "engine-1"))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(traffic.run, 15)
                nursery.start_soon(drain)
            return traffic.last_sent_seconds("engine-1", marked[0]), traffic.whole

        return run_world(task, small_rows(engines=3), hosts=3)

    def assert_drained(self, found):
        last_seconds, whole = found
        self.assertLessEqual(last_seconds, MAX_DRAIN_SECONDS)
        self.assertEqual(whole, [True] * len(whole))
        self.assertGreater(len(whole), 40)

    def test_drain_without_faults(self):
        async def fault(world):
            pass

        self.assert_drained(self.drain_during(fault))

    def test_host_without_store_learns_of_drain_from_peers(self):
        async def fault(world):
            world.store_links["host-2"].is_unreachable = True

        self.assert_drained(self.drain_during(fault))

    def test_host_without_store_and_peers_stops_routing(self):
        # Host-2 can't know that the engine is draining, so it must stop using its table
        # after the freshness limit.
        async def fault(world):
            world.store_links["host-2"].is_unreachable = True
            world.network.cut("host-2", "host-1")
            world.network.cut("host-2", "host-3")

        self.assert_drained(self.drain_during(fault))

    def test_store_outage_right_after_drain(self):
        async def task(world):
            traffic = Traffic(world, ["host-1", "host-2", "host-3"])
            marked = []

            async def drain():
                await trio.sleep(5)
                marked.append(await mark(world, EventKind.DRAIN, "engine-1"))
                await world.hosts["host-3"].app.follower._read_store()
                world.platform.script.down = True

            async with trio.open_nursery() as nursery:
                nursery.start_soon(traffic.run, 15)
                nursery.start_soon(drain)
            return traffic.last_sent_seconds("engine-1", marked[0]), traffic.whole

        self.assert_drained(run_world(task, small_rows(engines=3), hosts=3))

    def test_draining_replica_gets_no_new_confirmation(self):
        async def task(world):
            await mark(world, EventKind.DRAIN, "booking-1")
            await trio.sleep(MAX_DRAIN_SECONDS)
            before = world.services["booking-1"].calls
            for number in range(20):
                call = plain_call(f"k{number}")
                await call_service(world.hosts["host-1"], call)
            return world.services["booking-1"].calls - before, len(world.ran)

        self.assertEqual(run_world(task), (0, 20))


class DrainingHostTest(unittest.TestCase):
    """Hosts that operators drain or withdraw."""

    def test_draining_host_is_unready_and_serves_during_notice(self):
        async def task(world):
            host = world.hosts["host-1"]
            await mark(world, EventKind.DRAIN, "host-1")
            await trio.sleep(2)
            ready = host.app.readiness.is_ready()
            during, _ = await complete(host, model_call(1))
            await trio.sleep(DRAIN_NOTICE_SECONDS + 1)
            after, _ = await complete(host, model_call(2))
            return ready, during, after

        ready, during, after = run_world(task)
        self.assertFalse(ready)
        self.assertIs(during.outcome, Outcome.COMPLETE)
        self.assertIs(after.reason, Reason.DRAINING)

    def test_withdrawn_host_refuses_requests(self):
        async def task(world):
            await mark(world, EventKind.WITHDRAW, "host-1")
            await trio.sleep(2)
            return await complete(world.hosts["host-1"], model_call(1))

        ending, _ = run_world(task)
        self.assertIs(ending.reason, Reason.DRAINING)


class TableInForceTest(unittest.TestCase):
    """An accepted configuration is in force everywhere within seconds."""

    async def edit(self, world, version: int, weight: int):
        log = world.table_log()
        edit = Edit(version, [route_row("engine-1", weight=weight)], [])
        return (await log.commit(edit, ChangeId(f"w{weight}"), "op", "")).unwrap()

    def versions(self, world) -> list[int]:
        return [host.app.holder.table.version for host in world.hosts.values()]

    def test_in_force_on_nine_hosts_within_two_poll_intervals(self):
        async def task(world):
            await self.edit(world, 1, 7)
            await trio.sleep(2)
            return self.versions(world)

        self.assertEqual(run_world(task, hosts=9), [2] * 9)

    def test_peers_propagate_change_during_store_outage(self):
        async def task(world):
            await self.edit(world, 1, 7)
            await world.hosts["host-5"].app.follower._read_store()
            world.platform.script.down = True
            await trio.sleep(6)
            return self.versions(world)

        self.assertEqual(run_world(task, hosts=9), [2] * 9)

    def test_process_started_during_outage_gets_table_from_peers(self):
        async def task(world):
            world.platform.script.down = True
            host = world.hosts["host-2"]
            host.kill()
            host.start()
            await trio.sleep(8)
            ending, _ = await complete(host, model_call(1))
            return host.app.holder.table.version, ending.outcome

        self.assertEqual(run_world(task, hosts=3), (1, Outcome.COMPLETE))

    def test_process_without_store_and_peers_is_not_ready(self):
        async def task(world):
            world.platform.script.down = True
            host = world.hosts["host-2"]
            world.network.cut("host-2", "host-1")
            world.network.cut("host-2", "host-3")
            host.kill()
            host.start()
            await trio.sleep(8)
            ending, _ = await complete(host, model_call(1))
            return host.app.readiness.is_ready(), ending.reason

        self.assertEqual(run_world(task, hosts=3), (False, Reason.STALE_VIEW))

    def test_lookups_and_model_calls_survive_long_outage(self):
        async def task(world):
            world.platform.script.down = True
            await trio.sleep(120)
            ending, _ = await complete(world.hosts["host-1"], model_call(1))
            lookup = await call_service(world.hosts["host-2"], plain_call())
            return ending.outcome, lookup.result.outcome

        found = run_world(task, hosts=3)
        self.assertEqual(found, (Outcome.COMPLETE, Outcome.COMPLETE))


class StoreReturnTest(unittest.TestCase):
    """The store recovers from an outage."""

    def test_hosts_do_not_overload_it(self):
        # Nine hosts lost the store at once; their reads must not resume all at once.
        async def task(world):
            world.platform.script.down = True
            await trio.sleep(30)
            world.platform.script.down = False
            before = world.platform.reads + world.platform.transactions
            await trio.sleep(0.25)
            early_calls = world.platform.reads + world.platform.transactions - before
            await trio.sleep(6)
            ages = [
                host.app.freshness.store_age(trio.current_time())
                for host in world.hosts.values()
            ]
            return early_calls, max(ages), world.platform.throttled

        early_calls, age, throttled = run_world(task, hosts=9)
        self.assertLess(early_calls, 30)
        self.assertLess(age, 3.0)
        self.assertEqual(throttled, 0)
