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
from berylshift.process.limits.store_budget import Priority
from berylshift.process.records.pending_records import PendingRecords
from berylshift.process.shutdown import Shutdown
from berylshift.request import confirmation
from berylshift.request.confirmation import Confirmation, ConfirmRow, Event, Step
from berylshift.request.crash_watch import CrashWatch
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
from berylshift.store.interfaces import (
    ABSENT,
    Condition,
    PlatformError,
    ResponseLostError,
    Write,
    as_raw,
)

logger = logging.getLogger(__name__)

Respond = Callable[[ServiceCallResult], Awaitable[None]]
KEY_TTL_SECONDS = 24 * 3600.0
RECORD_TIMEOUT_SECONDS = 2.0
STORE_RETRY_SECONDS = 0.05
KEY_LOOKUP_TIMEOUT_SECONDS = 0.25
# Retry-After of a confirmation that a draining host does not start.
DRAINING_RETRY_SECONDS = 1.0


@dataclass
class ServiceDependencies:
    """Dependencies of service calls.

    ``last_sends`` bounds when confirmations may still be sent before a shutdown.
    """

    clock: Clock
    sender: ServiceSender
    retry_budget: RetryBudget
    gate: TableGate
    pending: PendingRecords
    rng: random.Random
    shutdown: Shutdown
    last_sends: Shutdown


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
        answered = trio.Event()
        try:
            found = await self._confirm_in_background(call, answered)
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
        self, call: PlainCall, answered: trio.Event
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
                await self._confirm(call, publish, answered)
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

    async def refuse(self, call: PlainCall, result: NativeResult) -> ServiceCallResult:
        """Return the refusal of a call that is not admitted.

        "Not run" may be reported for a key only if its row can be read: an earlier
        request with the key, at another host, may have run.
        """
        if call.idempotent:
            return ServiceCallResult(result)
        state = self._new_state(call)
        with trio.move_on_after(KEY_LOOKUP_TIMEOUT_SECONDS):
            await self._read(
                state, confirmation.row_key(call.caller.customer, call.key)
            )
            if state.step is Step.ANSWER:
                return _confirmed(state)
            if state.step in (Step.INSERT, Step.TAKE_OVER):
                return ServiceCallResult(result)
        unknown = msgspec.structs.replace(result, outcome=Outcome.UNKNOWN)
        return ServiceCallResult(unknown)

    # Confirmations

    async def _confirm(
        self,
        call: PlainCall,
        publish: Callable[[ServiceCallResult], None],
        answered: trio.Event,
    ) -> None:
        """Run a confirmation, ``publish`` its result, and release a key it holds."""
        state = self._new_state(call)
        key = confirmation.row_key(call.caller.customer, call.key)
        publish(await self._run_to_result(state, call, key))
        if state.needs_abandon:
            await answered.wait()
            state.record = state.row(confirmation.RowState.ABANDONED)
            await self._abandon(state, key)

    async def _run_to_result(
        self, state: Confirmation, call: PlainCall, key: str
    ) -> ServiceCallResult:
        tried: set[TargetName] = set()
        watch = self._deps.sender.crash_watches.for_service_call(call)
        refusal = self._deps.sender.quarantine_refusal(watch)
        if refusal is not None:
            return await self.refuse(call, refusal)
        with self._deps.last_sends.bounding(state):
            if self._deps.clock.monotonic() >= state.deadline:
                # The process would stop before the call has finished.
                draining = NativeResult(
                    Outcome.NOT_RUN, Reason.DRAINING, "", DRAINING_RETRY_SECONDS
                )
                return await self.refuse(call, draining)
            while state.step is not Step.ANSWER:
                await self._run_step(state, call, key, tried, watch)
        return _confirmed(state)

    async def _abandon(self, state: Confirmation, key: str) -> None:
        if state.owns_row:
            await self._record(state, key)
        else:
            # A lost insert may still take effect; the upkeep loop reads the row first.
            self._deps.pending.add(key, state.record)

    def _new_state(self, call: PlainCall) -> Confirmation:
        deps = self._deps
        digest = confirmation.body_digest(call.method, call.path, call.body)
        expires = deps.clock.now().timestamp() + KEY_TTL_SECONDS
        attempt = AttemptId(f"{call.request}.{deps.rng.getrandbits(48):012x}")
        return Confirmation(attempt, digest, call.deadline, expires)

    async def _run_step(
        self,
        state: Confirmation,
        call: PlainCall,
        key: str,
        tried: set[TargetName],
        watch: CrashWatch,
    ) -> None:
        clock = self._deps.clock
        match state.step:
            case Step.INSERT | Step.TAKE_OVER:
                row = state.row(confirmation.RowState.STARTED)
                event = await self._put(key, state.revision, row, state.deadline)
                state.on_insert(event, clock.monotonic())
            case Step.READ:
                scope = trio.CancelScope()
                with scope, self._deps.last_sends.bounding(scope):
                    await self._read(state, key)
            case Step.WAIT:
                await trio.sleep(confirmation.POLL_SECONDS)
                state.on_wait_over()
            case Step.SEND:
                await self._send_once(state, call, tried, watch)
            case Step.RECORD:
                await self._record(state, key)

    async def _put(
        self, key: str, revision: int, row: ConfirmRow, until: float
    ) -> Event:
        """Write the row, waiting for the store until the deadline at most."""
        write = Write(key, as_raw(row))
        scope = trio.CancelScope(deadline=until)
        with scope, self._deps.last_sends.bounding(scope):
            try:
                answer = await self._deps.gate.put_row(Condition(key, revision), write)
                return Event.COMMITTED if answer.committed else Event.CONFLICT
            except ResponseLostError:
                return Event.LOST
            except PlatformError:
                await trio.sleep(STORE_RETRY_SECONDS)
                return Event.UNAVAILABLE
        return Event.LOST

    async def _read(self, state: Confirmation, key: str) -> None:
        clock = self._deps.clock
        with trio.move_on_at(state.deadline):
            try:
                found = await self._deps.gate.read([key], Priority.CONFIRMATION)
                stored = found[0]
                row = None
                if stored is not None:
                    row = msgspec.json.decode(stored.value, type=ConfirmRow)
                revision = stored.revision if stored else ABSENT
                state.on_read(row, revision, clock.monotonic())
                return
            except PlatformError:
                await trio.sleep(STORE_RETRY_SECONDS)
        state.on_read_failed(clock.monotonic())

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
        found = await sender.run(plan, call, state.attempt, watch)
        sent = AttemptRecord(plan.target.name, found.outcome)
        state.on_attempt(sent, found.answer, self._deps.clock.monotonic())

    async def _record(self, state: Confirmation, key: str) -> None:
        """Write the result; if that fails, queue it for the upkeep loop."""
        written = False
        with trio.move_on_after(RECORD_TIMEOUT_SECONDS):
            condition = Condition(key, state.revision)
            write = Write(key, as_raw(state.record))
            try:
                answer = await self._deps.gate.put_row(condition, write)
                written = answer.committed
            except PlatformError:
                logger.warning("confirmation result not written; queued for retry")
        if written:
            state.owns_row = state.is_insert_uncertain = False
        else:
            self._deps.pending.add(key, state.record)
        state.on_recorded()


def _confirmed(state: Confirmation) -> ServiceCallResult:
    result = NativeResult(state.outcome, state.reason, "", state.retry_after)
    if state.answer is None or state.outcome is not Outcome.COMPLETE:
        return ServiceCallResult(result)
    answer = state.answer
    return ServiceCallResult(result, answer.status, answer.headers, answer.body)
