"""Orders replicas of scalable services from the platform, one host at a time."""

import logging
from collections.abc import Callable, Iterable

import trio

from berylshift.clock import Clock
from berylshift.ids import ServiceName
from berylshift.messages.leader_calls import CallResult, LeaseHolder
from berylshift.messages.scaling import ScaleOrder, ScaleOrdering, ScaleRows
from berylshift.process.directory.replica_set import ReplicaSet
from berylshift.process.leader_tasks.leader_lease import Grant, LeaderLease, Refused
from berylshift.process.scaling.scale_planner import ScalePlanner
from berylshift.store.interfaces import PlatformError
from berylshift.version.routes import Service

logger = logging.getLogger(__name__)

TASK = "scaling"
CHECK_INTERVAL_SECONDS = 0.25
RETRY_SECONDS = 0.5
# How much longer each further host in rank order waits before it sends an order that is
# due: longer than replicas take to start.
RANK_DELAY_SECONDS = 8.0
# Hosts with a higher rank never order.
MAX_RANK = 2


class ScaleLoop:
    """Plans and orders replicas while this host is the leader."""

    def __init__(
        self,
        host: str,
        services: Callable[[], Iterable[Service]],
        replicas: ReplicaSet,
        lease: LeaderLease,
        ordering: ScaleOrdering,
        rows: ScaleRows,
        clock: Clock,
        rank: Callable[[str], int | None],
        is_idle: Callable[[], bool],
    ):
        """Order as ``host``; ``rank``: its rank for a task, ``is_idle``: no traffic."""
        self._host = host
        self._services = services
        self._replicas = replicas
        self._lease = lease
        self._ordering = ordering
        self._rows = rows
        self._clock = clock
        self._rank = rank
        self._is_idle = is_idle
        self._planners: dict[ServiceName, ScalePlanner] = {}
        self._due_since: float | None = None
        self._refused_until = float("-inf")

    async def run(self) -> None:
        """Check the services until cancelled."""
        while True:
            await trio.sleep(CHECK_INTERVAL_SECONDS)
            orders = self._orders_due()
            try:
                await self._load_needed()
                if orders:
                    await self._execute(orders)
            except PlatformError as exc:
                logger.info("failed to order replicas", extra={"reason": str(exc)})
                await trio.sleep(RETRY_SECONDS)

    def _orders_due(self) -> tuple[ScaleOrder, ...]:
        """Return the orders that this host must send now."""
        rank, now = self._rank(TASK), self._clock.monotonic()
        if rank is None or rank > MAX_RANK:
            self._planners.clear()
            self._due_since = None
            return ()
        orders = tuple(
            order
            for service in self._services()
            if service.scaling is not None
            for order in self._plan(service, now)
        )
        if not orders:
            self._due_since = None
            return ()
        if self._due_since is None:
            self._due_since = now
        waited_seconds = now - self._due_since
        if waited_seconds < RANK_DELAY_SECONDS * rank or now < self._refused_until:
            return ()
        return orders

    def _plan(self, service: Service, now: float) -> tuple[ScaleOrder, ...]:
        planner = self._planners.get(service.name)
        if planner is None or planner.scaling != service.scaling:
            planner = ScalePlanner(service.name, service.scaling)
            self._planners[service.name] = planner
        return planner.plan(self._replicas.listed(service.name), now, self._is_idle())

    async def _load_needed(self) -> None:
        """Get the number of replicas that each service needs, as first stored.

        A host that becomes leader in the middle of a change would count more or fewer.
        """
        for service, planner in self._planners.items():
            if planner.estimate and not planner.needed:
                found = await self._rows.get_or_set_needed(service, planner.estimate)
                planner.needed = found
                logger.info(
                    "replicas needed",
                    extra={
                        "service": service,
                        "needed": found,
                        "found": planner.estimate,
                    },
                )

    async def _execute(self, orders: tuple[ScaleOrder, ...]) -> None:
        grant = await self._lease.acquire()
        if isinstance(grant, Refused):
            self._refused_until = self._clock.monotonic() + grant.seconds
            return
        for order in orders:
            if self._lease.held() is not grant:
                return
            await self._order(order, grant)

    async def _order(self, order: ScaleOrder, grant: Grant) -> None:
        holder = LeaseHolder(self._host, grant.fence)
        answer = await self._ordering.scale(order, holder)
        self._planners[order.service].record_result(
            order, answer, self._clock.monotonic()
        )
        logger.info(
            "replicas ordered",
            extra={
                "service": order.service,
                "domain": order.domain,
                "kind": order.kind,
                "desired": order.desired,
                "answer": answer,
                "fence": grant.fence,
                "replicas_age": self._replicas.age(self._clock.monotonic()),
            },
        )
        if answer is CallResult.BUSY:
            await trio.sleep(RETRY_SECONDS)
