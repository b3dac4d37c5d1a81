"""The callers' interface: from HTTP requests to calls, and back to answers."""

import logging
import math
import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import msgspec

from berylshift.clock import Clock
from berylshift.connection.http_server import HttpRequest, Responder
from berylshift.ids import CustomerName, FleetName, RequestId, WorkName
from berylshift.metrics import Metrics
from berylshift.process.limits import CustomerLimits
from berylshift.request.completion import Completion, CompletionParts
from berylshift.request.decisions import DecisionLog
from berylshift.request.errors import BadRequestError
from berylshift.request.messages import (
    DEADLINE_HEADER,
    KEY_HEADER,
    OUTCOME_HEADER,
    REQUEST_HEADER,
    RETRY_HEADER,
    Caller,
    Ending,
    ModelCall,
    Outcome,
    PlainCall,
    PlainEnding,
    Reason,
)
from berylshift.request.service_call import ServiceCalls
from berylshift.settings import CallerSettings, Credential

logger = logging.getLogger(__name__)

READY_PATH = "/ready"
LIVE_PATH = "/live"
COMPLETIONS_PATH = "/v1/completions"
SERVICES_PATH = "/services/"
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})
IDEMPOTENT_HEADER = "berylshift-idempotent"
LONGEST_KEY = 200
PROBLEM_TYPE = "application/problem+json"
EVENT_TYPE = "text/event-stream"
JSON_TYPE = "application/json"
DROPPED_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    }
)
STATUS = {
    Reason.BAD_REQUEST: 400,
    Reason.UNKNOWN_CALLER: 401,
    Reason.NO_SUCH_WORK: 404,
    Reason.STALE_VIEW: 503,
    Reason.DRAINING: 503,
    Reason.NO_TARGET: 503,
    Reason.AT_LIMIT: 503,
    Reason.CUSTOMER_LIMIT: 429,
    Reason.TOO_LATE: 503,
    Reason.RETRIES_SPENT: 503,
    Reason.TARGET_FAILED: 502,
    Reason.STORE_DOWN: 503,
    Reason.KEY_REUSED: 422,
    Reason.KEY_PENDING: 409,
    Reason.FATE_UNKNOWN: 502,
}
STATUS_OK = 200
STATUS_UNAVAILABLE = 503


class CompletionBody(msgspec.Struct, frozen=True):
    """The body of ``POST /v1/completions``; other members are passed over."""

    model: str
    prompt: str
    max_tokens: int = 256
    stream: bool = False


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """An error by RFC 9457, with the request's outcome."""

    type: str
    title: str
    status: int
    outcome: str
    request: str
    detail: str = ""


class Choice(msgspec.Struct, frozen=True):
    """The text of an answer, or some of it."""

    index: int
    text: str
    finish_reason: str | None = None


class CompletionAnswer(msgspec.Struct, frozen=True):
    """An answer in the shape that callers' client libraries read."""

    id: str
    model: str
    choices: list[Choice]
    object: str = "text_completion"


class OutcomeEvent(msgspec.Struct, frozen=True, omit_defaults=True):
    """The last event of a stream."""

    outcome: str
    request: str
    reason: str = ""
    tokens: int = 0


@dataclass
class FrontParts:
    """What the callers' interface works with."""

    clock: Clock
    cfg: CallerSettings
    callers: dict[str, Credential]
    completions: CompletionParts
    services: ServiceCalls
    limits: CustomerLimits
    decisions: DecisionLog
    metrics: Metrics
    closed: Callable[[], Reason | None]
    ready: Callable[[], bool]
    rng: random.Random


class Front:
    """Handles callers' requests."""

    def __init__(self, parts: FrontParts):
        """Work with ``parts``."""
        self._parts = parts
        self.in_flight = 0

    async def handle(self, req: HttpRequest, responder: Responder) -> None:
        """Answer one HTTP request."""
        if req.path in (READY_PATH, LIVE_PATH):
            await self._health(req, responder)
            return
        started = self._parts.clock.monotonic()
        with self._in_flight():
            await self._route(req, Answer(responder, self.new_request()))
        took = self._parts.clock.monotonic() - started
        self._parts.metrics.timing("request", took * 1000)

    @contextmanager
    def _in_flight(self) -> Iterator[None]:
        """Count the block as work that a graceful shutdown waits for."""
        self.in_flight += 1
        try:
            yield
        finally:
            self.in_flight -= 1

    def new_request(self) -> RequestId:
        """Return an id that no other request has."""
        return RequestId(f"{self._parts.rng.getrandbits(64):016x}")

    async def _route(self, req: HttpRequest, out: "Answer") -> None:
        caller = self._caller(req)
        if caller is None:
            await out.problem(_not_run(Reason.UNKNOWN_CALLER))
            return
        try:
            if req.path == COMPLETIONS_PATH:
                await self._completion(req, out, caller)
            elif req.path.startswith(SERVICES_PATH):
                await self._service(req, out, caller)
            else:
                await out.problem(_not_run(Reason.NO_SUCH_WORK, "no such path"))
        except BadRequestError as exc:
            await out.problem(_not_run(Reason.BAD_REQUEST, str(exc)))

    async def _health(self, req: HttpRequest, responder: Responder) -> None:
        good = req.path == LIVE_PATH or self._parts.ready()
        status = STATUS_OK if good else STATUS_UNAVAILABLE
        await responder.full(status, {"content-type": "text/plain"}, b"")

    def _caller(self, req: HttpRequest) -> Caller | None:
        token = req.headers.get("authorization", "").removeprefix("Bearer ")
        found = self._parts.callers.get(token)
        if found is None:
            return None
        return Caller(CustomerName(found.customer), FleetName(found.fleet))

    def _deadline(self, req: HttpRequest) -> float:
        now = self._parts.clock.monotonic()
        text = req.headers.get(DEADLINE_HEADER)
        if text is None:
            return now + self._parts.cfg.default_deadline
        if not text.isdigit() or int(text) == 0:
            raise BadRequestError(f"{DEADLINE_HEADER}: must be whole milliseconds")
        return now + min(int(text) / 1000, self._parts.cfg.longest_request)

    def admit(self, caller: Caller) -> Ending | None:
        """Return the refusal of a new request, or ``None`` to go on."""
        reason = self._parts.closed()
        if reason is not None:
            return _not_run(reason)
        now = self._parts.clock.monotonic()
        wait = self._parts.limits.admit(caller.customer, now)
        if wait > 0:
            return _not_run(Reason.CUSTOMER_LIMIT, wait=wait)
        return None

    # Model calls

    async def _completion(
        self, req: HttpRequest, out: "Answer", caller: Caller
    ) -> None:
        body = _completion_body(req)
        call = ModelCall(
            request=out.request,
            caller=caller,
            model=WorkName(body.model),
            prompt=body.prompt,
            max_tokens=body.max_tokens,
            deadline=self._deadline(req),
        )
        sink = StreamSink(out, body.model) if body.stream else WholeSink()
        ending = await self.complete(call, sink)
        if body.stream:
            await sink.finish(ending)
        elif ending.outcome is Outcome.COMPLETE:
            await out.whole(_completion_answer(out.request, body.model, sink.joined()))
        else:
            await out.problem(ending)

    async def complete(self, call: ModelCall, sink) -> Ending:
        """Carry a model call out; every ending is logged."""
        ending = self.admit(call.caller)
        if ending is None:
            with self._in_flight():
                ending = await Completion(self._parts.completions, call, sink).run()
        self._parts.decisions.ended(call.request, ending)
        return ending

    # Plain services

    async def _service(self, req: HttpRequest, out: "Answer", caller: Caller) -> None:
        name, _, rest = req.path.removeprefix(SERVICES_PATH).partition("/")
        call = PlainCall(
            request=out.request,
            caller=caller,
            service=WorkName(name),
            method=req.method,
            path=f"/{rest}",
            headers=_passed_headers(req),
            body=req.body,
            deadline=self._deadline(req),
            idempotent=_is_idempotent(req),
            key=req.headers.get(KEY_HEADER, ""),
        )
        _check_key(call)
        found = await self.call_service(call)
        if found.ending.outcome is Outcome.COMPLETE:
            await out.passed_on(found)
        else:
            await out.problem(found.ending)

    async def call_service(self, call: PlainCall) -> PlainEnding:
        """Carry a plain call out; every ending is logged."""
        ending = self.admit(call.caller)
        if ending is None:
            with self._in_flight():
                found = await self._parts.services.run(call)
        else:
            found = await self._parts.services.refuse(call, ending)
        self._parts.decisions.ended(call.request, found.ending)
        return found


class Answer:
    """Writes the answer of one request, always with its outcome."""

    def __init__(self, responder: Responder, request: RequestId):
        """Answer ``request`` through ``responder``."""
        self._responder = responder
        self.request = request

    async def whole(self, body: bytes) -> None:
        """Send a whole answer."""
        headers = {**self._headers(Outcome.COMPLETE), "content-type": JSON_TYPE}
        await self._responder.full(STATUS_OK, headers, body)

    async def passed_on(self, found: PlainEnding) -> None:
        """Send a plain service's answer."""
        headers = {**found.headers, **self._headers(Outcome.COMPLETE)}
        await self._responder.full(found.status, headers, found.body)

    async def problem(self, ending: Ending) -> None:
        """Send an error; it says when to come back, where that is of use."""
        status = STATUS[ending.reason]
        headers = {**self._headers(ending.outcome), "content-type": PROBLEM_TYPE}
        if ending.retry_after > 0:
            headers[RETRY_HEADER] = str(math.ceil(ending.retry_after))
        problem = Problem(
            type=f"urn:berylshift:{ending.reason.name.lower().replace('_', '-')}",
            title=ending.reason.value,
            status=status,
            outcome=ending.outcome.value,
            request=self.request,
            detail=ending.detail,
        )
        await self._responder.full(status, headers, msgspec.json.encode(problem))

    async def start_events(self) -> None:
        """Send the head of a stream."""
        headers = {
            REQUEST_HEADER: self.request,
            "content-type": EVENT_TYPE,
            "cache-control": "no-store",
        }
        await self._responder.start(STATUS_OK, headers)

    async def event(self, data: bytes, name: str = "") -> None:
        """Send one server-sent event."""
        head = f"event: {name}\n".encode() if name else b""
        await self._responder.send(head + b"data: " + data + b"\n\n")

    async def end(self) -> None:
        """End a stream; one that is not ended so is seen to be cut."""
        await self._responder.end()

    def _headers(self, outcome: Outcome) -> dict[str, str]:
        return {OUTCOME_HEADER: outcome.value, REQUEST_HEADER: self.request}


class WholeSink:
    """Keeps the text for an answer that is sent whole."""

    def __init__(self) -> None:
        """Start empty."""
        self._parts: list[str] = []

    async def text(self, text: str) -> None:
        """Keep some text."""
        self._parts.append(text)

    def joined(self) -> str:
        """Return all text."""
        return "".join(self._parts)


class StreamSink:
    """Sends text as server-sent events; its head goes out with the first text.

    Until then the request can still be refused with a status of its own.
    """

    def __init__(self, out: Answer, model: str):
        """Send to ``out``."""
        self._out = out
        self._model = model
        self._started = False

    async def text(self, text: str) -> None:
        """Send some text."""
        if not self._started:
            self._started = True
            await self._out.start_events()
        await self._out.event(_completion_answer(self._out.request, self._model, text))

    async def finish(self, ending: Ending) -> None:
        """End the stream, or leave it open-ended where it is not whole."""
        if not self._started:
            await self._out.problem(ending)
            return
        event = OutcomeEvent(
            ending.outcome.value, self._out.request, ending.reason.value, ending.tokens
        )
        await self._out.event(msgspec.json.encode(event), "outcome")
        if ending.outcome is Outcome.COMPLETE:
            await self._out.event(b"[DONE]")
            await self._out.end()


def _completion_answer(request: RequestId, model: str, text: str) -> bytes:
    answer = CompletionAnswer(request, model, [Choice(0, text)])
    return msgspec.json.encode(answer)


def _completion_body(req: HttpRequest) -> CompletionBody:
    if req.method != "POST":
        raise BadRequestError("completions are asked for by POST")
    try:
        body = msgspec.json.decode(req.body, type=CompletionBody)
    except msgspec.DecodeError as exc:
        raise BadRequestError(str(exc)) from exc
    if body.max_tokens < 1:
        raise BadRequestError("max_tokens: must be 1 or more")
    if not body.prompt:
        raise BadRequestError("prompt: must not be empty")
    return body


def _passed_headers(req: HttpRequest) -> dict[str, str]:
    return {
        name: value
        for name, value in req.headers.items()
        if name not in DROPPED_HEADERS
    }


def _is_idempotent(req: HttpRequest) -> bool:
    if req.method in IDEMPOTENT_METHODS:
        return True
    return req.headers.get(IDEMPOTENT_HEADER) == "true"


def _check_key(call: PlainCall) -> None:
    if call.idempotent:
        return
    if not call.key:
        raise BadRequestError(f"a call that may not be repeated needs {KEY_HEADER}")
    if len(call.key) > LONGEST_KEY or not call.key.isprintable():
        raise BadRequestError(f"{KEY_HEADER}: at most {LONGEST_KEY} plain characters")


def _not_run(reason: Reason, detail: str = "", wait: float = 1.0) -> Ending:
    asks_again = STATUS[reason] in (429, 503)
    return Ending(Outcome.NOT_RUN, reason, detail, wait if asks_again else 0.0)
