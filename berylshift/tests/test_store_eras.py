"""Routes and replicas after the store is restored from a copy some seconds old."""

import unittest

import trio

from berylshift.messages.replicas import ENTRY_TTL_HEARTBEATS
from berylshift.settings import DirectorySettings
from berylshift.tests.entry_world import PLAIN, route, routes, run_entry
from berylshift.version.routes import RouteKind

# Operators and replicas repeat their writes within this time.
REWRITE_SECONDS = 1.5
ENTRY_TTL_SECONDS = ENTRY_TTL_HEARTBEATS * DirectorySettings().heartbeat_ms / 1000


def with_route(version: int, name: str = "new"):
    """Return routes with an additional one."""
    return routes(version, route(name, RouteKind.IDEMPOTENT))


class FeedTest(unittest.TestCase):
    """Revisions are assigned again in the new era."""

    def test_changes_below_a_reused_revision_are_seen(self):
        """The host has read up to a revision that the copy does not have.

        Other changes, among them a new replica, reach that revision again before the
        host's next call. It gets no 410, and no change below its position.
        """

        async def task(world):
            for number in range(5):
                world.directory.put_routes(routes(2 + number))
                await trio.sleep(0.2)
            world.directory.restore(1.1)
            late = world.add_replica("late")
            for number in range(9):
                world.directory.put_routes(routes(11 + number))
            await trio.sleep(1)
            return late.instance in {
                rep.instance for rep in world.hosts[0].replicas.pool(PLAIN).replicas
            }

        self.assertTrue(run_entry(task))

    def test_every_host_has_the_changes_of_the_new_era(self):
        async def task(world):
            world.directory.put_routes(routes(5))
            await trio.sleep(0.5)
            world.directory.restore(1.0)
            world.directory.put_routes(with_route(6))
            await trio.sleep(2)
            return [(await world.ask("/new/x", host=n)).status for n in range(3)]

        self.assertEqual(run_entry(task, hosts=3), [200] * 3)


class RouteTest(unittest.TestCase):
    """Routes in force never revert, and follow what operators write again."""

    def test_a_version_that_the_copy_lacks_stays_in_force(self):
        async def task(world):
            await trio.sleep(1)
            world.directory.put_routes(with_route(2))
            await trio.sleep(0.3)
            world.directory.restore(0.5)
            statuses = []
            for _ in range(5):
                await trio.sleep(0.3)
                statuses.append((await world.ask("/new/x")).status)
            return statuses

        self.assertEqual(run_entry(task), [200] * 5)

    def test_the_same_version_with_another_text_is_applied(self):
        """The last change is lost, and its version number is reused for another one."""

        async def task(world):
            await trio.sleep(1)
            world.directory.put_routes(with_route(2, "lost"))
            await trio.sleep(0.3)
            world.directory.restore(0.5)
            await trio.sleep(0.2)
            world.directory.put_routes(with_route(2, "kept"))
            await trio.sleep(2)
            lost = (await world.ask("/lost/x")).status
            return lost, (await world.ask("/kept/x")).status

        self.assertEqual(run_entry(task), (404, 200))


class ReplicaTest(unittest.TestCase):
    """Replicas as listed by an older copy."""

    def play(self, before, after=None, wait: float = REWRITE_SECONDS):
        """Return the requests that ``plain-1`` gets after the store was restored."""

        async def task(world):
            await trio.sleep(1)
            replica = world.replicas["10.0.0.1:80"]
            before(world, replica)
            await trio.sleep(0.5)
            world.directory.restore(1.0)
            await trio.sleep(0.2)
            if after is not None:
                after(world, replica)
            taken = len(replica.arrivals)
            statuses = set()
            for number in range(20):
                await trio.sleep(wait / 20)
                statuses.add((await world.ask("/look/x", f"r{number}")).status)
            return len(replica.arrivals) - taken, statuses

        return run_entry(task)

    def test_a_draining_replica_that_the_copy_lists_as_ready_gets_nothing(self):
        """The host has acknowledged the drain; the copy lists the replica as ready."""

        def drain(world, replica):
            world.list_replica(replica, PLAIN, draining=True)

        self.assertEqual(self.play(drain), (0, {200}))

    def test_a_removed_replica_that_the_copy_lists_gets_nothing(self):
        def remove(world, replica):
            world.directory.remove_replica(replica.instance)

        self.assertEqual(self.play(remove), (0, {200}))

    def test_a_replica_that_renews_its_entry_is_used(self):
        """Its entry had only expired; the replica was alive all the time."""

        def expire(world, replica):
            world.directory.remove_replica(replica.instance)

        def renew(world, replica):
            world.list_replica(replica, PLAIN)

        taken, statuses = self.play(expire, renew)
        self.assertGreater(taken, 0)
        self.assertEqual(statuses, {200})

    def test_a_replica_whose_entry_does_not_expire_is_used(self):
        def expire(world, replica):
            world.directory.remove_replica(replica.instance)

        taken, _ = self.play(expire, wait=2 * ENTRY_TTL_SECONDS)
        self.assertGreater(taken, 0)

    def test_replicas_newer_than_the_copy_are_used_until_listed_again(self):
        """The copy is older than both replicas, which are healthy all the time."""

        async def task(world):
            statuses = []
            world.directory.restore(60)
            world.directory.put_routes(routes(1))
            for number in range(10):
                await trio.sleep(REWRITE_SECONDS / 10)
                statuses.append((await world.ask("/look/x", f"r{number}")).status)
            return statuses

        self.assertEqual(run_entry(task), [200] * 10)
