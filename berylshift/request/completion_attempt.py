"""One attempt of a model call: prefills the prompt and generates the response."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import trio

from berylshift.connection.read_timeout import NEVER
from berylshift.ids import AttemptId, PoolName, TargetName
from berylshift.process.engine_state.prefix_index import Prefixes, prefix_hashes
from berylshift.request.assembly import ChunkStatus, ResponseAssembler
from berylshift.request.engine_attempt import (
    AttemptFailedError,
    Chunks,
    CompletionDependencies,
    EngineAttempt,
)
from berylshift.request.messages import ModelCall, ResponseSink
from berylshift.request.retry_policy import AttemptOutcome
from berylshift.request.router import Plan
from berylshift.targets import EngineCall, KvSource
from berylshift.version.rows import Row


@dataclass
class CompletionProgress:
    """A model call and its response so far, shared by its attempts."""

    call: ModelCall
    sink: ResponseSink
    response_deadline: float
    answer: ResponseAssembler = field(default_factory=ResponseAssembler)
    attempt_count: int = 0

    def __post_init__(self) -> None:
        """Compute the prompt's prefixes."""
        self.prefixes: Prefixes = prefix_hashes(self.call.prompt)

    @property
    def deadline(self) -> float:
        """Return until when the call is worked on, in monotonic seconds.

        The maximum duration applies once the response has started.
        """
        return self.response_deadline if self.answer.tokens else self.call.deadline

    def engine_call(
        self, prefill_only: bool = False, kv: KvSource | None = None
    ) -> EngineCall:
        """Return the next call to an engine, which continues the response."""
        self.attempt_count += 1
        call = self.call
        return EngineCall(
            attempt=AttemptId(f"{call.request}.{self.attempt_count}"),
            model=call.model,
            prompt=call.prompt,
            max_tokens=call.max_tokens,
            resume_from=self.answer.tokens,
            emitted=self.answer.full_text(),
            priority=call.priority,
            prefill_only=prefill_only,
            kv=kv,
        )


class CompletionAttempt:
    """One attempt at the engines of a plan; its chunks count once it answers."""

    def __init__(
        self, deps: CompletionDependencies, progress: CompletionProgress, plan: Plan
    ):
        """Continue the response of ``progress``."""
        self._deps = deps
        self._progress = progress
        self._plan = plan
        self._stream: EngineAttempt | None = None
        self._first_at: float | None = None
        self.target: TargetName = (plan.prefill_on or plan.target).name
        self.begin_answer: Callable[[], Awaitable[None]] = trio.lowlevel.checkpoint
        self.on_due: Callable[[float], None] = lambda at: None

    @property
    def overdue_at(self) -> float:
        """Return when the engine is overdue, in monotonic seconds."""
        return NEVER if self._stream is None else self._stream.overdue_at

    async def run(self) -> AttemptOutcome:
        """Make the attempt and return its outcome."""
        try:
            await self._prefill_and_generate(self._plan)
        except AttemptFailedError as exc:
            self.target = exc.target
            return exc.outcome
        return AttemptOutcome.DONE

    def supersede(self, now: float) -> AttemptOutcome:
        """Return the outcome of the attempt, which another one has cancelled."""
        if now >= self.overdue_at:
            return AttemptOutcome.SILENT
        return AttemptOutcome.SUPERSEDED

    def _now(self) -> float:
        return self._deps.clock.monotonic()

    def _new_stream(self, row: Row, call: EngineCall, tokens: int) -> EngineAttempt:
        stream = EngineAttempt(self._deps, row, call, tokens, self._progress.call)
        stream.on_due = self.on_due
        stream.patient_until = lambda: self._progress.deadline
        self._stream, self.target = stream, row.name
        return stream

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
        call = self._progress.engine_call(prefill_only=True)
        stream = self._new_stream(row, call, plan.prefill_tokens)
        found: list[KvSource] = []

        async def on_chunks(chunks: Chunks) -> bool:
            for chunk in chunks:
                if chunk.attempt != call.attempt:
                    raise AttemptFailedError(row.name, AttemptOutcome.INVALID)
                if chunk.kv is not None:
                    found.append(chunk.kv)
            return bool(found)

        await stream.run(on_chunks)
        self._deps.context.prefixes.record_sent(row.name, self._progress.prefixes)
        return found[0]

    async def _generate(self, row: Row, plan: Plan, kv: KvSource | None) -> None:
        progress = self._progress
        call = progress.engine_call(kv=kv)
        stream = self._new_stream(row, call, 0 if kv else plan.prefill_tokens)
        start, before = self._now(), progress.answer.tokens

        async def on_chunks(chunks: Chunks) -> bool:
            self._check_valid(progress.answer.check(call.attempt, chunks))
            # Another attempt may have been made since the last chunks.
            await self.begin_answer()
            progress.answer.begin_attempt(call.attempt)
            self._record_first_chunk()
            status = progress.answer.add_all(chunks)
            count = sum(len(chunk.texts) for chunk in chunks)
            self._deps.meter.decode(PoolName(progress.call.model), count, self._now())
            text = progress.answer.take_new_text()
            if text:
                await progress.sink.write_text(text)
            return status is ChunkStatus.COMPLETE

        await stream.run(on_chunks)
        tokens = progress.answer.tokens - before
        self._update_cost_model(plan, start, self._first_at, tokens)

    def _record_first_chunk(self) -> None:
        if self._first_at is None:
            self._first_at = self._now()
            prefixes = self._deps.context.prefixes
            prefixes.record_sent(self.target, self._progress.prefixes)

    def _check_valid(self, status: ChunkStatus) -> None:
        """Fail the attempt if its chunks can't be a part of the response."""
        if status in (ChunkStatus.OTHER_ATTEMPT, ChunkStatus.GAP):
            raise AttemptFailedError(self.target, AttemptOutcome.INVALID)
        if status is ChunkStatus.TRUNCATED:
            raise AttemptFailedError(self.target, AttemptOutcome.BROKEN)

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
