"""Which statements and samples of replicas' speeds a host sends to the others."""

from collections import OrderedDict
from dataclasses import dataclass
from enum import IntEnum

from berylshift.messages.load_digest import Scope, SpeedKind, SpeedUpdate

# Updates that found no room for this long are out of date.
SEND_SECONDS = 4.0
# Updates in one digest. At five aggregates a second, the three kinds of updates of
# forty engines are sent within two seconds.
MAX_UPDATES = 10
# An update is repeated once, as one datagram may be lost, but only where few updates
# are new: otherwise the next statement takes less time than the repetition.
MAX_REPEATED = 4
# Ages are sent in units of 0.02 s, and datagrams take some milliseconds: an update that
# is newer by less than this is the same one. One with the same value may be this host's
# own, which comes back in an aggregate.
AGE_TOLERANCE_SECONDS = 0.05
ECHO_SECONDS = 0.25
# A bound on memory; the least recently updated are dropped.
MAX_KNOWN = 6144

Key = tuple[int, SpeedKind]
Queue = OrderedDict[Key, None]


class Origin(IntEnum):
    """Where an update comes from, which decides who is still to receive it."""

    OWN = 0
    # A host of this domain, which a collector informs the others of.
    DOMAIN = 1
    # Another domain's collector.
    OTHER_DOMAIN = 2
    # A host that sends to all others itself, or the collector of this domain.
    FINAL = 3


# The origins of the updates that digests of each scope hold.
ORIGINS = {
    Scope.HOST: (Origin.OWN,),
    Scope.DOMAIN: (Origin.OWN, Origin.DOMAIN),
    Scope.ALL_HOSTS: (Origin.OWN, Origin.DOMAIN, Origin.OTHER_DOMAIN),
}


@dataclass(slots=True)
class _Newest:
    """The newest update of a kind on a replica."""

    value: float
    at: float
    origin: Origin


class SpeedGossip:
    """The newest updates by target and kind; times in seconds."""

    def __init__(self) -> None:
        """Start without updates."""
        self._newest: OrderedDict[Key, _Newest] = OrderedDict()
        # What digests of each scope still have to hold for the first time, and what
        # they have held once. Each replica has one place in a queue, so a busy one does
        # not crowd out others.
        self._new: dict[Scope, Queue] = {scope: OrderedDict() for scope in Scope}
        self._sent: dict[Scope, Queue] = {scope: OrderedDict() for scope in Scope}

    def record_own(self, target: int, kind: SpeedKind, value: float, at: float) -> None:
        """Record what this host has learned."""
        self._replace((target, kind), _Newest(value, at, Origin.OWN))

    def receive(self, update: SpeedUpdate, now: float, origin: Origin) -> bool:
        """Record another host's update; return whether it is newer than the known."""
        key, at = (update.target, update.kind), now - update.age_seconds
        known = self._newest.get(key)
        if known is not None:
            is_echo = known.value == update.value
            tolerance = ECHO_SECONDS if is_echo else AGE_TOLERANCE_SECONDS
            if at <= known.at + tolerance:
                return False
        self._replace(key, _Newest(update.value, at, origin))
        return True

    def _replace(self, key: Key, newest: _Newest) -> None:
        self._newest[key] = newest
        self._newest.move_to_end(key)
        for scope, origins in ORIGINS.items():
            if newest.origin in origins:
                self._new[scope][key] = None
                self._sent[scope].pop(key, None)
        if len(self._newest) > MAX_KNOWN:
            oldest, _ = self._newest.popitem(last=False)
            self._drop_pending(oldest)

    def count_new(self, scope: Scope, now: float) -> int:
        """Return how many updates a digest of that scope would be first to hold."""
        self._drop_outdated(self._new[scope], scope, now)
        return min(MAX_UPDATES, len(self._new[scope]))

    def take_updates(self, scope: Scope, now: float) -> tuple[SpeedUpdate, ...]:
        """Return the updates for the next digest, and count them as sent."""
        found = self._take(self._new[scope], scope, MAX_UPDATES, now)
        repeated = self._take(self._sent[scope], scope, MAX_REPEATED - len(found), now)
        self._sent[scope].update(dict.fromkeys(found))
        return tuple(self._update(key, now) for key in (*found, *repeated))

    def _take(
        self, queue: Queue, scope: Scope, max_count: int, now: float
    ) -> list[Key]:
        found: list[Key] = []
        while len(found) < max_count:
            self._drop_outdated(queue, scope, now)
            if not queue:
                break
            found.append(queue.popitem(last=False)[0])
        return found

    def _update(self, key: Key, now: float) -> SpeedUpdate:
        (target, kind), newest = key, self._newest[key]
        return SpeedUpdate(target, kind, newest.value, max(0.0, now - newest.at))

    def _drop_outdated(self, queue: Queue, scope: Scope, now: float) -> None:
        """Drop the first updates of a queue that are not to be sent any more."""
        while queue:
            newest = self._newest[next(iter(queue))]
            if newest.origin in ORIGINS[scope] and now - newest.at < SEND_SECONDS:
                return
            queue.popitem(last=False)

    def _drop_pending(self, key: Key) -> None:
        for queue in (*self._new.values(), *self._sent.values()):
            queue.pop(key, None)

    def forget(self, target: int) -> None:
        """Remove a replica that is gone."""
        for kind in SpeedKind:
            self._newest.pop((target, kind), None)
            self._drop_pending((target, kind))
