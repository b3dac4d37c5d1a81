"""A caller's HTTP request as passed to the handlers."""

from dataclasses import dataclass
from urllib.parse import parse_qsl, unquote, urlsplit

import h11

from berylshift.connection.errors import RequestRejectedError
from berylshift.connection.request_body import RequestBody
from berylshift.messages.wire_numbers import MAX_BYTES, whole_number

STATUS_BAD_REQUEST = 400
STATUS_TOO_LARGE = 413
STATUS_HEAD_TOO_LARGE = 431
STATUS_NOT_IMPLEMENTED = 501
Headers = dict[str, str]


@dataclass(frozen=True)
class HttpRequest:
    """One request; header names are in lower case.

    ``target`` (path and query) and ``raw_headers`` are as they were sent.
    ``body_stream`` is completely received unless the server streams long bodies. It is
    freed as the request ends.
    ``query_pairs`` holds repeated query parameters, too.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: Headers
    body_stream: RequestBody
    query_pairs: tuple[tuple[str, str], ...] = ()
    target: bytes = b""
    raw_headers: tuple[tuple[bytes, bytes], ...] = ()

    @property
    def body(self) -> bytes:
        """Return the whole body."""
        return self.body_stream.whole()

    def query_values(self, name: str) -> list[str]:
        """Return all values of a query parameter."""
        return [value for key, value in self.query_pairs if key == name]


def declared_length(head: h11.Request) -> int | None:
    """Return the declared body length in bytes; ``None`` if it is chunked."""
    value = dict(head.headers).get(b"content-length")
    if value is not None:
        length = whole_number(value, MAX_BYTES)
        if length is None:
            raise RequestRejectedError(STATUS_TOO_LARGE, "body is too large")
        return length
    chunked = any(name == b"transfer-encoding" for name, _ in head.headers)
    return None if chunked else 0


def check_method(head: h11.Request) -> None:
    """Reject CONNECT: a response to it would turn the connection into a tunnel."""
    if head.method == b"CONNECT":
        raise RequestRejectedError(STATUS_NOT_IMPLEMENTED, "no tunnels are opened")


def check_head_size(size: int, max_bytes: int) -> None:
    """Reject a head, or the part of it that has arrived, if it is over the limit."""
    if size > max_bytes:
        raise RequestRejectedError(STATUS_HEAD_TOO_LARGE, "headers are too large")


def check_framing(head: h11.Request) -> None:
    """Reject a request that declares its body length in two ways.

    A replica that honours the other declaration would parse the bytes that follow as
    another request: a body could smuggle in a request.
    """
    names = {name for name, _ in head.headers}
    if b"transfer-encoding" in names and b"content-length" in names:
        raise RequestRejectedError(STATUS_BAD_REQUEST, "two lengths")


def make_request(head: h11.Request, body: RequestBody) -> HttpRequest:
    """Return the request with this head and body; reject an invalid target."""
    try:
        url = urlsplit(head.target.decode("ascii"))
    except ValueError as exc:
        raise RequestRejectedError(STATUS_BAD_REQUEST, "bad target") from exc
    headers = {name.decode(): value.decode("latin-1") for name, value in head.headers}
    query_pairs = tuple(parse_qsl(url.query, keep_blank_values=True))
    return HttpRequest(
        method=head.method.decode("ascii"),
        path=unquote(url.path),
        query=dict(query_pairs),
        headers=headers,
        body_stream=body,
        query_pairs=query_pairs,
        target=bytes(head.target),
        raw_headers=tuple((bytes(name), bytes(val)) for name, val in head.headers),
    )
