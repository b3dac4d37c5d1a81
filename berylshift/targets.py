"""Interfaces to engines and plain services: errors, messages and client protocols."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from enum import StrEnum
from typing import Protocol

import msgspec

from berylshift.ids import AttemptId, Epoch, Incarnation, OrderNumber


class TargetError(Exception):
    """A call to a target failed."""


class TargetNotReachedError(TargetError):
    """The call failed before any byte could reach the target."""


class TargetRefusedError(TargetError):
    """The target refused the call and did not run it.

    ``retry_after`` is the time in seconds for which the target wants no further call;
    0 if it states none.
    """

    def __init__(self, reason: str, retry_after: float = 0.0):
        """Store the time that the target asked for."""
        super().__init__(reason)
        self.retry_after = retry_after


class TargetBrokenError(TargetError):
    """The call was sent but its response was cut: it may have run."""


class TargetBusyError(TargetRefusedError):
    """An engine refused an order because it is executing another one."""


class StaleOrderError(TargetRefusedError):
    """An engine refused an order because of its stale fencing token."""


class Role(StrEnum):
    """Role of an engine; an engine in an unknown role accepts no work."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"
    UNKNOWN = "unknown"


class KvSource(msgspec.Struct, frozen=True):
    """Location of an exported KV cache, and its size in tokens."""

    address: str
    handle: str
    tokens: int


class EngineCall(msgspec.Struct, frozen=True):
    """One attempt of a request at an engine.

    A resumed attempt carries the text already emitted, and the engine continues at
    token ``resume_from``. Lower ``priority`` numbers are served first.
    """

    attempt: AttemptId
    model: str
    prompt: str
    max_tokens: int
    resume_from: int = 0
    emitted: str = ""
    priority: int = 0
    prefill_only: bool = False
    kv: KvSource | None = None


class EngineChunk(msgspec.Struct, frozen=True, omit_defaults=True):
    """Consecutive tokens of an attempt, starting at index ``offset``.

    The last chunk carries ``end``, the total number of tokens of the response; the
    last one of a prefill-only attempt carries ``kv``.
    """

    attempt: AttemptId
    offset: int = 0
    texts: list[str] = []
    end: int | None = None
    kv: KvSource | None = None


class LoadReport(msgspec.Struct, frozen=True):
    """An engine's load, measured ``age`` seconds before the report was sent.

    ``prefill_tokens`` counts tokens waiting for prefill, ``running`` the streams being
    decoded, ``waiting`` the calls not started. ``order`` is the last order accepted.
    """

    incarnation: Incarnation
    age: float
    role: Role
    running: int = 0
    waiting: int = 0
    prefill_tokens: int = 0
    kv_tokens: int = 0
    order: OrderNumber = OrderNumber(0)
    changing: bool = False
    model: str = ""
    version: str = ""


class OrderKind(StrEnum):
    """What an order changes at an engine."""

    ROLE = "role"
    LOAD = "load"


class Order(msgspec.Struct, frozen=True):
    """An order to an engine; ``number`` is its fencing token and increases strictly."""

    number: OrderNumber
    kind: OrderKind
    role: Role = Role.MIXED
    model: str = ""
    version: str = ""
    issuer: Incarnation = Incarnation("")
    epoch: Epoch = Epoch(0)

    def has_same_goal(self, other: "Order") -> bool:
        """Return whether both orders ask for the same state."""
        mine = (self.kind, self.role, self.model, self.version)
        return mine == (other.kind, other.role, other.model, other.version)


class CacheEvent(msgspec.Struct, frozen=True):
    """A prefix block was added to or evicted from an engine's cache."""

    sequence: int
    block: int
    stored: bool


class ServiceCall(msgspec.Struct, frozen=True):
    """One call to a plain service, forwarded as the caller sent it."""

    attempt: AttemptId
    service: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    idempotent: bool
    key: str = ""


class ServiceResponse(msgspec.Struct, frozen=True):
    """Complete response of a plain service."""

    status: int
    headers: dict[str, str]
    body: bytes


class EngineClient(Protocol):
    """Client for engines; every method may raise ``TargetError``."""

    def generate(
        self, address: str, call: EngineCall
    ) -> AbstractAsyncContextManager[AsyncIterator[list[EngineChunk]]]:
        """Start an attempt; iterate over the chunks as they arrive, until its end."""

    async def connect(self, address: str) -> None:
        """Open a connection; raise ``TargetNotReachedError`` if it is not accepted."""

    async def cancel(self, address: str, attempt: AttemptId) -> None:
        """Cancel an attempt; it is no error if it is unknown or has ended."""

    async def report(self, address: str) -> LoadReport:
        """Return the engine's load report."""

    async def order(self, address: str, order: Order) -> None:
        """Send an order; return once the engine has accepted it."""

    async def cache_events(self, address: str, after: int) -> list[CacheEvent]:
        """Return cache events after a sequence number, possibly with gaps."""


class ServiceClient(Protocol):
    """Client for plain services."""

    async def call(self, address: str, call: ServiceCall) -> ServiceResponse:
        """Return the response; raise ``TargetError`` on failure."""

    async def connect(self, address: str) -> None:
        """Open a connection; raise ``TargetNotReachedError`` if it is not accepted."""
