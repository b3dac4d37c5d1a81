"""A fake model engine: continuous batching by a simple cost model, on any clock."""

import math
import random
from collections import deque
from collections.abc import Callable

from berylshift.ids import AttemptId, Incarnation, OrderNumber
from berylshift.stand_ins.engine_costs import EngineCosts, EngineScript
from berylshift.stand_ins.engine_stream import Stream, StreamState
from berylshift.stand_ins.prefix_cache import PrefixCache
from berylshift.stand_ins.text import (
    block_hashes,
    completion_token_count,
    count_tokens,
    prompt_seed,
)
from berylshift.targets import (
    EngineCall,
    EngineChunk,
    KvSource,
    LoadReport,
    Order,
    OrderKind,
    Role,
    StaleOrderError,
    TargetBusyError,
    TargetRefusedError,
)

MAX_DECODE_PREFILL_TOKENS = 512
REPORT_INTERVAL_SECONDS = 0.1


class FakeEngine:
    """An engine simulated event by event; ``advance`` runs it up to a time."""

    def __init__(
        self,
        name: str,
        address: str,
        cost: EngineCosts | None = None,
        rejects_stale_orders: bool = True,
        model: str = "",
        seed: int = 0,
    ):
        """Start idle, with an empty cache and in the mixed role."""
        self.name = name
        self.address = address
        self.cost = cost or EngineCosts()
        self.rejects_stale_orders = rejects_stale_orders
        self.script = EngineScript()
        self.model = model
        self.version = "1"
        self.role = Role.MIXED
        self.rng = random.Random(seed)
        self.alive = True
        self.order_number = OrderNumber(0)
        self.accepted_orders: list[Order] = []
        self.conflicts = 0
        self.role_changes = 0
        self.cut_by_change = 0
        self.tokens_made = 0
        self.tokens_prefilled = 0
        self.now = 0.0
        self._generation = 1
        self._pending_order: Order | None = None
        self._change_ends_at = 0.0
        self._waiting: deque[Stream] = deque()
        self._importing: list[Stream] = []
        self._running: list[Stream] = []
        self._streams: dict[AttemptId, Stream] = {}
        self._exports: dict[str, int] = {}
        self._prefill_tokens_left = 0.0
        self._iteration_ends_at = 0.0
        self._iteration_seconds = 0.0
        self._planned_iterations = 0
        self._report_history: deque[tuple[float, LoadReport]] = deque()
        cost = self.cost
        self.cache = PrefixCache(
            cost.cache_tokens, cost.cache_lag, cost.cache_gap, self.rng
        )

    # Calls

    def submit(
        self, call: EngineCall, now: float, wake: Callable[[], None] = lambda: None
    ) -> Stream:
        """Queue an attempt, or raise ``TargetRefusedError``."""
        self.advance(now)
        self._check_accepts(call)
        text = call.prompt + call.emitted
        hashes = block_hashes(text)
        size = count_tokens(text)
        uncached = 0 if call.kv else max(1, size - self.cache.cached_tokens(hashes))
        if self.role is Role.DECODE and uncached > MAX_DECODE_PREFILL_TOKENS:
            raise TargetRefusedError("a decode engine was asked to prefill")
        total = completion_token_count(call.prompt, call.max_tokens)
        stream = Stream(
            call=call,
            seed=prompt_seed(call.prompt),
            total_tokens=total,
            uncached_tokens=uncached,
            block_hashes=hashes,
            produced_tokens=min(call.resume_from, total),
            kv_tokens=size + (0 if call.prefill_only else total - call.resume_from),
            wake=wake,
            sent_tokens=min(call.resume_from, total),
        )
        self._streams[call.attempt] = stream
        self._enqueue(stream, now)
        self._truncate_plan()
        self._plan_iterations()
        self._record_report(force=True)
        return stream

    def _check_accepts(self, call: EngineCall) -> None:
        if not self.alive or self._pending_order is not None:
            raise TargetRefusedError("engine is changing or not running")
        if self.role is Role.UNKNOWN:
            raise TargetRefusedError("role is unknown")
        if self.script.fail_fast:
            raise TargetRefusedError("scripted refusal")
        if call.model != self.model:
            raise TargetRefusedError(f"engine serves model {self.model}")
        fits = (self.role is Role.PREFILL) == call.prefill_only
        if self.role is not Role.MIXED and not fits:
            raise TargetRefusedError(f"call does not fit role {self.role}")
        if count_tokens(call.prompt) + call.max_tokens > self.cost.kv_tokens:
            raise TargetRefusedError("prompt and completion exceed the KV cache")
        if len(self._waiting) >= self.cost.max_waiting:
            raise TargetRefusedError("engine queue is full")

    def _enqueue(self, stream: Stream, now: float) -> None:
        if stream.call.kv is not None:
            stream.state = StreamState.IMPORTING
            seconds = stream.call.kv.tokens / self.cost.kv_import_rate
            stream.ready_at = now + seconds
            self._importing.append(stream)
            return
        waiting = self._waiting
        index = len(waiting)
        # The head may already be in prefill, so it keeps its position.
        while index > 1 and waiting[index - 1].call.priority > stream.call.priority:
            index -= 1
        waiting.insert(index, stream)
        if len(waiting) == 1:
            self._start_head_prefill()

    def _start_head_prefill(self) -> None:
        """Start the prefill of the queue's head.

        Its cached prefix is looked up again: while it waited, another prompt may have
        stored the prefix.
        """
        if not self._waiting:
            self._prefill_tokens_left = 0.0
            return
        stream = self._waiting[0]
        size = count_tokens(stream.call.prompt + stream.call.emitted)
        cached = self.cache.cached_tokens(stream.block_hashes)
        stream.uncached_tokens = max(1, size - cached)
        self._prefill_tokens_left = stream.uncached_tokens

    def cancel(self, attempt: AttemptId, now: float) -> None:
        """Cancel an attempt in any state."""
        self.advance(now)
        stream = self._streams.pop(attempt, None)
        if stream is None:
            return
        if self._waiting and self._waiting[0] is stream:
            self._waiting.popleft()
            self._start_head_prefill()
        elif stream in self._waiting:
            self._waiting.remove(stream)
        if stream in self._running:
            self._running.remove(stream)
        if stream in self._importing:
            self._importing.remove(stream)
        self._truncate_plan()
        self._plan_iterations()

    def export_kv(self, handle: str) -> int | None:
        """Release an exported KV cache; return its tokens, or ``None`` if unknown."""
        return self._exports.pop(handle, None)

    # Orders

    def order(self, order: Order, now: float) -> None:
        """Start an ordered change, or raise; the change cuts all running streams."""
        self.advance(now)
        if not self.alive:
            raise TargetRefusedError("engine is not running")
        if (
            self._pending_order is not None
            and self._pending_order.number == order.number
        ):
            return
        if self.rejects_stale_orders:
            if order.number < self.order_number:
                raise StaleOrderError(
                    f"order {order.number} is older than {self.order_number}"
                )
            if self._pending_order is not None:
                raise TargetBusyError("engine is executing another order")
        same = order.number == self.order_number and self._repeats_last_order(order)
        if same and self.role is not Role.UNKNOWN:
            return
        if self._pending_order is not None and not self._pending_order.has_same_goal(
            order
        ):
            self.conflicts += 1
        self._start_change(order, now)

    def _repeats_last_order(self, order: Order) -> bool:
        return bool(self.accepted_orders) and self.accepted_orders[-1].has_same_goal(
            order
        )

    def _start_change(self, order: Order, now: float) -> None:
        self.order_number = OrderNumber(max(self.order_number, order.number))
        self.accepted_orders.append(order)
        self._pending_order = order
        self._change_ends_at = now + self.cost.change_seconds
        for stream in list(self._streams.values()):
            self.cut_by_change += 1
            self._cut_stream(stream)
        self._drop_all()

    def _finish_change(self) -> None:
        order = self._pending_order
        self._pending_order = None
        if order.kind is OrderKind.ROLE:
            self.role_changes += self.role is not order.role
            self.role = order.role
        else:
            self.model, self.version = order.model, order.version

    def is_decoding(self, prompt: str) -> bool:
        """Return whether a stream of ``prompt`` is being decoded."""
        return any(stream.call.prompt == prompt for stream in self._running)

    def decoding_prompts(self) -> list[str]:
        """Return the prompts of the streams that are being decoded."""
        return [stream.call.prompt for stream in self._running]

    # Faults

    def crash(self, now: float) -> None:
        """Stop at once: cut the streams and lose the cache."""
        self.advance(now)
        self.alive = False
        for stream in list(self._streams.values()):
            self._cut_stream(stream)
        self._drop_all()
        self.cache.clear()
        self._report_history.clear()

    def restart(self, now: float) -> None:
        """Restart; a change that the crash interrupted leaves the role unknown."""
        self.advance(now)
        self.alive = True
        self._generation += 1
        if self._pending_order is not None:
            self._pending_order = None
            self.role = Role.UNKNOWN

    def _cut_stream(self, stream: Stream) -> None:
        stream.state = StreamState.CUT
        stream.wake()

    def _drop_all(self) -> None:
        self._waiting.clear()
        self._importing.clear()
        self._running.clear()
        self._streams.clear()
        self._exports.clear()
        self._prefill_tokens_left = 0.0
        self._planned_iterations = 0

    # Reports

    def report(self, now: float) -> LoadReport:
        """Return a report that is as old as the cost model says."""
        self.advance(now)
        self._record_report()
        wanted = now - self.cost.report_lag
        while len(self._report_history) > 1 and self._report_history[1][0] <= wanted:
            self._report_history.popleft()
        at, report = self._report_history[0]
        return LoadReport(
            incarnation=Incarnation(f"{self.name}/{self._generation}"),
            age=now - at,
            role=self.role,
            running=report.running,
            waiting=report.waiting,
            prefill_tokens=report.prefill_tokens,
            kv_tokens=report.kv_tokens,
            order=self.order_number,
            changing=self._pending_order is not None,
            model=self.model,
            version=self.version,
        )

    def _current_report(self) -> LoadReport:
        queued = sum(stream.uncached_tokens for stream in list(self._waiting)[1:])
        return LoadReport(
            incarnation=Incarnation(""),
            age=0.0,
            role=self.role,
            running=len(self._running) + len(self._importing),
            waiting=len(self._waiting),
            prefill_tokens=int(queued + self._prefill_tokens_left),
            kv_tokens=self._kv_used(),
        )

    def _record_report(self, force: bool = False) -> None:
        last = self._report_history[-1][0] if self._report_history else -1.0
        if force or self.now - last >= REPORT_INTERVAL_SECONDS:
            self._report_history.append((self.now, self._current_report()))
            oldest = self.now - 4 * max(self.cost.report_lag, REPORT_INTERVAL_SECONDS)
            while len(self._report_history) > 2 and self._report_history[1][0] < oldest:
                self._report_history.popleft()

    # Event loop

    def next_event(self) -> float | None:
        """Return the time of the next event if no call arrives, or ``None``."""
        times = [stream.ready_at for stream in self._importing]
        if self._pending_order is not None:
            times.append(self._change_ends_at)
        if self._planned_iterations:
            times.append(self._plan_ends_at())
        return min(times, default=None)

    def advance(self, now: float) -> None:
        """Process all events up to ``now``."""
        while (at := self.next_event()) is not None and at <= now:
            self._step(at)
        if self._planned_iterations and now > self.now:
            late = now - self._iteration_ends_at
            self._apply_iterations(math.floor(late / self._iteration_seconds) + 1)
        self.now = max(self.now, now)

    def _plan_ends_at(self) -> float:
        return (
            self._iteration_ends_at
            + (self._planned_iterations - 1) * self._iteration_seconds
        )

    def _step(self, at: float) -> None:
        self.now = max(self.now, at)
        if self._pending_order is not None and self._change_ends_at <= at:
            self._finish_change()
        ready = [stream for stream in self._importing if stream.ready_at <= at]
        for stream in ready:
            self._importing.remove(stream)
            stream.state = StreamState.RUNNING
            self._running.append(stream)
        if self._planned_iterations and self._plan_ends_at() <= at:
            self._apply_iterations(self._planned_iterations)
            self._flush_streams()
        if ready:
            self._truncate_plan()
        self._plan_iterations()
        self._record_report()

    def _plan_iterations(self) -> None:
        """Plan as many iterations as have the same batch and duration."""
        if (
            self._planned_iterations
            or self._pending_order is not None
            or not self.alive
        ):
            return
        if not self._can_prefill_head() and not self._running:
            return
        cost = self.cost
        seconds = 0.0
        limits = [cost.emit_tokens]
        if self._can_prefill_head():
            chunk = min(cost.prefill_chunk, self._prefill_tokens_left)
            seconds += chunk / cost.prefill_rate
            whole = int(self._prefill_tokens_left // cost.prefill_chunk)
            limits.append(max(1, whole))
        if self._running:
            seconds += cost.step_base + cost.step_per_stream * len(self._running)
            limits.append(
                min(
                    stream.total_tokens - stream.produced_tokens
                    for stream in self._running
                )
            )
        self._planned_iterations = max(1, min(limits))
        self._iteration_seconds = max(seconds, 1e-6)
        self._iteration_ends_at = self.now + self._iteration_seconds

    def _can_prefill_head(self) -> bool:
        """Return whether the queue's head has a batch slot and KV memory."""
        if not self._waiting:
            return False
        if len(self._running) + len(self._importing) >= self.cost.max_streams:
            return False
        return self._kv_used() + self._waiting[0].kv_tokens <= self.cost.kv_tokens

    def _kv_used(self) -> int:
        held = sum(stream.kv_tokens for stream in self._running)
        held += sum(stream.kv_tokens for stream in self._importing)
        return held + sum(self._exports.values())

    def _apply_iterations(self, count: int) -> None:
        """Account for ``count`` completed iterations of the plan."""
        count = min(count, self._planned_iterations)
        if count <= 0:
            return
        for stream in self._running:
            stream.produced_tokens = min(
                stream.total_tokens, stream.produced_tokens + count
            )
            self.tokens_made += count
        if self._can_prefill_head():
            done = min(self._prefill_tokens_left, count * self.cost.prefill_chunk)
            self._prefill_tokens_left -= done
            self.tokens_prefilled += done
        self._planned_iterations -= count
        self._iteration_ends_at += count * self._iteration_seconds

    def _truncate_plan(self) -> None:
        """End the plan after the current iteration."""
        self._planned_iterations = min(self._planned_iterations, 1)

    def _flush_streams(self) -> None:
        """Emit tokens, end finished streams, and start decoding a prefilled one."""
        for stream in self._running:
            stream.flush()
        self._remove_ended()
        if (
            self._waiting
            and self._prefill_tokens_left <= 0
            and self._can_prefill_head()
        ):
            stream = self._waiting.popleft()
            self._finish_prefill(stream)
            self._start_head_prefill()

    def _remove_ended(self) -> None:
        for stream in self._running:
            if stream.state is StreamState.ENDED:
                self._streams.pop(stream.call.attempt, None)
        self._running = [s for s in self._running if s.state is StreamState.RUNNING]

    def _finish_prefill(self, stream: Stream) -> None:
        self.cache.store(stream.block_hashes, self.now)
        if stream.call.prefill_only:
            self._export(stream)
            return
        stream.produced_tokens = min(stream.total_tokens, stream.produced_tokens + 1)
        self.tokens_made += 1
        stream.state = StreamState.RUNNING
        stream.flush()
        if stream.state is StreamState.RUNNING:
            self._running.append(stream)
        else:
            self._streams.pop(stream.call.attempt, None)

    def _export(self, stream: Stream) -> None:
        call = stream.call
        self._exports[call.attempt] = stream.kv_tokens
        source = KvSource(self.address, call.attempt, stream.kv_tokens)
        stream.state = StreamState.ENDED
        end = EngineChunk(call.attempt, end=0, kv=source)
        stream.outbox.append(end)
        self._streams.pop(call.attempt, None)
        stream.wake()
