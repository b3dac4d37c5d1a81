"""Calls to plain services: lookups with retries, confirmations at most once."""

import logging
import random
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
from berylshift.request.lookup import Lookup
from berylshift.request.messages import (
    Ending,
    Outcome,
    PlainCall,
    PlainEnding,
    Reason,
)
from berylshift.request.retry_policy import Sent
from berylshift.request.service_sender import PlainSend
from berylshift.store.batch import TableGate
from berylshift.store.interfaces import (
    ABSENT,
    AnswerLostError,
    Condition,
    PlatformError,
    Write,
    as_raw,
)

logger = logging.getLogger(__name__)

KEY_LIFE_SECONDS = 24 * 3600.0
RECORD_SECONDS = 2.0
STORE_PAUSE = 0.05
REFUSE_SECONDS = 0.25
# When a caller whose confirmation a leaving host does not begin may come back.
LEAVING_SECONDS = 1.0


@dataclass
class ServiceParts:
    """What service calls work with; ``last_sends``: when the last confirmation goes."""

    clock: Clock
    sender: PlainSend
    retries: RetryBudget
    gate: TableGate
    pending: PendingRecords
    rng: random.Random
    shutdown: Shutdown
    last_sends: Shutdown


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
            return await self._look_up(call)
        return await self._confirm_apart(call)

    async def _look_up(self, call: PlainCall) -> PlainEnding:
        lookup = Lookup(self._parts.sender, call, self._parts.retries)
        scope = trio.CancelScope()
        with scope, self._parts.shutdown.bounding(scope):
            return await lookup.run()
        return lookup.given_up()

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

    # Confirmations

    async def _confirm(self, call: PlainCall) -> PlainEnding:
        state = self._new_state(call)
        key = confirmation.row_key(call.caller.customer, call.key)
        tried: set[TargetName] = set()
        watch = self._parts.sender.watching.of_plain(call)
        held = self._parts.sender.held_back(watch)
        if held is not None:
            return await self.refuse(call, held)
        with self._parts.last_sends.bounding(state):
            if self._parts.clock.monotonic() >= state.deadline:
                # The process would end before it has seen the call end.
                leaving = Ending(Outcome.NOT_RUN, Reason.DRAINING, "", LEAVING_SECONDS)
                return await self.refuse(call, leaving)
            while state.step is not Step.ANSWER:
                await self._carry_out(state, call, key, tried, watch)
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
        self,
        state: Confirmation,
        call: PlainCall,
        key: str,
        tried: set[TargetName],
        watch: CrashWatch,
    ) -> None:
        clock = self._parts.clock
        match state.step:
            case Step.INSERT | Step.TAKE:
                row = state.row(confirmation.RowState.STARTED)
                event = await self._put(key, state.revision, row, state.deadline)
                state.inserted(event, clock.monotonic())
            case Step.READ:
                scope = trio.CancelScope()
                with scope, self._parts.last_sends.bounding(scope):
                    await self._read(state, key)
            case Step.WAIT:
                await trio.sleep(confirmation.POLL_SECONDS)
                state.waited()
            case Step.SEND:
                await self._send_once(state, call, tried, watch)
            case Step.RECORD:
                await self._record(state, key)

    async def _put(
        self, key: str, revision: int, row: ConfirmRow, until: float
    ) -> Event:
        """Write the row; wait for the store no longer than the deadline."""
        write = Write(key, as_raw(row))
        scope = trio.CancelScope(deadline=until)
        with scope, self._parts.last_sends.bounding(scope):
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
        self,
        state: Confirmation,
        call: PlainCall,
        tried: set[TargetName],
        watch: CrashWatch,
    ) -> None:
        sender = self._parts.sender
        placed = sender.place(call, frozenset(tried))
        if isinstance(placed, Ending):
            state.no_target(placed.reason)
            return
        tried.add(placed.target.name)
        found = await sender.run(placed, call, state.attempt, watch)
        sent = Sent(placed.target.name, found.end)
        state.sent(sent, found.answer, self._parts.clock.monotonic())

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


def _confirmed(state: Confirmation) -> PlainEnding:
    ending = Ending(state.outcome, state.reason, "", state.retry_after)
    if state.answer is None or state.outcome is not Outcome.COMPLETE:
        return PlainEnding(ending)
    answer = state.answer
    return PlainEnding(ending, answer.status, answer.headers, answer.body)
