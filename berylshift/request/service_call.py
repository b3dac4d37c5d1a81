"""Calls to plain services: lookups with retries, confirmations at most once."""

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import trio
from returns.result import Failure, Success

from berylshift.clock import Clock
from berylshift.ids import AttemptId, TargetName
from berylshift.process.limits.retry_budget import RetryBudget
from berylshift.process.limits.store_budget import Priority
from berylshift.process.records.pending_records import PendingRecords
from berylshift.request import confirmation
from berylshift.request.attempts import AttemptLog, Fault
from berylshift.request.choice import Knowledge, Plan, ReplicaChooser, WorkItem
from berylshift.request.confirmation import Confirmation, ConfirmRow, Event, Step
from berylshift.request.decisions import DecisionLog
from berylshift.request.messages import (
    Ending,
    Outcome,
    PlainCall,
    PlainEnding,
    Reason,
)
from berylshift.store.batch import TableGate
from berylshift.store.interfaces import (
    ABSENT,
    AnswerLostError,
    Condition,
    PlatformError,
    Write,
    as_raw,
)
from berylshift.targets import (
    ServiceAnswer,
    ServiceCall,
    ServiceClient,
    TargetBrokenError,
    TargetNotReachedError,
    TargetRefusedError,
)
from berylshift.version.table import Table

logger = logging.getLogger(__name__)

KEY_LIFE_SECONDS = 24 * 3600.0
RECORD_SECONDS = 2.0
STORE_PAUSE = 0.05
REFUSE_SECONDS = 0.25


@dataclass
class ServiceParts:
    """What service calls work with."""

    clock: Clock
    client: ServiceClient
    know: Knowledge
    chooser: ReplicaChooser
    retries: RetryBudget
    gate: TableGate
    pending: PendingRecords
    decisions: DecisionLog
    table: Callable[[], Table]
    may_route: Callable[[], bool]
    rng: random.Random
    timeout: float


class ServiceCalls:
    """Carries plain calls out."""

    def __init__(self, parts: ServiceParts):
        """Work with ``parts``."""
        self._parts = parts
        self._nursery: trio.Nursery | None = None
        self.open_confirmations = 0

    async def serve(self) -> None:
        """Hold the confirmations' tasks until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await trio.sleep_forever()

    async def run(self, call: PlainCall) -> PlainEnding:
        """Return how the call ended."""
        if call.idempotent:
            return await self._lookup(call)
        return await self._confirm_apart(call)

    async def _confirm_apart(self, call: PlainCall) -> PlainEnding:
        """Confirm in a task that lives for the process, not for the request.

        A caller that leaves would otherwise leave its key's row without a result,
        and the key's fate would be unknown for ever.
        """
        done = trio.Event()
        found: list[PlainEnding] = []

        async def work() -> None:
            self.open_confirmations += 1
            try:
                found.append(await self._confirm(call))
            except Exception:
                # It must not end the process, with all other requests in it.
                logger.exception("confirmation failed")
                found.append(PlainEnding(Ending(Outcome.UNKNOWN, Reason.FATE_UNKNOWN)))
            finally:
                self.open_confirmations -= 1
            done.set()

        self._nursery.start_soon(work)
        await done.wait()
        return found[0]

    async def refuse(self, call: PlainCall, ending: Ending) -> PlainEnding:
        """Return the refusal of a call that is turned away at the door.

        "Not run" may be said of a key only when its row can be read: an earlier
        arrival with it, at another host, may have run.
        """
        if call.idempotent:
            return PlainEnding(ending)
        state = self._new_state(call)
        with trio.move_on_after(REFUSE_SECONDS):
            await self._read(
                state, confirmation.row_key(call.caller.customer, call.key)
            )
            if state.step is Step.ANSWER:
                return _confirmed(state)
            if state.step in (Step.INSERT, Step.TAKE):
                return PlainEnding(ending)
        unknown = msgspec.structs.replace(ending, outcome=Outcome.UNKNOWN)
        return PlainEnding(unknown)

    # Lookups

    async def _lookup(self, call: PlainCall) -> PlainEnding:
        parts = self._parts
        log = AttemptLog()
        parts.retries.first_attempt(parts.clock.monotonic())
        while True:
            placed = self._place(call, log.exclude)
            if isinstance(placed, Ending):
                return _failed(placed, log)
            try:
                answer = await self._send(placed, call, _attempt(call, log))
                return PlainEnding(
                    Ending(Outcome.COMPLETE), answer.status, answer.headers, answer.body
                )
            except TargetNotReachedError:
                log.failed(placed.target.name, Fault.NOT_REACHED)
            except TargetRefusedError:
                log.failed(placed.target.name, Fault.REFUSED)
            except TargetBrokenError:
                log.failed(placed.target.name, Fault.NONSENSE)
            now = parts.clock.monotonic()
            if log.spent or now >= call.deadline:
                ending = Ending(Outcome.NOT_RUN, Reason.TARGET_FAILED, "", 1.0)
                return _failed(ending, log)
            if not parts.retries.take(now):
                ending = Ending(Outcome.NOT_RUN, Reason.RETRIES_SPENT, "", 1.0)
                return _failed(ending, log)

    def _place(self, call: PlainCall, exclude: frozenset[TargetName]) -> Plan | Ending:
        parts = self._parts
        if not parts.may_route():
            return Ending(Outcome.NOT_RUN, Reason.STALE_VIEW, "", 1.0)
        now = parts.clock.monotonic()
        item = WorkItem(
            request=call.request,
            customer=call.caller.customer,
            fleet=call.caller.fleet,
            work=call.service,
            prompt_tokens=0,
            output_tokens=0,
            prefixes=(),
            remaining=call.deadline - now,
            exclude=exclude,
        )
        match parts.chooser.choose(item, parts.table(), now):
            case Success(plan):
                parts.decisions.placed(call.request, "replica", plan)
                return plan
            case Failure(refusal):
                parts.decisions.refused(call.request, "replica", refusal)
                return Ending(Outcome.NOT_RUN, refusal.reason, "", refusal.retry_after)

    async def _send(
        self, plan: Plan, call: PlainCall, attempt: AttemptId
    ) -> ServiceAnswer:
        """Send one attempt; raise ``TargetError``."""
        parts = self._parts
        name = plan.target.name
        out = ServiceCall(
            attempt=attempt,
            service=call.service,
            method=call.method,
            path=call.path,
            headers=call.headers,
            body=call.body,
            idempotent=call.idempotent,
            key=call.key,
        )
        now = parts.clock.monotonic()
        parts.know.load.sent(name, attempt, call.caller.fleet, 0, now)
        parts.know.health.started(name)
        try:
            answer = await self._bounded(plan.target.address, out)
            parts.know.health.succeeded(name)
            return answer
        except (TargetNotReachedError, TargetRefusedError, TargetBrokenError):
            parts.know.health.failed(name, parts.clock.monotonic())
            raise
        except trio.Cancelled:
            parts.know.health.cancelled(name)
            raise
        finally:
            parts.know.load.ended(name, attempt, parts.clock.monotonic())

    async def _bounded(self, address: str, out: ServiceCall) -> ServiceAnswer:
        with trio.move_on_after(self._parts.timeout):
            return await self._parts.client.call(address, out)
        raise TargetBrokenError("no answer in time")

    # Confirmations

    async def _confirm(self, call: PlainCall) -> PlainEnding:
        state = self._new_state(call)
        key = confirmation.row_key(call.caller.customer, call.key)
        tried: set[TargetName] = set()
        while state.step is not Step.ANSWER:
            await self._carry_out(state, call, key, tried)
        if state.leaves_row:
            row = state.row(confirmation.RowState.ABANDONED)
            self._parts.pending.add(key, row)
        return _confirmed(state)

    def _new_state(self, call: PlainCall) -> Confirmation:
        parts = self._parts
        digest = confirmation.body_digest(call.method, call.path, call.body)
        expires = parts.clock.now().timestamp() + KEY_LIFE_SECONDS
        attempt = AttemptId(f"{call.request}.{parts.rng.getrandbits(48):012x}")
        return Confirmation(attempt, digest, call.deadline, expires)

    async def _carry_out(
        self, state: Confirmation, call: PlainCall, key: str, tried: set[TargetName]
    ) -> None:
        clock = self._parts.clock
        match state.step:
            case Step.INSERT | Step.TAKE:
                row = state.row(confirmation.RowState.STARTED)
                event = await self._put(key, state.revision, row, call.deadline)
                state.inserted(event, clock.monotonic())
            case Step.READ:
                await self._read(state, key)
            case Step.WAIT:
                await trio.sleep(confirmation.POLL_SECONDS)
                state.waited()
            case Step.SEND:
                await self._send_once(state, call, tried)
            case Step.RECORD:
                await self._record(state, key)

    async def _put(
        self, key: str, revision: int, row: ConfirmRow, until: float
    ) -> Event:
        """Write the row; wait for the store no longer than the deadline."""
        write = Write(key, as_raw(row))
        with trio.move_on_at(until):
            try:
                answer = await self._parts.gate.put_row(Condition(key, revision), write)
                return Event.COMMITTED if answer.committed else Event.CONFLICT
            except AnswerLostError:
                return Event.LOST
            except PlatformError:
                await trio.sleep(STORE_PAUSE)
                return Event.UNAVAILABLE
        return Event.LOST

    async def _read(self, state: Confirmation, key: str) -> None:
        clock = self._parts.clock
        with trio.move_on_at(state.deadline):
            try:
                found = await self._parts.gate.read([key], Priority.CONFIRMATION)
                stored = found[0]
                row = None
                if stored is not None:
                    row = msgspec.json.decode(stored.value, type=ConfirmRow)
                revision = stored.revision if stored else ABSENT
                state.read(row, revision, clock.monotonic())
                return
            except PlatformError:
                await trio.sleep(STORE_PAUSE)
        state.read_failed(clock.monotonic())

    async def _send_once(
        self, state: Confirmation, call: PlainCall, tried: set[TargetName]
    ) -> None:
        placed = self._place(call, frozenset(tried))
        if isinstance(placed, Ending):
            state.no_target(placed.reason)
            return
        tried.add(placed.target.name)
        answer = None
        try:
            answer = await self._send(placed, call, state.attempt)
            event = Event.ANSWERED
        except TargetNotReachedError:
            event = Event.NOT_REACHED
        except TargetRefusedError:
            event = Event.REFUSED
        except TargetBrokenError:
            event = Event.BROKEN
        state.sent(event, answer, self._parts.clock.monotonic())

    async def _record(self, state: Confirmation, key: str) -> None:
        """Write the result; where that fails, leave it to the upkeep."""
        written = False
        with trio.move_on_after(RECORD_SECONDS):
            condition = Condition(key, state.revision)
            write = Write(key, as_raw(state.record))
            try:
                answer = await self._parts.gate.put_row(condition, write)
                written = answer.committed
            except PlatformError:
                logger.warning("result of a confirmation not written yet")
        if written:
            state.owned = state.unsure = False
        else:
            self._parts.pending.add(key, state.record)
        state.recorded()


def _attempt(call: PlainCall, log: AttemptLog) -> AttemptId:
    return AttemptId(f"{call.request}.{len(log.failures) + 1}")


def _failed(ending: Ending, log: AttemptLog) -> PlainEnding:
    if log.may_have_run:
        ending = msgspec.structs.replace(ending, outcome=Outcome.UNKNOWN)
    return PlainEnding(ending)


def _confirmed(state: Confirmation) -> PlainEnding:
    ending = Ending(state.outcome, state.reason, "", state.retry_after)
    if state.answer is None or state.outcome is not Outcome.COMPLETE:
        return PlainEnding(ending)
    answer = state.answer
    return PlainEnding(ending, answer.status, answer.headers, answer.body)
