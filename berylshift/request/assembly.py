"""Assembles one completion from the chunks of one or more attempts."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from berylshift.ids import AttemptId
from berylshift.targets import EngineChunk


class ChunkStatus(Enum):
    """Status of the completion after a chunk."""

    INCOMPLETE = "more"
    COMPLETE = "whole"
    OTHER_ATTEMPT = "foreign"
    GAP = "gap"
    TRUNCATED = "short"


@dataclass
class ResponseAssembler:
    """Collects chunks and the text that may be forwarded.

    A pooled connection can deliver late chunks of another attempt, and a resumed stream
    can repeat tokens. The caller would see another caller's text, or text twice. So
    each chunk must name the current attempt, and must not leave a gap; tokens that are
    already there are skipped.
    """

    attempt: AttemptId = AttemptId("")
    texts: list[str] = field(default_factory=list)
    _delivered: int = 0

    @property
    def tokens(self) -> int:
        """Return how many tokens have been received."""
        return len(self.texts)

    def begin_attempt(self, attempt: AttemptId) -> None:
        """Accept only chunks of ``attempt`` from here on."""
        self.attempt = attempt

    def check(self, attempt: AttemptId, chunks: Iterable[EngineChunk]) -> ChunkStatus:
        """Return the status after ``chunks``, if ``attempt`` goes on; add nothing."""
        tokens = self.tokens
        for chunk in chunks:
            if chunk.attempt != attempt:
                return ChunkStatus.OTHER_ATTEMPT
            if chunk.texts:
                if chunk.offset > tokens:
                    return ChunkStatus.GAP
                tokens = max(tokens, chunk.offset + len(chunk.texts))
            if chunk.end is not None:
                is_whole = chunk.end == tokens
                return ChunkStatus.COMPLETE if is_whole else ChunkStatus.TRUNCATED
        return ChunkStatus.INCOMPLETE

    def add(self, chunk: EngineChunk) -> ChunkStatus:
        """Add a chunk's new tokens and return the resulting status."""
        status = self.check(self.attempt, [chunk])
        if status not in (ChunkStatus.OTHER_ATTEMPT, ChunkStatus.GAP):
            self.texts += chunk.texts[self.tokens - chunk.offset :]
        return status

    def add_all(self, chunks: Iterable[EngineChunk]) -> ChunkStatus:
        """Add chunks that were checked, and return the resulting status."""
        status = ChunkStatus.INCOMPLETE
        for chunk in chunks:
            status = self.add(chunk)
            if status is ChunkStatus.COMPLETE:
                break
        return status

    def take_new_text(self) -> str:
        """Return the text that was not yet forwarded, and mark it as forwarded."""
        text = "".join(self.texts[self._delivered :])
        self._delivered = len(self.texts)
        return text

    def full_text(self) -> str:
        """Return all text received so far."""
        return "".join(self.texts)
