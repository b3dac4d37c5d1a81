"""Entries of replicas and snapshots of routes as the platform lists them."""

from enum import StrEnum

import msgspec

from berylshift.ids import (
    DomainName,
    InstanceId,
    ReplicaName,
    Revision,
    ServiceName,
    SoftwareVersion,
    StoreEra,
)
from berylshift.store.eras import FIRST_ERA
from berylshift.version.routes import RouteTable

# An entry expires after three missed heartbeats; hosts learn of that, or of a restart,
# within two more.
ENTRY_TTL_HEARTBEATS = 5


class EnginePhase(StrEnum):
    """The part of a request's work that an engine does."""

    PREFILL = "prefill"
    DECODE = "decode"
    NONE = ""


class Replica(msgspec.Struct, frozen=True):
    """One instance of a replica; ``address`` is ``IP:PORT`` and may be reused.

    A replica may restart under its ``name`` and then has lost all state, so whatever is
    known of it is kept by ``instance``, which differs for each start. ``started_ms`` is
    the Unix time of the start, ``None`` where the replica does not report it; then its
    name identifies its only instance. ``revision`` is that of its entry; 0: unknown. An
    ``interruptible`` replica may be reclaimed within seconds. ``version`` is that of
    its software, which changes only with a restart; empty: unknown.
    """

    instance: InstanceId
    service: ServiceName
    address: str
    domain: DomainName
    slots: int
    draining: bool = False
    phase: EnginePhase = EnginePhase.NONE
    name: ReplicaName = ReplicaName("")
    started_ms: int | None = None
    revision: Revision = Revision(0)
    interruptible: bool = False
    version: SoftwareVersion = SoftwareVersion("")

    def __post_init__(self) -> None:
        """Use the instance as the name of a replica without one."""
        if not self.name:
            msgspec.structs.force_setattr(self, "name", ReplicaName(self.instance))


def instance_of(name: ReplicaName, started_ms: int | None) -> InstanceId:
    """Return the identifier of one start of a replica."""
    if started_ms is None:
        return InstanceId(name)
    return InstanceId(f"{name}@{started_ms}")


class RouteSnapshot(msgspec.Struct, frozen=True):
    """The routes as of a store revision; ``None``: there are none, or none newer.

    ``store_ms`` is the store's monotonic clock when it answered; 0: not reported.
    ``passed``: versions that were in force in between, in order. A whole read
    ``follows`` the one before if it has all of them.
    """

    table: RouteTable | None
    revision: Revision
    store_ms: int = 0
    era: StoreEra = FIRST_ERA
    passed: tuple[RouteTable, ...] = ()
    follows: bool = False


class ReplicaChanges(msgspec.Struct, frozen=True):
    """Replicas put and removed up to a store revision; ``whole``: a full list.

    ``removed``: names that no longer have a usable entry; ``passed`` has the last entry
    of those that were also put in between. ``store_ms`` is the store's monotonic clock
    when it answered; 0: not reported. A ``whole`` list ``follows`` the one before if
    ``passed`` has all entries that were put since.
    """

    put: tuple[Replica, ...]
    removed: tuple[ReplicaName, ...]
    revision: Revision
    whole: bool = False
    store_ms: int = 0
    era: StoreEra = FIRST_ERA
    passed: tuple[Replica, ...] = ()
    follows: bool = False
