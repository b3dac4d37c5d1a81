"""Tests of streams that a host began which was long out of step with the store."""

import unittest

import msgspec
import trio

from berylshift.messages.replicas import EnginePhase
from berylshift.process.directory.store_past_loop import CHECKPOINT_SECONDS
from berylshift.process.streams.origin_records import KEEP_SECONDS
from berylshift.tests.entry_world import ENGINES, routes
from berylshift.tests.stale_list_world import POLL_SECONDS
from berylshift.tests.stream_version_world import HOSTS, RETRY_BURST, Stream
from berylshift.tests.support import run_virtual
from berylshift.tests.test_entry_moved_streams import (
    HORIZON_SECONDS,
    PATH,
    MovedWorld,
    run_moved,
)
from berylshift.tests.test_entry_store_past import RestartWorld
from berylshift.tests.test_entry_stream_versions import OTHER, route_to
from berylshift.version.routes import Route

OLD, NEW = "v1", "v1.1"
# Longer than a stream of the usual timeout may last.
AGE_SECONDS = 20.0
# Longer than a stream may last, and less than two checkpoints more.
RECENT_SECONDS = 17.0
# Hosts read of a change within 2 s.
LAG_SECONDS = 1.5
# Time in which all hosts know of a change and have written some checkpoints.
SETTLE_SECONDS = 2.5 * CHECKPOINT_SECONDS


class RestartedMovedWorld(MovedWorld, RestartWorld):
    """Hosts that start again before two services of engines."""

    def publish(self, version: int, route: Route) -> None:
        """Publish routes with a further one."""
        self.directory.put_routes(routes(version, route))

    async def restart_all(self) -> None:
        """Kill all hosts at once and start them where they reach everything."""
        self.kill_all()
        self.heal()
        await self.start_hosts()

    async def resume_at_new_host(self, stream: Stream) -> Stream:
        """Take a stream up at one of the hosts that were started last."""
        await self.stream(stream, "r1-again", HOSTS + 1, "r1", path=PATH)
        return stream


def run_restarted(task) -> Stream:
    """Run ``task(world)`` as ``run_moved``, in a world whose replicas renew entries."""

    async def main():
        async with trio.open_nursery() as nursery:
            world = RestartedMovedWorld(nursery)
            world.add_engines(OLD, 3, prefill=1)
            for number in range(3):
                phase = EnginePhase.DECODE
                world.add_replica(f"other-{number}", OTHER, phase, version="other")
            world.move(1, ENGINES)
            await world.start_hosts()
            nursery.start_soon(world.renew)
            await trio.sleep(KEEP_SECONDS)
            found = await task(world)
            nursery.cancel_scope.cancel()
            return found

    return run_virtual(main)


class OldRoutesTest(unittest.TestCase):
    """Streams that a host with old routes began."""

    def check_not_joined(self, stream: Stream) -> None:
        """Check that no events of another service or version follow."""
        self.assertEqual(stream.statuses[0], 200)
        self.assertEqual(len(stream.statuses), 2)
        self.assertFalse(stream.is_mixed, stream.versions)

    def test_stream_that_a_host_with_old_routes_began(self):
        """Guards against a move forgotten while a host leads streams as before it."""
        for resumes in ("r1", None):

            async def task(world, resumes=resumes):
                world.cut_off(0)
                world.move(2, OTHER)
                await trio.sleep(AGE_SECONDS)
                stream = await world.begin_on_route(0)
                await world.stream(stream, "r1-again", 1, resumes, path=PATH)
                return stream

            with self.subTest(resumes=resumes):
                self.check_not_joined(run_moved(task))

    def test_host_that_started_before_a_host_with_old_routes_began_a_stream(self):
        """Guards against a past that is too short for a host out of step."""

        async def task(world):
            world.cut_off(0)
            world.move(2, OTHER)
            await world.add_host(domain="domain-0", retry_burst=RETRY_BURST)
            await trio.sleep(AGE_SECONDS)
            for host in range(1, HOSTS):
                world.kill_host(host)
            stream = await world.begin_on_route(0)
            await world.stream(stream, "r1-again", HOSTS, "r1", path=PATH)
            return stream

        self.check_not_joined(run_moved(task))

    def test_routes_that_a_restored_store_has_lost(self):
        """Guards against routes of the store that were not those in force."""

        async def task(world):
            world.move(2, OTHER)
            await trio.sleep(AGE_SECONDS)
            world.directory.restore(AGE_SECONDS + 0.5)
            await trio.sleep(KEEP_SECONDS + AGE_SECONDS)
            stream = await world.begin_on_route(0, 2)
            world.kill_all()
            await trio.sleep(1.0)
            await world.start_hosts()
            return await world.resume_at_new_host(stream)

        self.check_not_joined(run_restarted(task))

    def test_timeout_that_is_shortened_before_all_hosts_start(self):
        """Guards against a past that is too short for streams of a former route."""
        before = msgspec.structs.replace(route_to(ENGINES), timeout_seconds=30.0)

        async def task(world):
            world.publish(2, before)
            await trio.sleep(KEEP_SECONDS)
            stream = await world.begin_on_route(0, 2)
            world.add_engines(NEW, 3, prefill=1)
            world.remove(OLD)
            world.publish(3, route_to(ENGINES))
            await trio.sleep(AGE_SECONDS)
            # The store keeps its changes for less long.
            world.directory.forget_history()
            await trio.sleep(AGE_SECONDS)
            world.kill_all()
            await trio.sleep(1.0)
            await world.start_hosts()
            return await world.resume_at_new_host(stream)

        self.check_not_joined(run_restarted(task))


class OldListTest(unittest.TestCase):
    """Streams that a host with an old list began at replicas that serve on."""

    def check_not_joined(self, stream: Stream) -> None:
        """Check that no events of another version follow."""
        self.assertEqual(stream.versions[:1], [OLD])
        self.assertEqual(len(stream.statuses), 2)
        self.assertFalse(stream.is_mixed, stream.versions)

    def release(self, world) -> None:
        """Replace all engines unseen by the first host."""
        world.cut_off(0)
        world.add_engines(NEW, 3, prefill=1)
        world.remove(OLD)

    def test_host_that_started_before_the_stream_began(self):
        """Guards against a past that is as long as a stream, but no longer."""

        async def task(world):
            self.release(world)
            await trio.sleep(1.0)
            for host in range(1, HOSTS):
                world.kill_host(host)
            await world.start_hosts()
            await trio.sleep(AGE_SECONDS)
            stream = await world.begin_on_route(0)
            return await world.resume_at_new_host(stream)

        self.check_not_joined(run_restarted(task))

    def test_host_that_has_just_started(self):
        """Guards against a past of the store that is no longer than a stream."""

        async def task(world):
            self.release(world)
            await trio.sleep(AGE_SECONDS)
            # The store keeps its changes for less long.
            world.directory.forget_history()
            await trio.sleep(AGE_SECONDS)
            stream = await world.begin_on_route(0)
            await world.restart_all()
            return await world.resume_at_new_host(stream)

        self.check_not_joined(run_restarted(task))

    def test_host_that_could_not_learn_of_the_past(self):
        """Guards against a past that is too short where no checkpoint can be used."""

        async def task(world):
            self.release(world)
            await trio.sleep(1.0)
            for host in range(1, HOSTS):
                world.kill_host(host)
            world.directory.forget_history()
            await world.start_hosts()
            await trio.sleep(AGE_SECONDS)
            stream = await world.begin_on_route(0)
            return await world.resume_at_new_host(stream)

        self.check_not_joined(run_restarted(task))

    def test_host_that_fell_silent_before_a_checkpoint(self):
        """Guards against a checkpoint of a moment before a host was missed."""
        for seconds in range(int(CHECKPOINT_SECONDS)):
            with self.subTest(seconds=seconds):
                self.check_silent_before_a_checkpoint(seconds)

    def check_silent_before_a_checkpoint(self, seconds: float) -> None:
        """Cut a host off some ``seconds`` after all hosts have run for long."""

        async def task(world):
            await trio.sleep(seconds)
            self.release(world)
            # The store keeps its changes for less long.
            world.directory.forget_history()
            await trio.sleep(RECENT_SECONDS)
            stream = await world.begin_on_route(0)
            await world.restart_all()
            return await world.resume_at_new_host(stream)

        self.check_not_joined(run_restarted(task))

    def test_host_that_reads_of_a_removal_later_than_a_checkpoint(self):
        """Guards against a past that begins before all hosts knew of a removal."""

        async def task(world):
            rows = world.checkpoint_rows
            writes = rows.writes
            while rows.writes == writes:
                await trio.sleep(POLL_SECONDS)
            await trio.sleep(CHECKPOINT_SECONDS - 0.2)
            self.release(world)
            world.directory.forget_history()
            released_at = trio.current_time()
            await trio.sleep(LAG_SECONDS)
            stream = await world.begin_on_route(0)
            world.heal()
            await trio.sleep(SETTLE_SECONDS)
            world.kill_all()
            await world.start_hosts()
            await trio.sleep_until(released_at + HORIZON_SECONDS + 0.5)
            return await world.resume_at_new_host(stream)

        self.check_not_joined(run_restarted(task))


if __name__ == "__main__":
    unittest.main()
