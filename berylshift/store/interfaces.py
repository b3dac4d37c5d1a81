"""The platform's services as this project meets them."""

from enum import StrEnum
from typing import Protocol

import msgspec

from berylshift.ids import DomainName, HostName, Incarnation

ABSENT = 0


class PlatformError(Exception):
    """Any failure of a platform service."""


class StoreUnavailableError(PlatformError):
    """The service refused or was never reached: nothing was written."""


class StoreThrottledError(StoreUnavailableError):
    """The service refused for its rate limit: nothing was written."""


class ResponseLostError(PlatformError):
    """The answer never came: a write may have taken effect."""


class StoredRow(msgspec.Struct, frozen=True):
    """A row of the table service; its revision rises with each write, from 1."""

    key: str
    revision: int
    value: msgspec.Raw


class Condition(msgspec.Struct, frozen=True):
    """A row must be at ``revision`` (``ABSENT``: must not exist)."""

    key: str
    revision: int


class Write(msgspec.Struct, frozen=True):
    """A row's new value in JSON, or its deletion."""

    key: str
    value: msgspec.Raw = msgspec.Raw(b"null")
    delete: bool = False


class Transaction(msgspec.Struct, frozen=True):
    """Writes that take effect together, if all conditions hold."""

    conditions: list[Condition]
    writes: list[Write]


class TransactionResult(msgspec.Struct, frozen=True):
    """``failed`` names the keys whose conditions did not hold; empty: committed."""

    failed: list[str] = []

    @property
    def committed(self) -> bool:
        """Return whether the writes took effect."""
        return not self.failed


class HostState(StrEnum):
    """What the platform says of a host."""

    LIVE = "live"
    LEAVING = "leaving"


class HostEntry(msgspec.Struct, frozen=True):
    """One host of the lagging host list; addresses are ``IP:PORT``."""

    host: HostName
    incarnation: Incarnation
    domain: DomainName
    state: HostState
    peer_address: str
    admin_address: str


class WeightInfo(msgspec.Struct, frozen=True):
    """Weights of one model version; ``bytes_left`` is this minute's quota."""

    model: str
    version: str
    size_bytes: int
    bytes_left: int


class TableService(Protocol):
    """Transactional rows; several hundred writes and 2,000 reads a second."""

    async def read(self, keys: list[str]) -> list[StoredRow | None]:
        """Return the rows as of one moment; raise ``PlatformError``."""

    async def scan(self, prefix: str, after: str, limit: int) -> list[StoredRow]:
        """Return rows by key after ``after``; raise ``PlatformError``."""

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """Commit or name the failed conditions; raise ``PlatformError``."""


class ObjectStore(Protocol):
    """Whole objects by name."""

    async def get(self, name: str) -> bytes | None:
        """Return an object, or ``None``; raise ``PlatformError``."""

    async def put(self, name: str, data: bytes) -> None:
        """Store an object; raise ``PlatformError``."""


class HostList(Protocol):
    """The platform's lagging list of hosts, and this host's own entry."""

    async def hosts(self) -> list[HostEntry]:
        """Return the hosts that the platform lists; raise ``PlatformError``."""

    async def announce(self, entry: HostEntry) -> None:
        """Tell the platform of this process; raise ``PlatformError``."""


class WeightStore(Protocol):
    """The rate-limited store of model weights."""

    async def info(self, model: str, version: str) -> WeightInfo | None:
        """Return what is known of a model version; raise ``PlatformError``."""


def as_raw(value: object) -> msgspec.Raw:
    """Return ``value`` as the JSON of a row."""
    return msgspec.Raw(msgspec.json.encode(value))
