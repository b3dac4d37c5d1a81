"""Engines and plain services as this project meets them: messages and protocols."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from enum import StrEnum
from typing import Protocol

import msgspec

from berylshift.ids import AttemptId, Epoch, Incarnation, OrderNumber


class TargetError(Exception):
    """Any failure of a call to a target."""


class TargetNotReachedError(TargetError):
    """No byte of the call can have reached the target."""


class TargetRefusedError(TargetError):
    """The target says that it refused the call: it was not run.

    ``retry_after``: for so long it wants no other one; 0: it does not say so.
    """

    def __init__(self, reason: str, retry_after: float = 0.0):
        """Keep the time asked for."""
        super().__init__(reason)
        self.retry_after = retry_after


class TargetBrokenError(TargetError):
    """The call was sent and its answer broke off: it may have run."""


class TargetBusyError(TargetRefusedError):
    """An engine refused an order since it is carrying out another."""


class StaleOrderError(TargetRefusedError):
    """An engine refused an order for its old fencing number."""


class Role(StrEnum):
    """What an engine does; an engine in an unknown role takes no work."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"
    UNKNOWN = "unknown"


class KvSource(msgspec.Struct, frozen=True):
    """Where an exported KV cache can be had; its size in tokens."""

    address: str
    handle: str
    tokens: int


class EngineCall(msgspec.Struct, frozen=True):
    """One attempt at an engine.

    A resumed attempt carries what was already emitted, and the engine goes on at
    token ``resume_from``. A lower ``priority`` number goes first.
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
    """Some tokens of an attempt, the first at ``offset``.

    The last chunk carries ``end``, the answer's whole count of tokens; that of a
    prefill-only attempt carries ``kv``.
    """

    attempt: AttemptId
    offset: int = 0
    texts: list[str] = []
    end: int | None = None
    kv: KvSource | None = None


class LoadReport(msgspec.Struct, frozen=True):
    """An engine's load as it was ``age`` seconds before the report was sent.

    ``prefill_tokens`` wait for prefill, ``running`` streams decode, ``waiting``
    calls have not begun. ``order`` is the last order taken.
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
    """What an order asks of an engine."""

    ROLE = "role"
    LOAD = "load"


class Order(msgspec.Struct, frozen=True):
    """An order; ``number`` is the fencing number and only rises."""

    number: OrderNumber
    kind: OrderKind
    role: Role = Role.MIXED
    model: str = ""
    version: str = ""
    issuer: Incarnation = Incarnation("")
    epoch: Epoch = Epoch(0)

    def same_aim(self, other: "Order") -> bool:
        """Return whether both ask for the same thing."""
        mine = (self.kind, self.role, self.model, self.version)
        return mine == (other.kind, other.role, other.model, other.version)


class CacheEvent(msgspec.Struct, frozen=True):
    """A prefix block came into an engine's cache or left it."""

    sequence: int
    block: int
    stored: bool


class ServiceCall(msgspec.Struct, frozen=True):
    """One call to a plain service, passed on as the caller sent it."""

    attempt: AttemptId
    service: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    idempotent: bool
    key: str = ""


class ServiceAnswer(msgspec.Struct, frozen=True):
    """A plain service's answer, whole."""

    status: int
    headers: dict[str, str]
    body: bytes


class EngineClient(Protocol):
    """Calls engines; every method raises ``TargetError``."""

    def generate(
        self, address: str, call: EngineCall
    ) -> AbstractAsyncContextManager[AsyncIterator[list[EngineChunk]]]:
        """Start an attempt; give what has arrived each time, until its end."""

    async def connect(self, address: str) -> None:
        """Open a connection; raise ``TargetNotReachedError`` if none is taken."""

    async def cancel(self, address: str, attempt: AttemptId) -> None:
        """Stop an attempt; one that is unknown or over is no error."""

    async def report(self, address: str) -> LoadReport:
        """Return the engine's load report."""

    async def order(self, address: str, order: Order) -> None:
        """Have an order carried out; returns once the engine has taken it."""

    async def cache_events(self, address: str, after: int) -> list[CacheEvent]:
        """Return the cache events after a sequence number; some may be missing."""


class ServiceClient(Protocol):
    """Calls plain services."""

    async def call(self, address: str, call: ServiceCall) -> ServiceAnswer:
        """Return the answer; raise ``TargetError``."""

    async def connect(self, address: str) -> None:
        """Open a connection; raise ``TargetNotReachedError`` if none is taken."""
