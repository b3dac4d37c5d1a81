"""A routed request and the responses of replicas, independent of a wire format."""

from collections.abc import AsyncIterator
from functools import cached_property
from typing import Protocol

import msgspec

from berylshift.ids import BlockId, CustomerName, ReplicaName, RequestId
from berylshift.version.customers import ApiKey

Header = tuple[bytes, bytes]


class PromptBlock(msgspec.Struct, frozen=True):
    """One block of a prompt; prompts with the same leading blocks share a prefix."""

    id: BlockId
    tokens: int


class Prompt(msgspec.Struct, frozen=True, dict=True):
    """The prompt of a request, and the maximum number of output tokens.

    A placement uses its prefix for every engine: it is computed once.
    """

    blocks: tuple[PromptBlock, ...]
    tokens: int
    output_limit: int
    model: str = ""

    @cached_property
    def prefix_blocks(self) -> tuple[PromptBlock, ...]:
        """Return the blocks that other requests may share: all but the last."""
        return self.blocks[:-1]

    @cached_property
    def prefix_tokens(self) -> int:
        """Return the number of tokens in the prefix blocks."""
        return sum(block.tokens for block in self.prefix_blocks)


class Body(Protocol):
    """A request's body, which may still be arriving while it is forwarded."""

    ended: bool

    def whole(self) -> bytes:
        """Return the bytes received so far: the whole body once it has ended."""

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body in chunks, from its start."""

    def start(self, count: int) -> bytes | None:
        """Return the first ``count`` bytes; ``None`` while some may still arrive."""

    def free_if_sent(self) -> None:
        """Free the bytes if all were sent: the body won't be sent again."""

    async def wait_for_start(self, count: int) -> None:
        """Wait until ``count`` bytes have been received or the body has ended."""


class RoutedRequest(msgspec.Struct, frozen=True):
    """A caller's request after validation; ``target`` is path and query as sent.

    ``headers`` may be forwarded unchanged. ``seconds_left`` is how long the caller
    waits, counted from the request's arrival. ``key`` is the API key that the caller
    presents; ``None`` if it presents none or an ill-formed one. ``customer`` is set
    once a host has identified the owner of the key. A caller that resumes a stream
    after the event ``resume_after`` names in ``resumes`` the request that brought its
    first event; ``None``: it did not.
    """

    id: RequestId
    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: Body
    seconds_left: float | None = None
    prompt: Prompt | None = None
    resume_after: bytes | None = None
    resumes: RequestId | None = None
    key: ApiKey | None = None
    customer: CustomerName | None = None


class Dispatch(msgspec.Struct, frozen=True):
    """How one attempt of a request differs from what the caller sent.

    ``kv_source`` names a KV cache (``IP:PORT/HANDLE``) to decode from;
    ``prefill_only`` asks an engine to prefill the prompt and hold its KV cache.
    ``kv_fetch`` names an engine (``IP:PORT``) to fetch cached parts of the prompt from.
    ``weights``: a replica that uses another version of them does not run it.
    """

    replica: ReplicaName
    seconds_left: float
    rank: int
    resume_after: bytes | None = None
    prefill_only: bool = False
    kv_source: str = ""
    kv_fetch: str = ""
    weights: int | None = None


class ReportedLoad(msgspec.Struct, frozen=True):
    """The number of requests at a replica, as the replica reports it.

    ``work_percent`` is how long work takes there now, in percent of the usual time;
    ``None`` if the replica does not state it.
    """

    running: int
    waiting: int
    slots: int
    work_percent: int | None = None


class ResponseHead(msgspec.Struct, frozen=True):
    """The head of a replica's response.

    ``genuine``: it carries the replica's signature and no content encoding added on the
    way; ``not_run``: the replica states that it did not run the request;
    ``keep_alive_seconds``: its timeout for idle connections, if it states one;
    ``weights``: the version of the weights that it uses.
    """

    status: int
    request: RequestId | None
    genuine: bool
    not_run: bool
    load: ReportedLoad | None
    keep_alive_seconds: float | None
    headers: tuple[Header, ...]
    length: int | None = None
    weights: int | None = None


class FlowControl(msgspec.Struct, frozen=True):
    """The flow control in a replica's response.

    ``rate_limit``: the requests per second that it accepts from all hosts together;
    ``None`` if it sets no limit. ``draining``: it accepts no new requests.
    ``retry_after``: the seconds for which this host must not send it requests; 0 if it
    sets none.
    """

    rate_limit: float | None = None
    draining: bool = False
    retry_after: float = 0.0


class KvHandle(msgspec.Struct, frozen=True):
    """A KV cache that an engine holds after prefilling a prompt."""

    handle: str
    tokens: int = 0


class ControlCall(msgspec.Struct, frozen=True):
    """A call of an engine's native API."""

    path: bytes
    headers: tuple[Header, ...]


class WireCodec(Protocol):
    """Converts these messages from and to the wire format of callers and replicas."""

    def parse_request(
        self, method: bytes, target: bytes, headers: list[Header], body: Body
    ) -> RoutedRequest:
        """Parse a caller's request; raise ``BadRequestError``."""

    def strip_key(
        self, req: RoutedRequest, customer: CustomerName | None
    ) -> RoutedRequest:
        """Return a request that names its customer to replicas instead of its key.

        ``None`` means that it belongs to no customer, whatever its headers say.
        """

    def forward_headers(self, req: RoutedRequest, dispatch: Dispatch) -> list[Header]:
        """Return the headers of one attempt."""

    def parse_response_head(self, status: int, headers: list[Header]) -> ResponseHead:
        """Parse the head of a replica's response."""

    def parse_weights(self, event: bytes) -> int | None:
        """Return the weights that an event of a stream says are used from it on."""

    def parse_flow_control(
        self, status: int, headers: list[Header]
    ) -> FlowControl | None:
        """Parse the flow control; ``None`` if the response is not the replica's own."""

    def parse_kv_handle(self, body: bytes) -> KvHandle | None:
        """Parse the KV cache handle of a prefill response; ``None`` if malformed."""

    def kv_release_call(self, handle: str, replica: ReplicaName) -> ControlCall:
        """Return the call (a DELETE) that releases a KV cache."""
