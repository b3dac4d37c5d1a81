"""Hosts of the native API that resume after they were suspended."""

import unittest

import trio

from berylshift.replay.trace import EventKind
from berylshift.request.messages import Outcome, Reason
from berylshift.settings import TableSettings
from berylshift.tests.test_draining import mark
from berylshift.tests.world import complete, model_call, run_world

SUSPENDED_SECONDS = 10 * TableSettings().freshness_limit


class SuspendedHostTest(unittest.TestCase):
    """A host that resumes has not heard of changes of the table."""

    def test_resumed_host_does_not_route_by_its_table(self):
        """Guards against work for a target that was withdrawn during the suspend."""

        async def task(world):
            host = world.hosts["host-1"]
            await mark(world, EventKind.WITHDRAW, "engine-1")
            world.suspend("host-1", SUSPENDED_SECONDS)
            endings = [(await complete(host, model_call(n)))[0] for n in range(4)]
            return {ending.reason for ending in endings}, host.app.readiness.is_ready()

        self.assertEqual(run_world(task), ({Reason.STALE_VIEW}, False))

    def test_resumed_host_routes_once_it_has_read_the_table(self):
        """Guards against a host that refuses requests for good after a suspend."""

        async def task(world):
            host = world.hosts["host-1"]
            world.suspend("host-1", SUSPENDED_SECONDS)
            await trio.sleep(2)
            return (await complete(host, model_call(1)))[0].outcome

        self.assertIs(run_world(task), Outcome.COMPLETE)

    def test_answer_of_the_store_to_a_question_before_the_suspend(self):
        """Guards against an old answer that is read after the suspend."""

        async def task(world):
            app = world.hosts["host-1"].app
            read = app.table_log.read_with_head

            async def read_with_head(keys):
                answer = await read(keys)
                world.suspend("host-1", SUSPENDED_SECONDS)
                return answer

            app.table_log.read_with_head = read_with_head
            await app.follower._read_store()
            return app.readiness.may_route()

        self.assertFalse(run_world(task))

    def test_confirmations_of_peers_before_the_suspend(self):
        """Guards against confirmations that count as new where the store is down."""

        async def task(world):
            world.platform.script.down = True
            await trio.sleep(SUSPENDED_SECONDS)
            readiness = world.hosts["host-1"].app.readiness
            before = readiness.may_route()
            world.suspend("host-1", SUSPENDED_SECONDS)
            return before, readiness.may_route()

        self.assertEqual(run_world(task, hosts=3), (True, False))

    def test_age_that_a_resumed_host_tells_its_peers(self):
        """Guards against a peer that takes the view of a resumed host for fresh."""

        async def task(world):
            world.store_links["host-2"].is_unreachable = True
            world.store_links["host-1"].is_unreachable = True
            world.suspend("host-1", SUSPENDED_SECONDS)
            ages = []
            fresh = world.hosts["host-2"].app.freshness
            note = fresh.note_peer_confirmation

            def note_peer_confirmation(confirmation):
                ages.append(confirmation.store_age)
                note(confirmation)

            fresh.note_peer_confirmation = note_peer_confirmation
            await trio.sleep(2)
            return min(ages)

        self.assertGreaterEqual(run_world(task), SUSPENDED_SECONDS)
