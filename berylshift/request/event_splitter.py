"""Splits a byte stream into complete server-sent events."""

import re

import msgspec

# The largest incomplete event that is buffered.
MAX_EVENT_BYTES = 1 << 20
# Pieces in which one event may arrive: each costs time, however small it is.
MAX_EVENT_PIECES = 16384
# The longest id that is sent to a replica, in a header.
MAX_ID_BYTES = 256
# Text that may be sent as a header value.
SENDABLE_ID = re.compile(rb"[\x21-\x7e\x80-\xff]([\x20-\x7e\x80-\xff]*)")
# The end of a line and a blank line; lines end with LF, CR LF or CR.
EVENT_END = re.compile(rb"\n\r?\n|\r\r")
# The same in a stream that has a LF: a CR alone may be a part of its data there.
LINE_FEED_EVENT_END = re.compile(rb"\n\r?\n")
# A line that is neither blank nor a comment.
FIELD_LINE = re.compile(rb"(?<![^\r\n])[^:\r\n]")


class StreamEvent(msgspec.Struct, frozen=True):
    """One complete event as sent, with its blank line.

    Comments and blank lines before an event are a part of its ``data``. ``id`` is
    ``None`` if a stream can't be resumed after it by an id. With ``is_dispatched``, it
    has a data field: callers ignore other events (WHATWG HTML, section 9.2.6).
    """

    data: bytes
    id: bytes | None
    is_dispatched: bool = True


class EventTooLongError(Exception):
    """An event exceeds ``MAX_EVENT_BYTES`` or ``MAX_EVENT_PIECES``."""


class EventSplitter:
    """Buffers bytes and returns complete events.

    A replica may fail in the middle of an event. A partial event that was forwarded
    could not be retracted, and the resumed stream would repeat or miss data.

    Comments and blank lines are no events: they are held until an event follows, and
    count towards its size.
    """

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._buffer = bytearray()
        # Up to here the buffer has only complete comments and blank lines.
        self._idle_end = 0
        # Up to here the buffer was searched for the end of an event.
        self._searched = 0
        self._pieces = 0
        self._has_line_feeds = False

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that ``data`` completes."""
        self._buffer += data
        self._has_line_feeds = self._has_line_feeds or b"\n" in data
        self._pieces += 1
        found = []
        start = 0
        while (end := self._next_end()) > 0:
            if FIELD_LINE.search(self._buffer, self._idle_end, end):
                found.append(_parse_event(bytes(self._buffer[start:end])))
                start = end
                self._pieces = 0
            self._idle_end = self._searched = end
        del self._buffer[:start]
        self._idle_end -= start
        self._searched -= start
        if len(self._buffer) > MAX_EVENT_BYTES or self._pieces > MAX_EVENT_PIECES:
            raise EventTooLongError
        return found

    def _next_end(self) -> int:
        """Return the end offset of the next block, 0 if it is incomplete."""
        # An end mark may have begun with the last two bytes that were searched.
        begin = max(self._idle_end, self._searched - 2)
        pattern = LINE_FEED_EVENT_END if self._has_line_feeds else EVENT_END
        mark = pattern.search(self._buffer, begin)
        if mark is None:
            self._searched = len(self._buffer)
            return 0
        return mark.end()

    @property
    def buffered(self) -> bytes:
        """Return the bytes of the incomplete event."""
        return bytes(self._buffer[self._idle_end :])

    def take_idle(self) -> bytes:
        """Return the comments and blank lines after the last event."""
        idle = bytes(self._buffer[: self._idle_end])
        del self._buffer[: self._idle_end]
        self._searched -= self._idle_end
        self._idle_end = 0
        return idle


def _parse_event(data: bytes) -> StreamEvent:
    found, is_dispatched = None, False
    for line in data.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id":
            found = value.strip()
        is_dispatched = is_dispatched or name == b"data"
    return StreamEvent(data, _sendable(found), is_dispatched)


def _sendable(event_id: bytes | None) -> bytes | None:
    """Return an id by which a stream may be resumed; ``None``: there is none."""
    if event_id is None or len(event_id) > MAX_ID_BYTES:
        return None
    return event_id if SENDABLE_ID.fullmatch(event_id) else None


def is_later(event_id: bytes, other: bytes) -> bool:
    """Return whether an id follows another one.

    Ids increase, not always by one. Other texts than numbers can only be told apart.
    """
    if event_id.isdigit() and other.isdigit():
        # A number from a caller may be too long to be parsed.
        number, before = event_id.lstrip(b"0"), other.lstrip(b"0")
        return (len(number), number) > (len(before), before)
    return event_id != other
