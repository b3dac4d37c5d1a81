"""How long work takes at each replica, as stated by replicas and shown by responses.

What a replica states combines a lasting speed and a disturbance of some hundred ms; the
two are kept apart. One host hears from a given replica only every few seconds, so hosts
share what they learn. All of it is kept by instance: a restarted replica begins anew.
"""

import logging
from collections import OrderedDict
from collections.abc import Callable, Iterable

from berylshift.ids import InstanceId, ServiceName
from berylshift.messages.load_digest import Scope, SpeedKind, SpeedUpdate, target_hash
from berylshift.messages.replicas import Replica
from berylshift.messages.routed import ReportedLoad
from berylshift.process.targets.engine_speeds import (
    LOGGED_FACTOR,
    MAX_AHEAD_SHARE,
    MIN_PREFILL_TOKENS,
    EngineSpeeds,
)
from berylshift.process.targets.speed_estimates import (
    EventGaps,
    LearnedSpeed,
    StatedSpeed,
)
from berylshift.process.targets.speed_gossip import Origin, SpeedGossip

logger = logging.getLogger(__name__)

# A service whose replicas stated nothing for this long no longer states how long work
# takes. Longer than quiet periods, so that the feature does not go on and off in them.
STATED_SECONDS = 60.0
# Whether a service's replicas state it is asked for several times in each request, and
# looked up this often.
LOOKUP_SECONDS = 1.0
PERCENT = 100
# Statements before a lasting factor is logged: the first ones may be disturbed.
MIN_LOGGED_STATEMENTS = 3
# A bound on memory; the replicas that were heard from the longest time ago are dropped.
MAX_REPLICAS = 2048


class _Replica:
    """What is known of one replica."""

    def __init__(self) -> None:
        self.stated = StatedSpeed()
        self.learned = LearnedSpeed()
        self.gaps = EventGaps()
        self.stated_lasting: float | None = None
        self.logged = 1.0

    def update_bound(self, now: float) -> None:
        """Bound the stated factor by what responses show."""
        if self.stated.lasting is not None:
            self.stated_lasting = self.learned.bounded(self.stated.lasting, now)

    def lasting(self, now: float) -> float:
        """Return the lasting factor."""
        if self.stated_lasting is not None:
            return self.stated_lasting
        return self.learned.lasting(now)

    def present(self, now: float) -> float:
        """Return the factor at present."""
        if self.stated_lasting is not None:
            return self.stated_lasting * self.stated.disturbance(now)
        return self.learned.present(now)

    def is_known(self, now: float) -> bool:
        """Return whether the replica stated its speed, or enough prefills showed it."""
        return self.stated_lasting is not None or self.learned.is_known(now)

    @property
    def is_settled(self) -> bool:
        """Return whether the lasting factor may be logged."""
        return not 0 < len(self.stated) < MIN_LOGGED_STATEMENTS


class ReplicaSpeeds:
    """Time factors and event gaps by replica; times in seconds."""

    def __init__(
        self,
        speeds: EngineSpeeds | None = None,
        listed: Callable[[ServiceName], Iterable[Replica]] = lambda service: (),
        instance_of: Callable[[int], InstanceId | None] = lambda target: None,
        is_used: Callable[[ServiceName], bool] = lambda service: False,
        is_enabled: bool = False,
    ):
        """Compare prefills with the estimates in ``speeds``.

        ``listed`` returns a service's replicas, ``instance_of`` finds a listed replica
        by its short hash. Responses of services for which
        ``is_used`` is false are not recorded. Statements always are, since they switch
        other features on too; unless ``is_enabled``, they are not sent to the other
        hosts, and all replicas count as equally fast.
        """
        self._speeds = speeds or EngineSpeeds()
        self._listed = listed
        self._instance_of = instance_of
        self._is_used = is_used
        self._is_enabled = is_enabled
        self._replicas: OrderedDict[int, _Replica] = OrderedDict()
        self._gossip = SpeedGossip()
        # The newest time that a caller passed in.
        self._now = float("-inf")
        self._states: dict[ServiceName, tuple[float, bool]] = {}

    # Queries

    def lasting_factor(self, replica: Replica) -> float:
        """Return the factor without passing disturbances; 1.0 if it is not known."""
        found = self._known(replica)
        return 1.0 if found is None else found.lasting(self._now)

    def time_factor(self, replica: Replica, now: float) -> float:
        """Return the factor with the disturbance that is known and still recent."""
        if now > self._now:
            self._now = now
        found = self._known(replica)
        return 1.0 if found is None else found.present(now)

    def event_gap(self, replica: Replica, now: float) -> float | None:
        """Return the longest gap between events that streams see there, in seconds."""
        if now > self._now:
            self._now = now
        found = self._known(replica)
        return None if found is None else found.gaps.value(now)

    def _known(self, replica: Replica) -> _Replica | None:
        if not self._is_enabled:
            return None
        return self._replicas.get(target_hash(replica.instance))

    def states_work_time(self, service: ServiceName) -> bool:
        """Return whether a listed replica stated recently how long work takes."""
        known = self._states.get(service)
        if known is None or self._now - known[0] >= LOOKUP_SECONDS:
            known = (self._now, self._look_up_statement(service))
            self._states[service] = known
        return known[1]

    def _look_up_statement(self, service: ServiceName) -> bool:
        if not self._replicas:
            return False
        found = (
            self._replicas.get(target_hash(replica.instance))
            for replica in self._listed(service)
        )
        return any(
            each is not None and self._now - each.stated.newest_at < STATED_SECONDS
            for each in found
        )

    def known_factors(self) -> list[float]:
        """Return the lasting factors that are known."""
        return [
            each.lasting(self._now)
            for each in self._replicas.values()
            if each.is_known(self._now)
        ]

    # What responses to this host show

    def record_report(
        self, instance: InstanceId, report: ReportedLoad, now: float
    ) -> None:
        """Record how long work takes at a replica, if it states that."""
        if report.work_percent is None:
            return
        factor = report.work_percent / PERCENT
        target = target_hash(instance)
        if self._is_enabled:
            self._gossip.record_own(target, SpeedKind.STATED, factor, now)
        self._add(target, SpeedKind.STATED, factor, now, now)

    def record_prefill(
        self, replica: Replica, tokens: int, ahead: float, seconds: float, now: float
    ) -> None:
        """Record a prefill of ``tokens`` with ``ahead`` tokens queued before it.

        Record it here before the service's estimate includes it. Until the service's
        estimate is learned, nothing can be said of a replica.
        """
        if tokens < MIN_PREFILL_TOKENS or ahead > MAX_AHEAD_SHARE * tokens:
            return
        rate = self._speeds.learned_prefill_rate(replica.service)
        if rate is None or seconds <= 0 or not self._is_used(replica.service):
            return
        factor = round(seconds * rate / (tokens + ahead), 2)
        self._record(replica.instance, SpeedKind.PREFILL, factor, now)

    def record_event_gap(self, replica: Replica, gap: float, now: float) -> None:
        """Record the longest gap between two events of a complete stream."""
        if gap > 0 and self._is_used(replica.service):
            gap = round(gap, 3)
            self._record(replica.instance, SpeedKind.EVENT_GAP, gap, now)

    def _record(
        self, instance: InstanceId, kind: SpeedKind, value: float, now: float
    ) -> None:
        target = target_hash(instance)
        self._gossip.record_own(target, kind, value, now)
        self._add(target, kind, value, now, now)

    def _add(
        self, target: int, kind: SpeedKind, value: float, at: float, now: float
    ) -> None:
        """Add a statement or sample of the time ``at``."""
        if now > self._now:
            self._now = now
        found = self._replicas.get(target)
        if found is None:
            found = self._replicas[target] = _Replica()
        self._replicas.move_to_end(target)
        if len(self._replicas) > MAX_REPLICAS:
            self._replicas.popitem(last=False)
        match kind:
            case SpeedKind.STATED:
                if at - found.stated.newest_at >= STATED_SECONDS:
                    self._states.clear()
                found.stated.add(value, at)
            case SpeedKind.PREFILL:
                found.learned.add(value, at)
            case SpeedKind.EVENT_GAP:
                found.gaps.add(value, at)
        if kind is not SpeedKind.EVENT_GAP:
            found.update_bound(now)
            self._log(target, found, now)

    def _log(self, target: int, replica: _Replica, now: float) -> None:
        """Log a lasting factor that differs clearly from the one logged before."""
        factor = replica.lasting(now)
        low, high = sorted((factor, replica.logged))
        if high <= LOGGED_FACTOR * low or not replica.is_settled:
            return
        logger.info(
            "replica speed changed",
            extra={
                "instance": self._instance_of(target),
                "former": round(replica.logged, 2),
                "factor": round(factor, 2),
                "stated": replica.stated.lasting,
            },
        )
        replica.logged = factor

    # Exchange with the other hosts

    def apply_updates(
        self, updates: Iterable[SpeedUpdate], now: float, origin: Origin
    ) -> None:
        """Apply what another host sent; it counts like what this host learns itself."""
        for update in updates:
            if self._gossip.receive(update, now, origin):
                at = now - update.age_seconds
                self._add(update.target, update.kind, update.value, at, now)

    def count_new(self, scope: Scope, now: float) -> int:
        """Return how many updates a digest of that scope would be first to hold."""
        if now > self._now:
            self._now = now
        return self._gossip.count_new(scope, now)

    def take_updates(self, scope: Scope, now: float) -> tuple[SpeedUpdate, ...]:
        """Return the updates for the next digest of that scope."""
        if now > self._now:
            self._now = now
        return self._gossip.take_updates(scope, now)

    def forget(self, instance: InstanceId) -> None:
        """Remove a replica that is gone."""
        target = target_hash(instance)
        self._replicas.pop(target, None)
        self._gossip.forget(target)
