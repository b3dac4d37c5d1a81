"""A call to a plain service that is retried on other replicas."""

from functools import partial

from berylshift.clock import Clock
from berylshift.ids import AttemptId, TargetName
from berylshift.request.hedged_attempts import HedgedAttempts, SendAttempt
from berylshift.request.lookup_attempt import LookupAttempt
from berylshift.request.messages import (
    NativeResult,
    Outcome,
    PlainCall,
    Reason,
    ServiceCallResult,
)
from berylshift.request.open_attempts import OpenAttempts
from berylshift.request.retry_loop import RetryBudgetInterface, StopReason
from berylshift.request.retry_policy import (
    AttemptHistory,
    AttemptOutcome,
    AttemptRecord,
)
from berylshift.request.retry_targets import RETRY_BOUNDS, excluded_targets
from berylshift.request.router import Plan
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
        self._open = OpenAttempts(self._clock)
        self._open_targets: list[TargetName] = []
        self._attempt_count = 0

    async def run(self) -> ServiceCallResult:
        """Run the call and return how it ended."""
        attempts = HedgedAttempts(
            self, RETRY_BOUNDS, self._history, self._budget, self._clock
        )
        self._open.on_due = attempts.on_due
        try:
            end = await attempts.run()
        finally:
            self._open.release()
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
        placed = self._quarantine() or self._sender.place(self._call, self._excluded())
        if isinstance(placed, NativeResult):
            self._refusal = placed
            return None
        return await self._run_attempt(placed)

    def overdue_at(self) -> float:
        """Return when all open attempts are overdue, in monotonic seconds."""
        return self._open.overdue_at()

    def choose_hedge(self) -> SendAttempt | None:
        """Return an attempt beside the overdue ones; ``None``: none is possible."""
        if self.is_past_deadline() or self._quarantine() is not None:
            return None
        plan = self._sender.choose_hedge(self._call, self._excluded())
        return None if plan is None else partial(self._run_hedge, plan)

    def _quarantine(self) -> NativeResult | None:
        return self._sender.quarantine_refusal(self._crash_watch)

    def _excluded(self) -> frozenset[TargetName]:
        return excluded_targets(self._history).union(self._open_targets)

    async def _run_hedge(self, plan: Plan) -> AttemptRecord:
        self._sender.decisions.log_placement(self._call.request, "replica", plan)
        return await self._run_attempt(plan)

    async def _run_attempt(self, plan: Plan) -> AttemptRecord:
        """Make one attempt and return its record."""
        name = plan.target.name
        self._attempt_count += 1
        attempt_id = AttemptId(f"{self._call.request}.{self._attempt_count}")
        attempt = LookupAttempt(self._sender, self._call, plan, attempt_id)
        self._history.begin_attempt()
        self._open_targets.append(name)
        outcome = await self._open.run(attempt)
        self._open_targets.remove(name)
        await self._sender.report(plan, outcome, self._crash_watch)
        self._history.end_attempt()
        if outcome is AttemptOutcome.DONE:
            self._response = attempt.response
        return AttemptRecord(name, outcome)

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
