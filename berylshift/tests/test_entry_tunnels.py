"""Tests of requests that a host serves through another one, and of what it concludes.

What holds for a host that reaches its replicas also holds for one that does not.
"""

import unittest
from functools import partial

import trio

from berylshift.connection.http_client import close_now
from berylshift.connection.tunnel_client import TunnelClient, TunnelRefusedError
from berylshift.messages.engine_control import OrderAnswer, PhaseOrder
from berylshift.messages.replicas import EnginePhase
from berylshift.messages.tunnel import TunnelRequest, TunnelStatus
from berylshift.process.paths.replica_paths import LIFE_SECONDS, PathState
from berylshift.store.host_rows import HostRecord
from berylshift.tests.entry_world import (
    ENGINES,
    PLAIN,
    prompt_headers,
    stream_body,
)
from berylshift.tests.lost_paths_world import Cut, run_lost_paths, tally_all

PLAIN_ADDRESSES = [f"10.0.0.{number}:80" for number in range(1, 5)]
ENGINE_ADDRESSES = [f"10.0.0.{number}:80" for number in range(5, 11)]
# How long a run may go on after its caller has left.
LEFT_SECONDS = 0.5
# A connection that takes longer than the head start of a direct one.
SLOW_DIAL_SECONDS = 0.25
SHORT_SILENCE_SECONDS = 1.2


def runs_of(world, request):
    """Return the runs of a request at all replicas."""
    return [
        run
        for replica in world.replicas.values()
        for run in replica.runs
        if run.request == request
    ]


class TunnelledRequestsTest(unittest.TestCase):
    """Requests at a host that is cut off from all replicas."""

    def run_cut(self, task, cut=Cut.RESET, hosts=3):
        """Run ``task(world)`` with host 1 cut off, after all hosts were in use."""

        async def prepared(world):
            await tally_all(world, 1.0)
            world.cut("host-1", cut)
            await tally_all(world, 1.0)
            return await task(world)

        return run_lost_paths(prepared, hosts)

    def test_long_body_arrives_whole(self):
        """Guards against a request body that is cut or changed on the way."""
        body = bytes(range(256)) * 2000

        async def task(world):
            reply = await world.ask("/book/1", "long", body=body)
            return reply.status, [run.body for run in runs_of(world, "long")]

        self.assertEqual(self.run_cut(task), (200, [body]))

    def test_stream_goes_on_where_it_was_cut(self):
        """Guards against a stream with missing or repeated events."""

        async def task(world):
            with trio.fail_after(5):
                async with trio.open_nursery() as nursery:
                    replies = []

                    async def ask():
                        headers = prompt_headers(pieces=30)
                        replies.append(
                            await world.ask("/brief/1", "s1", 1, headers=headers)
                        )

                    nursery.start_soon(ask)
                    await trio.sleep(0.8)
                    world.cut("host-2", Cut.HANG)
            return replies[0]

        reply = self.run_cut(task)
        self.assertEqual((reply.whole, reply.body), (True, stream_body(1, 30)))

    def test_run_ends_when_its_caller_leaves(self):
        """Guards against replicas that work for a caller that has left."""

        async def task(world):
            for replica in world.replicas.values():
                replica.work_seconds = 3.0
            link = world.connect(0)
            await link.send("/book/1", "left", left_ms=4000)
            await trio.sleep(0.3)
            left_at = trio.current_time()
            await link.close()
            await trio.sleep(1.0)
            [run] = runs_of(world, "left")
            return run.ended - left_at, run.completed

        seconds, completed = self.run_cut(task)
        self.assertLess(seconds, LEFT_SECONDS)
        self.assertFalse(completed)

    def test_request_whose_carrier_dies_is_not_reported_as_not_run(self):
        """Guards against "not run" for a request that a replica has run."""

        async def task(world):
            for replica in world.replicas.values():
                replica.work_seconds = 1.0
            link = world.connect(0)
            await link.send("/book/1", "b1")
            await trio.sleep(0.3)
            for end in world.host_links:
                end.close()
            reply = await link.read()
            return reply.status, len(runs_of(world, "b1"))

        status, runs = self.run_cut(task)
        self.assertIn(status, (502, 504))
        self.assertEqual(runs, 1)

    def test_stopping_host_ends_what_it_carries(self):
        """Guards against requests that are cut when their carrier stops."""

        async def task(world):
            for replica in world.replicas.values():
                replica.work_seconds = 3.5
            replies, open_at_exit = {}, []

            async def ask(request):
                reply = await world.ask("/book/1", request, left_ms=3900)
                replies[request] = reply.status

            async def shut_down(app):
                await app.on_shutdown()
                open_at_exit.append(app.paths.tunnel_server.open_count)

            async with trio.open_nursery() as nursery:
                for number in range(8):
                    nursery.start_soon(ask, f"before-{number}")
                await trio.sleep(0.2)
                [carrier, *_] = [
                    app for app in world.hosts if app.paths.tunnel_server.open_count
                ]
                for replica in world.replicas.values():
                    replica.work_seconds = 0.1
                nursery.start_soon(ask, "last-before")
                await trio.sleep(0.05)
                nursery.start_soon(shut_down, carrier)
                await trio.sleep(0.1)
                opened = carrier.paths.tunnel_server.opened
                for number in range(8):
                    nursery.start_soon(ask, f"after-{number}")
            later = carrier.paths.tunnel_server.opened - opened
            return set(replies.values()), len(replies), later, open_at_exit

        self.assertEqual(self.run_cut(task), ({200}, 17, 0, [0]))

    def test_hosts_without_tunnels_are_passed_over(self):
        """Guards against failures while hosts of an older build are in use."""

        async def task(world):
            world.without_tunnels = {"10.1.0.2:7380", "10.1.0.3:7380"}
            await trio.sleep(0.5)
            return [(await world.ask("/book/1", f"r{n}")).status for n in range(5)]

        self.assertEqual(self.run_cut(task, hosts=4), [200] * 5)

    def test_tunnels_end_with_the_cut(self):
        """Guards against hosts that use tunnels although their paths are back."""

        async def task(world):
            dialer = world.hosts[0].paths.dialer
            await tally_all(world, 3.0)
            used = dialer.tunnels_opened
            world.heal("host-1")
            await tally_all(world, 1.5)
            before = dialer.tunnels_opened
            await tally_all(world, 2.0)
            return used > 0, dialer.tunnels_opened - before

        for cut in (Cut.HANG, Cut.RESET, Cut.REFUSE_NEW):
            with self.subTest(cut):
                self.assertEqual(self.run_cut(task, cut), (True, 0))

    def test_prompt_at_a_silent_engine_is_prefilled_elsewhere(self):
        """Guards against prompts that wait for an engine that is out of reach."""

        async def task(world):
            await tally_all(world, 1.0)
            for replica in world.replicas.values():
                replica.prefill_seconds = 0.3
            found = []

            async def ask():
                headers = prompt_headers(prefix_tokens=0)
                found.append((await world.ask("/note/1", "n1", headers=headers)).status)
                found.append(trio.current_time())

            async with trio.open_nursery() as nursery:
                started = trio.current_time()
                nursery.start_soon(ask)
                await trio.sleep(0.1)
                world.cut("host-1", Cut.HANG)
            return found[0], found[1] - started

        status, seconds = run_lost_paths(task, 3)
        self.assertEqual(status, 200)
        self.assertLess(seconds, 2.5)

    def test_silent_connections_are_not_used_again(self):
        """Guards against requests sent on connections that are silent for good."""

        async def task(world):
            await tally_all(world, 2.0)
            paths, used = world.hosts[0].paths, []
            for state in (PathState.REFUSED, PathState.SILENT):
                for number in range(8):
                    await world.ask("/look/1", f"{state}-{number}")
                for address in PLAIN_ADDRESSES:
                    now = trio.current_time()
                    paths.states.record_lost(address, state, now)
                before = paths.dialer.tunnels_opened
                await world.ask("/look/1", f"{state}-last")
                used.append(paths.dialer.tunnels_opened - before)
            return used

        self.assertEqual(run_lost_paths(task, 3), [0, 1])

    def test_tunnel_carries_one_request(self):
        """Guards against tunnels that stay open at other hosts without a request."""

        async def task(world):
            await tally_all(world, 1.0)
            await trio.sleep(0.5)
            return [app.paths.tunnel_server.open_count for app in world.hosts]

        self.assertEqual(self.run_cut(task), [0, 0, 0])

    def test_replica_that_leaves_gets_no_tunnel(self):
        """Guards against requests that reach a leaving replica through a host."""

        async def task(world):
            await tally_all(world, 1.0)
            client = TunnelClient(world.dial_host)
            client.use_key(await world.host_rows.get_or_set_shared_key(""))
            host = HostRecord("host-2", "10.1.0.2:7380")
            [first, second, *_] = world.hosts[1].replicas.listed(PLAIN)
            requests = {
                "listed": TunnelRequest(first.instance, first.address),
                "other address": TunnelRequest(first.instance, second.address),
                "unknown": TunnelRequest("unknown", first.address),
            }
            world.list_replica(world.replicas[second.address], PLAIN, draining=True)
            await trio.sleep(0.5)
            requests["leaving"] = TunnelRequest(second.instance, second.address)
            found = {}
            for title, request in requests.items():
                try:
                    await client.open(host, request)
                    found[title] = TunnelStatus.OPEN
                except TunnelRefusedError as exc:
                    found[title] = exc.status
            return found

        refused = TunnelStatus.NOT_LISTED
        expected = {"other address": refused, "unknown": refused, "leaving": refused}
        expected["listed"] = TunnelStatus.OPEN
        self.assertEqual(run_lost_paths(task, 3), expected)

    def test_paths_to_one_service_only(self):
        """Guards against refusals where one service's replicas are out of reach."""
        for addresses in (PLAIN_ADDRESSES, ENGINE_ADDRESSES, ENGINE_ADDRESSES[:3]):
            for cut in (Cut.HANG, Cut.RESET):
                with self.subTest(addresses=addresses, cut=cut):
                    self.assertEqual(self.failures_without(addresses, cut), [])

    def failures_without(self, addresses, cut):
        """Return the failed requests of a host that does not reach ``addresses``."""

        async def task(world):
            await tally_all(world, 1.0)
            world.cut("host-1", cut, addresses)
            await tally_all(world, 3.0)
            return (await tally_all(world, 3.0))[0].failures

        return run_lost_paths(task, 3)


class ConclusionsTest(unittest.TestCase):
    """What hosts conclude from connections that fail."""

    def test_silent_replica_is_no_lost_path(self):
        """Guards against requests broken off at a sound replica that pauses."""

        async def task(world):
            await tally_all(world, 1.0)
            for app in world.hosts:
                world.cut(app.cfg.host.name, Cut.HANG, ENGINE_ADDRESSES[:1])
            await trio.sleep(SHORT_SILENCE_SECONDS)
            lost = [len(app.paths.states) for app in world.hosts]
            for app in world.hosts:
                world.heal(app.cfg.host.name)
            return lost

        self.assertEqual(run_lost_paths(task, 3), [0, 0, 0])

    def test_dead_replica_is_no_lost_path(self):
        """Guards against hosts that go on asking all others for a dead replica."""

        async def task(world):
            await tally_all(world, 1.0)
            for address in PLAIN_ADDRESSES[:2]:
                world.replicas[address].alive = False
                for host in list(world.sockets):
                    world.cut(host, Cut.RESET, PLAIN_ADDRESSES[:2])
            await tally_all(world, 1.0)
            asked = len(world.host_links)
            tallies = await tally_all(world, 4.0)
            lost = [len(app.paths.states) for app in world.hosts]
            failed = [len(tally.failures) for tally in tallies]
            return lost, failed, len(world.host_links) - asked

        lost, failed, asked = run_lost_paths(task, 6)
        self.assertEqual((lost, failed), ([0] * 6, [0] * 6))
        # Each of six hosts asks two others for two replicas, once a second.
        self.assertLessEqual(asked, 6 * 2 * 2 * (4 + 1))

    def test_two_refused_hosts_are_enough(self):
        """Guards against questions to all hosts for a replica that is gone."""

        async def task(world):
            await tally_all(world, 1.5)
            address = PLAIN_ADDRESSES[0]
            world.replicas[address].alive = False
            app, asked = world.hosts[0], len(world.host_links)
            [name] = [
                rep.instance for rep in app.replicas.entries() if rep.address == address
            ]
            with self.assertRaises(OSError):
                await app.paths.dialer.open(name, address)
            return len(world.host_links) - asked

        self.assertEqual(run_lost_paths(task, 6), 2)

    def test_full_replica_gets_no_further_connections(self):
        """Guards against connections that fill the queue of an overloaded replica.

        Where nothing waits at a replica that is slow to connect, other hosts are asked.
        """

        async def task(world, waiting):
            for replica in world.replicas.values():
                replica.reported_load = (8, waiting, 8)
            await tally_all(world, 1.0)
            address, app = PLAIN_ADDRESSES[0], world.hosts[0]
            [name] = [
                rep.instance for rep in app.replicas.entries() if rep.address == address
            ]
            if not waiting:
                world.replicas[address].reported_load = (1, 0, 8)
                await tally_all(world, 0.5)
            await trio.sleep(LIFE_SECONDS)
            world.dial_seconds = SLOW_DIAL_SECONDS
            dials, asked = world.dials, len(world.host_links)
            app.paths.dialer.suspect(name, address)
            close_now(await app.paths.dialer.open(name, address))
            await trio.sleep(2 * SLOW_DIAL_SECONDS)
            return world.dials - dials, len(world.host_links) - asked

        self.assertEqual(run_lost_paths(partial(task, waiting=4), 6), (1, 0))
        _, asked = run_lost_paths(partial(task, waiting=0), 6)
        self.assertGreater(asked, 0)

    def test_outage_of_all_replicas_is_no_lost_path(self):
        """Guards against hosts that flood each other when replicas are gone for all."""

        async def task(world):
            await tally_all(world, 1.0)
            for app in world.hosts:
                world.cut(app.cfg.host.name, Cut.RESET)
            asked = len(world.host_links)
            await tally_all(world, 4.0)
            lost = [len(app.paths.states) for app in world.hosts]
            return lost, len(world.host_links) - asked

        lost, asked = run_lost_paths(task, 3)
        self.assertEqual(lost, [0, 0, 0])
        # Each of three hosts asks two others for ten replicas, once a second.
        self.assertLessEqual(asked, 3 * 2 * 10 * (4 + 1))

    def test_other_hosts_hear_of_no_failures(self):
        """Guards against hosts that believe one that is cut off and avoid replicas."""

        async def task(world):
            await tally_all(world, 1.0)
            for name in ("host-1", "host-2", "host-3"):
                world.cut(name, Cut.HANG)
            await tally_all(world, 3.0)
            observer, now = world.hosts[3], trio.current_time()
            return [
                observer.peers.failures(rep.instance, now)
                for rep in observer.replicas.entries()
            ]

        self.assertEqual(run_lost_paths(task, 4), [0.0] * 10)

    def test_lost_connections_are_no_crashes(self):
        """Guards against requests quarantined since a host lost its connections."""

        async def task(world):
            await tally_all(world, 1.5)
            for replica in world.replicas.values():
                replica.work_seconds = 1.0
            headers = prompt_headers(pieces=40, prefix_tokens=0)

            async def ask(path, request):
                await world.ask(path, request, headers=headers)

            async with trio.open_nursery() as nursery:
                for number in range(6):
                    for path in ("/brief/1", "/look/1"):
                        nursery.start_soon(ask, path, f"{path}-{number}")
                await trio.sleep(0.6)
                world.cut("host-1", Cut.RESET)
            await trio.sleep(0.5)
            return [len(app.quarantine) for app in world.hosts]

        self.assertEqual(run_lost_paths(task, 3), [0, 0, 0])

    def test_orders_take_no_tunnel(self):
        """Guards against orders that reach an engine from two hosts."""

        async def task(world):
            await tally_all(world, 1.0)
            world.cut("host-1", Cut.RESET)
            await tally_all(world, 3.0)
            app = world.hosts[0]
            [engine, *_] = app.replicas.listed(ENGINES)
            order = PhaseOrder(EnginePhase.DECODE, "host-1", 1, 0)
            answer = await app.ports.engines.order(engine, order)
            orders = [rep.orders for rep in world.replicas.values() if rep.orders]
            cut_off = [app._is_cut_off_from(name) for name in (PLAIN, ENGINES)]
            return answer, orders, cut_off

        expected = (OrderAnswer.UNKNOWN, [], [True, True])
        self.assertEqual(run_lost_paths(task, 3), expected)

    def test_host_that_is_cut_off_gives_no_orders(self):
        """Guards against a holder of the lease that reaches no engine."""
        names = {"host-1", "host-2", "host-3"}
        for name in names:
            with self.subTest(name):
                found = self.lease_holders(names - {name})
                self.assertEqual(found, ({name}, True))

    def lease_holders(self, cut_off):
        """Return who asks for the lease of orders, and whether any were given."""

        async def task(world):
            await tally_all(world, 1.0)
            for name in cut_off:
                world.cut(name, Cut.HANG)
            await tally_all(world, 2.0)
            holders, swap = set(), world.leases.compare_and_swap

            async def recorded(name, record, expected):
                holders.add(record.holder)
                return await swap(name, record, expected)

            world.leases.compare_and_swap = recorded
            for number in range(6):
                world.add_replica(f"new-{number}", ENGINES, EnginePhase.PREFILL)
            await tally_all(world, 5.0)
            ordered = sum(len(rep.orders) for rep in world.replicas.values())
            return holders, ordered > 0

        return run_lost_paths(task, 3, reading_share=0.5)

    def test_slow_connections_are_no_lost_paths(self):
        """Guards against hosts that add questions to an overload of all of them."""

        async def task(world):
            await tally_all(world, 1.0)
            world.dial_seconds = 0.29
            asked = len(world.host_links)
            tallies = await tally_all(world, 3.0)
            lost = [len(app.paths.states) for app in world.hosts]
            sent = sum(tally.sent for tally in tallies)
            failures = [
                failure
                for tally in tallies
                for failure in tally.failures
                if failure[1] != "note"
            ]
            return lost, failures, (len(world.host_links) - asked) / sent

        lost, failures, asked_per_request = run_lost_paths(task, 4)
        self.assertEqual((lost, failures), ([0] * 4, []))
        self.assertLess(asked_per_request, 1.0)


if __name__ == "__main__":
    unittest.main()
