"""Encoding of replica changes in load digests."""

from berylshift.ids import (
    DomainName,
    ReplicaName,
    Revision,
    ServiceName,
    SoftwareVersion,
    StoreEra,
)
from berylshift.messages.replica_updates import (
    ReplicaLink,
    ReplicaPiece,
    RevisionRange,
    shared_texts,
)
from berylshift.messages.replicas import EnginePhase, Replica, instance_of

# Numbers of the phases in a digest.
PHASES = (EnginePhase.NONE, EnginePhase.PREFILL, EnginePhase.DECODE)


def pack_pieces(slots, pieces: tuple[ReplicaPiece, ...]) -> None:
    """Write ``pieces`` to a list of as many structs."""
    for slot, piece in zip(slots, pieces, strict=True):
        link = piece.link
        slot.origin = link.origin
        slot.era = link.start.era
        slot.since, slot.until, slot.to = link.start.since, link.start.until, link.to
        slot.index, slot.count = piece.index, piece.count
        texts = sorted({text for rep in link.put for text in shared_texts(rep)})
        slot.texts = texts
        entries = slot.init("put", len(link.put))
        for entry, replica in zip(entries, link.put, strict=True):
            _pack_entry(entry, replica)
            entry.service = texts.index(replica.service)
            entry.domain = texts.index(replica.domain)
            if replica.version:
                entry.version = texts.index(replica.version) + 1
        slot.removed = list(link.removed)


def _pack_entry(slot, replica: Replica) -> None:
    slot.name, slot.address = replica.name, replica.address
    slot.slots = replica.slots
    if replica.started_ms is not None:
        slot.hasStart, slot.startedMs = True, replica.started_ms
    slot.draining = replica.draining
    slot.interruptible = replica.interruptible
    slot.phase = PHASES.index(replica.phase)
    slot.revision = replica.revision


def unpack_pieces(slots) -> tuple[ReplicaPiece, ...]:
    """Return the pieces, without those that hold a phase of a newer build.

    A link that lacks a piece is never applied.
    """
    return tuple(
        ReplicaPiece(
            ReplicaLink(
                slot.origin,
                RevisionRange(
                    StoreEra(slot.era), Revision(slot.since), Revision(slot.until)
                ),
                Revision(slot.to),
                _unpack_entries(slot.put, list(slot.texts)),
                tuple(ReplicaName(name) for name in slot.removed),
            ),
            slot.index,
            slot.count,
        )
        for slot in slots
        if all(entry.phase < len(PHASES) for entry in slot.put)
    )


def _unpack_entries(slots, texts: list[str]) -> tuple[Replica, ...]:
    return tuple(_unpack_entry(slot, texts) for slot in slots)


def _unpack_entry(slot, texts: list[str]) -> Replica:
    name = ReplicaName(slot.name)
    started_ms = slot.startedMs if slot.hasStart else None
    return Replica(
        instance=instance_of(name, started_ms),
        service=ServiceName(texts[slot.service]),
        address=slot.address,
        domain=DomainName(texts[slot.domain]),
        slots=slot.slots,
        draining=slot.draining,
        phase=PHASES[slot.phase],
        name=name,
        started_ms=started_ms,
        revision=Revision(slot.revision),
        interruptible=slot.interruptible,
        version=SoftwareVersion(texts[slot.version - 1] if slot.version else ""),
    )
