"""Executes phase plans: acquires the lease, queries each engine and orders it."""

import logging
import random
from collections.abc import Callable

import trio

from berylshift.clock import Clock
from berylshift.ids import InstanceId, ServiceName
from berylshift.messages.engine_control import (
    EngineControl,
    OrderAnswer,
    PhaseOrder,
)
from berylshift.messages.replicas import EnginePhase
from berylshift.process.directory.expected_phases import ExpectedPhases
from berylshift.process.directory.replica_set import ReplicaSet
from berylshift.process.leader_tasks.leader_lease import Grant, LeaderLease, Refused
from berylshift.process.leader_tasks.phase_planner import (
    PhaseChange,
    PhasePlanner,
    factors,
    instances,
)
from berylshift.store.interfaces import PlatformError

logger = logging.getLogger(__name__)

CHECK_INTERVAL_SECONDS = 0.25
# All hosts compute the same plan; the one with the shortest random delay acquires the
# lease. The others learn of its orders during their delay and need not call the store.
JITTER_SECONDS_PER_HOST = 0.1
RETRY_SECONDS = 1.0
# An engine that refused an order or did not report is left out of swaps for this long,
# in seconds, so that another engine takes its place; it may be ordered again later.
REFUSAL_SECONDS = 2.0
# Answers after which an engine may still change to the ordered phase.
MAY_TAKE_EFFECT = frozenset(
    {OrderAnswer.ACCEPTED, OrderAnswer.ALREADY_IN_PHASE, OrderAnswer.UNKNOWN}
)


class PhaseLoop:
    """Keeps one pool's engines in their planned phases; one host at a time orders."""

    def __init__(
        self,
        service: ServiceName,
        planner: PhasePlanner,
        lease: LeaderLease,
        control: EngineControl,
        replicas: ReplicaSet,
        phases: ExpectedPhases,
        clock: Clock,
        rng: random.Random,
        is_idle: Callable[[], bool],
        host_count: Callable[[], int],
        holder: str,
        is_stopping: Callable[[], bool],
        is_limited: Callable[[InstanceId], bool],
    ):
        """Order as ``holder`` unless the host is stopping.

        ``is_idle``: whether there is no traffic. Engines that are ``is_limited`` take
        little work in any phase and are left out of the plan.
        """
        self._is_limited = is_limited
        self._host_count = host_count
        self._service = service
        self._planner = planner
        self._lease = lease
        self._control = control
        self._replicas = replicas
        self._phases = phases
        self._clock = clock
        self._rng = rng
        self._is_idle = is_idle
        self._holder = holder
        self._is_stopping = is_stopping
        self._refused_at: dict[InstanceId, float] = {}

    async def run(self) -> None:
        """Check the pool until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_SECONDS)
            if not self._changes_due():
                continue
            max_jitter = JITTER_SECONDS_PER_HOST * self._host_count()
            await trio.sleep(self._rng.uniform(0, max_jitter))
            changes = self._changes_due()
            if not changes:
                continue
            try:
                await self._execute(changes)
            except PlatformError as exc:
                logger.info(
                    "failed to acquire lease for phase orders",
                    extra={"reason": str(exc)},
                )
                await trio.sleep(RETRY_SECONDS)

    def _changes_due(self) -> tuple[PhaseChange, ...]:
        """Return the changes due; none while earlier ones may still take effect.

        None on a host that is stopping either: it would end while holding a lease whose
        expiry all others have to wait for, perhaps in the middle of sending an order.
        """
        if self._is_stopping():
            return ()
        now = self._clock.monotonic()
        listed = self._replicas.with_ordered_phases(self._service, now)
        engines = [rep for rep in listed if not self._is_limited(rep.instance)]
        if any(rep.phase is EnginePhase.NONE for rep in engines):
            return ()
        changing, unavailable = self._instances_changing(now)
        changes = self._planner.plan(
            engines, now, self._is_idle(), changing, unavailable
        )
        return tuple(
            change
            for change in changes
            if not self._phases.has_pending_order(change.replica.instance, now)
        )

    def _instances_changing(
        self, now: float
    ) -> tuple[frozenset[InstanceId], frozenset[InstanceId]]:
        """Return the engines that are changing phase, and those not to be ordered."""
        self._refused_at = {
            instance: at
            for instance, at in self._refused_at.items()
            if now - at < REFUSAL_SECONDS
        }
        listed = self._replicas.listed(self._service)
        changing = [
            rep.instance for rep in listed if self._phases.is_changing(rep, now)
        ]
        pending = [
            rep.instance
            for rep in listed
            if self._phases.has_pending_order(rep.instance, now)
        ]
        return frozenset(changing), frozenset([*pending, *self._refused_at])

    async def _execute(self, changes: tuple[PhaseChange, ...]) -> None:
        grant = await self._lease.acquire()
        if isinstance(grant, Refused):
            logger.info(
                "lease refused",
                extra={"holder": grant.holder, "seconds": round(grant.seconds, 2)},
            )
            await trio.sleep(grant.seconds)
            return
        for phase in EnginePhase:
            self._log_plan([item for item in changes if item.phase is phase], grant)
        async with trio.open_nursery() as nursery:
            for change in changes:
                nursery.start_soon(self._order, change, grant)

    def _log_plan(self, changes: list[PhaseChange], grant: Grant) -> None:
        """Log the changes to one phase, if there are any."""
        if not changes:
            return
        logger.info(
            "phases planned",
            extra={
                "service": self._service,
                "engines": instances(changes),
                "phase": changes[0].phase,
                "why": changes[0].reason,
                "factors": factors(changes),
                "fence": grant.fence,
                "replicas_age": self._replicas.age(self._clock.monotonic()),
            },
        )

    async def _order(self, change: PhaseChange, grant: Grant) -> None:
        """Order one engine if the lease is still held at the time of sending."""
        replica = change.replica
        report = await self._control.report(replica)
        if report is None or report.busy:
            self._record_answer(change, grant, OrderAnswer.REFUSED)
            return
        if report.started_ms != replica.started_ms:
            # The plan was made for a previous instance of the engine from an old entry.
            self._record_answer(change, grant, OrderAnswer.REFUSED)
            return
        if report.phase is change.phase:
            self._record_answer(change, grant, OrderAnswer.ALREADY_IN_PHASE)
            return
        if self._lease.held() is not grant:
            self._record_answer(change, grant, OrderAnswer.FENCED)
            return
        order = PhaseOrder(change.phase, self._holder, grant.fence, report.orders)
        answer = await self._control.order(replica, order)
        self._record_answer(change, grant, answer)

    def _record_answer(
        self, change: PhaseChange, grant: Grant, answer: OrderAnswer
    ) -> None:
        now = self._clock.monotonic()
        if answer in MAY_TAKE_EFFECT:
            self._phases.record_order(change.replica.instance, change.phase, now)
        else:
            self._refused_at[change.replica.instance] = now
        logger.info(
            "engine ordered",
            extra={
                "instance": change.replica.instance,
                "phase": change.phase,
                "fence": grant.fence,
                "answer": answer,
            },
        )
