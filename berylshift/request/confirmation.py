"""A call that may run at most once: what to do next, after each event.

The row of a key is inserted before the first byte goes out, so of all arrivals
with one key, at any hosts, one sends. The row outlives the process: a later
arrival reads from it what became of the call. See docs/design/confirmations.md.
"""

from dataclasses import dataclass, field
from enum import Enum, StrEnum

import msgspec
import xxhash

from berylshift.ids import AttemptId, CustomerName
from berylshift.request.messages import Outcome, Reason
from berylshift.request.retry_policy import (
    RetryBounds,
    SendEnd,
    SendHistory,
    Sent,
    may_send_again,
)
from berylshift.targets import ServiceAnswer

PREFIX = "confirm/"
POLL_SECONDS = 0.25
COME_BACK_SECONDS = 2.0
# A call that may run once goes to so many replicas at most, while each refuses it.
ONCE = RetryBounds(repeatable=False, most_runs=1, most_sends=3)


class RowState(StrEnum):
    """What is known of a key's call."""

    STARTED = "started"
    DONE = "done"
    UNKNOWN = "unknown"
    ABANDONED = "abandoned"


class ConfirmRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """The row of a key; ``expires`` in seconds of the calendar's epoch.

    ``abandoned`` says that the attempt was never sent, so the key may be taken.
    """

    attempt: AttemptId
    state: RowState
    digest: str
    expires: float
    answer: ServiceAnswer | None = None


def row_key(customer: CustomerName, key: str) -> str:
    """Return the table key of a caller's idempotency key."""
    return f"{PREFIX}{customer}/{key}"


def body_digest(method: str, path: str, body: bytes) -> str:
    """Return what tells two calls with one key apart."""
    return xxhash.xxh128_hexdigest(f"{method} {path}\n".encode() + body)


class Step(Enum):
    """What the caller of the state machine has to do next."""

    INSERT = "insert the row, if there is none"
    TAKE = "take over an abandoned row"
    READ = "read the row"
    WAIT = "wait a little, then read the row"
    SEND = "send the call, once"
    RECORD = "write the result into the row"
    ANSWER = "answer the caller"


class Event(Enum):
    """What came of the last step."""

    COMMITTED = "committed"
    CONFLICT = "the condition failed"
    LOST = "the answer was lost"
    UNAVAILABLE = "the store refused"


@dataclass(eq=False)
class Confirmation:
    """State of one arrival with a key; times in monotonic seconds."""

    attempt: AttemptId
    digest: str
    deadline: float
    expires: float
    step: Step = Step.INSERT
    outcome: Outcome = Outcome.NOT_RUN
    reason: Reason = Reason.OK
    answer: ServiceAnswer | None = None
    record: ConfirmRow | None = None
    history: SendHistory = field(default_factory=SendHistory)
    revision: int = 0
    owned: bool = False
    unsure: bool = False
    pending: bool = False

    def row(self, state: RowState) -> ConfirmRow:
        """Return this attempt's row in ``state``."""
        return ConfirmRow(self.attempt, state, self.digest, self.expires, self.answer)

    @property
    def retry_after(self) -> float:
        """Return when the caller may come back, in seconds; 0: no use."""
        if self.outcome is Outcome.COMPLETE or self.reason is Reason.KEY_REUSED:
            return 0.0
        return COME_BACK_SECONDS

    @property
    def leaves_row(self) -> bool:
        """Return whether a row may stand that must still be set to abandoned."""
        return self.record is None and (self.owned or self.unsure)

    # Events

    def inserted(self, event: Event, now: float) -> None:
        """Take the end of an insert or a take-over."""
        match event:
            case Event.COMMITTED:
                self.owned = True
                self.revision += 1
                self._may_send(now)
            case Event.CONFLICT:
                self.step = Step.READ
            case Event.LOST:
                # The row may be there, as ours: only the row itself can tell.
                self.unsure = True
                self._retry_store(Step.READ, now)
            case _:
                self._retry_store(Step.READ if self.unsure else self.step, now)

    def read(self, row: ConfirmRow | None, revision: int, now: float) -> None:
        """Take the row as it was read."""
        self.revision = revision
        if row is None:
            # A lost insert can still land; another insert of ours does no harm.
            self._retry_store(Step.INSERT, now)
        elif row.digest != self.digest:
            self.unsure = False
            self._end(Outcome.NOT_RUN, Reason.KEY_REUSED)
        elif row.attempt == self.attempt and row.state is RowState.STARTED:
            self.owned = True
            self._may_send(now)
        else:
            # Another's row, unless abandoned, keeps a lost insert from landing.
            self.unsure = self.unsure and row.state is RowState.ABANDONED
            self._read_other(row, now)

    def _read_other(self, row: ConfirmRow, now: float) -> None:
        match row.state:
            case RowState.DONE:
                self.answer = row.answer
                self._end(Outcome.COMPLETE, Reason.OK)
            case RowState.UNKNOWN:
                self._end(Outcome.UNKNOWN, Reason.FATE_UNKNOWN)
            case RowState.ABANDONED:
                self.step = Step.TAKE
            case RowState.STARTED if now >= self.deadline:
                self._end(Outcome.UNKNOWN, Reason.KEY_PENDING)
            case _:
                self.pending = True
                self.step = Step.WAIT

    def read_failed(self, now: float) -> None:
        """Take a read that gave no answer."""
        self._retry_store(Step.READ, now)

    def waited(self) -> None:
        """Take the end of a wait."""
        self.step = Step.READ

    def sent(self, sent: Sent, answer: ServiceAnswer | None, now: float) -> None:
        """Take the end of a send."""
        self.history.add(sent)
        if sent.end is SendEnd.DONE:
            self.answer = answer
            self._record(RowState.DONE, Outcome.COMPLETE, Reason.OK)
        elif self.history.may_have_run:
            self._record(RowState.UNKNOWN, Outcome.UNKNOWN, Reason.FATE_UNKNOWN)
        elif may_send_again(ONCE, self.history) and now < self.deadline:
            self.step = Step.SEND
        else:
            self._abandon(Reason.TARGET_FAILED)

    def no_target(self, reason: Reason) -> None:
        """Take that there is no target to send to."""
        self._abandon(reason)

    def recorded(self) -> None:
        """Take the end of the write of the result, whatever it was."""
        self.step = Step.ANSWER

    # Steps

    def _may_send(self, now: float) -> None:
        # A process that was paused after the insert wakes here: too late is
        # too late, and the row says that nothing was sent.
        if now >= self.deadline:
            self._abandon(Reason.TOO_LATE)
        else:
            self.step = Step.SEND

    def _abandon(self, reason: Reason) -> None:
        self._record(RowState.ABANDONED, Outcome.NOT_RUN, reason)

    def _record(self, state: RowState, outcome: Outcome, reason: Reason) -> None:
        self.record = self.row(state)
        self.outcome, self.reason = outcome, reason
        self.step = Step.RECORD

    def _retry_store(self, step: Step, now: float) -> None:
        if now < self.deadline:
            self.step = step
            return
        # An earlier arrival with this key, at another host, may have run: while
        # the row can't be read, "not run" might be untrue.
        reason = Reason.KEY_PENDING if self.pending else Reason.STORE_DOWN
        self._end(Outcome.UNKNOWN, reason)

    def _end(self, outcome: Outcome, reason: Reason) -> None:
        self.outcome, self.reason = outcome, reason
        self.step = Step.ANSWER
