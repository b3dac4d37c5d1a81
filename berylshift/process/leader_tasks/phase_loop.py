"""Carries out phase plans: takes the lease, asks each engine, orders it."""

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
from berylshift.process.leader_tasks.leader_lease import DutyLease, Grant, Refused
from berylshift.process.leader_tasks.phase_planner import (
    PhaseChange,
    PhasePlanner,
    instances,
)
from berylshift.store.interfaces import PlatformError

logger = logging.getLogger(__name__)

LOOK_SECONDS = 0.25
# All hosts see the same plan; whoever waits the shortest time takes the lease. The
# others hear of its orders while they wait, and need not ask the store.
JITTER_SECONDS_PER_HOST = 0.1
RETRY_SECONDS = 1.0
# Answers after which an engine may come to the phase that was ordered.
MAY_BE_CARRIED_OUT = frozenset(
    {OrderAnswer.ACCEPTED, OrderAnswer.HOLDS, OrderAnswer.UNKNOWN}
)


class PhaseLoop:
    """Keeps one pool's engines in their phases; one host at a time orders."""

    def __init__(
        self,
        service: ServiceName,
        planner: PhasePlanner,
        lease: DutyLease,
        control: EngineControl,
        replicas: ReplicaSet,
        phases: ExpectedPhases,
        clock: Clock,
        rng: random.Random,
        calm: Callable[[], bool],
        hosts: Callable[[], int],
        holder: str,
        leaving: Callable[[], bool],
        is_limited: Callable[[InstanceId], bool],
    ):
        """Order as ``holder``, unless it is ``leaving``; ``calm``: no traffic.

        Engines that are ``is_limited`` take little work, whatever their phase.
        """
        self._is_limited = is_limited
        self._hosts = hosts
        self._service = service
        self._planner = planner
        self._lease = lease
        self._control = control
        self._replicas = replicas
        self._phases = phases
        self._clock = clock
        self._rng = rng
        self._calm = calm
        self._holder = holder
        self._leaving = leaving

    async def run(self) -> None:
        """Look at the pool until cancelled."""
        while True:
            await trio.sleep(LOOK_SECONDS)
            if not self._due():
                continue
            longest = JITTER_SECONDS_PER_HOST * self._hosts()
            await trio.sleep(self._rng.uniform(0, longest))
            changes = self._due()
            if not changes:
                continue
            try:
                await self._carry_out(changes)
            except PlatformError as exc:
                logger.info("lease not had", extra={"reason": str(exc)})
                await trio.sleep(RETRY_SECONDS)

    def _due(self) -> tuple[PhaseChange, ...]:
        """Return the changes due; none while former ones may still take effect.

        None at a host that leaves, either: it would end with a lease that all others
        then have to wait for, and perhaps with an order half sent.
        """
        if self._leaving():
            return ()
        now = self._clock.monotonic()
        listed = self._replicas.with_ordered_phases(self._service, now)
        engines = [rep for rep in listed if not self._is_limited(rep.instance)]
        if any(rep.phase is EnginePhase.NONE for rep in engines):
            return ()
        changes = self._planner.plan(engines, now, self._calm())
        return tuple(
            change
            for change in changes
            if not self._phases.has_pending_order(change.replica.instance, now)
        )

    async def _carry_out(self, changes: tuple[PhaseChange, ...]) -> None:
        grant = await self._lease.acquire()
        if isinstance(grant, Refused):
            logger.info(
                "lease refused",
                extra={"holder": grant.holder, "seconds": round(grant.seconds, 2)},
            )
            await trio.sleep(grant.seconds)
            return
        logger.info(
            "phases planned",
            extra={
                "service": self._service,
                "engines": instances(changes),
                "phase": changes[0].phase,
                "fence": grant.fence,
                "replicas_age": self._replicas.age(self._clock.monotonic()),
            },
        )
        async with trio.open_nursery() as nursery:
            for change in changes:
                nursery.start_soon(self._order, change, grant)

    async def _order(self, change: PhaseChange, grant: Grant) -> None:
        """Order one engine, while the lease still holds at the moment of sending."""
        replica = change.replica
        report = await self._control.report(replica)
        if report is None or report.busy:
            self._note(change, grant, OrderAnswer.REFUSED)
            return
        if report.started_ms != replica.started_ms:
            # The plan was made for another start of the engine: its entry is old.
            self._note(change, grant, OrderAnswer.REFUSED)
            return
        if report.phase is change.phase:
            self._note(change, grant, OrderAnswer.HOLDS)
            return
        if self._lease.held() is not grant:
            self._note(change, grant, OrderAnswer.FENCED)
            return
        order = PhaseOrder(change.phase, self._holder, grant.fence, report.orders)
        answer = await self._control.order(replica, order)
        self._note(change, grant, answer)

    def _note(self, change: PhaseChange, grant: Grant, answer: OrderAnswer) -> None:
        now = self._clock.monotonic()
        if answer in MAY_BE_CARRIED_OUT:
            self._phases.record_order(change.replica.instance, change.phase, now)
        logger.info(
            "engine ordered",
            extra={
                "instance": change.replica.instance,
                "phase": change.phase,
                "fence": grant.fence,
                "answer": answer,
            },
        )
