"""Tests of confirmations: a call that is not repeatable runs at most once."""

import contextlib
import unittest

import msgspec
import trio

from berylshift.clock import ManualClock
from berylshift.ids import AttemptId
from berylshift.replay.virtual_fleet import HostDownError
from berylshift.request.confirmation import (
    PREFIX,
    RETRY_AFTER_SECONDS,
    Confirmation,
    ConfirmRow,
    Event,
    RowState,
    Step,
)
from berylshift.request.messages import Outcome, Reason
from berylshift.request.retry_policy import AttemptOutcome, AttemptRecord
from berylshift.targets import ServiceResponse
from berylshift.tests.test_confirmation_machine import ConfirmationMachine
from berylshift.tests.world import call_service, plain_call, run_world

ANSWER = ServiceResponse(200, {}, b"booked")


def other(state: RowState, digest="d", answer=None) -> ConfirmRow:
    """Return a row that another request wrote."""
    return ConfirmRow(AttemptId("other"), state, digest, 1e9, answer)


class StateMachineTest(unittest.TestCase):
    """The steps after each event."""

    def setUp(self):
        self.state = Confirmation(AttemptId("mine"), "d", deadline=10.0, expires=1e9)

    def test_call_is_sent_only_after_its_row_is_committed(self):
        self.assertIs(self.state.step, Step.INSERT)
        self.state.on_insert(Event.COMMITTED, 0.0)
        self.assertIs(self.state.step, Step.SEND)

    def test_lost_insert_is_read_back_and_recognized(self):
        # The insert took effect, but its response was lost. Inserting again would
        # conflict with the request's own row, and the call would never run.
        self.state.on_insert(Event.LOST, 0.0)
        self.assertIs(self.state.step, Step.READ)
        self.state.on_read(self.state.row(RowState.STARTED), 1, 0.1)
        self.assertIs(self.state.step, Step.SEND)

    def test_lost_insert_without_effect_is_retried(self):
        self.state.on_insert(Event.LOST, 0.0)
        self.state.on_read(None, 0, 0.1)
        self.assertIs(self.state.step, Step.INSERT)

    def test_second_request_with_the_key_is_not_sent(self):
        self.state.on_insert(Event.CONFLICT, 0.0)
        self.state.on_read(other(RowState.STARTED), 1, 0.1)
        self.assertIs(self.state.step, Step.WAIT)
        self.state.on_wait_over()
        self.state.on_read(other(RowState.STARTED), 1, 11.0)
        self.assertIs(self.state.outcome, Outcome.UNKNOWN)
        self.assertEqual(self.state.retry_after, RETRY_AFTER_SECONDS)

    def test_second_request_gets_the_first_ones_response(self):
        self.state.on_insert(Event.CONFLICT, 0.0)
        self.state.on_read(other(RowState.DONE, answer=ANSWER), 2, 0.1)
        self.assertIs(self.state.outcome, Outcome.COMPLETE)
        self.assertEqual(self.state.answer, ANSWER)

    def test_same_key_with_another_body_is_an_error(self):
        self.state.on_insert(Event.CONFLICT, 0.0)
        self.state.on_read(other(RowState.DONE, digest="else"), 2, 0.1)
        self.assertIs(self.state.reason, Reason.KEY_REUSED)
        self.assertIs(self.state.outcome, Outcome.NOT_RUN)

    def test_abandoned_key_is_taken_over_at_its_revision(self):
        self.state.on_insert(Event.CONFLICT, 0.0)
        self.state.on_read(other(RowState.ABANDONED), 3, 0.1)
        self.assertIs(self.state.step, Step.TAKE_OVER)
        self.state.on_insert(Event.COMMITTED, 0.2)
        self.assertEqual(self.state.revision, 4)

    def test_process_paused_past_the_deadline_does_not_send(self):
        # The process was paused between the commit and the send, past the deadline.
        # The caller is answered first; only then is the row set to abandoned.
        self.state.on_insert(Event.COMMITTED, 11.0)
        self.assertIs(self.state.step, Step.ANSWER)
        self.assertTrue(self.state.needs_abandon)
        self.assertIs(self.state.record.state, RowState.ABANDONED)
        self.assertIs(self.state.outcome, Outcome.NOT_RUN)

    def test_broken_response_is_unknown_and_not_retried(self):
        self.state.on_insert(Event.COMMITTED, 0.0)
        self.state.on_attempt(
            AttemptRecord("replica", AttemptOutcome.BROKEN), None, 0.1
        )
        self.assertIs(self.state.record.state, RowState.UNKNOWN)
        self.assertIs(self.state.outcome, Outcome.UNKNOWN)

    def test_call_is_retried_at_another_target_until_the_limit(self):
        self.state.on_insert(Event.COMMITTED, 0.0)
        self.state.on_attempt(
            AttemptRecord("replica", AttemptOutcome.NOT_REACHED), None, 0.1
        )
        self.assertIs(self.state.step, Step.SEND)
        self.state.on_attempt(
            AttemptRecord("replica", AttemptOutcome.NOT_RUN), None, 0.2
        )
        self.state.on_attempt(
            AttemptRecord("replica", AttemptOutcome.NOT_RUN), None, 0.3
        )
        self.assertIs(self.state.record.state, RowState.ABANDONED)

    def test_store_outage_until_the_deadline_is_not_reported_as_not_run(self):
        # This request sent nothing. But an earlier one with the key may have run at
        # another host, which only the row can tell.
        self.state.on_insert(Event.UNAVAILABLE, 1.0)
        self.assertIs(self.state.step, Step.INSERT)
        self.state.on_insert(Event.UNAVAILABLE, 11.0)
        self.assertIs(self.state.reason, Reason.STORE_DOWN)
        self.assertIs(self.state.outcome, Outcome.UNKNOWN)
        self.assertFalse(self.state.needs_abandon)

    def test_uncertain_insert_must_be_abandoned(self):
        self.state.on_insert(Event.LOST, 1.0)
        self.state.on_read_failed(11.0)
        self.assertIs(self.state.outcome, Outcome.UNKNOWN)
        self.assertTrue(self.state.needs_abandon)


class WholePathTest(unittest.TestCase):
    """Confirmations through whole hosts, checked against the service's run count."""

    def test_two_hosts_with_one_key_at_once_run_it_once(self):
        # A caller sends a request twice, and the balancer routes the two to different
        # hosts. Both get the same response, and the booking runs once.
        async def task(world):
            found = []

            async def ask(host):
                found.append(await call_service(world.hosts[host], plain_call("k")))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask, "host-1")
                nursery.start_soon(ask, "host-2")
            return found, world.ran["k"]

        found, ran = run_world(task)
        self.assertEqual(ran, 1)
        self.assertEqual({item.result.outcome for item in found}, {Outcome.COMPLETE})
        self.assertEqual(found[0].body, found[1].body)

    def test_lost_store_responses_still_run_the_call_once(self):
        async def task(world):
            world.platform.script.lose_answers = 2
            found = await call_service(world.hosts["host-1"], plain_call("k"))
            return found.result.outcome, world.ran["k"]

        self.assertEqual(run_world(task), (Outcome.COMPLETE, 1))

    def test_lost_service_response_stays_unknown(self):
        # The booking ran, but its response was lost. It must not be run again, nor be
        # reported as not run.
        async def task(world):
            for replica in world.services.values():
                replica.script.lose_answers = 1
            first = await call_service(world.hosts["host-1"], plain_call("k"))
            again = await call_service(world.hosts["host-2"], plain_call("k"))
            return first.result.outcome, again.result.outcome, world.ran["k"]

        found = run_world(task)
        self.assertEqual(found, (Outcome.UNKNOWN, Outcome.UNKNOWN, 1))

    def test_key_that_ran_elsewhere_is_not_reported_as_not_run(self):
        # The booking runs through host-1, which is killed before it responds. The
        # store goes down, and the caller retries at host-2, which can't read the row.
        # If it reported "not run", the caller would book a second time by other means.
        async def task(world):
            for replica in world.services.values():
                replica.script.seconds = 1.0

            async def ask():
                await call_service(world.hosts["host-1"], plain_call("k"))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(_ignore_host_down, ask)
                await trio.sleep(0.3)
                world.hosts["host-1"].kill()
            world.platform.script.down = True
            found = await call_service(world.hosts["host-2"], plain_call("k"))
            return found.result, world.ran["k"]

        ending, ran = run_world(task)
        self.assertEqual(ran, 1)
        self.assertIs(ending.outcome, Outcome.UNKNOWN, ending)
        self.assertGreater(ending.retry_after, 0)

    def test_refusal_at_admission_reads_the_key_first(self):
        # The customer's limit refuses the second request. Its booking ran with the
        # first one, so the refusal must not report "not run".
        async def task(world):
            first = await call_service(world.hosts["host-1"], plain_call("k"))
            app = world.hosts["host-2"].app
            app.limits.admit = lambda customer, now: 5.0
            same = await call_service(world.hosts["host-2"], plain_call("k"))
            other = await call_service(world.hosts["host-2"], plain_call("k2"))
            return first.result, same.result, other.result

        first, same, other = run_world(task)
        self.assertIs(first.outcome, Outcome.COMPLETE)
        self.assertIs(same.outcome, Outcome.COMPLETE)
        self.assertIs(other.outcome, Outcome.NOT_RUN)
        self.assertIs(other.reason, Reason.CUSTOMER_LIMIT)

    def test_store_outage_at_the_result_delays_only_the_record(self):
        # The outage starts while the service runs the call. The caller gets the
        # response; the result is written to the row when the store is back.
        async def task(world):
            for replica in world.services.values():
                replica.script.seconds = 1.0
            found = []

            async def ask():
                found.append(await call_service(world.hosts["host-1"], plain_call("k")))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await trio.sleep(0.5)
                world.platform.script.down = True
            await trio.sleep(3)
            world.platform.script.down = False
            await trio.sleep(8)
            again = await call_service(world.hosts["host-2"], plain_call("k"))
            return found[0].result.outcome, again.result.outcome, world.ran["k"]

        self.assertEqual(run_world(task), (Outcome.COMPLETE, Outcome.COMPLETE, 1))

    def test_call_of_a_killed_host_is_unknown_elsewhere(self):
        # The row's state is "started", and the host that wrote it is gone. Nobody can
        # tell whether the call ran, so it must not be run.
        async def task(world):
            for replica in world.services.values():
                replica.script.seconds = 1.0

            async def ask():
                with trio.move_on_after(0.5):
                    await call_service(world.hosts["host-1"], plain_call("k"))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(_ignore_host_down, ask)
                await trio.sleep(0.3)
                world.hosts["host-1"].kill()
            again = await call_service(
                world.hosts["host-2"], plain_call("k", seconds=2.0)
            )
            return again.result, world.ran["k"]

        ending, ran = run_world(task)
        self.assertIs(ending.outcome, Outcome.UNKNOWN, ending)
        self.assertLessEqual(ran, 1)

    def test_refused_call_can_be_retried_with_its_key(self):
        # Every replica refuses, so the call was not run. The same key must work once
        # they accept calls again.
        async def task(world):
            for replica in world.services.values():
                replica.script.refuse = True
            first = await call_service(world.hosts["host-1"], plain_call("k"))
            for replica in world.services.values():
                replica.script.refuse = False
            await trio.sleep(3)
            again = await call_service(world.hosts["host-2"], plain_call("k"))
            return first.result.outcome, again.result.outcome, world.ran["k"]

        found = run_world(task)
        self.assertEqual(found, (Outcome.NOT_RUN, Outcome.COMPLETE, 1))

    def test_same_key_with_another_body_is_refused(self):
        async def task(world):
            await call_service(world.hosts["host-1"], plain_call("k", b"one"))
            found = await call_service(world.hosts["host-2"], plain_call("k", b"two"))
            return found.result.reason, world.ran["k"]

        self.assertEqual(run_world(task), (Reason.KEY_REUSED, 1))

    def test_rows_are_removed_after_their_ttl(self):
        async def task(world):
            for number in range(7):
                await call_service(world.hosts["host-1"], plain_call(f"k{number}"))
            sweep = world.hosts["host-1"].app.sweep_loop
            kept = []
            for hours in (24.5, 25.5):
                sweep._clock = ManualClock(hours * 3600)
                await sweep.sweep_page()
                keys = [key for key in world.platform.rows if key.startswith(PREFIX)]
                kept.append(len(keys))
            return kept

        self.assertEqual(run_world(task), [7, 0])

    def test_result_is_recorded_after_the_caller_disconnects(self):
        async def task(world):
            with trio.move_on_after(0.015):
                await call_service(world.hosts["host-1"], plain_call("k"))
            await trio.sleep(1)
            row = world.platform.rows["confirm/hobart/k"]
            return msgspec.json.decode(row.value, type=ConfirmRow).state

        self.assertIs(run_world(task), RowState.DONE)


class KeyReleaseTest(unittest.TestCase):
    """A key that a call holds is released after its caller was told "not run"."""

    def test_key_taken_over_before_its_first_caller_is_answered(self):
        """Guards against "not run" for a key that another host has run meanwhile."""
        machine = ConfirmationMachine()
        machine.arrive(key="k1")
        machine.advance(seconds=6.0)
        machine.step(place=0, lose=False, down=False)
        machine.step(place=0, lose=False, down=False)
        machine.two_at_once(key="k1")
        machine.deliver(place=0, end="answered")
        machine.step(place=0, lose=False, down=False)
        machine.no_key_ran_twice()

    def test_second_host_waits_until_the_refusal_is_sent(self):
        """Guards against a key that is released while its refusal is being sent."""
        ran_before, outcome, ran = run_world(self.refused_then_retried(hold=1.0))
        self.assertEqual(ran_before, 0)
        self.assertEqual((outcome, ran), (Outcome.COMPLETE, 1))

    def test_key_is_released_though_its_caller_has_left(self):
        """Guards against a key that stays held when its caller disconnects."""
        _, outcome, ran = run_world(self.refused_then_retried(hold=30.0, leave=1.0))
        self.assertEqual((outcome, ran), (Outcome.COMPLETE, 1))

    def test_refusal_at_admission_holds_its_key(self):
        """Guards against a refusal as "not run" whose key another host then runs."""
        task = self.refused_then_retried(hold=1.0, at_admission=True)
        ran_before, outcome, ran = run_world(task)
        self.assertEqual(ran_before, 0)
        self.assertEqual((outcome, ran), (Outcome.COMPLETE, 1))

    def test_refusal_at_admission_leaves_no_row(self):
        """Guards against a row for each refused call, kept for a day."""

        async def task(world):
            app = world.hosts["host-1"].app
            app.limits.admit = lambda customer, now: 5.0
            found = await call_service(world.hosts["host-1"], plain_call("k"))
            await trio.sleep(1)
            return found.result.outcome, list(world.platform.scan(PREFIX, "", 9))

        self.assertEqual(run_world(task), (Outcome.NOT_RUN, []))

    def test_refusal_without_its_key_is_unknown(self):
        """Guards against "not run" where the store does not say who holds the key."""

        async def task(world):
            world.platform.script.delay = 1.0
            app = world.hosts["host-1"].app
            app.limits.admit = lambda customer, now: 5.0
            start = trio.current_time()
            found = await call_service(world.hosts["host-1"], plain_call("k"))
            seconds = trio.current_time() - start
            world.platform.script.delay = 0.0
            await trio.sleep(3)
            again = await call_service(world.hosts["host-2"], plain_call("k"))
            return found.result.outcome, seconds < 0.5, again.result.outcome

        self.assertEqual(run_world(task), (Outcome.UNKNOWN, True, Outcome.COMPLETE))

    def refused_then_retried(
        self, hold: float, leave: float = 60.0, at_admission: bool = False
    ):
        """Return a task in which all replicas refuse a call, then another host runs it.

        With ``at_admission``, the customer's limit refuses it instead. Sending the
        refusal takes ``hold`` s; its caller leaves after ``leave`` s. The task returns
        how often the key had run when the refusal was sent, the outcome at the other
        host and how often the key ran in the end.
        """

        async def task(world):
            ran_before = []

            async def respond(found):
                for replica in world.services.values():
                    replica.script.refuse = False
                await trio.sleep(hold)
                ran_before.append(world.ran["k"])

            async def ask():
                with trio.move_on_after(leave), world.hosts["host-1"].call() as app:
                    await app.handler.call_service(plain_call("k"), respond)

            if at_admission:
                app = world.hosts["host-1"].app
                app.limits.admit = lambda customer, now: 5.0
            for replica in world.services.values():
                replica.script.refuse = not at_admission
            async with trio.open_nursery() as nursery:
                nursery.start_soon(ask)
                await trio.sleep(0.5)
                again = await call_service(world.hosts["host-2"], plain_call("k"))
            return sum(ran_before), again.result.outcome, world.ran["k"]

        return task


async def _ignore_host_down(task) -> None:
    with contextlib.suppress(HostDownError):
        await task()
