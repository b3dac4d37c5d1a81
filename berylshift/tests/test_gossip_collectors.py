"""Many hosts learn of store changes and of each other's load through a few of them."""

import random
import unittest

import trio

from berylshift.ids import InstanceId
from berylshift.messages.load_digest import Urgency, target_hash
from berylshift.messages.replicas import Replica
from berylshift.messages.routed import ReportedLoad
from berylshift.tests.entry_world import PLAIN
from berylshift.tests.multi_host_world import MultiHostWorld, Path
from berylshift.tests.support import run_virtual

# The time in which a change must be in force, and the byte budget a second: so small
# that thirty hosts use collectors, as two hundred do with the default budget.
BOUND_SECONDS = 4.0
BYTE_BUDGET = 4096
# The time within which a draining replica no longer gets new work, and a time after an
# outage by which the grace period of expired entries is over.
LEAVING_SECONDS = 2.0
LONG_AFTER_SECONDS = 3.5
HOSTS = 30
DOMAINS = 5
# Roles are taken within this time after a start.
SETTLED_SECONDS = 6.0
# Ten of the forty seeds that were run by hand; these take ten seconds.
SEEDS = range(10)


def run_world(
    task, hosts: int = HOSTS, domains: int = DOMAINS, byte_budget: int = BYTE_BUDGET
):
    """Run ``task(world)`` once the hosts have taken their roles."""

    async def main():
        async with trio.open_nursery() as nursery:
            world = MultiHostWorld(nursery, BOUND_SECONDS, byte_budget)
            for number in range(hosts):
                world.start(number, domains)
            await trio.sleep(SETTLED_SECONDS)
            found = await task(world)
            nursery.cancel_scope.cancel()
        return found

    return run_virtual(main)


class FeedReaderTest(unittest.TestCase):
    """Few hosts read the store's feeds; a change still reaches all hosts in time."""

    def test_calls_to_an_unchanged_store_do_not_grow_with_the_hosts(self):
        """195 hosts that each read both feeds every 3.5 s make 111 calls a second."""

        async def calls_per_minute(world):
            before = world.calls()
            await trio.sleep(20)
            return (world.calls() - before) * 3

        few = run_world(calls_per_minute, 20)
        many = run_world(calls_per_minute, 50)
        self.assertLess(many, 1.2 * few)
        # A tenth of the calls if each host read both feeds once in the time bound.
        self.assertLess(many, 50 * 2 * 60 / BOUND_SECONDS / 10)

    def test_change_is_in_force_on_all_hosts_in_time(self):
        async def task(world):
            version = world.put_routes()
            await trio.sleep(BOUND_SECONDS / 4)
            return version, {host.version for host in world.hosts}

        version, found = run_world(task)
        self.assertEqual(found, {version})

    def test_draining_replica_gets_no_work_from_any_host(self):
        async def task(world):
            world.put_replica("r-1")
            world.put_replica("r-2")
            await trio.sleep(2)
            both = [host.usable for host in world.hosts]
            world.put_replica("r-1", draining=True)
            await trio.sleep(BOUND_SECONDS / 4)
            return both, [host.usable for host in world.hosts]

        both, left = run_world(task)
        self.assertEqual(both, [{"r-1", "r-2"}] * HOSTS)
        self.assertEqual(left, [{"r-2"}] * HOSTS)

    def test_all_feed_readers_die_at_once(self):
        """All feed readers die, and the routes change right after.

        The other hosts get no notice of it. They see the age of the status they have,
        and read the feeds themselves before the change is due.
        """

        async def task(world):
            for host in [*world.collectors()]:
                world.kill(host)
            version = world.put_routes()
            await trio.sleep(BOUND_SECONDS)
            return version, {host.version for host in world.hosts}

        version, found = run_world(task)
        self.assertEqual(found, {version})

    def test_new_feed_reader_reads_at_once(self):
        """The feed readers die; others take the role while their status is still fresh.

        If they relied on that status until it expires, a change made meanwhile would
        reach no host before then.
        """

        async def task(world):
            await trio.sleep(BOUND_SECONDS)
            version = world.put_routes()
            await trio.sleep(0.5)
            calls = {host.name: host.view.calls for host in world.hosts}
            for host in world.feed_readers():
                world.kill(host)
            await trio.sleep(2.4)
            late = [
                h.name for h in world.feed_readers() if h.view.calls == calls[h.name]
            ]
            return version, late, len(world.feed_readers())

        version, late, feed_readers = run_world(task)
        self.assertEqual(version, 2)
        self.assertGreaterEqual(feed_readers, 2)
        self.assertEqual(late, [])

    def test_lagging_store_copy_is_not_polled_without_a_pause(self):
        """A host learns of a change, but the store answers from a copy without it.

        If the host read again at once, each host would make some hundred calls a second
        until the copy has caught up.
        """

        async def task(world):
            host = next(host for host in world.hosts if not host.peers.is_collector)
            host.view.lags = True
            world.put_routes()
            await trio.sleep(0.5)
            before = host.view.calls
            await trio.sleep(1.0)
            return host.view.calls - before

        self.assertLess(run_world(task), 30)

    def test_partitioned_host_reads_the_feeds_itself(self):
        async def task(world):
            partitioned = next(
                host for host in world.hosts if not host.peers.is_collector
            )
            world.net.paths[partitioned.address] = Path.CUT
            version = world.put_routes()
            await trio.sleep(BOUND_SECONDS)
            return version, partitioned.version

        version, found = run_world(task)
        self.assertEqual(found, version)

    def test_delayed_status_is_not_taken_for_fresh(self):
        """A host's datagrams are held up for a while, then all arrive at once.

        Their status dates from before the routes changed. Taken for fresh, it would
        keep the host from reading, and requests would be served by old routes.
        """

        async def task(world):
            delayed = next(host for host in world.hosts if not host.peers.is_collector)
            world.net.paths[delayed.address] = Path.HELD
            await trio.sleep(1.0)
            for host in world.hosts:
                if host is not delayed:
                    world.net.paths[host.address] = Path.CUT
            version = world.put_routes()
            await trio.sleep(BOUND_SECONDS - 1.5)
            world.net.paths[delayed.address] = Path.OPEN
            await trio.sleep(1.5)
            return version, delayed.version

        version, found = run_world(task)
        self.assertEqual(found, version)

    def test_feed_readers_whose_connections_hang(self):
        """The feed readers' connections accept calls and never answer.

        No host sees an error. The routes change right after; the status that the feed
        readers send meanwhile is old, and its age shows that.
        """

        async def task(world):
            for host in world.feed_readers():
                host.view.hangs = True
            version = world.put_routes()
            await trio.sleep(BOUND_SECONDS)
            return version, {host.version for host in world.hosts}

        version, found = run_world(task)
        self.assertEqual(found, {version})

    def test_replica_removed_long_after_an_outage_gets_no_work(self):
        """The store refuses one host while the routes change, then serves it again.

        Three seconds later a replica leaves without draining: its entry is removed. The
        host reads the replica list for the first time since the outage, takes the entry
        for one that expired during it, and sends the replica work for two seconds more.
        The log shows `store regained` for the routes 3.5 s before, `lapsed` instead of
        `removed`, and `replicas gone` 2.2 s after that.
        """

        async def task(world):
            world.put_replica("r-1")
            world.put_replica("r-2")
            await trio.sleep(2)
            host = next(each for each in world.hosts if not each.watch.reads_feeds)
            host.view.refused = True
            world.put_routes()
            await trio.sleep(3)
            host.view.refused = False
            await trio.sleep(LONG_AFTER_SECONDS)
            world.store.remove_replica("r-1")
            await trio.sleep(LEAVING_SECONDS - 0.1)
            return host.version, host.usable

        self.assertEqual(run_world(task), (2, {"r-2"}))

    def test_feed_readers_that_the_store_refuses(self):
        """The store serves all hosts but the feed readers."""

        async def task(world):
            for host in world.feed_readers():
                host.view.refused = True
            # Their calls in flight are still answered.
            await trio.sleep(BOUND_SECONDS)
            version = world.put_routes()
            await trio.sleep(BOUND_SECONDS)
            found = {host.version for host in world.hosts if not host.view.refused}
            return version, found

        version, found = run_world(task)
        self.assertEqual(found, {version})

    def test_entries_that_expired_in_an_outage_most_hosts_did_not_notice(self):
        """An outage of the store is shorter than the time a status stays valid.

        A replica's entry expires meanwhile, since it can't be renewed. The feed readers
        notice the outage and keep the replica for a grace period. A host that does not
        know of the outage would drop the healthy replica and reject requests.
        """

        async def task(world):
            world.put_replica("r-1")
            await trio.sleep(2)
            world.store.down = True
            world.store.remove_replica("r-1")
            await trio.sleep(0.8)
            world.store.down = False
            await trio.sleep(1.0)
            return [host.usable for host in world.hosts]

        self.assertEqual(run_world(task), [{"r-1"}] * HOSTS)

    def test_unavailable_store_gets_a_bounded_rate_of_calls(self):
        """Refused calls are load too: 195 hosts at 0.45 s each make 870 a second."""

        async def calls_per_second(world):
            for host in world.hosts:
                host.view.refused = True
            await trio.sleep(5)
            before = world.calls()
            await trio.sleep(5)
            return (world.calls() - before) / 5

        # Fifty hosts that call both feeds at the shortest interval, 0.3 s.
        self.assertLess(run_world(calls_per_second, 60), 2 * 50 / 0.3)


class ReplicaSpeedsTest(unittest.TestCase):
    """75 hosts in 4 domains share what they learn of 46 engines' speeds."""

    HOSTS, DOMAINS, ENGINES = 75, 4, 46
    # Responses of all engines together, to all hosts.
    RESPONSES_PER_SECOND = 320

    def run_responses(self, seconds: float, percent) -> tuple[list, float, int]:
        """Return the hosts, the time, and the bytes that a host sends in a second.

        ``percent`` returns what an engine states at a time, ``None`` for nothing.
        """

        async def task(world):
            rng, before = random.Random(1), world.net.sent_bytes
            for _ in range(int(seconds * self.RESPONSES_PER_SECOND)):
                await trio.sleep(1 / self.RESPONSES_PER_SECOND)
                host, now = rng.choice(world.hosts), trio.current_time()
                name = f"engine-{rng.randrange(self.ENGINES)}@1"
                load = ReportedLoad(8, 0, 64, percent(name, now))
                # The request is in progress for as long as the load says nothing else.
                host.loads.record_sent(name, 1600, Urgency.USUAL)
                host.replica_speeds.record_report(name, load, now)
                world.nursery.start_soon(self.end_request, host, name)
            sent = (world.net.sent_bytes - before) / seconds / len(world.hosts)
            return world.hosts, trio.current_time(), int(sent)

        return run_world(task, self.HOSTS, self.DOMAINS)

    async def end_request(self, host, name: str) -> None:
        await trio.sleep(0.5)
        host.loads.record_prefilled(name, 1600, Urgency.USUAL)
        host.loads.record_ended(name)

    @staticmethod
    def speed(name: str) -> int:
        return 170 if int(name.partition("@")[0].rpartition("-")[2]) % 3 == 2 else 70

    def test_each_host_knows_all_engines_within_seconds(self):
        """Guards against hosts that know only what they heard themselves.

        Each of them hears from an engine every eleven seconds. Engines are disturbed
        0.6 s in each 4 s, and state 2.5 times their usual figure then.
        """

        def percent(name: str, now: float) -> int:
            is_disturbed = (now + target_hash(name) % 40 / 10) % 4.0 < 0.6
            return int(self.speed(name) * (2.5 if is_disturbed else 1.0))

        hosts, _, _ = self.run_responses(5.0, percent)
        known = wrong = 0
        for host in hosts:
            for number in range(self.ENGINES):
                name = f"engine-{number}@1"
                rep = Replica(InstanceId(name), PLAIN, "10.1.0.1:80", "d", 64)
                found = host.replica_speeds.lasting_factor(rep)
                known += found != 1.0
                wrong += abs(100 * found - self.speed(name)) > 1
        self.assertEqual(known, self.HOSTS * self.ENGINES)
        self.assertLess(wrong, 0.01 * known)

    def test_updates_take_few_bytes(self):
        _, _, without = self.run_responses(3.0, lambda name, now: None)
        _, _, sent = self.run_responses(3.0, lambda name, now: self.speed(name))
        self.assertLess(sent, 1.25 * without)


class AggregateTest(unittest.TestCase):
    """Each host knows all others' load, and receives few datagrams."""

    def test_each_host_knows_the_load_of_all(self):
        async def task(world):
            for host in world.hosts:
                host.loads.record_sent("engine-1", 1600, Urgency.USUAL)
            await trio.sleep(1.2)
            now = trio.current_time()
            return [
                host.peers.prefill_tokens("engine-1", now)[1] for host in world.hosts
            ]

        self.assertEqual(set(run_world(task)), {1600 * (HOSTS - 1)})

    def test_failures_seen_in_two_domains_are_known_to_all_hosts(self):
        """Two hosts see one failure each in a second; both together count for all."""

        async def task(world):
            first, second = world.hosts[0], world.hosts[1]
            now = trio.current_time()
            first.loads.record_failure("engine-1", 1.0, now)
            before = [host.peers.failures("engine-1", now) for host in world.hosts]
            await trio.sleep(0.1)
            second.loads.record_failure("engine-1", 1.0, trio.current_time())
            await trio.sleep(0.8)
            now = trio.current_time()
            others = [host for host in world.hosts if host not in (first, second)]
            return before, [h.peers.failures("engine-1", now) for h in others]

        before, after = run_world(task)
        self.assertEqual(set(before), {0.0})
        self.assertGreater(min(after), 0.5)

    def test_block_prefilled_in_one_domain_is_cached_for_all_hosts(self):
        async def task(world):
            now = trio.current_time()
            world.hosts[0].prefix_cache.record_sent("part-1", 4000, "engine-1", now)
            await trio.sleep(1.2)
            return [
                h.prefix_cache.is_cached("part-1", "engine-1", 1e6) for h in world.hosts
            ]

        self.assertEqual(run_world(task), [True] * HOSTS)

    def test_each_host_knows_how_many_hosts_share_the_limits(self):
        async def task(world):
            await trio.sleep(20)
            return {host.load_loop.known_hosts for host in world.hosts}

        self.assertEqual(run_world(task), {HOSTS})

    def test_lost_collector_is_replaced(self):
        """Its aggregates end; another host of the domain takes over after a second."""

        async def task(world):
            lost = world.collectors()[0]
            world.kill(lost)
            await trio.sleep(3.0)
            for host in world.hosts:
                host.loads.record_sent("engine-1", 1600, Urgency.USUAL)
            await trio.sleep(1.2)
            now = trio.current_time()
            found = {
                host.peers.prefill_tokens("engine-1", now)[1] for host in world.hosts
            }
            return found, {host.domain for host in world.collectors()}

        found, domains = run_world(task)
        self.assertEqual(found, {1600 * (HOSTS - 2)})
        self.assertEqual(len(domains), DOMAINS)

    def test_new_collector_does_not_raise_the_limit_shares(self):
        """A collector dies; the next one has not heard from all hosts yet.

        Its first aggregates count few hosts. If that count were used, each host would
        take too large a share of the limit on retries.
        """

        async def task(world):
            await trio.sleep(20)
            world.kill(world.collectors()[0])
            lowest = HOSTS
            for _ in range(40):
                await trio.sleep(0.1)
                counts = [host.load_loop.known_hosts for host in world.hosts]
                lowest = min(lowest, *counts)
            return lowest

        self.assertGreaterEqual(run_world(task), HOSTS - 1)

    def test_partitioned_hosts_share_a_budget_with_all(self):
        """Guards against hosts without their collectors that use a whole budget."""

        async def task(world):
            await trio.sleep(20)
            for host in world.hosts:
                world.net.paths[host.address] = Path.CUT
            await trio.sleep(40)
            return {host.load_loop.budget_hosts for host in world.hosts}

        self.assertEqual(run_world(task), {HOSTS})

    def test_collector_without_other_domains_hears_of_few(self):
        """Guards against a domain that reports alone while it is partitioned."""

        async def task(world):
            await trio.sleep(5)
            collectors = world.collectors()
            now = trio.current_time()
            before = {host.peers.hears_most(1.0, now) for host in collectors}
            for host in world.hosts:
                if host.domain != collectors[0].domain:
                    world.net.paths[host.address] = Path.CUT
            await trio.sleep(2)
            now = trio.current_time()
            return before, collectors[0].peers.hears_most(1.0, now)

        self.assertEqual(run_world(task), ({True}, False))

    def test_host_without_a_collector_hears_of_few(self):
        """Guards against a host that takes its own load for that of all hosts."""

        async def task(world):
            await trio.sleep(5)
            collectors = world.collectors()
            host = next(each for each in world.hosts if each not in collectors)
            before = host.peers.hears_most(4.0, trio.current_time())
            world.net.paths[host.address] = Path.CUT
            await trio.sleep(5)
            return before, host.peers.hears_most(4.0, trio.current_time())

        self.assertEqual(run_world(task), (True, False))

    def test_host_without_its_collector_hears_of_few(self):
        """Guards against a partitioned host that reports usage alone."""

        async def task(world):
            await trio.sleep(5)
            host = next(host for host in world.hosts if not host.peers.is_collector)
            before = host.peers.hears_most(1.0, trio.current_time())
            world.net.paths[host.address] = Path.CUT
            await trio.sleep(20)
            return before, host.peers.hears_most(10.0, trio.current_time())

        self.assertEqual(run_world(task), (True, False))

    def test_datagrams_received_by_a_host_do_not_grow_with_the_hosts(self):
        async def received_per_second(world):
            before = dict(world.net.received)
            await trio.sleep(10)
            return sorted(
                (world.net.received[host.address] - before.get(host.address, 0)) / 10
                for host in world.hosts
            )[len(world.hosts) // 2]

        few, many = (
            run_world(received_per_second, 20),
            run_world(received_per_second, 50),
        )
        self.assertLess(many, 1.2 * few)


class RandomFaultsTest(unittest.TestCase):
    """Random kills, cut and delayed links, and a store that refuses hosts."""

    def test_due_changes_are_in_force_on_each_connected_host(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                run_world(lambda world, seed=seed: self.run_faults(world, seed), 18, 3)

    async def run_faults(self, world: MultiHostWorld, seed: int) -> None:
        rng = random.Random(seed)
        disturbed_at: dict[str, float] = {}
        written = [(trio.current_time(), 1)]
        for _ in range(12):
            self.disturb(world, rng, disturbed_at, written)
            await trio.sleep(rng.choice([0.0, 0.1, 0.7, 2.5]))
            self.check(world, disturbed_at, written)
        for host in world.hosts:
            world.net.paths[host.address] = Path.OPEN
            host.view.refused = False
        await trio.sleep(BOUND_SECONDS + 1.0)
        for host in world.hosts:
            self.assertEqual(host.version, world.put_version)

    def disturb(self, world, rng, disturbed_at, written) -> None:
        host = rng.choice(world.hosts)
        kind = rng.randrange(6)
        if kind == 0:
            written.append((trio.current_time(), world.put_routes()))
        elif kind == 1:
            disturbed_at[world.restart(host).name] = trio.current_time()
        elif kind == 2:
            world.net.paths[host.address] = rng.choice(list(Path))
        elif kind == 3:
            host.view.refused = not host.view.refused
            disturbed_at[host.name] = trio.current_time()
        elif kind == 4:
            for each in world.collectors():
                world.net.paths[each.address] = rng.choice([Path.OPEN, Path.CUT])
        else:
            world.store.forget_history()

    def check(self, world, disturbed_at, written) -> None:
        now = trio.current_time()
        for host in world.hosts:
            self.assertEqual(
                host.versions,
                sorted(set(host.versions)),
                "a version went back",
            )
            is_settled = now - disturbed_at.get(host.name, -60.0) > BOUND_SECONDS
            if is_settled and not host.view.refused:
                due = [ver for at, ver in written if now - at > BOUND_SECONDS]
                self.assertGreaterEqual(host.version, max(due, default=0))


if __name__ == "__main__":
    unittest.main()
