"""The log of one request's attempts: where each went, why, and how it ended."""

from collections.abc import Callable

from berylshift.clock import Clock
from berylshift.connection.target_request import ConnectionUse
from berylshift.scheduling.placement import Placement

PREFILL_PREFIX = "read "
# An attempt that is made beside an overdue one.
HEDGE_PREFIX = "hedge "
# States of an attempt that is cancelled: without a connection, and without a response.
CONNECTING = "connecting"
OPEN = "open"


class LoggedAttempt:
    """An open attempt in the log."""

    def __init__(self, placement: Placement, prefix: str, sent_at: float):
        """Log an attempt sent at ``sent_at``, in monotonic seconds."""
        self.placement = placement
        self.prefix = prefix
        self.sent_at = sent_at
        self.connection: ConnectionUse | None = None

    def on_connected(self, use: ConnectionUse) -> None:
        """Record that it has a connection."""
        self.connection = use


class AttemptLog:
    """Attempts of one request, prefills included; several may be open."""

    def __init__(self, clock: Clock, describe_state: Callable[[], str]):
        """Add ``describe_state()``, as of an attempt's end, to its text."""
        self._clock = clock
        self._describe_state = describe_state
        self._started_at = clock.monotonic()
        self._open: list[LoggedAttempt] = []
        self.texts: list[str] = []
        self.outcomes: list[str] = []

    def begin(self, placement: Placement, is_prefill: bool = False) -> LoggedAttempt:
        """Begin an attempt."""
        prefix = HEDGE_PREFIX if self._open else ""
        if is_prefill:
            prefix = PREFILL_PREFIX
        attempt = LoggedAttempt(placement, prefix, self._clock.monotonic())
        self._open.append(attempt)
        return attempt

    def end(self, attempt: LoggedAttempt, outcome: str, suffix: str = "") -> None:
        """End an attempt."""
        if attempt in self._open:
            self._open.remove(attempt)
            self.outcomes.append(outcome)
            reason = attempt.placement.reason
            description = f"{attempt.prefix}{reason} {outcome}{suffix}"
            self.texts.append(self._text(attempt, description))

    def cancel(self) -> None:
        """End the open attempts, since their request has ended."""
        for attempt in list(self._open):
            self.end(attempt, CONNECTING if attempt.connection is None else OPEN)

    def note(self, text: str) -> None:
        """Add a text of another form."""
        self.texts.append(text)

    def _text(self, attempt: LoggedAttempt, description: str) -> str:
        placement = attempt.placement
        ms = (self._clock.monotonic() - self._started_at) * 1000
        sent_ms = (attempt.sent_at - self._started_at) * 1000
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
        use = attempt.connection
        if use is not None and use.via is not None:
            details += f" via={use.via}"
        details += f" sent={sent_ms:.0f}ms"
        if use is not None:
            details += f" conn={use.number}/{use.exchanges}"
        return f"{placement.target.instance} {description} {details} {ms:.0f}ms"
