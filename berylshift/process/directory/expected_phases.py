"""Phases that engines were ordered to take but do not yet list in their entries.

An entry reflects an order only seconds later, and not at all while the store is down.
Until then hosts that did not know of the order would use an engine in its old phase.
"""

import msgspec

from berylshift.ids import InstanceId
from berylshift.messages.load_digest import PhaseUpdate, target_hash
from berylshift.messages.replicas import EnginePhase, Replica

# An unanswered order may take effect this much later, and an engine is unavailable for
# some seconds while it changes: until then the order takes precedence over the entry.
ORDER_PENDING_SECONDS = 15.0
# An engine takes no new work for this long while it changes phase (its data sheet).
PHASE_CHANGE_SECONDS = 3.0
# Bounds the traffic when hundreds of engines change phase at startup: with all orders
# in every digest, each of 99 hosts would send 300 kB/s for 998 replicas. 16 orders take
# 0.2 kB, and all orders have been sent after a few digests.
MAX_ORDERS_PER_DIGEST = 16
# Of these, how many are the newest orders; the others rotate.
NEWEST_ORDERS_PER_DIGEST = 8


class ExpectedPhase(msgspec.Struct, frozen=True):
    """The phase that an engine was ordered to take, and when, in seconds."""

    phase: EnginePhase
    ordered_at: float


class ExpectedPhases:
    """Pending orders of this host and of other hosts."""

    def __init__(self) -> None:
        """Start without orders."""
        self._orders: dict[int, ExpectedPhase] = {}
        self._rotation = 0
        self.version = 0

    def record_order(
        self, instance: InstanceId, phase: EnginePhase, now: float
    ) -> None:
        """Record an order that may take effect."""
        self._record(target_hash(instance), ExpectedPhase(phase, now))

    def apply_updates(self, updates: tuple[PhaseUpdate, ...], now: float) -> None:
        """Merge other hosts' orders; the newest order of an engine wins."""
        for update in updates:
            known = self._orders.get(update.target)
            at = now - update.age_seconds
            if update.age_seconds >= ORDER_PENDING_SECONDS:
                continue
            if known is None or known.ordered_at < at - 1.0:
                self._record(update.target, ExpectedPhase(update.phase, at))

    def _record(self, target: int, order: ExpectedPhase) -> None:
        self._orders[target] = order
        self.version += 1

    def next_change(self, now: float) -> float:
        """Return the next time at which the effect of an order changes."""
        times = [
            order.ordered_at + seconds
            for order in self._orders.values()
            for seconds in (PHASE_CHANGE_SECONDS, ORDER_PENDING_SECONDS)
        ]
        return min((time for time in times if time > now), default=float("inf"))

    def updates_to_send(self, now: float) -> tuple[PhaseUpdate, ...]:
        """Return at most ``MAX_ORDERS_PER_DIGEST`` pending orders for a digest."""
        self._drop_expired(now)
        return tuple(
            PhaseUpdate(target, order.phase, now - order.ordered_at)
            for target, order in self._select_for_digest()
        )

    def _select_for_digest(self) -> list[tuple[int, ExpectedPhase]]:
        orders = sorted(self._orders.items(), key=lambda item: -item[1].ordered_at)
        if len(orders) <= MAX_ORDERS_PER_DIGEST:
            return orders
        newest, others = (
            orders[:NEWEST_ORDERS_PER_DIGEST],
            orders[NEWEST_ORDERS_PER_DIGEST:],
        )
        count = MAX_ORDERS_PER_DIGEST - NEWEST_ORDERS_PER_DIGEST
        first = self._rotation % len(others)
        self._rotation += count
        return newest + (others + others)[first : first + count]

    def find(self, replica: Replica, now: float) -> ExpectedPhase | None:
        """Return the pending order that overrides the phase in a replica's entry."""
        order = self._pending(replica.instance, now)
        return None if order is None or order.phase is replica.phase else order

    def with_ordered_phase(self, replica: Replica, now: float) -> Replica:
        """Return a replica in the phase that it was ordered to take, if any."""
        order = self.find(replica, now)
        if order is None:
            return replica
        return msgspec.structs.replace(replica, phase=order.phase)

    def as_usable(self, replica: Replica, now: float) -> Replica | None:
        """Return a replica in its usable phase; ``None`` while it changes phase."""
        order = self.find(replica, now)
        if order is None:
            return replica
        if now < order.ordered_at + PHASE_CHANGE_SECONDS:
            return None
        return msgspec.structs.replace(replica, phase=order.phase)

    def has_pending_order(self, instance: InstanceId, now: float) -> bool:
        """Return whether an order to an engine may still take effect."""
        return self._pending(instance, now) is not None

    def is_changing(self, replica: Replica, now: float) -> bool:
        """Return whether an engine was ordered and may not be in that phase yet.

        ``replica`` is as listed: its entry confirms the phase.
        """
        order = self._pending(replica.instance, now)
        if order is None:
            return False
        is_confirmed = order.phase is replica.phase
        return not is_confirmed or now < order.ordered_at + PHASE_CHANGE_SECONDS

    def _pending(self, instance: InstanceId, now: float) -> ExpectedPhase | None:
        order = self._orders.get(target_hash(instance))
        if order is None or now - order.ordered_at >= ORDER_PENDING_SECONDS:
            return None
        return order

    def _drop_expired(self, now: float) -> None:
        expired = [
            target
            for target, order in self._orders.items()
            if now - order.ordered_at >= ORDER_PENDING_SECONDS
        ]
        for target in expired:
            del self._orders[target]
