"""Orders replicas of services that can be scaled, one host at a time."""

import logging
from collections.abc import Callable, Iterable

import trio

from berylshift.clock import Clock
from berylshift.ids import ServiceName
from berylshift.messages.leader_calls import DutyAnswer, DutyHolder
from berylshift.messages.scaling import ScaleOrder, ScaleOrdering, ScaleRows
from berylshift.process.directory.replica_set import ReplicaSet
from berylshift.process.leader_tasks.leader_lease import DutyLease, Grant, Refused
from berylshift.process.scaling.scale_planner import ScalePlanner
from berylshift.store.interfaces import PlatformError
from berylshift.version.routes import Service

logger = logging.getLogger(__name__)

DUTY = "scaling"
LOOK_SECONDS = 0.25
RETRY_SECONDS = 0.5
# How much longer each further host in order waits with an order that the first one
# should have sent: longer than replicas take to start.
PLACE_SECONDS = 8.0
# Hosts that stand behind so many others leave it to those.
MOST_PLACES = 2


class ScaleLoop:
    """Plans and orders while it is this host's turn."""

    def __init__(
        self,
        host: str,
        services: Callable[[], Iterable[Service]],
        replicas: ReplicaSet,
        lease: DutyLease,
        ordering: ScaleOrdering,
        rows: ScaleRows,
        clock: Clock,
        place: Callable[[str], int | None],
        calm: Callable[[], bool],
    ):
        """Order as ``host``; ``place``: its place in order, ``calm``: no traffic."""
        self._host = host
        self._services = services
        self._replicas = replicas
        self._lease = lease
        self._ordering = ordering
        self._rows = rows
        self._clock = clock
        self._place = place
        self._calm = calm
        self._planners: dict[ServiceName, ScalePlanner] = {}
        self._due_since: float | None = None
        self._refused_until = float("-inf")

    async def run(self) -> None:
        """Look at the services until cancelled."""
        while True:
            await trio.sleep(LOOK_SECONDS)
            orders = self._due()
            try:
                await self._learn_needed()
                if orders:
                    await self._carry_out(orders)
            except PlatformError as exc:
                logger.info("nothing ordered", extra={"reason": str(exc)})
                await trio.sleep(RETRY_SECONDS)

    def _due(self) -> tuple[ScaleOrder, ...]:
        """Return the orders that are this host's to send now."""
        place, now = self._place(DUTY), self._clock.monotonic()
        if place is None or place > MOST_PLACES:
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
        waited = now - self._due_since
        if waited < PLACE_SECONDS * place or now < self._refused_until:
            return ()
        return orders

    def _plan(self, service: Service, now: float) -> tuple[ScaleOrder, ...]:
        planner = self._planners.get(service.name)
        if planner is None or planner.scaling != service.scaling:
            planner = ScalePlanner(service.name, service.scaling)
            self._planners[service.name] = planner
        return planner.plan(self._replicas.listed(service.name), now, self._calm())

    async def _learn_needed(self) -> None:
        """Learn what services need: what the first host found to stand.

        A host that takes the duty over finds more or fewer, in the middle of a change.
        """
        for service, planner in self._planners.items():
            if planner.found and not planner.needed:
                found = await self._rows.settle_needed(service, planner.found)
                planner.needed = found
                logger.info(
                    "replicas needed",
                    extra={
                        "service": service,
                        "needed": found,
                        "found": planner.found,
                    },
                )

    async def _carry_out(self, orders: tuple[ScaleOrder, ...]) -> None:
        grant = await self._lease.acquire()
        if isinstance(grant, Refused):
            self._refused_until = self._clock.monotonic() + grant.seconds
            return
        for order in orders:
            if self._lease.held() is not grant:
                return
            await self._order(order, grant)

    async def _order(self, order: ScaleOrder, grant: Grant) -> None:
        holder = DutyHolder(self._host, grant.fence)
        answer = await self._ordering.scale(order, holder)
        self._planners[order.service].answered(order, answer, self._clock.monotonic())
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
        if answer is DutyAnswer.BUSY:
            await trio.sleep(RETRY_SECONDS)
