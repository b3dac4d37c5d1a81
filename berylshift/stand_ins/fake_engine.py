"""A model engine on any clock: continuous batching by a simple cost model."""

import math
import random
from collections import deque
from collections.abc import Callable

from berylshift.ids import AttemptId, Incarnation, OrderNumber
from berylshift.stand_ins.engine_costs import EngineCosts, EngineScript
from berylshift.stand_ins.engine_stream import Stream, StreamState
from berylshift.stand_ins.prefix_cache import PrefixCache
from berylshift.stand_ins.text import (
    answer_tokens,
    block_hashes,
    prompt_seed,
    prompt_tokens,
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

DECODE_PREFILL_TOKENS = 512
SNAPSHOT_SECONDS = 0.1


class FakeEngine:
    """State of an engine: ``advance`` runs it up to a time."""

    def __init__(
        self,
        name: str,
        address: str,
        cost: EngineCosts | None = None,
        refuses_old: bool = True,
        model: str = "",
        seed: int = 0,
    ):
        """Start empty and in the mixed role."""
        self.name = name
        self.address = address
        self.cost = cost or EngineCosts()
        self.refuses_old = refuses_old
        self.script = EngineScript()
        self.model = model
        self.version = "1"
        self.role = Role.MIXED
        self.rng = random.Random(seed)
        self.alive = True
        self.order_number = OrderNumber(0)
        self.orders_taken: list[Order] = []
        self.conflicts = 0
        self.role_changes = 0
        self.cut_by_change = 0
        self.tokens_made = 0
        self.tokens_prefilled = 0
        self.now = 0.0
        self._generation = 1
        self._held: Order | None = None
        self._change_ends = 0.0
        self._waiting: deque[Stream] = deque()
        self._importing: list[Stream] = []
        self._running: list[Stream] = []
        self._streams: dict[AttemptId, Stream] = {}
        self._exports: dict[str, int] = {}
        self._prefill_left = 0.0
        self._iteration_ends = 0.0
        self._iteration_seconds = 0.0
        self._iterations = 0
        self._reports: deque[tuple[float, LoadReport]] = deque()
        cost = self.cost
        self.cache = PrefixCache(
            cost.cache_tokens, cost.cache_lag, cost.cache_gap, self.rng
        )

    # Calls

    def submit(
        self, call: EngineCall, now: float, wake: Callable[[], None] = lambda: None
    ) -> Stream:
        """Take an attempt, or raise ``TargetRefusedError``."""
        self.advance(now)
        self._check_takes(call)
        text = call.prompt + call.emitted
        hashes = block_hashes(text)
        size = prompt_tokens(text)
        uncached = 0 if call.kv else max(1, size - self.cache.cached_tokens(hashes))
        if self.role is Role.DECODE and uncached > DECODE_PREFILL_TOKENS:
            raise TargetRefusedError("a decode engine was asked to prefill")
        total = answer_tokens(call.prompt, call.max_tokens)
        stream = Stream(
            call=call,
            seed=prompt_seed(call.prompt),
            total=total,
            uncached=uncached,
            hashes=hashes,
            produced=min(call.resume_from, total),
            kv_size=size + (0 if call.prefill_only else total - call.resume_from),
            wake=wake,
            sent=min(call.resume_from, total),
        )
        self._streams[call.attempt] = stream
        self._enter(stream, now)
        self._truncate()
        self._plan()
        self._snapshot(force=True)
        return stream

    def _check_takes(self, call: EngineCall) -> None:
        if not self.alive or self._held is not None:
            raise TargetRefusedError("changing or not up")
        if self.role is Role.UNKNOWN:
            raise TargetRefusedError("role is unknown")
        if self.script.fail_fast:
            raise TargetRefusedError("scripted refusal")
        if call.model != self.model:
            raise TargetRefusedError(f"serves {self.model}")
        fits = (self.role is Role.PREFILL) == call.prefill_only
        if self.role is not Role.MIXED and not fits:
            raise TargetRefusedError(f"wrong call for role {self.role}")
        if prompt_tokens(call.prompt) + call.max_tokens > self.cost.kv_tokens:
            raise TargetRefusedError("prompt and answer do not fit")
        if len(self._waiting) >= self.cost.max_waiting:
            raise TargetRefusedError("queue is full")

    def _enter(self, stream: Stream, now: float) -> None:
        if stream.call.kv is not None:
            stream.state = StreamState.IMPORTING
            seconds = stream.call.kv.tokens / self.cost.kv_import_rate
            stream.ready_at = now + seconds
            self._importing.append(stream)
            return
        waiting = self._waiting
        place = len(waiting)
        # The head may be in mid-prefill and keeps its place.
        while place > 1 and waiting[place - 1].call.priority > stream.call.priority:
            place -= 1
        waiting.insert(place, stream)
        if len(waiting) == 1:
            self._begin_head()

    def _begin_head(self) -> None:
        """Begin the prefill of the queue's head.

        Its prefix is looked up now: while it waited, another prompt may have
        brought the prefix into the cache.
        """
        if not self._waiting:
            self._prefill_left = 0.0
            return
        stream = self._waiting[0]
        size = prompt_tokens(stream.call.prompt + stream.call.emitted)
        cached = self.cache.cached_tokens(stream.hashes)
        stream.uncached = max(1, size - cached)
        self._prefill_left = stream.uncached

    def cancel(self, attempt: AttemptId, now: float) -> None:
        """Stop an attempt, wherever it stands."""
        self.advance(now)
        stream = self._streams.pop(attempt, None)
        if stream is None:
            return
        if self._waiting and self._waiting[0] is stream:
            self._waiting.popleft()
            self._begin_head()
        elif stream in self._waiting:
            self._waiting.remove(stream)
        if stream in self._running:
            self._running.remove(stream)
        if stream in self._importing:
            self._importing.remove(stream)
        self._truncate()
        self._plan()

    def export_kv(self, handle: str) -> int | None:
        """Hand out an exported KV cache once; return its tokens."""
        return self._exports.pop(handle, None)

    # Orders

    def order(self, order: Order, now: float) -> None:
        """Take an order, or raise; the change cuts whatever runs here."""
        self.advance(now)
        if not self.alive:
            raise TargetRefusedError("not up")
        if self._held is not None and self._held.number == order.number:
            return
        if self.refuses_old:
            if order.number < self.order_number:
                raise StaleOrderError(f"{order.number} < {self.order_number}")
            if self._held is not None:
                raise TargetBusyError("carrying out another order")
        same = order.number == self.order_number and self._last_same(order)
        if same and self.role is not Role.UNKNOWN:
            return
        if self._held is not None and not self._held.has_same_goal(order):
            self.conflicts += 1
        self._begin_change(order, now)

    def _last_same(self, order: Order) -> bool:
        return bool(self.orders_taken) and self.orders_taken[-1].has_same_goal(order)

    def _begin_change(self, order: Order, now: float) -> None:
        self.order_number = OrderNumber(max(self.order_number, order.number))
        self.orders_taken.append(order)
        self._held = order
        self._change_ends = now + self.cost.change_seconds
        for stream in list(self._streams.values()):
            self.cut_by_change += 1
            self._cut(stream)
        self._drop_all()

    def _finish_change(self) -> None:
        order = self._held
        self._held = None
        if order.kind is OrderKind.ROLE:
            self.role_changes += self.role is not order.role
            self.role = order.role
        else:
            self.model, self.version = order.model, order.version

    def runs(self, prompt: str) -> bool:
        """Return whether a stream of a prompt is being decoded."""
        return any(stream.call.prompt == prompt for stream in self._running)

    # Faults

    def crash(self, now: float) -> None:
        """Stop at once: streams are cut, the cache is lost."""
        self.advance(now)
        self.alive = False
        for stream in list(self._streams.values()):
            self._cut(stream)
        self._drop_all()
        self.cache.clear()
        self._reports.clear()

    def restart(self, now: float) -> None:
        """Come back; a change under way leaves the role unknown."""
        self.advance(now)
        self.alive = True
        self._generation += 1
        if self._held is not None:
            self._held = None
            self.role = Role.UNKNOWN

    def _cut(self, stream: Stream) -> None:
        stream.state = StreamState.CUT
        stream.wake()

    def _drop_all(self) -> None:
        self._waiting.clear()
        self._importing.clear()
        self._running.clear()
        self._streams.clear()
        self._exports.clear()
        self._prefill_left = 0.0
        self._iterations = 0

    # Reports

    def report(self, now: float) -> LoadReport:
        """Return a report that is as old as the cost model says."""
        self.advance(now)
        self._snapshot()
        wanted = now - self.cost.report_lag
        while len(self._reports) > 1 and self._reports[1][0] <= wanted:
            self._reports.popleft()
        at, report = self._reports[0]
        return LoadReport(
            incarnation=Incarnation(f"{self.name}/{self._generation}"),
            age=now - at,
            role=self.role,
            running=report.running,
            waiting=report.waiting,
            prefill_tokens=report.prefill_tokens,
            kv_tokens=report.kv_tokens,
            order=self.order_number,
            changing=self._held is not None,
            model=self.model,
            version=self.version,
        )

    def _state(self) -> LoadReport:
        queued = sum(stream.uncached for stream in list(self._waiting)[1:])
        return LoadReport(
            incarnation=Incarnation(""),
            age=0.0,
            role=self.role,
            running=len(self._running) + len(self._importing),
            waiting=len(self._waiting),
            prefill_tokens=int(queued + self._prefill_left),
            kv_tokens=self._kv_used(),
        )

    def _snapshot(self, force: bool = False) -> None:
        last = self._reports[-1][0] if self._reports else -1.0
        if force or self.now - last >= SNAPSHOT_SECONDS:
            self._reports.append((self.now, self._state()))
            oldest = self.now - 4 * max(self.cost.report_lag, SNAPSHOT_SECONDS)
            while len(self._reports) > 2 and self._reports[1][0] < oldest:
                self._reports.popleft()

    # Running

    def next_event(self) -> float | None:
        """Return when something happens next, if nothing comes in."""
        times = [stream.ready_at for stream in self._importing]
        if self._held is not None:
            times.append(self._change_ends)
        if self._iterations:
            times.append(self._batch_ends())
        return min(times, default=None)

    def advance(self, now: float) -> None:
        """Run up to ``now``."""
        while (at := self.next_event()) is not None and at <= now:
            self._step(at)
        if self._iterations and now > self.now:
            late = now - self._iteration_ends
            self._apply(math.floor(late / self._iteration_seconds) + 1)
        self.now = max(self.now, now)

    def _batch_ends(self) -> float:
        return self._iteration_ends + (self._iterations - 1) * self._iteration_seconds

    def _step(self, at: float) -> None:
        self.now = max(self.now, at)
        if self._held is not None and self._change_ends <= at:
            self._finish_change()
        ready = [stream for stream in self._importing if stream.ready_at <= at]
        for stream in ready:
            self._importing.remove(stream)
            stream.state = StreamState.RUNNING
            self._running.append(stream)
        if self._iterations and self._batch_ends() <= at:
            self._apply(self._iterations)
            self._settle()
        if ready:
            self._truncate()
        self._plan()
        self._snapshot()

    def _plan(self) -> None:
        """Plan as many equal iterations as pass before something changes."""
        if self._iterations or self._held is not None or not self.alive:
            return
        if not self._prefills() and not self._running:
            return
        cost = self.cost
        seconds = 0.0
        bounds = [cost.emit_tokens]
        if self._prefills():
            chunk = min(cost.prefill_chunk, self._prefill_left)
            seconds += chunk / cost.prefill_rate
            whole = int(self._prefill_left // cost.prefill_chunk)
            bounds.append(max(1, whole))
        if self._running:
            seconds += cost.step_base + cost.step_per_stream * len(self._running)
            bounds.append(
                min(stream.total - stream.produced for stream in self._running)
            )
        self._iterations = max(1, min(bounds))
        self._iteration_seconds = max(seconds, 1e-6)
        self._iteration_ends = self.now + self._iteration_seconds

    def _prefills(self) -> bool:
        """Return whether the head of the queue can be in prefill."""
        if not self._waiting:
            return False
        if len(self._running) + len(self._importing) >= self.cost.max_streams:
            return False
        return self._kv_used() + self._waiting[0].kv_size <= self.cost.kv_tokens

    def _kv_used(self) -> int:
        held = sum(stream.kv_size for stream in self._running)
        held += sum(stream.kv_size for stream in self._importing)
        return held + sum(self._exports.values())

    def _apply(self, count: int) -> None:
        """Account for ``count`` iterations of the plan that are over."""
        count = min(count, self._iterations)
        if count <= 0:
            return
        for stream in self._running:
            stream.produced = min(stream.total, stream.produced + count)
            self.tokens_made += count
        if self._prefills():
            done = min(self._prefill_left, count * self.cost.prefill_chunk)
            self._prefill_left -= done
            self.tokens_prefilled += done
        self._iterations -= count
        self._iteration_ends += count * self._iteration_seconds

    def _truncate(self) -> None:
        """Let the iteration under way be the last one of its plan."""
        self._iterations = min(self._iterations, 1)

    def _settle(self) -> None:
        """Emit tokens, end streams, move a prefilled stream on."""
        for stream in self._running:
            stream.flush()
        self._forget_ended()
        if self._waiting and self._prefill_left <= 0 and self._prefills():
            stream = self._waiting.popleft()
            self._prefilled(stream)
            self._begin_head()

    def _forget_ended(self) -> None:
        for stream in self._running:
            if stream.state is StreamState.ENDED:
                self._streams.pop(stream.call.attempt, None)
        self._running = [s for s in self._running if s.state is StreamState.RUNNING]

    def _prefilled(self, stream: Stream) -> None:
        self.cache.store(stream.hashes, self.now)
        if stream.call.prefill_only:
            self._export(stream)
            return
        stream.produced = min(stream.total, stream.produced + 1)
        self.tokens_made += 1
        stream.state = StreamState.RUNNING
        stream.flush()
        if stream.state is StreamState.RUNNING:
            self._running.append(stream)
        else:
            self._streams.pop(stream.call.attempt, None)

    def _export(self, stream: Stream) -> None:
        call = stream.call
        self._exports[call.attempt] = stream.kv_size
        source = KvSource(self.address, call.attempt, stream.kv_size)
        stream.state = StreamState.ENDED
        end = EngineChunk(call.attempt, end=0, kv=source)
        stream.outbox.append(end)
        self._streams.pop(call.attempt, None)
        stream.wake()
