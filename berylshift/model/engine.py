"""A simulated engine: prefills prompts in chunks and decodes streams in steps."""

import heapq
import itertools
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from berylshift.messages.replicas import EnginePhase, Replica
from berylshift.messages.routed import Prompt, ReportedLoad
from berylshift.model.event_queue import EventQueue
from berylshift.model.parameters import EngineParameters
from berylshift.model.prefix_block_cache import PrefixBlockCache

DoneCallback = Callable[[bool], None]


@dataclass(order=True)
class PrefillTask:
    """A prompt to prefill; ``on_done`` gets whether the prefill succeeded."""

    rank: int
    number: int
    prompt: Prompt = field(compare=False)
    on_done: DoneCallback = field(compare=False)
    prefilled_tokens: int = field(default=0, compare=False)


@dataclass
class Stream:
    """A response being decoded.

    ``on_event`` is called for each event, ``on_done`` at the end with its success.
    """

    prompt: Prompt
    event_count: int
    on_event: Callable[[], None]
    on_done: DoneCallback
    tokens: int = 0
    cancelled: bool = False


class ModelEngine:
    """One engine, which has one phase at a time."""

    def __init__(
        self, queue: EventQueue, parameters: EngineParameters, replica: Replica
    ):
        """Start idle, with an empty cache."""
        self._queue = queue
        self._parameters = parameters
        self.replica = replica
        self.cache = PrefixBlockCache(parameters.kv_capacity_tokens)
        self.slowdown = 1.0
        self.alive = True
        self.again_tokens = 0
        self._incarnation = 0
        self._numbers = itertools.count()
        self._prefill_queue: list[PrefillTask] = []
        self._current_prefill: PrefillTask | None = None
        self._running: list[Stream] = []
        self._waiting: deque[Stream] = deque()
        self._link_free_at = 0.0
        self._step_scheduled = False

    # Calls

    def prefill(self, prompt: Prompt, rank: int, on_done: DoneCallback) -> None:
        """Queue a prompt for prefill; lower ranks start first."""
        if not self.alive:
            on_done(False)
            return
        task = PrefillTask(rank, next(self._numbers), prompt, on_done)
        heapq.heappush(self._prefill_queue, task)
        self._schedule_step()

    def decode(self, stream: Stream, source: Replica | None, rank: int) -> None:
        """Decode a prompt's response; without a source, prefill it here first."""
        if not self.alive:
            stream.on_done(False)
            return
        if source is None:
            self.prefill(
                stream.prompt,
                rank,
                lambda succeeded: self._start_decode(stream, succeeded),
            )
            return
        seconds = self._kv_transfer_seconds(stream.prompt, source)
        starts_at = max(self._queue.monotonic(), self._link_free_at)
        self._link_free_at = starts_at + seconds
        incarnation = self._incarnation
        self._queue.call_at(
            self._link_free_at,
            lambda: self._start_decode(stream, incarnation == self._incarnation),
        )

    def report(self) -> ReportedLoad:
        """Return the load that the engine reports."""
        running = len(self._running) + (self._current_prefill is not None)
        waiting = len(self._waiting) + len(self._prefill_queue)
        return ReportedLoad(running, waiting, self._parameters.slots)

    # Faults and phases

    def crash(self) -> None:
        """Fail all work and lose the cache."""
        self.alive = False
        self._incarnation += 1
        tasks, self._prefill_queue = self._prefill_queue, []
        if self._current_prefill is not None:
            tasks.append(self._current_prefill)
            self._current_prefill = None
        streams = [*self._running, *self._waiting]
        self._running.clear()
        self._waiting.clear()
        self.cache.clear()
        self._step_scheduled = False
        for task in tasks:
            task.on_done(False)
        for stream in streams:
            stream.on_done(False)

    def restart(self, replica: Replica) -> None:
        """Restart empty as another instance."""
        self.replica = replica
        self.alive = True

    # Work

    def _kv_transfer_seconds(self, prompt: Prompt, source: Replica) -> float:
        bits = prompt.tokens * self._parameters.kv_bytes_per_token * 8
        seconds = (
            self._parameters.kv_transfer_setup_seconds
            + bits / self._parameters.link_bits_per_second
        )
        return seconds if source.domain == self.replica.domain else 2 * seconds

    def _start_decode(self, stream: Stream, succeeded: bool) -> None:
        if not succeeded or not self.alive:
            stream.on_done(False)
            return
        self.cache.store(stream.prompt)
        if len(self._running) < self._parameters.slots:
            self._running.append(stream)
        else:
            self._waiting.append(stream)
        self._schedule_step()

    def _schedule_step(self) -> None:
        if self._current_prefill is None and self._prefill_queue:
            self._begin_prefill(heapq.heappop(self._prefill_queue))
        if self._step_scheduled or not (self._current_prefill or self._running):
            return
        self._step_scheduled = True
        seconds = 0.0
        if self._is_decoding_engine:
            seconds += self._decode_step_seconds()
        if self._current_prefill is not None:
            seconds += self._prefill_chunk(self._current_prefill)
        incarnation = self._incarnation
        self._queue.call_after(
            seconds * self.slowdown,
            lambda: self._end_step(incarnation == self._incarnation),
        )

    @property
    def _is_decoding_engine(self) -> bool:
        return self.replica.phase is not EnginePhase.PREFILL

    def _decode_step_seconds(self) -> float:
        parameters, running = self._parameters, self._running
        if not running:
            return 0.0
        context = sum(stream.prompt.tokens for stream in running)
        seconds = parameters.step_seconds + parameters.step_seconds_per_stream * len(
            running
        )
        return seconds + parameters.step_seconds_per_context_token * context

    def _begin_prefill(self, task: PrefillTask) -> None:
        """Start a prefill after the prompt's cached prefix."""
        task.prefilled_tokens = min(
            self.cache.cached_prefix_tokens(task.prompt), _max_cached_tokens(task)
        )
        self.again_tokens += max(0, task.prompt.prefix_tokens - task.prefilled_tokens)
        self._current_prefill = task

    def _prefill_chunk(self, task: PrefillTask) -> float:
        """Prefill the next chunk; return its duration in seconds."""
        parameters = self._parameters
        chunk_tokens, rate = (
            parameters.prefill_chunk_tokens,
            parameters.prefill_tokens_per_second,
        )
        if self._is_decoding_engine:
            chunk_tokens = parameters.decode_engine_chunk_tokens
            rate *= parameters.decode_engine_prefill_factor
        tokens = min(chunk_tokens, task.prompt.tokens - task.prefilled_tokens)
        attention_pairs = tokens * (task.prefilled_tokens + tokens / 2)
        task.prefilled_tokens += tokens
        return tokens / rate + attention_pairs * parameters.attention_pair_seconds

    def _end_step(self, succeeded: bool) -> None:
        if not succeeded:
            return
        self._step_scheduled = False
        task = self._current_prefill
        if task is not None and task.prefilled_tokens >= task.prompt.tokens:
            self._finish_prefill(task)
        self._decode_step()
        self._schedule_step()

    def _finish_prefill(self, task: PrefillTask) -> None:
        self._current_prefill = None
        self.cache.store(task.prompt)
        incarnation = self._incarnation
        self._queue.call_after(
            self._parameters.prefill_latency_seconds * self.slowdown,
            lambda: task.on_done(incarnation == self._incarnation),
        )

    def _decode_step(self) -> None:
        """Produce one token for each running stream."""
        if not self._is_decoding_engine:
            return
        for stream in list(self._running):
            if stream.cancelled:
                self._running.remove(stream)
                continue
            stream.tokens += 1
            if (stream.tokens - 1) % self._parameters.tokens_per_event == 0:
                stream.on_event()
            if (
                stream.tokens
                > (stream.event_count - 1) * self._parameters.tokens_per_event
            ):
                self._running.remove(stream)
                stream.on_done(True)
        while self._waiting and len(self._running) < self._parameters.slots:
            self._running.append(self._waiting.popleft())


def _max_cached_tokens(task: PrefillTask) -> int:
    """Return how many cached tokens may be used: the last token is always computed."""
    return task.prompt.tokens - 1
