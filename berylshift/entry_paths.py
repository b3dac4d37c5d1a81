"""The paths of an entry host to its replicas: its own, and tunnels to other hosts."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from berylshift.clock import Clock
from berylshift.connection.http_client import Dial
from berylshift.connection.target_client import TargetClient
from berylshift.connection.tunnel_client import TunnelClient
from berylshift.connection.tunnel_server import TunnelServer
from berylshift.ids import DomainName, HostName, InstanceId, ServiceName
from berylshift.messages.tunnel import TunnelRequest, TunnelStatus
from berylshift.process.directory.replica_set import ReplicaSet
from berylshift.process.paths.replica_dialer import ReplicaDialer
from berylshift.process.paths.replica_paths import ReplicaPaths
from berylshift.process.paths.tunnel_hosts import TunnelHosts
from berylshift.store.host_rows import HostRecord


@dataclass
class PathDependencies:
    """What the paths work with."""

    host: HostName
    domain: DomainName
    client: TargetClient
    dial_peer: Dial
    replicas: ReplicaSet
    hosts: Callable[[], Iterable[HostRecord] | None]
    clock: Clock
    rng: random.Random
    start_task: Callable[..., None]
    is_stopping: Callable[[], bool]
    # Called with a replica that another host reached and this one did not.
    on_path_at_fault: Callable[[InstanceId], None]


class EntryPaths:
    """Wires path states, the dialer of replicas, and both ends of tunnels."""

    def __init__(self, deps: PathDependencies):
        """Install the dialer in the client."""
        self._deps = deps
        self.states = ReplicaPaths(self._addresses, deps.client.break_silent)
        self._tunnel_client = TunnelClient(deps.dial_peer)
        self.tunnel_server = TunnelServer(
            deps.client.dial, self._refusal, self._on_dialed, self._on_not_reached
        )
        hosts = TunnelHosts(deps.host, deps.domain, deps.hosts, deps.rng)
        self.dialer = ReplicaDialer(
            deps.client.dial,
            self._tunnel_client,
            self.states,
            hosts,
            deps.clock,
            deps.start_task,
            lambda: [(rep.instance, rep.address) for rep in deps.replicas.entries()],
            deps.on_path_at_fault,
        )
        deps.client.set_dialer(self.dialer)

    def use_key(self, key: str) -> None:
        """Use the key that all hosts share."""
        self._tunnel_client.use_key(key)
        self.tunnel_server.use_key(key)

    def is_cut_off_from(self, service: ServiceName) -> bool:
        """Return whether most paths to a service's replicas are lost."""
        listed = self._deps.replicas.listed(service)
        return self.states.is_cut_off(rep.address for rep in listed)

    def _addresses(self) -> list[str]:
        return [rep.address for rep in self._deps.replicas.entries()]

    def _on_dialed(self, address: str) -> None:
        """Record that this host reached a replica for another one."""
        self.states.record_direct(address, self._deps.clock.monotonic())

    def _refusal(self, request: TunnelRequest) -> TunnelStatus | None:
        """Return why this host opens no tunnel for another one; ``None``: it does."""
        if self._deps.is_stopping():
            return TunnelStatus.STOPPING
        if self.states.is_lost(request.address):
            return TunnelStatus.CUT_OFF
        is_listed = any(
            rep.instance == request.instance
            and rep.address == request.address
            and not rep.draining
            for rep in self._deps.replicas.entries()
        )
        return None if is_listed else TunnelStatus.NOT_LISTED

    def _on_not_reached(self, request: TunnelRequest) -> TunnelStatus:
        """Check this host's own path; return the status for the other host."""
        if self.states.is_witness(self._deps.clock.monotonic()):
            return TunnelStatus.NOT_REACHED
        self.dialer.suspect(request.instance, request.address)
        return TunnelStatus.UNSURE
