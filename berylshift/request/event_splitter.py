"""Splits a byte stream into complete server-sent events."""

import msgspec

# The largest incomplete event that is buffered.
MAX_EVENT_BYTES = 1 << 20
ID_FIELD = b"id:"


class StreamEvent(msgspec.Struct, frozen=True):
    """One complete event as sent, with its blank line, and its ``id`` if it has one."""

    data: bytes
    id: bytes | None


class EventTooLongError(Exception):
    """An event exceeds ``MAX_EVENT_BYTES``."""


class EventSplitter:
    """Buffers bytes and returns complete events.

    A replica may fail in the middle of an event. A partial event that was forwarded
    could not be retracted, and the resumed stream would repeat or miss data.
    """

    def __init__(self) -> None:
        """Start with an empty buffer."""
        self._buffered = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that ``data`` completes."""
        self._buffered += data
        found = []
        while (end := _event_end(self._buffered)) > 0:
            found.append(_parse_event(self._buffered[:end]))
            self._buffered = self._buffered[end:]
        if len(self._buffered) > MAX_EVENT_BYTES:
            raise EventTooLongError
        return found

    @property
    def buffered(self) -> bytes:
        """Return the bytes of the incomplete event."""
        return self._buffered


def _event_end(data: bytes) -> int:
    """Return the end offset of the first event, 0 if it is incomplete."""
    ends = []
    for mark in (b"\n\n", b"\r\n\r\n", b"\n\r\n"):
        at = data.find(mark)
        if at >= 0:
            ends.append(at + len(mark))
    return min(ends, default=0)


def _parse_event(data: bytes) -> StreamEvent:
    found = None
    for line in data.splitlines():
        if line.startswith(ID_FIELD):
            found = line[len(ID_FIELD) :].strip()
    return StreamEvent(data, found)
