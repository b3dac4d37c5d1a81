"""Parses the entries that replicas write to the platform's store."""

from typing import Annotated

import msgspec

from berylshift.ids import (
    DomainName,
    ReplicaName,
    Revision,
    ServiceName,
    SoftwareVersion,
)
from berylshift.messages.addresses import is_endpoint
from berylshift.messages.json_decoding import MalformedJsonError, decode_json
from berylshift.messages.replicas import EnginePhase, Replica, instance_of
from berylshift.messages.wire_numbers import MAX_REQUESTS, Name, Position, Text
from berylshift.store.interfaces import MalformedEntryError

DRAINING = "draining"
STATES = frozenset({"ready", DRAINING})


class _Entry(msgspec.Struct):
    """The fields that every replica writes; an entry without them is foreign."""

    service: Name
    address: Text
    zone: Name
    version: Text
    batch_slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_REQUESTS)]
    state: Text
    cold_remaining_ms: float
    sequence: int
    phase: Text = ""
    # Unix time of the replica's start in milliseconds; not all replicas report it.
    born: Position | msgspec.UnsetType = msgspec.UNSET
    # Whether the replica is interruptible: the platform may reclaim it.
    spot_enabled: bool = False


def parse_replica_entry(key: str, data: bytes, revision: int = 0) -> Replica:
    """Return the replica that an entry describes; raise ``MalformedEntryError``."""
    try:
        decoded = decode_json(data, _Entry)
        phase = EnginePhase(decoded.phase)
    except (MalformedJsonError, ValueError) as exc:
        raise MalformedEntryError(f"replica {key}: {exc}") from exc
    if decoded.state not in STATES:
        raise MalformedEntryError(f"replica {key}: unknown state {decoded.state!r}")
    if not is_endpoint(decoded.address):
        raise MalformedEntryError(f"replica {key}: address {decoded.address!r}")
    if not _is_name(key):
        raise MalformedEntryError(f"replica {key!r}: the name can't be in a header")
    name = ReplicaName(key)
    started_ms = None if decoded.born is msgspec.UNSET else decoded.born
    return Replica(
        instance=instance_of(name, started_ms),
        service=ServiceName(decoded.service),
        address=decoded.address,
        domain=DomainName(decoded.zone),
        slots=decoded.batch_slots,
        draining=decoded.state == DRAINING,
        phase=phase,
        name=name,
        started_ms=started_ms,
        revision=Revision(revision),
        interruptible=decoded.spot_enabled,
        version=SoftwareVersion(decoded.version),
    )


def _is_name(key: str) -> bool:
    return bool(key) and key.isprintable() and key == key.strip()
