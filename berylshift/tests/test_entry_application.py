"""Whole entry hosts: changes of routes and replicas, outages, phases of engines."""

import unittest

import trio

from berylshift.messages.replicas import EnginePhase
from berylshift.tests.entry_world import (
    ENGINES,
    PLAIN,
    EntryWorld,
    prompt_headers,
    route,
    routes,
    run_entry,
    stream_body,
)
from berylshift.tests.support import run_virtual
from berylshift.version.routes import RouteKind, RouteTable

# The platform's bounds: a change in force, and a leaving replica without new work.
IN_FORCE_SECONDS = 2.0
DRAIN_SECONDS = 2.0


def with_route(version: int, name: str = "new"):
    """Return routes with one more."""
    return routes(version, route(name, RouteKind.IDEMPOTENT))


class ChangeTest(unittest.TestCase):
    """The operators change the routes."""

    def test_in_force_on_all_hosts_within_the_bound(self):
        async def task(world):
            world.directory.put_routes(with_route(2))
            await trio.sleep(0.2)
            return [(await world.ask("/new/x", host=n)).status for n in range(3)]

        self.assertEqual(run_entry(task, hosts=3), [200] * 3)

    def test_in_force_although_the_feed_is_silent_for_good(self):
        """The feed's connection falls silent without an error, and a change comes.

        Only the wait's own end shows it. The next wait must bring the change, within
        the bound that counts from the return of the connection.
        """

        async def task(world):
            world.directory.silent = True
            await trio.sleep(0.1)
            world.directory.put_routes(with_route(2))
            await trio.sleep(0.1)
            world.directory.silent = False
            await trio.sleep(IN_FORCE_SECONDS + 0.5)
            return (await world.ask("/new/x")).status

        self.assertEqual(run_entry(task), 200)

    def test_in_force_although_the_history_was_dropped(self):
        async def task(world):
            world.directory.put_routes(with_route(2))
            world.add_replica("late")
            world.directory.forget_history()
            await trio.sleep(IN_FORCE_SECONDS)
            replicas = len(world.hosts[0].replicas)
            return (await world.ask("/new/x")).status, replicas

        self.assertEqual(run_entry(task), (200, 3))

    def test_an_older_version_changes_nothing(self):
        async def task(world):
            world.directory.put_routes(with_route(5))
            await trio.sleep(0.2)
            world.directory.put_routes(routes(4))
            await trio.sleep(0.5)
            return (await world.ask("/new/x")).status

        self.assertEqual(run_entry(task), 200)

    def test_requests_under_way_are_not_cut_by_a_change(self):
        """A stream runs while its route is taken away."""

        async def task(world):
            link = world.connect()
            await link.send("/note/x", headers=prompt_headers(pieces=8, shared=0))
            await trio.sleep(0.2)
            table = routes(2)
            left = RouteTable(table.version, table.routes[:2], (), table.limits)
            world.directory.put_routes(left)
            return await link.read()

        reply = run_entry(task, engines="d")
        self.assertEqual((reply.body, reply.whole), (stream_body(1, 8), True))


class LeavingReplicaTest(unittest.TestCase):
    """Replicas that drain or are removed."""

    def test_no_new_work_after_the_bound(self):
        async def task(world):
            replica = world.replicas["10.0.0.1:80"]
            world.list_replica(replica, PLAIN, draining=True)
            await trio.sleep(DRAIN_SECONDS)
            before = len(replica.arrivals)
            for number in range(20):
                await world.ask("/look/x", f"r{number}")
            return len(replica.arrivals) - before

        self.assertEqual(run_entry(task), 0)

    def test_the_answering_engine_is_chosen_after_the_prompt_is_read(self):
        """The prompt's reading takes two seconds; meanwhile an engine begins to leave.

        Chosen before the reading, it would get the request long after it said that it
        leaves. The engine that stays answers.
        """

        async def task(world):
            reader, first, second = list(world.replicas.values())
            reader.prefill_seconds = 1.5
            link = world.connect()
            await link.send("/note/x", headers=prompt_headers())
            await trio.sleep(0.3)
            world.list_replica(first, ENGINES, draining=True)
            reply = await link.read()
            return reply.status, len(first.arrivals), len(second.arrivals)

        self.assertEqual(run_entry(task, plain=0, engines="pdd"), (200, 0, 1))

    def test_removed_replica_gets_no_new_work(self):
        async def task(world):
            world.directory.remove_replica("plain-1")
            await trio.sleep(0.2)
            for number in range(10):
                await world.ask("/look/x", f"r{number}")
            return len(world.replicas["10.0.0.1:80"].arrivals)

        self.assertEqual(run_entry(task), 0)


class StoreOutageTest(unittest.TestCase):
    """The platform's store does not answer."""

    def test_a_running_host_serves_on(self):
        async def task(world):
            world.directory.down = True
            await trio.sleep(20)
            reply = await world.ask("/look/x")
            return reply.status, world.hosts[0].is_ready()

        self.assertEqual(run_entry(task), (200, True))

    def test_a_host_that_starts_without_it_is_not_ready_and_says_come_back(self):
        async def task(world):
            world.directory.down = True
            app = await world.add_host("late")
            early = await world.ask("/look/x", host=1)
            before = app.is_ready()
            world.directory.down = False
            await trio.sleep(1)
            after = await world.ask("/look/x", host=1)
            return early.status, before, after.status, app.is_ready()

        self.assertEqual(run_entry(task), (503, False, 200, True))

    def test_replicas_that_lapsed_meanwhile_are_used_until_they_are_back(self):
        async def task(world):
            world.directory.down = True
            await trio.sleep(5)
            for name in ("plain-1", "plain-2"):
                world.directory.remove_replica(name)
            world.directory.forget_history()
            world.directory.down = False
            statuses = []
            for number in range(12):
                await trio.sleep(0.2)
                statuses.append((await world.ask("/look/x", f"r{number}")).status)
                if number == 5:
                    for replica in world.replicas.values():
                        world.list_replica(replica, PLAIN)
            return statuses

        self.assertEqual(run_entry(task), [200] * 12)

    def test_a_caller_that_finds_no_replica_comes_back_when_they_are_there(self):
        """All hosts and the store went down together; the list fills up again.

        A host that has just started reads it a second too early. The caller comes back
        once: told to do so at once, it would be refused again.
        """

        async def task(world):
            for name in ("plain-1", "plain-2"):
                world.directory.remove_replica(name)
            await trio.sleep(0.2)
            return await world.ask("/book/x")

        reply = run_entry(task)
        self.assertEqual(reply.status, 503)
        self.assertGreaterEqual(reply.again, 0.8)


class GoneReplicaTest(unittest.TestCase):
    """What a process keeps of replicas that come and go."""

    def test_replicas_that_are_gone_are_forgotten(self):
        """Each start of a replica has a new name; a busy fleet has thousands a day."""

        async def task(world):
            for number in range(20):
                replica = world.add_replica(f"brief-{number}")
                await trio.sleep(0.3)
                for ask in range(4):
                    await world.ask("/look/x", f"r{number}-{ask}")
                world.directory.remove_replica(replica.instance)
                await trio.sleep(0.3)
            app = world.hosts[0]
            return len(app.loads), app.ports.client.kept_targets

        self.assertEqual(run_entry(task), (2, 2))

    def test_one_that_still_works_is_kept_until_its_request_ends(self):
        async def task(world):
            only = next(iter(world.replicas.values()))
            only.work_seconds = 1.0
            link = world.connect()
            await link.send("/book/x")
            await trio.sleep(0.1)
            world.directory.remove_replica(only.instance)
            await trio.sleep(0.2)
            load = world.hosts[0].loads.of(only.instance)
            before = load.in_flight
            await link.read()
            return before, load.in_flight

        self.assertEqual(run_entry(task, plain=1), (1, 0))


class PhaseTest(unittest.TestCase):
    """The split of engines into reading and answering ones."""

    def run_world(self, task, letters: str, hosts: int = 3, **entry):
        async def main():
            async with trio.open_nursery() as nursery:
                world = EntryWorld(nursery)
                world.directory.put_routes(routes())
                phases = {"p": EnginePhase.PREFILL, "d": EnginePhase.DECODE}
                for number, letter in enumerate(letters, 1):
                    world.add_replica(f"engine-{number}", ENGINES, phases[letter])
                for _ in range(hosts):
                    await world.add_host(**{"reading_share": 0.65, **entry})
                result = await task(world)
                nursery.cancel_scope.cancel()
            return result

        return run_virtual(main)

    async def relist(self, world, seconds: float) -> None:
        """Let time pass; engines' entries follow their phases."""
        listed = {}
        for _ in range(int(seconds / 0.5)):
            await trio.sleep(0.5)
            for replica in world.replicas.values():
                if listed.get(replica.instance) != replica.phase:
                    listed[replica.instance] = replica.phase
                    world.list_replica(replica, ENGINES)

    def test_one_host_orders_at_the_first_start(self):
        async def task(world):
            await self.relist(world, 12)
            orders = [len(rep.orders) for rep in world.replicas.values()]
            phases = [rep.phase for rep in world.replicas.values()]
            fences = {
                o.fencing_token for r in world.replicas.values() for o in r.orders
            }
            return sum(orders), phases.count("prefill"), len(fences)

        result = self.run_world(task, "ppppddddd", first_start="true")
        self.assertEqual(result, (2, 6, 1))

    def test_a_split_that_is_nearly_right_is_left_alone(self):
        async def task(world):
            await self.relist(world, 20)
            return sum(len(rep.orders) for rep in world.replicas.values())

        self.assertEqual(self.run_world(task, "pppppdddd"), 0)

    def test_too_few_answering_engines_are_mended_at_once(self):
        """Two of three answering engines leave; all streams would go to the last.

        Its batch grows until events come too late for everybody. A reading engine is
        ordered to answer as soon as the leaving ones are seen, not seconds later.
        """

        async def task(world):
            for replica in list(world.replicas.values())[-2:]:
                world.list_replica(replica, ENGINES, draining=True)
            start = trio.current_time()
            while not any(rep.orders for rep in world.replicas.values()):
                await trio.sleep(0.1)
                if trio.current_time() - start > 20:
                    break
            return trio.current_time() - start

        self.assertLess(self.run_world(task, "ppppppddd"), 3)

    def test_an_ordered_engine_is_used_although_the_store_is_down(self):
        """An engine is ordered to answer; its entry can't follow, the store is down.

        The last answering engine then dies. Hosts that only go by entries would refuse
        every prompt until the store is back; the host that ordered has told them.
        """

        async def task(world):
            engines = list(world.replicas.values())
            for engine in engines[2:4]:
                world.list_replica(engine, ENGINES, draining=True)
            while not any(engine.orders for engine in engines):
                await trio.sleep(0.1)
            world.directory.down = True
            await trio.sleep(4)
            engines[4].alive = False
            asked = [
                await world.ask(
                    "/note/x", f"r{n}", host=n % 3, headers=prompt_headers()
                )
                for n in range(6)
            ]
            return [reply.status for reply in asked]

        self.assertEqual(self.run_world(task, "ppddd"), [200] * 6)


if __name__ == "__main__":
    unittest.main()
