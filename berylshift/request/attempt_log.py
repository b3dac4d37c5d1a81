"""The log of one request's attempts: where each went, why, and how it ended."""

from collections.abc import Callable

from berylshift.clock import Clock
from berylshift.connection.target_request import ConnectionUse
from berylshift.scheduling.placement import Placement

PREFILL_PREFIX = "read "
# States of an attempt that is cancelled: without a connection, and without a response.
CONNECTING = "connecting"
OPEN = "open"


class AttemptLog:
    """Attempts of one request, prefills included; at most one is open."""

    def __init__(self, clock: Clock, describe_state: Callable[[], str]):
        """Add ``describe_state()``, as of an attempt's end, to its text."""
        self._clock = clock
        self._describe_state = describe_state
        self._started_at = clock.monotonic()
        self._open: Placement | None = None
        self._prefix = ""
        self._opened_at = 0.0
        self._connection: ConnectionUse | None = None
        self.texts: list[str] = []
        self.outcomes: list[str] = []

    def begin(self, placement: Placement, is_prefill: bool = False) -> float:
        """Begin an attempt; return the time."""
        self._open = placement
        self._prefix = PREFILL_PREFIX if is_prefill else ""
        self._connection = None
        self._opened_at = self._clock.monotonic()
        return self._opened_at

    def on_connected(self, use: ConnectionUse) -> None:
        """Record that the open attempt has a connection."""
        self._connection = use

    def end(self, outcome: str, suffix: str = "") -> None:
        """End the open attempt."""
        placement, self._open = self._open, None
        if placement is not None:
            self.outcomes.append(outcome)
            description = f"{self._prefix}{placement.reason} {outcome}{suffix}"
            self.texts.append(self._text(placement, description))

    def cancel(self) -> None:
        """End the open attempt, if there is one, since its request has ended."""
        self.end(CONNECTING if self._connection is None else OPEN)

    def note(self, text: str) -> None:
        """Add a text of another form."""
        self.texts.append(text)

    def _text(self, placement: Placement, description: str) -> str:
        ms = (self._clock.monotonic() - self._started_at) * 1000
        sent_ms = (self._opened_at - self._started_at) * 1000
        details = (
            f"predicted={placement.seconds * 1000:.0f}ms tokens={placement.tokens}"
            f" again={placement.uncached_prefix_tokens} ahead={placement.queued:.0f}"
        )
        if placement.target.version:
            details += f" version={placement.target.version}"
        if placement.factor != 1.0:
            details += f" factor={placement.factor:.2f}"
        if placement.event_gap is not None:
            details += f" gap={placement.event_gap * 1000:.0f}ms"
        if placement.fetch is not None:
            fetch = placement.fetch
            details += f" fetch={fetch.tokens}@{fetch.source.instance}"
        details += self._describe_state()
        use = self._connection
        if use is not None and use.via is not None:
            details += f" via={use.via}"
        details += f" sent={sent_ms:.0f}ms"
        if use is not None:
            details += f" conn={use.number}/{use.exchanges}"
        return f"{placement.target.instance} {description} {details} {ms:.0f}ms"
