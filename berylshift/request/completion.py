"""A model call from its placement to its last token, over one or more attempts."""

import logging
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import aclosing
from dataclasses import dataclass

import trio
from returns.result import Failure, Result, Success

from berylshift.clock import Clock
from berylshift.ids import AttemptId, PoolName, TargetName
from berylshift.process.control.mix_meter import MixMeter
from berylshift.process.knowledge.lengths import OutputLengths
from berylshift.process.knowledge.prefixes import Prefixes, prefix_hashes
from berylshift.process.limits.retry_budget import RetryBudget
from berylshift.request.assembly import AnswerAssembler, Verdict
from berylshift.request.attempts import AttemptLog, Fault
from berylshift.request.choice import Knowledge, Plan, Refusal, Router, WorkItem
from berylshift.request.decisions import DecisionLog
from berylshift.request.messages import (
    AnswerSink,
    Ending,
    ModelCall,
    Outcome,
    Reason,
)
from berylshift.settings import TargetSettings
from berylshift.targets import (
    EngineCall,
    EngineChunk,
    EngineClient,
    KvSource,
    TargetBrokenError,
    TargetNotReachedError,
    TargetRefusedError,
)
from berylshift.utils import token_count
from berylshift.version.rows import Row
from berylshift.version.table import Table

logger = logging.getLogger(__name__)

REPLACE_PAUSE = 0.2
Chunks = list[EngineChunk]
Take = Callable[[Chunks], Awaitable[bool]]
CANCEL_SECONDS = 1.0


@dataclass
class CompletionParts:
    """What model calls work with."""

    clock: Clock
    client: EngineClient
    know: Knowledge
    router: Router
    retries: RetryBudget
    lengths: OutputLengths
    decisions: DecisionLog
    meter: MixMeter
    table: Callable[[], Table]
    may_route: Callable[[], bool]
    cfg: TargetSettings
    longest: float


class _AttemptFailedError(Exception):
    """An attempt ended early."""

    def __init__(self, target: TargetName, fault: Fault):
        super().__init__(fault.value)
        self.target = target
        self.fault = fault


class Completion:
    """One model call."""

    def __init__(self, parts: CompletionParts, call: ModelCall, sink: AnswerSink):
        """Make ``call``'s answer and pass it to ``sink``."""
        self._parts = parts
        self._call = call
        self._sink = sink
        self._log = AttemptLog()
        self._answer = AnswerAssembler()
        self._prefixes: Prefixes = prefix_hashes(call.prompt)
        self._prompt_tokens = token_count(call.prompt)
        self._attempts = 0
        self._ends_at = parts.clock.monotonic() + parts.longest

    async def run(self) -> Ending:
        """Return how the call ended; all text has gone to the sink by then."""
        self._parts.retries.first_attempt(self._now())
        while True:
            match self._choose():
                case Success(plan):
                    self._parts.decisions.placed(self._call.request, "engine", plan)
                    ending = await self._try(plan)
                    if ending is not None:
                        return ending
                case Failure(refusal):
                    ending = await self._refused(refusal)
                    if ending is not None:
                        return ending

    def _now(self) -> float:
        return self._parts.clock.monotonic()

    def _choose(self) -> Result[Plan, Refusal]:
        # A retry is new work for its target, which may have begun to leave.
        if not self._parts.may_route():
            return Failure(Refusal(Reason.STALE_VIEW, 1.0))
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
            remaining=call.deadline - self._now(),
            exclude=self._log.exclude,
            prefer=self._log.prefer,
            must_place=self._log.may_have_run,
        )

    async def _refused(self, refusal: Refusal) -> Ending | None:
        """End the call, or wait where an answer has begun that can be finished."""
        begun = self._answer.tokens > 0
        if begun and not self._log.spent and self._now() < self._ends_at:
            # Engines that refused or failed may be back by the next try.
            self._log = AttemptLog(may_have_run=True)
            await trio.sleep(REPLACE_PAUSE)
            return None
        self._parts.decisions.refused(self._call.request, "engine", refusal)
        return self._ending(refusal.reason, refusal.retry_after)

    def _ending(self, reason: Reason, retry_after: float) -> Ending:
        ran = self._log.may_have_run
        outcome = Outcome.UNKNOWN if ran else Outcome.NOT_RUN
        return Ending(outcome, reason, "", max(1.0, retry_after), self._answer.tokens)

    async def _try(self, plan: Plan) -> Ending | None:
        """Make one attempt; return the ending, or ``None`` for another one."""
        try:
            await self._attempt(plan)
        except _AttemptFailedError as exc:
            self._log.failed(exc.target, exc.fault)
            self._parts.decisions.failed(
                self._call.request, exc.target, exc.fault.value
            )
            return self._after_failure()
        tokens = self._answer.tokens
        self._parts.lengths.learn(self._call.caller.customer, self._call.model, tokens)
        return Ending(Outcome.COMPLETE, tokens=tokens)

    def _after_failure(self) -> Ending | None:
        now = self._now()
        if self._log.spent or now >= self._ends_at:
            return self._ending(Reason.TARGET_FAILED, 1.0)
        if now >= self._call.deadline and not self._answer.tokens:
            return self._ending(Reason.TOO_LATE, 1.0)
        # A begun answer is finished whatever the budget says: its caller holds a
        # part of it, and a refusal would cut it.
        if not self._parts.retries.take(now) and not self._answer.tokens:
            return self._ending(Reason.RETRIES_SPENT, 1.0)
        return None

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
            raise _AttemptFailedError(row.name, Fault.REFUSED)

    async def _prefill(self, row: Row, plan: Plan) -> KvSource:
        """Have the prompt prefilled; return where its KV cache can be had."""
        call = self._engine_call(prefill_only=True)
        stream = _AttemptRun(self._parts, row, call, plan.prefill_tokens, self._call)
        found: list[KvSource] = []

        async def take(chunks: Chunks) -> bool:
            for chunk in chunks:
                if chunk.attempt != call.attempt:
                    raise _AttemptFailedError(row.name, Fault.NONSENSE)
                if chunk.kv is not None:
                    found.append(chunk.kv)
            return bool(found)

        await stream.run(take)
        self._parts.know.prefixes.sent(row.name, self._prefixes)
        return found[0]

    async def _generate(self, row: Row, plan: Plan, kv: KvSource | None) -> None:
        call = self._engine_call(kv=kv)
        prefill = 0 if kv else plan.prefill_tokens
        stream = _AttemptRun(self._parts, row, call, prefill, self._call)
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
                raise _AttemptFailedError(target, Fault.NONSENSE)
            if verdict is Verdict.SHORT:
                raise _AttemptFailedError(target, Fault.BROKEN)
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


class _AttemptRun:
    """One call to an engine, with its books kept whatever its end."""

    def __init__(
        self,
        parts: CompletionParts,
        row: Row,
        call: EngineCall,
        prefill_tokens: int,
        asked: ModelCall,
    ):
        self._parts = parts
        self._row = row
        self._call = call
        self._prefill_tokens = prefill_tokens
        self._asked = asked
        self._got_first = False

    async def run(self, take: Take) -> None:
        """Feed ``take`` with chunks until it says that the answer is whole."""
        name, attempt = self._row.name, self._call.attempt
        know = self._parts.know
        fleet = self._asked.caller.fleet
        now = self._now()
        know.load.sent(name, attempt, fleet, self._prefill_tokens, now)
        pool = PoolName(self._asked.model)
        self._parts.meter.prefill(pool, self._prefill_tokens, now)
        know.health.started(name)
        try:
            await self._read(take)
            know.health.succeeded(name)
        except _AttemptFailedError as exc:
            await self._note_failure(exc)
            raise
        except BaseException:
            know.health.cancelled(name)
            await self._cancel()
            raise
        finally:
            know.load.ended(name, attempt, self._now())

    def _now(self) -> float:
        return self._parts.clock.monotonic()

    async def _note_failure(self, exc: _AttemptFailedError) -> None:
        self._parts.know.health.failed(self._row.name, self._now())
        if exc.fault in (Fault.SILENT, Fault.NONSENSE):
            await self._cancel()

    async def _read(self, take: Take) -> None:
        cfg = self._parts.cfg
        name = self._row.name
        scope = trio.CancelScope(deadline=self._now() + cfg.first_token_timeout)
        with scope:
            try:
                async with self._parts.client.generate(
                    self._row.address, self._call
                ) as batches:
                    async with aclosing(batches):
                        await self._take_all(batches, take, scope)
                        return
            except TargetNotReachedError as exc:
                raise _AttemptFailedError(name, Fault.NOT_REACHED) from exc
            except TargetRefusedError as exc:
                raise _AttemptFailedError(name, Fault.REFUSED) from exc
            except TargetBrokenError as exc:
                raise _AttemptFailedError(name, Fault.BROKEN) from exc
        raise _AttemptFailedError(name, Fault.SILENT)

    async def _take_all(
        self, batches: AsyncIterator[Chunks], take: Take, scope: trio.CancelScope
    ) -> None:
        """Feed ``take`` until the answer is whole; ``scope`` bounds the silences."""
        async for chunks in batches:
            self._note_first()
            # The caller's pace is not the engine's fault.
            scope.deadline = float("inf")
            if await take(chunks):
                return
            scope.deadline = self._now() + self._parts.cfg.token_timeout
        raise TargetBrokenError("ended before the answer was whole")

    def _note_first(self) -> None:
        if not self._got_first:
            self._got_first = True
            now = self._now()
            self._parts.know.load.first_token(self._row.name, self._call.attempt, now)

    async def _cancel(self) -> None:
        """Tell the engine, so that it does not go on for nobody."""
        with trio.move_on_after(CANCEL_SECONDS) as scope:
            scope.shield = True
            await self._parts.client.cancel(self._row.address, self._call.attempt)
