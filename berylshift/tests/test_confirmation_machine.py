"""Model-based test of confirmations: races, lost responses, outages, late calls."""

import random

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from berylshift.clock import ManualClock
from berylshift.ids import AttemptId
from berylshift.process.records.pending_records import PendingRecords
from berylshift.request.confirmation import (
    Confirmation,
    ConfirmRow,
    Event,
    RowState,
    Step,
)
from berylshift.request.messages import Outcome
from berylshift.request.retry_policy import AttemptOutcome, AttemptRecord
from berylshift.stand_ins.fake_platform import FakePlatform
from berylshift.stand_ins.fake_service import FakeService
from berylshift.store.interfaces import (
    ABSENT,
    Condition,
    ResponseLostError,
    StoreUnavailableError,
    Transaction,
    Write,
    as_raw,
)
from berylshift.targets import ServiceCall, ServiceResponse
from berylshift.tests.support import EXPLORE

KEYS = ("k1", "k2")
DEADLINE = 5.0
MACHINE = settings(EXPLORE, max_examples=200, stateful_step_count=60)


class Arrival:
    """One request with a key, at some host."""

    def __init__(self, number: int, key: str, now: float):
        self.key = key
        self.state = Confirmation(
            AttemptId(f"a{number}"), "d", now + DEADLINE, expires=1e9
        )
        self.sending = False
        self.ended = False


class ConfirmationMachine(RuleBasedStateMachine):
    """Hosts, a store and a service, whose run count decides what is true."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock()
        self.platform = FakePlatform(self.clock)
        self.service = FakeService("booking-1")
        self.arrivals: list[Arrival] = []
        self.wire: list[Arrival] = []
        self.pending = PendingRecords()
        self.count = 0
        self.rng = random.Random(1)

    @rule(key=st.sampled_from(KEYS))
    def arrive(self, key):
        self.count += 1
        self.arrivals.append(Arrival(self.count, key, self.clock.monotonic()))

    @rule(key=st.sampled_from(KEYS))
    def two_at_once(self, key):
        """Let two hosts receive the same key at once and proceed towards sending."""
        self.arrive(key)
        self.arrive(key)
        for _ in range(4):
            for arrival in self.arrivals[-2:]:
                if not arrival.ended and not arrival.sending:
                    self._run_step(arrival)

    @rule(place=st.integers(0, 4), lose=st.booleans(), down=st.booleans())
    def step(self, place, lose, down):
        """Perform the next step of one request."""
        open_arrivals = [a for a in self.arrivals if not a.ended and not a.sending]
        if not open_arrivals:
            return
        self.platform.script.lose_answers = 1 if lose else 0
        self.platform.script.down = down and not lose
        self._run_step(open_arrivals[place % len(open_arrivals)])
        self.platform.script.lose_answers = 0
        self.platform.script.down = False

    @rule(place=st.integers(0, 4))
    def run_to_the_send(self, place):
        for _ in range(4):
            self.step(place, False, False)

    @rule(
        place=st.integers(0, 4),
        end=st.sampled_from(["answered", "broken", "refused", "not reached", "late"]),
    )
    def deliver(self, place, end):
        """Deliver a call to the service; ``late``: it runs after the host's timeout."""
        if not self.wire:
            return
        arrival = self.wire.pop(place % len(self.wire))
        answer = None
        ended = {
            "refused": AttemptOutcome.NOT_RUN,
            "not reached": AttemptOutcome.NOT_REACHED,
        }.get(end)
        if ended is None:
            answer = self._run(arrival)
            ended = AttemptOutcome.DONE if end == "answered" else AttemptOutcome.BROKEN
        arrival.sending = False
        arrival.state.on_attempt(
            AttemptRecord("replica", ended), answer, self.clock.monotonic()
        )

    @rule(place=st.integers(0, 4))
    def kill_host(self, place):
        """Kill the host of a request; its call may still be on the wire."""
        open_arrivals = [a for a in self.arrivals if not a.ended]
        if open_arrivals:
            open_arrivals[place % len(open_arrivals)].ended = True

    @rule(seconds=st.sampled_from([0.5, DEADLINE + 1]))
    def advance(self, seconds):
        self.clock.advance(seconds)

    @rule()
    def upkeep(self):
        """Write a queued result to the store."""
        item = self.pending.oldest()
        if item is None:
            return
        key, row = item
        stored = self.platform.read([key])[0]
        current = msgspec.json.decode(stored.value, type=ConfirmRow) if stored else None
        revision = self.pending.revision_to_replace(
            row, current, stored.revision if stored else ABSENT
        )
        if revision is not None:
            self._put(key, revision, row)
        self.pending.remove(key)

    def _run(self, arrival: Arrival) -> ServiceResponse:
        call = ServiceCall(
            arrival.state.attempt, "booking", "POST", "/", {}, b"", False, arrival.key
        )
        return self.service.run(call)

    def _put(self, key: str, revision: int, row: ConfirmRow) -> Event:
        transaction = Transaction([Condition(key, revision)], [Write(key, as_raw(row))])
        try:
            answer = self.platform.transact(transaction)
        except ResponseLostError:
            return Event.LOST
        except StoreUnavailableError:
            return Event.UNAVAILABLE
        return Event.COMMITTED if answer.committed else Event.CONFLICT

    def _run_step(self, arrival: Arrival) -> None:
        state, now = arrival.state, self.clock.monotonic()
        key = f"confirm/c/{arrival.key}"
        match state.step:
            case Step.INSERT | Step.TAKE_OVER:
                event = self._put(key, state.revision, state.row(RowState.STARTED))
                state.on_insert(event, now)
            case Step.READ:
                self._read(state, key, now)
            case Step.WAIT:
                state.on_wait_over()
            case Step.SEND:
                arrival.sending = True
                self.wire.append(arrival)
            case Step.RECORD:
                event = self._put(key, state.revision, state.record)
                if event is not Event.COMMITTED:
                    self.pending.add(key, state.record)
                state.on_recorded()
            case Step.ANSWER:
                self._answer(arrival, key)

    def _read(self, state: Confirmation, key: str, now: float) -> None:
        try:
            stored = self.platform.read([key])[0]
        except StoreUnavailableError:
            state.on_read_failed(now)
            return
        row = msgspec.json.decode(stored.value, type=ConfirmRow) if stored else None
        state.on_read(row, stored.revision if stored else ABSENT, now)

    def _answer(self, arrival: Arrival, key: str) -> None:
        """Respond to the caller; the outcome must be true at that moment."""
        arrival.ended = True
        state = arrival.state
        if state.needs_abandon:
            self.pending.add(key, state.row(RowState.ABANDONED))
        ran = self.service.ran[arrival.key]
        if state.outcome is Outcome.NOT_RUN:
            assert ran == 0, "told not-run, but it ran"
        if state.outcome is Outcome.COMPLETE:
            assert ran == 1, "told complete, but it did not run"

    @invariant()
    def no_key_ran_twice(self):
        twice = [key for key, count in self.service.ran.items() if count > 1]
        assert not twice, f"ran twice: {twice}"


class ConfirmationsTest(ConfirmationMachine.TestCase):
    """Confirmations run at most once, and reported outcomes are true."""

    settings = MACHINE
