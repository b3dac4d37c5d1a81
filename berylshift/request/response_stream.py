"""The response of one routed request to its caller, across several attempts."""

from collections.abc import Callable

from berylshift.clock import Clock
from berylshift.connection.responder import Responder
from berylshift.messages.routed import ResponseHead
from berylshift.request.event_splitter import StreamEvent, is_later


class ResponseStream:
    """Forwards complete responses, and streams event by event.

    The head of a stream is sent with the first complete event: until then, the request
    can be retried at another replica without the caller noticing.
    """

    def __init__(self, responder: Responder, clock: Clock):
        """Write to ``responder``."""
        self._responder = responder
        self._clock = clock
        self._head: ResponseHead | None = None
        # Called before the first event is forwarded.
        self.on_first_event: Callable[[], None] = lambda: None
        self.started = False
        # The version of the weights that the last event is made with, if it is known.
        self.weights: int | None = None
        self.last_event_id: bytes | None = None
        # Whether ``last_event_id`` names the last event that was forwarded, and no
        # other one.
        self.is_resumable = True
        self.first_event_at: float | None = None
        self.longest_pause_seconds = 0.0
        self.events = 0
        self.last_event_at = 0.0

    def limit_writes(self, until: float) -> None:
        """Let no write last beyond ``until`` on the event loop's clock."""
        self._responder.write_deadline = until

    async def send_full(self, head: ResponseHead, body: bytes) -> None:
        """Send a complete response."""
        self.started = True
        await self._responder.full_raw(head.status, list(head.headers), body)

    def set_head(self, head: ResponseHead) -> None:
        """Set the head of a stream; a resumed stream keeps its first head."""
        if self._head is None or not self.started:
            self._head = head
            self.weights = head.weights

    def is_other_status(self, status: int) -> bool:
        """Return whether a stream has begun with another status."""
        return self.started and self._head is not None and self._head.status != status

    async def send_events(self, events: list[StreamEvent]) -> None:
        """Forward one or more complete events."""
        self._record_event_time()
        if not self.started:
            self.on_first_event()
        self.events += len(events)
        await self._start()
        await self._responder.send(b"".join(event.data for event in events))
        for event in events:
            self._record_id(event)

    def _record_id(self, event: StreamEvent) -> None:
        """Record after which event the stream may be resumed."""
        if event.id is None:
            self.is_resumable = self.is_resumable and not event.is_dispatched
            return
        last, self.last_event_id = self.last_event_id, event.id
        self.is_resumable = last is None or is_later(event.id, last)

    def _record_event_time(self) -> None:
        """Record the time of the first event and the longest pause between events."""
        now = self._clock.monotonic()
        if self.first_event_at is None:
            self.first_event_at = now
        else:
            self.longest_pause_seconds = max(
                self.longest_pause_seconds, now - self.last_event_at
            )
        self.last_event_at = now

    async def close(self, rest: bytes = b"") -> None:
        """End the stream; ``rest`` are comments and blank lines after its events."""
        await self._start()
        if rest:
            await self._responder.send(rest)
        await self._responder.end()

    async def _start(self) -> None:
        if self.started or self._head is None:
            return
        self.started = True
        headers = list(self._head.headers)
        await self._responder.start_raw(self._head.status, headers)
