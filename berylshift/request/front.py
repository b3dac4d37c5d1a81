"""The callers' interface: from HTTP requests to calls, and back to answers."""

import logging
import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import msgspec

from berylshift.clock import Clock
from berylshift.connection.http_request import HttpRequest
from berylshift.connection.responder import Responder
from berylshift.ids import CustomerName, FleetName, RequestId, WorkName
from berylshift.metrics import Metrics
from berylshift.process.limits.customer_limits import CustomerLimits
from berylshift.request.answer import (
    STATUS,
    Answer,
    StreamSink,
    WholeSink,
    completion_answer,
)
from berylshift.request.completion import Completion
from berylshift.request.decisions import DecisionLog
from berylshift.request.engine_attempt import CompletionParts
from berylshift.request.errors import BadRequestError
from berylshift.request.messages import (
    DEADLINE_HEADER,
    KEY_HEADER,
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
STATUS_OK = 200
STATUS_UNAVAILABLE = 503


class CompletionBody(msgspec.Struct, frozen=True):
    """The body of ``POST /v1/completions``; other members are passed over."""

    model: str
    prompt: str
    max_tokens: int = 256
    stream: bool = False


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

    async def _route(self, req: HttpRequest, out: Answer) -> None:
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

    async def _completion(self, req: HttpRequest, out: Answer, caller: Caller) -> None:
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
            await out.whole(completion_answer(out.request, body.model, sink.joined()))
        else:
            await out.problem(ending)

    async def complete(self, call: ModelCall, sink) -> Ending:
        """Carry a model call out; every ending is logged."""
        ending = self.admit(call.caller)
        if ending is None:
            with self._in_flight():
                ending = await Completion(self._parts.completions, call, sink).run()
        self._parts.decisions.log_ending(call.request, ending)
        return ending

    # Plain services

    async def _service(self, req: HttpRequest, out: Answer, caller: Caller) -> None:
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
        self._parts.decisions.log_ending(call.request, found.ending)
        return found


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
