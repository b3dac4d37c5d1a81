"""Rows of the entry hosts in the platform's store."""

from typing import Protocol

import msgspec

from berylshift.ids import StoreEra
from berylshift.messages.wire_numbers import Count, Position

# A host receives at its address and at the ports after it: load digests, queries for
# prefill queues, and records of streams.
PORTS_PER_HOST = 3


class HostRecord(msgspec.Struct, frozen=True):
    """A host, the ``IP:PORT`` that receives its datagrams, and its failure domain.

    ``era`` and ``joined_ms`` tell when its process joined, by the store's clock; both
    are 0 in rows of builds that did not write them.
    """

    host: str
    address: str
    domain: str = ""
    era: Count = 0
    joined_ms: Position = 0

    def is_older_than(self, other: "HostRecord") -> bool:
        """Return whether this is of an earlier process of a host than ``other``."""
        if not (self.joined_ms and other.joined_ms):
            return False
        return (self.era, self.joined_ms) < (other.era, other.joined_ms)


class HostRows(Protocol):
    """Stores hosts and their shared key; all calls raise ``PlatformError``."""

    async def announce(self, record: HostRecord) -> HostRecord:
        """Write this host's row; return it with the time at which it joined."""

    async def hosts(self) -> list[HostRecord]:
        """Return the rows of all hosts, including those that no longer run."""

    async def get_or_set_shared_key(self, proposal: str) -> str:
        """Return the key shared by all hosts; the first proposal is stored."""

    async def get_or_set_first_era(self, known: StoreEra | None) -> StoreEra:
        """Return the store's era in which the first host of the system joined.

        If the store does not tell, ``known`` is stored, or the current era if it is
        ``None``.
        """
