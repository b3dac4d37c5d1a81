"""A model call from its placement to its last token, over one or more attempts."""

import trio
from returns.result import Failure, Result, Success

from berylshift.ids import AttemptId, PoolName, TargetName
from berylshift.process.knowledge.prefixes import Prefixes, prefix_hashes
from berylshift.request.assembly import AnswerAssembler, Verdict
from berylshift.request.attempts import (
    ATTEMPT_BOUNDS,
    target_preferred,
    targets_excluded,
)
from berylshift.request.crash_watch import QuarantinedError
from berylshift.request.engine_attempt import (
    AttemptFailedError,
    AttemptRun,
    Chunks,
    CompletionParts,
)
from berylshift.request.messages import (
    Ending,
    ModelCall,
    Outcome,
    Reason,
    ResponseSink,
)
from berylshift.request.retry_rule import SendEnd, SendHistory, Sent
from berylshift.request.router import Plan, Refusal, WorkItem
from berylshift.request.send_loop import LoopEnd, send_until_done
from berylshift.request.target_check import accepts_connections
from berylshift.targets import (
    EngineCall,
    KvSource,
)
from berylshift.utils import token_count
from berylshift.version.rows import Row

REPLACE_PAUSE = 0.2


class Completion:
    """One model call."""

    def __init__(self, parts: CompletionParts, call: ModelCall, sink: ResponseSink):
        """Make ``call``'s answer and pass it to ``sink``."""
        self._parts = parts
        self._call = call
        self._sink = sink
        self._history = SendHistory()
        self._refusal: Refusal | None = None
        self._answer = AnswerAssembler()
        self._prefixes: Prefixes = prefix_hashes(call.prompt)
        self._prompt_tokens = token_count(call.prompt)
        self._crash_watch = parts.watching.of_completion(call)
        self._attempts = 0
        self._ends_at = parts.clock.monotonic() + parts.longest

    async def run(self) -> Ending:
        """Return how the call ended; all text has gone to the sink by then."""
        scope = trio.CancelScope()
        with scope, self._parts.shutdown.bounding(scope):
            return await self._run()
        # The process ends sooner than the answer: its caller is told so.
        outcome = self._history.outcome
        return Ending(outcome, Reason.DRAINING, "", 1.0, self._answer.tokens)

    async def _run(self) -> Ending:
        parts = self._parts
        end = await send_until_done(
            self, ATTEMPT_BOUNDS, self._history, parts.retries, parts.clock
        )
        if end is LoopEnd.DONE:
            tokens = self._answer.tokens
            parts.lengths.learn(self._call.caller.customer, self._call.model, tokens)
            return Ending(Outcome.COMPLETE, tokens=tokens)
        return self._ending(end)

    async def send(self) -> Sent | None:
        """Make one attempt, once there is a place for it."""
        while True:
            if not self._may_go_out():
                return None
            match self._choose():
                case Success(plan):
                    self._parts.decisions.log_placement(
                        self._call.request, "engine", plan
                    )
                    return await self._try(plan)
                case Failure(refusal):
                    if not await self._wait_for_place(refusal):
                        return None

    def _may_go_out(self) -> bool:
        """Return whether the call is not held back; note the refusal if it is."""
        try:
            self._crash_watch.check(begun=self._answer.tokens > 0)
        except QuarantinedError as exc:
            self._refusal = Refusal(Reason.QUARANTINED, exc.seconds)
            self._parts.decisions.log_refusal(
                self._call.request, "engine", self._refusal
            )
            return False
        return True

    def is_late(self) -> bool:
        """Return whether the time of an answer, begun or not, is over."""
        begun = self._answer.tokens > 0
        return self._now() >= (self._ends_at if begun else self._call.deadline)

    def must_finish(self) -> bool:
        """Return whether the answer has begun.

        Its caller holds a part of it, and a refusal would cut it.
        """
        return self._answer.tokens > 0

    def _now(self) -> float:
        return self._parts.clock.monotonic()

    def _choose(self) -> Result[Plan, Refusal]:
        # A retry is new work for its target, which may have begun to leave.
        if not self._parts.may_route():
            return Failure(Refusal(Reason.STALE_TABLE, 1.0))
        return self._parts.router.choose(self._item(), self._parts.table(), self._now())

    def _item(self) -> WorkItem:
        call = self._call
        expected = self._parts.lengths.expected(
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
            exclude=targets_excluded(self._history),
            prefer=target_preferred(self._history),
            must_place=self._history.may_have_run,
        )

    async def _wait_for_place(self, refusal: Refusal) -> bool:
        """Wait where an answer has begun that can be finished; else say no."""
        self._refusal = refusal
        if self._answer.tokens and self._now() < self._ends_at:
            self._history.start_over()
            await trio.sleep(REPLACE_PAUSE)
            return True
        self._parts.decisions.log_refusal(self._call.request, "engine", refusal)
        return False

    def _ending(self, end: LoopEnd) -> Ending:
        reason, wait = Reason.TARGET_FAILED, 1.0
        if end is LoopEnd.NO_PLACE and self._refusal is not None:
            reason, wait = self._refusal.reason, self._refusal.retry_after
        elif end is LoopEnd.NO_BUDGET:
            reason = Reason.RETRIES_SPENT
        elif end is LoopEnd.LATE and not self._answer.tokens:
            reason = Reason.TOO_LATE
        outcome = self._history.outcome
        return Ending(outcome, reason, "", max(1.0, wait), self._answer.tokens)

    async def _try(self, plan: Plan) -> Sent:
        """Make one attempt."""
        self._history.open = True
        try:
            await self._attempt(plan)
        except AttemptFailedError as exc:
            self._parts.decisions.log_failure(self._call.request, exc.target, exc.end)
            if exc.end is SendEnd.BROKEN:
                # Still open meanwhile: should the time end, the send must count.
                await self._broke_off(exc.target)
            self._history.open = False
            return Sent(exc.target, exc.end)
        self._history.open = False
        self._crash_watch.finished()
        return Sent(plan.target.name, SendEnd.DONE)

    async def _broke_off(self, target: TargetName) -> None:
        """Note that an engine broke off, unless it is no longer listed."""
        row = self._parts.table().targets.get(target)
        if row is None or not row.takes_work:
            return
        client = self._parts.client
        await self._crash_watch.broke_off(
            self._parts.watching.instance(target),
            lambda: accepts_connections(client, row.address),
        )

    async def _attempt(self, plan: Plan) -> None:
        kv = None
        if plan.prefill_on is not None:
            kv = await self._prefill(plan.prefill_on, plan)
            self._check_takes_work(plan.target)
        await self._generate(plan.target, plan, kv)

    def _check_takes_work(self, row: Row) -> None:
        """Fail the attempt where the target began to leave during the prefill."""
        current = self._parts.table().targets.get(row.name)
        leaves = current is None or not current.takes_work
        leaves = leaves or self._parts.know.plans.is_moving(row.name)
        if leaves or not self._parts.may_route():
            raise AttemptFailedError(row.name, SendEnd.NOT_RUN)

    async def _prefill(self, row: Row, plan: Plan) -> KvSource:
        """Have the prompt prefilled; return where its KV cache can be had."""
        call = self._engine_call(prefill_only=True)
        stream = AttemptRun(self._parts, row, call, plan.prefill_tokens, self._call)
        found: list[KvSource] = []

        async def take(chunks: Chunks) -> bool:
            for chunk in chunks:
                if chunk.attempt != call.attempt:
                    raise AttemptFailedError(row.name, SendEnd.SPOILED)
                if chunk.kv is not None:
                    found.append(chunk.kv)
            return bool(found)

        await stream.run(take)
        self._parts.know.prefixes.sent(row.name, self._prefixes)
        return found[0]

    async def _generate(self, row: Row, plan: Plan, kv: KvSource | None) -> None:
        call = self._engine_call(kv=kv)
        prefill = 0 if kv else plan.prefill_tokens
        stream = AttemptRun(self._parts, row, call, prefill, self._call)
        self._answer.begin(call.attempt)
        start = self._now()
        first_at: list[float] = []

        async def take(chunks: Chunks) -> bool:
            if not first_at:
                first_at.append(self._now())
                self._parts.know.prefixes.sent(row.name, self._prefixes)
            verdict = self._take_chunks(row.name, chunks)
            count = sum(len(chunk.texts) for chunk in chunks)
            pool = PoolName(self._call.model)
            self._parts.meter.decode(pool, count, self._now())
            text = self._answer.new_text()
            if text:
                await self._sink.text(text)
            return verdict is Verdict.WHOLE

        before = self._answer.tokens
        await stream.run(take)
        self._learn(plan, start, first_at[0], self._answer.tokens - before)

    def _take_chunks(self, target: TargetName, chunks: Chunks) -> Verdict:
        verdict = Verdict.MORE
        for chunk in chunks:
            verdict = self._answer.take(chunk)
            if verdict in (Verdict.FOREIGN, Verdict.GAP):
                raise AttemptFailedError(target, SendEnd.SPOILED)
            if verdict is Verdict.SHORT:
                raise AttemptFailedError(target, SendEnd.BROKEN)
        return verdict

    def _engine_call(
        self, prefill_only: bool = False, kv: KvSource | None = None
    ) -> EngineCall:
        self._attempts += 1
        call = self._call
        return EngineCall(
            attempt=AttemptId(f"{call.request}.{self._attempts}"),
            model=call.model,
            prompt=call.prompt,
            max_tokens=call.max_tokens,
            resume_from=self._answer.tokens,
            emitted=self._answer.whole_text(),
            priority=call.priority,
            prefill_only=prefill_only,
            kv=kv,
        )

    def _learn(self, plan: Plan, start: float, first: float, tokens: int) -> None:
        role = self._parts.know.load.role(plan.target.name)
        cost = self._parts.know.cost
        predicted = plan.prediction
        if predicted.end <= 0:
            return
        cost.learn_first(role, predicted.first_token, first - start)
        if tokens > 1 and plan.output_tokens > 1:
            per_token = (predicted.end - predicted.first_token) / plan.output_tokens
            cost.learn_decode(role, per_token, (self._now() - first) / tokens)
