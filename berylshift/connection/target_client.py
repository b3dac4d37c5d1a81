"""HTTP client of replicas: whole requests out, answers as they come.

It says what its callers must know to keep "not run" true: whether a byte of the
request can have reached the replica.
"""

import contextlib
import select
from collections import defaultdict
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Protocol

import h11
import msgspec
import trio

from berylshift.connection.errors import (
    BadAnswerError,
    ConnectFailedError,
    ConnectionBrokenError,
)
from berylshift.connection.http_client import Dial, Wire, close_now, dial_tcp
from berylshift.connection.request_body import BodyBrokenError, RequestBody
from berylshift.ids import InstanceId
from berylshift.messages.routed import Header

# Bodies up to this size fit into the windows of a fresh connection and are sent at
# once; larger ones are sent beside the reading, since a replica may answer before it
# has read them and both sides would wait for each other for good.
AT_ONCE_BYTES = 4096
# Kept connections of one replica; more would only hold its connection slots.
KEPT_PER_TARGET = 8
# Without a word of its own a replica may close an idle connection any time; sends
# this soon after the last answer cross such a close rarely.
KEPT_SECONDS = 1.0
# A connection is used again for at most this part of the time its replica keeps it.
KEPT_PART = 0.5
# The largest late answer that is passed over.
MOST_SKIPPED_BYTES = 1 << 20
NO_BODY = RequestBody.of(b"")


class TargetRequest(msgspec.Struct, frozen=True):
    """One request for one instance; ``target`` is path and query.

    ``limit_exempt``: it does not wait for its turn under the instance's limit.
    """

    instance: InstanceId
    address: str
    method: bytes
    target: bytes
    headers: list[Header]
    body: RequestBody = NO_BODY
    limit_exempt: bool = False


class TargetGate(Protocol):
    """Decides which requests may go out; every request and answer passes it."""

    def enter(self, instance: InstanceId, limit_exempt: bool) -> float:
        """Return the time of a request that may go out; raise ``ThrottledError``.

        ``limit_exempt``: it does not wait for its turn under the instance's limit.
        """

    def answered(
        self,
        instance: InstanceId,
        status: int,
        headers: list[Header],
        entered_at: float,
    ) -> None:
        """Note the head of an answer to the request that entered at ``entered_at``."""


class OpenGate:
    """Lets everything through."""

    def enter(self, instance: InstanceId, limit_exempt: bool) -> float:
        """Let a request out."""
        return 0.0

    def answered(
        self,
        instance: InstanceId,
        status: int,
        headers: list[Header],
        entered_at: float,
    ) -> None:
        """Learn nothing."""


class TargetAnswer:
    """An answer whose body is read as it comes."""

    def __init__(
        self,
        wire: Wire,
        out: TargetRequest,
        head: h11.Response,
        on_head: Callable[[int, list[Header]], None],
    ):
        """Wrap the connection, the request that was sent, and the answer's head.

        ``on_head`` is told status and headers of each head that is read.
        """
        self._wire = wire
        self._out = out
        self._on_head = on_head
        self.keep_seconds = KEPT_SECONDS
        self.usable = True
        self._take(head)

    def _take(self, head: h11.Response) -> None:
        self.status = head.status_code
        self.headers: list[Header] = [
            (bytes(name), bytes(value)) for name, value in head.headers
        ]
        self._on_head(self.status, self.headers)

    async def skip(self) -> None:
        """Pass over this answer and take the next one on the connection.

        A late answer to an earlier request stands where ours is expected; ours comes
        behind it. Giving the connection up instead would leave a request that may not
        be repeated without its answer. The connection is not used again.
        """
        self.usable = False
        await self.read(MOST_SKIPPED_BYTES)
        rest, _ = self._wire.conn.trailing_data
        self._wire.conn = _expecting_answer(self._out)
        if rest:
            self._wire.conn.receive_data(rest)
        self._take(await self._wire.read_head())

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives; ends only at the body's own end."""
        while True:
            event = await self._wire.next_event()
            if isinstance(event, h11.EndOfMessage):
                return
            if isinstance(event, h11.Data):
                yield bytes(event.data)

    async def read(self, most: int) -> bytes:
        """Return the whole body of up to ``most`` bytes."""
        parts: list[bytes] = []
        size = 0
        async for data in self.chunks():
            size += len(data)
            if size > most:
                raise BadAnswerError("answer is too large")
            parts.append(data)
        return b"".join(parts)


class TargetClient:
    """Sends requests to replicas over kept connections."""

    def __init__(self, connect_seconds: float, dial: Dial = dial_tcp):
        """Open streams by ``dial`` within ``connect_seconds``."""
        self._connect_seconds = connect_seconds
        self._dial = dial
        self._kept: dict[InstanceId, list[Wire]] = defaultdict(list)
        self._senders: trio.Nursery | None = None
        self._gate: TargetGate = OpenGate()
        self.opened = 0

    def guard_by(self, gate: TargetGate) -> None:
        """Have each request and answer pass ``gate``."""
        self._gate = gate

    async def run(self) -> None:
        """Carry the sending of large bodies until cancelled."""
        async with trio.open_nursery() as nursery:
            self._senders = nursery
            await trio.sleep_forever()

    @asynccontextmanager
    async def exchange(self, out: TargetRequest) -> AsyncIterator[TargetAnswer]:
        """Send a request and give its answer.

        Raises ``ThrottledError`` or ``ConnectFailedError`` if no byte was sent, and
        other connection errors if the replica may have read the request. A connection
        is kept only if its answer was read to the end and nothing lies behind it.
        """
        entered_at = self._gate.enter(out.instance, out.limit_exempt)

        def on_head(status: int, headers: list[Header]) -> None:
            self._gate.answered(out.instance, status, headers, entered_at)

        wire = self._take(out.instance) or await self._open(out.address)
        sending = trio.CancelScope()
        answer: TargetAnswer | None = None
        whole = False
        try:
            sent = await self._send(wire, out, sending)
            answer = TargetAnswer(wire, out, await wire.read_head(), on_head)
            yield answer
            whole = sent.is_set() and answer.usable and wire.reusable()
        finally:
            sending.cancel()
            if whole and answer is not None:
                self._keep(out.instance, wire, answer.keep_seconds)
            else:
                close_now(wire.stream)

    async def _send(
        self, wire: Wire, out: TargetRequest, scope: trio.CancelScope
    ) -> trio.Event:
        """Start sending; the event is set once all was handed to the kernel."""
        body = out.body
        try:
            head = _encode_head(wire.conn, out)
        except h11.LocalProtocolError as exc:
            # Handles and sources come from engines: HTTP may have no room for them.
            # Nothing was sent, and callers know the errors of this layer only.
            raise ConnectFailedError(f"request can't be written: {exc}") from exc
        sent = trio.Event()
        small = len(head) + body.size <= AT_ONCE_BYTES
        if body.ended and (small or self._senders is None):
            try:
                await wire.stream.send_all(head + _encode_rest(wire.conn, body))
            except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
                raise ConnectionBrokenError(str(exc)) from exc
            sent.set()
            return sent
        if self._senders is None:
            raise ConnectionBrokenError("the client does not run")
        self._senders.start_soon(_send_beside, wire, head, body, scope, sent)
        return sent

    async def _open(self, address: str) -> Wire:
        with trio.move_on_after(self._connect_seconds):
            try:
                wire = Wire(await self._dial(address))
            except OSError as exc:
                raise ConnectFailedError(f"{address}: {exc}") from exc
            self.opened += 1
            return wire
        raise ConnectFailedError(f"{address}: no answer to the connection request")

    async def accepts_connections(
        self, instance: InstanceId, address: str, seconds: float
    ) -> bool:
        """Return whether a replica takes a new connection within ``seconds``.

        The connection is kept for the next request.
        """
        with trio.move_on_after(seconds):
            try:
                wire = await self._open(address)
            except ConnectFailedError:
                return False
            self._store(instance, wire, KEPT_SECONDS)
            return True
        return False

    def _take(self, instance: InstanceId) -> Wire | None:
        wires = self._kept.get(instance)
        now = trio.current_time()
        while wires:
            wire = wires.pop()
            if now < wire.kept_until and _is_quiet(wire.stream):
                return wire
            close_now(wire.stream)
        return None

    def _keep(self, instance: InstanceId, wire: Wire, seconds: float) -> None:
        wire.conn.start_next_cycle()
        self._store(instance, wire, seconds)

    def _store(self, instance: InstanceId, wire: Wire, seconds: float) -> None:
        """Keep a connection that is idle, if there is room for it."""
        wires = self._kept[instance]
        if len(wires) >= KEPT_PER_TARGET:
            close_now(wire.stream)
            return
        wire.kept_until = trio.current_time() + KEPT_PART * seconds
        wires.append(wire)

    def forget(self, instance: InstanceId) -> None:
        """Close the kept connections of a replica."""
        for wire in self._kept.pop(instance, []):
            close_now(wire.stream)

    @property
    def kept_targets(self) -> int:
        """Return how many targets have kept connections."""
        return len(self._kept)

    def close(self) -> None:
        """Close all kept connections."""
        for instance in list(self._kept):
            self.forget(instance)


def _encode_head(conn: h11.Connection, out: TargetRequest) -> bytes:
    headers = list(out.headers)
    body = out.body
    if not body.ended and body.length is None:
        headers.append((b"transfer-encoding", b"chunked"))
    elif body.length or body.size or out.method not in (b"GET", b"HEAD", b"DELETE"):
        length = body.size if body.length is None else body.length
        headers.append((b"content-length", b"%d" % length))
    head = h11.Request(method=out.method, target=out.target, headers=headers)
    return conn.send(head) or b""


def _encode_rest(conn: h11.Connection, body: RequestBody) -> bytes:
    data = b""
    if body.size:
        data = conn.send(h11.Data(data=body.whole())) or b""
    return data + (conn.send(h11.EndOfMessage()) or b"")


def _expecting_answer(out: TargetRequest) -> h11.Connection:
    """Return the state of a connection on which ``out`` was sent."""
    conn = h11.Connection(h11.CLIENT)
    conn.send(h11.Request(method=out.method, target=out.target, headers=out.headers))
    conn.send(h11.EndOfMessage())
    return conn


async def _send_beside(
    wire: Wire,
    head: bytes,
    body: RequestBody,
    scope: trio.CancelScope,
    sent: trio.Event,
) -> None:
    """Send a long request; what breaks shows to the task that reads the answer.

    A body that its caller breaks off must not look whole to the target, which would
    run half of it: the connection is closed instead.
    """
    conn = wire.conn
    with scope, contextlib.suppress(trio.BrokenResourceError, trio.ClosedResourceError):
        await wire.stream.send_all(head)
        try:
            async with contextlib.aclosing(body.chunks()) as chunks:
                async for data in chunks:
                    await wire.stream.send_all(conn.send(h11.Data(data=data)) or b"")
        except BodyBrokenError:
            close_now(wire.stream)
            return
        await wire.stream.send_all(conn.send(h11.EndOfMessage()) or b"")
        sent.set()


def _is_quiet(stream: trio.abc.Stream) -> bool:
    """Return whether nothing waits to be read on an idle connection.

    What waits there is its end, or a late answer to an earlier request that would
    be taken for the answer to the next one.
    """
    if not isinstance(stream, trio.SocketStream):
        return True
    poll = select.poll()
    poll.register(stream.socket.fileno(), select.POLLIN)
    return not poll.poll(0)
