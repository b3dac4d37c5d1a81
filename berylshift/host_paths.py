"""The paths of a host to targets: its own, and tunnels to other hosts."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec

from berylshift.clock import Clock
from berylshift.connection.http_client import Dial
from berylshift.connection.tunnel_client import TunnelClient
from berylshift.connection.tunnel_server import TunnelServer
from berylshift.ids import DomainName, HostName, InstanceId
from berylshift.messages.tunnel import TunnelRequest, TunnelStatus
from berylshift.process.paths.replica_dialer import ReplicaDialer
from berylshift.process.paths.replica_paths import ReplicaPaths
from berylshift.process.paths.tunnel_hosts import TunnelHosts
from berylshift.store.host_rows import HostRecord


class PathTarget(msgspec.Struct, frozen=True):
    """A target at ``IP:PORT``; ``is_leaving``: it takes no new work."""

    instance: InstanceId
    address: str
    is_leaving: bool = False


@dataclass
class PathDependencies:
    """What the paths work with."""

    host: HostName
    domain: DomainName
    dial: Dial
    dial_peer: Dial
    targets: Callable[[], Iterable[PathTarget]]
    hosts: Callable[[], Iterable[HostRecord] | None]
    clock: Clock
    rng: random.Random
    start_task: Callable[..., None]
    is_stopping: Callable[[], bool]
    # Called with the address of each path that becomes silent.
    on_silent: Callable[[str], None]
    # Called with a target that another host reached and this one did not.
    on_path_at_fault: Callable[[InstanceId], None]
    # Returns whether requests wait at a target, as it reported lately.
    is_full: Callable[[InstanceId], bool] = lambda instance: False


class HostPaths:
    """Wires path states, the dialer of targets, and both ends of tunnels."""

    def __init__(self, deps: PathDependencies):
        """Work with ``deps``."""
        self._deps = deps
        self.states = ReplicaPaths(self._addresses, deps.on_silent)
        self._tunnel_client = TunnelClient(deps.dial_peer)
        self.tunnel_server = TunnelServer(
            deps.dial, self._refusal, self._on_dialed, self._on_not_reached
        )
        self.dialer = ReplicaDialer(
            deps.dial,
            self._tunnel_client,
            self.states,
            TunnelHosts(deps.host, deps.domain, deps.hosts, deps.rng),
            deps.clock,
            deps.start_task,
            lambda: [(item.instance, item.address) for item in deps.targets()],
            deps.on_path_at_fault,
            deps.is_full,
        )

    def use_key(self, key: str) -> None:
        """Use the key that all hosts share."""
        self._tunnel_client.use_key(key)
        self.tunnel_server.use_key(key)

    def _addresses(self) -> list[str]:
        return [target.address for target in self._deps.targets()]

    def _on_dialed(self, address: str) -> None:
        """Record that this host reached a target for another one."""
        self.states.record_direct(address, self._deps.clock.monotonic())

    def _refusal(self, request: TunnelRequest) -> TunnelStatus | None:
        """Return why this host opens no tunnel for another one; ``None``: it does."""
        if self._deps.is_stopping():
            return TunnelStatus.STOPPING
        if self.states.is_lost(request.address):
            return TunnelStatus.CUT_OFF
        is_listed = any(
            target.instance == request.instance
            and target.address == request.address
            and not target.is_leaving
            for target in self._deps.targets()
        )
        return None if is_listed else TunnelStatus.NOT_LISTED

    def _on_not_reached(
        self, request: TunnelRequest, was_refused: bool
    ) -> TunnelStatus:
        """Check this host's own path; return the status for the other host.

        A connection that only takes long shows nothing: links may be full.
        """
        if was_refused and self.states.is_witness(self._deps.clock.monotonic()):
            return TunnelStatus.NOT_REACHED
        self.dialer.suspect(request.instance, request.address)
        return TunnelStatus.UNSURE
