"""Opens connections to replicas, through other hosts where the direct path is lost."""

import itertools
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial

import trio

from berylshift.clock import Clock
from berylshift.connection.errors import ConnectFailedError
from berylshift.connection.http_client import Dial, close_now
from berylshift.connection.tunnel_client import TunnelClient, TunnelRefusedError
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

# How long a path may take after another host has reached the replica.
CONFIRM_SECONDS = 0.2
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

    ``direct_state``: how the direct attempt fails so far; ``None``: it was not started.
    ``refusals``: hosts that opened no tunnel. ``witnesses``: those among them that can
    tell that the replica is gone.
    """

    request: TunnelRequest
    hosts: list[HostRecord]
    direct_state: PathState | None = None
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
    ):
        """Open direct connections by ``dial``; run checks by ``start_task``.

        ``listed`` returns all replicas and their addresses. ``on_path_at_fault`` is
        called with a replica that another host reached and this one did not.
        """
        self._dial = dial
        self._tunnels = tunnels
        self.paths = paths
        self._hosts = hosts
        self._clock = clock
        self._start_task = start_task
        self._listed = listed
        self._on_path_at_fault = on_path_at_fault
        self._checks = trio.CapacityLimiter(MAX_CHECKS)
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
        now = self._clock.monotonic()
        hosts = []
        if self.paths.may_tunnel(address, now):
            hosts = self._hosts.candidates(now)
        opening = _Opening(TunnelRequest(instance, address), hosts)
        direct: Attempt = partial(self._open_direct, opening)
        attempts: list[Attempt] = [
            partial(self._open_tunnel, opening, host) for host in hosts
        ]
        if hosts and self.paths.first_route(address) is Route.TUNNEL:
            self._recheck_if_due(address)
            attempts.append(direct)
        else:
            attempts.insert(0, direct)
        try:
            return await ConnectionRace(opening.is_hopeless).run(attempts)
        except (OSError, ConnectFailedError) as exc:
            self._on_failed(opening)
            raise OSError(str(exc)) from exc
        except trio.Cancelled:
            self._on_failed(opening)
            raise

    def may_reuse(self, address: str) -> bool:
        """Return whether open connections to a replica may be used again."""
        return self.paths.may_reuse(address)

    def record_life(self, address: str) -> None:
        """Record a response on a direct connection."""
        self.paths.record_life(address, self._clock.monotonic())

    def suspect(self, instance: InstanceId, address: str) -> None:
        """Check the path to a replica that was not heard from when expected."""
        if self.paths.take_check(address, self._clock.monotonic()):
            self._start_task(self._check, instance, address)

    # One connection

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
        elif status not in (TunnelStatus.NOT_LISTED, TunnelStatus.UNSURE):
            self._hosts.record_failed(host.host, self._clock.monotonic())

    def _on_failed(self, opening: _Opening) -> None:
        """Ask no host again soon: in an outage each attempt would ask all of them."""
        if opening.refusals:
            address = opening.request.address
            self.paths.record_unreached(address, self._clock.monotonic())

    def _record_lost(self, request: TunnelRequest, state: PathState) -> None:
        now = self._clock.monotonic()
        self.paths.record_lost(request.address, state, now)
        self._on_path_at_fault(request.instance)
        if self.paths.take_check_all(now):
            self._start_task(self._check_others)

    # In the background

    async def _confirm_silence(self, request: TunnelRequest) -> None:
        """Record a lost path unless a direct connection only takes long."""
        with trio.move_on_after(CONFIRM_SECONDS):
            try:
                close_now(await self.open_direct(request.address))
            except OSError:
                self._record_lost(request, PathState.REFUSED)
            return
        self._record_lost(request, PathState.SILENT)

    async def _check_others(self) -> None:
        """Check the replicas that were not heard from since a path was lost."""
        await trio.sleep(LIFE_SECONDS)
        for instance, address in itertools.islice(self._listed(), MAX_SUSPECTS):
            self.suspect(instance, address)

    async def _check(self, instance: InstanceId, address: str) -> None:
        async with self._checks:
            with trio.move_on_after(CHECK_SECONDS):
                try:
                    close_now(await self.open(instance, address))
                except OSError:
                    return

    def _recheck_if_due(self, address: str) -> None:
        if self.paths.take_recheck(address, self._clock.monotonic()):
            self._start_task(self._recheck, address)

    async def _recheck(self, address: str) -> None:
        with trio.move_on_after(CHECK_SECONDS):
            try:
                close_now(await self.open_direct(address))
            except OSError:
                return
