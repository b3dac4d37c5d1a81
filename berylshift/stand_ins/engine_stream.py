"""One attempt at the stand-in engine."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from berylshift.stand_ins.text import token_texts
from berylshift.targets import EngineCall, EngineChunk


class StreamState(Enum):
    """Where a stream stands."""

    WAITING = "waiting"
    IMPORTING = "importing"
    RUNNING = "running"
    ENDED = "ended"
    CUT = "cut"


@dataclass
class Stream:
    """One attempt at the engine, with the chunks not yet taken by its reader."""

    call: EngineCall
    seed: int
    total: int
    uncached: int
    hashes: list[int]
    produced: int
    kv_size: int
    wake: Callable[[], None]
    ready_at: float = 0.0
    state: StreamState = StreamState.WAITING
    outbox: list[EngineChunk] = field(default_factory=list)
    sent: int = 0

    def flush(self) -> None:
        """Move the produced tokens to the outbox."""
        if self.produced > self.sent:
            texts = token_texts(self.seed, self.sent, self.produced - self.sent)
            self.outbox.append(EngineChunk(self.call.attempt, self.sent, texts))
            self.sent = self.produced
        if self.produced == self.total and not self.call.prefill_only:
            self.state = StreamState.ENDED
            self.outbox.append(EngineChunk(self.call.attempt, end=self.total))
        self.wake()
