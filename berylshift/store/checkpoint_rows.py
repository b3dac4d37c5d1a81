"""Rows that tell which revision the platform's store had at which time."""

from typing import Protocol

import msgspec

from berylshift.ids import Revision, StoreEra
from berylshift.messages.wire_numbers import Count, Position
from berylshift.store.eras import FIRST_ERA


class Checkpoint(msgspec.Struct, frozen=True):
    """The store's newest revision at ``store_ms`` of its monotonic clock.

    ``routes``: the version of the routes that its writer had in force.
    """

    revision: Position
    store_ms: Position
    era: Count = FIRST_ERA
    routes: Position = 0


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
