"""A fake replica that speaks the platform's protocol, with scripted faults.

It serves plain calls and streams, runs disaggregated prefills, and records the requests
that ran.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import StrEnum

import h11
import msgspec
import trio

from berylshift.ids import SoftwareVersion
from berylshift.messages.replicas import EnginePhase
from berylshift.platform import names
from berylshift.stand_ins.pipes import Pipe

READ_BYTES = 65536
# Not part of the platform's protocol: returns the requests that ran, for tests.
RUNS_PATH = "/stand-in/runs"
WRONG_INSTANCE = 421


# An unsolicited response is sent after this delay, when the connection is idle again.
LATE_RESPONSE_DELAY_SECONDS = 0.05
# Time from the start of a run until it crashes its replica.
CRASH_DELAY_SECONDS = 0.05


class Fault(StrEnum):
    """A fault injected into the handling of a request."""

    REFUSE = "refuse"
    RESET = "reset"
    MUTE = "mute"
    CUT = "cut"
    HALF_EVENT = "half-event"
    EXTRA = "extra"
    UNSIGNED = "unsigned"
    ENCODED = "encoded"
    UNFRAMED = "unframed"
    UNFRAMED_RESET = "unframed-reset"
    UNFRAMED_CUT = "unframed-cut"
    UNFRAMED_EMPTY = "unframed-empty"
    EARLY = "early"
    RESET_EARLY = "reset-early"
    ERROR = "error"
    UNAVAILABLE = "unavailable"
    TOO_MANY = "too-many"


# Responses without length and chunks, which end with their connection.
UNFRAMED_FAULTS = (
    Fault.UNFRAMED,
    Fault.UNFRAMED_RESET,
    Fault.UNFRAMED_CUT,
    Fault.UNFRAMED_EMPTY,
)
# Signed errors of a request that has run.
ERROR_STATUSES = {Fault.ERROR: 500, Fault.UNAVAILABLE: 503, Fault.TOO_MANY: 429}


# The headers of a request, and the chunks of its response; a fault ends it.
StreamScript = Callable[[dict[bytes, bytes]], Iterable[bytes | Fault]]


class PhaseBody(msgspec.Struct):
    """The fields of an order that set the phase."""

    phase: str
    fencing_token: int
    precondition: int | None = None


@dataclass
class Run:
    """One request whose execution started."""

    request: str
    headers: dict[bytes, bytes]
    body: bytes
    started: float
    ended: float | None = None
    completed: bool = False


@dataclass
class Arrival:
    """A call of any kind that reached a replica."""

    at: float
    host: str


@dataclass
class Backoff:
    """A rejection that asked a host to send nothing for ``seconds``."""

    host: str
    at: float
    seconds: float


@dataclass
class Crash:
    """A replica crash; ``path`` is that of the request that caused it."""

    address: str
    path: str
    at: float


@dataclass
class FleetState:
    """State that all replicas of a fake fleet share.

    ``handles`` maps KV cache handles to their owners; ``crash_paths`` are the paths of
    requests that crash each replica on which they start to run, ``crash_blocks`` the
    prompt blocks that do so anywhere but last in a prompt.
    """

    handles: dict[str, str] = field(default_factory=dict)
    released: list[str] = field(default_factory=list)
    crash_paths: set[str] = field(default_factory=set)
    crash_blocks: set[str] = field(default_factory=set)
    crashes: list[Crash] = field(default_factory=list)
    # Where replicas crash while they respond; ``None``: they don't respond.
    background: trio.Nursery | None = None
    # Events after which the stream of a request breaks, once.
    breaks: dict[str, int] = field(default_factory=dict)
    # The share of further streams that break, anywhere and also amid an event.
    break_share: float = 0.0
    # The share of events that are sent in two parts.
    split_share: float = 0.0
    rng: random.Random = field(default_factory=random.Random)
    # Called when a replica crashes; a replica in its own process exits here.
    on_crash: Callable[[], None] = lambda: None

    def draw_break(self, request: str, first: int, last: int) -> float | None:
        """Return how many events come before a stream breaks; x.5: amid the next."""
        if request in self.breaks:
            return self.breaks.pop(request)
        if self.rng.random() >= self.break_share:
            return None
        return self.rng.randint(2 * first - 2, 2 * last) / 2


class PermissiveFleetState(FleetState):
    """Accepts every handle: replicas in separate processes share no memory."""

    def __init__(self, on_crash: Callable[[], None] = lambda: None) -> None:
        """Treat each handle as one of a cached prefill."""
        super().__init__(handles=_AnyHandle(), on_crash=on_crash)


class _AnyHandle(dict):
    """A dictionary whose ``pop`` finds every handle."""

    def pop(self, handle: str, default=None) -> str:
        """Return the owner of any handle."""
        return super().pop(handle, "elsewhere")


class EntryReplica:
    """One replica; each request consumes one of ``faults``."""

    # Its service, as its events name it beside the version; empty: they don't.
    service: str = ""

    def __init__(
        self,
        instance: str,
        address: str,
        fleet_state: FleetState | None = None,
        phase: EnginePhase = EnginePhase.NONE,
    ):
        """Respond as ``instance`` at ``address``."""
        self.instance = instance
        self.address = address
        self.phase = phase
        self.fleet_state = fleet_state or FleetState()
        self.faults: list[Fault] = []
        self.runs: list[Run] = []
        self.arrivals: list[str] = []
        self.prefills: list[str] = []
        self.prefill_headers: list[dict[bytes, bytes]] = []
        self.orders: list[PhaseBody] = []
        # The version of its software; set before it is listed.
        self.version = SoftwareVersion("")
        self.work_seconds = 0.02
        self.prefill_seconds = 0.05
        self.event_count = 4
        self.event_seconds = 0.05
        self.alive = True
        self.started_ms: int | None = None
        # Whether the KV handles of its prefills expire at once.
        self.drops_kv_caches = False
        # Whether it resets the connection of streams whose prompts it prefills itself.
        self.resets_self_prefills = False
        # Running and waiting requests and slots, as its responses report them.
        self.reported_load = (1, 0, 8)
        # The requests that it refused as not executed.
        self.refusals: list[str] = []
        # Paths of the calls for another instance that it answered with 421.
        self.misdirected: list[str] = []
        self.connections = 0
        self.open_sessions: set[_Session] = set()
        self.body_bytes = 0
        self.body_read_delay_seconds = 0.0
        # Further figures of the load that its responses report.
        self.load_suffix = b""
        # Rate limit that its responses announce, in requests a second.
        self.rate_limit: float | None = None
        self.calls: list[Arrival] = []
        # When the limit was first sent to each host.
        self.rate_limit_sent_at: dict[str, float] = {}
        # Whether it sends a copy of each short response again, right before its next
        # response on the connection.
        self.sends_late_copies = False
        # If set, it rejects requests and asks hosts to send nothing for that long.
        self.retry_after: float | None = None
        self.backoffs: list[Backoff] = []
        # It sends nothing until then, and goes on as if nothing had happened.
        self.silent_until = float("-inf")
        # What it sends as streams, in place of its usual events, and their status.
        self.stream_script: StreamScript | None = None
        self.stream_status = 200
        # The version of its weights; ``None``: it does not report one.
        self.weights: bytes | None = None
        # Whether its responses announce draining, and when each host first got that.
        self.announces_draining = False
        self.draining_sent_at: dict[str, float] = {}

    async def serve(self, stream: trio.abc.Stream, host: str = "") -> None:
        """Serve one connection of ``host`` until either side closes it."""
        self.connections += 1
        session = _Session(self, stream, host)
        self.open_sessions.add(session)
        try:
            while await session.serve_one():
                pass
        except* (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.RemoteProtocolError,
        ):
            pass
        finally:
            self.open_sessions.discard(session)
            await trio.aclose_forcefully(stream)

    async def crash(self, path: str) -> None:
        """Crash: reset all connections, with the requests that run on them."""
        if not self.alive:
            return
        self.alive = False
        self.fleet_state.on_crash()
        self.fleet_state.crashes.append(Crash(self.address, path, trio.current_time()))
        for session in list(self.open_sessions):
            await session.reset()

    def restart(self, started_ms: int) -> None:
        """Restart under the same name, without orders and KV caches."""
        self.started_ms = started_ms
        self.orders.clear()
        for handle, owner in list(self.fleet_state.handles.items()):
            if owner == self.instance:
                del self.fleet_state.handles[handle]

    def next_fault(self) -> Fault | None:
        """Return and consume the next request's fault."""
        return self.faults.pop(0) if self.faults else None


class _Session:
    """One connection to a replica."""

    def __init__(self, replica: EntryReplica, stream: trio.abc.Stream, host: str):
        self.replica = replica
        self.stream = stream
        self.host = host
        self.conn = h11.Connection(h11.SERVER)
        self.path = ""
        self.method = b""
        self._late_copy = b""

    async def serve_one(self) -> bool:
        """Serve one request; return whether the connection stays open."""
        head = await self._next_event()
        if not isinstance(head, h11.Request) or not self.replica.alive:
            return False
        headers = dict(head.headers)
        self.path = path = head.target.decode("latin-1")
        self.method = head.method
        fault = None if path.startswith("/v1/") else self.replica.next_fault()
        if fault is Fault.EARLY:
            await self._send_response(413, b"too long", headers)
            await trio.sleep(0.2)
        if fault is Fault.RESET_EARLY:
            await self._next_event()
            await self.reset()
            return False
        body = await self._read_body()
        late_copy, self._late_copy = self._late_copy, b""
        await self.stream.send_all(late_copy)
        if fault is not Fault.EARLY:
            await self._route(head, headers, body, fault)
        if self.conn.our_state is not h11.DONE:
            return False
        self.conn.start_next_cycle()
        return True

    async def _read_body(self) -> bytes:
        body = b""
        while isinstance(event := await self._next_event(), h11.Data):
            body += bytes(event.data)
            self.replica.body_bytes += len(event.data)
            await trio.sleep(self.replica.body_read_delay_seconds)
        if not isinstance(event, h11.EndOfMessage):
            raise trio.BrokenResourceError("request body ended early")
        return body

    async def _route(self, head, headers, body: bytes, fault) -> None:
        path = self.path
        requested_instance = headers.get(names.TARGET_INSTANCE)
        expected_weights = headers.get(names.EXPECTED_VERSION)
        if (
            requested_instance is not None
            and requested_instance.decode() != self.replica.instance
        ) or expected_weights not in (None, self.replica.weights):
            self.replica.misdirected.append(path)
            await self._send_response(WRONG_INSTANCE, b"", headers, signed=False)
            return
        self.replica.calls.append(Arrival(trio.current_time(), self.host))
        if path.startswith(names.KV_HANDLE_PATH):
            handle = path.removeprefix(names.KV_HANDLE_PATH)
            self.replica.fleet_state.handles.pop(handle, None)
            self.replica.fleet_state.released.append(handle)
            await self._send_response(200, b"", headers, signed=False)
        elif path == RUNS_PATH:
            runs = [run.request for run in self.replica.runs]
            await self._send_response(
                200, msgspec.json.encode(runs), headers, signed=False
            )
        elif path == names.REPORT_PATH.decode():
            await self._send_report(headers)
        elif path == names.ORDER_PATH.decode():
            await self._handle_order(headers, body)
        else:
            await self._request(headers, body, fault)

    async def _send_report(self, headers) -> None:
        report = {
            "phase": self.replica.phase,
            "busy": False,
            "sequence": len(self.replica.orders),
        }
        if self.replica.started_ms is not None:
            report["born"] = self.replica.started_ms
        if self.replica.weights is not None:
            version = int(self.replica.weights)
            report["models"] = [{"name": "m", "version": version, "adapters": []}]
        await self._send_response(
            200, msgspec.json.encode(report), headers, signed=False
        )

    async def _handle_order(self, headers, body: bytes) -> None:
        order = msgspec.json.decode(body, type=PhaseBody)
        if order.precondition not in (None, len(self.replica.orders)):
            await self._send_response(409, b"", headers, signed=False)
            return
        self.replica.orders.append(order)
        self.replica.phase = EnginePhase(order.phase)
        await self._send_response(202, b"", headers, signed=False)

    async def _request(self, headers, body: bytes, fault) -> None:
        request = headers.get(names.ATTEMPT_ID, b"").decode("latin-1")
        self.replica.arrivals.append(request)
        if self.replica.retry_after is not None:
            await self._request_backoff(headers, self.replica.retry_after)
        elif fault is Fault.REFUSE:
            await self._refuse(request, headers)
        elif headers.get(names.PHASE) == b"prefill":
            await self._run_prefill(request, headers, fault)
        elif not self._claim_kv_source(headers):
            await self._refuse(request, headers)
        else:
            if self.replica.resets_self_prefills and names.KV_SOURCE not in headers:
                fault = Fault.RESET
            await self._run(request, headers, body, fault)

    async def _refuse(self, request: str, headers) -> None:
        self.replica.refusals.append(request)
        await self._send_response(
            503, b"", headers, signed=False, extra_headers=[(names.NOT_RUN, b"1")]
        )

    async def _request_backoff(self, headers, seconds: float) -> None:
        backoff = Backoff(self.host, trio.current_time(), seconds)
        self.replica.backoffs.append(backoff)
        extra_headers = [(names.NOT_RUN, b"1"), (b"retry-after", b"%.1f" % seconds)]
        await self._send_response(
            503, b"", headers, signed=False, extra_headers=extra_headers
        )

    def _claim_kv_source(self, headers) -> bool:
        source = headers.get(names.KV_SOURCE)
        if source is None:
            return True
        handle = source.decode("latin-1").rpartition("/")[2]
        return self.replica.fleet_state.handles.pop(handle, None) is not None

    async def _run_prefill(self, request: str, headers, fault) -> None:
        await self._apply_connection_fault(fault)
        self.replica.prefills.append(request)
        self.replica.prefill_headers.append(headers)
        await trio.sleep(self.replica.prefill_seconds)
        handle = f"kv-{request}-{len(self.replica.arrivals)}"
        if not self.replica.drops_kv_caches:
            self.replica.fleet_state.handles[handle] = self.replica.instance
        body = msgspec.json.encode({"kv_handle": handle, "tokens": 1, "version": 1})
        await self._send_response(200, body, headers, signed=False)

    async def _run(self, request: str, headers, body: bytes, fault) -> None:
        run = Run(request, headers, body, trio.current_time())
        self.replica.runs.append(run)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_on_disconnect, nursery.cancel_scope)
            try:
                await self._apply_connection_fault(fault)
                if self._is_deadly(headers):
                    await self._crash_soon()
                if b"x-pieces" in headers:
                    await self._send_stream(headers, fault)
                else:
                    await self._send_plain(headers, fault)
                run.completed = True
            finally:
                run.ended = trio.current_time()
            nursery.cancel_scope.cancel()

    async def _crash_soon(self) -> None:
        """Crash the replica after a moment, in which short responses may end."""
        state = self.replica.fleet_state
        if state.background is not None:
            state.background.start_soon(self._crash_later)
            return
        await self._crash_later()

    async def _crash_later(self) -> None:
        await trio.sleep(CRASH_DELAY_SECONDS)
        await self.replica.crash(self.path)

    def _is_deadly(self, headers) -> bool:
        """Return whether a request crashes the replica that starts to run it."""
        state = self.replica.fleet_state
        entries = headers.get(names.PREFIX_BLOCKS, b"").decode("latin-1").split(",")
        blocks = {entry.partition(":")[0] for entry in entries[:-1]}
        return self.path in state.crash_paths or bool(blocks & state.crash_blocks)

    async def _cancel_on_disconnect(self, scope: trio.CancelScope) -> None:
        """Cancel the request when its connection closes."""
        while data := await self._receive():
            self.conn.receive_data(data)
        scope.cancel()

    async def _apply_connection_fault(self, fault) -> None:
        if fault is Fault.MUTE:
            await trio.sleep_forever()
        if fault is Fault.RESET:
            await self.reset()
            raise trio.BrokenResourceError("connection reset")

    async def reset(self) -> None:
        """Reset the connection; over TCP it is closed instead."""
        if isinstance(self.stream, Pipe):
            self.stream.reset()
        else:
            await trio.aclose_forcefully(self.stream)

    async def _send_plain(self, headers, fault) -> None:
        await trio.sleep(self.replica.work_seconds)
        body = b"body of " + headers[names.ATTEMPT_ID]
        if fault in ERROR_STATUSES:
            await self._send_response(ERROR_STATUSES[fault], b"failed", headers)
        elif fault is Fault.UNSIGNED:
            await self._send_response(200, body, headers, signed=False)
        elif fault is Fault.ENCODED:
            await self._send_response(
                200, body, headers, extra_headers=[(b"content-encoding", b"gzip")]
            )
        elif fault in (Fault.CUT, Fault.UNFRAMED_RESET, Fault.UNFRAMED):
            await self._send_malformed(body, headers, fault)
        else:
            await self._send_response(200, body, headers)
        if fault is Fault.EXTRA:
            await trio.sleep(LATE_RESPONSE_DELAY_SECONDS)
            await self.stream.send_all(_unsolicited_response())

    async def _send_malformed(self, body: bytes, headers, fault) -> None:
        """Send a response with a wrong content length, or with none, as raw bytes."""
        lines = [b"HTTP/1.1 200 OK", b"connection: close"]
        lines += [
            name + b": " + value
            for name, value in self._response_headers(headers, True)
        ]
        if fault is Fault.CUT:
            lines.append(b"content-length: 999")
        await self.stream.send_all(b"\r\n".join(lines) + b"\r\n\r\n" + body)
        await trio.sleep(0.01)
        if fault is Fault.UNFRAMED_RESET:
            await self.reset()
        raise trio.BrokenResourceError("malformed response sent")

    async def _send_stream(self, headers, fault) -> None:
        if self.replica.stream_script is not None:
            await self._send_script(headers, self.replica.stream_script)
            return
        first = int(headers.get(names.LAST_EVENT_ID, b"0")) + 1
        event_count = int(headers[b"x-pieces"])
        if fault in UNFRAMED_FAULTS:
            await self._send_unframed_stream(headers, fault, first, event_count)
        weights = self.replica.weights
        await self._send_event(self._stream_head(headers))
        state = self.replica.fleet_state
        request = headers[names.ATTEMPT_ID].decode()
        break_after = state.draw_break(request, first, event_count)
        for number in range(first, event_count + 1):
            await trio.sleep(self.replica.event_seconds)
            event, weights = self._event(number, weights), self.replica.weights
            if break_after is not None and number > break_after:
                if break_after % 1:
                    size = state.rng.randrange(1, len(event))
                    await self._send_event(h11.Data(data=event[:size]))
                await self.reset()
                raise trio.BrokenResourceError("stream broken")
            if fault is Fault.HALF_EVENT and number == 3:
                await self._send_event(h11.Data(data=event[:-6]))
            if fault in (Fault.CUT, Fault.HALF_EVENT) and number == 3:
                await trio.sleep(0.01)
                await self.reset()
                raise trio.BrokenResourceError("stream cut")
            for part in self._parts(event):
                await self._send_event(h11.Data(data=part))
        if break_after == event_count:
            await self.reset()
            raise trio.BrokenResourceError("stream broken before its end")
        await self._send_event(h11.EndOfMessage())

    def _stream_head(self, headers) -> h11.Response:
        fields = self._response_headers(headers, True)
        if self.replica.weights is not None:
            fields.append((names.WEIGHT_VERSIONS, self.replica.weights))
        return h11.Response(status_code=self.replica.stream_status, headers=fields)

    async def _send_script(self, headers, script: StreamScript) -> None:
        """Send a scripted stream, each chunk after the usual time of an event.

        ``Fault.RESET`` resets the connection and ``Fault.CUT`` closes it, without the
        end of the response.
        """
        await self._send_event(self._stream_head(headers))
        for step in script(headers):
            await trio.sleep(self.replica.event_seconds)
            if step is Fault.RESET:
                await self.reset()
            if isinstance(step, Fault):
                raise trio.BrokenResourceError("stream broken")
            await self._send_event(h11.Data(data=step))
        await self._send_event(h11.EndOfMessage())

    def _parts(self, event: bytes) -> list[bytes]:
        state = self.replica.fleet_state
        if state.rng.random() >= state.split_share:
            return [event]
        at = state.rng.randrange(1, len(event))
        return [event[:at], event[at:]]

    async def _send_unframed_stream(
        self, headers, fault: Fault, first: int, event_count: int
    ) -> None:
        """Send a stream without length or chunks, and close the connection."""
        fields = [(b"connection", b"close"), *self._response_headers(headers, True)]
        lines = [b"HTTP/1.1 200 OK", *(name + b": " + value for name, value in fields)]
        await self.stream.send_all(b"\r\n".join(lines) + b"\r\n\r\n")
        if fault is Fault.UNFRAMED_EMPTY:
            event_count = 0
        for number in range(first, event_count + 1):
            await trio.sleep(self.replica.event_seconds)
            event = b"id: %d\ndata: %s\n\n" % (number, self._event_data(number))
            if fault in (Fault.UNFRAMED_CUT, Fault.UNFRAMED_RESET) and number == 3:
                await self.stream.send_all(event[:-6])
                break
            await self.stream.send_all(event)
        await trio.sleep(0.01)
        if fault is Fault.UNFRAMED_RESET:
            await self.reset()
        raise trio.BrokenResourceError("unframed stream sent")

    def _event(self, number: int, named: bytes | None) -> bytes:
        """Return an event, which names the weights unless they are ``named``."""
        event = b"id: %d\ndata: %s\n\n" % (number, self._event_data(number))
        weights = self.replica.weights
        if weights in (named, None):
            return event
        return names.WEIGHT_VERSIONS + b": " + weights + b"\n" + event

    def _event_data(self, number: int) -> bytes:
        """Return the data of an event, which names what made it where that is known."""
        replica = self.replica
        parts = [(b"@", replica.version), (b"/", replica.service)]
        data = b"".join(mark + name.encode() for mark, name in parts if name)
        if replica.version and replica.weights is not None:
            data += b"~" + replica.weights
        return b"piece-%d" % number + data

    def _response_headers(self, headers, signed: bool) -> list:
        response_headers = []
        if names.ATTEMPT_ID in headers:
            response_headers.append((names.ATTEMPT_ID, headers[names.ATTEMPT_ID]))
        load = b"%d,%d,%d" % self.replica.reported_load + self.replica.load_suffix
        response_headers.append((names.LOAD, load))
        if signed:
            response_headers.append(
                (names.SIGNATURE, b"signed-by-" + self.replica.instance.encode())
            )
        if self.replica.rate_limit is not None:
            response_headers.append(
                (names.RATE_LIMIT, b"%.2f" % self.replica.rate_limit)
            )
            self.replica.rate_limit_sent_at.setdefault(self.host, trio.current_time())
        if self.replica.announces_draining:
            response_headers.append((names.DRAINING, b"1"))
            self.replica.draining_sent_at.setdefault(self.host, trio.current_time())
        return response_headers

    async def _send_response(
        self, status: int, body: bytes, headers, signed: bool = True, extra_headers=()
    ) -> None:
        framing = [(b"content-length", b"%d" % len(body))]
        head = h11.Response(
            status_code=status,
            headers=[
                *self._response_headers(headers, signed),
                *extra_headers,
                *framing,
            ],
        )
        sent = b"" if self.method == b"HEAD" else body
        events = [head, h11.Data(data=sent), h11.EndOfMessage()]
        data = b"".join(self.conn.send(event) or b"" for event in events)
        if self.replica.sends_late_copies:
            self._late_copy = data
        await self._send_unless_silent(data)

    async def _send_event(self, event: h11.Event) -> None:
        data = self.conn.send(event)
        if data:
            await self._send_unless_silent(data)

    async def _send_unless_silent(self, data: bytes) -> None:
        while trio.current_time() < self.replica.silent_until:
            await trio.sleep_until(self.replica.silent_until)
        await self.stream.send_all(data)

    async def _next_event(self):
        while True:
            event = self.conn.next_event()
            if event is not h11.NEED_DATA:
                return event
            self.conn.receive_data(await self._receive())

    async def _receive(self) -> bytes:
        try:
            return bytes(await self.stream.receive_some(READ_BYTES))
        except trio.BrokenResourceError:
            return b""


def _unsolicited_response() -> bytes:
    """Return a response to a request that is not open on the connection."""
    body = b"another's"
    head = (
        "HTTP/1.1 200 OK\r\n"
        f"{names.ATTEMPT_ID.decode()}: somebody-else\r\n"
        f"{names.SIGNATURE.decode()}: signed\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body
