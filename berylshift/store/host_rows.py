"""The entry hosts' own rows in the platform's store."""

from typing import Protocol

import msgspec


class HostRecord(msgspec.Struct, frozen=True):
    """One host: where its datagrams arrive (``IP:PORT``), and its failure domain."""

    host: str
    address: str
    domain: str = ""


class HostRows(Protocol):
    """Keeps hosts and the key they share; all calls raise ``PlatformError``."""

    async def announce(self, record: HostRecord) -> None:
        """Write this host's row."""

    async def hosts(self) -> list[HostRecord]:
        """Return all hosts' rows, those of hosts long gone too."""

    async def get_or_set_shared_key(self, proposal: str) -> str:
        """Return the key all hosts share; the first proposal is kept for good."""
