"""The output stream of one attempt at the fake engine."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from berylshift.stand_ins.text import token_texts
from berylshift.targets import EngineCall, EngineChunk


class StreamState(Enum):
    """The state of a stream."""

    WAITING = "waiting"
    IMPORTING = "importing"
    RUNNING = "running"
    ENDED = "ended"
    CUT = "cut"


@dataclass
class Stream:
    """One attempt at the engine, with the chunks that its reader has not fetched."""

    call: EngineCall
    seed: int
    total_tokens: int
    uncached_tokens: int
    block_hashes: list[int]
    produced_tokens: int
    kv_tokens: int
    wake: Callable[[], None]
    ready_at: float = 0.0
    state: StreamState = StreamState.WAITING
    outbox: list[EngineChunk] = field(default_factory=list)
    sent_tokens: int = 0

    def flush(self) -> None:
        """Move the produced tokens to the outbox; end a stream that has all of them."""
        if self.produced_tokens > self.sent_tokens:
            texts = token_texts(
                self.seed, self.sent_tokens, self.produced_tokens - self.sent_tokens
            )
            self.outbox.append(EngineChunk(self.call.attempt, self.sent_tokens, texts))
            self.sent_tokens = self.produced_tokens
        if self.produced_tokens == self.total_tokens and not self.call.prefill_only:
            self.state = StreamState.ENDED
            self.outbox.append(EngineChunk(self.call.attempt, end=self.total_tokens))
        self.wake()
