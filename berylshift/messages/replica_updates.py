"""Changes of the replica feed that hosts send each other."""

import msgspec

from berylshift.ids import ReplicaName, Revision, StoreEra
from berylshift.messages.replicas import Replica


class RevisionRange(msgspec.Struct, frozen=True):
    """Revisions of one era from ``since`` to ``until`` at which the list was the same.

    Two such ranges that overlap belong to the same list.
    """

    era: StoreEra
    since: Revision
    until: Revision

    def overlaps(self, other: "RevisionRange") -> bool:
        """Return whether the two ranges have a revision in common."""
        if self.era != other.era:
            return False
        return self.since <= other.until and other.since <= self.until


class ReplicaLink(msgspec.Struct, frozen=True):
    """All changes between a range of revisions and the revision ``to``.

    ``origin`` is the short hash of the host that read them from the store.
    """

    origin: int
    start: RevisionRange
    to: Revision
    put: tuple[Replica, ...] = ()
    removed: tuple[ReplicaName, ...] = ()


class ReplicaPiece(msgspec.Struct, frozen=True):
    """Part ``index`` of the ``count`` parts that a link is sent in."""

    link: ReplicaLink
    index: int = 0
    count: int = 1


def shared_texts(replica: Replica) -> tuple[str, ...]:
    """Return the texts of an entry that other entries of a piece may share."""
    found = (replica.service, replica.domain)
    return (*found, replica.version) if replica.version else found
