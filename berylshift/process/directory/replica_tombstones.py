"""Replicas that leave or have left, for a store that forgets it.

A store that comes back from an older copy lists them as if nothing had been said. A
host that has acknowledged their leaving must not send them work again.
"""

from collections import OrderedDict
from dataclasses import dataclass

import msgspec

from berylshift.ids import InstanceId, ReplicaName, Revision
from berylshift.messages.replicas import Replica

# Instances kept; a copy is some seconds old, in which far fewer leave.
MOST_KEPT = 4096


@dataclass
class _Withheld:
    """An entry that stands in a copy; used from ``until`` on if it is still there."""

    replica: Replica
    until: float


class DepartedReplicas:
    """Times in seconds on the monotonic clock."""

    def __init__(self, lapse_seconds: float):
        """Take an entry that nobody renews for gone after ``lapse_seconds``."""
        self._lapse_seconds = lapse_seconds
        self._leaving: OrderedDict[InstanceId, Revision] = OrderedDict()
        self._gone: OrderedDict[InstanceId, Revision] = OrderedDict()
        self._withheld: dict[ReplicaName, _Withheld] = {}

    def gone(self, replica: Replica) -> None:
        """Note that an instance is no longer listed."""
        _keep(self._gone, replica)

    def as_known(self, replica: Replica) -> Replica:
        """Return a replica as leaving if it was once: it does not come back from that.

        Its next start is another instance.
        """
        if replica.draining:
            _keep(self._leaving, replica)
        elif replica.instance in self._leaving:
            return msgspec.structs.replace(replica, draining=True)
        return replica

    def as_draining(self, replica: Replica) -> Replica:
        """Return a listed replica as leaving, by its own word."""
        return self.as_known(msgspec.structs.replace(replica, draining=True))

    def is_leaving(self, instance: InstanceId) -> bool:
        """Return whether an instance was said to leave."""
        return instance in self._leaving

    def withhold(self, replica: Replica, now: float) -> bool:
        """Return whether an entry of a copy is not to be used for now.

        One whose instance has gone before is either a ghost, which lapses, or alive,
        and then writes itself again: its entry gets another revision.
        """
        former = self._gone.get(replica.instance)
        if former is None or (former and former != replica.revision):
            return False
        until = now + self._lapse_seconds
        known = self._withheld.get(replica.name)
        if known is not None and known.replica.instance == replica.instance:
            until = known.until
        self._withheld[replica.name] = _Withheld(replica, until)
        return True

    def is_withheld(self, name: ReplicaName) -> bool:
        """Return whether a replica's entry is not used for now."""
        return name in self._withheld

    def written(self, replica: Replica) -> None:
        """Note that a replica has written its entry itself."""
        self._withheld.pop(replica.name, None)
        self._gone.pop(replica.instance, None)

    def removed(self, name: ReplicaName) -> None:
        """Note that an entry is no longer there."""
        self._withheld.pop(name, None)

    def due(self, now: float) -> list[Replica]:
        """Return the replicas whose entries should have lapsed, and have not."""
        found = [held.replica for held in self._withheld.values() if now >= held.until]
        for replica in found:
            self.written(replica)
        return found


def _keep(kept: OrderedDict[InstanceId, Revision], replica: Replica) -> None:
    kept[replica.instance] = replica.revision
    kept.move_to_end(replica.instance)
    if len(kept) > MOST_KEPT:
        kept.popitem(last=False)
