"""A caller's HTTP request, as a handler gets it."""

from dataclasses import dataclass
from urllib.parse import parse_qsl, unquote, urlsplit

import h11

from berylshift.connection.errors import RequestRejectedError
from berylshift.connection.request_body import RequestBody

STATUS_BAD_REQUEST = 400
Headers = dict[str, str]


@dataclass(frozen=True)
class HttpRequest:
    """One request; header names are in lower case.

    ``target`` and ``raw_headers`` are path, query and headers as they were sent.
    ``arriving`` is the body, which has ended unless the server hands on long ones.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: Headers
    arriving: RequestBody
    pairs: tuple[tuple[str, str], ...] = ()
    target: bytes = b""
    raw_headers: tuple[tuple[bytes, bytes], ...] = ()

    @property
    def body(self) -> bytes:
        """Return the whole body."""
        return self.arriving.whole()

    def multi(self, name: str) -> list[str]:
        """Return all values of a query parameter."""
        return [value for key, value in self.pairs if key == name]


def announced_length(head: h11.Request) -> int | None:
    """Return the length that a request announces."""
    value = dict(head.headers).get(b"content-length")
    if value is not None:
        return int(value)
    chunked = any(name == b"transfer-encoding" for name, _ in head.headers)
    return None if chunked else 0


def check_framing(head: h11.Request) -> None:
    """Reject a request that states its length in two ways.

    Whoever reads the other one of the two takes what follows for another request:
    a body could so carry a request that nobody sent.
    """
    names = {name for name, _ in head.headers}
    if b"transfer-encoding" in names and b"content-length" in names:
        raise RequestRejectedError(STATUS_BAD_REQUEST, "two lengths")


def make_request(head: h11.Request, body: RequestBody) -> HttpRequest:
    """Return the request of a head and its body; reject a target that is no address."""
    try:
        url = urlsplit(head.target.decode("ascii"))
    except ValueError as exc:
        raise RequestRejectedError(STATUS_BAD_REQUEST, "bad target") from exc
    headers = {name.decode(): value.decode("latin-1") for name, value in head.headers}
    pairs = tuple(parse_qsl(url.query, keep_blank_values=True))
    return HttpRequest(
        method=head.method.decode("ascii"),
        path=unquote(url.path),
        query=dict(pairs),
        headers=headers,
        arriving=body,
        pairs=pairs,
        target=bytes(head.target),
        raw_headers=tuple((bytes(name), bytes(val)) for name, val in head.headers),
    )
