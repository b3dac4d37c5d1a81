"""Random schedules of store faults: which routes and replicas each host holds.

Three hosts read one directory with the real loops. The store refuses some hosts, hangs,
answers from a lagging copy, answers late or drops its history, in any order. After any
schedule, a host that has had no fault for a while agrees with the store.
"""

import random
import unittest
from dataclasses import dataclass, field
from enum import Enum

import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from berylshift.clock import LoopClock
from berylshift.ids import DomainName, InstanceId
from berylshift.messages.replicas import Replica, ReplicaChanges, RouteSnapshot
from berylshift.process.directory.directory_loop import DirectoryLoop
from berylshift.process.directory.replica_set import EXPIRY_GRACE_SECONDS, ReplicaSet
from berylshift.process.directory.route_holder import RouteHolder
from berylshift.process.directory.store_watch import FEED_WAIT_FRACTION, StoreWatch
from berylshift.settings import DirectorySettings
from berylshift.stand_ins.fake_directory import FakeDirectory
from berylshift.store.interfaces import StoreUnavailableError
from berylshift.tests.entry_world import PLAIN, routes
from berylshift.tests.support import EXPLORE, run_virtual

HOSTS = 3
REPLICAS = 4
BOUND_SECONDS = DirectorySettings().in_force_ms / 1000
WAIT_SECONDS = FEED_WAIT_FRACTION * BOUND_SECONDS
POLL_DELAY_SECONDS = 0.05
TIMEOUT_SECONDS = DirectorySettings().timeout
# A call that hangs, its timeout, the longest backoff after a failure, and the calls
# that follow.
IN_FORCE_SECONDS = WAIT_SECONDS + TIMEOUT_SECONDS + 0.8
LATE_SECONDS = 0.5
SCHEDULES = settings(EXPLORE, max_examples=150)


class Fault(Enum):
    """A fault between one host and the store."""

    NONE = "none"
    DOWN = "turned away"
    SILENT = "silent"
    STALE = "answered from a lagging copy"
    LATE = "answered late"


class HostView:
    """The directory as seen by one host."""

    def __init__(self, store: FakeDirectory):
        """Wrap ``store`` without faults."""
        self._store = store
        self.fault = Fault.NONE
        self.fault_ended_at = 0.0
        self._old: RouteSnapshot | None = None

    def set(self, fault: Fault) -> None:
        """Begin or end a fault."""
        if self.fault is not Fault.NONE and fault is Fault.NONE:
            self.fault_ended_at = trio.current_time()
        self.fault = fault

    async def _apply_fault(self) -> None:
        if self.fault is Fault.DOWN:
            raise StoreUnavailableError("turned away")
        if self.fault is Fault.SILENT:
            await trio.sleep(WAIT_SECONDS + TIMEOUT_SECONDS)
            raise StoreUnavailableError("no answer")
        if self.fault is Fault.LATE:
            await trio.sleep(LATE_SECONDS)

    async def read_routes(self) -> RouteSnapshot:
        """Return the routes, or what they were before."""
        await self._apply_fault()
        if self.fault is Fault.STALE and self._old is not None:
            return self._old
        found = await self._store.read_routes()
        if self._old is None or self.fault is Fault.NONE:
            self._old = found
        return found

    async def await_routes(self, after, seconds) -> RouteSnapshot:
        """Return newer routes."""
        await self._apply_fault()
        found = await self._store.await_routes(after, seconds)
        await self._apply_fault()
        return found

    async def read_replicas(self) -> ReplicaChanges:
        """Return all replicas."""
        await self._apply_fault()
        return await self._store.read_replicas()

    async def await_replicas(self, after, seconds) -> ReplicaChanges:
        """Return what changed."""
        await self._apply_fault()
        found = await self._store.await_replicas(after, seconds)
        await self._apply_fault()
        return found


@dataclass
class Host:
    """One host's routes and replicas, and the versions it has held."""

    view: HostView
    versions: list[int] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Wire the real components."""
        self.routes = RouteHolder(lambda table: self.versions.append(table.version))
        self.replicas = ReplicaSet()
        self.loop = DirectoryLoop(
            self.view,
            self.routes,
            self.replicas,
            LoopClock(),
            random.Random(1),
            StoreWatch(BOUND_SECONDS, trio.current_time),
            lambda: POLL_DELAY_SECONDS,
        )

    @property
    def usable(self) -> set[str]:
        """Return the replicas that get new work."""
        return {rep.instance for rep in self.replicas.pool(PLAIN).replicas}


class Kind(Enum):
    """Kinds of events."""

    ROUTES = "new routes"
    DRAIN = "a replica drains"
    GONE = "a replica is gone"
    JOIN = "a replica joins"
    TROUBLE = "a host has trouble"
    HEAL = "a host's trouble ends"
    FORGET = "the store drops its history"


@dataclass(frozen=True)
class Event:
    """One event, ``pause`` seconds after the last."""

    kind: Kind
    pause: float
    which: int
    fault: Fault


EVENTS = st.builds(
    Event,
    st.sampled_from(list(Kind)),
    st.sampled_from([0.0, 0.01, 0.2, 1.0, 3.0]),
    st.integers(0, 11),
    st.sampled_from([each for each in Fault if each is not Fault.NONE]),
)


class ScheduleRunner:
    """Executes a schedule and checks each host after each event."""

    def __init__(self) -> None:
        """Start with routes and replicas."""
        self.store = FakeDirectory()
        self.hosts = [Host(HostView(self.store)) for _ in range(HOSTS)]
        self.version = 0
        self.written: list[tuple[float, int]] = []
        self.left_at: dict[str, float] = {}
        self.live: dict[str, Replica] = {}
        self.count = 0

    async def run(self, events: list[Event]) -> None:
        """Execute ``events``, then end all faults and check that all hosts agree."""
        self.put_routes()
        for _ in range(REPLICAS):
            self.join()
        async with trio.open_nursery() as nursery:
            for host in self.hosts:
                nursery.start_soon(host.loop.run)
            await trio.sleep(1)
            for event in events:
                self.carry_out(event)
                await trio.sleep(event.pause)
                self.check()
            for host in self.hosts:
                host.view.set(Fault.NONE)
            await trio.sleep(IN_FORCE_SECONDS + EXPIRY_GRACE_SECONDS)
            self.check_agreement()
            nursery.cancel_scope.cancel()

    def put_routes(self) -> None:
        """Put the next version in force."""
        self.version += 1
        self.store.put_routes(routes(self.version))
        self.written.append((trio.current_time(), self.version))

    def join(self) -> None:
        """Add a replica; addresses are reused."""
        self.count += 1
        replica = Replica(
            InstanceId(f"r{self.count}"),
            PLAIN,
            f"10.0.0.{self.count % REPLICAS}:80",
            DomainName("d"),
            8,
        )
        self.live[replica.instance] = replica
        self.store.put_replica(replica)

    def carry_out(self, event: Event) -> None:
        """Execute one event."""
        view = self.hosts[event.which % HOSTS].view
        match event.kind:
            case Kind.ROUTES:
                self.put_routes()
            case Kind.JOIN:
                self.join()
            case Kind.DRAIN | Kind.GONE if self.live:
                self.leave(event)
            case Kind.TROUBLE:
                view.set(event.fault)
            case Kind.HEAL:
                view.set(Fault.NONE)
            case Kind.FORGET:
                self.store.forget_history()

    def leave(self, event: Event) -> None:
        """Drain a replica, or remove it at once."""
        name = list(self.live)[event.which % len(self.live)]
        replica = self.live.pop(name)
        self.left_at[name] = trio.current_time()
        if event.kind is Kind.GONE:
            self.store.remove_replica(name)
            return
        self.store.put_replica(
            Replica(
                replica.instance,
                PLAIN,
                replica.address,
                replica.domain,
                replica.slots,
                draining=True,
            )
        )

    def check(self) -> None:
        """Check the invariants that hold at any time."""
        now = trio.current_time()
        for host in self.hosts:
            assert host.versions == sorted(set(host.versions)), "a version went back"
            assert not host.versions or host.versions[-1] <= self.version
            since = now - host.view.fault_ended_at
            if host.view.fault is Fault.NONE and since > IN_FORCE_SECONDS:
                self.check_without_faults(host, now)

    def check_without_faults(self, host: Host, now: float) -> None:
        """Check a host that has had no fault for a while."""
        due = [number for at, number in self.written if now - at > IN_FORCE_SECONDS]
        assert host.routes.table is not None
        assert host.routes.table.version >= max(due, default=0), "old routes in force"
        # After an outage a removed entry is kept for a grace period: it may be renewed.
        grace = IN_FORCE_SECONDS + EXPIRY_GRACE_SECONDS
        gone = {name for name, at in self.left_at.items() if now - at > grace}
        if now - host.view.fault_ended_at > grace:
            assert not host.usable & gone, "a replica that left still gets work"

    def check_agreement(self) -> None:
        """Check that all hosts agree with the store."""
        for host in self.hosts:
            assert host.routes.table.version == self.version, "routes differ"
            assert host.usable == set(self.live), "replicas differ"


class DirectoryScheduleTest(unittest.TestCase):
    """Changes and faults in any order."""

    @SCHEDULES
    @given(st.lists(EVENTS, max_size=25))
    def test_hosts_without_faults_agree_with_the_store(self, events):
        run_virtual(ScheduleRunner().run, events)

    def test_a_lagging_copy_does_not_revert_routes(self):
        # The feed position is lost, and a lagging copy answers the full read: the host
        # would handle requests as operators no longer allow.
        stale = Event(Kind.TROUBLE, 0.1, 0, Fault.STALE)
        events = [
            Event(Kind.ROUTES, 1.0, 0, Fault.NONE),
            stale,
            Event(Kind.FORGET, 1.0, 0, Fault.NONE),
            Event(Kind.DRAIN, 1.0, 0, Fault.NONE),
        ]
        run_virtual(ScheduleRunner().run, events)

    def test_a_replica_that_drains_in_a_gap_of_the_feed_gets_no_work(self):
        # The change to draining is in the history that the store drops. Only a full
        # read shows it.
        events = [
            Event(Kind.TROUBLE, 0.1, 0, Fault.DOWN),
            Event(Kind.DRAIN, 0.1, 0, Fault.NONE),
            Event(Kind.FORGET, 0.1, 0, Fault.NONE),
            Event(Kind.HEAL, 3.0, 0, Fault.NONE),
        ]
        run_virtual(ScheduleRunner().run, events)


if __name__ == "__main__":
    unittest.main()
