"""Opens connections to replicas, through other hosts where the direct path is lost."""

import itertools
from collections.abc import Awaitable, Callable, Iterable

import trio

from berylshift.clock import Clock
from berylshift.connection.errors import ConnectFailedError
from berylshift.connection.http_client import Dial, close_now
from berylshift.connection.tunnel_client import TunnelClient, TunnelRefusedError
from berylshift.ids import InstanceId
from berylshift.messages.tunnel import TunnelRequest, TunnelStatus
from berylshift.process.paths.replica_paths import (
    LIFE_SECONDS,
    PathState,
    ReplicaPaths,
    Route,
)
from berylshift.process.paths.tunnel_hosts import TunnelHosts
from berylshift.store.host_rows import HostRecord

# A connection that takes longer is tried through another host, too: several round
# trips between regions, and short for a caller.
STAGGER_SECONDS = 0.05
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

Attempt = Callable[[], Awaitable[trio.abc.Stream]]


class _Race:
    """Attempts at one connection: each starts when the former failed or is slow."""

    def __init__(self) -> None:
        """Start without a winner."""
        self.winner: trio.abc.Stream | None = None
        self.error: Exception = ConnectFailedError("no attempt")

    async def run(self, attempts: list[Attempt]) -> trio.abc.Stream:
        """Return the first connection; raise the last error if there is none."""
        async with trio.open_nursery() as nursery:
            for attempt in attempts:
                failed = trio.Event()
                nursery.start_soon(self._try, attempt, failed, nursery.cancel_scope)
                with trio.move_on_after(STAGGER_SECONDS):
                    await failed.wait()
        if self.winner is None:
            raise self.error
        return self.winner

    async def _try(
        self, attempt: Attempt, failed: trio.Event, scope: trio.CancelScope
    ) -> None:
        try:
            stream = await attempt()
        except (OSError, ConnectFailedError) as exc:
            self.error = exc
            failed.set()
            return
        if self.winner is not None:
            close_now(stream)
            return
        self.winner = stream
        scope.cancel()


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
        direct = _DirectAttempt(self, address)
        tunnels = self._tunnel_attempts(instance, address, direct, now)
        if self.paths.first_route(address) is Route.TUNNEL and tunnels:
            self._recheck_if_due(address)
            attempts: list[Attempt] = [*tunnels, direct.run]
        else:
            attempts = [direct.run, *tunnels]
        try:
            return await _Race().run(attempts)
        except (OSError, ConnectFailedError) as exc:
            if tunnels:
                # In an outage of the replica each further attempt would ask all hosts.
                self.paths.record_unreached(address, self._clock.monotonic())
            raise OSError(str(exc)) from exc

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

    def _tunnel_attempts(
        self,
        instance: InstanceId,
        address: str,
        direct: "_DirectAttempt",
        now: float,
    ) -> list[Attempt]:
        if not self.paths.may_tunnel(address, now):
            return []
        request = TunnelRequest(instance, address)
        witnesses: set[str] = set()

        def attempt(host: HostRecord) -> Attempt:
            async def run() -> trio.abc.Stream:
                return await self._open_tunnel(host, request, direct, witnesses)

            return run

        return [attempt(host) for host in self._hosts.candidates(now)]

    async def _open_tunnel(
        self,
        host: HostRecord,
        request: TunnelRequest,
        direct: "_DirectAttempt",
        witnesses: set[str],
    ) -> trio.abc.Stream:
        if len(witnesses) >= MIN_WITNESSES:
            raise ConnectFailedError("other hosts don't reach the replica")
        try:
            stream = await self._tunnels.open(host, request)
        except TunnelRefusedError as exc:
            self._record_refusal(host, request, exc.status, witnesses)
            raise
        except ConnectFailedError:
            self._hosts.record_failed(host.host, self._clock.monotonic())
            raise
        now = self._clock.monotonic()
        self._hosts.record_opened(host.host, now)
        self.tunnels_opened += 1
        if direct.state is PathState.REFUSED:
            self._record_lost(request, PathState.REFUSED, now)
        elif direct.state is PathState.SILENT:
            self._start_task(self._confirm_silence, request)
        return stream

    def _record_refusal(
        self,
        host: HostRecord,
        request: TunnelRequest,
        status: TunnelStatus,
        witnesses: set[str],
    ) -> None:
        now = self._clock.monotonic()
        if status is TunnelStatus.NOT_REACHED:
            witnesses.add(host.host)
        elif status not in (TunnelStatus.NOT_LISTED, TunnelStatus.UNSURE):
            self._hosts.record_failed(host.host, now)

    def _record_lost(
        self, request: TunnelRequest, state: PathState, now: float
    ) -> None:
        self.paths.record_lost(request.address, state, now)
        self._on_path_at_fault(request.instance)
        if self.paths.take_check_all(now):
            self._start_task(self._check_others)

    async def _confirm_silence(self, request: TunnelRequest) -> None:
        """Record a lost path unless a direct connection only takes long."""
        with trio.move_on_after(CONFIRM_SECONDS):
            try:
                close_now(await self.open_direct(request.address))
            except OSError:
                now = self._clock.monotonic()
                self._record_lost(request, PathState.REFUSED, now)
            return
        self._record_lost(request, PathState.SILENT, self._clock.monotonic())

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


class _DirectAttempt:
    """One direct attempt, and how it stands."""

    def __init__(self, dialer: ReplicaDialer, address: str):
        """Dial ``address``."""
        self._dialer = dialer
        self._address = address
        # How the attempt fails so far; ``None``: it was not started.
        self.state: PathState | None = None

    async def run(self) -> trio.abc.Stream:
        """Return the connection; raise ``OSError``."""
        self.state = PathState.SILENT
        try:
            return await self._dialer.open_direct(self._address)
        except OSError:
            self.state = PathState.REFUSED
            raise
