"""End-to-end tests of entry hosts: routes, replicas, store outages, engine phases."""

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

# The platform's time limits for a change to be in force, and for a draining replica to
# get no more new work.
IN_FORCE_SECONDS = 2.0
DRAIN_SECONDS = 2.0


def with_route(version: int, name: str = "new"):
    """Return the default routes with an additional one."""
    return routes(version, route(name, RouteKind.IDEMPOTENT))


class ChangeTest(unittest.TestCase):
    """The operators change the routes."""

    def test_in_force_on_all_hosts_within_the_bound(self):
        async def task(world):
            world.directory.put_routes(with_route(2))
            await trio.sleep(0.2)
            return [(await world.ask("/new/x", host=n)).status for n in range(3)]

        self.assertEqual(run_entry(task, hosts=3), [200] * 3)

    def test_in_force_although_feed_connection_hangs(self):
        """Guards against a feed connection that hangs without an error.

        A change is made while the connection hangs; only the timeout of the long poll
        reveals it. The next poll must return the change, within the time limit counted
        from the recovery of the connection.
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

    def test_in_force_although_feed_history_was_dropped(self):
        async def task(world):
            world.directory.put_routes(with_route(2))
            world.add_replica("late")
            world.directory.forget_history()
            await trio.sleep(IN_FORCE_SECONDS)
            replicas = len(world.hosts[0].replicas)
            return (await world.ask("/new/x")).status, replicas

        self.assertEqual(run_entry(task), (200, 3))

    def test_older_version_is_ignored(self):
        async def task(world):
            world.directory.put_routes(with_route(5))
            await trio.sleep(0.2)
            world.directory.put_routes(routes(4))
            await trio.sleep(0.5)
            return (await world.ask("/new/x")).status

        self.assertEqual(run_entry(task), 200)

    def test_route_change_does_not_cut_open_requests(self):
        """A stream is open while its route is removed."""

        async def task(world):
            link = world.connect()
            await link.send(
                "/note/x", headers=prompt_headers(pieces=8, prefix_tokens=0)
            )
            await trio.sleep(0.2)
            table = routes(2)
            remaining = RouteTable(table.version, table.routes[:2], (), table.limits)
            world.directory.put_routes(remaining)
            return await link.read()

        reply = run_entry(task, engines="d")
        self.assertEqual((reply.body, reply.whole), (stream_body(1, 8), True))


class DrainingReplicaTest(unittest.TestCase):
    """Replicas that are draining or removed."""

    def test_no_new_work_after_the_time_limit(self):
        async def task(world):
            replica = world.replicas["10.0.0.1:80"]
            world.list_replica(replica, PLAIN, draining=True)
            await trio.sleep(DRAIN_SECONDS)
            before = len(replica.arrivals)
            for number in range(20):
                await world.ask("/look/x", f"r{number}")
            return len(replica.arrivals) - before

        self.assertEqual(run_entry(task), 0)

    def test_decode_engine_is_chosen_after_prefill(self):
        """Guards against a decode engine that was chosen before a long prefill.

        The prefill takes two seconds; meanwhile an engine starts draining. Chosen
        before the prefill, it would get the request long after it announced the drain.
        """

        async def task(world):
            prefill_engine, first, second = list(world.replicas.values())
            prefill_engine.prefill_seconds = 1.5
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

    def test_running_host_continues_to_serve(self):
        async def task(world):
            world.directory.down = True
            await trio.sleep(20)
            reply = await world.ask("/look/x")
            return reply.status, world.hosts[0].is_ready()

        self.assertEqual(run_entry(task), (200, True))

    def test_host_started_without_store_is_not_ready_and_refuses(self):
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

    def test_replicas_expired_during_outage_are_used_until_relisted(self):
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

    def test_refusal_without_replicas_asks_to_retry_later(self):
        """Guards against a retry that comes before the replicas are listed again.

        All hosts and the store were down together, and the list of replicas is being
        filled again. A host that has just started reads it a second too early. The
        caller retries once, so an immediate retry would be refused again.
        """

        async def task(world):
            for name in ("plain-1", "plain-2"):
                world.directory.remove_replica(name)
            await trio.sleep(0.2)
            return await world.ask("/book/x")

        reply = run_entry(task)
        self.assertEqual(reply.status, 503)
        self.assertGreaterEqual(reply.retry_after_seconds, 0.8)


class RemovedReplicaTest(unittest.TestCase):
    """State that a process keeps for replicas."""

    def test_state_of_removed_replicas_is_dropped(self):
        """Replicas have a new name at each start; a busy fleet has thousands a day."""

        async def task(world):
            for number in range(20):
                replica = world.add_replica(f"brief-{number}")
                await trio.sleep(0.3)
                for ask in range(4):
                    await world.ask("/look/x", f"r{number}-{ask}")
                world.directory.remove_replica(replica.instance)
                await trio.sleep(0.3)
            app = world.hosts[0]
            return len(app.loads), app.ports.client.pooled_targets

        self.assertEqual(run_entry(task), (2, 2))

    def test_state_is_kept_until_the_last_request_ends(self):
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
    """The split of engines into prefill and decode engines."""

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

    async def advance_and_relist(self, world, seconds: float) -> None:
        """Let time pass, updating the entries of engines that change phase."""
        listed = {}
        for _ in range(int(seconds / 0.5)):
            await trio.sleep(0.5)
            for replica in world.replicas.values():
                if listed.get(replica.instance) != replica.phase:
                    listed[replica.instance] = replica.phase
                    world.list_replica(replica, ENGINES)

    def test_one_host_sends_orders_at_first_start(self):
        async def task(world):
            await self.advance_and_relist(world, 12)
            orders = [len(rep.orders) for rep in world.replicas.values()]
            phases = [rep.phase for rep in world.replicas.values()]
            fences = {
                o.fencing_token for r in world.replicas.values() for o in r.orders
            }
            return sum(orders), phases.count("prefill"), len(fences)

        result = self.run_world(task, "ppppddddd", first_start="true")
        self.assertEqual(result, (2, 6, 1))

    def test_nearly_right_split_is_not_changed(self):
        async def task(world):
            await self.advance_and_relist(world, 20)
            return sum(len(rep.orders) for rep in world.replicas.values())

        self.assertEqual(self.run_world(task, "pppppdddd"), 0)

    def test_lack_of_decode_engines_is_corrected_at_once(self):
        """Guards against a slow reaction to draining decode engines.

        Two of three decode engines drain, and all streams would go to the last one,
        whose batch would grow until all events are late. A prefill engine is ordered
        to decode as soon as the drain is seen, not seconds later.
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

    def test_engine_with_ordered_phase_is_used_during_store_outage(self):
        """Guards against hosts that know an engine's phase only from its entry.

        An engine is ordered to decode, but its entry can't be updated because the store
        is down. Then the last decode engine crashes. Hosts that only read entries would
        refuse all prompts until the store recovers; gossip must tell them the phase.
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
            replies = [
                await world.ask(
                    "/note/x", f"r{n}", host=n % 3, headers=prompt_headers()
                )
                for n in range(6)
            ]
            return [reply.status for reply in replies]

        self.assertEqual(self.run_world(task, "ppddd"), [200] * 6)


if __name__ == "__main__":
    unittest.main()
