"""Instances that appear to be gone while this host can't read the store.

Such a host keeps an old list of replicas. An instance that restarted or left has its
address refuse connections, or answer 421 once another instance uses it. Each request
sent there costs an attempt, so the instance gets none until a read confirms the list.

This holds on this host only: another host may have a newer list, and an engine that
refuses one phase still serves the other.
"""

import logging
from collections.abc import Callable, Iterable

from berylshift.ids import InstanceId
from berylshift.messages.replicas import EnginePhase, Replica
from berylshift.messages.routed import ResponseHead

logger = logging.getLogger(__name__)

# Misdirected Request (RFC 9110).
STATUS_WRONG_INSTANCE = 421
# Responses 421 in a row after which an instance is suspected. An engine that has just
# changed its phase sends a single one: its new phase is known with the next digests.
MIN_REFUSALS = 2


class SuspectedGone:
    """Suspects instances by their answers; times in monotonic seconds."""

    def __init__(
        self,
        is_store_lost: Callable[[], bool] = lambda: False,
        is_used: Callable[[], bool] = lambda: False,
    ):
        """Suspect instances only while the store is lost and the feature is used."""
        self._is_store_lost = is_store_lost
        self._is_used = is_used
        self._refusals: dict[InstanceId, int] = {}
        # When each suspected instance became so.
        self._suspects: dict[InstanceId, float] = {}
        self._on_change: list[Callable[[float], None]] = []

    def subscribe(self, on_change: Callable[[float], None]) -> None:
        """Call ``on_change`` with the time whenever an instance becomes suspected."""
        self._on_change.append(on_change)

    def record_response(
        self, instance: InstanceId, head: ResponseHead, now: float
    ) -> None:
        """Record the response to a request that names an instance.

        A 421 states that the instance isn't at its address, or refuses the phase. With
        any other genuine response it has accepted its name; a response that is neither
        may come from another program at the address.
        """
        if head.status != STATUS_WRONG_INSTANCE:
            if head.genuine or head.not_run:
                self._refusals.pop(instance, None)
            return
        if not self._is_active():
            return
        self._refusals[instance] = self._refusals.get(instance, 0) + 1
        if self._refusals[instance] >= MIN_REFUSALS:
            self._suspect(instance, "wrong instance", now)

    def record_not_reached(self, instance: InstanceId, now: float) -> None:
        """Record that no connection to an instance's address was established.

        By itself that may be a fault of the network.
        """
        if instance in self._refusals and self._is_active():
            self._suspect(instance, "no connection", now)

    def _is_active(self) -> bool:
        return self._is_store_lost() and self._is_used()

    def _suspect(self, instance: InstanceId, reason: str, now: float) -> None:
        if instance in self._suspects:
            return
        self._suspects[instance] = now
        logger.info(
            "replica is suspected to be gone",
            extra={"instance": instance, "reason": reason},
        )
        for on_change in self._on_change:
            on_change(now)

    def confirm(self, instances: Iterable[InstanceId]) -> bool:
        """Drop the suspicions of listed instances. Return if there were any."""
        found = set(instances)
        confirmed = self._suspects.keys() & found
        for instance in found:
            self._refusals.pop(instance, None)
            self._suspects.pop(instance, None)
        return bool(confirmed)

    def suspected_until(self, at: float) -> list[InstanceId]:
        """Return the instances that became suspected at a time or before."""
        return [name for name, since in self._suspects.items() if since <= at]

    def clear(self) -> bool:
        """Drop all suspicions: a read confirmed the list. Return if there were any."""
        had_suspects = bool(self._suspects)
        self._refusals.clear()
        self._suspects.clear()
        return had_suspects

    def without_suspects(self, members: list[Replica]) -> list[Replica]:
        """Return the replicas that aren't suspected.

        Engines of a phase that are all suspected are kept: a wrong suspicion must not
        make a service unavailable.
        """
        if not self._suspects:
            return members
        kept = [rep for rep in members if rep.instance not in self._suspects]
        kept_phases = {rep.phase is EnginePhase.PREFILL for rep in kept}
        return [
            rep
            for rep in members
            if rep.instance not in self._suspects
            or (rep.phase is EnginePhase.PREFILL) not in kept_phases
        ]

    def __len__(self) -> int:
        """Return how many instances are suspected."""
        return len(self._suspects)
