"""The open prefills of the engines that this host is the registrar of."""

from dataclasses import dataclass

from berylshift.messages.load_digest import PrefillTokens, Urgency
from berylshift.messages.prefill_queue import ClosedPrefill, OpenedPrefill

# A prefill whose end is not announced, because the datagram or the host was lost, is
# dropped after this time. Callers leave a stream without a first event after two
# seconds or more.
OPEN_SECONDS = 3.0
# Within this time after its start a registrar may not know all open prefills.
LEARNING_SECONDS = 1.0
# A bound on memory.
MAX_OPEN = 20_000


@dataclass(frozen=True)
class _Open:
    tokens: int
    urgency: Urgency
    opened_at: float


class QueueRegister:
    """Open prefills by engine; times in seconds."""

    def __init__(self, started_at: float):
        """Start empty."""
        self._started_at = started_at
        self._engines: dict[int, dict[int, _Open]] = {}
        self._closed: dict[int, float] = {}
        self._count = 0
        self._swept_at = started_at

    def is_complete(self, now: float) -> bool:
        """Return whether prefills opened before this host's start have ended."""
        return now - self._started_at >= LEARNING_SECONDS

    def open(self, prefill: OpenedPrefill, now: float) -> None:
        """Add a prefill; one that was closed already arrived late and is left out."""
        self._sweep(now)
        if self._closed.pop(prefill.ticket, None) is not None:
            return
        if self._count >= MAX_OPEN:
            return
        prefills = self._engines.setdefault(prefill.target, {})
        if prefill.ticket not in prefills:
            self._count += 1
        prefills[prefill.ticket] = _Open(prefill.tokens, prefill.urgency, now)

    def close(self, prefill: ClosedPrefill, now: float) -> None:
        """Remove a prefill."""
        prefills = self._engines.get(prefill.target, {})
        if prefills.pop(prefill.ticket, None) is not None:
            self._count -= 1
        else:
            self._closed[prefill.ticket] = now

    def tokens(self, target: int, now: float) -> PrefillTokens:
        """Return the open work at an engine, by urgency."""
        found = [0, 0, 0]
        for prefill in self._engines.get(target, {}).values():
            if now - prefill.opened_at < OPEN_SECONDS:
                found[prefill.urgency] += prefill.tokens
        return found[0], found[1], found[2]

    def __len__(self) -> int:
        """Return how many prefills are open."""
        return self._count

    def _sweep(self, now: float) -> None:
        """Drop prefills whose end was not announced."""
        if now - self._swept_at < OPEN_SECONDS:
            return
        self._swept_at = now
        oldest = now - OPEN_SECONDS
        for target, prefills in list(self._engines.items()):
            for ticket, prefill in list(prefills.items()):
                if prefill.opened_at <= oldest:
                    del prefills[ticket]
                    self._count -= 1
            if not prefills:
                del self._engines[target]
        self._closed = {
            ticket: at for ticket, at in self._closed.items() if at > oldest
        }
