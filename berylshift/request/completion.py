"""Runs a model call over one or more attempts."""

from functools import partial

import trio
from returns.result import Failure, Result, Success

from berylshift.ids import TargetName
from berylshift.request.completion_attempt import CompletionAttempt, CompletionProgress
from berylshift.request.crash_watch import QuarantinedError
from berylshift.request.engine_attempt import CompletionDependencies
from berylshift.request.hedged_attempts import HedgedAttempts, SendAttempt
from berylshift.request.messages import (
    ModelCall,
    NativeResult,
    Outcome,
    Reason,
    ResponseSink,
)
from berylshift.request.open_attempts import OpenAttempts
from berylshift.request.retry_loop import StopReason
from berylshift.request.retry_policy import (
    AttemptHistory,
    AttemptOutcome,
    AttemptRecord,
)
from berylshift.request.retry_targets import (
    RETRY_BOUNDS,
    excluded_targets,
    preferred_target,
)
from berylshift.request.router import PlacementRefusal, Plan, WorkItem
from berylshift.request.target_check import accepts_connections
from berylshift.utils import estimate_token_count

PLACEMENT_RETRY_SECONDS = 0.2


class Completion:
    """Runs one model call."""

    def __init__(
        self, deps: CompletionDependencies, call: ModelCall, sink: ResponseSink
    ):
        """Run ``call`` and write its text to ``sink``."""
        self._deps = deps
        self._call = call
        self._history = AttemptHistory()
        self._refusal: PlacementRefusal | None = None
        self._progress = CompletionProgress(
            call, sink, deps.clock.monotonic() + deps.max_duration_seconds
        )
        self._answer = self._progress.answer
        self._prompt_tokens = estimate_token_count(call.prompt)
        self._crash_watch = deps.crash_watches.for_completion(call)
        self._open = OpenAttempts(deps.clock)
        self._open_attempts: list[CompletionAttempt] = []

    async def run(self) -> NativeResult:
        """Run the call; return how it ended, after all text was written to the sink."""
        scope = trio.CancelScope()
        with scope, self._deps.shutdown.bounding(scope):
            return await self._run()
        # The process stops before the completion has finished.
        outcome = self._history.outcome
        return NativeResult(outcome, Reason.DRAINING, "", 1.0, self._answer.tokens)

    async def _run(self) -> NativeResult:
        deps = self._deps
        attempts = HedgedAttempts(
            self, RETRY_BOUNDS, self._history, deps.retry_budget, deps.clock
        )
        self._open.on_due = attempts.on_due
        try:
            stop_reason = await attempts.run()
        finally:
            self._open.release()
        if stop_reason is StopReason.DONE:
            tokens = self._answer.tokens
            deps.lengths.learn(self._call.caller.customer, self._call.model, tokens)
            return NativeResult(Outcome.COMPLETE, tokens=tokens)
        return self._failed_result(stop_reason)

    async def send(self) -> AttemptRecord | None:
        """Make one attempt, once an engine is available for it."""
        while True:
            if not self._is_allowed():
                return None
            match self._choose():
                case Success(plan):
                    return await self._run_attempt(plan)
                case Failure(refusal):
                    if not await self._wait_for_placement(refusal):
                        return None

    def overdue_at(self) -> float:
        """Return when all open attempts are overdue, in monotonic seconds."""
        return self._open.overdue_at()

    def choose_hedge(self) -> SendAttempt | None:
        """Return an attempt beside the overdue ones; ``None``: none is possible."""
        if self.is_past_deadline() or self._quarantine() is not None:
            return None
        match self._choose():
            case Success(plan):
                return partial(self._run_attempt, plan)
        return None

    def _is_allowed(self) -> bool:
        """Return whether the call is not quarantined; record the refusal if it is."""
        refusal = self._quarantine()
        if refusal is None:
            return True
        self._refusal = refusal
        self._deps.decisions.log_refusal(self._call.request, "engine", refusal)
        return False

    def _quarantine(self) -> PlacementRefusal | None:
        try:
            self._crash_watch.check(response_started=self._answer.tokens > 0)
        except QuarantinedError as exc:
            return PlacementRefusal(Reason.QUARANTINED, exc.seconds)
        return None

    def is_past_deadline(self) -> bool:
        """Return whether the call is past its deadline, or its maximum duration.

        The maximum duration applies once the response has started.
        """
        return self._now() >= self._progress.deadline

    def ignores_retry_budget(self) -> bool:
        """Return whether the response has started: a refusal would truncate it."""
        return self._answer.tokens > 0

    def _now(self) -> float:
        return self._deps.clock.monotonic()

    def _choose(self) -> Result[Plan, PlacementRefusal]:
        # A retry is new work, which a draining host or a stale table must not place.
        if not self._deps.may_route():
            return Failure(PlacementRefusal(Reason.STALE_VIEW, 1.0))
        return self._deps.router.choose(
            self._work_item(), self._deps.table(), self._now()
        )

    def _work_item(self) -> WorkItem:
        call = self._call
        expected = self._deps.lengths.expected(
            call.caller.customer, call.model, call.max_tokens
        )
        return WorkItem(
            request=call.request,
            customer=call.caller.customer,
            fleet=call.caller.fleet,
            work=call.model,
            prompt_tokens=self._prompt_tokens + self._answer.tokens,
            output_tokens=max(1, expected - self._answer.tokens),
            prefixes=self._progress.prefixes,
            remaining_seconds=call.deadline - self._now(),
            exclude=excluded_targets(self._history) | self._open_targets(),
            prefer=preferred_target(self._history),
            must_place=self._history.may_have_run,
        )

    def _open_targets(self) -> set[TargetName]:
        return {attempt.target for attempt in self._open_attempts}

    async def _wait_for_placement(self, refusal: PlacementRefusal) -> bool:
        """Wait for an engine if the response has started; else record the refusal.

        Return whether to try again.
        """
        self._refusal = refusal
        if self._answer.tokens and self._now() < self._progress.response_deadline:
            self._history.clear_attempts()
            await trio.sleep(PLACEMENT_RETRY_SECONDS)
            return True
        self._deps.decisions.log_refusal(self._call.request, "engine", refusal)
        return False

    def _failed_result(self, stop_reason: StopReason) -> NativeResult:
        reason, wait = Reason.TARGET_FAILED, 1.0
        if stop_reason is StopReason.NO_PLACEMENT and self._refusal is not None:
            reason, wait = self._refusal.reason, self._refusal.retry_after
        elif stop_reason is StopReason.RETRY_BUDGET_SPENT:
            reason = Reason.RETRIES_SPENT
        elif stop_reason is StopReason.DEADLINE_PASSED and not self._answer.tokens:
            reason = Reason.TOO_LATE
        outcome = self._history.outcome
        return NativeResult(outcome, reason, "", max(1.0, wait), self._answer.tokens)

    async def _run_attempt(self, plan: Plan) -> AttemptRecord:
        """Make one attempt and return its record."""
        self._deps.decisions.log_placement(self._call.request, "engine", plan)
        attempt = CompletionAttempt(self._deps, self._progress, plan)
        self._history.begin_attempt()
        self._open_attempts.append(attempt)
        outcome = await self._open.run(attempt)
        self._open_attempts.remove(attempt)
        await self._on_ended(attempt.target, outcome)
        self._history.end_attempt()
        return AttemptRecord(attempt.target, outcome)

    async def _on_ended(self, target: TargetName, outcome: AttemptOutcome) -> None:
        """Log an attempt's end, and report it to the crash watch.

        The attempt stays open meanwhile: if the deadline passes during a probe, it must
        count as one that may have run.
        """
        if outcome is AttemptOutcome.DONE:
            instance = self._deps.crash_watches.instance_id(target)
            self._crash_watch.on_completed(instance)
            return
        self._deps.decisions.log_failure(self._call.request, target, outcome)
        if outcome is AttemptOutcome.BROKEN:
            await self._on_connection_lost(target)

    async def _on_connection_lost(self, target: TargetName) -> None:
        """Report a broken connection to the crash watch if the engine takes work."""
        row = self._deps.table().targets.get(target)
        if row is None or not row.accepts_work:
            return
        client = self._deps.client
        await self._crash_watch.on_connection_lost(
            self._deps.crash_watches.instance_id(target),
            lambda: accepts_connections(client, row.address),
        )
