"""Opens connections to replicas, through other hosts where the direct path is lost."""

import itertools
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from functools import partial

import trio

from berylshift.clock import Clock
from berylshift.connection.errors import ConnectFailedError
from berylshift.connection.http_client import Dial, close_now
from berylshift.connection.tunnel_client import TunnelClient, TunnelRefusedError
from berylshift.connection.tunnel_stream import TunnelStream
from berylshift.ids import InstanceId
from berylshift.messages.tunnel import TunnelRequest, TunnelStatus
from berylshift.process.paths.connection_race import (
    STAGGER_SECONDS,
    Attempt,
    ConnectionRace,
)
from berylshift.process.paths.replica_paths import (
    LIFE_SECONDS,
    PathState,
    ReplicaPaths,
    Route,
)
from berylshift.process.paths.tunnel_hosts import TunnelHosts
from berylshift.store.host_rows import HostRecord

# A direct connection is slow after this long: many round trips between regions.
HEAD_START_SECONDS = 0.15
# How long a path may take after another host has reached the replica.
CONFIRM_SECONDS = 0.3
# A timer that fires later than this shows that this process is short of processor time.
# Connections are slow then, and paths can't be judged.
MAX_LAG_SECONDS = 0.05
# Slow connections for which other hosts are asked at one time, and hosts asked for
# each: in an overload all connections are slow, and questions would add to it.
MAX_EXPLORING = 2
MAX_ASKED_IF_SLOW = 2
# Pause after a connection or response that was only slow, doubled with each one up to
# the maximum.
FIRST_FALSE_ALARM_SECONDS = 0.5
MAX_FALSE_ALARM_SECONDS = 2.0
# Pause between two checks of replicas whose responses are overdue.
OVERDUE_CHECK_SECONDS = 0.25
# How long a background check waits for a connection.
CHECK_SECONDS = 0.5
# Replicas that are checked at one time.
MAX_CHECKS = 8
# Replicas that are checked after one path was found lost.
MAX_SUSPECTS = 64
# Hosts that reach other replicas, but not this one, until it counts as gone.
MIN_WITNESSES = 2


@dataclass
class _Opening:
    """One connection that is being opened.

    ``hosts``: those to ask for a tunnel, once they are needed.
    ``direct_state``: how the direct attempt fails so far; ``None``: it was not started.
    ``is_exploring``: other hosts are asked since it is slow. ``must_explore``: they
    are asked in any case, since other paths are known to be lost.
    ``refusals``: hosts that opened no tunnel. ``witnesses``: those among them that can
    tell that the replica is gone.
    """

    request: TunnelRequest
    started_at: float
    hosts: list[HostRecord] = field(default_factory=list)
    direct_state: PathState | None = None
    is_exploring: bool = False
    must_explore: bool = False
    refusals: set[str] = field(default_factory=set)
    witnesses: set[str] = field(default_factory=set)

    def is_hopeless(self) -> bool:
        """Return whether other hosts have shown that the replica is gone."""
        return len(self.witnesses) >= min(MIN_WITNESSES, len(self.hosts) or 1)


class ReplicaDialer:
    """Dials replicas for the target client."""

    def __init__(
        self,
        dial: Dial,
        tunnels: TunnelClient,
        paths: ReplicaPaths,
        hosts: TunnelHosts,
        clock: Clock,
        start_task: Callable[..., None],
        listed: Callable[[], Iterable[tuple[InstanceId, str]]],
        on_path_at_fault: Callable[[InstanceId], None],
        is_full: Callable[[InstanceId], bool] = lambda instance: False,
    ):
        """Open direct connections by ``dial``; run checks by ``start_task``.

        ``listed`` returns all replicas and their addresses. ``on_path_at_fault`` is
        called with a replica that another host reached and this one did not.
        ``is_full`` returns whether requests wait at a replica: it is slow by itself,
        and connections that are opened to find that out would take its room.
        """
        self._is_full = is_full
        self._dial = dial
        self._tunnels = tunnels
        self.paths = paths
        self._hosts = hosts
        self._clock = clock
        self._start_task = start_task
        self._listed = listed
        self._on_path_at_fault = on_path_at_fault
        self._checks = trio.CapacityLimiter(MAX_CHECKS)
        self._exploring = 0
        self._explores_after = float("-inf")
        self._false_alarm_seconds = FIRST_FALSE_ALARM_SECONDS
        self._overdue_checked_at = float("-inf")
        self.tunnels_opened = 0

    # For the target client

    async def open_direct(self, address: str) -> trio.abc.Stream:
        """Return a direct connection; raise ``OSError``."""
        stream = await self._dial(address)
        if self.paths.record_direct(address, self._clock.monotonic()):
            # One path is back, so the others may be.
            for lost in self.paths.lost():
                self._recheck_if_due(lost)
        return stream

    async def open(self, instance: InstanceId, address: str) -> trio.abc.Stream:
        """Return a connection to a replica; raise ``OSError`` if there is none."""
        request = TunnelRequest(instance, address)
        return await self._open(_Opening(request, self._clock.monotonic()))

    async def _open(self, opening: _Opening) -> trio.abc.Stream:
        address = opening.request.address
        if self.paths.first_route(address) is Route.TUNNEL:
            self._recheck_if_due(address)
            race = ConnectionRace(opening.is_hopeless)
            attempts = iter([*self._tunnels_of(opening), self._direct_of(opening)])
        else:
            race = ConnectionRace(opening.is_hopeless, HEAD_START_SECONDS)
            attempts = self._direct_first(opening)
        stream: trio.abc.Stream | None = None
        try:
            stream = await race.run(attempts)
        except (OSError, ConnectFailedError) as exc:
            raise OSError(str(exc)) from exc
        finally:
            self._exploring -= opening.is_exploring
            # Also if the time is up and the attempts are cancelled.
            if stream is None:
                self._on_failed(opening)
        if opening.is_exploring and not isinstance(stream, TunnelStream):
            self._on_false_alarm()
        return stream

    def may_reuse(self, address: str) -> bool:
        """Return whether open connections to a replica may be used again."""
        return self.paths.may_reuse(address)

    def record_life(self, address: str) -> None:
        """Record a response on a direct connection."""
        self.paths.record_life(address, self._clock.monotonic())

    def suspect(self, instance: InstanceId, address: str) -> None:
        """Check the path to a replica that was not heard from when expected."""
        now = self._clock.monotonic()
        is_paused = now < self._explores_after
        if is_paused or self._is_full(instance):
            return
        if now - self._overdue_checked_at < OVERDUE_CHECK_SECONDS:
            return
        if self._start_check(instance, address):
            self._overdue_checked_at = now

    def _start_check(
        self, instance: InstanceId, address: str, must_explore: bool = False
    ) -> bool:
        now = self._clock.monotonic()
        is_due = self.paths.take_check(address, now)
        if is_due:
            request = TunnelRequest(instance, address)
            opening = _Opening(request, now, must_explore=must_explore)
            self._start_task(self._check, opening)
        return is_due

    # One connection

    def _direct_of(self, opening: _Opening) -> Attempt:
        return partial(self._open_direct, opening)

    def _tunnels_of(
        self, opening: _Opening, max_hosts: int | None = None
    ) -> list[Attempt]:
        now = self._clock.monotonic()
        if self.paths.may_tunnel(opening.request.address, now):
            opening.hosts = self._hosts.candidates(now)[:max_hosts]
        return [partial(self._open_tunnel, opening, host) for host in opening.hosts]

    def _direct_first(self, opening: _Opening) -> Iterator[Attempt]:
        """Yield the direct attempt, then tunnels if it fails or is too slow."""
        yield self._direct_of(opening)
        if opening.direct_state is PathState.REFUSED:
            yield from self._tunnels_of(opening)
        elif self._may_explore(opening):
            opening.is_exploring = True
            self._exploring += 1
            yield from self._tunnels_of(opening, MAX_ASKED_IF_SLOW)

    def _may_explore(self, opening: _Opening) -> bool:
        """Return whether to ask other hosts, since a direct connection is slow."""
        if opening.must_explore:
            return True
        if self._is_full(opening.request.instance):
            return False
        now = self._clock.monotonic()
        if now < self._explores_after or self._exploring >= MAX_EXPLORING:
            return False
        return now - opening.started_at - HEAD_START_SECONDS < MAX_LAG_SECONDS

    def _on_false_alarm(self) -> None:
        """Ask less often: connections are slow, but paths are not lost."""
        self._explores_after = self._clock.monotonic() + self._false_alarm_seconds
        self._false_alarm_seconds = min(
            MAX_FALSE_ALARM_SECONDS, 2 * self._false_alarm_seconds
        )

    async def _open_direct(self, opening: _Opening) -> trio.abc.Stream:
        opening.direct_state = PathState.SILENT
        try:
            return await self.open_direct(opening.request.address)
        except OSError:
            opening.direct_state = PathState.REFUSED
            raise

    async def _open_tunnel(
        self, opening: _Opening, host: HostRecord
    ) -> trio.abc.Stream:
        asked_at = self._clock.monotonic()
        try:
            stream = await self._tunnels.open(host, opening.request)
        except TunnelRefusedError as exc:
            self._on_refused(opening, host, exc.status)
            raise
        except ConnectFailedError:
            self._hosts.record_failed(host.host, self._clock.monotonic())
            raise
        except trio.Cancelled:
            now = self._clock.monotonic()
            if now - asked_at >= STAGGER_SECONDS:
                self._hosts.record_failed(host.host, now)
            raise
        self._on_opened(opening, host)
        return stream

    def _on_opened(self, opening: _Opening, host: HostRecord) -> None:
        self._hosts.record_opened(host.host, self._clock.monotonic())
        self.tunnels_opened += 1
        if opening.direct_state is PathState.REFUSED:
            self._record_lost(opening.request, PathState.REFUSED)
        elif opening.direct_state is PathState.SILENT:
            self._start_task(self._confirm_silence, opening.request)

    def _on_refused(
        self, opening: _Opening, host: HostRecord, status: TunnelStatus
    ) -> None:
        opening.refusals.add(host.host)
        if status is TunnelStatus.NOT_REACHED:
            opening.witnesses.add(host.host)
        elif status is not TunnelStatus.NOT_LISTED:
            self._hosts.record_failed(host.host, self._clock.monotonic())

    def _on_failed(self, opening: _Opening) -> None:
        """Ask no host again soon: in an outage each attempt would ask all of them."""
        if opening.refusals:
            address = opening.request.address
            self.paths.record_unreached(address, self._clock.monotonic())

    def _record_lost(self, request: TunnelRequest, state: PathState) -> None:
        now = self._clock.monotonic()
        self.paths.record_lost(request.address, state, now)
        self._explores_after = float("-inf")
        self._false_alarm_seconds = FIRST_FALSE_ALARM_SECONDS
        self._on_path_at_fault(request.instance)
        if self.paths.take_check_all(now):
            self._start_task(self._check_others)

    # In the background

    async def _confirm_silence(self, request: TunnelRequest) -> None:
        """Record a lost path unless a direct connection only takes long."""
        started_at = self._clock.monotonic()
        with trio.move_on_after(CONFIRM_SECONDS):
            try:
                close_now(await self.open_direct(request.address))
                self._on_false_alarm()
            except OSError:
                self._record_lost(request, PathState.REFUSED)
            return
        late = self._clock.monotonic() - started_at - CONFIRM_SECONDS
        if late < MAX_LAG_SECONDS:
            self._record_lost(request, PathState.SILENT)

    async def _check_others(self) -> None:
        """Check the replicas that were not heard from since a path was lost."""
        await trio.sleep(LIFE_SECONDS)
        for instance, address in itertools.islice(self._listed(), MAX_SUSPECTS):
            self._start_check(instance, address, must_explore=True)

    async def _check(self, opening: _Opening) -> None:
        async with self._checks:
            opening.started_at = self._clock.monotonic()
            with trio.move_on_after(CHECK_SECONDS):
                try:
                    stream = await self._open(opening)
                except OSError:
                    return
                if not (opening.must_explore or isinstance(stream, TunnelStream)):
                    self._on_false_alarm()
                close_now(stream)

    def _recheck_if_due(self, address: str) -> None:
        if self.paths.take_recheck(address, self._clock.monotonic()):
            self._start_task(self._recheck, address)

    async def _recheck(self, address: str) -> None:
        with trio.move_on_after(CHECK_SECONDS):
            try:
                close_now(await self.open_direct(address))
            except OSError:
                return
