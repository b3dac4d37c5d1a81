"""Calls to plain services: retried lookups, and confirmations that run at most once."""

import logging
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec
import trio

from berylshift.clock import Clock
from berylshift.ids import AttemptId, TargetName
from berylshift.process.limits.retry_budget import RetryBudget
from berylshift.process.records.pending_records import PendingRecords
from berylshift.process.shutdown import Shutdown
from berylshift.request import confirmation
from berylshift.request.confirmation import Confirmation, Step
from berylshift.request.crash_watch import CrashWatch
from berylshift.request.key_row import KeyRow, KeyRowDependencies
from berylshift.request.messages import (
    NativeResult,
    Outcome,
    PlainCall,
    Reason,
    ServiceCallResult,
)
from berylshift.request.retry_policy import AttemptRecord
from berylshift.request.retryable_call import RetryableCall
from berylshift.request.service_sender import ServiceSender
from berylshift.store.batch import TableGate

logger = logging.getLogger(__name__)

Respond = Callable[[ServiceCallResult], Awaitable[None]]
KEY_TTL_SECONDS = 24 * 3600.0
# How long a refusal may wait until this host holds its key.
KEY_CLAIM_TIMEOUT_SECONDS = 0.25
# Retry-After of a confirmation that a draining host does not start.
DRAINING_RETRY_SECONDS = 1.0


@dataclass
class ServiceDependencies:
    """Dependencies of service calls.

    ``last_sends`` bounds when confirmations may still be sent before a shutdown, and
    ``last_responses`` when their responses must have arrived.
    """

    clock: Clock
    sender: ServiceSender
    retry_budget: RetryBudget
    gate: TableGate
    pending: PendingRecords
    rng: random.Random
    shutdown: Shutdown
    last_sends: Shutdown
    last_responses: Shutdown


class ServiceCalls:
    """Runs calls to plain services."""

    def __init__(self, deps: ServiceDependencies):
        """Start without confirmations under way."""
        self._deps = deps
        self._nursery: trio.Nursery | None = None
        self.open_confirmations = 0

    async def serve(self) -> None:
        """Run the confirmations' background tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await trio.sleep_forever()

    async def run(self, call: PlainCall, respond: Respond) -> ServiceCallResult:
        """Run a call, pass its result to ``respond`` and return the result.

        A key that this call holds is released only once ``respond`` has ended.
        """
        if call.idempotent:
            found = await self._run_lookup(call)
            await respond(found)
            return found
        return await self._answer_by_key(call, None, respond)

    async def refuse(
        self, call: PlainCall, refusal: NativeResult, respond: Respond
    ) -> ServiceCallResult:
        """Refuse a call that is not admitted, and return what ``respond`` was passed.

        An earlier request with the key, at another host, may have run, and a
        simultaneous one may still: "not run" is reported only while this host holds
        the key.
        """
        if call.idempotent:
            found = ServiceCallResult(refusal)
            await respond(found)
            return found
        return await self._answer_by_key(call, refusal, respond)

    async def _answer_by_key(
        self, call: PlainCall, refusal: NativeResult | None, respond: Respond
    ) -> ServiceCallResult:
        answered = trio.Event()
        try:
            found = await self._confirm_in_background(call, refusal, answered)
            await respond(found)
            return found
        finally:
            answered.set()

    async def _run_lookup(self, call: PlainCall) -> ServiceCallResult:
        lookup = RetryableCall(self._deps.sender, call, self._deps.retry_budget)
        scope = trio.CancelScope()
        with scope, self._deps.shutdown.bounding(scope):
            return await lookup.run()
        return lookup.shutdown_result()

    async def _confirm_in_background(
        self, call: PlainCall, refusal: NativeResult | None, answered: trio.Event
    ) -> ServiceCallResult:
        """Run the confirmation in a task that is not cancelled with the request.

        Otherwise a caller that disconnects would leave its key's row without a result,
        and the key's outcome would stay unknown for ever.
        """
        done = trio.Event()
        found: list[ServiceCallResult] = []

        def publish(result: ServiceCallResult) -> None:
            found.append(result)
            done.set()

        async def run_confirmation() -> None:
            self.open_confirmations += 1
            try:
                await self._confirm(call, refusal, publish, answered)
            except Exception:
                # An error must not stop the process and all other requests.
                logger.exception("confirmation failed")
                publish(
                    ServiceCallResult(
                        NativeResult(Outcome.UNKNOWN, Reason.FATE_UNKNOWN)
                    )
                )
            finally:
                self.open_confirmations -= 1

        self._nursery.start_soon(run_confirmation)
        await done.wait()
        return found[0]

    # Confirmations

    async def _confirm(
        self,
        call: PlainCall,
        refusal: NativeResult | None,
        publish: Callable[[ServiceCallResult], None],
        answered: trio.Event,
    ) -> None:
        """Run or refuse a confirmation, ``publish`` how, and release a key it holds."""
        deps = self._deps
        watch = deps.sender.crash_watches.for_service_call(call)
        refusal = refusal or self._refusal(watch)
        state = self._new_state(call, refusal)
        bounds = deps.last_sends if refusal is None else deps.shutdown
        key = confirmation.row_key(call.caller.customer, call.key)
        store = KeyRowDependencies(deps.clock, deps.gate, deps.pending)
        row = KeyRow(store, state, key, bounds)
        with bounds.bounding(state):
            if refusal is None:
                result = await self._run_to_result(state, row, call, watch)
            else:
                result = await self._claim_to_refuse(state, row, refusal)
        publish(result)
        if state.needs_abandon:
            await answered.wait()
            await row.release()

    def _refusal(self, watch: CrashWatch) -> NativeResult | None:
        """Return why a call may not be sent, if that is known beforehand."""
        if self._deps.last_sends.seconds_left <= 0:
            # The process would stop before the call has finished.
            return NativeResult(
                Outcome.NOT_RUN, Reason.DRAINING, "", DRAINING_RETRY_SECONDS
            )
        return self._deps.sender.quarantine_refusal(watch)

    async def _run_to_result(
        self, state: Confirmation, row: KeyRow, call: PlainCall, watch: CrashWatch
    ) -> ServiceCallResult:
        tried: set[TargetName] = set()
        while state.step is not Step.ANSWER:
            if state.step is Step.SEND:
                await self._send_once(state, call, tried, watch)
            else:
                await row.run_step()
        return _confirmed(state)

    async def _claim_to_refuse(
        self, state: Confirmation, row: KeyRow, refusal: NativeResult
    ) -> ServiceCallResult:
        """Return ``refusal`` once this host holds the key, or what the row tells."""
        while state.step not in (Step.ANSWER, Step.WAIT):
            await row.run_step()
        if state.step is Step.WAIT or state.reason is Reason.STORE_DOWN:
            unknown = msgspec.structs.replace(refusal, outcome=Outcome.UNKNOWN)
            return ServiceCallResult(unknown)
        if state.needs_abandon:
            return ServiceCallResult(refusal)
        return _confirmed(state)

    def _new_state(self, call: PlainCall, refusal: NativeResult | None) -> Confirmation:
        deps = self._deps
        digest = confirmation.body_digest(call.method, call.path, call.body)
        expires = deps.clock.now().timestamp() + KEY_TTL_SECONDS
        attempt = AttemptId(f"{call.request}.{deps.rng.getrandbits(48):012x}")
        state = Confirmation(attempt, digest, call.deadline, expires)
        if refusal is not None:
            state.refusal = refusal.reason
            state.deadline = deps.clock.monotonic() + KEY_CLAIM_TIMEOUT_SECONDS
        return state

    async def _send_once(
        self,
        state: Confirmation,
        call: PlainCall,
        tried: set[TargetName],
        watch: CrashWatch,
    ) -> None:
        sender = self._deps.sender
        plan = sender.place(call, frozenset(tried))
        if isinstance(plan, NativeResult):
            state.on_no_target(plan.reason)
            return
        tried.add(plan.target.name)
        limit = sender.response_limit(call)
        with self._deps.last_responses.bounding(limit):
            found = await sender.send(plan, call, state.attempt, limit)
        await sender.report(plan, found.outcome, watch)
        sent = AttemptRecord(plan.target.name, found.outcome)
        state.on_attempt(sent, found.answer, self._deps.clock.monotonic())


def _confirmed(state: Confirmation) -> ServiceCallResult:
    result = NativeResult(state.outcome, state.reason, "", state.retry_after)
    if state.answer is None or state.outcome is not Outcome.COMPLETE:
        return ServiceCallResult(result)
    answer = state.answer
    return ServiceCallResult(result, answer.status, answer.headers, answer.body)
