"""Callers' and replicas' headers, turned into typed messages and back."""

import msgspec

from berylshift.ids import CustomerName, PartId, ReplicaName, RequestId
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
from berylshift.platform import names
from berylshift.platform.unknown_headers import UnknownHeaders
from berylshift.request.errors import BadRequestError
from berylshift.version.customers import ApiKey

# Headers that concern one connection only (RFC 9110, section 7.6.1).
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
# Said at most once; two values would let caller and replica understand two things.
SINGLE = frozenset(
    {
        names.ATTEMPT_ID,
        names.TIME_LEFT_MS,
        names.PREFIX_BLOCKS,
        names.MODEL,
        names.TOKEN_COUNTS,
        names.LAST_EVENT_ID,
    }
)
# Written anew for each send.
REWRITTEN = frozenset({names.TIME_LEFT_MS, names.LAST_EVENT_ID})
# A Connection header may not strip what says which request this is.
KEPT = SINGLE | {b"host", names.LENGTH_HINT}
# Said by this host alone where routes ask for a customer's key.
OF_CUSTOMER = frozenset({names.AUTHORIZATION, names.CUSTOMER})
KEY_SCHEME = b"bearer"
MAX_KEY_BYTES = 1024
PHASE_PREFILL = b"prefill"
LEAST_TIME_LEFT_MS = 1
STATUS_WRONG_INSTANCE = 421
# Too many requests, and a service that is not available (RFC 6585, RFC 9110).
TURNED_AWAY = (429, 503)
RETRY_AFTER = b"retry-after"
DRAINING_VALUE = b"1"


class _Handle(msgspec.Struct):
    kv_handle: str
    tokens: int = 0


class PlatformCodec:
    """The platform's headers."""

    def __init__(self) -> None:
        """Start with no unknown header seen."""
        self._unknown = UnknownHeaders()

    def parse_request(
        self, method: bytes, target: bytes, headers: list[Header], body: Body
    ) -> RoutedRequest:
        """Return a caller's request; raise ``BadRequestError``."""
        single = _single_values(headers)
        if not single.get(names.ATTEMPT_ID):
            raise BadRequestError("no attempt id")
        return RoutedRequest(
            id=RequestId(single[names.ATTEMPT_ID].decode("latin-1")),
            method=method,
            target=target,
            headers=_passed_on(headers),
            body=body,
            seconds_left=_seconds(single.get(names.TIME_LEFT_MS)),
            prompt=_prompt(single),
            resume_after=single.get(names.LAST_EVENT_ID),
            key=_key(headers),
        )

    def strip_key(
        self, req: RoutedRequest, customer: CustomerName | None
    ) -> RoutedRequest:
        """Return a request that names its customer to replicas, not its key."""
        headers = tuple(pair for pair in req.headers if pair[0] not in OF_CUSTOMER)
        if customer is not None:
            headers = (*headers, (names.CUSTOMER, customer.encode()))
        return msgspec.structs.replace(req, headers=headers, customer=customer)

    def forward_headers(self, req: RoutedRequest, dispatch: Dispatch) -> list[Header]:
        """Return the headers of one send."""
        left = max(LEAST_TIME_LEFT_MS, int(dispatch.seconds_left * 1000))
        headers = list(req.headers)
        headers.append((names.TIME_LEFT_MS, b"%d" % left))
        headers.append((names.TARGET_INSTANCE, dispatch.replica.encode()))
        if dispatch.resume_after is not None:
            headers.append((names.LAST_EVENT_ID, dispatch.resume_after))
        if req.prompt is not None:
            headers.append((names.RANK, b"%d" % dispatch.rank))
        if dispatch.prefill_only:
            headers.append((names.PHASE, PHASE_PREFILL))
        if dispatch.kv_source:
            headers.append((names.KV_SOURCE, dispatch.kv_source.encode()))
        return headers

    def parse_response_head(self, status: int, headers: list[Header]) -> ResponseHead:
        """Return the head of a replica's answer."""
        found = dict(headers)
        echoed = found.get(names.ATTEMPT_ID)
        request = None if echoed is None else RequestId(echoed.decode("latin-1"))
        self._unknown.note(headers, request)
        return ResponseHead(
            status=status,
            request=request,
            genuine=names.SIGNATURE in found and b"content-encoding" not in found,
            not_run=names.NOT_RUN in found or status == STATUS_WRONG_INSTANCE,
            load=_load(found.get(names.LOAD)),
            keep_alive_seconds=_keep_seconds(found.get(b"keep-alive")),
            headers=tuple(header for header in headers if header[0] not in HOP_BY_HOP),
            length=_length(found.get(b"content-length")),
        )

    def parse_flow_control(
        self, status: int, headers: list[Header]
    ) -> FlowControl | None:
        """Return what an answer asks for; ``None``: another replica gave it."""
        if status == STATUS_WRONG_INSTANCE:
            return None
        found = dict(headers)
        return FlowControl(
            rate_limit=_rate(found.get(names.RATE_LIMIT)),
            draining=found.get(names.DRAINING) == DRAINING_VALUE,
            retry_after=_retry_after(status, found),
        )

    def parse_kv_handle(self, body: bytes) -> KvHandle | None:
        """Return the KV cache of a prefill answer, ``None`` if it can't be read."""
        try:
            found = msgspec.json.decode(body, type=_Handle)
        except msgspec.DecodeError:
            return None
        return KvHandle(found.kv_handle, found.tokens)

    def kv_release_call(self, handle: str, replica: ReplicaName) -> ControlCall:
        """Return the call, a DELETE, that frees a KV cache."""
        path = f"{names.KV_HANDLE_PATH}{handle}".encode()
        headers = ((b"host", b"engine"), (names.TARGET_INSTANCE, replica.encode()))
        return ControlCall(path, headers)


def _single_values(headers: list[Header]) -> dict[bytes, bytes]:
    found: dict[bytes, bytes] = {}
    for name, value in headers:
        if name not in SINGLE:
            continue
        if name in found:
            raise BadRequestError(f"{name.decode()} is said twice")
        found[name] = value
    return found


def _passed_on(headers: list[Header]) -> tuple[Header, ...]:
    """Return what goes on to a replica; forged orders to it do not."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name == b"connection"
        for token in value.split(b",")
    }
    dropped = (HOP_BY_HOP | names.RESERVED | REWRITTEN | named) - (KEPT - REWRITTEN)
    return tuple(header for header in headers if header[0] not in dropped)


def _key(headers: list[Header]) -> ApiKey | None:
    """Return the one key that a caller shows.

    Two of them, or one that is not a scheme and a word, is none: this host and a
    replica might each go by another.
    """
    values = [value for name, value in headers if name == names.AUTHORIZATION]
    if len(values) != 1:
        return None
    words = values[0].split()
    if len(words) != 2 or words[0].lower() != KEY_SCHEME:
        return None
    return ApiKey(words[1]) if len(words[1]) <= MAX_KEY_BYTES else None


def _seconds(value: bytes | None) -> float | None:
    if value is None:
        return None
    if not value.isdigit():
        raise BadRequestError("the time left must be whole milliseconds")
    return int(value) / 1000


def _prompt(single: dict[bytes, bytes]) -> Prompt | None:
    """Return the announced prompt; it only guides placement, so a bad one is none."""
    parts = single.get(names.PREFIX_BLOCKS)
    counts = single.get(names.TOKEN_COUNTS)
    if parts is None or counts is None:
        return None
    try:
        tokens, _, output = counts.partition(b",")
        return Prompt(_parts(parts), int(tokens), int(output or 0))
    except ValueError:
        return None


def _parts(value: bytes) -> tuple[PromptBlock, ...]:
    found = []
    for entry in value.decode("ascii").split(","):
        part, _, tokens = entry.strip().partition(":")
        found.append(PromptBlock(PartId(part), int(tokens)))
    return tuple(found)


def _load(value: bytes | None) -> ReportedLoad | None:
    if value is None:
        return None
    try:
        running, waiting, slots = (int(text) for text in value.split(b","))
    except ValueError:
        return None
    return ReportedLoad(running, waiting, slots)


def _retry_after(status: int, headers: dict[bytes, bytes]) -> float:
    """Return the seconds for which a refusal asks to back off."""
    if status not in TURNED_AWAY:
        return 0.0
    return parse_retry_after(headers.get(RETRY_AFTER, b"").decode("latin-1"))


def _rate(value: bytes | None) -> float | None:
    """Return requests a second; a value that is none names no limit."""
    try:
        found = float(value) if value is not None else -1.0
    except ValueError:
        return None
    return found if 0 <= found < float("inf") else None


def _keep_seconds(value: bytes | None) -> float | None:
    if value is None:
        return None
    for item in value.split(b","):
        name, _, text = item.strip().partition(b"=")
        if name.lower() == b"timeout" and text.strip().isdigit():
            return float(text)
    return None


def _length(value: bytes | None) -> int | None:
    return int(value) if value is not None and value.isdigit() else None
