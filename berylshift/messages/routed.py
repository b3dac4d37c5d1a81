"""A routed request and the answers of replicas, free of any platform's names."""

from collections.abc import AsyncIterator
from typing import Protocol

import msgspec

from berylshift.ids import CustomerName, PartId, ReplicaName, RequestId
from berylshift.version.customers import ApiKey

Header = tuple[bytes, bytes]


class PromptBlock(msgspec.Struct, frozen=True):
    """One part of a prompt; other requests may begin with the same parts."""

    id: PartId
    tokens: int


class Prompt(msgspec.Struct, frozen=True):
    """What a request asks an engine to read, and how much to write at most."""

    blocks: tuple[PromptBlock, ...]
    tokens: int
    output_limit: int

    @property
    def prefix_blocks(self) -> tuple[PromptBlock, ...]:
        """Return the parts that other requests may have too: all but the last."""
        return self.blocks[:-1]

    @property
    def prefix_tokens(self) -> int:
        """Return how many tokens the shared parts have."""
        return sum(block.tokens for block in self.prefix_blocks)


class Body(Protocol):
    """A request's body, which may still come while it is sent on."""

    ended: bool

    def whole(self) -> bytes:
        """Return what has come; the body, once it has ended."""

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body from its start."""

    def start(self, count: int) -> bytes | None:
        """Return the first ``count`` bytes; ``None`` if more of them may come."""

    async def wait_for_start(self, count: int) -> None:
        """Wait until the first ``count`` bytes are there, or none come any more."""


class RoutedRequest(msgspec.Struct, frozen=True):
    """A caller's request, checked; ``target`` is path and query as sent.

    ``headers`` may be passed on as they are. ``seconds_left`` is how long the
    caller waits, counted from the request's arrival. ``key`` is the customer's key
    that the caller shows; ``None``: it shows none, or not as it should. ``customer`` is
    set once a host has found whose key it is.
    """

    id: RequestId
    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: Body
    seconds_left: float | None = None
    prompt: Prompt | None = None
    resume_after: bytes | None = None
    key: ApiKey | None = None
    customer: CustomerName | None = None


class Dispatch(msgspec.Struct, frozen=True):
    """How one send of a request differs from what the caller sent.

    ``kv_source`` names a KV cache (``IP:PORT/HANDLE``) to go on from;
    ``prefill_only`` asks an engine to read the prompt and keep it.
    """

    replica: ReplicaName
    seconds_left: float
    rank: int
    resume_after: bytes | None = None
    prefill_only: bool = False
    kv_source: str = ""


class ReportedLoad(msgspec.Struct, frozen=True):
    """Requests at a replica as it said itself."""

    running: int
    waiting: int
    slots: int


class AnswerHead(msgspec.Struct, frozen=True):
    """The head of a replica's answer.

    ``genuine``: it bears the replica's signature and no foreign encoding;
    ``not_run``: the replica says that it did not run the request; ``keep_seconds``:
    how long it keeps an idle connection, if it says so.
    """

    status: int
    request: RequestId | None
    genuine: bool
    not_run: bool
    load: ReportedLoad | None
    keep_seconds: float | None
    headers: tuple[Header, ...]
    length: int | None = None


class FlowControl(msgspec.Struct, frozen=True):
    """What a replica asks of its callers in an answer.

    ``rate_limit``: the requests a second that it takes from all hosts together;
    ``None``: it names no limit. ``draining``: it takes no new request.
    ``retry_after``: for so long it wants nothing of the host that it answers; 0: it
    does not say so.
    """

    rate_limit: float | None = None
    draining: bool = False
    retry_after: float = 0.0


class KvHandle(msgspec.Struct, frozen=True):
    """A KV cache that an engine keeps after reading a prompt."""

    handle: str
    tokens: int = 0


class ControlCall(msgspec.Struct, frozen=True):
    """A call of an engine's own interface."""

    path: bytes
    headers: tuple[Header, ...]


class WireCodec(Protocol):
    """How callers and replicas say these things on the wire."""

    def parse_request(
        self, method: bytes, target: bytes, headers: list[Header], body: Body
    ) -> RoutedRequest:
        """Return a caller's request; raise ``BadRequestError``."""

    def strip_key(
        self, req: RoutedRequest, customer: CustomerName | None
    ) -> RoutedRequest:
        """Return a request that names its customer to replicas, not its key.

        ``None``: it comes from no customer, whatever it says.
        """

    def forward_headers(self, req: RoutedRequest, dispatch: Dispatch) -> list[Header]:
        """Return the headers of one send."""

    def parse_answer_head(self, status: int, headers: list[Header]) -> AnswerHead:
        """Return the head of a replica's answer."""

    def parse_flow_control(
        self, status: int, headers: list[Header]
    ) -> FlowControl | None:
        """Return what an answer asks for; ``None``: another replica gave it."""

    def parse_kv_handle(self, body: bytes) -> KvHandle | None:
        """Return the KV cache of a prefill answer, ``None`` if it can't be read."""

    def kv_release_call(self, handle: str, replica: ReplicaName) -> ControlCall:
        """Return the call, a DELETE, that frees a KV cache."""
