"""One attempt of a model call at an engine, with its books kept whatever its end."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, aclosing
from dataclasses import dataclass

import trio

from berylshift.clock import Clock
from berylshift.connection.silence import NEVER, SilenceLimit, SilentError
from berylshift.ids import PoolName, TargetName
from berylshift.process.control.mix_meter import MixMeter
from berylshift.process.engine_state.output_lengths import OutputLengths
from berylshift.process.limits.retry_budget import RetryBudget
from berylshift.process.shutdown import Shutdown
from berylshift.request.call_watching import CallWatching
from berylshift.request.choice import Knowledge, Router
from berylshift.request.decisions import DecisionLog
from berylshift.request.messages import (
    ModelCall,
)
from berylshift.request.retry_rule import SendEnd, end_of, retry_after_of
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
    shutdown: Shutdown
    watching: CallWatching


class AttemptFailedError(Exception):
    """An attempt ended early."""

    def __init__(self, target: TargetName, end: SendEnd):
        """Say how it ended, and at which target."""
        super().__init__(end)
        self.target = target
        self.end = end


class AttemptRun:
    """One call to an engine, with its books kept whatever its end."""

    def __init__(
        self,
        parts: CompletionParts,
        row: Row,
        call: EngineCall,
        prefill_tokens: int,
        asked: ModelCall,
    ):
        """Send ``call`` to ``row`` on behalf of ``asked``."""
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
        know.load.note_sent(name, attempt, fleet, self._prefill_tokens, now)
        pool = PoolName(self._asked.model)
        self._parts.meter.prefill(pool, self._prefill_tokens, now)
        know.health.note_start(name)
        try:
            await self._read(take)
            know.health.note_success(name)
        except AttemptFailedError as exc:
            await self._note_failure(exc)
            raise
        except BaseException:
            know.health.note_cancelled(name)
            await self._cancel()
            raise
        finally:
            know.load.note_ended(name, attempt, self._now())

    def _now(self) -> float:
        return self._parts.clock.monotonic()

    async def _note_failure(self, exc: AttemptFailedError) -> None:
        self._parts.know.health.note_failure(self._row.name, self._now())
        if exc.end in (SendEnd.SILENT, SendEnd.SPOILED):
            await self._cancel()

    async def _read(self, take: Take) -> None:
        cfg = self._parts.cfg
        name = self._row.name
        limit = SilenceLimit(NEVER)
        limit.allow(cfg.first_token_timeout)
        call = self._parts.client.generate(self._row.address, self._call)
        try:
            async with AsyncExitStack() as stack:
                batches = await limit.bound(stack.enter_async_context(call))
                async with aclosing(batches):
                    await self._take_all(batches, take, limit)
        except SilentError as exc:
            raise AttemptFailedError(name, SendEnd.SILENT) from exc
        except TargetError as exc:
            health = self._parts.know.health
            health.back_off(name, retry_after_of(exc), self._now())
            raise AttemptFailedError(name, end_of(exc)) from exc

    async def _take_all(
        self, batches: AsyncIterator[Chunks], take: Take, limit: SilenceLimit
    ) -> None:
        """Feed ``take`` until the answer is whole; ``limit`` bounds the silences."""
        while chunks := await limit.bound(anext(batches, None)):
            self._note_first()
            if await take(chunks):
                return
            # The caller's pace is not the engine's fault.
            limit.allow(self._parts.cfg.token_timeout)
        raise TargetBrokenError("ended before the answer was whole")

    def _note_first(self) -> None:
        if not self._got_first:
            self._got_first = True
            now = self._now()
            self._parts.know.load.note_first_token(
                self._row.name, self._call.attempt, now
            )

    async def _cancel(self) -> None:
        """Tell the engine, so that it does not go on for nobody."""
        with trio.move_on_after(CANCEL_SECONDS) as scope:
            scope.shield = True
            await self._parts.client.cancel(self._row.address, self._call.attempt)
