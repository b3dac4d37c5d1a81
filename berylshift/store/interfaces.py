"""Protocols and data types of the platform's services."""

from enum import StrEnum
from typing import Protocol, TypeVar

import msgspec

from berylshift.ids import DomainName, HostName, Incarnation
from berylshift.messages.json_decoding import MalformedJsonError, decode_json

Value = TypeVar("Value")

ABSENT = 0


class PlatformError(Exception):
    """Any failure of a platform service."""


class StoreUnavailableError(PlatformError):
    """The service refused or could not be reached: nothing was written."""


class StoreThrottledError(StoreUnavailableError):
    """The service refused because of its rate limit: nothing was written."""


class ResponseLostError(PlatformError):
    """No valid response was received: a write may have taken effect."""


class MalformedEntryError(PlatformError):
    """An entry can't be decoded; the message names it and the reason."""


class StoredRow(msgspec.Struct, frozen=True):
    """A row of the table service; its revision starts at 1 and grows per write."""

    key: str
    revision: int
    value: msgspec.Raw


class Condition(msgspec.Struct, frozen=True):
    """A row must be at ``revision`` (``ABSENT``: must not exist)."""

    key: str
    revision: int


class Write(msgspec.Struct, frozen=True):
    """A new JSON value for a row, or its deletion."""

    key: str
    value: msgspec.Raw = msgspec.Raw(b"null")
    delete: bool = False


class Transaction(msgspec.Struct, frozen=True):
    """Writes that are committed atomically if all conditions hold."""

    conditions: list[Condition]
    writes: list[Write]


class TransactionResult(msgspec.Struct, frozen=True):
    """``failed`` has the keys whose conditions did not hold; empty: committed."""

    failed: list[str] = []

    @property
    def committed(self) -> bool:
        """Return whether the writes took effect."""
        return not self.failed


class HostState(StrEnum):
    """State of a host in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class HostEntry(msgspec.Struct, frozen=True):
    """One host of the host list; addresses are ``IP:PORT``."""

    host: HostName
    incarnation: Incarnation
    domain: DomainName
    state: HostState
    peer_address: str
    admin_address: str


class WeightInfo(msgspec.Struct, frozen=True):
    """Weights of a model version; ``bytes_left`` remain of this minute's quota."""

    model: str
    version: str
    size_bytes: int
    bytes_left: int


class TableService(Protocol):
    """Transactional rows; serves several hundred writes and 2,000 reads a second."""

    async def read(self, keys: list[str]) -> list[StoredRow | None]:
        """Return the rows from one consistent read; raise ``PlatformError``."""

    async def scan(self, prefix: str, after: str, limit: int) -> list[StoredRow]:
        """Return up to ``limit`` rows in key order, after the key ``after``.

        Raise ``PlatformError``.
        """

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """Commit, or return the failed conditions' keys; raise ``PlatformError``."""


class ObjectStore(Protocol):
    """Objects that are read and written as a whole, by name."""

    async def get(self, name: str) -> bytes | None:
        """Return an object, or ``None``; raise ``PlatformError``."""

    async def put(self, name: str, data: bytes) -> None:
        """Store an object; raise ``PlatformError``."""


class HostList(Protocol):
    """The platform's list of hosts, which lags behind their actual state."""

    async def hosts(self) -> list[HostEntry]:
        """Return the hosts that the platform lists; raise ``PlatformError``."""

    async def announce(self, entry: HostEntry) -> None:
        """Register this process in the list; raise ``PlatformError``."""


class WeightStore(Protocol):
    """The rate-limited store of model weights."""

    async def info(self, model: str, version: str) -> WeightInfo | None:
        """Return a model version, ``None`` if unknown; raise ``PlatformError``."""


def decode_row(row: StoredRow, kind: type[Value]) -> Value:
    """Return the value of a row; raise ``MalformedEntryError``."""
    try:
        return decode_json(row.value, kind)
    except MalformedJsonError as exc:
        raise MalformedEntryError(f"row {row.key}: {exc}") from exc


def as_raw(value: object) -> msgspec.Raw:
    """Return ``value`` encoded as the JSON value of a row."""
    return msgspec.Raw(msgspec.json.encode(value))
