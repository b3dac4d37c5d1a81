"""Many hosts hear of the store and of each other's work through few of them."""

import random
import unittest

import trio

from berylshift.messages.load_digest import Urgency
from berylshift.tests.multi_host_world import GatheredWorld, Path
from berylshift.tests.support import run_virtual

# The time in which a change must be in force, and bytes a second: so few that thirty
# hosts are gathered, as two hundred are by the usual budget.
BOUND_SECONDS = 4.0
BYTE_BUDGET = 4096
# The time in which a leaving replica gets no new work any more; an outage is over by
# then for as long as entries get to come back, and more.
LEAVING_SECONDS = 2.0
LONG_AFTER_SECONDS = 3.5
HOSTS = 30
DOMAINS = 5
# Roles are taken within this time of a start.
SETTLED_SECONDS = 6.0
# Forty were played by hand; these take ten seconds.
SEEDS = range(10)


def run_world(
    task, hosts: int = HOSTS, domains: int = DOMAINS, byte_budget: int = BYTE_BUDGET
):
    """Run ``task(world)`` with hosts that have settled."""

    async def main():
        async with trio.open_nursery() as nursery:
            world = GatheredWorld(nursery, BOUND_SECONDS, byte_budget)
            for number in range(hosts):
                world.start(number, domains)
            await trio.sleep(SETTLED_SECONDS)
            found = await task(world)
            nursery.cancel_scope.cancel()
        return found

    return run_virtual(main)


class SharedReadsTest(unittest.TestCase):
    """A quiet store is read by few hosts; news is with all of them in time."""

    def test_calls_of_a_quiet_store_do_not_grow_with_the_hosts(self):
        """195 hosts that each ask both feeds every 3.5 s make 111 calls a second."""

        async def calls_in_a_minute(world):
            before = world.calls()
            await trio.sleep(20)
            return (world.calls() - before) * 3

        few = run_world(calls_in_a_minute, 20)
        many = run_world(calls_in_a_minute, 50)
        self.assertLess(many, 1.2 * few)
        # A tenth of what the hosts would ask if each waited for a whole bound.
        self.assertLess(many, 50 * 2 * 60 / BOUND_SECONDS / 10)

    def test_a_change_is_in_force_on_all_hosts_in_time(self):
        async def task(world):
            version = world.put_routes()
            await trio.sleep(BOUND_SECONDS / 4)
            return version, {host.version for host in world.hosts}

        version, found = run_world(task)
        self.assertEqual(found, {version})

    def test_a_replica_that_leaves_gets_no_work_from_any_host(self):
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

    def test_all_followers_are_gone_at_once(self):
        """Whoever reads for the others dies, and the routes change right after.

        Nobody is told of it. The others see that the word they have grows old, and
        read by themselves before the change is due.
        """

        async def task(world):
            for host in [*world.collectors()]:
                world.kill(host)
            version = world.put_routes()
            await trio.sleep(BOUND_SECONDS)
            return version, {host.version for host in world.hosts}

        version, found = run_world(task)
        self.assertEqual(found, {version})

    def test_a_new_follower_reads_at_once(self):
        """The followers die; others take the role while the word they had is fresh.

        Going by that word to its end, they would let a change that comes meanwhile
        wait, and everybody with them.
        """

        async def task(world):
            await trio.sleep(BOUND_SECONDS)
            version = world.put_routes()
            await trio.sleep(0.5)
            calls = {host.name: host.view.calls for host in world.hosts}
            for host in world.followers():
                world.kill(host)
            await trio.sleep(2.4)
            late = [h.name for h in world.followers() if h.view.calls == calls[h.name]]
            return version, late, len(world.followers())

        version, late, followers = run_world(task)
        self.assertEqual(version, 2)
        self.assertGreaterEqual(followers, 2)
        self.assertEqual(late, [])

    def test_a_copy_that_lags_is_not_asked_without_a_pause(self):
        """A host hears of news, and the store answers it from a copy without it.

        Asked again at once, the store would get some hundred calls a second from each
        host until the copy has caught up.
        """

        async def task(world):
            host = next(host for host in world.hosts if not host.peers.collects)
            host.view.lags = True
            world.put_routes()
            await trio.sleep(0.5)
            before = host.view.calls
            await trio.sleep(1.0)
            return host.view.calls - before

        self.assertLess(run_world(task), 30)

    def test_a_host_that_hears_nobody_reads_by_itself(self):
        async def task(world):
            alone = next(host for host in world.hosts if not host.peers.collects)
            world.net.paths[alone.address] = Path.CUT
            version = world.put_routes()
            await trio.sleep(BOUND_SECONDS)
            return version, alone.version

        version, found = run_world(task)
        self.assertEqual(found, version)

    def test_old_word_that_comes_late_is_not_taken_for_fresh(self):
        """A host hears nothing for a while; then all that was held up comes at once.

        The word in it was true before the routes changed. Taken for fresh, it would
        keep the host from reading, and callers would be served by old routes.
        """

        async def task(world):
            late = next(host for host in world.hosts if not host.peers.collects)
            world.net.paths[late.address] = Path.HELD
            await trio.sleep(1.0)
            for host in world.hosts:
                if host is not late:
                    world.net.paths[host.address] = Path.CUT
            version = world.put_routes()
            await trio.sleep(BOUND_SECONDS - 1.5)
            world.net.paths[late.address] = Path.OPEN
            await trio.sleep(1.5)
            return version, late.version

        version, found = run_world(task)
        self.assertEqual(found, version)

    def test_followers_whose_connections_fall_silent(self):
        """The connections that all rely on take calls and never answer again.

        Nobody sees an error. The routes change right after; what the followers tell
        meanwhile is old, and shows it.
        """

        async def task(world):
            for host in world.followers():
                host.view.silent = True
            version = world.put_routes()
            await trio.sleep(BOUND_SECONDS)
            return version, {host.version for host in world.hosts}

        version, found = run_world(task)
        self.assertEqual(found, {version})

    def test_a_replica_that_goes_long_after_an_outage_gets_no_work(self):
        """The store turns one host away while the routes change, then serves it again.

        Three seconds later a replica leaves without having said so: its entry goes. The
        host reads the list for the first time since, takes the entry for one that
        lapsed in the outage, and sends the replica work for two seconds more. Evidence:
        `store regained` for the routes 3.5 s before, `lapsed` instead of `removed`, and
        `replicas gone` 2.2 s after that.
        """

        async def task(world):
            world.put_replica("r-1")
            world.put_replica("r-2")
            await trio.sleep(2)
            host = next(each for each in world.hosts if not each.watch.reads_feeds)
            host.view.turned_away = True
            world.put_routes()
            await trio.sleep(3)
            host.view.turned_away = False
            await trio.sleep(LONG_AFTER_SECONDS)
            world.store.remove_replica("r-1")
            await trio.sleep(LEAVING_SECONDS - 0.1)
            return host.version, host.usable

        self.assertEqual(run_world(task), (2, {"r-2"}))

    def test_followers_that_the_store_turns_away(self):
        """The store serves all but the hosts that read it for the others."""

        async def task(world):
            for host in world.followers():
                host.view.turned_away = True
            # Calls that they have made by then are still answered.
            await trio.sleep(BOUND_SECONDS)
            version = world.put_routes()
            await trio.sleep(BOUND_SECONDS)
            found = {host.version for host in world.hosts if not host.view.turned_away}
            return version, found

        version, found = run_world(task)
        self.assertEqual(found, {version})

    def test_entries_that_lapsed_in_an_outage_that_most_hosts_did_not_notice(self):
        """The store is away for less time than hosts go by a word.

        A replica's entry lapses meanwhile, since nobody can renew it. Those that read
        for the others saw the outage and keep the replica for a while. A host that
        did not would take it for gone, and refuse callers though it is well.
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

    def test_a_store_that_is_away_is_asked_less_by_many(self):
        """Refused calls are calls: 195 hosts at 0.45 s each make 870 a second."""

        async def calls_a_second(world):
            for host in world.hosts:
                host.view.turned_away = True
            await trio.sleep(5)
            before = world.calls()
            await trio.sleep(5)
            return (world.calls() - before) / 5

        # Two feeds, asked as fifty hosts would at one call in 0.3 s at the soonest.
        self.assertLess(run_world(calls_a_second, 60), 2 * 50 / 0.3)


class SumsTest(unittest.TestCase):
    """Each host knows all others' work, and hears few datagrams."""

    def test_each_host_knows_the_work_of_all(self):
        async def task(world):
            for host in world.hosts:
                host.loads.sent("engine-1", 1600, Urgency.USUAL)
            await trio.sleep(1.2)
            now = trio.current_time()
            return [host.peers.reading("engine-1", now)[1] for host in world.hosts]

        self.assertEqual(set(run_world(task)), {1600 * (HOSTS - 1)})

    def test_two_hosts_of_two_domains_that_find_a_replica_failing(self):
        """Each sees one failure in a second; together they know, and all hear of it."""

        async def task(world):
            first, second = world.hosts[0], world.hosts[1]
            now = trio.current_time()
            first.loads.failed("engine-1", 1.0, now)
            before = [host.peers.failures("engine-1", now) for host in world.hosts]
            await trio.sleep(0.1)
            second.loads.failed("engine-1", 1.0, trio.current_time())
            await trio.sleep(0.8)
            now = trio.current_time()
            others = [host for host in world.hosts if host not in (first, second)]
            return before, [h.peers.failures("engine-1", now) for h in others]

        before, after = run_world(task)
        self.assertEqual(set(before), {0.0})
        self.assertGreater(min(after), 0.5)

    def test_a_part_read_in_one_domain_is_warm_to_all(self):
        async def task(world):
            now = trio.current_time()
            world.hosts[0].warm.sent("part-1", 4000, "engine-1", now)
            await trio.sleep(1.2)
            return [h.warm.keeps("part-1", "engine-1", 1e6) for h in world.hosts]

        self.assertEqual(run_world(task), [True] * HOSTS)

    def test_each_host_knows_how_many_share_the_limits(self):
        async def task(world):
            await trio.sleep(20)
            return {host.tells.known_hosts for host in world.hosts}

        self.assertEqual(run_world(task), {HOSTS})

    def test_a_collector_is_lost(self):
        """The sums of its domain end; another host of it collects after a second."""

        async def task(world):
            lost = world.collectors()[0]
            world.kill(lost)
            await trio.sleep(3.0)
            for host in world.hosts:
                host.loads.sent("engine-1", 1600, Urgency.USUAL)
            await trio.sleep(1.2)
            now = trio.current_time()
            found = {host.peers.reading("engine-1", now)[1] for host in world.hosts}
            return found, {host.domain for host in world.collectors()}

        found, domains = run_world(task)
        self.assertEqual(found, {1600 * (HOSTS - 2)})
        self.assertEqual(len(domains), DOMAINS)

    def test_a_new_collector_does_not_raise_the_shares_of_the_limits(self):
        """A collector dies; the next one has not heard of all hosts yet.

        Its first sums count few hosts. Taken at their word, each host would send
        further sends for a larger share of the limit than is its own.
        """

        async def task(world):
            await trio.sleep(20)
            world.kill(world.collectors()[0])
            least = HOSTS
            for _ in range(40):
                await trio.sleep(0.1)
                counts = [host.tells.known_hosts for host in world.hosts]
                least = min(least, *counts)
            return least

        self.assertGreaterEqual(run_world(task), HOSTS - 1)

    def test_datagrams_heard_by_a_host_do_not_grow_with_the_hosts(self):
        async def heard_a_second(world):
            before = dict(world.net.heard)
            await trio.sleep(10)
            return sorted(
                (world.net.heard[host.address] - before.get(host.address, 0)) / 10
                for host in world.hosts
            )[len(world.hosts) // 2]

        few, many = run_world(heard_a_second, 20), run_world(heard_a_second, 50)
        self.assertLess(many, 1.2 * few)


class ScheduleTest(unittest.TestCase):
    """Random kills, cuts, held links and a store that turns hosts away."""

    def test_what_is_due_is_in_force_on_each_host_in_touch(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                run_world(lambda world, seed=seed: self.play(world, seed), 18, 3)

    async def play(self, world: GatheredWorld, seed: int) -> None:
        rng = random.Random(seed)
        touched: dict[str, float] = {}
        written = [(trio.current_time(), 1)]
        for _ in range(12):
            self.disturb(world, rng, touched, written)
            await trio.sleep(rng.choice([0.0, 0.1, 0.7, 2.5]))
            self.check(world, touched, written)
        for host in world.hosts:
            world.net.paths[host.address] = Path.OPEN
            host.view.turned_away = False
        await trio.sleep(BOUND_SECONDS + 1.0)
        for host in world.hosts:
            self.assertEqual(host.version, world.put_version)

    def disturb(self, world, rng, touched, written) -> None:
        host = rng.choice(world.hosts)
        kind = rng.randrange(6)
        if kind == 0:
            written.append((trio.current_time(), world.put_routes()))
        elif kind == 1:
            touched[world.restart(host).name] = trio.current_time()
        elif kind == 2:
            world.net.paths[host.address] = rng.choice(list(Path))
        elif kind == 3:
            host.view.turned_away = not host.view.turned_away
            touched[host.name] = trio.current_time()
        elif kind == 4:
            for each in world.collectors():
                world.net.paths[each.address] = rng.choice([Path.OPEN, Path.CUT])
        else:
            world.store.forget_history()

    def check(self, world, touched, written) -> None:
        now = trio.current_time()
        for host in world.hosts:
            self.assertEqual(host.held, sorted(set(host.held)), "a version went back")
            in_touch = now - touched.get(host.name, -60.0) > BOUND_SECONDS
            if in_touch and not host.view.turned_away:
                due = [ver for at, ver in written if now - at > BOUND_SECONDS]
                self.assertGreaterEqual(host.version, max(due, default=0))


if __name__ == "__main__":
    unittest.main()
