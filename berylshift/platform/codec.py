"""Converts between the platform's HTTP headers and typed messages."""

from typing import Annotated

import msgspec

from berylshift.ids import BlockId, CustomerName, ReplicaName, RequestId
from berylshift.messages.json_decoding import MalformedJsonError, decode_json
from berylshift.messages.retry_after import parse_retry_after
from berylshift.messages.routed import (
    Body,
    ControlCall,
    Dispatch,
    FlowControl,
    Header,
    KvHandle,
    Prompt,
    PromptBlock,
    ReportedLoad,
    ResponseHead,
    RoutedRequest,
)
from berylshift.messages.wire_numbers import (
    MAX_BYTES,
    MAX_REQUESTS,
    MAX_TIME_LEFT_MS,
    MAX_TOKENS,
    whole_number,
)
from berylshift.platform import names
from berylshift.platform.unknown_headers import UnknownHeaders
from berylshift.request.errors import BadRequestError
from berylshift.version.customers import ApiKey

# Headers that apply to a single connection (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
# May occur once only: given two values, host and replica could each use another one.
SINGLE_VALUED = frozenset(
    {
        names.ATTEMPT_ID,
        names.TIME_LEFT_MS,
        names.PREFIX_BLOCKS,
        names.MODEL,
        names.TOKEN_COUNTS,
        names.LAST_EVENT_ID,
        names.RESUMES,
    }
)
# Set anew for each attempt.
REWRITTEN = frozenset({names.TIME_LEFT_MS, names.LAST_EVENT_ID})
# Not removed if listed in a Connection header: they identify and describe the request.
PROTECTED = SINGLE_VALUED | {b"host", names.LENGTH_HINT}
# Set by this host only, if routes require a customer's key.
CUSTOMER_HEADERS = frozenset({names.AUTHORIZATION, names.CUSTOMER})
KEY_SCHEME = b"bearer"
MAX_KEY_BYTES = 1024
PHASE_PREFILL = b"prefill"
MIN_TIME_LEFT_MS = 1
STATUS_WRONG_INSTANCE = 421
# Too Many Requests (RFC 6585) and Service Unavailable (RFC 9110).
BACK_OFF_STATUSES = (429, 503)
RETRY_AFTER = b"retry-after"
DRAINING_VALUE = b"1"
# Figures that the load header always has; more may follow.
LOAD_FIGURES = 3
# Larger statements of how long work takes are malformed.
MAX_WORK_PERCENT = 60_000
MAX_KEEP_ALIVE_SECONDS = 86_400
MAX_WEIGHTS_VERSION = 2**63 - 1


class _Handle(msgspec.Struct):
    kv_handle: str
    tokens: Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKENS)] = 0


class PlatformCodec:
    """Parses and writes the platform's headers."""

    def __init__(self) -> None:
        """Start without any unknown header logged."""
        self._unknown = UnknownHeaders()

    def parse_request(
        self, method: bytes, target: bytes, headers: list[Header], body: Body
    ) -> RoutedRequest:
        """Parse a caller's request; raise ``BadRequestError``."""
        single = _single_values(headers)
        if not single.get(names.ATTEMPT_ID):
            raise BadRequestError("no attempt id")
        return RoutedRequest(
            id=RequestId(single[names.ATTEMPT_ID].decode("latin-1")),
            method=method,
            target=target,
            headers=_forwarded(headers),
            body=body,
            seconds_left=_time_left_seconds(single.get(names.TIME_LEFT_MS)),
            prompt=_prompt(single),
            resume_after=single.get(names.LAST_EVENT_ID),
            resumes=_request_id(single.get(names.RESUMES)),
            key=_api_key(headers),
        )

    def strip_key(
        self, req: RoutedRequest, customer: CustomerName | None
    ) -> RoutedRequest:
        """Return the request with its customer's name in place of the API key."""
        headers = tuple(pair for pair in req.headers if pair[0] not in CUSTOMER_HEADERS)
        if customer is not None:
            headers = (*headers, (names.CUSTOMER, customer.encode()))
        return msgspec.structs.replace(req, headers=headers, customer=customer)

    def forward_headers(self, req: RoutedRequest, dispatch: Dispatch) -> list[Header]:
        """Return the headers of one attempt."""
        time_left_ms = max(MIN_TIME_LEFT_MS, int(dispatch.seconds_left * 1000))
        headers = list(req.headers)
        headers.append((names.TIME_LEFT_MS, b"%d" % time_left_ms))
        headers.append((names.TARGET_INSTANCE, dispatch.replica.encode()))
        if dispatch.resume_after is not None:
            headers.append((names.LAST_EVENT_ID, dispatch.resume_after))
        if req.prompt is not None:
            headers.append((names.RANK, b"%d" % dispatch.rank))
        if dispatch.weights is not None:
            headers.append((names.EXPECTED_VERSION, b"%d" % dispatch.weights))
        if dispatch.prefill_only:
            headers.append((names.PHASE, PHASE_PREFILL))
        if dispatch.kv_source:
            headers.append((names.KV_SOURCE, dispatch.kv_source.encode()))
        if dispatch.kv_fetch:
            headers.append((names.KV_FETCH, dispatch.kv_fetch.encode()))
        return headers

    def parse_response_head(self, status: int, headers: list[Header]) -> ResponseHead:
        """Parse the head of a replica's response."""
        found = dict(headers)
        request = self.response_id(headers)
        self._unknown.note(headers, request)
        return ResponseHead(
            status=status,
            request=request,
            genuine=names.SIGNATURE in found and b"content-encoding" not in found,
            not_run=names.NOT_RUN in found or status == STATUS_WRONG_INSTANCE,
            load=_load(found.get(names.LOAD)),
            keep_alive_seconds=_keep_alive_seconds(found.get(b"keep-alive")),
            headers=tuple(header for header in headers if header[0] not in HOP_BY_HOP),
            length=_content_length(found.get(b"content-length")),
            weights=_weights(found.get(names.WEIGHT_VERSIONS)),
        )

    def parse_weights(self, event: bytes) -> int | None:
        """Return the weights that an event says are used from it on."""
        if not event.startswith(names.WEIGHT_VERSIONS):
            return None
        name, _, value = event.splitlines()[0].partition(b":")
        return _weights(value.strip()) if name == names.WEIGHT_VERSIONS else None

    def response_id(self, headers: list[Header]) -> RequestId | None:
        """Return the id that a response echoes; ``None`` if it has none."""
        for name, value in headers:
            if name == names.ATTEMPT_ID and value:
                return RequestId(value.decode("latin-1"))
        return None

    def parse_flow_control(
        self, status: int, headers: list[Header]
    ) -> FlowControl | None:
        """Return flow control from a response; ``None`` if another replica sent it."""
        if status == STATUS_WRONG_INSTANCE:
            return None
        found = dict(headers)
        return FlowControl(
            rate_limit=_rate(found.get(names.RATE_LIMIT)),
            draining=found.get(names.DRAINING) == DRAINING_VALUE,
            retry_after=_retry_after(status, found),
        )

    def parse_kv_handle(self, body: bytes) -> KvHandle | None:
        """Return the KV cache handle of a prefill response; ``None`` if malformed."""
        try:
            found = decode_json(body, _Handle)
        except MalformedJsonError:
            return None
        return KvHandle(found.kv_handle, found.tokens)

    def kv_release_call(self, handle: str, replica: ReplicaName) -> ControlCall:
        """Return the DELETE call that releases a KV cache."""
        path = f"{names.KV_HANDLE_PATH}{handle}".encode()
        headers = ((b"host", b"engine"), (names.TARGET_INSTANCE, replica.encode()))
        return ControlCall(path, headers)


def _single_values(headers: list[Header]) -> dict[bytes, bytes]:
    found: dict[bytes, bytes] = {}
    for name, value in headers:
        if name not in SINGLE_VALUED:
            continue
        if name in found:
            raise BadRequestError(f"{name.decode()} is said twice")
        found[name] = value
    return found


def _forwarded(headers: list[Header]) -> tuple[Header, ...]:
    """Return the headers to forward, without reserved ones that a caller may forge."""
    listed = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    dropped = (HOP_BY_HOP | names.RESERVED | REWRITTEN | listed) - (
        PROTECTED - REWRITTEN
    )
    return tuple(header for header in headers if header[0] not in dropped)


def _api_key(headers: list[Header]) -> ApiKey | None:
    """Return the API key that a caller presents.

    ``None`` if there are several, or one that is not a scheme and a token: this host
    and a replica might each use another one.
    """
    values = [value for name, value in headers if name == names.AUTHORIZATION]
    if len(values) != 1:
        return None
    words = values[0].split()
    if len(words) != 2 or words[0].lower() != KEY_SCHEME:
        return None
    return ApiKey(words[1]) if len(words[1]) <= MAX_KEY_BYTES else None


def _request_id(value: bytes | None) -> RequestId | None:
    return RequestId(value.decode("latin-1")) if value else None


def _time_left_seconds(value: bytes | None) -> float | None:
    if value is None:
        return None
    found = whole_number(value, MAX_TIME_LEFT_MS)
    if found is None:
        reason = f"the time left must be 0 to {MAX_TIME_LEFT_MS} whole milliseconds"
        raise BadRequestError(reason)
    return found / 1000


def _prompt(single: dict[bytes, bytes]) -> Prompt | None:
    """Return the announced prompt; one that is malformed or too long is ignored.

    The announcement only guides placement.
    """
    blocks = single.get(names.PREFIX_BLOCKS)
    counts = single.get(names.TOKEN_COUNTS)
    if blocks is None or counts is None:
        return None
    try:
        tokens, _, output = counts.partition(b",")
        model = single.get(names.MODEL, b"").decode("latin-1")
        return Prompt(_blocks(blocks), _tokens(tokens), _tokens(output or b"0"), model)
    except ValueError:
        return None


def _blocks(value: bytes) -> tuple[PromptBlock, ...]:
    found = []
    for entry in value.split(b","):
        block, _, tokens = entry.strip().partition(b":")
        found.append(PromptBlock(BlockId(block.decode("ascii")), _tokens(tokens)))
    return tuple(found)


def _tokens(text: bytes) -> int:
    """Return a number of tokens; raise ``ValueError``."""
    found = whole_number(text, MAX_TOKENS)
    if found is None:
        raise ValueError("not a number of tokens")
    return found


def _load(value: bytes | None) -> ReportedLoad | None:
    """Return the reported load; figures beyond the fourth are ignored."""
    if value is None:
        return None
    figures = value.split(b",", LOAD_FIGURES + 1)
    if len(figures) < LOAD_FIGURES:
        return None
    running, waiting, slots = (
        whole_number(text, MAX_REQUESTS) for text in figures[:LOAD_FIGURES]
    )
    if running is None or waiting is None or slots is None:
        return None
    percent = _work_percent(figures[LOAD_FIGURES]) if figures[LOAD_FIGURES:] else None
    return ReportedLoad(running, waiting, slots, percent)


def _work_percent(value: bytes) -> int | None:
    """Return how long work takes, in percent; a malformed value means not stated."""
    return whole_number(value, MAX_WORK_PERCENT) or None


def _retry_after(status: int, headers: dict[bytes, bytes]) -> float:
    """Return the seconds that a refusal asks to back off."""
    if status not in BACK_OFF_STATUSES:
        return 0.0
    return parse_retry_after(headers.get(RETRY_AFTER, b"").decode("latin-1"))


def _rate(value: bytes | None) -> float | None:
    """Return requests per second, cut to a range; malformed values mean no limit."""
    try:
        found = float(value) if value is not None else -1.0
    except ValueError:
        return None
    return min(found, MAX_REQUESTS) if 0 <= found < float("inf") else None


def _weights(value: bytes | None) -> int | None:
    return None if value is None else whole_number(value, MAX_WEIGHTS_VERSION)


def _keep_alive_seconds(value: bytes | None) -> float | None:
    if value is None:
        return None
    for item in value.split(b","):
        name, _, text = item.strip().partition(b"=")
        seconds = whole_number(text, MAX_KEEP_ALIVE_SECONDS)
        if name.lower() == b"timeout" and seconds is not None:
            return float(seconds)
    return None


def _content_length(value: bytes | None) -> int | None:
    return None if value is None else whole_number(value, MAX_BYTES)
