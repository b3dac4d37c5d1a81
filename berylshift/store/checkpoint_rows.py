"""Rows that tell which revision the platform's store had at which time."""

from typing import Protocol

import msgspec

from berylshift.ids import Revision, StoreEra
from berylshift.messages.wire_numbers import Count, Position
from berylshift.store.eras import FIRST_ERA


class Checkpoint(msgspec.Struct, frozen=True):
    """What a host knew of versions and routes, and up to which revisions.

    ``store_ms`` is the store's monotonic clock when the replicas were read. All that
    was in use since ``since_ms`` is known: ``versions`` by service, and the services
    to which ``moved`` routes have led streams of other ones.
    """

    revision: Position
    routes_revision: Position
    routes_version: Position
    store_ms: Position
    since_ms: Position
    versions: dict[str, list[str]]
    moved: list[str]
    era: Count = FIRST_ERA


class CheckpointsSnapshot(msgspec.Struct, frozen=True):
    """Checkpoints as read; ``store_ms`` is the store's clock in the response."""

    checkpoints: tuple[Checkpoint, ...]
    revision: Revision
    store_ms: int
    era: StoreEra = FIRST_ERA


class CheckpointRows(Protocol):
    """Stores checkpoints in numbered slots; all calls raise ``PlatformError``."""

    async def read(self) -> CheckpointsSnapshot:
        """Return the checkpoints of all slots."""

    async def write(self, slot: int, checkpoint: Checkpoint) -> None:
        """Replace the checkpoint of a slot."""
