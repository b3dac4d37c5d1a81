"""Tests of outcomes: "not-run" is reported only for calls that were not run."""

import unittest

import trio
import trio.testing

from berylshift.connection.http_client import HttpClient
from berylshift.connection.service_client import REFUSED_HEADER, HttpServiceClient
from berylshift.ids import AttemptId
from berylshift.replay.trace import EventKind, TraceEvent
from berylshift.replay.virtual import VirtualFleet
from berylshift.request.messages import Outcome, Reason
from berylshift.targets import (
    ServiceCall,
    TargetBrokenError,
    TargetNotReachedError,
    TargetRefusedError,
)
from berylshift.tests.support import VirtualTestCase
from berylshift.tests.world import (
    call_service,
    complete,
    expected_text,
    model_call,
    plain_call,
    run_world,
)

CALL = ServiceCall(AttemptId("a1"), "booking", "POST", "/book", {}, b"x", False, "k")


class ServiceClientTest(VirtualTestCase):
    """How each end of a connection is interpreted."""

    def call(self, answer: bytes | None, reads_request: bool = True):
        """Call a peer that sends ``answer`` and closes; ``None``: it refuses."""

        async def task():
            near, far = trio.testing.memory_stream_pair()

            async def dial(address):
                if answer is None:
                    raise OSError("refused")
                return near

            async def peer():
                if reads_request:
                    await far.receive_some()
                if answer:
                    await far.send_all(answer)
                await far.aclose()

            result = None
            async with trio.open_nursery() as nursery:
                nursery.start_soon(peer)
                try:
                    client = HttpServiceClient(HttpClient(dial), "")
                    result = await client.call("a:1", CALL)
                except Exception as exc:
                    result = exc
                nursery.cancel_scope.cancel()
            return result

        return self.run_virtual(task)

    def test_connect_refused_was_not_run(self):
        self.assertIsInstance(self.call(None), TargetNotReachedError)

    def test_reset_before_the_first_byte_of_the_answer_may_have_run(self):
        # The target read the call and went down, so the call may have run.
        self.assertIsInstance(self.call(b""), TargetBrokenError)

    def test_reset_before_the_request_was_read_may_have_run(self):
        found = self.call(b"", reads_request=False)
        self.assertIsInstance(found, TargetBrokenError)

    def test_reset_after_the_first_byte_may_have_run(self):
        half = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhal"
        self.assertIsInstance(self.call(half), TargetBrokenError)

    def test_invalid_response_may_have_run(self):
        self.assertIsInstance(self.call(b"nonsense\r\n\r\n"), TargetBrokenError)

    def test_refusal_by_the_target_was_not_run(self):
        head = f"HTTP/1.1 503 Busy\r\n{REFUSED_HEADER}: true\r\nContent-Length: 0\r\n"
        found = self.call(head.encode() + b"\r\n")
        self.assertIsInstance(found, TargetRefusedError)

    def test_503_without_the_refusal_header_is_a_response(self):
        found = self.call(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        self.assertEqual(found.status, 503)


class ConfirmationOutcomeTest(unittest.TestCase):
    """Reported outcomes of confirmations, checked against the service's run count."""

    def confirm(self, prepare):
        """Confirm after ``prepare(world)``; return outcome, run count and reason."""

        async def task(world):
            await prepare(world)
            found = await call_service(world.hosts["host-1"], plain_call("k"))
            await trio.sleep(3)
            return found.ending.outcome, world.ran["k"], found.ending.reason

        return run_world(task)

    def test_no_replica_can_be_reached(self):
        async def prepare(world):
            for service in world.services.values():
                service.alive = False

        self.assertEqual(self.confirm(prepare)[:2], (Outcome.NOT_RUN, 0))

    def test_timeout_is_unknown(self):
        # The service takes longer than the timeout: the call runs, but its response
        # is too late to be read.
        async def prepare(world):
            for service in world.services.values():
                service.script.seconds = 6.0

        self.assertEqual(self.confirm(prepare)[:2], (Outcome.UNKNOWN, 1))

    def test_one_replica_refuses_and_the_other_runs_it(self):
        async def prepare(world):
            world.services["booking-1"].script.refuse = True

        self.assertEqual(self.confirm(prepare)[:2], (Outcome.COMPLETE, 1))

    def test_table_that_becomes_stale_before_sending(self):
        # The row is committed, then the host finds that its table may be stale. It
        # must not route by it; the key can be used again.
        async def prepare(world):
            app = world.hosts["host-1"].app
            app.services._deps.sender.may_route = lambda: False

        outcome, ran, reason = self.confirm(prepare)
        self.assertEqual((outcome, ran), (Outcome.NOT_RUN, 0))
        self.assertIs(reason, Reason.STALE_TABLE)

    def test_shutdown_waits_for_a_confirmation_under_way(self):
        async def task(world):
            for service in world.services.values():
                service.script.seconds = 2.0
            host = world.hosts["host-1"]
            found = []

            async def ask():
                found.append(await call_service(host, plain_call("k")))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await trio.sleep(0.5)
                nursery.start_soon(host.stop)
            return found[0].ending.outcome, world.ran["k"]

        self.assertEqual(run_world(task), (Outcome.COMPLETE, 1))


class LookupOutcomeTest(unittest.TestCase):
    """Repeatable calls."""

    def test_lookup_is_retried_at_the_other_replica(self):
        async def task(world):
            world.services["booking-1"].alive = False
            found = [
                await call_service(world.hosts["host-1"], plain_call())
                for _ in range(6)
            ]
            return {item.ending.outcome for item in found}

        self.assertEqual(run_world(task), {Outcome.COMPLETE})

    def test_lookup_with_only_broken_responses_is_unknown(self):
        async def task(world):
            for service in world.services.values():
                service.script.lose_answers = 100
            found = await call_service(world.hosts["host-1"], plain_call())
            return found.ending.outcome

        self.assertIs(run_world(task), Outcome.UNKNOWN)


class WithdrawnTargetTest(unittest.TestCase):
    """Engines that are withdrawn or replaced while they run calls."""

    def test_response_in_progress_is_not_truncated(self):
        for state in ("withdrawn", "replaced"):
            with self.subTest(state=state):

                async def task(world, state=state):
                    call = model_call(1, output=300)
                    found = []

                    async def ask():
                        found.append(await complete(world.hosts["host-1"], call))

                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(ask)
                        await trio.sleep(1)
                        for name in ("engine-1", "engine-2"):
                            event = TraceEvent(
                                0, EventKind.EDIT, name, column="state", value=state
                            )
                            await VirtualFleet(world).apply_event(event)
                    ending, text = found[0]
                    return ending.outcome, text == expected_text(call)

                self.assertEqual(run_world(task), (Outcome.COMPLETE, True))
