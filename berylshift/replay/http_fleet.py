"""Replays over HTTP against running entry hosts: the callers and their balancer."""

import random
from collections import Counter
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import msgspec
import trio

from berylshift.connection.errors import ConnectFailedError, ConnectionLayerError
from berylshift.connection.http_client import HttpClient, HttpResponse, Outgoing
from berylshift.replay.keys import KeyOutcomes
from berylshift.replay.result import CallerOutcome, RequestResult
from berylshift.replay.runner import TargetCounts
from berylshift.replay.trace import Kind, TraceEvent, TraceRequest
from berylshift.request.messages import (
    DEADLINE_HEADER,
    KEY_HEADER,
    OUTCOME_HEADER,
    REQUEST_HEADER,
)
from berylshift.stand_ins.fake_service import service_echo
from berylshift.stand_ins.text import completion_text, make_prompt

HEALTH_INTERVAL_SECONDS = 0.5
HEALTH_TIMEOUT_SECONDS = 0.5
MAX_MISSED_CHECKS = 2
MAX_ATTEMPTS = 4
RETRY_PAUSE_SECONDS = 0.2
GRACE_SECONDS = 60.0
STATUS_OK = 200


class HttpBalancer:
    """Picks ready entry hosts in round-robin order.

    A host that answers that it is not ready is left out at once, one that does not
    answer after MAX_MISSED_CHECKS. If no host is left, those are picked that have not
    said that they are not ready.
    """

    def __init__(self, client: HttpClient, entries: list[str]):
        """Balance over ``entries``, each an ``IP:PORT``."""
        self._client = client
        self._entries = entries
        self._refusing: set[str] = set()
        self._missed: Counter[str] = Counter()
        self._next_index = 0

    @property
    def _ready(self) -> list[str]:
        return [entry for entry in self._not_refusing if not self._is_silent(entry)]

    @property
    def _not_refusing(self) -> list[str]:
        return [entry for entry in self._entries if entry not in self._refusing]

    def _is_silent(self, entry: str) -> bool:
        return self._missed[entry] >= MAX_MISSED_CHECKS

    def pick(self) -> str:
        """Return an entry host's address."""
        candidates = self._ready or self._not_refusing or self._entries
        self._next_index += 1
        return candidates[self._next_index % len(candidates)]

    async def run(self) -> None:
        """Check the hosts' health until cancelled."""
        while True:
            await self._check_all()
            await trio.sleep(HEALTH_INTERVAL_SECONDS)

    async def wait_until_ready(self, count: int) -> None:
        """Return once ``count`` hosts have answered that they are ready."""
        await self._check_all()
        while len(self._ready) < count or any(self._missed.values()):
            await trio.sleep(0.05)
            await self._check_all()

    async def _check_all(self) -> None:
        for entry in self._entries:
            self._record(entry, await self._ask(entry))

    def _record(self, entry: str, is_ready: bool | None) -> None:
        """Record an answer; ``None``: there was none."""
        if is_ready is None:
            self._missed[entry] += 1
            return
        self._missed[entry] = 0
        if is_ready:
            self._refusing.discard(entry)
        else:
            self._refusing.add(entry)

    async def _ask(self, entry: str) -> bool | None:
        """Return whether a host is ready; ``None``: it did not answer in time."""
        out = Outgoing(entry, "GET", "/ready", {}, reuse=False)
        with trio.move_on_after(HEALTH_TIMEOUT_SECONDS):
            try:
                async with self._client.request(out) as resp:
                    await resp.read()
                    return resp.status == STATUS_OK
            except ConnectionLayerError:
                return False
        return None


class _Event(msgspec.Struct):
    """One server-sent event."""

    name: str
    data: bytes


class _Problem(msgspec.Struct):
    """The part of a problem document that tells why a request did not complete."""

    title: str = ""


@dataclass
class _AttemptResult:
    """Result of sending a request once."""

    outcome: CallerOutcome
    text: str = ""
    first_token_at: float | None = None
    detail: str = ""


@dataclass
class HttpFleet:
    """Sends a trace's requests; ``event_handler`` applies its events."""

    client: HttpClient
    balancer: HttpBalancer
    tokens: dict[str, str]
    engines: list[str] = field(default_factory=list)
    replicas: list[str] = field(default_factory=list)
    event_handler: object = None
    run_id: str = field(default_factory=lambda: f"{random.getrandbits(32):08x}")
    key_outcomes: KeyOutcomes = field(default_factory=KeyOutcomes)

    async def send(self, number: int, request: TraceRequest) -> RequestResult:
        """Send one request; retry at another host if the connection breaks."""
        start = trio.current_time()
        received = _AttemptResult(CallerOutcome.LOST, detail="no host could be reached")
        deadline = start + request.deadline_ms / 1000
        with trio.move_on_at(deadline + GRACE_SECONDS):
            for _ in range(MAX_ATTEMPTS):
                received = await self._send_once(number, request, deadline)
                if received.outcome is not CallerOutcome.LOST:
                    break
                await trio.sleep(RETRY_PAUSE_SECONDS)
        duration_seconds = trio.current_time() - start
        if not request.idempotent:
            self.key_outcomes.record(self._key(number), received.outcome)
        first_token_seconds = None
        if received.first_token_at is not None:
            first_token_seconds = received.first_token_at - start
        in_time = duration_seconds * 1000 <= request.deadline_ms
        return RequestResult(
            received.outcome,
            duration_seconds,
            in_time,
            first_token_seconds,
            received.detail,
        )

    async def apply_event(self, event: TraceEvent) -> None:
        """Apply an event of the trace."""
        if self.event_handler is not None:
            await self.event_handler.apply_event(event)

    async def close(self) -> TargetCounts:
        """Read the counts of engines and services, and check them."""
        ran: dict[str, int] = {}
        for replica in self.replicas:
            for key, count in (await self._get(replica, "/control/ran", {})).items():
                ran[key] = ran.get(key, 0) + count
        role_changes = 0
        for engine in self.engines:
            counts = await self._get(engine, "/counts", {})
            role_changes += counts.get("role_changes", 0)
        return self.key_outcomes.check(ran, role_changes)

    async def _get(self, address: str, path: str, default: dict) -> dict:
        out = Outgoing(address, "GET", path, {}, reuse=False)
        try:
            async with self._client().request(out) as resp:
                return msgspec.json.decode(await resp.read())
        except ConnectionLayerError:
            return default

    def _client(self) -> HttpClient:
        return self.client

    def _key(self, number: int) -> str:
        return f"{self.run_id}-{number}"

    async def _send_once(
        self, number: int, request: TraceRequest, deadline: float
    ) -> _AttemptResult:
        """Send a request to one host; ``LOST`` means that no outcome was received."""
        remaining = max(1, int((deadline - trio.current_time()) * 1000))
        headers = {
            "authorization": f"Bearer {self.tokens.get(request.customer, '')}",
            "content-type": "application/json",
            DEADLINE_HEADER: str(remaining),
        }
        try:
            if request.kind is Kind.MODEL:
                return await self._send_model_request(number, request, headers)
            return await self._call_service(number, request, headers)
        except ConnectFailedError as exc:
            return _AttemptResult(CallerOutcome.LOST, detail=f"not reached: {exc}")
        except ConnectionLayerError as exc:
            return _AttemptResult(CallerOutcome.LOST, detail=f"broke off: {exc}")

    @asynccontextmanager
    async def _post(self, path: str, headers: dict[str, str], body: bytes):
        entry = self.balancer.pick()
        out = Outgoing(entry, "POST", path, headers, body, reuse=False)
        async with self.client.request(out) as resp:
            yield resp

    async def _send_model_request(
        self, number: int, request: TraceRequest, headers: dict[str, str]
    ) -> _AttemptResult:
        prompt = make_prompt(
            request.prefix,
            f"{self.run_id}/{number}",
            request.prompt_tokens,
            request.output_tokens,
        )
        body = {
            "model": request.model,
            "prompt": prompt,
            "max_tokens": request.output_tokens,
            "stream": True,
        }
        data = msgspec.json.encode(body)
        async with self._post("/v1/completions", headers, data) as resp:
            if resp.status != STATUS_OK:
                return _error_result(resp, await resp.read())
            received = await _read_stream(resp)
        if received.outcome is CallerOutcome.COMPLETE:
            if received.text != completion_text(prompt, request.output_tokens):
                return _AttemptResult(
                    CallerOutcome.CUT, detail=f"request {number}: wrong text"
                )
        return received

    async def _call_service(
        self, number: int, request: TraceRequest, headers: dict[str, str]
    ) -> _AttemptResult:
        body = f"{self.run_id}/{number}".encode()
        if request.idempotent:
            headers["berylshift-idempotent"] = "true"
        else:
            headers[KEY_HEADER] = self._key(number)
        path = f"/services/{request.service}/calls"
        async with self._post(path, headers, body) as resp:
            data = await resp.read()
        if resp.headers.get(OUTCOME_HEADER) != CallerOutcome.COMPLETE.value:
            return _error_result(resp, data)
        if msgspec.json.decode(data).get("echo") != service_echo(body):
            return _AttemptResult(
                CallerOutcome.CUT, detail=f"request {number}: wrong answer"
            )
        return _AttemptResult(CallerOutcome.COMPLETE)


def _error_result(resp: HttpResponse, body: bytes) -> _AttemptResult:
    reported = resp.headers.get(OUTCOME_HEADER, "")
    outcomes = {"not-run": CallerOutcome.NOT_RUN, "unknown": CallerOutcome.UNKNOWN}
    request = resp.headers.get(REQUEST_HEADER, "")
    return _AttemptResult(
        outcomes.get(reported, CallerOutcome.LOST),
        detail=f"request {request}: status {resp.status}, {_problem_title(body)}",
    )


def _problem_title(body: bytes) -> str:
    """Return the title of a problem document."""
    try:
        return msgspec.json.decode(body, type=_Problem).title
    except msgspec.DecodeError:
        return "no problem document"


async def _read_stream(resp: HttpResponse) -> _AttemptResult:
    """Read server-sent events up to the outcome."""
    texts: list[str] = []
    first_token_at = None
    partial = b""
    reported = ""
    try:
        async for data in resp.chunks():
            *events, partial = (partial + data).split(b"\n\n")
            for item in map(_parse_event, events):
                if item.name == "outcome":
                    reported = msgspec.json.decode(item.data)["outcome"]
                elif item.data != b"[DONE]":
                    first_token_at = first_token_at or trio.current_time()
                    choices = msgspec.json.decode(item.data)["choices"]
                    texts.append(choices[0]["text"])
    except ConnectionLayerError as exc:
        # A host that cannot complete a stream sends an outcome; a crashed one does not.
        outcome = CallerOutcome.CUT if reported else CallerOutcome.LOST
        return _AttemptResult(outcome, detail=f"stream ended early: {exc}")
    outcome = CallerOutcome.COMPLETE if reported == "complete" else CallerOutcome.CUT
    return _AttemptResult(
        outcome, "".join(texts), first_token_at, f"outcome {reported!r}"
    )


def _parse_event(block: bytes) -> _Event:
    name, data = "", b""
    for line in block.split(b"\n"):
        field_name, _, value = line.partition(b": ")
        if field_name == b"event":
            name = value.decode()
        elif field_name == b"data":
            data = value
    return _Event(name, data)
