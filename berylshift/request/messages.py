"""Requests of the native API and their outcomes."""

from enum import StrEnum
from typing import Protocol

import msgspec

from berylshift.ids import CustomerName, FleetName, RequestId, TargetName, WorkName

OUTCOME_HEADER = "berylshift-outcome"
DEADLINE_HEADER = "berylshift-deadline-ms"
REQUEST_HEADER = "berylshift-request"
KEY_HEADER = "idempotency-key"
RETRY_HEADER = "retry-after"


class Outcome(StrEnum):
    """The outcome of a request."""

    COMPLETE = "complete"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Reason(StrEnum):
    """Why a request ended as it did.

    Callers receive the value as a problem's title and the name as its type.
    """

    OK = "ok"
    BAD_REQUEST = "bad request"
    UNKNOWN_CALLER = "unknown caller"
    NO_SUCH_WORK = "the table has no such model or service"
    STALE_VIEW = "this host can't confirm its table version"
    DRAINING = "this host is leaving"
    NO_TARGET = "no target takes this work now"
    AT_LIMIT = "the targets' limits are reached"
    CUSTOMER_LIMIT = "the customer's limit is reached"
    TOO_LATE = "the deadline can't be met"
    RETRIES_SPENT = "the budget for retries is spent"
    QUARANTINED = "targets ended under this call"
    TARGET_FAILED = "the targets failed"
    STORE_DOWN = "the table service does not answer"
    KEY_REUSED = "the key was used with another body"
    KEY_PENDING = "another call with this key is under way"
    FATE_UNKNOWN = "the call may have run"


class Caller(msgspec.Struct, frozen=True):
    """The caller's customer and fleet."""

    customer: CustomerName
    fleet: FleetName


class ModelCall(msgspec.Struct, frozen=True):
    """A completion request; ``deadline`` in monotonic seconds."""

    request: RequestId
    caller: Caller
    model: WorkName
    prompt: str
    max_tokens: int
    deadline: float
    priority: int = 0


class PlainCall(msgspec.Struct, frozen=True):
    """A call to a plain service; ``deadline`` in monotonic seconds."""

    request: RequestId
    caller: Caller
    service: WorkName
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    deadline: float
    idempotent: bool
    key: str = ""


class NativeResult(msgspec.Struct, frozen=True):
    """Outcome of a request of the native API; ``retry_after`` in seconds."""

    outcome: Outcome
    reason: Reason = Reason.OK
    detail: str = ""
    retry_after: float = 0.0
    tokens: int = 0


class ServiceCallResult(msgspec.Struct, frozen=True):
    """Outcome of a call to a plain service, with the response if there is one."""

    result: NativeResult
    status: int = 0
    headers: dict[str, str] = {}
    body: bytes = b""


class ResponseSink(Protocol):
    """Receives the text of a response while it is generated."""

    async def write_text(self, text: str) -> None:
        """Forward a piece of text; waits while the caller reads slowly."""


class CandidateEstimate(msgspec.Struct, frozen=True, omit_defaults=True):
    """The predictions for one candidate of a decision; times in seconds."""

    target: TargetName
    first_token: float = 0.0
    end: float = 0.0
    streams: float = 0.0
    prefill_tokens: float = 0.0
    cached_tokens: int = 0
    prefill_on: TargetName = TargetName("")


class Decision(msgspec.Struct, frozen=True, omit_defaults=True):
    """One routing decision, as logged and as returned by ``explain``."""

    request: RequestId
    at: float
    kind: str
    chosen: TargetName
    reason: str
    weighed: list[CandidateEstimate] = []
