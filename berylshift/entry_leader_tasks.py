"""Leader tasks of an entry host: reporting usage and ordering replicas."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

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
from berylshift.supervision import Loop
from berylshift.version.routes import RouteTable, Service


@dataclass
class LeaderTaskDependencies:
    """Dependencies of the leader tasks.

    ``make_lease`` makes a task's lease, ``rank_for`` returns this host's rank for a
    task, ``hears_others`` whether it has heard of most others within some seconds,
    ``is_idle`` tells whether no traffic needs the replicas.
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
    make_lease: Callable[[str], LeaderLease]
    rank_for: Callable[[str], int | None]
    hears_others: Callable[[float], bool]
    is_idle: Callable[[], bool]


class EntryLeaderTasks:
    """Wires the leader tasks and runs those that the settings enable."""

    def __init__(self, cfg: Settings, deps: LeaderTaskDependencies):
        """Wire the components; ``run`` starts them."""
        self._cfg = cfg.duties
        self._filtered_clock = FilteredClock(deps.clock, deps.boot_clock)
        self._windows = UsageWindows(_usage_schedule(cfg))
        started_ms = int(self._filtered_clock.now() * 1000)
        host = cfg.host
        self.usage = UsageCounts(self._windows, host.name, host.domain, started_ms)
        self._usage_loop = UsageLoop(
            host=host.name,
            windows=self._windows,
            usage_counts=self.usage,
            filtered_clock=self._filtered_clock,
            lease=deps.make_lease("usage"),
            rows=deps.usage_rows,
            reporting=deps.usage_reporting,
            eras=deps.eras,
            clock=deps.clock,
            rank_for=deps.rank_for,
            hears_others=deps.hears_others,
        )
        self._scale_loop = ScaleLoop(
            host=host.name,
            services=deps.services,
            replicas=deps.replicas,
            lease=deps.make_lease("scaling"),
            ordering=deps.scale_ordering,
            rows=deps.scale_rows,
            clock=deps.clock,
            rank=deps.rank_for,
            is_idle=deps.is_idle,
        )

    def on_run_started(self, customer: CustomerName | None, seconds_ago: float) -> None:
        """Count a request that started ``seconds_ago`` seconds ago."""
        if customer is not None:
            self.usage.record_start(customer, self._filtered_clock.now() - seconds_ago)

    def on_routes(self, table: RouteTable) -> None:
        """Register the names of the customers in force."""
        if table.customers is not None:
            self.usage.add_names(table.customers.names)

    def loops(self) -> Iterator[tuple[str, Loop]]:
        """Yield the enabled loops and their names."""
        if self._cfg.usage_report:
            yield "usage reports", self._usage_loop.run
        if self._cfg.autoscale:
            yield "scaling", self._scale_loop.run

    @property
    def windows_reported(self) -> int:
        """Return how many usage windows this host has reported."""
        return self._usage_loop.reported_count

    @property
    def windows_given_up(self) -> int:
        """Return how many usage windows this host dropped as too late to report."""
        return self._usage_loop.given_up_count


def _usage_schedule(cfg: Settings) -> UsageSchedule:
    """Return the usage reporting schedule from the settings."""
    if not cfg.duties.usage_report:
        return UsageSchedule()
    return UsageSchedule(cfg.duties.usage_window_s, cfg.duties.usage_delay_s)
