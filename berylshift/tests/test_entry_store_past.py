"""Tests of hosts that learn from the store's history what was before their start."""

import unittest

import msgspec
import trio

from berylshift.process.directory.store_past_loop import CHECKPOINT_SECONDS, SLOTS
from berylshift.process.streams.origin_records import KEEP_SECONDS
from berylshift.tests.entry_world import routes
from berylshift.tests.stale_list_world import StaleListWorld
from berylshift.tests.stream_version_world import DOMAINS, HOSTS, RETRY_BURST, Stream
from berylshift.tests.support import run_virtual

OLD, NEW = "v1", "v1.1"
HEARTBEAT_SECONDS = 1.0
RESTART_SECONDS = 1.0
# Less than a stream of the route may last (two timeouts of 4 s and 5 s).
RECENT_SECONDS = 6.0


class RestartWorld(StaleListWorld):
    """Hosts that are all killed and start again; replicas renew their entries."""

    renews = True

    async def renew(self) -> None:
        """Renew the listed replicas' entries until cancelled."""
        while True:
            await trio.sleep(HEARTBEAT_SECONDS)
            listed = (await self.directory.read_replicas()).put if self.renews else ()
            for replica in listed:
                self.directory.put_replica(replica)

    async def start_hosts(self) -> None:
        """Start all hosts."""
        for number in range(HOSTS):
            await self.add_host(
                domain=f"domain-{number % DOMAINS}", retry_burst=RETRY_BURST
            )

    def kill_all(self) -> None:
        """End all hosts at once."""
        for host in range(len(self.hosts)):
            self.kill_host(host)


async def start_world(nursery: trio.Nursery) -> RestartWorld:
    """Return a world whose hosts have started before engines of one version."""
    world = RestartWorld(nursery)
    world.directory.put_routes(routes())
    world.add_engines(OLD, 3, prefill=1)
    await world.start_hosts()
    nursery.start_soon(world.renew)
    return world


def run_restart(before=None, after=None, resumes: str | None = "r1") -> Stream:
    """Return a stream that is taken up after a start of all hosts.

    ``before(world)`` runs before it begins, ``after(world)`` after all are killed.
    """

    async def main():
        async with trio.open_nursery() as nursery:
            world = await start_world(nursery)
            await trio.sleep(KEEP_SECONDS)
            if before is not None:
                await before(world)
            stream = await world.begin("r1", 0)
            world.kill_all()
            await trio.sleep(RESTART_SECONDS)
            if after is not None:
                await after(world)
            await world.start_hosts()
            await world.stream(stream, "r1-again", HOSTS + 1, resumes=resumes)
            nursery.cancel_scope.cancel()
            return stream

    return run_virtual(main)


class StorePastTest(unittest.TestCase):
    """Streams that are taken up at hosts that have just started, all at once."""

    def check_refused(self, stream: Stream) -> None:
        """Check that a stream was refused, so that no version was guessed."""
        self.assertEqual(stream.statuses, [200, 503])

    def test_streams_go_on_after_a_start_of_all_hosts(self):
        """Guards against callers who are refused since no host remembers the past."""
        for resumes in ("r1", None):
            with self.subTest(resumes=resumes):
                stream = run_restart(resumes=resumes)
                self.assertEqual(stream.statuses, [200, 200])
                self.assertTrue(stream.is_whole, stream.ids)
                self.assertFalse(stream.is_mixed, stream.versions)

    def test_version_that_left_before_all_hosts_were_killed(self):
        """Guards against a joined stream where the former version has just left."""

        async def release(world):
            world.add_engines(NEW, 3, prefill=1)
            await trio.sleep(RECENT_SECONDS)
            world.remove(OLD)
            await trio.sleep(RECENT_SECONDS)

        self.check_refused(run_restart(release))

    def test_version_that_leaves_while_no_host_runs(self):
        """Guards against a joined stream whose version no list has any more."""

        async def release(world):
            world.add_engines(NEW, 3, prefill=1)
            world.remove(OLD)

        self.check_refused(run_restart(after=release))

    def test_version_that_left_before_the_history_of_the_store(self):
        """Guards against hosts out of step that used a version removed long before."""

        async def release(world):
            world.add_engines(NEW, 3, prefill=1)
            world.remove(OLD)
            await trio.sleep(KEEP_SECONDS / 2)
            world.directory.forget_history()
            await trio.sleep(2 * CHECKPOINT_SECONDS)

        self.check_refused(run_restart(release))

    def test_entry_that_is_removed_while_no_host_runs(self):
        """Guards against an unknown version that passes for the only one."""

        async def release(world):
            world.add_engines(NEW, 3, prefill=1)
            world.renews = False
            await trio.sleep(SLOTS * CHECKPOINT_SECONDS)

        async def leave(world):
            world.remove(OLD)

        self.check_refused(run_restart(release, leave))

    def test_hosts_restarted_one_after_the_other(self):
        """Guards against knowledge that ends with the last host that gathered it."""

        async def replace_hosts(world):
            for host in range(HOSTS):
                world.kill_host(host)
                await world.add_host(
                    domain=f"domain-{host % DOMAINS}", retry_burst=RETRY_BURST
                )
                await trio.sleep(RESTART_SECONDS)
            await trio.sleep(2 * CHECKPOINT_SECONDS)

        async def main():
            async with trio.open_nursery() as nursery:
                world = await start_world(nursery)
                await trio.sleep(KEEP_SECONDS)
                await replace_hosts(world)
                stream = await world.begin("r1", HOSTS)
                world.kill_all()
                await world.start_hosts()
                await world.stream(stream, "r1-again", 2 * HOSTS, resumes="r1")
                nursery.cancel_scope.cancel()
                return stream

        self.assertEqual(run_virtual(main).statuses, [200, 200])

    def test_history_that_the_store_dropped(self):
        """Guards against a past that begins before what the store tells."""

        async def forget(world):
            world.directory.forget_history()

        self.check_refused(run_restart(after=forget))

    def test_store_that_was_restored(self):
        """Guards against revisions of another era."""

        async def restore(world):
            world.directory.restore(2.0)

        self.check_refused(run_restart(after=restore))

    def test_store_that_is_restored_after_the_checkpoints_were_read(self):
        """Guards against changes since a revision that was assigned again."""

        async def prepare(world):
            rows = world.checkpoint_rows
            read = rows.read

            async def read_and_restore():
                found = await read()
                world.directory.restore(RESTART_SECONDS + 1.5)
                return found

            rows.read = read_and_restore

        self.check_refused(run_restart(after=prepare))

    def test_routes_that_moved(self):
        """Guards against a stream that goes on at another route's service."""

        async def move(world):
            world.directory.put_routes(routes(2))

        self.check_refused(run_restart(after=move))

    def test_routes_whose_former_version_is_written_again(self):
        """Guards against routes in between that only the history shows."""

        async def move(world):
            world.directory.put_routes(routes(2))
            world.directory.put_routes(routes(1))

        self.check_refused(run_restart(after=move))

    def test_checkpoints_that_can_not_be_true(self):
        """Guards against a past that a checkpoint of the future or of none proves."""

        async def forge(world):
            rows = world.checkpoint_rows
            newest = max(rows.slots.values(), key=lambda each: each.store_ms)
            late = msgspec.structs.replace(newest, store_ms=newest.store_ms + 10**6)
            after = msgspec.structs.replace(newest, revision=newest.revision + 10**6)
            rows.slots = {
                0: late,
                1: after,
                2: msgspec.structs.replace(newest, era=newest.era + 1),
                3: msgspec.structs.replace(newest, store_ms=0, since_ms=0),
            }

        self.check_refused(run_restart(after=forge))

    def test_few_hosts_write_few_checkpoints(self):
        """Guards against writes that grow with the number of hosts."""
        seconds = 10 * CHECKPOINT_SECONDS

        async def main():
            async with trio.open_nursery() as nursery:
                world = await start_world(nursery)
                await trio.sleep(seconds)
                nursery.cancel_scope.cancel()
                return world.checkpoint_rows.writes

        self.assertLessEqual(run_virtual(main), 2 * seconds / CHECKPOINT_SECONDS)


if __name__ == "__main__":
    unittest.main()
