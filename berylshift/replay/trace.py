"""Recorded traces: JSON lines with a stated outcome in the first line."""

from enum import StrEnum
from pathlib import Path

import msgspec
from returns.result import Failure, Result, Success

MAX_MS = 7 * 24 * 3600 * 1000


class Expect(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The stated outcome; what is ``None`` is not checked."""

    lost: int | None = None
    doubled: int | None = None
    cut: int | None = None
    goodput_min: float | None = None
    role_changes_max: int | None = None


class Head(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A trace's first line."""

    trace: str
    expect: Expect


class Kind(StrEnum):
    """What a request asks for."""

    MODEL = "model"
    SERVICE = "service"


class TraceRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One request; times in milliseconds, sizes in tokens."""

    at_ms: int
    caller: str
    customer: str
    fleet: str
    kind: Kind
    model: str = ""
    service: str = ""
    prefix: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    deadline_ms: int = 30000
    idempotent: bool = True

    @property
    def work(self) -> str:
        """Return the model's or service's name."""
        return self.model if self.kind is Kind.MODEL else self.service


class EventKind(StrEnum):
    """What an event does."""

    KILL = "kill"
    PAUSE = "pause"
    RESUME = "resume"
    CUT = "cut"
    HEAL = "heal"
    STORE_DOWN = "store-down"
    STORE_UP = "store-up"
    DRAIN = "drain"
    WITHDRAW = "withdraw"
    EDIT = "edit"


class TraceEvent(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One event; ``who`` names hosts, engines or replicas, ``to`` the other side.

    An edit sets ``column`` of the row of ``who`` to ``value``.
    """

    at_ms: int
    event: EventKind
    who: str = ""
    to: str = ""
    column: str = ""
    value: str = ""


class Trace(msgspec.Struct, frozen=True):
    """A whole trace, in order of time."""

    name: str
    expect: Expect
    requests: list[TraceRequest]
    events: list[TraceEvent]


class TraceFault(msgspec.Struct, frozen=True):
    """One bad line."""

    line: int
    reason: str

    def __str__(self) -> str:
        """Return the fault as operators read it."""
        return f"line {self.line}: {self.reason}"


class TraceFaults(msgspec.Struct, frozen=True):
    """All bad lines of a trace."""

    path: str
    faults: list[TraceFault]

    def __str__(self) -> str:
        """Return the faults, a line each."""
        return "\n".join(f"{self.path}, {fault}" for fault in self.faults)


def read_trace(path: str) -> Result[Trace, TraceFaults]:
    """Return the trace in a file, or every bad line."""
    try:
        lines = Path(path).read_bytes().splitlines()
    except OSError as exc:
        fault = TraceFault(0, f"can't be read: {exc.strerror}")
        return Failure(TraceFaults(path, [fault]))
    return parse_trace(path, lines)


def parse_trace(path: str, lines: list[bytes]) -> Result[Trace, TraceFaults]:
    """Return the trace in ``lines``, or every bad line by number."""
    faults: list[TraceFault] = []
    head = _decode(1, lines[0] if lines else b"", Head, faults)
    requests: list[TraceRequest] = []
    events: list[TraceEvent] = []
    for number, line in enumerate(lines[1:], start=2):
        if not line.strip():
            continue
        if b'"event"' in line:
            event = _decode(number, line, TraceEvent, faults)
            if event is not None and _check_event(number, event, faults):
                events.append(event)
            continue
        request = _decode(number, line, TraceRequest, faults)
        if request is not None and _check_request(number, request, faults):
            requests.append(request)
    if faults or head is None:
        return Failure(TraceFaults(path, faults))
    requests.sort(key=lambda item: item.at_ms)
    events.sort(key=lambda item: item.at_ms)
    return Success(Trace(head.trace, head.expect, requests, events))


def _decode(number: int, line: bytes, kind: type, faults: list[TraceFault]):
    try:
        return msgspec.json.decode(line, type=kind)
    except msgspec.DecodeError as exc:
        faults.append(TraceFault(number, str(exc)))
        return None


def _check_request(
    number: int, request: TraceRequest, faults: list[TraceFault]
) -> bool:
    reason = ""
    if not 0 <= request.at_ms <= MAX_MS:
        reason = "at_ms is out of range"
    elif not request.work:
        reason = f"a request of kind {request.kind} names its {request.kind}"
    elif request.deadline_ms <= 0:
        reason = "deadline_ms must be above 0"
    elif (
        request.kind is Kind.MODEL
        and min(request.prompt_tokens, request.output_tokens) < 1
    ):
        reason = "a model request has prompt_tokens and output_tokens above 0"
    if reason:
        faults.append(TraceFault(number, reason))
    return not reason


def _check_event(number: int, event: TraceEvent, faults: list[TraceFault]) -> bool:
    whole_fleet = event.event in (EventKind.STORE_DOWN, EventKind.STORE_UP)
    reason = ""
    if not event.who and not whole_fleet:
        reason = f"event {event.event} names who"
    elif event.event is EventKind.EDIT and not event.column:
        reason = "an edit names the column"
    if reason:
        faults.append(TraceFault(number, reason))
    return not reason


def write_trace(path: Path, head: Head, items: list[TraceRequest | TraceEvent]) -> None:
    """Write a trace, in order of time."""
    ordered = sorted(items, key=lambda item: item.at_ms)
    lines = [msgspec.json.encode(item) for item in (head, *ordered)]
    path.write_bytes(b"\n".join(lines) + b"\n")
