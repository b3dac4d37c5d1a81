"""A store that comes back from a copy some seconds old: routes and replicas."""

import unittest

import trio

from berylshift.messages.replicas import LAPSE_HEARTBEATS
from berylshift.settings import DirectorySettings
from berylshift.tests.entry_world import PLAIN, route, routes, run_entry
from berylshift.version.routes import RouteKind

# What operators and replicas wrote is written again within this time.
AGAIN_SECONDS = 1.5
LAPSE_SECONDS = LAPSE_HEARTBEATS * DirectorySettings().heartbeat_ms / 1000


def with_route(version: int, name: str = "new"):
    """Return routes with one more."""
    return routes(version, route(name, RouteKind.IDEMPOTENT))


class FeedTest(unittest.TestCase):
    """Revisions are given out again."""

    def test_news_behind_a_revision_that_was_given_out_again_is_seen(self):
        """The host has read up to a revision that the copy does not have.

        The new era reaches it again by other changes, a new replica among them, before
        the host asks. It gets no 410, and nothing below its position is told to it.
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

    def test_every_host_has_what_is_new(self):
        async def task(world):
            world.directory.put_routes(routes(5))
            await trio.sleep(0.5)
            world.directory.restore(1.0)
            world.directory.put_routes(with_route(6))
            await trio.sleep(2)
            return [(await world.ask("/new/x", host=n)).status for n in range(3)]

        self.assertEqual(run_entry(task, hosts=3), [200] * 3)


class RouteTest(unittest.TestCase):
    """Routes in force never go back, and follow what the operators write again."""

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

    def test_the_same_version_with_another_text_is_taken(self):
        """The operator's last change is lost; its number is used for another one."""

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
    """What an older copy says of replicas."""

    def play(self, before, after=None, wait: float = AGAIN_SECONDS):
        """Return the work that ``plain-1`` gets once the store is back older."""

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

    def test_one_that_leaves_and_is_ready_in_the_copy_gets_nothing(self):
        """It said that it leaves; its host has acknowledged that, the copy has not."""

        def leaves(world, replica):
            world.list_replica(replica, PLAIN, draining=True)

        self.assertEqual(self.play(leaves), (0, {200}))

    def test_one_that_has_gone_and_stands_in_the_copy_gets_nothing(self):
        def goes(world, replica):
            world.directory.remove_replica(replica.instance)

        self.assertEqual(self.play(goes), (0, {200}))

    def test_one_that_writes_itself_again_is_used(self):
        """Its entry had lapsed only; it was alive all the time."""

        def lapses(world, replica):
            world.directory.remove_replica(replica.instance)

        def writes(world, replica):
            world.list_replica(replica, PLAIN)

        taken, statuses = self.play(lapses, writes)
        self.assertGreater(taken, 0)
        self.assertEqual(statuses, {200})

    def test_one_whose_entry_does_not_lapse_is_used(self):
        def lapses(world, replica):
            world.directory.remove_replica(replica.instance)

        taken, _ = self.play(lapses, wait=2 * LAPSE_SECONDS)
        self.assertGreater(taken, 0)

    def test_those_born_since_are_used_until_they_are_written_again(self):
        """The copy is older than both replicas; they are well all the while."""

        async def task(world):
            statuses = []
            world.directory.restore(60)
            world.directory.put_routes(routes(1))
            for number in range(10):
                await trio.sleep(AGAIN_SECONDS / 10)
                statuses.append((await world.ask("/look/x", f"r{number}")).status)
            return statuses

        self.assertEqual(run_entry(task), [200] * 10)
