"""A call to a plain service that is retried on other replicas."""

from berylshift.clock import Clock
from berylshift.ids import AttemptId
from berylshift.request.messages import (
    NativeResult,
    Outcome,
    PlainCall,
    Reason,
    ServiceCallResult,
)
from berylshift.request.retry_loop import RetryBudgetInterface, StopReason, run_attempts
from berylshift.request.retry_policy import AttemptHistory, AttemptRecord
from berylshift.request.retry_targets import RETRY_BOUNDS, excluded_targets
from berylshift.request.service_sender import ServiceSender
from berylshift.targets import ServiceResponse

RETRY_AFTER_SECONDS = 1.0


class RetryableCall:
    """One call, retried on other replicas while the retry rules allow it."""

    def __init__(
        self, sender: ServiceSender, call: PlainCall, budget: RetryBudgetInterface
    ):
        """Send ``call`` with ``sender``."""
        self._sender = sender
        self._call = call
        self._budget = budget
        self._clock: Clock = sender.clock
        self._crash_watch = sender.crash_watches.for_service_call(call)
        self._history = AttemptHistory()
        self._refusal: NativeResult | None = None
        self._response: ServiceResponse | None = None

    async def run(self) -> ServiceCallResult:
        """Run the call and return how it ended."""
        end = await run_attempts(
            self, RETRY_BOUNDS, self._history, self._budget, self._clock
        )
        if self._response is not None:
            response = self._response
            result = NativeResult(Outcome.COMPLETE)
            return ServiceCallResult(
                result, response.status, response.headers, response.body
            )
        return ServiceCallResult(self._failed(end))

    def shutdown_result(self) -> ServiceCallResult:
        """Return how the call ended if the process stops before it completes."""
        outcome = self._history.outcome
        return ServiceCallResult(
            NativeResult(outcome, Reason.DRAINING, "", RETRY_AFTER_SECONDS)
        )

    async def send(self) -> AttemptRecord | None:
        """Make one attempt, on a replica that has not failed this call yet."""
        placed = self._sender.quarantine_refusal(
            self._crash_watch
        ) or self._sender.place(self._call, excluded_targets(self._history))
        if isinstance(placed, NativeResult):
            self._refusal = placed
            return None
        number = len(self._history.attempts) + 1
        attempt = AttemptId(f"{self._call.request}.{number}")
        self._history.begin_attempt()
        watch = self._crash_watch
        result = await self._sender.run(placed, self._call, attempt, watch)
        self._history.end_attempt()
        self._response = result.answer
        return AttemptRecord(placed.target.name, result.outcome)

    def is_past_deadline(self) -> bool:
        """Return whether the caller's deadline has passed."""
        return self._clock.monotonic() >= self._call.deadline

    def ignores_retry_budget(self) -> bool:
        """Return ``False``: no part of the response has been passed on yet."""
        return False

    def _failed(self, end: StopReason) -> NativeResult:
        outcome = self._history.outcome
        if end is StopReason.NO_PLACEMENT and self._refusal is not None:
            refusal = self._refusal
            return NativeResult(
                outcome, refusal.reason, refusal.detail, refusal.retry_after
            )
        budget_spent = end is StopReason.RETRY_BUDGET_SPENT
        reason = Reason.RETRIES_SPENT if budget_spent else Reason.TARGET_FAILED
        return NativeResult(outcome, reason, "", RETRY_AFTER_SECONDS)
