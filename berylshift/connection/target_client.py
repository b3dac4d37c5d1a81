"""HTTP client of replicas: sends requests and streams their responses.

Its errors tell callers whether any byte of the request can have reached the replica,
which decides whether a request may be reported as "not run".
"""

import contextlib
import logging
from collections import defaultdict
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Protocol

import h11
import trio

from berylshift.connection.awaited_responses import AwaitedResponses
from berylshift.connection.errors import (
    ConnectFailedError,
    ConnectionBrokenError,
    PathLostError,
)
from berylshift.connection.http_client import (
    ClientConnection,
    Dial,
    close_now,
    dial_tcp,
    has_no_input,
)
from berylshift.connection.request_body import BodyBrokenError, RequestBody
from berylshift.connection.sending_half import SendingHalf
from berylshift.connection.target_request import ConnectionUse, TargetRequest
from berylshift.connection.target_response import (
    DEFAULT_KEEP_ALIVE_SECONDS,
    ReadResponseId,
    TargetResponse,
)
from berylshift.connection.tunnel_stream import TunnelStream
from berylshift.ids import InstanceId
from berylshift.messages.routed import Header

logger = logging.getLogger(__name__)

# Bodies up to this size fit into the windows of a new connection and are sent before
# the response is read. Larger ones are sent concurrently with reading the response: a
# replica may respond before it has read them, and both sides would deadlock.
MAX_INLINE_BYTES = 4096
# Idle connections per replica; more would only occupy its connection slots.
MAX_IDLE_PER_TARGET = 8
# A connection remembers the ids of the requests that it has carried.
MAX_EXCHANGES_PER_CONNECTION = 512
# Reuse a connection for at most this fraction of its replica's keep-alive timeout.
KEEP_ALIVE_FRACTION = 0.5


class TargetGate(Protocol):
    """Decides which requests may be sent; is called for every request and response."""

    def admit(self, instance: InstanceId, limit_exempt: bool) -> float:
        """Return the time at which a request may be sent; raise ``ThrottledError``.

        ``limit_exempt``: it is not throttled by the instance's rate limit.
        """

    def record_response(
        self,
        instance: InstanceId,
        status: int,
        headers: list[Header],
        admitted_at: float,
    ) -> None:
        """Process the response head of the request admitted at ``admitted_at``."""


class UnlimitedGate:
    """Admits every request."""

    def admit(self, instance: InstanceId, limit_exempt: bool) -> float:
        """Admit a request."""
        return 0.0

    def record_response(
        self,
        instance: InstanceId,
        status: int,
        headers: list[Header],
        admitted_at: float,
    ) -> None:
        """Ignore a response."""


class ReplicaDialer(Protocol):
    """Opens connections to replicas and learns from what happens on them."""

    async def open(self, instance: InstanceId, address: str) -> trio.abc.Stream:
        """Return a connection, direct or a tunnel; raise ``OSError``."""

    async def open_direct(self, address: str) -> trio.abc.Stream:
        """Return a direct connection; raise ``OSError``."""

    def may_reuse(self, address: str) -> bool:
        """Return whether open connections may be used again."""

    def record_life(self, address: str) -> None:
        """Record a response on a direct connection."""

    def suspect(self, instance: InstanceId, address: str) -> None:
        """Record that a response on a direct connection is overdue."""


class DirectDialer:
    """Opens direct connections only."""

    def __init__(self, dial: Dial):
        """Open them by ``dial``."""
        self._dial = dial

    async def open(self, instance: InstanceId, address: str) -> trio.abc.Stream:
        """Return a connection; raise ``OSError``."""
        return await self._dial(address)

    async def open_direct(self, address: str) -> trio.abc.Stream:
        """Return a connection; raise ``OSError``."""
        return await self._dial(address)

    def may_reuse(self, address: str) -> bool:
        """Return ``True``."""
        return True

    def record_life(self, address: str) -> None:
        """Ignore a response."""

    def suspect(self, instance: InstanceId, address: str) -> None:
        """Ignore an overdue response."""


class TargetClient:
    """Sends requests to replicas over pooled connections.

    A replica may repeat a response, late, where the next one is expected. No connection
    carries the same id twice, so that a response's id tells which request it answers.
    """

    def __init__(
        self,
        connect_seconds: float,
        dial: Dial = dial_tcp,
        read_id: ReadResponseId | None = None,
    ):
        """Open streams by ``dial`` within ``connect_seconds``.

        ``read_id`` returns the id that a response echoes; ``None``: replicas echo none,
        and each response is taken for that of the request that waits.
        """
        self._read_id = read_id
        self._connect_seconds = connect_seconds
        self.dial = dial
        self._dialer: ReplicaDialer = DirectDialer(dial)
        self._awaited = AwaitedResponses(self._on_overdue)
        self._idle: dict[InstanceId, list[ClientConnection]] = defaultdict(list)
        self._send_nursery: trio.Nursery | None = None
        self._gate: TargetGate = UnlimitedGate()
        self.opened = 0
        # Responses to earlier requests that were discarded.
        self.late_responses = 0
        # Replicas that the last attempt to open a connection did not reach.
        self.unreached: set[InstanceId] = set()

    def set_gate(self, gate: TargetGate) -> None:
        """Call ``gate`` for each request and response."""
        self._gate = gate

    def set_dialer(self, dialer: ReplicaDialer) -> None:
        """Open connections by ``dialer`` from now on."""
        self._dialer = dialer

    async def run(self) -> None:
        """Run the tasks that send large bodies, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._send_nursery = nursery
            await self._awaited.run()

    def _on_overdue(self, out: TargetRequest) -> None:
        self._dialer.suspect(out.instance, out.address)

    def break_silent(self, address: str) -> None:
        """Tell requests that wait for a replica out of reach, or break them.

        Only repeatable ones are broken: a response to any other request may still come
        once the path is back.
        """
        for connection, out in self._awaited.open_at(address):
            may_close = out.on_path_lost is None or out.on_path_lost()
            if may_close and out.repeatable:
                connection.is_path_lost = True
                close_now(connection.stream)

    @asynccontextmanager
    async def exchange(
        self,
        out: TargetRequest,
        on_connected: Callable[[ConnectionUse], None] = lambda use: None,
    ) -> AsyncIterator[TargetResponse]:
        """Send a request and yield its response.

        ``on_connected`` is called once there is a connection. Raises
        ``ThrottledError`` or ``ConnectFailedError`` if no byte was sent, and other
        connection errors if the replica may have read the request. A direct connection
        is pooled if its response was read to the end and no bytes follow it.
        """
        admitted_at = self._gate.admit(out.instance, out.limit_exempt)

        def on_head(status: int, headers: list[Header]) -> None:
            self._gate.record_response(out.instance, status, headers, admitted_at)

        connection = self._pop_idle(out)
        if connection is None:
            connection = await self._open(out.instance, out.address, out.direct_only)
        via = _tunnel_host(connection.stream)
        connection.exchanges += 1
        on_connected(ConnectionUse(connection.number, connection.exchanges, via))
        is_direct = via is None
        sending = trio.CancelScope()
        response: TargetResponse | None = None
        is_reusable = False
        try:
            sent = await self._send(connection, out, sending)
            with self._awaited.awaiting(connection, out, is_direct):
                response = await self._receive(connection, out, on_head)
            if is_direct:
                self._dialer.record_life(out.address)
            yield response
            # Whether a late response has a body depends on its request's method.
            is_reusable = (
                sent.is_set()
                and is_direct
                and out.method != b"HEAD"
                and response.may_reuse
                and connection.is_reusable()
            )
        except ConnectionBrokenError as exc:
            if connection.is_path_lost:
                raise PathLostError(f"path to {out.address} lost") from exc
            raise
        finally:
            sending.cancel()
            if is_reusable and response is not None:
                self._release(out.instance, connection, response.keep_alive_seconds)
            else:
                close_now(connection.stream)

    async def _receive(
        self,
        connection: ClientConnection,
        out: TargetRequest,
        on_head: Callable[[int, list[Header]], None],
    ) -> TargetResponse:
        """Return the response to ``out``, after late ones to earlier requests."""
        head = await connection.read_head()
        response = TargetResponse(connection, out, head, on_head)
        if self._read_id is not None:
            self.late_responses += await response.identify(
                self._read_id, connection.carried
            )
            connection.carried.add(out.id)
        return response

    async def _send(
        self, connection: ClientConnection, out: TargetRequest, scope: trio.CancelScope
    ) -> trio.Event:
        """Start sending; the event is set once the kernel has accepted all bytes."""
        body = out.body
        try:
            head = _encode_head(connection.conn, out)
        except h11.LocalProtocolError as exc:
            # KV handles and sources come from engines and may be invalid as header
            # values. Nothing was sent, and callers handle only this layer's errors.
            raise ConnectFailedError(f"request cannot be encoded: {exc}") from exc
        sent = trio.Event()
        body.is_forwarded = True
        is_small = len(head) + body.size <= MAX_INLINE_BYTES
        if body.ended and (is_small or self._send_nursery is None):
            try:
                await connection.stream.send_all(
                    head + _encode_rest(connection.conn, body)
                )
            except (trio.BrokenResourceError, trio.ClosedResourceError) as exc:
                raise ConnectionBrokenError(str(exc)) from exc
            body.note_sent(body.size)
            sent.set()
            return sent
        if self._send_nursery is None:
            raise ConnectionBrokenError("the target client is not running")
        writer, half = connection.split(out.method)
        self._send_nursery.start_soon(
            _send_concurrently, half, writer, head, body, scope, sent
        )
        return sent

    async def _open(
        self, instance: InstanceId, address: str, direct_only: bool = False
    ) -> ClientConnection:
        self.unreached.add(instance)
        dialer = self._dialer
        with trio.move_on_after(self._connect_seconds):
            try:
                if direct_only:
                    stream = await dialer.open_direct(address)
                else:
                    stream = await dialer.open(instance, address)
                connection = ClientConnection(stream)
            except OSError as exc:
                raise ConnectFailedError(f"{address}: {exc}") from exc
            self.opened += 1
            self.unreached.discard(instance)
            return connection
        raise ConnectFailedError(f"{address}: connection attempt timed out")

    async def accepts_connections(
        self, instance: InstanceId, address: str, seconds: float
    ) -> bool:
        """Return whether a replica accepts a new connection within ``seconds``.

        A direct connection is pooled for the next request.
        """
        with trio.move_on_after(seconds):
            try:
                connection = await self._open(instance, address)
            except ConnectFailedError:
                return False
            if isinstance(connection.stream, TunnelStream):
                close_now(connection.stream)
            else:
                self._add_idle(instance, connection, DEFAULT_KEEP_ALIVE_SECONDS)
            return True
        return False

    def _pop_idle(self, out: TargetRequest) -> ClientConnection | None:
        """Return an idle connection that has not carried the id of ``out``."""
        if out.method == b"HEAD":
            return None
        if not self._dialer.may_reuse(out.address):
            self.forget(out.instance)
        connections = self._idle.get(out.instance, [])
        now = trio.current_time()
        for connection in reversed(list(connections)):
            if now >= connection.reusable_until or not has_no_input(connection.stream):
                connections.remove(connection)
                close_now(connection.stream)
            elif out.id not in connection.carried:
                connections.remove(connection)
                return connection
        return None

    def _release(
        self, instance: InstanceId, connection: ClientConnection, seconds: float
    ) -> None:
        connection.conn.start_next_cycle()
        self._add_idle(instance, connection, seconds)

    def _add_idle(
        self, instance: InstanceId, connection: ClientConnection, seconds: float
    ) -> None:
        """Pool an idle connection, or close it if it is worn or the pool is full."""
        connections = self._idle[instance]
        is_worn = connection.exchanges >= MAX_EXCHANGES_PER_CONNECTION
        if is_worn or len(connections) >= MAX_IDLE_PER_TARGET:
            close_now(connection.stream)
            return
        connection.reusable_until = trio.current_time() + KEEP_ALIVE_FRACTION * seconds
        connections.append(connection)

    def forget(self, instance: InstanceId) -> None:
        """Close the idle connections of a replica."""
        self.unreached.discard(instance)
        for connection in self._idle.pop(instance, []):
            close_now(connection.stream)

    @property
    def pooled_targets(self) -> int:
        """Return the number of targets with idle connections."""
        return len(self._idle)

    def close(self) -> None:
        """Close all idle connections."""
        for instance in list(self._idle):
            self.forget(instance)


def _tunnel_host(stream: trio.abc.Stream) -> str | None:
    """Return the host that a connection leads through; ``None``: it is direct."""
    return stream.host if isinstance(stream, TunnelStream) else None


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


async def _send_concurrently(
    half: SendingHalf,
    writer: h11.Connection,
    head: bytes,
    body: RequestBody,
    scope: trio.CancelScope,
    sent: trio.Event,
) -> None:
    """Send a long request; the task that reads the response sees any send failure.

    A body that its caller aborts must not look complete to the target, which would
    process half of it: the connection is closed instead. So it is after any other
    error, which concerns this request alone.
    """
    with scope:
        try:
            await _send_all(half, writer, head, body)
            sent.set()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        except BodyBrokenError:
            close_now(half.stream)
        except Exception:
            logger.exception("request not sent")
            close_now(half.stream)


async def _send_all(
    half: SendingHalf, writer: h11.Connection, head: bytes, body: RequestBody
) -> None:
    await half.send_all(head)
    async with contextlib.aclosing(body.chunks()) as chunks:
        async for data in chunks:
            await half.send_all(writer.send(h11.Data(data=data)) or b"")
    await half.send_all(writer.send(h11.EndOfMessage()) or b"")
