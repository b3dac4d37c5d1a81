"""Replays against running entry hosts: the callers and their balancer, by HTTP."""

import random
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import msgspec
import trio

from berylshift.connection.errors import (
    ConnectFailedError,
    ConnectionLayerError,
)
from berylshift.connection.http_client import HttpClient, HttpResponse, Outgoing
from berylshift.replay.keys import KeyBook
from berylshift.replay.result import Fate, RequestResult
from berylshift.replay.runner import BookCounts
from berylshift.replay.trace import Kind, TraceEvent, TraceRequest
from berylshift.request.messages import (
    DEADLINE_HEADER,
    KEY_HEADER,
    OUTCOME_HEADER,
)
from berylshift.stand_ins.fake_service import service_echo
from berylshift.stand_ins.text import completion_text, make_prompt

HEALTH_INTERVAL = 0.5
HEALTH_TIMEOUT = 0.5
TIMES_ASKED = 4
ASK_AGAIN_PAUSE = 0.2
GRACE_SECONDS = 60.0
STATUS_OK = 200


class HttpBalancer:
    """Picks entry hosts that say they are ready, in turn."""

    def __init__(self, client: HttpClient, entries: list[str]):
        """Balance over ``entries``, each ``IP:PORT``."""
        self._client = client
        self._entries = entries
        self._ready = list(entries)
        self._turn = 0

    def pick(self) -> str:
        """Return an entry host's address."""
        among = self._ready or self._entries
        self._turn += 1
        return among[self._turn % len(among)]

    async def run(self) -> None:
        """Check the hosts' health until cancelled."""
        while True:
            ready = [entry for entry in self._entries if await self._is_ready(entry)]
            self._ready = ready
            await trio.sleep(HEALTH_INTERVAL)

    async def wait_until_ready(self, count: int) -> None:
        """Return once ``count`` hosts are ready."""
        while len(self._ready) < count or not await self._is_ready(self._ready[0]):
            self._ready = [e for e in self._entries if await self._is_ready(e)]
            await trio.sleep(0.05)

    async def _is_ready(self, entry: str) -> bool:
        out = Outgoing(entry, "GET", "/ready", {}, reuse=False)
        with trio.move_on_after(HEALTH_TIMEOUT):
            try:
                async with self._client.request(out) as resp:
                    await resp.read()
                    return resp.status == STATUS_OK
            except ConnectionLayerError:
                return False
        return False


class _Event(msgspec.Struct):
    """One event of a stream as the callers read it."""

    name: str
    data: bytes


@dataclass
class _Received:
    """What one asking brought."""

    fate: Fate
    text: str = ""
    first_token: float | None = None
    detail: str = ""


@dataclass
class HttpFleet:
    """Sends a trace's requests; ``actor`` brings its events about."""

    client: HttpClient
    balancer: HttpBalancer
    tokens: dict[str, str]
    engines: list[str] = field(default_factory=list)
    replicas: list[str] = field(default_factory=list)
    actor: object = None
    run_id: str = field(default_factory=lambda: f"{random.getrandbits(32):08x}")
    book: KeyBook = field(default_factory=KeyBook)

    async def send(self, number: int, request: TraceRequest) -> RequestResult:
        """Send one request; where a connection broke, ask again elsewhere."""
        start = trio.current_time()
        received = _Received(Fate.LOST, detail="no host could be reached")
        deadline = start + request.deadline_ms / 1000
        with trio.move_on_at(deadline + GRACE_SECONDS):
            for _ in range(TIMES_ASKED):
                received = await self._ask(number, request, deadline)
                if received.fate is not Fate.LOST:
                    break
                await trio.sleep(ASK_AGAIN_PAUSE)
        took = trio.current_time() - start
        if not request.idempotent:
            self.book.told(self._key(number), received.fate)
        first = None
        if received.first_token is not None:
            first = received.first_token - start
        in_time = took * 1000 <= request.deadline_ms
        return RequestResult(received.fate, took, in_time, first, received.detail)

    async def act(self, event: TraceEvent) -> None:
        """Bring an event about."""
        if self.actor is not None:
            await self.actor.act(event)

    async def close(self) -> BookCounts:
        """Ask engines and services for their counts."""
        ran: dict[str, int] = {}
        for replica in self.replicas:
            for key, count in (await self._get(replica, "/control/ran", {})).items():
                ran[key] = ran.get(key, 0) + count
        changes = 0
        for engine in self.engines:
            found = await self._get(engine, "/counts", {})
            changes += found.get("role_changes", 0)
        return self.book.check(ran, changes)

    async def _get(self, address: str, path: str, otherwise: dict) -> dict:
        out = Outgoing(address, "GET", path, {}, reuse=False)
        try:
            async with self._client().request(out) as resp:
                return msgspec.json.decode(await resp.read())
        except ConnectionLayerError:
            return otherwise

    def _client(self) -> HttpClient:
        return self.client

    def _key(self, number: int) -> str:
        return f"{self.run_id}-{number}"

    async def _ask(
        self, number: int, request: TraceRequest, deadline: float
    ) -> _Received:
        """Ask one host; ``LOST`` means that no outcome came."""
        remaining = max(1, int((deadline - trio.current_time()) * 1000))
        headers = {
            "authorization": f"Bearer {self.tokens.get(request.customer, '')}",
            "content-type": "application/json",
            DEADLINE_HEADER: str(remaining),
        }
        try:
            if request.kind is Kind.MODEL:
                return await self._ask_model(number, request, headers)
            return await self._ask_service(number, request, headers)
        except ConnectFailedError as exc:
            return _Received(Fate.LOST, detail=f"not reached: {exc}")
        except ConnectionLayerError as exc:
            return _Received(Fate.LOST, detail=f"broke off: {exc}")

    @asynccontextmanager
    async def _sent(self, path: str, headers: dict[str, str], body: bytes):
        entry = self.balancer.pick()
        out = Outgoing(entry, "POST", path, headers, body, reuse=False)
        async with self.client.request(out) as resp:
            yield resp

    async def _ask_model(
        self, number: int, request: TraceRequest, headers: dict[str, str]
    ) -> _Received:
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
        async with self._sent("/v1/completions", headers, data) as resp:
            if resp.status != STATUS_OK:
                await resp.read()
                return _refused(resp)
            received = await _read_stream(resp)
        if received.fate is Fate.COMPLETE:
            if received.text != completion_text(prompt, request.output_tokens):
                return _Received(Fate.CUT, detail=f"request {number}: wrong text")
        return received

    async def _ask_service(
        self, number: int, request: TraceRequest, headers: dict[str, str]
    ) -> _Received:
        body = f"{self.run_id}/{number}".encode()
        if request.idempotent:
            headers["berylshift-idempotent"] = "true"
        else:
            headers[KEY_HEADER] = self._key(number)
        path = f"/services/{request.service}/calls"
        async with self._sent(path, headers, body) as resp:
            data = await resp.read()
        if resp.headers.get(OUTCOME_HEADER) != Fate.COMPLETE.value:
            return _refused(resp)
        if msgspec.json.decode(data).get("echo") != service_echo(body):
            return _Received(Fate.CUT, detail=f"request {number}: wrong answer")
        return _Received(Fate.COMPLETE)


def _refused(resp: HttpResponse) -> _Received:
    outcome = resp.headers.get(OUTCOME_HEADER, "")
    fates = {"not-run": Fate.NOT_RUN, "unknown": Fate.UNKNOWN}
    return _Received(fates.get(outcome, Fate.LOST), detail=f"status {resp.status}")


async def _read_stream(resp: HttpResponse) -> _Received:
    """Read server-sent events to the outcome."""
    texts: list[str] = []
    first = None
    rest = b""
    outcome = ""
    try:
        async for data in resp.chunks():
            *events, rest = (rest + data).split(b"\n\n")
            for item in map(_parse_event, events):
                if item.name == "outcome":
                    outcome = msgspec.json.decode(item.data)["outcome"]
                elif item.data != b"[DONE]":
                    first = first or trio.current_time()
                    choices = msgspec.json.decode(item.data)["choices"]
                    texts.append(choices[0]["text"])
    except ConnectionLayerError as exc:
        # A stream that can't be finished says so; a host that died does not.
        fate = Fate.CUT if outcome else Fate.LOST
        return _Received(fate, detail=f"stream ended early: {exc}")
    fate = Fate.COMPLETE if outcome == "complete" else Fate.CUT
    return _Received(fate, "".join(texts), first, f"outcome {outcome!r}")


def _parse_event(block: bytes) -> _Event:
    name, data = "", b""
    for line in block.split(b"\n"):
        field_name, _, value = line.partition(b": ")
        if field_name == b"event":
            name = value.decode()
        elif field_name == b"data":
            data = value
    return _Event(name, data)
