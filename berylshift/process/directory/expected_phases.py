"""Phases that engines were ordered to take, before their entries say so.

An entry follows an order seconds later, and not at all while the store is away. Without
the order's own word the hosts go on using an engine as what it no longer is.
"""

import msgspec

from berylshift.ids import InstanceId
from berylshift.messages.load_digest import PhaseUpdate, target_hash
from berylshift.messages.replicas import EnginePhase, Replica

# An order without an answer may be carried out this much later, and an engine is away
# for some seconds: for so long an order says more than the entry.
SETTLE_SECONDS = 15.0
# An engine that changes phase takes no new work for this long (the engines' sheet).
SWITCH_SECONDS = 3.0
# Orders told in one digest. While hundreds of engines take their phases at a start, all
# of them in each digest of each host were 300 kB/s a host at 99 hosts and 998 replicas;
# so many are 0.2 kB, and all have been told after some digests.
MOST_TOLD = 16
# Of these, the newest orders: the others take turns.
NEWEST_TOLD = 8


class ExpectedPhase(msgspec.Struct, frozen=True):
    """What an engine was ordered to become, and when; times in seconds."""

    phase: EnginePhase
    ordered_at: float


class ExpectedPhases:
    """Orders under way, this host's and the others'."""

    def __init__(self) -> None:
        """Start with none."""
        self._orders: dict[int, ExpectedPhase] = {}
        self._turn = 0
        self.version = 0

    def ordered(self, instance: InstanceId, phase: EnginePhase, now: float) -> None:
        """Note an order that may be carried out."""
        self._note(target_hash(instance), ExpectedPhase(phase, now))

    def heard(self, told: tuple[PhaseUpdate, ...], now: float) -> None:
        """Take over other hosts' orders; the newest of an engine counts."""
        for item in told:
            known = self._orders.get(item.target)
            at = now - item.age_seconds
            if item.age_seconds >= SETTLE_SECONDS:
                continue
            if known is None or known.ordered_at < at - 1.0:
                self._note(item.target, ExpectedPhase(item.phase, at))

    def _note(self, target: int, order: ExpectedPhase) -> None:
        self._orders[target] = order
        self.version += 1

    def next_change(self, now: float) -> float:
        """Return when an order next says something else than it does now."""
        times = [
            order.ordered_at + seconds
            for order in self._orders.values()
            for seconds in (SWITCH_SECONDS, SETTLE_SECONDS)
        ]
        return min((time for time in times if time > now), default=float("inf"))

    def to_tell(self, now: float) -> tuple[PhaseUpdate, ...]:
        """Return orders under way for the other hosts, not too many at once."""
        self._drop_old(now)
        return tuple(
            PhaseUpdate(target, order.phase, now - order.ordered_at)
            for target, order in self._some_orders()
        )

    def _some_orders(self) -> list[tuple[int, ExpectedPhase]]:
        orders = sorted(self._orders.items(), key=lambda item: -item[1].ordered_at)
        if len(orders) <= MOST_TOLD:
            return orders
        newest, others = orders[:NEWEST_TOLD], orders[NEWEST_TOLD:]
        count = MOST_TOLD - NEWEST_TOLD
        first = self._turn % len(others)
        self._turn += count
        return newest + (others + others)[first : first + count]

    def find(self, replica: Replica, now: float) -> ExpectedPhase | None:
        """Return the order that says more than a replica's entry."""
        order = self._under_way(replica.instance, now)
        return None if order is None or order.phase is replica.phase else order

    def as_ordered(self, replica: Replica, now: float) -> Replica:
        """Return a replica with the phase it is to have."""
        order = self.find(replica, now)
        if order is None:
            return replica
        return msgspec.structs.replace(replica, phase=order.phase)

    def as_usable(self, replica: Replica, now: float) -> Replica | None:
        """Return a replica as it may be used now; ``None`` while it changes."""
        order = self.find(replica, now)
        if order is None:
            return replica
        if now < order.ordered_at + SWITCH_SECONDS:
            return None
        return msgspec.structs.replace(replica, phase=order.phase)

    def is_settling(self, instance: InstanceId, now: float) -> bool:
        """Return whether an engine was ordered a short time ago."""
        return self._under_way(instance, now) is not None

    def _under_way(self, instance: InstanceId, now: float) -> ExpectedPhase | None:
        order = self._orders.get(target_hash(instance))
        if order is None or now - order.ordered_at >= SETTLE_SECONDS:
            return None
        return order

    def _drop_old(self, now: float) -> None:
        old = [
            target
            for target, order in self._orders.items()
            if now - order.ordered_at >= SETTLE_SECONDS
        ]
        for target in old:
            del self._orders[target]
