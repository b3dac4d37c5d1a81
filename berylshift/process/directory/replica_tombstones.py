"""Tombstones of replicas that are draining or were removed.

A store that is restored from an older copy lists them as ready again. A host that has
acknowledged that they are draining must not send them new work.
"""

from collections import OrderedDict
from dataclasses import dataclass

import msgspec

from berylshift.ids import InstanceId, ReplicaName, Revision
from berylshift.messages.replicas import Replica

# Instances remembered; a copy is some seconds old, in which far fewer are removed.
MAX_TOMBSTONES = 4096


@dataclass
class _WithheldEntry:
    """An entry from a restored copy; used if still listed at ``expires_at``."""

    replica: Replica
    expires_at: float


class ReplicaTombstones:
    """Remembers draining and removed instances; times in monotonic seconds."""

    def __init__(self, ttl_seconds: float):
        """Expect an entry that is not renewed to expire after ``ttl_seconds``."""
        self._ttl_seconds = ttl_seconds
        self._draining: OrderedDict[InstanceId, Revision] = OrderedDict()
        self._removed: OrderedDict[InstanceId, Revision] = OrderedDict()
        self._withheld: dict[ReplicaName, _WithheldEntry] = {}

    def mark_removed(self, replica: Replica) -> None:
        """Record that an instance is no longer listed."""
        _remember(self._removed, replica)

    def with_known_draining(self, replica: Replica) -> Replica:
        """Return a replica as draining if its instance ever was.

        Draining is final for an instance; a restarted replica is a new instance.
        """
        if replica.draining:
            _remember(self._draining, replica)
        elif replica.instance in self._draining:
            return msgspec.structs.replace(replica, draining=True)
        return replica

    def mark_draining(self, replica: Replica) -> Replica:
        """Return a listed replica as draining, as it has stated itself."""
        return self.with_known_draining(msgspec.structs.replace(replica, draining=True))

    def is_draining(self, instance: InstanceId) -> bool:
        """Return whether an instance is known to be draining."""
        return instance in self._draining

    def withhold(self, replica: Replica, now: float) -> bool:
        """Return whether an entry from a restored copy must not be used for now.

        An entry whose instance was removed before is either obsolete and will expire,
        or its replica is alive and writes it again, which gives it another revision.
        """
        former = self._removed.get(replica.instance)
        if former is None or (former and former != replica.revision):
            return False
        expires_at = now + self._ttl_seconds
        former_entry = self._withheld.get(replica.name)
        if (
            former_entry is not None
            and former_entry.replica.instance == replica.instance
        ):
            expires_at = former_entry.expires_at
        self._withheld[replica.name] = _WithheldEntry(replica, expires_at)
        return True

    @property
    def has_withheld(self) -> bool:
        """Return whether any entry must not be used for now."""
        return bool(self._withheld)

    def is_withheld(self, name: ReplicaName) -> bool:
        """Return whether a replica's entry must not be used for now."""
        return name in self._withheld

    def mark_alive(self, replica: Replica) -> None:
        """Record that a replica has written its entry and is therefore alive."""
        self._withheld.pop(replica.name, None)
        self._removed.pop(replica.instance, None)

    def forget_entry(self, name: ReplicaName) -> None:
        """Record that an entry no longer exists."""
        self._withheld.pop(name, None)

    def pop_unexpired(self, now: float) -> list[Replica]:
        """Return and release withheld replicas whose entries did not expire in time."""
        found = [
            entry.replica
            for entry in self._withheld.values()
            if now >= entry.expires_at
        ]
        for replica in found:
            self.mark_alive(replica)
        return found


def _remember(revisions: OrderedDict[InstanceId, Revision], replica: Replica) -> None:
    revisions[replica.instance] = replica.revision
    revisions.move_to_end(replica.instance)
    if len(revisions) > MAX_TOMBSTONES:
        revisions.popitem(last=False)
