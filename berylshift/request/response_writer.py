"""Responses of the native API: complete, streamed, forwarded or an error."""

import math

import msgspec

from berylshift.connection.responder import Responder
from berylshift.ids import RequestId
from berylshift.request.messages import (
    OUTCOME_HEADER,
    REQUEST_HEADER,
    RETRY_HEADER,
    NativeResult,
    Outcome,
    Reason,
    ServiceCallResult,
)

PROBLEM_TYPE = "application/problem+json"
EVENT_TYPE = "text/event-stream"
JSON_TYPE = "application/json"
STATUS_OK = 200
STATUS_BY_REASON = {
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
    Reason.QUARANTINED: 503,
    Reason.TARGET_FAILED: 502,
    Reason.STORE_DOWN: 503,
    Reason.KEY_REUSED: 422,
    Reason.KEY_PENDING: 409,
    Reason.FATE_UNKNOWN: 502,
}


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """A problem document (RFC 9457) with the request's outcome."""

    type: str
    title: str
    status: int
    outcome: str
    request: str
    detail: str = ""


class Choice(msgspec.Struct, frozen=True):
    """The text of a completion, or a part of it."""

    index: int
    text: str
    finish_reason: str | None = None


class CompletionResponse(msgspec.Struct, frozen=True):
    """A completion in the format that callers' client libraries expect."""

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


class ResponseWriter:
    """Writes the response to one request, always with its outcome."""

    def __init__(self, responder: Responder, request: RequestId):
        """Write the response to ``request`` to ``responder``."""
        self._responder = responder
        self.request = request

    async def send_full(self, body: bytes) -> None:
        """Send a complete response."""
        headers = {**self._headers(Outcome.COMPLETE), "content-type": JSON_TYPE}
        await self._responder.full(STATUS_OK, headers, body)

    async def forward(self, found: ServiceCallResult) -> None:
        """Forward the response of a plain service."""
        headers = {**found.headers, **self._headers(Outcome.COMPLETE)}
        await self._responder.full(found.status, headers, found.body)

    async def send_service_result(self, found: ServiceCallResult) -> None:
        """Forward the response of a plain service, or send why there is none."""
        if found.result.outcome is Outcome.COMPLETE:
            await self.forward(found)
        else:
            await self.send_problem(found.result)

    async def send_problem(self, result: NativeResult) -> None:
        """Send an error, with Retry-After where a retry can help."""
        status = STATUS_BY_REASON[result.reason]
        headers = {**self._headers(result.outcome), "content-type": PROBLEM_TYPE}
        if result.retry_after > 0:
            headers[RETRY_HEADER] = str(math.ceil(result.retry_after))
        problem = Problem(
            type=f"urn:berylshift:{result.reason.name.lower().replace('_', '-')}",
            title=result.reason.value,
            status=status,
            outcome=result.outcome.value,
            request=self.request,
            detail=result.detail,
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

    async def send_event(self, data: bytes, name: str = "") -> None:
        """Send one server-sent event."""
        head = f"event: {name}\n".encode() if name else b""
        await self._responder.send(head + b"data: " + data + b"\n\n")

    async def end(self) -> None:
        """End a stream; without it, the caller sees a truncated stream."""
        await self._responder.end()

    def _headers(self, outcome: Outcome) -> dict[str, str]:
        return {OUTCOME_HEADER: outcome.value, REQUEST_HEADER: self.request}


class BufferedSink:
    """Buffers the text of a completion that is sent as one response."""

    def __init__(self) -> None:
        """Start empty."""
        self._texts: list[str] = []

    async def write_text(self, text: str) -> None:
        """Append text."""
        self._texts.append(text)

    def full_text(self) -> str:
        """Return all text."""
        return "".join(self._texts)


class StreamSink:
    """Sends text as server-sent events; the head is sent with the first text.

    Until then the request can still be refused with an error status.
    """

    def __init__(self, out: ResponseWriter, model: str):
        """Send to ``out``."""
        self._out = out
        self._model = model
        self._started = False

    async def write_text(self, text: str) -> None:
        """Send text as one event."""
        if not self._started:
            self._started = True
            await self._out.start_events()
        await self._out.send_event(
            encode_completion(self._out.request, self._model, text)
        )

    async def finish(self, result: NativeResult) -> None:
        """End the stream; if the completion is incomplete, send no end marker."""
        if not self._started:
            await self._out.send_problem(result)
            return
        event = OutcomeEvent(
            result.outcome.value, self._out.request, result.reason.value, result.tokens
        )
        await self._out.send_event(msgspec.json.encode(event), "outcome")
        if result.outcome is Outcome.COMPLETE:
            await self._out.send_event(b"[DONE]")
            await self._out.end()


def encode_completion(request: RequestId, model: str, text: str) -> bytes:
    """Return a completion object as JSON, with all of the text or a part of it."""
    response = CompletionResponse(request, model, [Choice(0, text)])
    return msgspec.json.encode(response)
