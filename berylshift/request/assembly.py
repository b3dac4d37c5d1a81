"""Assembly of one answer from the chunks of one or more attempts."""

from dataclasses import dataclass, field
from enum import Enum

from berylshift.ids import AttemptId
from berylshift.targets import EngineChunk


class Verdict(Enum):
    """What a chunk means for the answer."""

    MORE = "more"
    WHOLE = "whole"
    FOREIGN = "foreign"
    GAP = "gap"
    SHORT = "short"


@dataclass
class AnswerAssembler:
    """Takes chunks in; keeps the text that may be passed on.

    A pooled connection can deliver the late rest of another attempt, and a resumed
    stream can repeat tokens. The caller would see another caller's text, or text
    twice. So each chunk must name this attempt, and start where the answer ends.
    """

    attempt: AttemptId = AttemptId("")
    texts: list[str] = field(default_factory=list)
    _passed: int = 0

    @property
    def tokens(self) -> int:
        """Return how many tokens the answer has so far."""
        return len(self.texts)

    def begin(self, attempt: AttemptId) -> None:
        """Expect chunks of ``attempt`` from here on."""
        self.attempt = attempt

    def take(self, chunk: EngineChunk) -> Verdict:
        """Add a chunk's new tokens and say what it means."""
        if chunk.attempt != self.attempt:
            return Verdict.FOREIGN
        if chunk.texts:
            if chunk.offset > self.tokens:
                return Verdict.GAP
            self.texts += chunk.texts[self.tokens - chunk.offset :]
        if chunk.end is None:
            return Verdict.MORE
        return Verdict.WHOLE if chunk.end == self.tokens else Verdict.SHORT

    def new_text(self) -> str:
        """Return the text that was not yet passed on, and mark it as passed."""
        text = "".join(self.texts[self._passed :])
        self._passed = len(self.texts)
        return text

    def whole_text(self) -> str:
        """Return all text so far."""
        return "".join(self.texts)
