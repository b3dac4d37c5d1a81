"""A call to a plain service that may be repeated."""

from berylshift.clock import Clock
from berylshift.ids import AttemptId
from berylshift.request.messages import Ending, Outcome, PlainCall, PlainEnding, Reason
from berylshift.request.retry_loop import Budget, StopReason, run_attempts
from berylshift.request.retry_policy import AttemptHistory, AttemptRecord
from berylshift.request.retry_targets import RETRY_BOUNDS, excluded_targets
from berylshift.request.service_sender import ServiceSender
from berylshift.targets import ServiceAnswer

RETRY_AFTER_SECONDS = 1.0


class RetryableCall:
    """One call, sent again elsewhere while that is allowed."""

    def __init__(self, sender: ServiceSender, call: PlainCall, budget: Budget):
        """Send ``call`` by ``sender``."""
        self._sender = sender
        self._call = call
        self._budget = budget
        self._clock: Clock = sender.clock
        self._crash_watch = sender.crash_watches.for_service_call(call)
        self._history = AttemptHistory()
        self._refusal: Ending | None = None
        self._answer: ServiceAnswer | None = None

    async def run(self) -> PlainEnding:
        """Return how the call ended."""
        end = await run_attempts(
            self, RETRY_BOUNDS, self._history, self._budget, self._clock
        )
        if self._answer is not None:
            found = self._answer
            done = Ending(Outcome.COMPLETE)
            return PlainEnding(done, found.status, found.headers, found.body)
        return PlainEnding(self._failed(end))

    def shutdown_ending(self) -> PlainEnding:
        """Return how the call ended where the process ends sooner than it."""
        outcome = self._history.outcome
        return PlainEnding(Ending(outcome, Reason.DRAINING, "", RETRY_AFTER_SECONDS))

    async def send(self) -> AttemptRecord | None:
        """Send once, to a replica that has not failed yet."""
        placed = self._sender.quarantine_refusal(
            self._crash_watch
        ) or self._sender.place(self._call, excluded_targets(self._history))
        if isinstance(placed, Ending):
            self._refusal = placed
            return None
        number = len(self._history.attempts) + 1
        attempt = AttemptId(f"{self._call.request}.{number}")
        self._history.has_open_attempt = True
        watch = self._crash_watch
        found = await self._sender.run(placed, self._call, attempt, watch)
        self._history.has_open_attempt = False
        self._answer = found.answer
        return AttemptRecord(placed.target.name, found.outcome)

    def is_past_deadline(self) -> bool:
        """Return whether the caller's time is over."""
        return self._clock.monotonic() >= self._call.deadline

    def ignores_retry_budget(self) -> bool:
        """Return that nothing of the answer has been passed on."""
        return False

    def _failed(self, end: StopReason) -> Ending:
        outcome = self._history.outcome
        if end is StopReason.NO_PLACEMENT and self._refusal is not None:
            found = self._refusal
            return Ending(outcome, found.reason, found.detail, found.retry_after)
        spent = end is StopReason.RETRY_BUDGET_SPENT
        reason = Reason.RETRIES_SPENT if spent else Reason.TARGET_FAILED
        return Ending(outcome, reason, "", RETRY_AFTER_SECONDS)
