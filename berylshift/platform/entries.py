"""Replicas' own entries in the platform's store, turned into replicas."""

from typing import Annotated

import msgspec

from berylshift.ids import DomainName, ReplicaName, Revision, ServiceName
from berylshift.messages.replicas import EnginePhase, Replica, instance_of
from berylshift.store.directory import MalformedEntryError

DRAINING = "draining"
STATES = frozenset({"ready", DRAINING})
Text = Annotated[str, msgspec.Meta(min_length=1)]
Address = Annotated[str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]


class _Entry(msgspec.Struct):
    """All that a replica writes; an entry that lacks some is another writer's."""

    service: Text
    address: Address
    zone: Text
    version: str
    batch_slots: Annotated[int, msgspec.Meta(ge=1)]
    state: str
    cold_remaining_ms: float
    sequence: int
    phase: str = ""
    # Unix milliseconds of the replica's start; not all replicas tell it.
    born: Annotated[int, msgspec.Meta(ge=0)] | msgspec.UnsetType = msgspec.UNSET
    # Whether the platform may take the replica away.
    spot_enabled: bool = False


def parse_replica_entry(key: str, data: bytes, revision: int = 0) -> Replica:
    """Return the replica of an entry; raise ``MalformedEntryError``."""
    try:
        found = msgspec.json.decode(data, type=_Entry)
        phase = EnginePhase(found.phase)
    except (msgspec.DecodeError, ValueError) as exc:
        raise MalformedEntryError(f"replica {key}: {exc}") from exc
    if found.state not in STATES:
        raise MalformedEntryError(f"replica {key}: unknown state {found.state!r}")
    name = ReplicaName(key)
    started_ms = None if found.born is msgspec.UNSET else found.born
    return Replica(
        instance=instance_of(name, started_ms),
        service=ServiceName(found.service),
        address=found.address,
        domain=DomainName(found.zone),
        slots=found.batch_slots,
        draining=found.state == DRAINING,
        phase=phase,
        name=name,
        started_ms=started_ms,
        revision=Revision(revision),
        interruptible=found.spot_enabled,
    )
