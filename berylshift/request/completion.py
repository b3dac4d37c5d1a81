"""Runs a model call over one or more attempts."""

import trio
from returns.result import Failure, Result, Success

from berylshift.ids import AttemptId, PoolName, TargetName
from berylshift.process.engine_state.prefix_index import Prefixes, prefix_hashes
from berylshift.request.assembly import ChunkStatus, ResponseAssembler
from berylshift.request.crash_watch import QuarantinedError
from berylshift.request.engine_attempt import (
    AttemptFailedError,
    Chunks,
    CompletionDependencies,
    EngineAttempt,
)
from berylshift.request.messages import (
    ModelCall,
    NativeResult,
    Outcome,
    Reason,
    ResponseSink,
)
from berylshift.request.retry_loop import StopReason, run_attempts
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
from berylshift.targets import EngineCall, KvSource
from berylshift.utils import estimate_token_count
from berylshift.version.rows import Row

PLACEMENT_RETRY_SECONDS = 0.2


class Completion:
    """Runs one model call."""

    def __init__(
        self, deps: CompletionDependencies, call: ModelCall, sink: ResponseSink
    ):
        """Run ``call`` and write its text to ``sink``."""
        self._deps = deps
        self._call = call
        self._sink = sink
        self._history = AttemptHistory()
        self._refusal: PlacementRefusal | None = None
        self._answer = ResponseAssembler()
        self._prefixes: Prefixes = prefix_hashes(call.prompt)
        self._prompt_tokens = estimate_token_count(call.prompt)
        self._crash_watch = deps.crash_watches.for_completion(call)
        self._attempt_count = 0
        self._response_deadline = deps.clock.monotonic() + deps.max_duration_seconds

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
        stop_reason = await run_attempts(
            self, RETRY_BOUNDS, self._history, deps.retry_budget, deps.clock
        )
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
                    self._deps.decisions.log_placement(
                        self._call.request, "engine", plan
                    )
                    return await self._run_attempt(plan)
                case Failure(refusal):
                    if not await self._wait_for_placement(refusal):
                        return None

    def _is_allowed(self) -> bool:
        """Return whether the call is not quarantined; record the refusal if it is."""
        try:
            self._crash_watch.check(response_started=self._answer.tokens > 0)
        except QuarantinedError as exc:
            self._refusal = PlacementRefusal(Reason.QUARANTINED, exc.seconds)
            self._deps.decisions.log_refusal(
                self._call.request, "engine", self._refusal
            )
            return False
        return True

    def is_past_deadline(self) -> bool:
        """Return whether the call is past its deadline, or its maximum duration.

        The maximum duration applies once the response has started.
        """
        response_started = self._answer.tokens > 0
        return self._now() >= (
            self._response_deadline if response_started else self._call.deadline
        )

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
            prefixes=self._prefixes,
            remaining_seconds=call.deadline - self._now(),
            exclude=excluded_targets(self._history),
            prefer=preferred_target(self._history),
            must_place=self._history.may_have_run,
        )

    async def _wait_for_placement(self, refusal: PlacementRefusal) -> bool:
        """Wait for an engine if the response has started; else record the refusal.

        Return whether to try again.
        """
        self._refusal = refusal
        if self._answer.tokens and self._now() < self._response_deadline:
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
        self._history.begin_attempt()
        try:
            await self._prefill_and_generate(plan)
        except AttemptFailedError as exc:
            self._deps.decisions.log_failure(
                self._call.request, exc.target, exc.outcome
            )
            if exc.outcome is AttemptOutcome.BROKEN:
                # The attempt stays open during the probe: if the deadline passes
                # meanwhile, it must count as one that may have run.
                await self._on_connection_lost(exc.target)
            self._history.end_attempt()
            return AttemptRecord(exc.target, exc.outcome)
        self._history.end_attempt()
        name = plan.target.name
        self._crash_watch.on_completed(self._deps.crash_watches.instance_id(name))
        return AttemptRecord(name, AttemptOutcome.DONE)

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

    async def _prefill_and_generate(self, plan: Plan) -> None:
        kv = None
        if plan.prefill_on is not None:
            kv = await self._prefill(plan.prefill_on, plan)
            self._check_accepts_work(plan.target)
        await self._generate(plan.target, plan, kv)

    def _check_accepts_work(self, row: Row) -> None:
        """Fail the attempt if the target started draining during the prefill."""
        current = self._deps.table().targets.get(row.name)
        is_leaving = current is None or not current.accepts_work
        is_leaving = is_leaving or self._deps.context.plans.is_moving(row.name)
        if is_leaving or not self._deps.may_route():
            raise AttemptFailedError(row.name, AttemptOutcome.NOT_RUN)

    async def _prefill(self, row: Row, plan: Plan) -> KvSource:
        """Prefill the prompt at ``row``; return where its KV cache can be fetched."""
        call = self._engine_call(prefill_only=True)
        stream = EngineAttempt(self._deps, row, call, plan.prefill_tokens, self._call)
        found: list[KvSource] = []

        async def on_chunks(chunks: Chunks) -> bool:
            for chunk in chunks:
                if chunk.attempt != call.attempt:
                    raise AttemptFailedError(row.name, AttemptOutcome.INVALID)
                if chunk.kv is not None:
                    found.append(chunk.kv)
            return bool(found)

        await stream.run(on_chunks)
        self._deps.context.prefixes.record_sent(row.name, self._prefixes)
        return found[0]

    async def _generate(self, row: Row, plan: Plan, kv: KvSource | None) -> None:
        call = self._engine_call(kv=kv)
        prefill = 0 if kv else plan.prefill_tokens
        stream = EngineAttempt(self._deps, row, call, prefill, self._call)
        self._answer.begin_attempt(call.attempt)
        start = self._now()
        first_at: list[float] = []

        async def on_chunks(chunks: Chunks) -> bool:
            if not first_at:
                first_at.append(self._now())
                self._deps.context.prefixes.record_sent(row.name, self._prefixes)
            status = self._add_chunks(row.name, chunks)
            count = sum(len(chunk.texts) for chunk in chunks)
            pool = PoolName(self._call.model)
            self._deps.meter.decode(pool, count, self._now())
            text = self._answer.take_new_text()
            if text:
                await self._sink.write_text(text)
            return status is ChunkStatus.COMPLETE

        before = self._answer.tokens
        await stream.run(on_chunks)
        self._update_cost_model(plan, start, first_at[0], self._answer.tokens - before)

    def _add_chunks(self, target: TargetName, chunks: Chunks) -> ChunkStatus:
        status = ChunkStatus.INCOMPLETE
        for chunk in chunks:
            status = self._answer.add(chunk)
            if status in (ChunkStatus.OTHER_ATTEMPT, ChunkStatus.GAP):
                raise AttemptFailedError(target, AttemptOutcome.INVALID)
            if status is ChunkStatus.TRUNCATED:
                raise AttemptFailedError(target, AttemptOutcome.BROKEN)
        return status

    def _engine_call(
        self, prefill_only: bool = False, kv: KvSource | None = None
    ) -> EngineCall:
        self._attempt_count += 1
        call = self._call
        return EngineCall(
            attempt=AttemptId(f"{call.request}.{self._attempt_count}"),
            model=call.model,
            prompt=call.prompt,
            max_tokens=call.max_tokens,
            resume_from=self._answer.tokens,
            emitted=self._answer.full_text(),
            priority=call.priority,
            prefill_only=prefill_only,
            kv=kv,
        )

    def _update_cost_model(
        self, plan: Plan, start: float, first: float, tokens: int
    ) -> None:
        role = self._deps.context.load.role(plan.target.name)
        cost = self._deps.context.cost
        predicted = plan.prediction
        if predicted.end <= 0:
            return
        cost.learn_first_token(role, predicted.first_token, first - start)
        if tokens > 1 and plan.output_tokens > 1:
            per_token = (predicted.end - predicted.first_token) / plan.output_tokens
            cost.learn_decode(role, per_token, (self._now() - first) / tokens)
