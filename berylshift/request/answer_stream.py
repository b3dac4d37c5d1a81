"""The answer of one routed request towards its caller, across several sends."""

from berylshift.clock import Clock
from berylshift.connection.responder import Responder
from berylshift.messages.routed import ResponseHead
from berylshift.request.event_splitter import EventSplitter, EventTooLongError


class StreamBrokenError(Exception):
    """The replica's stream can't be passed on any further."""


class AnswerStream:
    """Passes on whole answers, or streams event by event.

    The head goes out with the first whole event: until then another replica may
    still be asked as if nothing had happened.
    """

    def __init__(self, responder: Responder, clock: Clock):
        """Answer through ``responder``."""
        self._responder = responder
        self._clock = clock
        self._head: ResponseHead | None = None
        self._splitter = EventSplitter()
        self.started = False
        self.last_event: bytes | None = None
        self.first_at: float | None = None
        self.longest_pause = 0.0
        self.events = 0
        self._last_at = 0.0

    def bound_writes(self, until: float) -> None:
        """Have no write last beyond ``until`` on the loop's clock."""
        self._responder.late_until = until

    async def whole(self, head: ResponseHead, body: bytes) -> None:
        """Send a whole answer."""
        self.started = True
        await self._responder.full_raw(head.status, list(head.headers), body)

    def open(self, head: ResponseHead) -> None:
        """Take the head of a stream; a resumed one keeps its first head."""
        self._splitter = EventSplitter()
        if self._head is None or not self.started:
            self._head = head

    async def feed(self, data: bytes) -> None:
        """Pass on the events that ``data`` completes."""
        try:
            events = self._splitter.feed(data)
        except EventTooLongError as exc:
            raise StreamBrokenError("an event without end") from exc
        if not events:
            return
        self._note_time()
        self.events += len(events)
        await self._start()
        await self._responder.send(b"".join(event.data for event in events))
        for event in events:
            if event.id is not None:
                self.last_event = event.id

    def _note_time(self) -> None:
        """Keep what callers judge a stream by: its first event and its pauses."""
        now = self._clock.monotonic()
        if self.first_at is None:
            self.first_at = now
        else:
            self.longest_pause = max(self.longest_pause, now - self._last_at)
        self._last_at = now

    async def close(self) -> None:
        """End the stream as complete; raise ``StreamBrokenError`` if it is not."""
        if self._splitter.rest:
            raise StreamBrokenError("the stream ended within an event")
        await self._start()
        await self._responder.end()

    async def _start(self) -> None:
        if self.started or self._head is None:
            return
        self.started = True
        headers = list(self._head.headers)
        await self._responder.start_raw(self._head.status, headers)
