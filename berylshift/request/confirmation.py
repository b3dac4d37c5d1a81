"""State machine of a confirmation, a call that runs at most once.

The row of an idempotency key is inserted before the call is sent, so that of all
requests with one key, at any hosts, only one sends it. The row outlives the process: a
later request reads the call's outcome from it. See docs/design/confirmations.md.
"""

from dataclasses import dataclass, field
from enum import Enum, StrEnum

import msgspec
import xxhash

from berylshift.ids import AttemptId, CustomerName
from berylshift.request.messages import Outcome, Reason
from berylshift.request.retry_policy import (
    AttemptHistory,
    AttemptOutcome,
    AttemptRecord,
    RetryBounds,
    may_retry,
)
from berylshift.store.interfaces import ABSENT
from berylshift.targets import ServiceResponse

PREFIX = "confirm/"
POLL_SECONDS = 0.25
RETRY_AFTER_SECONDS = 2.0
# Revision of a row that was just inserted.
FIRST_REVISION = ABSENT + 1
# A call is tried at up to three replicas, as long as each of them refuses it.
AT_MOST_ONCE_BOUNDS = RetryBounds(repeatable=False, max_runs=1, max_attempts=3)


class RowState(StrEnum):
    """State of a key's call."""

    STARTED = "started"
    DONE = "done"
    UNKNOWN = "unknown"
    ABANDONED = "abandoned"


RESULT_STATES = (RowState.DONE, RowState.UNKNOWN)


class ConfirmRow(msgspec.Struct, frozen=True, omit_defaults=True):
    """The row of a key; ``expires`` in seconds since the Unix epoch.

    The state ``abandoned`` means that the attempt did not run, so another request may
    take the key over.
    """

    attempt: AttemptId
    state: RowState
    digest: str
    expires: float
    answer: ServiceResponse | None = None


def row_key(customer: CustomerName, key: str) -> str:
    """Return the table key of a caller's idempotency key."""
    return f"{PREFIX}{customer}/{key}"


def body_digest(method: str, path: str, body: bytes) -> str:
    """Return a digest that distinguishes two calls with the same key."""
    return xxhash.xxh128_hexdigest(f"{method} {path}\n".encode() + body)


class Step(Enum):
    """The next action, which the user of the state machine performs."""

    INSERT = "insert the row, if there is none"
    TAKE_OVER = "take over an abandoned row"
    READ = "read the row"
    WAIT = "wait a little, then read the row"
    SEND = "send the call, once"
    RECORD = "write the result into the row"
    ANSWER = "answer the caller, then set a row that is left to abandoned"


class Event(Enum):
    """Result of a row's write."""

    COMMITTED = "committed"
    CONFLICT = "the condition failed"
    LOST = "the answer was lost"
    UNAVAILABLE = "the store refused"


@dataclass(eq=False)
class Confirmation:
    """State of one request with a key; ``deadline`` in monotonic seconds.

    With a ``refusal``, the call is not sent: its row only keeps other requests with the
    key from running until the caller has been told so.
    """

    attempt: AttemptId
    digest: str
    deadline: float
    expires: float
    refusal: Reason | None = None
    step: Step = Step.INSERT
    outcome: Outcome = Outcome.NOT_RUN
    reason: Reason = Reason.OK
    answer: ServiceResponse | None = None
    record: ConfirmRow | None = None
    history: AttemptHistory = field(default_factory=AttemptHistory)
    revision: int = 0
    owns_row: bool = False
    is_insert_uncertain: bool = False
    is_key_pending: bool = False

    def row(self, state: RowState) -> ConfirmRow:
        """Return this attempt's row in ``state``."""
        return ConfirmRow(self.attempt, state, self.digest, self.expires, self.answer)

    @property
    def retry_after(self) -> float:
        """Return the seconds until a retry; 0: a retry is of no use."""
        if self.outcome is Outcome.COMPLETE or self.reason is Reason.KEY_REUSED:
            return 0.0
        return RETRY_AFTER_SECONDS

    @property
    def needs_abandon(self) -> bool:
        """Return whether a row may exist that must be set to abandoned.

        This is done after the caller has been answered: until then, the row keeps other
        requests with the key from running, so "not run" is still true.
        """
        is_result = self.record is not None and self.record.state in RESULT_STATES
        return not is_result and (self.owns_row or self.is_insert_uncertain)

    @property
    def leaves_no_row(self) -> bool:
        """Return whether the row holds nothing but the key of a refused call."""
        return self.refusal is not None and self.revision == FIRST_REVISION

    # Events

    def on_insert(self, event: Event, now: float) -> None:
        """Handle the result of an insert or a take-over."""
        match event:
            case Event.COMMITTED:
                self.owns_row = True
                self.revision += 1
                self._send_if_in_time(now)
            case Event.CONFLICT:
                self.step = Step.READ
            case Event.LOST:
                # The insert may have taken effect; only reading the row can tell.
                self.is_insert_uncertain = True
                self._retry_store(Step.READ, now)
            case _:
                self._retry_store(
                    Step.READ if self.is_insert_uncertain else self.step, now
                )

    def on_read(self, row: ConfirmRow | None, revision: int, now: float) -> None:
        """Handle the row that was read."""
        self.revision = revision
        if row is None:
            # A lost insert can still take effect; inserting again does no harm.
            self._retry_store(Step.INSERT, now)
        elif row.digest != self.digest:
            self.is_insert_uncertain = False
            self._end(Outcome.NOT_RUN, Reason.KEY_REUSED)
        elif row.attempt == self.attempt and row.state is RowState.STARTED:
            self.owns_row = True
            self._send_if_in_time(now)
        else:
            # Another request's row, unless abandoned, makes a lost insert fail.
            self.is_insert_uncertain = (
                self.is_insert_uncertain and row.state is RowState.ABANDONED
            )
            self._read_other(row, now)

    def _read_other(self, row: ConfirmRow, now: float) -> None:
        match row.state:
            case RowState.DONE:
                self.answer = row.answer
                self._end(Outcome.COMPLETE, Reason.OK)
            case RowState.UNKNOWN:
                self._end(Outcome.UNKNOWN, Reason.FATE_UNKNOWN)
            case RowState.ABANDONED:
                self.step = Step.TAKE_OVER
            case RowState.STARTED if now >= self.deadline:
                self._end(Outcome.UNKNOWN, Reason.KEY_PENDING)
            case _:
                self.is_key_pending = True
                self.step = Step.WAIT

    def on_read_failed(self, now: float) -> None:
        """Handle a failed read."""
        self._retry_store(Step.READ, now)

    def on_wait_over(self) -> None:
        """Handle the end of a wait."""
        self.step = Step.READ

    def on_attempt(
        self, finished: AttemptRecord, answer: ServiceResponse | None, now: float
    ) -> None:
        """Handle a finished attempt."""
        self.history.add(finished)
        if finished.outcome is AttemptOutcome.DONE:
            self.answer = answer
            self._record(RowState.DONE, Outcome.COMPLETE, Reason.OK)
        elif self.history.may_have_run:
            self._record(RowState.UNKNOWN, Outcome.UNKNOWN, Reason.FATE_UNKNOWN)
        elif may_retry(AT_MOST_ONCE_BOUNDS, self.history) and now < self.deadline:
            self.step = Step.SEND
        else:
            self._abandon(Reason.TARGET_FAILED)

    def on_no_target(self, reason: Reason) -> None:
        """Handle that no target is available."""
        self._abandon(reason)

    def on_recorded(self) -> None:
        """Handle the end of the result's write, whether it succeeded or not."""
        self.step = Step.ANSWER

    # Steps

    def _send_if_in_time(self, now: float) -> None:
        # The process may have been paused after the insert. Past the deadline nothing
        # is sent.
        if self.refusal is not None:
            self._abandon(self.refusal)
        elif now >= self.deadline:
            self._abandon(Reason.TOO_LATE)
        else:
            self.step = Step.SEND

    def _abandon(self, reason: Reason) -> None:
        self.record = self.row(RowState.ABANDONED)
        self._end(Outcome.NOT_RUN, reason)

    def _record(self, state: RowState, outcome: Outcome, reason: Reason) -> None:
        self.record = self.row(state)
        self.outcome, self.reason = outcome, reason
        self.step = Step.RECORD

    def _retry_store(self, step: Step, now: float) -> None:
        if now < self.deadline:
            self.step = step
            return
        # An earlier request with this key, at another host, may have run: while the
        # row can't be read, "not run" might be false.
        reason = Reason.KEY_PENDING if self.is_key_pending else Reason.STORE_DOWN
        self._end(Outcome.UNKNOWN, reason)

    def _end(self, outcome: Outcome, reason: Reason) -> None:
        self.outcome, self.reason = outcome, reason
        self.step = Step.ANSWER
