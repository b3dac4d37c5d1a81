"""The client side of HTTP, strict about the heads of responses."""

import re

import h11

FOLDED_LINE = re.compile(rb"\n[ \t]")
BLANKS = (b" ", b"\t")


class ResponseParser(h11.Connection):
    """Reads responses like h11, and rejects heads that h11 reads as other ones.

    h11 joins a line that begins with a blank to the line before it. A field whose name
    begins with one would change the value of another field, and would not count itself,
    not even one that tells where the body ends. A gateway may reject such a response
    (RFC 9112, section 5.2). Trailers are read in the same way. A name that begins with
    a line feed would end the head, and the rest of the head would count as body.
    """

    def __init__(self) -> None:
        """Start before the first request."""
        super().__init__(h11.CLIENT)
        self._last_byte = b""
        # Whether a line that has arrived, of a body perhaps, begins with a blank.
        self._may_be_folded = False

    def receive_data(self, data: bytes) -> None:
        """Add bytes of the peer; none: it has ended the connection."""
        begins_folded = self._last_byte == b"\n" and data[:1] in BLANKS
        if begins_folded or FOLDED_LINE.search(data):
            self._may_be_folded = True
        self._last_byte = data[-1:]
        super().receive_data(data)

    def next_event(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Return the next event; raise ``h11.RemoteProtocolError``."""
        is_head = self.their_state is h11.SEND_RESPONSE
        if not (is_head or self._may_be_folded):
            return super().next_event()
        before = self.trailing_data[0]
        event = super().next_event()
        # Other events than data have no bytes but those of a head or trailers.
        if not isinstance(event, h11.Data):
            parsed = before[: len(before) - len(self.trailing_data[0])]
            if FOLDED_LINE.search(parsed):
                raise h11.RemoteProtocolError("folded line in a response")
            if is_head and _ends_at_line_feed(parsed):
                raise h11.RemoteProtocolError("line feed in the head of a response")
        return event

    def start_next_cycle(self) -> None:
        """Prepare for another request; all bytes of the last response were read."""
        super().start_next_cycle()
        self._may_be_folded = False


def _ends_at_line_feed(head: bytes) -> bool:
    """Return whether a head ends with a bare line feed, unlike its other lines."""
    return head.endswith(b"\n\n") and b"\r\n" in head
