"""An entry host's duties towards the platform: usage reported, replicas ordered."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import trio

from berylshift.clock import Clock
from berylshift.ids import CustomerName
from berylshift.messages.scaling import ScaleOrdering, ScaleRows
from berylshift.messages.usage import UsageReporting, UsageRows
from berylshift.process.directory.replica_set import ReplicaSet
from berylshift.process.directory.store_era_tracker import StoreEraTracker
from berylshift.process.leader_tasks.leader_lease import LeaderLease
from berylshift.process.scaling.scale_loop import ScaleLoop
from berylshift.process.usage.filtered_clock import FilteredClock
from berylshift.process.usage.usage_counts import UsageCounts
from berylshift.process.usage.usage_loop import UsageLoop
from berylshift.process.usage.windows import UsageSchedule, UsageWindows
from berylshift.settings import Settings
from berylshift.version.routes import RouteTable, Service


@dataclass
class DutyParts:
    """What the duties work with.

    ``lease`` makes the lease of a duty, ``place`` gives this host's place in order for
    one, ``calm`` says whether no traffic needs the replicas.
    """

    clock: Clock
    boot_clock: Callable[[], float]
    usage_rows: UsageRows
    usage_reporting: UsageReporting
    scale_ordering: ScaleOrdering
    scale_rows: ScaleRows
    replicas: ReplicaSet
    eras: StoreEraTracker
    services: Callable[[], Iterable[Service]]
    lease: Callable[[str], LeaderLease]
    place: Callable[[str], int | None]
    calm: Callable[[], bool]


class EntryDuties:
    """Wires the duties that the platform asks for; others stay idle."""

    def __init__(self, cfg: Settings, parts: DutyParts):
        """Wire the parts; nothing runs yet."""
        self._cfg = cfg.duties
        self._filtered_clock = FilteredClock(parts.clock, parts.boot_clock)
        self._windows = UsageWindows(_usage_schedule(cfg))
        started_ms = int(self._filtered_clock.now() * 1000)
        host = cfg.host
        self.usage = UsageCounts(self._windows, host.name, host.domain, started_ms)
        self._usage_loop = UsageLoop(
            host=host.name,
            windows=self._windows,
            usage_counts=self.usage,
            filtered_clock=self._filtered_clock,
            lease=parts.lease("usage"),
            rows=parts.usage_rows,
            reporting=parts.usage_reporting,
            eras=parts.eras,
            clock=parts.clock,
            rank_for=parts.place,
        )
        self._scale_loop = ScaleLoop(
            host=host.name,
            services=parts.services,
            replicas=parts.replicas,
            lease=parts.lease("scaling"),
            ordering=parts.scale_ordering,
            rows=parts.scale_rows,
            clock=parts.clock,
            rank=parts.place,
            is_idle=parts.calm,
        )

    def run_began(self, customer: CustomerName | None, ago: float) -> None:
        """Count a request that began to run ``ago`` seconds ago."""
        if customer is not None:
            self.usage.record_start(customer, self._filtered_clock.now() - ago)

    def on_routes(self, table: RouteTable) -> None:
        """Learn the names of the customers in force."""
        if table.customers is not None:
            self.usage.add_names(table.customers.names)

    async def run(self) -> None:
        """Run the loops of the duties until cancelled."""
        async with trio.open_nursery() as nursery:
            if self._cfg.usage_report:
                nursery.start_soon(self._usage_loop.run)
            if self._cfg.autoscale:
                nursery.start_soon(self._scale_loop.run)

    @property
    def windows_reported(self) -> int:
        """Return how many windows of usage this host has reported."""
        return self._usage_loop.reported_count

    @property
    def windows_given_up(self) -> int:
        """Return how many windows of usage this host found too late to report."""
        return self._usage_loop.given_up_count


def _usage_schedule(cfg: Settings) -> UsageSchedule:
    """Return when usage is reported, as the settings say."""
    if not cfg.duties.usage_report:
        return UsageSchedule()
    return UsageSchedule(cfg.duties.usage_window_s, cfg.duties.usage_delay_s)
