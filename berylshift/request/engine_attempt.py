"""One attempt of a model call at an engine, with its load and health accounting."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, aclosing
from dataclasses import dataclass

import trio

from berylshift.clock import Clock
from berylshift.connection.read_timeout import NEVER, ReadTimeout, ReadTimeoutError
from berylshift.ids import PoolName, TargetName
from berylshift.process.control.demand_meter import DemandMeter
from berylshift.process.engine_state.output_lengths import OutputLengths
from berylshift.process.limits.retry_budget import RetryBudget
from berylshift.process.shutdown import Shutdown
from berylshift.request.crash_watch_factory import CrashWatchFactory
from berylshift.request.decisions import DecisionLog
from berylshift.request.messages import ModelCall
from berylshift.request.retry_policy import AttemptOutcome, outcome_of, retry_after_of
from berylshift.request.router import Router, RoutingContext
from berylshift.settings import TargetSettings
from berylshift.targets import (
    EngineCall,
    EngineChunk,
    EngineClient,
    TargetBrokenError,
    TargetError,
)
from berylshift.version.rows import Row
from berylshift.version.table import Table

Chunks = list[EngineChunk]
OnChunks = Callable[[Chunks], Awaitable[bool]]
CANCEL_TIMEOUT_SECONDS = 1.0


@dataclass
class CompletionDependencies:
    """Dependencies of model calls."""

    clock: Clock
    client: EngineClient
    context: RoutingContext
    router: Router
    retry_budget: RetryBudget
    lengths: OutputLengths
    decisions: DecisionLog
    meter: DemandMeter
    table: Callable[[], Table]
    may_route: Callable[[], bool]
    cfg: TargetSettings
    max_duration_seconds: float
    shutdown: Shutdown
    crash_watches: CrashWatchFactory


class AttemptFailedError(Exception):
    """An attempt did not complete the response."""

    def __init__(self, target: TargetName, outcome: AttemptOutcome):
        """Keep the target and the outcome."""
        super().__init__(outcome)
        self.target = target
        self.outcome = outcome


class EngineAttempt:
    """One call to an engine; load and health are updated however it ends."""

    def __init__(
        self,
        deps: CompletionDependencies,
        row: Row,
        call: EngineCall,
        prefill_tokens: int,
        model_call: ModelCall,
    ):
        """Send ``call``, one attempt of ``model_call``, to the engine ``row``."""
        self._deps = deps
        self._row = row
        self._call = call
        self._prefill_tokens = prefill_tokens
        self._model_call = model_call
        self._has_first_chunk = False
        # When the engine has been silent for too long, on the monotonic clock: it may
        # still go on, but another one may be faster.
        self.overdue_at = NEVER
        self.on_due: Callable[[float], None] = lambda at: None
        # Until when to wait for a silent engine, even if it is overdue.
        self.patient_until: Callable[[], float] = lambda: 0.0

    async def run(self, on_chunks: OnChunks) -> None:
        """Pass chunks to ``on_chunks`` until it returns ``True``: they are complete."""
        name, attempt = self._row.name, self._call.attempt
        context = self._deps.context
        fleet = self._model_call.caller.fleet
        now = self._now()
        context.load.record_sent(name, attempt, fleet, self._prefill_tokens, now)
        pool = PoolName(self._model_call.model)
        self._deps.meter.prefill(pool, self._prefill_tokens, now)
        context.health.record_start(name)
        try:
            await self._receive(on_chunks)
            context.health.record_success(name)
        except AttemptFailedError as exc:
            await self._record_failure(exc)
            raise
        except BaseException:
            self._record_cancelled()
            await self._cancel()
            raise
        finally:
            context.load.record_ended(name, attempt, self._now())

    def _now(self) -> float:
        return self._deps.clock.monotonic()

    def _record_cancelled(self) -> None:
        """Count a cancelled call as failed if the engine was silent for too long."""
        health, name, now = self._deps.context.health, self._row.name, self._now()
        if now >= self.overdue_at:
            health.record_failure(name, now)
        else:
            health.record_cancelled(name)

    async def _record_failure(self, exc: AttemptFailedError) -> None:
        self.overdue_at = NEVER
        self._deps.context.health.record_failure(self._row.name, self._now())
        if exc.outcome in (AttemptOutcome.SILENT, AttemptOutcome.INVALID):
            await self._cancel()

    async def _receive(self, on_chunks: OnChunks) -> None:
        cfg = self._deps.cfg
        name = self._row.name
        limit = ReadTimeout(NEVER)
        self._await_data(limit, cfg.first_token_timeout)
        call = self._deps.client.generate(self._row.address, self._call)
        try:
            async with AsyncExitStack() as stack:
                batches = await limit.wait_for(stack.enter_async_context(call))
                async with aclosing(batches):
                    await self._consume(batches, on_chunks, limit)
        except ReadTimeoutError as exc:
            raise AttemptFailedError(name, AttemptOutcome.SILENT) from exc
        except TargetError as exc:
            health = self._deps.context.health
            health.back_off(name, retry_after_of(exc), self._now())
            raise AttemptFailedError(name, outcome_of(exc)) from exc

    async def _consume(
        self, batches: AsyncIterator[Chunks], on_chunks: OnChunks, limit: ReadTimeout
    ) -> None:
        """Pass chunks to ``on_chunks``; ``limit`` bounds the wait for each batch."""
        while chunks := await limit.wait_for(anext(batches, None)):
            # The time that the caller takes to read does not count as silence.
            self.overdue_at = NEVER
            self._record_first_chunk()
            if await on_chunks(chunks):
                return
            self._await_data(limit, self._deps.cfg.token_timeout)
        raise TargetBrokenError("engine ended the stream before the last chunk")

    def _await_data(self, limit: ReadTimeout, seconds: float) -> None:
        """Count as overdue after ``seconds``, and give up if no one waits any more."""
        now = self._now()
        limit.restart(max(seconds, self.patient_until() - now))
        self.overdue_at = now + seconds
        self.on_due(self.overdue_at)

    def _record_first_chunk(self) -> None:
        if not self._has_first_chunk:
            self._has_first_chunk = True
            now = self._now()
            self._deps.context.load.record_first_token(
                self._row.name, self._call.attempt, now
            )

    async def _cancel(self) -> None:
        """Cancel the call at the engine, so that it stops generating."""
        with trio.move_on_after(CANCEL_TIMEOUT_SECONDS) as scope:
            scope.shield = True
            await self._deps.client.cancel(self._row.address, self._call.attempt)
