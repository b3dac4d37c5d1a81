"""Recorded traces: JSON lines, the first of which holds the expected outcome."""

from enum import StrEnum
from pathlib import Path

import msgspec
from returns.result import Failure, Result, Success

MAX_TIME_MS = 7 * 24 * 3600 * 1000


class Expect(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Expected outcome of a trace; fields that are ``None`` are not checked."""

    lost: int | None = None
    doubled: int | None = None
    cut: int | None = None
    goodput_min: float | None = None
    role_changes_max: int | None = None


class TraceHeader(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """First line of a trace."""

    trace: str
    expect: Expect


class Kind(StrEnum):
    """Kind of target that a request is for."""

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
    """Kind of an event."""

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
    """One event; ``who`` names a host, engine or replica, ``to`` a link's other end.

    An edit sets ``column`` of the row of ``who`` to ``value``.
    """

    at_ms: int
    event: EventKind
    who: str = ""
    to: str = ""
    column: str = ""
    value: str = ""


class Trace(msgspec.Struct, frozen=True):
    """A trace, ordered by time."""

    name: str
    expect: Expect
    requests: list[TraceRequest]
    events: list[TraceEvent]


class LineError(msgspec.Struct, frozen=True):
    """One invalid line of a trace."""

    line: int
    reason: str

    def __str__(self) -> str:
        """Return the error as shown to operators."""
        return f"line {self.line}: {self.reason}"


class TraceErrors(msgspec.Struct, frozen=True):
    """All invalid lines of a trace."""

    path: str
    errors: list[LineError]

    def __str__(self) -> str:
        """Return the errors, one per line."""
        return "\n".join(f"{self.path}, {error}" for error in self.errors)


def read_trace(path: str) -> Result[Trace, TraceErrors]:
    """Return the trace in a file, or all of its invalid lines."""
    try:
        lines = Path(path).read_bytes().splitlines()
    except OSError as exc:
        error = LineError(0, f"cannot be read: {exc.strerror}")
        return Failure(TraceErrors(path, [error]))
    return parse_trace(path, lines)


def parse_trace(path: str, lines: list[bytes]) -> Result[Trace, TraceErrors]:
    """Return the trace in ``lines``, or all invalid lines with their numbers."""
    errors: list[LineError] = []
    header = _decode(1, lines[0] if lines else b"", TraceHeader, errors)
    requests: list[TraceRequest] = []
    events: list[TraceEvent] = []
    for number, line in enumerate(lines[1:], start=2):
        if not line.strip():
            continue
        if b'"event"' in line:
            event = _decode(number, line, TraceEvent, errors)
            if event is not None and _check_event(number, event, errors):
                events.append(event)
            continue
        request = _decode(number, line, TraceRequest, errors)
        if request is not None and _check_request(number, request, errors):
            requests.append(request)
    if errors or header is None:
        return Failure(TraceErrors(path, errors))
    requests.sort(key=lambda item: item.at_ms)
    events.sort(key=lambda item: item.at_ms)
    return Success(Trace(header.trace, header.expect, requests, events))


def _decode(number: int, line: bytes, kind: type, errors: list[LineError]):
    try:
        return msgspec.json.decode(line, type=kind)
    except msgspec.DecodeError as exc:
        errors.append(LineError(number, str(exc)))
        return None


def _check_request(number: int, request: TraceRequest, errors: list[LineError]) -> bool:
    reason = ""
    if not 0 <= request.at_ms <= MAX_TIME_MS:
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
        errors.append(LineError(number, reason))
    return not reason


def _check_event(number: int, event: TraceEvent, errors: list[LineError]) -> bool:
    is_store_event = event.event in (EventKind.STORE_DOWN, EventKind.STORE_UP)
    reason = ""
    if not event.who and not is_store_event:
        reason = f"event {event.event} names who"
    elif event.event is EventKind.EDIT and not event.column:
        reason = "an edit names the column"
    if reason:
        errors.append(LineError(number, reason))
    return not reason


def write_trace(
    path: Path, header: TraceHeader, items: list[TraceRequest | TraceEvent]
) -> None:
    """Write a trace, ordered by time."""
    ordered = sorted(items, key=lambda item: item.at_ms)
    lines = [msgspec.json.encode(item) for item in (header, *ordered)]
    path.write_bytes(b"\n".join(lines) + b"\n")
