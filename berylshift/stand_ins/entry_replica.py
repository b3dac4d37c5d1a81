"""A replica that speaks the platform's protocol, with scripted faults.

It serves plain calls and streams, reads prompts apart, and keeps a record of what ran.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

import h11
import msgspec
import trio

from berylshift.messages.replicas import EnginePhase
from berylshift.platform import names
from berylshift.stand_ins.pipes import Pipe

READ_BYTES = 65536
# Not the platform's: tells a test which requests have run here.
RUNS_PATH = "/stand-in/runs"
WRONG_INSTANCE = 421


# A late answer comes when its connection is idle again.
LATE_SECONDS = 0.05
# From the beginning of a run until it ends its replica.
CRASH_SECONDS = 0.05


class Fault(StrEnum):
    """What goes wrong with a request."""

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
    EARLY = "early"
    RESET_EARLY = "reset-early"
    ERROR = "error"


class PhaseBody(msgspec.Struct):
    """The part of an order that concerns the phase."""

    phase: str
    fencing_token: int
    precondition: int | None = None


@dataclass
class Run:
    """One request that began to run."""

    request: str
    headers: dict[bytes, bytes]
    body: bytes
    started: float
    ended: float | None = None
    whole: bool = False


@dataclass
class Arrival:
    """A call that reached a replica, whatever it asks for."""

    at: float
    host: str


@dataclass
class Backoff:
    """A host was turned away and asked to send nothing for ``seconds``."""

    host: str
    at: float
    seconds: float


@dataclass
class Crash:
    """A replica that ended, and when; ``path``: of the request that ended it."""

    address: str
    path: str
    at: float


@dataclass
class Kept:
    """What all replicas of a stand-in fleet share.

    KV caches by handle; ``crashing`` are the paths of requests that end each replica
    which begins to run them.
    """

    handles: dict[str, str] = field(default_factory=dict)
    released: list[str] = field(default_factory=list)
    crashing: set[str] = field(default_factory=set)
    crashes: list[Crash] = field(default_factory=list)
    # Called as a replica ends; a process of its own ends here.
    on_crash: Callable[[], None] = lambda: None


class AnyKept(Kept):
    """Takes every handle: replicas in processes of their own share no memory."""

    def __init__(self, on_crash: Callable[[], None] = lambda: None) -> None:
        """Hand out each handle as if it were kept."""
        super().__init__(handles=_AnyHandle(), on_crash=on_crash)


class _AnyHandle(dict):
    """Has every handle once it is asked for."""

    def pop(self, handle: str, default=None) -> str:
        """Return an engine for any handle."""
        return super().pop(handle, "elsewhere")


class EntryReplica:
    """One replica; ``faults`` are used up one a request."""

    def __init__(
        self,
        instance: str,
        address: str,
        kept: Kept | None = None,
        phase: EnginePhase = EnginePhase.NONE,
    ):
        """Answer as ``instance`` at ``address``."""
        self.instance = instance
        self.address = address
        self.phase = phase
        self.kept = kept or Kept()
        self.faults: list[Fault] = []
        self.runs: list[Run] = []
        self.arrivals: list[str] = []
        self.reads: list[str] = []
        self.read_headers: list[dict[bytes, bytes]] = []
        self.orders: list[PhaseBody] = []
        self.work_seconds = 0.02
        self.read_seconds = 0.05
        self.pieces = 4
        self.piece_seconds = 0.05
        self.alive = True
        self.started_ms: int | None = None
        self.loses_caches = False
        self.connections = 0
        self.open_sessions: set[_Session] = set()
        self.body_bytes = 0
        self.read_pause = 0.0
        # Requests a second that its answers name as its limit.
        self.rate_limit: float | None = None
        self.calls: list[Arrival] = []
        # When each host was first told of the limit.
        self.told_limit: dict[str, float] = {}
        # Seconds for which it asks a host that it turns away to send nothing.
        self.retry_after: float | None = None
        self.backoffs: list[Backoff] = []
        # Whether its answers say that it leaves, and when each host was first told.
        self.says_leaving = False
        self.told_leaving: dict[str, float] = {}

    async def serve(self, stream: trio.abc.Stream, host: str = "") -> None:
        """Serve one connection of ``host`` until either side ends it."""
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
        """End at once, with all that runs here."""
        if not self.alive:
            return
        self.alive = False
        self.kept.on_crash()
        self.kept.crashes.append(Crash(self.address, path, trio.current_time()))
        for session in list(self.open_sessions):
            await session.reset()

    def start_again(self, started_ms: int) -> None:
        """Start anew under the same name, knowing nothing of before."""
        self.started_ms = started_ms
        self.orders.clear()
        for handle, owner in list(self.kept.handles.items()):
            if owner == self.instance:
                del self.kept.handles[handle]

    def take_fault(self) -> Fault | None:
        """Return the next request's fault."""
        return self.faults.pop(0) if self.faults else None


class _Session:
    """One connection."""

    def __init__(self, replica: EntryReplica, stream: trio.abc.Stream, host: str):
        self.replica = replica
        self.stream = stream
        self.host = host
        self.conn = h11.Connection(h11.SERVER)
        self.path = ""

    async def serve_one(self) -> bool:
        """Serve one request; return whether the connection goes on."""
        head = await self._event()
        if not isinstance(head, h11.Request) or not self.replica.alive:
            return False
        headers = dict(head.headers)
        self.path = path = head.target.decode()
        fault = None if path.startswith("/v1/") else self.replica.take_fault()
        if fault is Fault.EARLY:
            await self._answer(413, b"too long", headers)
            await trio.sleep(0.2)
        if fault is Fault.RESET_EARLY:
            await self._event()
            await self.reset()
            return False
        body = await self._read_body()
        if fault is not Fault.EARLY:
            await self._route(head, headers, body, fault)
        if self.conn.our_state is not h11.DONE:
            return False
        self.conn.start_next_cycle()
        return True

    async def _read_body(self) -> bytes:
        body = b""
        while isinstance(event := await self._event(), h11.Data):
            body += bytes(event.data)
            self.replica.body_bytes += len(event.data)
            await trio.sleep(self.replica.read_pause)
        if not isinstance(event, h11.EndOfMessage):
            raise trio.BrokenResourceError("the body broke off")
        return body

    async def _route(self, head, headers, body: bytes, fault) -> None:
        path = head.target.decode()
        named = headers.get(names.TARGET_INSTANCE)
        if named is not None and named.decode() != self.replica.instance:
            await self._answer(WRONG_INSTANCE, b"", headers, signed=False)
            return
        self.replica.calls.append(Arrival(trio.current_time(), self.host))
        if path.startswith(names.KV_HANDLE_PATH):
            handle = path.removeprefix(names.KV_HANDLE_PATH)
            self.replica.kept.handles.pop(handle, None)
            self.replica.kept.released.append(handle)
            await self._answer(200, b"", headers, signed=False)
        elif path == RUNS_PATH:
            runs = [run.request for run in self.replica.runs]
            await self._answer(200, msgspec.json.encode(runs), headers, signed=False)
        elif path == names.REPORT_PATH.decode():
            await self._report(headers)
        elif path == names.ORDER_PATH.decode():
            await self._order(headers, body)
        else:
            await self._request(headers, body, fault)

    async def _report(self, headers) -> None:
        report = {
            "phase": self.replica.phase,
            "busy": False,
            "sequence": len(self.replica.orders),
        }
        if self.replica.started_ms is not None:
            report["born"] = self.replica.started_ms
        await self._answer(200, msgspec.json.encode(report), headers, signed=False)

    async def _order(self, headers, body: bytes) -> None:
        order = msgspec.json.decode(body, type=PhaseBody)
        if order.precondition not in (None, len(self.replica.orders)):
            await self._answer(409, b"", headers, signed=False)
            return
        self.replica.orders.append(order)
        self.replica.phase = EnginePhase(order.phase)
        await self._answer(202, b"", headers, signed=False)

    async def _request(self, headers, body: bytes, fault) -> None:
        request = headers.get(names.ATTEMPT_ID, b"").decode()
        self.replica.arrivals.append(request)
        if self.replica.retry_after is not None:
            await self._ask_to_back_off(headers, self.replica.retry_after)
        elif fault is Fault.REFUSE:
            await self._answer(
                503, b"", headers, signed=False, more=[(names.NOT_RUN, b"1")]
            )
        elif headers.get(names.PHASE) == b"prefill":
            await self._prefill(request, headers, fault)
        elif not self._takes_source(headers):
            await self._answer(
                503, b"", headers, signed=False, more=[(names.NOT_RUN, b"1")]
            )
        else:
            await self._run(request, headers, body, fault)

    async def _ask_to_back_off(self, headers, seconds: float) -> None:
        backoff = Backoff(self.host, trio.current_time(), seconds)
        self.replica.backoffs.append(backoff)
        more = [(names.NOT_RUN, b"1"), (b"retry-after", b"%.1f" % seconds)]
        await self._answer(503, b"", headers, signed=False, more=more)

    def _takes_source(self, headers) -> bool:
        source = headers.get(names.KV_SOURCE)
        if source is None:
            return True
        handle = source.decode().rpartition("/")[2]
        return self.replica.kept.handles.pop(handle, None) is not None

    async def _prefill(self, request: str, headers, fault) -> None:
        await self._break(fault)
        self.replica.reads.append(request)
        self.replica.read_headers.append(headers)
        await trio.sleep(self.replica.read_seconds)
        handle = f"kv-{request}-{len(self.replica.arrivals)}"
        if not self.replica.loses_caches:
            self.replica.kept.handles[handle] = self.replica.instance
        body = msgspec.json.encode({"kv_handle": handle, "tokens": 1, "version": 1})
        await self._answer(200, body, headers, signed=False)

    async def _run(self, request: str, headers, body: bytes, fault) -> None:
        run = Run(request, headers, body, trio.current_time())
        self.replica.runs.append(run)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch, nursery.cancel_scope)
            try:
                await self._break(fault)
                if self.path in self.replica.kept.crashing:
                    await trio.sleep(CRASH_SECONDS)
                    await self.replica.crash(self.path)
                if b"x-pieces" in headers:
                    await self._stream(headers, fault)
                else:
                    await self._plain(headers, fault)
                run.whole = True
            finally:
                run.ended = trio.current_time()
            nursery.cancel_scope.cancel()

    async def _watch(self, scope: trio.CancelScope) -> None:
        """Drop the request when its connection closes."""
        while data := await self._receive():
            self.conn.receive_data(data)
        scope.cancel()

    async def _break(self, fault) -> None:
        if fault is Fault.MUTE:
            await trio.sleep_forever()
        if fault is Fault.RESET:
            await self.reset()
            raise trio.BrokenResourceError("reset")

    async def reset(self) -> None:
        """Break the connection; over TCP a plain close stands for it."""
        if isinstance(self.stream, Pipe):
            self.stream.reset()
        else:
            await trio.aclose_forcefully(self.stream)

    async def _plain(self, headers, fault) -> None:
        await trio.sleep(self.replica.work_seconds)
        body = b"body of " + headers[names.ATTEMPT_ID]
        if fault is Fault.ERROR:
            await self._answer(500, b"failed", headers)
        elif fault is Fault.UNSIGNED:
            await self._answer(200, body, headers, signed=False)
        elif fault is Fault.ENCODED:
            await self._answer(
                200, body, headers, more=[(b"content-encoding", b"gzip")]
            )
        elif fault in (Fault.CUT, Fault.UNFRAMED_RESET, Fault.UNFRAMED):
            await self._broken_plain(body, headers, fault)
        else:
            await self._answer(200, body, headers)
        if fault is Fault.EXTRA:
            await trio.sleep(LATE_SECONDS)
            await self.stream.send_all(_late_answer())

    async def _broken_plain(self, body: bytes, headers, fault) -> None:
        """Answer with a wrong length, or with none, in bytes of our own."""
        lines = [b"HTTP/1.1 200 OK", b"connection: close"]
        lines += [name + b": " + value for name, value in self._headers(headers, True)]
        if fault is Fault.CUT:
            lines.append(b"content-length: 999")
        await self.stream.send_all(b"\r\n".join(lines) + b"\r\n\r\n" + body)
        await trio.sleep(0.01)
        if fault is Fault.UNFRAMED_RESET:
            await self.reset()
        raise trio.BrokenResourceError("ends here")

    async def _stream(self, headers, fault) -> None:
        first = int(headers.get(names.LAST_EVENT_ID, b"0")) + 1
        pieces = int(headers[b"x-pieces"])
        head = h11.Response(status_code=200, headers=self._headers(headers, True))
        await self._send(head)
        for number in range(first, pieces + 1):
            await trio.sleep(self.replica.piece_seconds)
            event = b"id: %d\ndata: piece-%d\n\n" % (number, number)
            if fault is Fault.HALF_EVENT and number == 3:
                await self._send(h11.Data(data=event[:-6]))
            if fault in (Fault.CUT, Fault.HALF_EVENT) and number == 3:
                await trio.sleep(0.01)
                await self.reset()
                raise trio.BrokenResourceError("cut")
            await self._send(h11.Data(data=event))
        await self._send(h11.EndOfMessage())

    def _headers(self, headers, signed: bool) -> list:
        found = [(names.ATTEMPT_ID, headers.get(names.ATTEMPT_ID, b""))]
        found.append((names.LOAD, b"1,0,8"))
        if signed:
            found.append(
                (names.SIGNATURE, b"signed-by-" + self.replica.instance.encode())
            )
        if self.replica.rate_limit is not None:
            found.append((names.RATE_LIMIT, b"%.2f" % self.replica.rate_limit))
            self.replica.told_limit.setdefault(self.host, trio.current_time())
        if self.replica.says_leaving:
            found.append((names.DRAINING, b"1"))
            self.replica.told_leaving.setdefault(self.host, trio.current_time())
        return found

    async def _answer(
        self, status: int, body: bytes, headers, signed: bool = True, more=()
    ) -> None:
        framing = [(b"content-length", b"%d" % len(body))]
        head = h11.Response(
            status_code=status,
            headers=[*self._headers(headers, signed), *more, *framing],
        )
        await self._send(head)
        if body:
            await self._send(h11.Data(data=body))
        await self._send(h11.EndOfMessage())

    async def _send(self, event: h11.Event) -> None:
        data = self.conn.send(event)
        if data:
            await self.stream.send_all(data)

    async def _event(self):
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


def _late_answer() -> bytes:
    """Return a second answer, to a request that nobody waits for any more."""
    body = b"another's"
    head = (
        "HTTP/1.1 200 OK\r\n"
        f"{names.ATTEMPT_ID.decode()}: somebody-else\r\n"
        f"{names.SIGNATURE.decode()}: signed\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body
