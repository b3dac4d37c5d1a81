"""HTTP handler of the native API: completions, service calls and health checks."""

import logging
import random
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass

import h11
import msgspec

from berylshift.clock import Clock
from berylshift.connection.http_request import HttpRequest
from berylshift.connection.responder import Responder
from berylshift.ids import CustomerName, FleetName, RequestId, WorkName
from berylshift.messages.json_decoding import MalformedJsonError, decode_json
from berylshift.metrics import Metrics
from berylshift.process.limits.customer_limits import CustomerLimits
from berylshift.request.completion import Completion
from berylshift.request.decisions import DecisionLog
from berylshift.request.engine_attempt import CompletionDependencies
from berylshift.request.errors import BadRequestError
from berylshift.request.messages import (
    DEADLINE_HEADER,
    KEY_HEADER,
    Caller,
    ModelCall,
    NativeResult,
    Outcome,
    PlainCall,
    Reason,
    ServiceCallResult,
)
from berylshift.request.response_writer import (
    STATUS_BY_REASON,
    BufferedSink,
    ResponseWriter,
    StreamSink,
    encode_completion,
)
from berylshift.request.service_call import Respond, ServiceCalls
from berylshift.settings import CallerSettings, Credential

logger = logging.getLogger(__name__)

READY_PATH = "/ready"
LIVE_PATH = "/live"
COMPLETIONS_PATH = "/v1/completions"
SERVICES_PATH = "/services/"
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})
IDEMPOTENT_HEADER = "berylshift-idempotent"
MAX_KEY_LENGTH = 200
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
    """The body of ``POST /v1/completions``; other members are ignored."""

    model: str
    prompt: str
    max_tokens: int = 256
    stream: bool = False


async def _no_response(_: ServiceCallResult) -> None:
    """Respond to nobody: the call's result is returned instead."""


@dataclass
class NativeHandlerDependencies:
    """Dependencies of the native API's handler."""

    clock: Clock
    cfg: CallerSettings
    callers: dict[str, Credential]
    completions: CompletionDependencies
    services: ServiceCalls
    limits: CustomerLimits
    decisions: DecisionLog
    metrics: Metrics
    refusal_reason: Callable[[], Reason | None]
    ready: Callable[[], bool]
    rng: random.Random


class NativeHandler:
    """Handles requests to the native API."""

    def __init__(self, deps: NativeHandlerDependencies):
        """Start without requests in flight."""
        self._deps = deps
        self.in_flight = 0

    async def handle(self, req: HttpRequest, responder: Responder) -> None:
        """Handle one HTTP request."""
        if req.path in (READY_PATH, LIVE_PATH):
            await self._health(req, responder)
            return
        started = self._deps.clock.monotonic()
        with self._in_flight():
            await self._route(req, ResponseWriter(responder, self.new_request()))
        elapsed = self._deps.clock.monotonic() - started
        self._deps.metrics.timing("request", elapsed * 1000)

    @contextmanager
    def _in_flight(self) -> Iterator[None]:
        """Count the block as in-flight work, which a graceful shutdown waits for."""
        self.in_flight += 1
        try:
            yield
        finally:
            self.in_flight -= 1

    def new_request(self) -> RequestId:
        """Return a random request id."""
        return RequestId(f"{self._deps.rng.getrandbits(64):016x}")

    async def _route(self, req: HttpRequest, out: ResponseWriter) -> None:
        caller = self._caller(req)
        if caller is None:
            await out.send_problem(_unread(req, Reason.UNKNOWN_CALLER))
            return
        try:
            if req.path == COMPLETIONS_PATH:
                await self._completion(req, out, caller)
            elif req.path.startswith(SERVICES_PATH):
                await self._service(req, out, caller)
            else:
                await out.send_problem(_not_run(Reason.NO_SUCH_WORK, "no such path"))
        except BadRequestError as exc:
            await out.send_problem(_unread(req, Reason.BAD_REQUEST, str(exc)))

    async def _health(self, req: HttpRequest, responder: Responder) -> None:
        is_healthy = req.path == LIVE_PATH or self._deps.ready()
        status = STATUS_OK if is_healthy else STATUS_UNAVAILABLE
        await responder.full(status, {"content-type": "text/plain"}, b"")

    def _caller(self, req: HttpRequest) -> Caller | None:
        token = req.headers.get("authorization", "").removeprefix("Bearer ")
        found = self._deps.callers.get(token)
        if found is None:
            return None
        return Caller(CustomerName(found.customer), FleetName(found.fleet))

    def _deadline(self, req: HttpRequest) -> float:
        now = self._deps.clock.monotonic()
        text = req.headers.get(DEADLINE_HEADER)
        if text is None:
            return now + self._deps.cfg.default_deadline
        if not text.isdigit() or int(text) == 0:
            raise BadRequestError(f"{DEADLINE_HEADER}: must be whole milliseconds")
        return now + min(int(text) / 1000, self._deps.cfg.longest_request)

    def admit(self, caller: Caller) -> NativeResult | None:
        """Return the refusal of a new request; ``None``: it is admitted."""
        reason = self._deps.refusal_reason()
        if reason is not None:
            return _not_run(reason)
        now = self._deps.clock.monotonic()
        wait = self._deps.limits.admit(caller.customer, now)
        if wait > 0:
            return _not_run(Reason.CUSTOMER_LIMIT, wait_seconds=wait)
        return None

    # Model calls

    async def _completion(
        self, req: HttpRequest, out: ResponseWriter, caller: Caller
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
        sink = StreamSink(out, body.model) if body.stream else BufferedSink()
        result = await self.complete(call, sink)
        if body.stream:
            await sink.finish(result)
        elif result.outcome is Outcome.COMPLETE:
            await out.send_full(
                encode_completion(out.request, body.model, sink.full_text())
            )
        else:
            await out.send_problem(result)

    async def complete(self, call: ModelCall, sink) -> NativeResult:
        """Run a model call and log how it ended."""
        result = self.admit(call.caller)
        if result is None:
            with self._in_flight():
                result = await Completion(self._deps.completions, call, sink).run()
        self._deps.decisions.log_result(call.request, result)
        return result

    # Plain services

    async def _service(
        self, req: HttpRequest, out: ResponseWriter, caller: Caller
    ) -> None:
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
            idempotent=_is_idempotent(req.method, req.headers),
            key=req.headers.get(KEY_HEADER, ""),
        )
        _check_key(call)
        await self.call_service(call, out.send_service_result)

    async def call_service(
        self, call: PlainCall, respond: Respond = _no_response
    ) -> ServiceCallResult:
        """Run a service call, answer it with ``respond`` and log how it ended."""

        async def log_and_respond(found: ServiceCallResult) -> None:
            self._deps.decisions.log_result(call.request, found.result)
            await respond(found)

        result = self.admit(call.caller)
        if result is None:
            with self._in_flight():
                return await self._deps.services.run(call, log_and_respond)
        return await self._deps.services.refuse(call, result, log_and_respond)


def outcome_unhandled(head: h11.Request | None) -> str:
    """Return the outcome of a request that is refused before it is handled.

    ``head``: its head, ``None`` if that was not read.
    """
    if head is None:
        return Outcome.UNKNOWN.value
    headers = {name.decode(): val.decode("latin-1") for name, val in head.headers}
    path = head.target.decode("latin-1")
    return _outcome_unread(head.method.decode(), path, headers).value


def _outcome_unread(method: str, path: str, headers: Mapping[str, str]) -> Outcome:
    """Return the outcome of a request whose key, if it has one, can't be looked up.

    An earlier confirmation with the key may have run.
    """
    has_key = path.startswith(SERVICES_PATH) and KEY_HEADER in headers
    if has_key and not _is_idempotent(method, headers):
        return Outcome.UNKNOWN
    return Outcome.NOT_RUN


def _unread(req: HttpRequest, reason: Reason, detail: str = "") -> NativeResult:
    """Return the refusal of a request that can't be read or authorized."""
    outcome = _outcome_unread(req.method, req.path, req.headers)
    return msgspec.structs.replace(_not_run(reason, detail), outcome=outcome)


def _completion_body(req: HttpRequest) -> CompletionBody:
    if req.method != "POST":
        raise BadRequestError("completions are asked for by POST")
    try:
        body = decode_json(req.body, CompletionBody)
    except MalformedJsonError as exc:
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


def _is_idempotent(method: str, headers: Mapping[str, str]) -> bool:
    if method in IDEMPOTENT_METHODS:
        return True
    return headers.get(IDEMPOTENT_HEADER) == "true"


def _check_key(call: PlainCall) -> None:
    if call.idempotent:
        return
    if not call.key:
        raise BadRequestError(f"a call that may not be repeated needs {KEY_HEADER}")
    if len(call.key) > MAX_KEY_LENGTH or not call.key.isprintable():
        raise BadRequestError(
            f"{KEY_HEADER}: at most {MAX_KEY_LENGTH} plain characters"
        )


def _not_run(
    reason: Reason, detail: str = "", wait_seconds: float = 1.0
) -> NativeResult:
    is_retryable = STATUS_BY_REASON[reason] in (429, 503)
    return NativeResult(
        Outcome.NOT_RUN, reason, detail, wait_seconds if is_retryable else 0.0
    )
