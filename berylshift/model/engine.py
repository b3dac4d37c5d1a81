"""A modelled engine: reads prompts piece by piece, answers in steps."""

import heapq
import itertools
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from berylshift.messages.replicas import EnginePhase, Replica
from berylshift.messages.routed import Prompt, ReportedLoad
from berylshift.model.event_queue import EventQueue
from berylshift.model.parameters import EngineFigures
from berylshift.model.prefix_block_cache import KeptParts

Done = Callable[[bool], None]


@dataclass(order=True)
class Reading:
    """A prompt to read; ``done`` is told whether it was read."""

    rank: int
    number: int
    prompt: Prompt = field(compare=False)
    done: Done = field(compare=False)
    read: int = field(default=0, compare=False)


@dataclass
class Stream:
    """An answer that is made; ``event`` is called at each, ``done`` at the end."""

    prompt: Prompt
    events: int
    event: Callable[[], None]
    done: Done
    tokens: int = 0
    cancelled: bool = False


class ModelEngine:
    """One engine, in one phase at a time."""

    def __init__(self, queue: EventQueue, figures: EngineFigures, replica: Replica):
        """Start empty and idle."""
        self._queue = queue
        self._figures = figures
        self.replica = replica
        self.kept = KeptParts(figures.memory_tokens)
        self.slowness = 1.0
        self.alive = True
        self.again_tokens = 0
        self._life = 0
        self._numbers = itertools.count()
        self._readings: list[Reading] = []
        self._reading: Reading | None = None
        self._running: list[Stream] = []
        self._waiting: deque[Stream] = deque()
        self._link_free_at = 0.0
        self._busy = False

    # What is asked of it

    def read(self, prompt: Prompt, rank: int, done: Done) -> None:
        """Read a prompt; the more urgent rank begins first."""
        if not self.alive:
            done(False)
            return
        reading = Reading(rank, next(self._numbers), prompt, done)
        heapq.heappush(self._readings, reading)
        self._go_on()

    def answer(self, stream: Stream, source: Replica | None, rank: int) -> None:
        """Answer a prompt; one without a source is read here first."""
        if not self.alive:
            stream.done(False)
            return
        if source is None:
            self.read(stream.prompt, rank, lambda good: self._start(stream, good))
            return
        seconds = self._move_seconds(stream.prompt, source)
        starts = max(self._queue.monotonic(), self._link_free_at)
        self._link_free_at = starts + seconds
        life = self._life
        self._queue.at(
            self._link_free_at, lambda: self._start(stream, life == self._life)
        )

    def report(self) -> ReportedLoad:
        """Return what it says of its load."""
        running = len(self._running) + (self._reading is not None)
        waiting = len(self._waiting) + len(self._readings)
        return ReportedLoad(running, waiting, self._figures.slots)

    # Faults and phases

    def crash(self) -> None:
        """Lose all work and all kept parts."""
        self.alive = False
        self._life += 1
        readings, self._readings = self._readings, []
        if self._reading is not None:
            readings.append(self._reading)
            self._reading = None
        streams = [*self._running, *self._waiting]
        self._running.clear()
        self._waiting.clear()
        self.kept.clear()
        self._busy = False
        for reading in readings:
            reading.done(False)
        for stream in streams:
            stream.done(False)

    def restart(self, replica: Replica) -> None:
        """Start empty as another instance."""
        self.replica = replica
        self.alive = True

    # Work

    def _move_seconds(self, prompt: Prompt, source: Replica) -> float:
        bits = prompt.tokens * self._figures.kv_bytes * 8
        seconds = self._figures.move_setup + bits / self._figures.link_bits
        return seconds if source.domain == self.replica.domain else 2 * seconds

    def _start(self, stream: Stream, good: bool) -> None:
        if not good or not self.alive:
            stream.done(False)
            return
        self.kept.hold(stream.prompt)
        if len(self._running) < self._figures.slots:
            self._running.append(stream)
        else:
            self._waiting.append(stream)
        self._go_on()

    def _go_on(self) -> None:
        if self._reading is None and self._readings:
            self._begin(heapq.heappop(self._readings))
        if self._busy or not (self._reading or self._running):
            return
        self._busy = True
        seconds = 0.0
        if self._answers:
            seconds += self._step_seconds()
        if self._reading is not None:
            seconds += self._read_piece(self._reading)
        life = self._life
        self._queue.after(
            seconds * self.slowness, lambda: self._end_turn(life == self._life)
        )

    @property
    def _answers(self) -> bool:
        return self.replica.phase is not EnginePhase.PREFILL

    def _step_seconds(self) -> float:
        figures, running = self._figures, self._running
        if not running:
            return 0.0
        context = sum(stream.prompt.tokens for stream in running)
        seconds = figures.step + figures.step_per_running * len(running)
        return seconds + figures.step_per_context_token * context

    def _begin(self, reading: Reading) -> None:
        """Begin a prompt behind what is kept of it."""
        reading.read = min(self.kept.begins(reading.prompt), _most_kept(reading))
        self.again_tokens += max(0, reading.prompt.prefix_tokens - reading.read)
        self._reading = reading

    def _read_piece(self, reading: Reading) -> float:
        """Read on; return the seconds that it takes."""
        figures = self._figures
        piece, rate = figures.piece, figures.read_rate
        if self._answers:
            piece = figures.answer_piece
            rate *= figures.answer_read_factor
        tokens = min(piece, reading.prompt.tokens - reading.read)
        pairs = tokens * (reading.read + tokens / 2)
        reading.read += tokens
        return tokens / rate + pairs * figures.pair_seconds

    def _end_turn(self, good: bool) -> None:
        if not good:
            return
        self._busy = False
        reading = self._reading
        if reading is not None and reading.read >= reading.prompt.tokens:
            self._finish(reading)
        self._step()
        self._go_on()

    def _finish(self, reading: Reading) -> None:
        self._reading = None
        self.kept.hold(reading.prompt)
        life = self._life
        self._queue.after(
            self._figures.read_latency * self.slowness,
            lambda: reading.done(life == self._life),
        )

    def _step(self) -> None:
        """Give each running stream a token."""
        if not self._answers:
            return
        for stream in list(self._running):
            if stream.cancelled:
                self._running.remove(stream)
                continue
            stream.tokens += 1
            if (stream.tokens - 1) % self._figures.tokens_per_event == 0:
                stream.event()
            if stream.tokens > (stream.events - 1) * self._figures.tokens_per_event:
                self._running.remove(stream)
                stream.done(True)
        while self._waiting and len(self._running) < self._figures.slots:
            self._running.append(self._waiting.popleft())


def _most_kept(reading: Reading) -> int:
    """Return the tokens that may be taken as read: the last one is always read."""
    return reading.prompt.tokens - 1
