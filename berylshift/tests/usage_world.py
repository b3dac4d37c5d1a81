"""Simulated hosts that report usage, on a virtual clock, with scripted faults."""

import random
from dataclasses import dataclass, field
from datetime import UTC, datetime

import trio

from berylshift.clock import LoopClock
from berylshift.ids import CustomerName
from berylshift.messages.usage import UsageReport
from berylshift.process.directory.store_era_tracker import EraSource, StoreEraTracker
from berylshift.process.leader_tasks.leader_lease import LeaderLease
from berylshift.process.usage.filtered_clock import FilteredClock
from berylshift.process.usage.usage_counts import UsageCounts
from berylshift.process.usage.usage_loop import UsageLoop
from berylshift.process.usage.windows import UsageWindows
from berylshift.stand_ins.fake_directory import FakeLeaseRows
from berylshift.stand_ins.fake_leader_calls import FakeLeaderCalls, FakeUsageRows
from berylshift.tests.usage_support import SCHEDULE

HOLDER_GAP_SECONDS = 3.0
EPOCH = datetime(2026, 1, 1, tzinfo=UTC)
CUSTOMERS = tuple(CustomerName(name) for name in ("a", "b", "c"))
EXCHANGE_INTERVAL_SECONDS = 0.1


@dataclass
class UsageHost:
    """One host; ``cut``: it is partitioned from all other hosts."""

    name: str
    usage_counts: UsageCounts
    eras: StoreEraTracker
    loop: UsageLoop
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    alive: bool = True
    cut: bool = False
    # When another host's counts last came.
    heard_at: dict[str, float] = field(default_factory=dict)

    def hears_others(self, seconds: float) -> bool:
        """Return whether most others were heard of within ``seconds``."""
        now = trio.current_time()
        heard = sum(now - at < seconds for at in self.heard_at.values())
        return 2 * heard >= len(self.heard_at)


class UsageWorld:
    """Hosts that exchange digests, one store and one platform."""

    def __init__(self, nursery: trio.Nursery, seed: int, hosts: int = 5):
        """Start ``hosts`` hosts; all randomness comes from ``seed``."""
        self.nursery = nursery
        self.rng = random.Random(seed)
        self.leases = FakeLeaseRows(trio.current_time)
        self.rows = FakeUsageRows()
        self.duties = FakeLeaderCalls()
        self.hosts: list[UsageHost] = []
        self.truth: dict[tuple[int, str], int] = {}
        self.starts = 0
        for number in range(hosts):
            self.start(f"h{number}")

    def start(self, name: str) -> UsageHost:
        """Start a host, possibly under the name of one that has ended."""
        self.starts += 1
        clock = LoopClock(EPOCH)
        windows, filtered_clock = (
            UsageWindows(SCHEDULE),
            FilteredClock(clock, trio.current_time),
        )
        usage_counts = UsageCounts(windows, name, "z1", self.starts)
        usage_counts.add_names(CUSTOMERS)
        eras = StoreEraTracker(trio.current_time)
        eras.observe(self.leases.era, EraSource.OWN_READ)
        lease = LeaderLease(
            self.leases,
            "usage",
            name,
            HOLDER_GAP_SECONDS,
            random.Random(self.starts),
            trio.current_time,
            eras,
            can_reacquire=True,
        )
        loop = UsageLoop(
            host=name,
            windows=windows,
            usage_counts=usage_counts,
            filtered_clock=filtered_clock,
            lease=lease,
            rows=self.rows,
            reporting=self.duties,
            eras=eras,
            clock=clock,
            rank_for=lambda task: self._place(name),
            hears_others=lambda seconds: host.hears_others(seconds),
        )
        host = UsageHost(name, usage_counts, eras, loop)
        self.hosts = [known for known in self.hosts if known.name != name] + [host]
        self.nursery.start_soon(self._run, host)
        return host

    async def _run(self, host: UsageHost) -> None:
        with host.scope:
            await host.loop.run()

    def _place(self, name: str) -> int:
        peers = [host.name for host in self._connected() if host.name != name]
        return sum(other < name for other in peers)

    def _connected(self) -> list[UsageHost]:
        return [host for host in self.hosts if host.alive and not host.cut]

    def kill(self, host: UsageHost) -> None:
        """End a host at once."""
        host.alive = False
        host.scope.cancel()

    def restore(self, seconds: float) -> None:
        """Restore the store from an older copy."""
        self.leases.restore(seconds)
        self.rows.restore()

    async def exchange_counts(self) -> None:
        """Have the hosts exchange counts until cancelled."""
        while True:
            await trio.sleep(EXCHANGE_INTERVAL_SECONDS)
            for sender in self._connected():
                counts = sender.usage_counts.take_own_counts(trio.current_time())
                done = sender.usage_counts.done_to_announce(trio.current_time())
                for receiver in self._connected():
                    if receiver is not sender:
                        receiver.heard_at[sender.name] = trio.current_time()
                    start = sender.usage_counts.start
                    receiver.usage_counts.merge_host(sender.name, "z1", start, counts)
                    receiver.usage_counts.mark_done(done)

    async def generate_requests(self, interval_seconds: float = 0.2) -> None:
        """Have requests begin at random hosts until cancelled."""
        clock = LoopClock(EPOCH)
        while True:
            await trio.sleep(interval_seconds)
            host = self.rng.choice([host for host in self.hosts if host.alive])
            customer = self.rng.choice(CUSTOMERS)
            at = clock.now().timestamp()
            host.usage_counts.record_start(customer, at)
            key = (UsageWindows(SCHEDULE).window_at(at), customer)
            self.truth[key] = self.truth.get(key, 0) + 1

    def true_report(self, window: int) -> dict[str, int]:
        """Return the counts of requests that began in a window."""
        return {
            customer: count
            for (found, customer), count in self.truth.items()
            if found == window
        }


def counts_of(report: UsageReport) -> dict[str, int]:
    """Return a report's counts by customer."""
    return {item.customer: item.count for item in report.counts}


def broken_rules(world: UsageWorld) -> list[str]:
    """Return the violations of the platform's rules in the calls that it got."""
    found = []
    reports: dict[int, UsageReport] = {}
    for call in world.duties.usage:
        first = reports.setdefault(call.report.window, call.report)
        if first != call.report:
            found.append(f"two reports of window {call.report.window}")
    calls = world.duties.usage
    for before, after in zip(calls, calls[1:], strict=False):
        if after.holder.fence < before.holder.fence:
            found.append(f"lower fence at {after.at:.1f} s")
        if after.holder.host == before.holder.host:
            continue
        if after.holder.fence == before.holder.fence:
            found.append(f"one fence of two holders at {after.at:.1f} s")
        if after.at - before.at < HOLDER_GAP_SECONDS:
            found.append(f"two holders within {after.at - before.at:.1f} s")
    return found
