"""Draws malformed and odd HTTP/1.1 requests, and reads them as a parser does."""

import random
from typing import NamedTuple

import h11

from berylshift.platform import names
from berylshift.stand_ins.soak.callers import SITE

MAX_EVENT_BYTES = 1 << 20
# The id of several requests.
SHARED_ID = b"twice"
METHODS = b"POST|GET|HEAD|PUT|DELETE|OPTIONS|CONNECT|TRACE|post||P OST".split(b"|")
METHODS += [b"POST"] * 6 + [b"P\x00ST", b"\xffOST", b"A" * 300]
TARGETS = b"/look/x|/book/x|/none/x|*||/look/%00|/look/a b|/look/x#y|//look/x".split(
    b"|"
)
TARGETS += b"http://shop.example/look/x|shop.example:80|/look/../book/x|look/x".split(
    b"|"
)
TARGETS += [b"/look/x", b"/book/x", b"/note/x"] * 3 + [
    b"/look/\xff",
    b"/look/" + b"y" * 20_000,
]
VERSIONS = b"HTTP/1.1|HTTP/1.0|HTTP/1.2|HTTP/2.0|HTTP/0.9|http/1.1||HTTP/1".split(b"|")
VERSIONS += [b"HTTP/1.1"] * 12
ODD_HEADERS = (
    b"x-fold: a\r\n  b|x : y| x: y|x\0: y|x: a\0b|: y|x|x: \xff\xfe|x: a\rb|x: a\nb: c|"
    b"expect: 100-continue|expect: 200-ok|upgrade: websocket|te: x|trailer: x|"
    b"connection: upgrade|connection: close|connection: keep-alive, host|te: a, b|"
    b"host: other.example|transfer-encoding: chunked|"
    b"transfer-encoding: gzip, chunked|transfer-encoding: identity|content-length: 5|"
    b"content-length: +5|content-length: 5, 5|content-length: 5, 6|content-length: 0x5|"
    b"content-length: -1|content-length:"
).split(b"|")
ODD_HEADERS += [
    b"connection: " + names.ATTEMPT_ID,
    names.ATTEMPT_ID + b": " + SHARED_ID,
    names.TIME_LEFT_MS + b": 1e9",
    names.TIME_LEFT_MS + b": -1",
    names.TARGET_INSTANCE + b": plain-1",
]
ODD_VALUES = (
    b"|-1|0|1e9|a1:1,b:x|a1:3000,ff:-1|1,1|3000,80|1.1.1.1:1/x|\xff|decode".split(b"|")
)
ODD_VALUES += [b"9" * 400, b"a:1," * 2000]
ODD_HEADERS += [
    name + b": " + value
    for name in (
        *sorted(names.RESERVED),
        names.TOKEN_COUNTS,
        names.PREFIX_BLOCKS,
        names.LAST_EVENT_ID,
        names.RESUMES,
        names.LENGTH_HINT,
        names.MODEL,
    )
    for value in ODD_VALUES
]
ODD_HEADERS += [b"x-more: " + b"z" * 20_000, b"content-length: " + b"9" * 40]
CHUNK_SIZES = b"0x5|-5|+5|5 | 5|5;x=y||g|5\n|05|7fffffffffffffff".split(b"|")
CHUNK_SIZES += [b"5;" + b"x" * 300, b"f" * 17, b"0" * 30 + b"5"]


class SentRequest(NamedTuple):
    """A request in a caller's bytes; ``body`` ``None``: it is not whole."""

    id: bytes
    method: bytes
    target: bytes
    body: bytes | None

    @property
    def max_runs(self) -> int:
        """Return how often it may run at most."""
        return 2 if b"look" in self.target else 1


def request(rng: random.Random, name: str) -> bytes:
    """Return a request with the id ``name``; most have something odd."""
    body = (name * rng.randint(0, 40)).encode()
    lines = [b"host: " + SITE.encode(), names.ATTEMPT_ID + b": " + name.encode()]
    lines += rng.choice(([names.TIME_LEFT_MS + b": 3000"], []))
    lines += rng.sample(ODD_HEADERS, rng.choice((0, 0, 1, 1, 2)))
    if rng.random() < 0.5:
        length = len(body) + rng.choice((0, 0, 0, 0, 1, -1, 50))
        lines += [b"content-length: %d" % max(0, length)] * rng.choice((1, 1, 1, 2))
    else:
        lines.append(b"transfer-encoding: chunked")
        body = chunked(rng, body)
    rng.shuffle(lines)
    del lines[: rng.random() < 0.1]
    start = (METHODS[:1], TARGETS[:2], VERSIONS[:1])
    if rng.random() < 0.2:
        start = (METHODS[:1], [b"/note/x"], VERSIONS[:1])
        lines.append(b"x-pieces: 4")
    if rng.random() < 0.3:
        start = (METHODS, TARGETS, VERSIONS)
    first = b" ".join(rng.choice(parts) for parts in start)
    return b"\r\n".join((first, *lines, b"", b"")) + body


def chunked(rng: random.Random, body: bytes) -> bytes:
    """Return a body in chunks, some of which are odd."""
    parts = []
    while body:
        size = rng.randint(1, len(body))
        text = b"%x" % size if rng.random() < 0.9 else rng.choice(CHUNK_SIZES)
        end = b"\r\n" if rng.random() < 0.95 else rng.choice((b"", b"\n", b"x\r\n"))
        parts.append(text + b"\r\n" + body[:size] + end)
        body = body[size:]
    last = (b"0\r\n\r\n", b"0\r\nx: y\r\n\r\n", b"0\r\n", b"", b"00\r\n\r\n")
    return b"".join(parts) + rng.choice((*last[:1] * 8, *last))


def mutated(rng: random.Random, data: bytes) -> bytes:
    """Return bytes of which some are others, missing or twice."""
    if rng.random() < 0.2:
        at = rng.randrange(len(data) + 1)
        data = data[:at] + rng.randbytes(rng.randint(0, 3)) + data[at + 1 :]
    if rng.random() < 0.1:
        data = data[: rng.randrange(len(data) + 1)]
    if rng.random() < 0.05:
        data = (
            rng.choice((b"\r\n", b"\n", b"\x16\x03\x01", b"PRI * HTTP/2.0\r\n")) + data
        )
    return data


def draw(rng: random.Random, name: str) -> bytes:
    """Return the bytes of one to three requests."""
    count = rng.choice((1, 1, 2, 3))
    parts = [request(rng, f"{name}-{n}.") for n in range(count)]
    return mutated(rng, b"".join(parts))


def requests_in(data: bytes) -> list[SentRequest]:
    """Return the requests that a caller's bytes contain; the last one may be cut."""
    conn = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_EVENT_BYTES)
    conn.receive_data(data)
    found: list[SentRequest] = []
    try:
        while isinstance(head := conn.next_event(), h11.Request):
            attempt = dict(head.headers).get(names.ATTEMPT_ID, b"")
            found.append(SentRequest(attempt, head.method, head.target, None))
            body = b""
            while isinstance(event := conn.next_event(), h11.Data):
                body += bytes(event.data)
            if not isinstance(event, h11.EndOfMessage):
                return found
            found[-1] = found[-1]._replace(body=body)
            conn.send(h11.Response(status_code=204, headers=[]))
            conn.send(h11.EndOfMessage())
            conn.start_next_cycle()
    except h11.ProtocolError:
        pass
    return found


def statuses_in(data: bytes, sent: list[SentRequest]) -> list[int]:
    """Return the statuses of the responses to the first requests, in their order."""
    found: list[int] = []
    for req in sent:
        conn = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_EVENT_BYTES)
        conn.send(
            h11.Request(method=req.method, target=b"/", headers=[(b"host", b"x")])
        )
        conn.send(h11.EndOfMessage())
        conn.receive_data(data)
        try:
            while not isinstance(event := conn.next_event(), h11.EndOfMessage):
                if isinstance(event, h11.Response):
                    found.append(event.status_code)
                elif event is h11.NEED_DATA:
                    return found
        except h11.ProtocolError:
            return found
        data = conn.trailing_data[0]
    return found
